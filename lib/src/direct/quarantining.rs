//! From a broken connection to the end of an upstream: carries out what [`quarantine`] decides.
//!
//! [`quarantine`]: crate::direct::quarantine

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::direct::quarantine::ends::End;
use crate::direct::quarantine::ends::Next;
use crate::direct::quarantine::ends::PROBE_PAUSES_MS;
use crate::direct::quarantine::ends::Run;
use crate::direct::request::call::Call;
use crate::direct::request::connections;
use crate::direct::request::connections::ConnectError;
use crate::direct::traffic::Lease;
use crate::direct::traffic::Traffic;
use crate::direct::view::directory::Upstream;
use crate::logging::Level;

impl Traffic {
    /// Notes that the connection broke on which a request ran.
    pub fn run_broke(self: &Rc<Self>, call: &Call, lease: &Lease) {
        let upstream = &lease.upstream;
        // One that leaves ends when it has done its work, whatever was sent to it.
        if !self.dispatcher.borrow().is_listed(&upstream.instance) {
            return;
        }
        let run = Run {
            request: call.fingerprint(),
            name: call.name().into(),
            began_ms: lease.since_ms(),
        };
        let next = self.breaks.borrow_mut().broke(upstream, run, self.now_ms());
        match next {
            Next::Probe => {
                spawn_local(probe(Rc::clone(self), Arc::clone(upstream)));
            }
            Next::Ended(end) => self.upstream_ended(&end),
            Next::Wait | Next::Nothing => {}
        }
    }

    /// Notes that nobody listens at an upstream's address.
    pub fn upstream_refused(&self, instance: &str) {
        let end = self.breaks.borrow_mut().refused(instance);
        if let Some(end) = end {
            self.upstream_ended(&end);
        }
    }

    /// Looks for upstreams whose place another incarnation has taken.
    pub fn upstreams_listed(&self, upstreams: &[Arc<Upstream>]) {
        let ends = self.breaks.borrow_mut().listed(upstreams);
        for end in &ends {
            self.upstream_ended(end);
        }
    }

    fn upstream_ended(&self, end: &End) {
        if end.is_first {
            let ends = &self.figures.upstream_ends;
            ends.with_label_values(&[&*end.service]).inc();
        }
        self.log(
            Level::Warn,
            "upstream ended in the middle of runs",
            |line| {
                let run = |run: &Run| {
                    json!({
                        "request": run.name,
                        "fingerprint": run.request.to_string(),
                        "held_ms": end.broke_at_ms.saturating_sub(run.began_ms),
                    })
                };
                line.field("upstream", &end.instance)
                    .field("service", &end.service)
                    .field("proof", end.proof.name())
                    .field("runs", end.runs.iter().map(run).collect::<Vec<_>>())
            },
        );
    }
}

/// Sees whether anybody listens at an upstream's address. A connection that comes of it is kept, in
/// place of the one that broke.
async fn probe(traffic: Rc<Traffic>, upstream: Arc<Upstream>) {
    for pause_ms in PROBE_PAUSES_MS {
        sleep(Duration::from_millis(pause_ms)).await;
        if !traffic.breaks.borrow().is_open(&upstream.instance) {
            return;
        }
        match connections::connect(&upstream).await {
            Ok(connection) => traffic
                .connections
                .put(&upstream.instance, connection, None),
            Err(ConnectError::Refused) => traffic.upstream_refused(&upstream.instance),
            Err(ConnectError::TimedOut | ConnectError::Unusable) => {}
        }
    }
}
