//! How often requests of each size are served, by kind.
//!
//! A kind is a route. Under overload whatever decides order may put the large requests of a kind
//! behind its small ones, and then hardly any of them is served, while the kind as a whole looks
//! well. So each entry counts by size how its own requests ended.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::Serialize;

use crate::numbers;

/// Sizes of a kind by which a new one is ranked. Enough that a tenth of them are twenty, few
/// enough that a change of what callers send shows within seconds.
const RECENT_SIZES: usize = 200;
/// Sizes that must be known before any is ranked: of fewer, the largest tenth is chance.
const LEAST_SIZES: usize = 20;
/// Part of a kind's requests that is smaller than its largest ones.
const LARGEST_FROM: f64 = 0.9;
/// Part of a kind's requests that is smaller than its large ones.
const LARGE_FROM: f64 = 0.7;

/// How large a request is among those of its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SizeClass {
    /// Among the smaller seven tenths, or of no known size.
    Usual,
    /// Among the fifth below the largest.
    Large,
    /// Among the largest tenth.
    Largest,
}

impl SizeClass {
    /// All of them, the smallest first.
    pub const ALL: [Self; 3] = [Self::Usual, Self::Large, Self::Largest];

    /// Its name in logs and figures.
    ///
    /// ```
    /// use sardinewood::direct::sharing::size_stats::SizeClass;
    ///
    /// assert_eq!(SizeClass::Largest.name(), "largest");
    /// ```
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Usual => "usual",
            Self::Large => "large",
            Self::Largest => "largest",
        }
    }
}

/// How a request ended for its caller, as far as shares by size depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Whole, its first part within the objective.
    InTime,
    /// Whole, but later.
    Late,
    /// Refused, since no upstream had room for it.
    NoSlot,
    /// Refused, since its customer's allotment was spent.
    QuotaExceeded,
    /// It began, or may have, and did not end whole.
    Incomplete,
}

impl CallOutcome {
    /// Its name in figures.
    ///
    /// ```
    /// use sardinewood::direct::sharing::size_stats::CallOutcome;
    ///
    /// assert_eq!(CallOutcome::NoSlot.name(), "no_room");
    /// ```
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::InTime => "in_time",
            Self::Late => "late",
            Self::NoSlot => "no_room",
            Self::QuotaExceeded => "allotment_spent",
            Self::Incomplete => "not_whole",
        }
    }

    /// Whether the caller has a whole answer.
    ///
    /// ```
    /// use sardinewood::direct::sharing::size_stats::CallOutcome;
    ///
    /// assert!(CallOutcome::Late.is_served());
    /// ```
    #[must_use]
    pub fn is_served(self) -> bool {
        matches!(self, Self::InTime | Self::Late)
    }
}

/// How requests of one kind and size ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CallOutcomeCounts {
    /// Whole and in time.
    pub in_time: u32,
    /// Whole and late.
    pub late: u32,
    /// Refused for want of room.
    pub no_room: u32,
    /// Refused for an allotment.
    pub allotment_spent: u32,
    /// Begun, and not ended whole.
    pub not_whole: u32,
}

impl CallOutcomeCounts {
    fn add(&mut self, end: CallOutcome) {
        let count = match end {
            CallOutcome::InTime => &mut self.in_time,
            CallOutcome::Late => &mut self.late,
            CallOutcome::NoSlot => &mut self.no_room,
            CallOutcome::QuotaExceeded => &mut self.allotment_spent,
            CallOutcome::Incomplete => &mut self.not_whole,
        };
        *count += 1;
    }

    fn unserved(self) -> u32 {
        self.no_room + self.allotment_spent + self.not_whole
    }
}

/// How requests of one kind ended, by size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CallOutcomesBySize {
    /// The smaller seven tenths.
    pub usual: CallOutcomeCounts,
    /// The fifth below the largest.
    pub large: CallOutcomeCounts,
    /// The largest tenth.
    pub largest: CallOutcomeCounts,
}

