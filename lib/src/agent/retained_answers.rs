//! Index of the answers of finished attempts that are retained for replay.

use indexmap::IndexMap;

use crate::ids::AttemptId;

#[derive(Clone, Copy, Debug)]
struct RetainedAnswer {
    length_bytes: u64,
    since_ms: u64,
    acknowledged: bool,
}

/// The answers that can be replayed.
///
/// ```
/// use sardinewood::ids::{AttemptId, RequestId};
/// use sardinewood::agent::retained_answers::RetainedAnswers;
///
/// let attempt = AttemptId { request: RequestId(1), number: 1 };
/// let mut answers = RetainedAnswers::default();
/// answers.insert(attempt, 100, 0);
/// assert!(answers.is_retained(attempt));
/// assert_eq!(answers.unacknowledged().count(), 1);
/// assert_eq!(answers.evictable(50), None, "no entry has acknowledged it yet");
/// answers.acknowledge(attempt);
/// assert_eq!(answers.evictable(50), Some(attempt));
/// ```
#[derive(Debug, Default)]
pub struct RetainedAnswers {
    /// Answers in the order in which they were completed.
    answers: IndexMap<AttemptId, RetainedAnswer>,
    bytes: u64,
}

impl RetainedAnswers {
    /// Returns whether the answer of `attempt` can be replayed.
    #[must_use]
    pub fn is_retained(&self, attempt: AttemptId) -> bool {
        self.answers.contains_key(&attempt)
    }

    /// Returns the attempts whose answers no entry has acknowledged to the end.
    pub fn unacknowledged(&self) -> impl Iterator<Item = AttemptId> {
        self.answers
            .iter()
            .filter(|(_, answer)| !answer.acknowledged)
            .map(|(attempt, _)| *attempt)
    }

    /// Returns the oldest answer if it was completed by `before_ms`.
    #[must_use]
    pub fn expired(&self, before_ms: u64) -> Option<AttemptId> {
        let (attempt, answer) = self.answers.first()?;
        (answer.since_ms <= before_ms).then_some(*attempt)
    }

    /// Returns the oldest acknowledged answer if the answers together exceed `limit_bytes`.
    /// An answer that its entry has not acknowledged is never evicted for space.
    #[must_use]
    pub fn evictable(&self, limit_bytes: u64) -> Option<AttemptId> {
        if self.bytes <= limit_bytes {
            return None;
        }
        self.answers
            .iter()
            .find(|(_, answer)| answer.acknowledged)
            .map(|(attempt, _)| *attempt)
    }

    /// Adds a complete answer.
    pub fn insert(&mut self, attempt: AttemptId, length_bytes: u64, now_ms: u64) {
        self.bytes += length_bytes;
        let answer = RetainedAnswer {
            length_bytes,
            since_ms: now_ms,
            acknowledged: false,
        };
        self.answers.insert(attempt, answer);
    }

    /// Records that an entry has received the whole answer.
    pub fn acknowledge(&mut self, attempt: AttemptId) {
        if let Some(answer) = self.answers.get_mut(&attempt) {
            answer.acknowledged = true;
        }
    }

    /// Removes an answer that is no longer retained.
    pub fn remove(&mut self, attempt: AttemptId) {
        if let Some(answer) = self.answers.shift_remove(&attempt) {
            self.bytes -= answer.length_bytes;
        }
    }
}
