//! Which answers of finished attempts are still held, within a bound on their bytes.

use indexmap::IndexMap;

use crate::ids::AttemptId;

#[derive(Clone, Copy, Debug)]
struct Kept {
    length_bytes: u64,
    since_ms: u64,
    acknowledged: bool,
}

/// The answers that can be read again.
///
/// ```
/// use sardinewood::ids::{AttemptId, RequestId};
/// use sardinewood::agent::retained_answers::RetainedAnswers;
///
/// let attempt = AttemptId { request: RequestId(1), number: 1 };
/// let mut answers = RetainedAnswers::default();
/// answers.keep(attempt, 100, 0);
/// assert!(answers.is_retained(attempt));
/// assert_eq!(answers.unread().count(), 1);
/// assert_eq!(answers.surplus(50), None, "nobody has read it yet");
/// answers.acknowledge(attempt);
/// assert_eq!(answers.surplus(50), Some(attempt));
/// ```
#[derive(Debug, Default)]
pub struct RetainedAnswers {
    /// In the order in which they ended.
    answers: IndexMap<AttemptId, Kept>,
    bytes: u64,
}

impl RetainedAnswers {
    /// Whether the answer of `attempt` can be read.
    #[must_use]
    pub fn is_retained(&self, attempt: AttemptId) -> bool {
        self.answers.contains_key(&attempt)
    }

    /// Answers that no entry has acknowledged to the end.
    pub fn unread(&self) -> impl Iterator<Item = AttemptId> {
        self.answers
            .iter()
            .filter(|(_, kept)| !kept.acknowledged)
            .map(|(attempt, _)| *attempt)
    }

    /// The oldest answer, if it ended by `before_ms`.
    #[must_use]
    pub fn expired(&self, before_ms: u64) -> Option<AttemptId> {
        let (attempt, kept) = self.answers.first()?;
        (kept.since_ms <= before_ms).then_some(*attempt)
    }

    /// The oldest answer that was read, if all together are over `limit_bytes`. One that
    /// its entry has not read yet is never given up for room.
    #[must_use]
    pub fn surplus(&self, limit_bytes: u64) -> Option<AttemptId> {
        if self.bytes <= limit_bytes {
            return None;
        }
        self.answers
            .iter()
            .find(|(_, kept)| kept.acknowledged)
            .map(|(attempt, _)| *attempt)
    }

    /// Notes an answer that is whole.
    pub fn keep(&mut self, attempt: AttemptId, length_bytes: u64, now_ms: u64) {
        self.bytes += length_bytes;
        let kept = Kept {
            length_bytes,
            since_ms: now_ms,
            acknowledged: false,
        };
        self.answers.insert(attempt, kept);
    }

    /// Notes that an entry has all of it.
    pub fn acknowledge(&mut self, attempt: AttemptId) {
        if let Some(kept) = self.answers.get_mut(&attempt) {
            kept.acknowledged = true;
        }
    }

    /// Notes that it is not held any more.
    pub fn forget(&mut self, attempt: AttemptId) {
        if let Some(kept) = self.answers.shift_remove(&attempt) {
            self.bytes -= kept.length_bytes;
        }
    }
}
