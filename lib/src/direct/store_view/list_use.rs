//! Whether the list of upstreams is new enough to send a request by it, and who is asked if it is not.

/// Part of the bound, in twentieths, up to which the list is used as it is.
const USE_TWENTIETHS: u64 = 15;
/// Part of the bound, in twentieths, up to which it is used while it is renewed. The rest is for the way
/// of the request to its upstream.
const RENEW_TWENTIETHS: u64 = 18;
const TWENTIETHS: u64 = 20;
/// Time for a peer's reply, after which the store is asked.
pub const PEER_REPLY_WAIT_MS: u64 = 50;

/// Longest time for which requests wait for an answer. A peer and the store take some milliseconds each.
pub const CONFIRM_WAIT_MS: u64 = 250;

/// Returns for how long after an upstream's leaving requests may be sent to it, given the time within
/// which they may still reach it.
///
/// ```
/// use sardinewood::direct::store_view::list_use::latest_use_ms;
///
/// assert_eq!(latest_use_ms(2_000), 1_800);
/// ```
#[must_use]
pub fn latest_use_ms(bound_ms: u64) -> u64 {
    bound_ms * RENEW_TWENTIETHS / TWENTIETHS
}

/// What is done with the list before a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUse {
    /// It is used.
    Use,
    /// It is used, and confirmed for the requests that follow.
    Renew,
    /// It is confirmed first.
    Confirm,
}

impl ListUse {
    /// Returns what is done with a list of an age, given the time after an upstream's leaving within which
    /// requests may still reach it.
    ///
    /// ```
    /// use sardinewood::direct::store_view::list_use::ListUse;
    ///
    /// assert_eq!(ListUse::at(Some(1_500), 2_000), ListUse::Use);
    /// assert_eq!(ListUse::at(Some(1_800), 2_000), ListUse::Renew);
    /// assert_eq!(ListUse::at(Some(1_801), 2_000), ListUse::Confirm);
    /// assert_eq!(ListUse::at(None, 2_000), ListUse::Confirm);
    /// ```
    #[must_use]
    pub fn at(age_ms: Option<u64>, bound_ms: u64) -> Self {
        match age_ms {
            Some(age_ms) if age_ms * TWENTIETHS <= bound_ms * USE_TWENTIETHS => Self::Use,
            Some(age_ms) if age_ms <= latest_use_ms(bound_ms) => Self::Renew,
            _ => Self::Confirm,
        }
    }
}

/// Who is asked next whether the list is the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfirmStep {
    /// A peer that watches the store.
    AskPeer,
    /// The store.
    AskStore,
    /// Nobody: a question is open, or the last one failed a short time ago.
    Wait,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    Nobody,
    Peer { until_ms: u64 },
    Store,
}

/// The questions of one entry whether its list is the newest, one at a time: to a peer first, as that
/// costs the store nothing, and to the store if the peer can't tell.
///
/// ```
/// use sardinewood::direct::store_view::list_use::{ConfirmStep, Confirmation};
///
/// let mut confirmation = Confirmation::default();
/// assert_eq!(confirmation.next_step(0, true), ConfirmStep::AskPeer);
/// assert_eq!(confirmation.next_step(10, true), ConfirmStep::Wait);
/// assert_eq!(confirmation.next_step(60, true), ConfirmStep::AskStore);
/// confirmation.record_failure(200, 500);
/// assert!(!confirmation.is_promising(200));
/// assert_eq!(confirmation.next_step(600, false), ConfirmStep::Wait);
/// assert_eq!(confirmation.next_step(700, false), ConfirmStep::AskStore);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    asked: Asked,
    /// When the open question was first asked.
    began_ms: u64,
    not_before_ms: u64,
    has_failed: bool,
}

impl Default for Confirmation {
    fn default() -> Self {
        Self {
            asked: Asked::Nobody,
            began_ms: 0,
            not_before_ms: 0,
            has_failed: false,
        }
    }
}

