//! What one answer says of the upstream that gave it.

use std::sync::Arc;

/// A figure that an answer may name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum NoticeField<T> {
    /// It is not named.
    #[default]
    Absent,
    /// It is named.
    Value(T),
    /// What stands in its place is no such figure.
    Invalid(Arc<str>),
}

/// What an answer says of the upstream that gave it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamNotice {
    /// Requests in 1,000 seconds that the upstream takes from all entries together.
    pub limit_per_1000_s: NoticeField<u32>,
    /// How long the upstream wants nothing from the entry that it has turned away.
    pub backoff_ms: NoticeField<u32>,
    /// Whether it says that it will end.
    pub is_leaving: bool,
}
