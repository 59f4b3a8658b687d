//! The notice that one answer carries.

use std::sync::Arc;

/// A value that an answer may state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum NoticeField<T> {
    /// The answer does not state it.
    #[default]
    Absent,
    /// The stated value.
    Value(T),
    /// The text in its place, which is not a valid value.
    Invalid(Arc<str>),
}

/// What one answer states about the upstream that gave it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamNotice {
    /// Limit of requests in 1,000 seconds that the upstream accepts from all entries together.
    pub limit_per_1000_s: NoticeField<u32>,
    /// Time for which the upstream wants no requests from the entry whose request it declined.
    pub backoff_ms: NoticeField<u32>,
    /// Whether the upstream announces that it is shutting down.
    pub is_leaving: bool,
}
