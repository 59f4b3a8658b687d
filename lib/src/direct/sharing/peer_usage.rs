//! Slots of one upstream that a peer uses, by grants, releases and the peer's heartbeats.

/// Slots that one peer holds at one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeerUsage {
    /// Slots counted as in use.
    count: u32,
    /// Count in the peer's last heartbeat.
    reported: u32,
    /// Whether the peer was granted a slot, or released one, since its last heartbeat.
    is_touched: bool,
}

/// What a heartbeat has changed in the slots counted for a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UsageChange {
    /// The count stays as it was.
    Kept,
    /// The reported count has replaced the one that was kept.
    Corrected,
}

impl PeerUsage {
    /// Returns the usage of a peer of which nothing is counted, by its first report.
    pub(super) fn first(reported: u32) -> Self {
        Self {
            count: reported,
            reported,
            is_touched: false,
        }
    }

    /// Applies the count of a heartbeat; see `AdmissionController::reconcile`.
    pub(super) fn reconcile(&mut self, reported: u32) -> UsageChange {
        let is_confirmed = !self.is_touched && self.reported == reported;
        let change = if is_confirmed && self.count != reported {
            self.count = reported;
            UsageChange::Corrected
        } else {
            UsageChange::Kept
        };
        self.reported = reported;
        self.is_touched = false;
        change
    }

    /// Returns the number of slots counted as in use.
    pub(super) fn count(&self) -> u32 {
        self.count
    }

    /// Counts a slot that the peer is granted.
    pub(super) fn grant(&mut self) {
        self.count += 1;
        self.is_touched = true;
    }

    /// Counts a slot that the peer releases.
    pub(super) fn release(&mut self) {
        self.count = self.count.saturating_sub(1);
        self.is_touched = true;
    }

    /// Returns whether the peer uses nothing and has reported so.
    pub(super) fn is_empty(&self) -> bool {
        self.count == 0 && self.reported == 0 && !self.is_touched
    }
}
