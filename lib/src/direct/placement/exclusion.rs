//! Exclusion of an upstream whose answers are not valid, until one trial request succeeds.
//!
//! An answer that is not HTTP, or without end, fails fast or costs the entry up to the bound of an
//! answer. An upstream that fails fast has few running requests, so its load is low and it would be
//! sent more and more requests. A pause alone, after which all entries use it again, is not enough.

/// Time until the first trial. Some upstreams spoil a few of a hundred answers and are sound otherwise,
/// many of them at once, so one invalid answer must not cost much of their capacity. With the factor,
/// an upstream that stays faulty gets two trials in its first ten seconds, and at most two a minute
/// later.
const FIRST_PAUSE_MS: u64 = 300;
/// Factor by which the pause grows with each failed trial.
const PAUSE_FACTOR: u64 = 10;
/// Longest time until the next trial.
const MAX_PAUSE_MS: u64 = 30_000;
/// Pause after a trial that did not tell anything, for example because its caller left.
const UNDECIDED_PAUSE_MS: u64 = 300;
/// How long an entry goes on to report an upstream whose trial is due and has not begun. After that,
/// an entry that has requests for the upstream may try it.
const REPORTED_WHILE_DUE_MS: u64 = 2_000;

/// The trial request of an excluded upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trial {
    /// None runs.
    None,
    /// A request has a slot.
    Chosen,
    /// The request with this lease runs.
    Runs(u64),
}

/// How the request of a lease has ended, as far as the exclusion is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialOutcome {
    /// The upstream sent a whole valid answer.
    Succeeded,
    /// The upstream failed.
    Failed,
    /// The request says nothing about the upstream.
    Undecided,
}

/// State of the exclusion of one upstream.
///
/// ```
/// use sardinewood::direct::placement::exclusion::{Exclusion, TrialOutcome};
///
/// let mut exclusion = Exclusion::observed(0);
/// assert!(!exclusion.allows_trial(299) && exclusion.allows_trial(300));
/// exclusion.choose_trial();
/// exclusion.begin_trial(7);
/// assert!(!exclusion.allows_trial(301));
/// assert!(exclusion.end(7, TrialOutcome::Succeeded, 310));
/// ```
#[derive(Clone, Debug)]
pub struct Exclusion {
    /// Whether this entry has observed the invalid answer, and not only heard of it.
    is_observed: bool,
    failures: u32,
    until_ms: u64,
    trial: Trial,
}

impl Exclusion {
    /// Creates the exclusion of an upstream that has sent an invalid answer to this entry.
    ///
    /// ```
    /// assert!(!sardinewood::direct::placement::exclusion::Exclusion::observed(5).allows_trial(6));
    /// ```
    #[must_use]
    pub fn observed(now_ms: u64) -> Self {
        Self {
            is_observed: true,
            failures: 1,
            until_ms: now_ms + FIRST_PAUSE_MS,
            trial: Trial::None,
        }
    }

    /// Creates the exclusion of an upstream that a peer has reported.
    ///
    /// ```
    /// assert!(sardinewood::direct::placement::exclusion::Exclusion::reported(9).allows_trial(9));
    /// ```
    #[must_use]
    pub fn reported(until_ms: u64) -> Self {
        Self {
            is_observed: false,
            failures: 0,
            until_ms,
            trial: Trial::None,
        }
    }

    /// Applies another report of a peer. Of several entries that have observed the same, the one that
    /// has precedence tries the upstream, and the others wait for it.
    ///
    /// ```
    /// let mut exclusion = sardinewood::direct::placement::exclusion::Exclusion::observed(0);
    /// exclusion.merge_report(9_000, true, 10);
    /// assert!(!exclusion.allows_trial(3_000) && !exclusion.is_reported(10));
    /// ```
    pub fn merge_report(&mut self, until_ms: u64, has_precedence: bool, now_ms: u64) {
        if self.is_reported(now_ms) && !has_precedence {
            return;
        }
        self.is_observed = false;
        self.until_ms = self.until_ms.max(until_ms);
    }

