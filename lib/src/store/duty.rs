//! Which processes watch the platform's store, so that a change does not make a whole fleet
//! call it.
//!
//! A watch is a call, and each change ends every watch: with 2,350 processes that watch, one
//! change is 2,350 calls within a second, more than the store takes. A few dozen watchers are
//! enough, since the others hear of a change from the spread within a round or two. Who they
//! are needs no agreement: each process draws for itself, for a minute at a time, with a
//! probability that makes about [`WATCHERS`] of the fleet. That none draws it in a minute has
//! a probability of about e^-64; a fleet no larger than that watches as a whole.

/// How many processes watch the store at a time, on average.
pub const WATCHERS: usize = 64;

/// How long a draw holds.
const DRAW_HOLDS_MS: u64 = 60_000;

/// Whether this process is one of those that watch the store.
///
/// ```
/// use sardinewood::store::duty::StoreDuty;
///
/// let mut duty = StoreDuty::default();
/// assert!(duty.is_due(0, 10, 0.9), "each process of a small fleet watches");
/// assert!(!duty.is_due(0, 2_349, 0.9));
/// assert!(duty.is_due(60_000, 2_349, 0.01), "another minute, another draw");
/// assert!(duty.is_due(60_001, 0, 0.9), "nobody would tell a process that hears nobody");
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreDuty {
    drawn: Option<Drawn>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Drawn {
    is_on: bool,
    until_ms: u64,
}

impl StoreDuty {
    /// Whether to watch now. `others` are the processes known through the spread, 0 while
    /// nothing is heard of any; `draw` is a random number from 0 to 1, used when a new draw
    /// is due.
    pub fn is_due(&mut self, now_ms: u64, others: usize, draw: f64) -> bool {
        if others < WATCHERS {
            // What was drawn for a large fleet does not hold for a small one.
            self.drawn = None;
            return true;
        }
        match self.drawn {
            Some(drawn) if now_ms < drawn.until_ms => drawn.is_on,
            _ => self.draw(now_ms, others, draw),
        }
    }

    fn draw(&mut self, now_ms: u64, others: usize, draw: f64) -> bool {
        let is_on = draw * as_f64(others + 1) < as_f64(WATCHERS);
        self.drawn = Some(Drawn {
            is_on,
            until_ms: now_ms + DRAW_HOLDS_MS,
        });
        is_on
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a fleet has fewer than 2^53 processes"
)]
fn as_f64(count: usize) -> f64 {
    count as f64
}
