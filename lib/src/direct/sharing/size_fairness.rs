//! Fairness between request sizes: the minimum rate at which requests of each size are started,
//! relative to all requests of the same route.
//!
//! Admission queues grant slots in a strict order, in which small requests of a route go before
//! large ones because they are worth more for the time that they take. In a lasting overload,
//! requests at the end of a strict order are hardly ever started: callers with large documents are
//! refused time after time, while the route as a whole looks fine. Each entry therefore keeps a
//! start deficit for each size. While a size has a deficit, its requests go first among those of
//! their route, as if they were small, and wait in more queues and for longer. The deficit depends only on how often a size is refused, so
//! the cause does not have to be known here. It counts only this entry's own callers, which is
//! enough: if each entry keeps the minimum, all together do.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::direct::sharing::size_stats::SizeClass;

/// Minimum start rate of a size, relative to all requests of its route. Callers with large
/// documents may expect to be served at least half as often as others; the excess over one half
/// makes up for the lag of the deficit. Each further tenth takes slots from small requests, which
/// are worth more in them: in an overload of 1.5 times the capacity, 0.7 in place of 0.5 costs
/// 0.003 of the worth in virtual time.
const MIN_RELATIVE_START_RATE: f64 = 0.6;
/// Weight of one decision in the moving average of a route's start rate. The average follows about
/// the last fifty decisions, a few seconds at a busy entry, so that it reflects a burst rather than
/// a single refusal.
const START_RATE_WEIGHT: f64 = 0.02;
/// Maximum deficit of a size, in starts. A larger one would cause a burst of large requests when
/// slots become free, long after the refused callers have given up.
const MAX_DEFICIT: f64 = 4.0;

/// Start rate and start deficits of one route.
#[derive(Clone, Copy, Debug)]
struct RouteAccount {
    /// Share of the route's requests that are started.
    start_rate: f64,
    /// Starts that each size is short of its minimum; negative for a surplus.
    deficits: [f64; SizeClass::ALL.len()],
}

impl RouteAccount {
    /// The account of a route none of whose requests has been refused.
    const NEW: Self = Self {
        start_rate: 1.0,
        deficits: [0.0; SizeClass::ALL.len()],
    };

    fn record_decision(&mut self, size: SizeClass, started: f64) {
        self.start_rate += (started - self.start_rate) * START_RATE_WEIGHT;
        self.add_to_deficit(size, MIN_RELATIVE_START_RATE * self.start_rate - started);
    }

    fn add_to_deficit(&mut self, size: SizeClass, starts: f64) {
        let deficit = &mut self.deficits[size as usize];
        // A start counts as surplus only if other requests are refused. If starts of calm times
        // were saved up, they would be used up first in a following overload, and the largest
        // requests would not get their minimum until it is over. In an overload, the surplus is one
        // start at most: where few requests are started, three would make a size wait for fifty
        // further requests of its own, and it would fall below half of the route's rate.
        let max_surplus = 1.0 - self.start_rate;
        *deficit = (*deficit + starts).clamp(-max_surplus, MAX_DEFICIT);
    }
}

/// Start deficits by route and size at one entry.
///
/// ```
/// use sardinewood::direct::sharing::size_fairness::SizeFairness;
/// use sardinewood::direct::sharing::size_stats::SizeClass;
///
/// let mut fairness = SizeFairness::default();
/// let route = "notes".into();
/// fairness.record_refusal(&route, SizeClass::Largest);
/// assert!(fairness.has_deficit(&route, SizeClass::Largest));
/// fairness.record_start(&route, SizeClass::Largest);
/// fairness.record_start(&route, SizeClass::Largest);
/// assert!(!fairness.has_deficit(&route, SizeClass::Largest));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SizeFairness {
    routes: IndexMap<Arc<str>, RouteAccount>,
}

impl SizeFairness {
    /// Returns whether a size is started too rarely, so that its next request goes first among
    /// those of its route.
    ///
    /// The usual size never has a deficit: it makes up seven tenths of a route's requests, so it is
    /// started about as often as the whole route.
    ///
    /// ```
    /// use sardinewood::direct::sharing::size_fairness::SizeFairness;
    /// use sardinewood::direct::sharing::size_stats::SizeClass;
    ///
    /// assert!(!SizeFairness::default().has_deficit("notes", SizeClass::Largest));
    /// ```
    #[must_use]
    pub fn has_deficit(&self, route: &str, size: SizeClass) -> bool {
        let account = self.routes.get(route);
        size != SizeClass::Usual
            && account.is_some_and(|account| account.deficits[size as usize] > 0.0)
    }

    /// Records that a request was started.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::size_fairness::SizeFairness;
    /// # use sardinewood::direct::sharing::size_stats::SizeClass;
    /// SizeFairness::default().record_start(&"notes".into(), SizeClass::Usual);
    /// ```
    pub fn record_start(&mut self, route: &Arc<str>, size: SizeClass) {
        self.account(route).record_decision(size, 1.0);
    }

    /// Records that a request was refused.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::size_fairness::SizeFairness;
    /// # use sardinewood::direct::sharing::size_stats::SizeClass;
    /// SizeFairness::default().record_refusal(&"notes".into(), SizeClass::Usual);
    /// ```
    pub fn record_refusal(&mut self, route: &Arc<str>, size: SizeClass) {
        self.account(route).record_decision(size, 0.0);
    }

    /// Records that a started request got no complete answer, which adds its start to the deficit
    /// again.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::size_fairness::SizeFairness;
    /// # use sardinewood::direct::sharing::size_stats::SizeClass;
    /// SizeFairness::default().record_incomplete(&"notes".into(), SizeClass::Usual);
    /// ```
    pub fn record_incomplete(&mut self, route: &Arc<str>, size: SizeClass) {
        self.account(route).add_to_deficit(size, 1.0);
    }

    fn account(&mut self, route: &Arc<str>) -> &mut RouteAccount {
        self.routes
            .entry(Arc::clone(route))
            .or_insert(RouteAccount::NEW)
    }
}
