//! Whether an upstream can be given work, and how much of its room after a failure.

/// How many slots an upstream gets at first after it failed.
const RETURN_SLOTS: u32 = 1;

/// How much the slots grow by each answer that comes through after a failure.
const RETURN_GROWTH: u32 = 1;

/// The state of an upstream as its agent sees it.
///
/// An upstream that failed comes back with one slot and gains one with each answer that
/// goes well: a recovering engine with a cold cache that gets its full load at once tends
/// to fail again, and one that fails again then loses one request and not all of them.
///
/// ```
/// use sardinewood::upstream::health::UpstreamHealth;
///
/// let mut health = UpstreamHealth::default();
/// assert_eq!(health.usable_slots(8), 0, "nothing is known yet");
/// health.answers();
/// assert_eq!(health.usable_slots(8), 8);
/// health.fails();
/// assert!(health.is_down());
/// health.answers();
/// assert_eq!(health.usable_slots(8), 1);
/// health.serves();
/// assert_eq!(health.usable_slots(8), 2);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UpstreamHealth {
    /// The agent has just started and has not heard from it.
    #[default]
    Unknown,
    /// It answers.
    Up,
    /// It does not take connections or does not answer probes.
    Down,
    /// Its running requests make no progress.
    Stalled,
    /// It answers again after a failure and gets so many slots.
    Returning { slots: u32 },
}

impl UpstreamHealth {
    /// How many of its slots may be used.
    #[must_use]
    pub fn usable_slots(self, slots: u32) -> u32 {
        match self {
            Self::Unknown | Self::Down | Self::Stalled => 0,
            Self::Up => slots,
            Self::Returning { slots: returned } => returned.min(slots),
        }
    }

    /// Whether reservations are better given back.
    #[must_use]
    pub fn is_down(self) -> bool {
        self == Self::Down
    }

    /// It answered a probe.
    pub fn answers(&mut self) {
        *self = match *self {
            Self::Unknown => Self::Up,
            Self::Down => Self::Returning {
                slots: RETURN_SLOTS,
            },
            other => other,
        };
    }

    /// A request there made progress, as one of so many. What it carries now it may keep;
    /// that much is no risk.
    pub fn progresses(&mut self, running: u32) {
        if *self == Self::Stalled {
            *self = Self::Returning {
                slots: running.max(RETURN_SLOTS),
            };
        }
    }

    /// A request there was answered.
    pub fn serves(&mut self) {
        if let Self::Returning { slots } = *self {
            *self = Self::Returning {
                slots: slots.saturating_add(RETURN_GROWTH),
            };
        }
    }

    /// All of its slots are in use again, so that nothing is held back any more.
    pub fn settle(&mut self, slots: u32) {
        if matches!(*self, Self::Returning { slots: returned } if returned >= slots) {
            *self = Self::Up;
        }
    }

    /// It refused a connection or did not answer.
    pub fn fails(&mut self) {
        *self = Self::Down;
    }

    /// Its requests make no progress.
    pub fn stalls(&mut self) {
        if matches!(*self, Self::Up | Self::Returning { .. }) {
            *self = Self::Stalled;
        }
    }
}
