//! How fast a stream's events come, as the version of its upstream is judged by it.

use tokio::time::Instant;

use crate::direct::request::call::Call;
use crate::direct::rollout::table::RunOutcome;
use crate::direct::traffic::SlotLease;
use crate::direct::traffic::TrafficState;

/// Events after which the pace of a stream is known.
const PACE_EVENTS: u32 = 5;
const MS_PER_S: f64 = 1_000.0;

/// The pace of one stream: told after a few events, since a long stream would tell it too late.
#[derive(Debug, Default)]
pub struct Pace {
    first: Option<Instant>,
    /// Events after the first ones.
    events: u32,
    is_told: bool,
}

impl Pace {
    /// Notes the first event.
    pub fn first(&mut self, now: Instant) {
        self.first = Some(now);
    }

    /// Notes that so many more have come.
    pub fn next(&mut self, events: u32, traffic: &TrafficState, call: &Call, lease: &SlotLease) {
        self.events += events;
        if self.events >= PACE_EVENTS {
            self.end(traffic, call, lease);
        }
    }

    /// Tells it if it was not told. What a second upstream goes on with says nothing of either.
    pub fn end(&mut self, traffic: &TrafficState, call: &Call, lease: &SlotLease) {
        let is_told = std::mem::replace(&mut self.is_told, true);
        let Some(first) = self
            .first
            .filter(|_| !is_told && call.tried_upstreams.len() == 1)
        else {
            return;
        };
        let came = if self.events == 0 {
            RunOutcome::Untimed
        } else {
            RunOutcome::Answered {
                ms_per_event: first.elapsed().as_secs_f64() * MS_PER_S / f64::from(self.events),
            }
        };
        traffic.record_version_outcome(call, lease, came);
    }
}
