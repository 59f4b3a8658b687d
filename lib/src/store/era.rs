//! The era of a store: how often the store has returned from an older copy of itself.
//!
//! In each era the store gives out revisions again that it has given out before, so revisions of
//! different eras can't be compared. The store names its era in every answer.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use http::HeaderValue;
use tokio::sync::watch;

use crate::logging::Level;
use crate::logging::Line;
use crate::store::ReadError;

/// Largest rise of the era that is believed. The era rises by one each time the store returns from a
/// copy, and a process that was cut off has missed a few of them.
const MAX_ERA_RISE: u32 = 1_000;

/// Whether an answer of the store may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraCheck {
    /// The answer is of this era, which is the latest one.
    Current(u32),
    /// The answer is the first one of a later era. The era counts once the next answer confirms it.
    Unconfirmed(u32),
    /// The answer is of an era that has ended.
    Ended(u32),
}

#[derive(Debug, Default)]
struct EraState {
    current: u32,
    /// A later era that one answer has named.
    candidate: Option<u32>,
    /// Whether an unusable era was logged in the current era.
    has_logged_unusable: bool,
}

/// What the clones of a [`StoreEra`] share.
#[derive(Debug, Default)]
struct SharedEra {
    state: Mutex<EraState>,
    /// The latest era, for those that wait for a change.
    current: watch::Sender<u32>,
}

/// The era of one store, as known from its answers. Clones share what they know.
///
/// A later era counts only once two answers in a row name it: all that is known of an earlier era
/// is older from then on, so one garbled answer would make a process ignore the store for good.
///
/// ```
/// use sardinewood::store::era::{EraCheck, StoreEra};
///
/// let era = StoreEra::default();
/// assert_eq!(era.observe(None), EraCheck::Current(0));
/// assert_eq!(era.observe(Some("4")), EraCheck::Unconfirmed(4));
/// assert_eq!(era.observe(Some("4")), EraCheck::Current(4));
/// assert_eq!(era.observe(Some("3")), EraCheck::Ended(3));
/// ```
#[derive(Clone, Debug, Default)]
pub struct StoreEra {
    shared: Arc<SharedEra>,
}

impl StoreEra {
    /// Records the era that an answer names, and returns whether the answer may be used. An answer
    /// that names none, or none that can be believed, is taken as one of the current era.
    #[must_use]
    pub fn observe(&self, named: Option<&str>) -> EraCheck {
        let mut state = self.lock();
        let Some(text) = named else {
            return EraCheck::Current(state.current);
        };
        let era = text.trim().parse().ok();
        let Some(era) = era.filter(|era| state.is_plausible(*era)) else {
            state.log_unusable(text);
            return EraCheck::Current(state.current);
        };
        let check = state.check(era);
        let current = state.current;
        self.shared.current.send_if_modified(|known| {
            let is_changed = *known != current;
            *known = current;
            is_changed
        });
        check
    }

    /// Returns the era of an answer with this header, if it is the latest one.
    ///
    /// # Errors
    ///
    /// When the answer is of another era, or the first one of a later one.
    ///
    /// ```
    /// assert_eq!(sardinewood::store::era::StoreEra::default().check(None), Ok(0));
    /// ```
    pub fn check(&self, header: Option<&HeaderValue>) -> Result<u32, ReadError> {
        // A value that is no text names no era, and is logged as one that can't be used.
        let named = header.map(|value| value.to_str().unwrap_or("?"));
        match self.observe(named) {
            EraCheck::Current(era) => Ok(era),
            EraCheck::Unconfirmed(era) | EraCheck::Ended(era) => Err(ReadError::OtherEra { era }),
        }
    }

    /// Waits for a call that is meant for an era, or until another call hears of a later one.
    ///
    /// # Errors
    ///
    /// When the call fails, or the era has ended.
    ///
    /// ```
    /// # use sardinewood::store::era::StoreEra;
    /// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
    /// let answer = StoreEra::default().call_within(0, async { Ok(7) }).await;
    /// assert_eq!(answer, Ok(7));
    /// # });
    /// ```
    pub async fn call_within<T>(
        &self,
        era: u32,
        call: impl Future<Output = Result<T, ReadError>>,
    ) -> Result<T, ReadError> {
        let mut current = self.shared.current.subscribe();
        tokio::select! {
            answer = call => answer,
            changed = current.wait_for(|current| *current != era) => Err(ReadError::OtherEra {
                // The sender lives as long as this value.
                era: changed.map_or(era, |current| *current),
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, EraState> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an era that another process has confirmed, if it is a later one. A process that seldom
    /// calls the store would otherwise have to call it twice more before it can write.
    ///
    /// ```
    /// use sardinewood::store::era::{EraCheck, StoreEra};
    ///
    /// let era = StoreEra::default();
    /// era.learn(4);
    /// assert_eq!(era.observe(Some("4")), EraCheck::Current(4));
    /// ```
    pub fn learn(&self, era: u32) {
        let mut state = self.lock();
        if era > state.current && state.is_plausible(era) {
            state.begin(era);
            self.shared.current.send_replace(era);
        }
    }

    /// Returns the latest era, or 0 if none is known.
    ///
    /// ```
    /// assert_eq!(sardinewood::store::era::StoreEra::default().current(), 0);
    /// ```
    #[must_use]
    pub fn current(&self) -> u32 {
        self.lock().current
    }
}

impl EraState {
    /// Any era may be the first one that is known.
    fn is_plausible(&self, era: u32) -> bool {
        self.current == 0 || era <= self.current.saturating_add(MAX_ERA_RISE)
    }

    fn check(&mut self, era: u32) -> EraCheck {
        if era < self.current {
            self.log_unusable(&era.to_string());
            return EraCheck::Ended(era);
        }
        if era == self.current {
            self.candidate = None;
            return EraCheck::Current(era);
        }
        if self.candidate.replace(era) != Some(era) {
            return EraCheck::Unconfirmed(era);
        }
        self.begin(era);
        EraCheck::Current(era)
    }

    fn begin(&mut self, era: u32) {
        self.candidate = None;
        let (level, message) = match self.current {
            0 => (Level::Info, "store names its era"),
            _ => (Level::Warn, "store has returned from an older copy"),
        };
        Line::new(level, message)
            .field("era", era)
            .field("era_before", self.current)
            .send();
        self.current = era;
        self.has_logged_unusable = false;
    }

    fn log_unusable(&mut self, named: &str) {
        if !std::mem::replace(&mut self.has_logged_unusable, true) {
            Line::new(Level::Warn, "store names an era that can't be used")
                .field("named", named.chars().take(32).collect::<String>())
                .field("era", self.current)
                .send();
        }
    }
}
