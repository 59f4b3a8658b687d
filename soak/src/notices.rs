//! What workers say of themselves when all is calm, and what reached them then.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use platform_testkit::notice_scene::arrived_in_rest;
use platform_testkit::notice_scene::most_within;
use platform_testkit::worker_stand_in::Manner;
use platform_testkit::worker_stand_in::WorkerStandIn;

/// What the limit allows in some span, from some time after it was first named.
const SPAN: Duration = Duration::from_secs(4);
const ALLOWED_IN_SPAN: usize = 17;
const CONTACT: Duration = Duration::from_secs(3);
/// The rest that is asked for, and what is allowed in it.
const REST: Duration = Duration::from_secs(2);
const ALLOWED_IN_REST: usize = 2;

/// When a request reached a worker, and its name.
type Arrival = (Instant, String);

/// A worker that limits its requests and one that asks for rest.
#[derive(Clone, Copy, Debug, Default)]
pub struct Notices {
    /// Their numbers, and since when.
    said: Option<(usize, usize, Instant)>,
}

impl Notices {
    /// How long the second one declines everything.
    pub const DECLINES_FOR: Duration = Duration::from_millis(400);

    /// Lets two workers say so, of these numbers.
    #[must_use]
    pub fn begin(limited: (usize, &WorkerStandIn), resting: (usize, &WorkerStandIn)) -> Self {
        limited.1.say(&["Server-Limit: 2"]);
        resting.1.say(&["Retry-After: 2"]);
        resting.1.set_manner(Manner::Decline);
        Self {
            said: Some((limited.0, resting.0, Instant::now())),
        }
    }

    /// Arrivals beyond what the limit allows, and beyond what the rest does.
    pub fn beyond(&self, arrivals: impl Fn(usize) -> Vec<Arrival>) -> (usize, usize) {
        let Some((limited, resting, since)) = self.said else {
            return (0, 0);
        };
        let most = most_within(&arrivals(limited), SPAN, since + CONTACT);
        let mut by_entry: BTreeMap<String, Vec<Instant>> = BTreeMap::new();
        for (at, id) in arrivals(resting).into_iter().filter(|(at, _)| *at > since) {
            let entry = id.split('-').next().unwrap_or_default().to_owned();
            by_entry.entry(entry).or_default().push(at);
        }
        let most_in_rest = by_entry
            .values()
            .map(|times| in_rest(times, since + Self::DECLINES_FOR));
        (
            most.saturating_sub(ALLOWED_IN_SPAN),
            most_in_rest
                .max()
                .unwrap_or_default()
                .saturating_sub(ALLOWED_IN_REST),
        )
    }
}

/// Arrivals from one entry in its rest, if it was told before the worker served again.
fn in_rest(times: &[Instant], served_again: Instant) -> usize {
    match times.first() {
        Some(first) if *first < served_again => arrived_in_rest(times, REST),
        _ => 0,
    }
}
