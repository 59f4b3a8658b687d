//! A floor for each size of a kind: how often its requests begin, at the least, in relation to the
//! whole kind.
//!
//! Doors grant in a strict order, in which small requests of a kind go before large ones, since they
//! are worth more for the time that they take. In an overload that lasts, whatever comes last in a
//! strict order hardly begins at all: callers with large documents are refused try after try,
//! and their kind as a whole looks well. So each entry keeps an account for each size. While a size is
//! owed a start, its requests go first of their kind, as if they were small. Whatever puts a size
//! behind, the account sees only that it is refused more often, so no cause has to be known here.
//! It sees this entry's own callers, which is enough: if each entry keeps the floor, all do.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::direct::sharing::size_stats::SizeClass;

/// How often a size begins, at the least, in relation to its kind. Callers with large documents may
/// expect to be served at least half as often as others; what is above half is for the moments in
/// which an account lags behind. Each further tenth takes room from small requests, which are worth
/// more in it: in an overload of half again the capacity, 0.7 in place of 0.5 costs 0.003 of the
/// worth in virtual time.
const FLOOR: f64 = 0.6;
/// Part of a new decision in a kind's share: some fifty make up a new one, a few seconds of a busy
/// entry, so that the share follows a burst and not a single refusal.
const SHARE_PART: f64 = 0.02;
/// Starts by which a size may be behind. More would be paid back in a burst of large requests when
/// room returns, long after the callers who were refused have left.
const MOST_BEHIND: f64 = 4.0;

#[derive(Clone, Copy, Debug)]
struct Account {
    /// Part of the kind's requests that begin.
    share: f64,
    owed: [f64; SizeClass::ALL.len()],
}

impl Account {
    /// All requests begin until one does not.
    const NEW: Self = Self {
        share: 1.0,
        owed: [0.0; SizeClass::ALL.len()],
    };

    fn decide(&mut self, size: SizeClass, started: f64) {
        self.share += (started - self.share) * SHARE_PART;
        self.owe(size, FLOOR * self.share - started);
    }

    fn owe(&mut self, size: SizeClass, starts: f64) {
        let owed = &mut self.owed[size as usize];
        // What begins while all begin is no start ahead of others. Saved up, it would pay for an
        // overload that follows, and the largest would wait for their floor until that is over.
        // In an overload one start at most is kept: where few begin, three would make a size wait for
        // fifty further callers of its own, and it falls below half of its kind.
        let most_ahead = 1.0 - self.share;
        *owed = (*owed + starts).clamp(-most_ahead, MOST_BEHIND);
    }
}

/// What an entry owes to the sizes of each kind.
///
/// ```
/// use sardinewood::direct::sharing::size_fairness::SizeFairness;
/// use sardinewood::direct::sharing::size_stats::SizeClass;
///
/// let mut floor = SizeFairness::default();
/// let kind = "notes".into();
/// floor.record_refusal(&kind, SizeClass::Largest);
/// assert!(floor.has_deficit(&kind, SizeClass::Largest));
/// floor.record_start(&kind, SizeClass::Largest);
/// floor.record_start(&kind, SizeClass::Largest);
/// assert!(!floor.has_deficit(&kind, SizeClass::Largest));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SizeFairness {
    kinds: IndexMap<Arc<str>, Account>,
}

impl SizeFairness {
    /// Whether a size begins too rarely, so that the next request of it goes first of its kind.
    ///
    /// The usual sizes are owed nothing: seven tenths of a kind begin about as often as all of it.
    ///
    /// ```
    /// use sardinewood::direct::sharing::size_fairness::SizeFairness;
    /// use sardinewood::direct::sharing::size_stats::SizeClass;
    ///
    /// assert!(!SizeFairness::default().has_deficit("notes", SizeClass::Largest));
    /// ```
    #[must_use]
    pub fn has_deficit(&self, kind: &str, size: SizeClass) -> bool {
        let account = self.kinds.get(kind);
        size != SizeClass::Usual && account.is_some_and(|account| account.owed[size as usize] > 0.0)
    }

    /// Notes that a request has begun.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::size_fairness::SizeFairness;
    /// # use sardinewood::direct::sharing::size_stats::SizeClass;
    /// SizeFairness::default().record_start(&"notes".into(), SizeClass::Usual);
    /// ```
    pub fn record_start(&mut self, kind: &Arc<str>, size: SizeClass) {
        self.account(kind).decide(size, 1.0);
    }

    /// Notes that a request was refused.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::size_fairness::SizeFairness;
    /// # use sardinewood::direct::sharing::size_stats::SizeClass;
    /// SizeFairness::default().record_refusal(&"notes".into(), SizeClass::Usual);
    /// ```
    pub fn record_refusal(&mut self, kind: &Arc<str>, size: SizeClass) {
        self.account(kind).decide(size, 0.0);
    }

    /// Notes that a request which had begun did not end whole: its start is owed again.
    ///
    /// ```
    /// # use sardinewood::direct::sharing::size_fairness::SizeFairness;
    /// # use sardinewood::direct::sharing::size_stats::SizeClass;
    /// SizeFairness::default().record_incomplete(&"notes".into(), SizeClass::Usual);
    /// ```
    pub fn record_incomplete(&mut self, kind: &Arc<str>, size: SizeClass) {
        self.account(kind).owe(size, 1.0);
    }

    fn account(&mut self, kind: &Arc<str>) -> &mut Account {
        self.kinds.entry(Arc::clone(kind)).or_insert(Account::NEW)
    }
}
