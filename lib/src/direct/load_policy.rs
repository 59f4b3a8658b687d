//! Which of the optional decisions under load an entry makes.

/// Largest plain answer that is accepted by default. Plain services answer with a few kilobytes, and
/// the smallest entry hosts have 160 MB for all their requests.
pub const DEFAULT_MAX_ANSWER_BYTES: u64 = 4 << 20;

/// The optional decisions under load. By default none is made, so that a deployment whose settings
/// don't mention them is served as before.
///
/// ```
/// use sardinewood::direct::load_policy::LoadPolicy;
///
/// assert_eq!(LoadPolicy::default().transfer_price_ms, None);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadPolicy {
    /// What sending a typical request out of the data centre costs, as waiting time, besides the time
    /// that the messages take; none if the choice of an upstream ignores data centres.
    pub transfer_price_ms: Option<u64>,
    /// Whether retry delays say when a slot is expected, and returning requests go first among equals.
    pub orders_returns: bool,
    /// Whether a request that can't be in time waits for those that can.
    pub skips_late_starts: bool,
    /// Bound of a plain answer, whose connection is closed beyond it.
    pub max_answer_bytes: u64,
}

impl Default for LoadPolicy {
    fn default() -> Self {
        Self {
            transfer_price_ms: None,
            orders_returns: false,
            skips_late_starts: false,
            max_answer_bytes: DEFAULT_MAX_ANSWER_BYTES,
        }
    }
}