impl Confirmation {
    /// Returns the next step of an entry whose list is to be confirmed.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::list_use::{ConfirmStep, Confirmation};
    /// assert_eq!(Confirmation::default().next_step(0, false), ConfirmStep::AskStore);
    /// ```
    pub fn next_step(&mut self, now_ms: u64, has_peer: bool) -> ConfirmStep {
        match self.asked {
            Asked::Nobody if now_ms >= self.not_before_ms && has_peer => {
                let until_ms = now_ms + PEER_REPLY_WAIT_MS;
                self.asked = Asked::Peer { until_ms };
                self.began_ms = now_ms;
                ConfirmStep::AskPeer
            }
            Asked::Peer { until_ms } if now_ms < until_ms => ConfirmStep::Wait,
            Asked::Peer { .. } | Asked::Nobody | Asked::Store => self.ask_store(now_ms),
        }
    }

    /// Returns the next step of an entry that has to ask the store itself.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::list_use::{ConfirmStep, Confirmation};
    /// let mut confirmation = Confirmation::default();
    /// assert_eq!(confirmation.ask_store(0), ConfirmStep::AskStore);
    /// assert_eq!(confirmation.ask_store(0), ConfirmStep::Wait);
    /// ```
    pub fn ask_store(&mut self, now_ms: u64) -> ConfirmStep {
        if self.asked == Asked::Store || now_ms < self.not_before_ms {
            return ConfirmStep::Wait;
        }
        if self.asked == Asked::Nobody {
            self.began_ms = now_ms;
        }
        self.asked = Asked::Store;
        ConfirmStep::AskStore
    }

    /// Records that the store, or a peer, has confirmed the list or brought a newer one, which may be in use a
    /// moment later.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::list_use::{ConfirmStep, Confirmation};
    /// let mut confirmation = Confirmation::default();
    /// confirmation.record_answer(100);
    /// assert_eq!(confirmation.next_step(100, true), ConfirmStep::Wait);
    /// ```
    pub fn record_answer(&mut self, now_ms: u64) {
        *self = Self {
            not_before_ms: now_ms + PEER_REPLY_WAIT_MS,
            ..Self::default()
        };
    }

    /// Records that the store has not answered, and how long it is left alone.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::list_use::Confirmation;
    /// let mut confirmation = Confirmation::default();
    /// confirmation.record_failure(0, 500);
    /// assert!(!confirmation.is_promising(0));
    /// ```
    pub fn record_failure(&mut self, now_ms: u64, pause_ms: u64) {
        *self = Self {
            not_before_ms: now_ms + pause_ms,
            has_failed: true,
            ..Self::default()
        };
    }

    /// Records that the list is new enough, whoever has confirmed it. What has failed before is over; a question
    /// to the store stays open until its outcome is known.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::list_use::{ConfirmStep, Confirmation};
    /// let mut confirmation = Confirmation::default();
    /// confirmation.record_failure(0, 10_000);
    /// confirmation.record_fresh();
    /// assert!(confirmation.is_promising(100));
    /// assert_eq!(confirmation.next_step(100, true), ConfirmStep::AskPeer);
    /// ```
    pub fn record_fresh(&mut self) {
        if self.asked != Asked::Store {
            *self = Self::default();
        }
    }

    /// Returns whether requests wait for the answer. Once one question has failed or takes too long, the store
    /// is likely to be away, and they do not.
    ///
    /// ```
    /// # use sardinewood::direct::store_view::list_use::Confirmation;
    /// let mut confirmation = Confirmation::default();
    /// confirmation.ask_store(1_000);
    /// assert!(confirmation.is_promising(1_100) && !confirmation.is_promising(1_300));
    /// ```
    #[must_use]
    pub fn is_promising(&self, now_ms: u64) -> bool {
        let is_late = self.asked != Asked::Nobody && now_ms >= self.began_ms + CONFIRM_WAIT_MS;
        !self.has_failed && !is_late
    }
}
