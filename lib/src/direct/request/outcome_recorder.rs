//! How a request ended for its caller, counted once whichever way it ends.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use crate::direct::sharing::size_stats::CallOutcome;
use crate::direct::sharing::size_stats::SizeClass;
use crate::direct::traffic::TrafficState;

/// What shares by size are counted by.
#[derive(Clone, Debug)]
pub struct Counted {
    /// The route's name.
    pub kind: Arc<str>,
    /// The service that it is for.
    pub service: Arc<str>,
    /// Importance of its route.
    pub tier: u8,
    /// How large it is among those of its route.
    pub size: SizeClass,
}

/// Counts a request when it is dropped, as not whole unless something else was said: so a caller
/// that leaves and a stream that is cut count without a line of their own at each such place.
#[derive(Debug)]
pub struct OutcomeRecorder {
    traffic: Rc<TrafficState>,
    counted: Counted,
    has_started: Cell<bool>,
    end: Cell<CallOutcome>,
}

impl OutcomeRecorder {
    /// Of a request that has just been read.
    #[must_use]
    pub fn new(traffic: &Rc<TrafficState>, counted: Counted) -> Rc<Self> {
        Rc::new(Self {
            traffic: Rc::clone(traffic),
            counted,
            has_started: Cell::new(false),
            end: Cell::new(CallOutcome::Incomplete),
        })
    }

    /// How large the request is among those of its route.
    #[must_use]
    pub fn size(&self) -> SizeClass {
        self.counted.size
    }

    /// Whether its size is owed a start.
    #[must_use]
    pub fn has_start_deficit(&self) -> bool {
        let floor = self.traffic.size_fairness.borrow();
        floor.has_deficit(&self.counted.kind, self.counted.size)
    }

    /// Says that an upstream has room for the request. A second attempt is no second start.
    pub fn set_started(&self) {
        if self.has_started.replace(true) {
            return;
        }
        let mut floor = self.traffic.size_fairness.borrow_mut();
        floor.record_start(&self.counted.kind, self.counted.size);
    }

    /// Says how the request ends.
    pub fn set(&self, end: CallOutcome) {
        self.end.set(end);
    }

    /// Says that the caller has a whole answer.
    pub fn set_whole(&self, is_in_time: bool) {
        let end = if is_in_time {
            CallOutcome::InTime
        } else {
            CallOutcome::Late
        };
        self.end.set(end);
    }
}

impl Drop for OutcomeRecorder {
    fn drop(&mut self) {
        let Counted {
            kind,
            service,
            tier,
            size,
        } = &self.counted;
        let end = self.end.get();
        let mut shares = self.traffic.size_stats.borrow_mut();
        shares.record_outcome(kind, *size, end);
        let mut floor = self.traffic.size_fairness.borrow_mut();
        match (self.has_started.get(), end.is_served()) {
            (false, _) => floor.record_refusal(kind, *size),
            (true, false) => floor.record_incomplete(kind, *size),
            (true, true) => {}
        }
        let tier = tier.to_string();
        self.traffic
            .metrics
            .ended
            .with_label_values(&[service, tier.as_str(), size.name(), end.name()])
            .inc();
    }
}