impl CallOutcomesBySize {
    fn of(&mut self, size: SizeClass) -> &mut CallOutcomeCounts {
        match size {
            SizeClass::Usual => &mut self.usual,
            SizeClass::Large => &mut self.large,
            SizeClass::Largest => &mut self.largest,
        }
    }

    fn unserved(&self) -> u32 {
        self.usual.unserved() + self.large.unserved() + self.largest.unserved()
    }
}

#[derive(Clone, Debug, Default)]
struct Kind {
    sizes: Vec<f64>,
    oldest: usize,
    ends: CallOutcomesBySize,
}

impl Kind {
    fn rank(&mut self, size: f64) -> SizeClass {
        let smaller = self.sizes.iter().filter(|known| **known < size).count();
        let known = self.sizes.len();
        if known < RECENT_SIZES {
            self.sizes.push(size);
        } else {
            self.sizes[self.oldest] = size;
            self.oldest = (self.oldest + 1) % RECENT_SIZES;
        }
        if known < LEAST_SIZES {
            return SizeClass::Usual;
        }
        let part = numbers::as_f64(smaller as u64) / numbers::as_f64(known as u64);
        if part >= LARGEST_FROM {
            SizeClass::Largest
        } else if part >= LARGE_FROM {
            SizeClass::Large
        } else {
            SizeClass::Usual
        }
    }
}

/// Sizes of an entry's requests by kind, and how they ended.
///
/// ```
/// use sardinewood::direct::sharing::size_stats::CallOutcome;
/// use sardinewood::direct::sharing::size_stats::SizeClass;
/// use sardinewood::direct::sharing::size_stats::SizeStats;
///
/// let mut shares = SizeStats::default();
/// let kind = "notes".into();
/// for size in 0..100 {
///     shares.classify(&kind, Some(f64::from(size)));
/// }
/// assert_eq!(shares.classify(&kind, Some(95.0)), SizeClass::Largest);
/// shares.record_outcome(&kind, SizeClass::Largest, CallOutcome::NoSlot);
/// assert_eq!(shares.take_routes_with_unserved()[0].1.largest.no_room, 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SizeStats {
    kinds: IndexMap<Arc<str>, Kind>,
}

impl SizeStats {
    /// How large a request is among those of its kind, which it joins.
    ///
    /// ```
    /// use sardinewood::direct::sharing::size_stats::SizeClass;
    /// use sardinewood::direct::sharing::size_stats::SizeStats;
    ///
    /// let size = SizeStats::default().classify(&"calls".into(), None);
    /// assert_eq!(size, SizeClass::Usual);
    /// ```
    pub fn classify(&mut self, kind: &Arc<str>, size: Option<f64>) -> SizeClass {
        let Some(size) = size else {
            return SizeClass::Usual;
        };
        self.kinds.entry(Arc::clone(kind)).or_default().rank(size)
    }

    /// Notes how a request ended.
    ///
    /// ```
    /// use sardinewood::direct::sharing::size_stats::CallOutcome;
    /// use sardinewood::direct::sharing::size_stats::SizeClass;
    /// use sardinewood::direct::sharing::size_stats::SizeStats;
    ///
    /// SizeStats::default().record_outcome(&"notes".into(), SizeClass::Usual, CallOutcome::InTime);
    /// ```
    pub fn record_outcome(&mut self, kind: &Arc<str>, size: SizeClass, end: CallOutcome) {
        let kind = self.kinds.entry(Arc::clone(kind)).or_default();
        kind.ends.of(size).add(end);
    }

    /// The kinds of which a request was not served since the last call, with how all of theirs
    /// have ended since.
    ///
    /// ```
    /// use sardinewood::direct::sharing::size_stats::SizeStats;
    ///
    /// assert!(SizeStats::default().take_routes_with_unserved().is_empty());
    /// ```
    pub fn take_routes_with_unserved(&mut self) -> Vec<(Arc<str>, CallOutcomesBySize)> {
        let taken = self
            .kinds
            .iter_mut()
            .map(|(name, kind)| (Arc::clone(name), std::mem::take(&mut kind.ends)));
        taken.filter(|(_, ends)| ends.unserved() > 0).collect()
    }
}
