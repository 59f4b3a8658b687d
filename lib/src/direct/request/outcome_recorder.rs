//! Counts how each request ended for its caller, exactly once.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use crate::direct::sharing::size_stats::CallOutcome;
use crate::direct::sharing::size_stats::SizeClass;
use crate::direct::traffic::TrafficState;

/// Properties of a request by which its outcome is counted.
#[derive(Clone, Debug)]
pub struct OutcomeLabels {
    /// Name of the route.
    pub route: Arc<str>,
    /// Service that the request is for.
    pub service: Arc<str>,
    /// Tier of the route.
    pub tier: u8,
    /// Size class of the request among those of its route.
    pub size: SizeClass,
}

/// Counts the outcome of a request when dropped: as not whole unless another outcome was set.
///
/// So a caller that disconnects and a stream that is cut short are counted without code of their
/// own.
#[derive(Debug)]
pub struct OutcomeRecorder {
    traffic: Rc<TrafficState>,
    labels: OutcomeLabels,
    has_started: Cell<bool>,
    outcome: Cell<CallOutcome>,
}

impl OutcomeRecorder {
    /// Creates a recorder for a request that has just been read.
    #[must_use]
    pub fn new(traffic: &Rc<TrafficState>, labels: OutcomeLabels) -> Rc<Self> {
        Rc::new(Self {
            traffic: Rc::clone(traffic),
            labels,
            has_started: Cell::new(false),
            outcome: Cell::new(CallOutcome::Incomplete),
        })
    }

    /// Returns the size class of the request among those of its route.
    #[must_use]
    pub fn size(&self) -> SizeClass {
        self.labels.size
    }

    /// Returns whether the request's size class has a start deficit on its route.
    #[must_use]
    pub fn has_start_deficit(&self) -> bool {
        let fairness = self.traffic.size_fairness.borrow();
        fairness.has_deficit(&self.labels.route, self.labels.size)
    }

    /// Records that the request got a slot. A retry doesn't count as another start.
    pub fn set_started(&self) {
        if self.has_started.replace(true) {
            return;
        }
        let mut fairness = self.traffic.size_fairness.borrow_mut();
        fairness.record_start(&self.labels.route, self.labels.size);
    }

    /// Sets the outcome of the request.
    pub fn set(&self, outcome: CallOutcome) {
        self.outcome.set(outcome);
    }

    /// Sets the outcome of a request whose caller gets a whole response.
    pub fn set_whole(&self, is_in_time: bool) {
        let outcome = if is_in_time {
            CallOutcome::InTime
        } else {
            CallOutcome::Late
        };
        self.outcome.set(outcome);
    }
}

impl Drop for OutcomeRecorder {
    fn drop(&mut self) {
        let OutcomeLabels {
            route,
            service,
            tier,
            size,
        } = &self.labels;
        let outcome = self.outcome.get();
        let mut stats = self.traffic.size_stats.borrow_mut();
        stats.record_outcome(route, *size, outcome);
        let mut fairness = self.traffic.size_fairness.borrow_mut();
        match (self.has_started.get(), outcome.is_served()) {
            // A request that crashes upstreams says nothing about how its size is served.
            _ if outcome == CallOutcome::Quarantined => {}
            (false, _) => fairness.record_refusal(route, *size),
            (true, false) => fairness.record_incomplete(route, *size),
            (true, true) => {}
        }
        let tier = tier.to_string();
        self.traffic
            .metrics
            .ended
            .with_label_values(&[service, tier.as_str(), size.name(), outcome.name()])
            .inc();
    }
}
