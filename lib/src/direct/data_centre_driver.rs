//! Carries out what [`crate::direct::placement::data_centres`] decides: applies the settings, logs
//! flows of requests to other data centres that start and stop, and counts bytes by destination.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::direct::membership::peer_message::Heartbeat;
use crate::direct::placement::data_centres::FlowChange;
use crate::direct::placement::data_centres::data_centre_hash;
use crate::direct::placement::job::Job;
use crate::direct::store_view::directory::Upstream;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;

/// Where bytes go, as metrics name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Destination {
    /// The data centre of this entry.
    Same,
    /// Another data centre.
    Other,
    /// A peer that has not told its data centre.
    Unknown,
}

impl Destination {
    /// Returns the destination for a data centre's hash, seen from another one.
    ///
    /// ```
    /// use sardinewood::direct::data_centre_driver::Destination;
    ///
    /// assert_eq!(Destination::of(1, Some(2)), Destination::Other);
    /// ```
    #[must_use]
    pub fn of(own: u32, other: Option<u32>) -> Self {
        match other {
            Some(other) if other == own => Self::Same,
            Some(_) => Self::Other,
            None => Self::Unknown,
        }
    }

    /// Returns the name in metrics.
    ///
    /// ```
    /// # use sardinewood::direct::data_centre_driver::Destination;
    /// assert_eq!(Destination::Same.name(), "same");
    /// ```
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Same => "same",
            Self::Other => "other",
            Self::Unknown => "unknown",
        }
    }
}

impl TrafficState {
    /// Applies the price of a transfer and this entry's data centre to the choice of upstreams.
    pub fn apply_data_centre_policy(&self) {
        let own = self.peers.borrow().own_host().data_centre;
        let price_ms = self.load_policy.get().transfer_price_ms;
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.data_centres_mut().set_policy(own, price_ms);
    }

    /// Records the data centre of a peer whose heartbeat was applied.
    pub fn record_peer_data_centre(&self, heartbeat: &Heartbeat) {
        if let Some(host) = heartbeat.host {
            let mut dispatcher = self.dispatcher.borrow_mut();
            let (incarnation, data_centre) = (heartbeat.incarnation, host.data_centre);
            dispatcher.record_peer_data_centre(incarnation, data_centre, self.now_ms());
        }
    }

    /// Records the size of a request, by which the price of others is judged.
    pub fn record_request_size(&self, prompt_tokens: u32) {
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.data_centres_mut().record_size(prompt_tokens);
    }

    /// Records that a request asks an upstream's admission queue.
    pub fn record_asked(&self, job: &Job, instance: &str) {
        let now_ms = self.now_ms();
        let mut dispatcher = self.dispatcher.borrow_mut();
        if dispatcher.is_here(instance) {
            return;
        }
        let is_forced = dispatcher.is_forced_elsewhere(job, now_ms);
        dispatcher.record_asked(instance, is_forced, now_ms);
    }

    /// Logs which flows of requests to other data centres have started or stopped.
    pub fn log_flow_changes(&self) {
        let mut dispatcher = self.dispatcher.borrow_mut();
        if !dispatcher.data_centres().is_on() {
            return;
        }
        let changes = dispatcher.data_centres_mut().take_changes(self.now_ms());
        if changes.is_empty() {
            return;
        }
        let names = dispatcher.data_centre_names();
        drop(dispatcher);
        for change in changes {
            let name = names
                .get(&change.data_centre)
                .map_or("unknown", |name| name);
            self.log_flow_change(&change, name);
        }
    }

    fn log_flow_change(&self, change: &FlowChange, data_centre: &str) {
        let message = if change.is_started {
            "requests leave for another data centre"
        } else {
            "requests no longer leave for another data centre"
        };
        let inputs = &change.inputs;
        let whole_ms = |time_ms: f64| crate::numbers::whole_u64(time_ms);
        self.log(Level::Info, message, |line| {
            line.field("service", &change.service)
                .field("data_centre", data_centre)
                .field("share_percent", whole_ms(change.share * 100.0))
                .field("has_no_upstream_here", change.is_forced)
                .field("tier", inputs.tier)
                .field("wait_here_ms", whole_ms(inputs.here_ms))
                .field("wait_there_ms", whole_ms(inputs.there_ms))
                .field("wait_there_age_ms", inputs.there_age_ms)
                .field("heard_age_ms", inputs.heard_age_ms)
                .field("transfer_ms", whole_ms(inputs.transfer_ms))
        });
    }

    /// Counts a message to peers by the destination of its bytes.
    pub fn count_bytes_to_peers(&self, targets: &[SocketAddr], purpose: &str, bytes: usize) {
        let peers = self.peers.borrow();
        let own = peers.own_host().data_centre;
        let mut counts: IndexMap<Destination, usize> = IndexMap::new();
        for target in targets {
            let destination = Destination::of(own, peers.data_centre_of(*target));
            *counts.entry(destination).or_default() += 1;
        }
        for (destination, count) in counts {
            self.metrics
                .count_bytes(purpose, destination, count * bytes);
        }
    }

    /// Counts a request that is sent to an upstream, by data centre.
    pub fn count_sent_to(&self, upstream: &Upstream, bytes: usize) {
        let labels: [&str; 2] = [&upstream.service, &upstream.data_centre];
        let sent_to = &self.metrics.data_centres.sent_to;
        sent_to.with_label_values(&labels).inc();
        let destination = self.destination_of(upstream);
        self.metrics.count_bytes("bodies", destination, bytes);
    }

    /// Counts bytes of an answer.
    pub fn count_answer_bytes(&self, upstream: &Upstream, bytes: usize) {
        let destination = self.destination_of(upstream);
        self.metrics.count_bytes("answers", destination, bytes);
    }

    /// Updates the gauges of the shares that leave for other data centres.
    pub fn update_data_centre_gauges(&self) {
        let dispatcher = self.dispatcher.borrow();
        let names = dispatcher.data_centre_names();
        for (service, data_centre, share) in dispatcher.data_centres().shares(self.now_ms()) {
            let name: &Arc<str> = match names.get(&data_centre) {
                Some(name) => name,
                None => continue,
            };
            let gauge = &self.metrics.data_centres.leaving_share;
            gauge.with_label_values(&[&**service, &**name]).set(share);
        }
    }

    /// Returns where bytes to or from an upstream go.
    #[must_use]
    pub fn destination_of(&self, upstream: &Upstream) -> Destination {
        let own = self.peers.borrow().own_host().data_centre;
        Destination::of(own, Some(data_centre_hash(&upstream.data_centre)))
    }
}
