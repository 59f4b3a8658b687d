//! Outcomes of requests by route and size.
//!
//! Under overload, the order of admission may put the large requests of a route behind its small
//! ones. Hardly any of them is then served, while the route as a whole looks fine. Each entry
//! therefore counts the outcomes of its own requests by size.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::Serialize;

use crate::numbers;

/// Recent sizes of a route against which a new one is classified. They are enough for the largest
/// tenth to have twenty, and few enough for a change of what callers send to show within seconds.
const RECENT_SIZES: usize = 200;
/// Sizes that must be known before any is classified; with fewer, the largest tenth is a matter of
/// chance.
const MIN_SIZES: usize = 20;
/// Share of a route's requests that are smaller than its largest ones.
const LARGEST_QUANTILE: f64 = 0.9;
/// Share of a route's requests that are smaller than its large ones.
const LARGE_QUANTILE: f64 = 0.7;

/// Size of a request relative to the other requests of its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SizeClass {
    /// Among the smallest seven tenths, or of unknown size.
    Usual,
    /// Among the fifth below the largest.
    Large,
    /// Among the largest tenth.
    Largest,
}

impl SizeClass {
    /// All sizes, the smallest first.
    pub const ALL: [Self; 3] = [Self::Usual, Self::Large, Self::Largest];

    /// Returns the name of the size in logs and metrics.
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

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It got a complete answer, whose first part met the latency objective.
    InTime,
    /// It got a complete answer, whose first part missed the objective.
    Late,
    /// It was refused because no upstream had a free slot.
    NoSlot,
    /// It was refused because its customer's quota was exceeded.
    QuotaExceeded,
    /// It was refused because it is quarantined.
    Quarantined,
    /// It was started, or may have been, and got no complete answer.
    Incomplete,
}

impl CallOutcome {
    /// Returns the name of the outcome in metrics.
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
            Self::Quarantined => "held",
            Self::Incomplete => "not_whole",
        }
    }

    /// Returns whether the caller got a complete answer.
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

/// Outcome counts of one route's requests of one size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CallOutcomeCounts {
    /// Complete answers that met the latency objective.
    pub in_time: u32,
    /// Complete answers that missed it.
    pub late: u32,
    /// Requests refused for want of a free slot.
    pub no_room: u32,
    /// Requests refused because of an exceeded quota.
    pub allotment_spent: u32,
    /// Requests refused because they are quarantined.
    pub held: u32,
    /// Started requests without a complete answer.
    pub not_whole: u32,
}

impl CallOutcomeCounts {
    fn add(&mut self, outcome: CallOutcome) {
        let count = match outcome {
            CallOutcome::InTime => &mut self.in_time,
            CallOutcome::Late => &mut self.late,
            CallOutcome::NoSlot => &mut self.no_room,
            CallOutcome::QuotaExceeded => &mut self.allotment_spent,
            CallOutcome::Quarantined => &mut self.held,
            CallOutcome::Incomplete => &mut self.not_whole,
        };
        *count += 1;
    }

    fn unserved(self) -> u32 {
        self.no_room + self.allotment_spent + self.not_whole
    }
}

/// Outcome counts of one route's requests, by size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CallOutcomesBySize {
    /// The smallest seven tenths.
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

/// Recent sizes and outcomes of one route's requests.
#[derive(Clone, Debug, Default)]
struct RouteStats {
    sizes: Vec<f64>,
    /// Index of the oldest size, which the next one replaces.
    oldest: usize,
    outcomes: CallOutcomesBySize,
}

impl RouteStats {
    fn classify(&mut self, size: f64) -> SizeClass {
        let smaller = self.sizes.iter().filter(|known| **known < size).count();
        let known = self.sizes.len();
        if known < RECENT_SIZES {
            self.sizes.push(size);
        } else {
            self.sizes[self.oldest] = size;
            self.oldest = (self.oldest + 1) % RECENT_SIZES;
        }
        if known < MIN_SIZES {
            return SizeClass::Usual;
        }
        let quantile = numbers::as_f64(smaller as u64) / numbers::as_f64(known as u64);
        if quantile >= LARGEST_QUANTILE {
            SizeClass::Largest
        } else if quantile >= LARGE_QUANTILE {
            SizeClass::Large
        } else {
            SizeClass::Usual
        }
    }
}

/// Recent sizes and outcomes of an entry's requests, by route.
///
/// ```
/// use sardinewood::direct::sharing::size_stats::CallOutcome;
/// use sardinewood::direct::sharing::size_stats::SizeClass;
/// use sardinewood::direct::sharing::size_stats::SizeStats;
///
/// let mut stats = SizeStats::default();
/// let route = "notes".into();
/// for size in 0..100 {
///     stats.classify(&route, Some(f64::from(size)));
/// }
/// assert_eq!(stats.classify(&route, Some(95.0)), SizeClass::Largest);
/// stats.record_outcome(&route, SizeClass::Largest, CallOutcome::NoSlot);
/// assert_eq!(stats.take_routes_with_unserved()[0].1.largest.no_room, 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SizeStats {
    routes: IndexMap<Arc<str>, RouteStats>,
}

impl SizeStats {
    /// Returns the size class of a request among the recent ones of its route, and adds the request
    /// to them.
    ///
    /// ```
    /// use sardinewood::direct::sharing::size_stats::SizeClass;
    /// use sardinewood::direct::sharing::size_stats::SizeStats;
    ///
    /// let size = SizeStats::default().classify(&"calls".into(), None);
    /// assert_eq!(size, SizeClass::Usual);
    /// ```
    pub fn classify(&mut self, route: &Arc<str>, size: Option<f64>) -> SizeClass {
        let Some(size) = size else {
            return SizeClass::Usual;
        };
        self.routes
            .entry(Arc::clone(route))
            .or_default()
            .classify(size)
    }

    /// Records the outcome of a request.
    ///
    /// ```
    /// use sardinewood::direct::sharing::size_stats::CallOutcome;
    /// use sardinewood::direct::sharing::size_stats::SizeClass;
    /// use sardinewood::direct::sharing::size_stats::SizeStats;
    ///
    /// SizeStats::default().record_outcome(&"notes".into(), SizeClass::Usual, CallOutcome::InTime);
    /// ```
    pub fn record_outcome(&mut self, route: &Arc<str>, size: SizeClass, outcome: CallOutcome) {
        let route = self.routes.entry(Arc::clone(route)).or_default();
        route.outcomes.of(size).add(outcome);
    }

    /// Returns the routes that had an unserved request since the last call, with the outcomes of
    /// all their requests since then.
    ///
    /// ```
    /// use sardinewood::direct::sharing::size_stats::SizeStats;
    ///
    /// assert!(SizeStats::default().take_routes_with_unserved().is_empty());
    /// ```
    pub fn take_routes_with_unserved(&mut self) -> Vec<(Arc<str>, CallOutcomesBySize)> {
        let taken = self
            .routes
            .iter_mut()
            .map(|(name, route)| (Arc::clone(name), std::mem::take(&mut route.outcomes)));
        taken
            .filter(|(_, outcomes)| outcomes.unserved() > 0)
            .collect()
    }
}
