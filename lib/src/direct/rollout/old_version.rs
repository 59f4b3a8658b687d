//! Whether the upstreams of the old version are gone from the store's list.

use crate::direct::store_view::directory::lapse_after_ms;

/// What is known of the store's list at a time, about the old version of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct OldVersionSight {
    /// Whether an upstream of the old version is listed, also one that leaves or is not used.
    pub is_listed: bool,
    /// When the list was last known to be the newest; none if it was never confirmed.
    pub list_as_of_ms: Option<u64>,
    /// Time without a heartbeat after which an upstream is taken to have ended.
    pub upstream_silence_ms: u64,
}

/// For how long the store's list has lacked the old version.
///
/// An outage of the store removes the entries of upstreams that live. They are listed again once the
/// store has answered for as long as an upstream may be silent, so only that much time with answers,
/// without a gap in which entries lapse, shows that the old version is gone.
///
/// ```
/// use sardinewood::direct::rollout::old_version::{OldVersionAbsence, OldVersionSight};
///
/// let lacking = |list_as_of_ms| OldVersionSight {
///     is_listed: false,
///     list_as_of_ms: Some(list_as_of_ms),
///     upstream_silence_ms: 3_600,
/// };
/// let mut absence = OldVersionAbsence::default();
/// assert!(!absence.observe(lacking(1_000), 1_000));
/// assert!(!absence.observe(lacking(3_000), 9_000), "the store has not answered since");
/// assert!(!absence.observe(lacking(9_100), 9_100), "entries may have lapsed meanwhile");
/// assert!(!absence.observe(lacking(11_000), 11_000));
/// assert!(absence.observe(lacking(12_700), 12_700));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct OldVersionAbsence {
    /// Since when the list has lacked the old version, and up to when that is confirmed.
    since_and_until_ms: Option<(u64, u64)>,
}

impl OldVersionAbsence {
    /// Records what is known now. Returns whether the old version is gone.
    ///
    /// ```
    /// use sardinewood::direct::rollout::old_version::{OldVersionAbsence, OldVersionSight};
    ///
    /// assert!(!OldVersionAbsence::default().observe(OldVersionSight::default(), 60_000));
    /// ```
    pub fn observe(&mut self, sight: OldVersionSight, now_ms: u64) -> bool {
        let Some(as_of_ms) = sight.list_as_of_ms.filter(|_| !sight.is_listed) else {
            self.since_and_until_ms = None;
            return false;
        };
        let since_ms = match self.since_and_until_ms {
            None => now_ms,
            Some((_, until_ms)) if is_gap(until_ms, as_of_ms, sight.upstream_silence_ms) => {
                as_of_ms
            }
            Some((since_ms, _)) => since_ms,
        };
        self.since_and_until_ms = Some((since_ms, as_of_ms));
        as_of_ms >= since_ms + sight.upstream_silence_ms
    }
}

/// Returns whether entries may have lapsed between two confirmations of the list.
fn is_gap(before_ms: u64, after_ms: u64, upstream_silence_ms: u64) -> bool {
    after_ms.saturating_sub(before_ms) >= lapse_after_ms(upstream_silence_ms)
}
