//! Measures the pace of a stream's events, by which rollouts judge the upstream's version.

use tokio::time::Instant;

use crate::direct::request::call::Call;
use crate::direct::rollout::table::RunOutcome;
use crate::direct::traffic::SlotLease;
use crate::direct::traffic::TrafficState;

/// Number of events after which the pace of a stream is reported.
const PACE_EVENTS: u32 = 5;
const MS_PER_S: f64 = 1_000.0;

/// Measures the pace of one stream. It is reported after a few events, because the end of a long
/// stream would be too late.
#[derive(Debug, Default)]
pub struct EventPace {
    first: Option<Instant>,
    /// Number of events since the first arrival.
    events: u32,
    is_reported: bool,
}

impl EventPace {
    /// Starts the measurement at the first event.
    pub fn start(&mut self, now: Instant) {
        self.first = Some(now);
    }

    /// Counts further events, and reports the pace when there are enough.
    pub fn record(&mut self, events: u32, traffic: &TrafficState, call: &Call, lease: &SlotLease) {
        self.events += events;
        if self.events >= PACE_EVENTS {
            self.report(traffic, call, lease);
        }
    }

    /// Reports the pace unless it was reported before. A stream that was resumed at another
    /// upstream isn't reported, since its pace tells nothing about either upstream.
    pub fn report(&mut self, traffic: &TrafficState, call: &Call, lease: &SlotLease) {
        let is_reported = std::mem::replace(&mut self.is_reported, true);
        let Some(first) = self
            .first
            .filter(|_| !is_reported && call.tried_upstreams.len() == 1)
        else {
            return;
        };
        let run_outcome = if self.events == 0 {
            RunOutcome::Untimed
        } else {
            RunOutcome::Answered {
                ms_per_event: first.elapsed().as_secs_f64() * MS_PER_S / f64::from(self.events),
            }
        };
        traffic.record_version_outcome(call, lease, run_outcome);
    }
}