    /// Returns whether a request may be sent as the trial.
    ///
    /// ```
    /// assert!(!sardinewood::direct::placement::exclusion::Exclusion::observed(0).allows_trial(0));
    /// ```
    #[must_use]
    pub fn allows_trial(&self, now_ms: u64) -> bool {
        self.trial == Trial::None && now_ms >= self.until_ms
    }

    /// Returns when the next trial may begin.
    ///
    /// ```
    /// assert!(sardinewood::direct::placement::exclusion::Exclusion::observed(0).until_ms() > 0);
    /// ```
    #[must_use]
    pub fn until_ms(&self) -> u64 {
        self.until_ms
    }

    /// Returns whether this entry reports the upstream to its peers.
    ///
    /// ```
    /// use sardinewood::direct::placement::exclusion::Exclusion;
    ///
    /// assert!(Exclusion::observed(0).is_reported(1) && !Exclusion::reported(9).is_reported(1));
    /// ```
    #[must_use]
    pub fn is_reported(&self, now_ms: u64) -> bool {
        let is_tried = self.trial != Trial::None || now_ms < self.until_ms + REPORTED_WHILE_DUE_MS;
        self.is_observed && is_tried
    }

    /// Records that a request has a slot, which makes it the trial.
    ///
    /// ```
    /// let mut exclusion = sardinewood::direct::placement::exclusion::Exclusion::reported(0);
    /// exclusion.choose_trial();
    /// assert!(!exclusion.allows_trial(5));
    /// ```
    pub fn choose_trial(&mut self) {
        self.trial = Trial::Chosen;
    }

    /// Records the lease of the chosen trial, which is the next one that is created.
    ///
    /// ```
    /// let mut exclusion = sardinewood::direct::placement::exclusion::Exclusion::reported(0);
    /// exclusion.choose_trial();
    /// exclusion.begin_trial(7);
    /// assert!(exclusion.is_trial(7) && !exclusion.is_trial(8));
    /// ```
    pub fn begin_trial(&mut self, id: u64) {
        if self.trial == Trial::Chosen {
            self.trial = Trial::Runs(id);
        }
    }

    /// Returns whether a lease is that of the trial.
    ///
    /// ```
    /// assert!(!sardinewood::direct::placement::exclusion::Exclusion::observed(0).is_trial(7));
    /// ```
    #[must_use]
    pub fn is_trial(&self, id: u64) -> bool {
        self.trial == Trial::Runs(id)
    }

    /// Records how the request of a lease has ended. Returns whether the exclusion is over.
    ///
    /// Requests that had started before the exclusion do not end it.
    ///
    /// ```
    /// use sardinewood::direct::placement::exclusion::{Exclusion, TrialOutcome};
    ///
    /// assert!(!Exclusion::observed(0).end(7, TrialOutcome::Succeeded, 10));
    /// ```
    pub fn end(&mut self, id: u64, outcome: TrialOutcome, now_ms: u64) -> bool {
        if !self.is_trial(id) {
            return false;
        }
        self.trial = Trial::None;
        match outcome {
            TrialOutcome::Succeeded => return true,
            TrialOutcome::Failed => self.fail(now_ms),
            TrialOutcome::Undecided => self.until_ms = now_ms + UNDECIDED_PAUSE_MS,
        }
        false
    }

    /// Records an invalid answer to a request that had started before the exclusion. An entry that was
    /// only told has now seen one as well.
    ///
    /// ```
    /// let mut exclusion = sardinewood::direct::placement::exclusion::Exclusion::reported(0);
    /// exclusion.observe(5);
    /// assert!(exclusion.is_reported(6) && !exclusion.allows_trial(6));
    /// ```
    pub fn observe(&mut self, now_ms: u64) {
        if self.failures == 0 {
            self.fail(now_ms);
        }
    }

    fn fail(&mut self, now_ms: u64) {
        let factor = PAUSE_FACTOR.saturating_pow(self.failures);
        let pause_ms = FIRST_PAUSE_MS.saturating_mul(factor).min(MAX_PAUSE_MS);
        self.is_observed = true;
        self.failures += 1;
        self.until_ms = now_ms + pause_ms;
    }
}
