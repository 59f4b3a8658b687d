//! Counters, gauges and latency histograms of an entry in the Prometheus format.

use prometheus::Encoder;
use prometheus::GaugeVec;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::caller::memory::CallerMemory;
use crate::direct::data_centre_driver::Destination;
use crate::numbers;

/// Upper bounds of the histogram buckets in milliseconds, from a local call to the longest request.
const BUCKETS_MS: [f64; 12] = [
    5.0, 10.0, 25.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1_600.0, 3_200.0, 6_400.0, 12_800.0,
];

/// Labels of the counters of datagrams to and from peers.
const PEER_LABELS: &[&str] = &["direction", "purpose"];

/// Metrics of one entry, described in `docs/OPERATIONS.md`.
///
/// ```
/// let metrics = sardinewood::direct::metrics::DirectMetrics::new().unwrap();
/// metrics.requests.inc();
/// assert!(metrics.text().contains("sardinewood_requests_total 1"));
/// ```
#[derive(Clone, Debug)]
pub struct DirectMetrics {
    registry: Registry,
    /// Requests received.
    pub requests: IntCounter,
    /// Responses of upstreams that were passed on, by status.
    pub answers: IntCounterVec,
    /// Responses that the entry made itself, by reason.
    pub refusals: IntCounterVec,
    /// Requests by how they ended for their callers, with service, tier and size class.
    pub ended: IntCounterVec,
    /// Failed attempts at upstreams, by reason.
    pub failed_attempts: IntCounterVec,
    /// Prompt tokens sent to upstreams, by service.
    pub prompt_tokens: IntCounterVec,
    /// Prompt tokens that the upstream probably had in its cache, by service.
    pub cached_tokens: IntCounterVec,
    /// Upstreams that crashed while they ran requests of this entry, by service.
    pub upstream_ends: IntCounterVec,
    /// Changed notices of upstreams, by kind.
    pub notices: IntCounterVec,
    /// Answers of limited upstreams that do not state the limit, by result of the request.
    pub omitted_limits: IntCounterVec,
    /// Canary requests sent to a new version, by service.
    pub trials: IntCounterVec,
    /// Rollouts that left a phase by this entry's decision, by service and reason.
    pub rollouts_decided: IntCounterVec,
    /// Requests sent to one more upstream, and the budget that limits them.
    pub retries: RetryMetrics,
    /// Streams resumed at another upstream.
    pub resumed: IntCounter,
    /// Streams that callers took up, by how their origin became known or why they were refused.
    pub taken_up: IntCounterVec,
    /// Streams that were cut short.
    pub cut: IntCounter,
    /// Log lines suppressed by the rate limit.
    pub left_out_lines: IntCounter,
    /// Datagrams to and from peers, by direction and purpose.
    pub peer_datagrams: IntCounterVec,
    /// Bytes of these datagrams, without headers.
    pub peer_bytes: IntCounterVec,
    /// Metrics by data centre.
    pub data_centres: DataCentreMetrics,
    /// Updates pulled from peers, by result.
    pub pulls: IntCounterVec,
    /// Pulls of peers, by result.
    pub pulls_served: IntCounterVec,
    /// Age of the oldest heartbeat among the live peers' latest ones.
    pub oldest_heartbeat_ms: IntGauge,
    /// Time that requests waited for a slot at an upstream.
    pub wait_ms: Histogram,
    /// Time from a request's arrival to the first part of its response, by tier.
    pub first_ms: HistogramVec,
    /// Requests whose response has not ended yet.
    pub open_requests: IntGauge,
    /// The same by how far they have come.
    pub requests_by_stage: GaugeVec,
    /// Slot requests without a grant yet.
    pub open_asks: IntGauge,
    /// Other entries that have sent a heartbeat recently.
    pub peers: IntGauge,
    /// Upstreams that take new work.
    pub upstreams: IntGauge,
    /// Upstreams with a request rate limit.
    pub limited_upstreams: IntGauge,
    /// Those of them whose admission queues here wait for an answer.
    pub stalled_upstreams: IntGauge,
    /// Upstreams that have announced that they will leave.
    pub leaving_upstreams: IntGauge,
    /// Upstreams that are used though their entries have disappeared from the list.
    pub missing_upstreams: IntGauge,
    /// Upstreams that have asked for a backoff that is not over.
    pub upstreams_at_rest: IntGauge,
    /// Upstreams that are excluded after invalid answers, or get one trial request.
    pub excluded_upstreams: IntGauge,
    /// Bytes of upstreams' answers that requests hold.
    pub held_answer_bytes: IntGauge,
    /// What callers hold.
    pub callers: CallerMetrics,
    /// Requests that may have crashed upstreams, or were cleared of the suspicion recently.
    pub suspects: IntGauge,
    /// Quarantined features of requests.
    pub held_requests: IntGauge,
    /// Quarantined parts of prompts among them.
    pub held_parts: IntGauge,
    /// Trials of quarantined features, by result.
    pub quarantine_trials: IntCounterVec,
    /// Version of the configuration that is in force.
    pub catalog_version: IntGauge,
    /// Time since the configuration was last known to be the newest one.
    pub catalog_age_ms: IntGauge,
    /// The same for the list of upstreams.
    pub list_age_ms: IntGauge,
    /// Age that the list of upstreams had reached when it became known that one is not used any more:
    /// the longest time for which it can have been left.
    pub leaving_known_within_ms: Histogram,
    /// Questions whether the list of upstreams is the newest, by who was asked.
    pub list_questions: IntCounterVec,
    /// Requests sent by a list that is older than upstreams may take to leave.
    pub sent_by_old_list: IntCounter,
    /// Refused callers that were told to return, and requests that returned, by result.
    pub returns: IntCounterVec,
    /// Requests refused because others could be in time and they could not, by tier.
    pub refused_late: IntCounterVec,
}

/// Metrics of what callers hold.
#[derive(Clone, Debug)]
pub struct CallerMetrics {
    /// Open connections of callers.
    pub connections: IntGauge,
    /// Bytes that they may hold together.
    pub max_bytes: IntGauge,
    /// Bytes that they hold, by what holds them.
    pub bytes: GaugeVec,
    /// Connections and bodies that gave way to others, or found no room, since the start.
    pub given_up: GaugeVec,
}

impl CallerMetrics {
    fn new() -> prometheus::Result<Self> {
        Ok(Self {
            connections: gauge("caller_connections", "Open connections of callers.")?,
            max_bytes: gauge("caller_bytes_limit", "Bytes that callers may hold.")?,
            bytes: GaugeVec::new(
                Opts::new("sardinewood_caller_bytes", "Bytes that callers hold."),
                &["part"],
            )?,
            given_up: GaugeVec::new(
                Opts::new(
                    "sardinewood_caller_given_up",
                    "Connections and bodies that gave way or found no room.",
                ),
                &["kind"],
            )?,
        })
    }

    /// Sets the metrics to what is held now.
    pub fn update(&self, memory: &CallerMemory) {
        let usage = memory.usage();
        let max_bytes = i64::try_from(memory.limits().max_bytes).unwrap_or(i64::MAX);
        self.max_bytes.set(max_bytes);
        let connections = i64::try_from(usage.connections).unwrap_or(i64::MAX);
        self.connections.set(connections);
        for (part, bytes) in [
            ("connections", usage.connection_bytes),
            ("bodies", usage.body_bytes),
        ] {
            self.bytes
                .with_label_values(&[part])
                .set(numbers::as_f64(bytes));
        }
        for (kind, count) in [
            ("connection", usage.evicted_connections),
            ("body", usage.evicted_bodies),
            ("rejected", usage.rejected),
        ] {
            self.given_up
                .with_label_values(&[kind])
                .set(numbers::as_f64(count));
        }
    }
}

/// Metrics of one entry by data centre.
#[derive(Clone, Debug)]
pub struct DataCentreMetrics {
    /// Bytes by purpose, and by whether they stay in the data centre: bodies of requests and answers,
    /// and what is sent to peers.
    pub bytes: IntCounterVec,
    /// Share of the requests that leaves for another data centre, of those for which it pays, by
    /// service and data centre.
    pub leaving_share: GaugeVec,
    /// Requests sent to upstreams, by service and data centre.
    pub sent_to: IntCounterVec,
}

impl DataCentreMetrics {
    fn new() -> prometheus::Result<Self> {
        Ok(Self {
            bytes: counters(
                "bytes_total",
                "Bytes by purpose and destination.",
                &["purpose", "destination"],
            )?,
            leaving_share: GaugeVec::new(
                Opts::new(
                    "sardinewood_leaving_share",
                    "Share of requests that leaves for another data centre.",
                ),
                &["service", "data_centre"],
            )?,
            sent_to: counters(
                "sent_to_total",
                "Requests sent, by data centre of the upstream.",
                &["service", "data_centre"],
            )?,
        })
    }
}

/// Metrics of retries and of the budget that limits them.
#[derive(Clone, Debug)]
pub struct RetryMetrics {
    /// Requests sent to one more upstream, by service.
    pub sent: IntCounterVec,
    /// Retries that were taken, borrowed, lent or denied, by service.
    pub decisions: IntCounterVec,
    /// Figures of this entry's budget, by service.
    pub budget: GaugeVec,
    /// Entries among which the slack is divided.
    pub entries: IntGauge,
    /// Time from the charge of a retry to its sending.
    pub sent_after_ms: Histogram,
}

impl RetryMetrics {
    fn new() -> prometheus::Result<Self> {
        let budget = Opts::new("sardinewood_retry_budget", "Figures of the retry budget.");
        Ok(Self {
            sent: counters("second_attempts_total", "Second attempts.", &["service"])?,
            decisions: counters(
                "retry_decisions_total",
                "Retries taken, borrowed, lent and denied.",
                &["service", "decision"],
            )?,
            budget: GaugeVec::new(budget, &["service", "figure"])?,
            entries: gauge(
                "retry_budget_entries",
                "Entries among which the slack is divided.",
            )?,
            sent_after_ms: Histogram::with_opts(histogram(
                "retry_sent_after_ms",
                "From the charge of a retry to its sending.",
            ))?,
        })
    }
}

fn counter(name: &str, help: &str) -> prometheus::Result<IntCounter> {
    IntCounter::new(format!("sardinewood_{name}"), help)
}

fn gauge(name: &str, help: &str) -> prometheus::Result<IntGauge> {
    IntGauge::new(format!("sardinewood_{name}"), help)
}

fn counters(name: &str, help: &str, labels: &[&str]) -> prometheus::Result<IntCounterVec> {
    IntCounterVec::new(Opts::new(format!("sardinewood_{name}"), help), labels)
}

fn histogram(name: &str, help: &str) -> HistogramOpts {
    HistogramOpts::new(format!("sardinewood_{name}"), help).buckets(BUCKETS_MS.to_vec())
}

fn sent_by_old_list_counter() -> prometheus::Result<IntCounter> {
    let help = "Requests sent by a list that is older than upstreams may take to leave.";
    counter("sent_by_old_list_total", help)
}

fn list_questions_counter() -> prometheus::Result<IntCounterVec> {
    let help = "Questions whether the list of upstreams is the newest.";
    counters("list_questions_total", help, &["asked"])
}

fn omitted_limits_counter() -> prometheus::Result<IntCounterVec> {
    counters(
        "omitted_limits_total",
        "Answers of limited upstreams that do not state the limit.",
        &["answer"],
    )
}

fn returns_counter() -> prometheus::Result<IntCounterVec> {
    let help = "Callers told to return, and their returns.";
    counters("returns_total", help, &["result"])
}

fn refused_late_counter() -> prometheus::Result<IntCounterVec> {
    let help = "Requests refused as others could be in time and they could not.";
    counters("refused_late_total", help, &["tier"])
}

impl DirectMetrics {
    /// Creates and registers metrics that are all zero.
    ///
    /// ```
    /// assert!(sardinewood::direct::metrics::DirectMetrics::new().is_ok());
    /// ```
    ///
    /// # Errors
    ///
    /// Returns an error if the Prometheus library rejects a name, which would be a bug here.
    pub fn new() -> prometheus::Result<Self> {
        let metrics = Self {
            registry: Registry::new(),
            requests: counter("requests_total", "Requests that were read.")?,
            answers: counters("answers_total", "Requests answered.", &["status"])?,
            ended: counters(
                "ended_total",
                "Requests by how they ended.",
                &["service", "tier", "size", "end"],
            )?,
            refusals: counters("refusals_total", "Answers of our own.", &["reason"])?,
            notices: counters(
                "upstream_notices_total",
                "Changes of what upstreams say of themselves.",
                &["notice"],
            )?,
            omitted_limits: omitted_limits_counter()?,
            trials: counters(
                "trials_total",
                "Requests that judged a new version.",
                &["service"],
            )?,
            rollouts_decided: counters(
                "rollouts_decided_total",
                "Roll-outs that left a phase.",
                &["service", "reason"],
            )?,
            failed_attempts: counters("failed_attempts_total", "Failed attempts.", &["reason"])?,
            prompt_tokens: counters("prompt_tokens_total", "Prompt tokens sent.", &["service"])?,
            cached_tokens: counters("kept_tokens_total", "Of them, likely kept.", &["service"])?,
            upstream_ends: counters(
                "upstream_ends_total",
                "Upstreams that ended in the middle of runs.",
                &["service"],
            )?,
            retries: RetryMetrics::new()?,
            resumed: counter("resumed_total", "Streams that went on elsewhere.")?,
            taken_up: counters(
                "taken_up_total",
                "Streams that callers took up.",
                &["result"],
            )?,
            cut: counter("cut_total", "Streams that were cut short.")?,
            left_out_lines: counter("left_out_lines_total", "Log lines that were left out.")?,
            peer_datagrams: counters(
                "peer_datagrams_total",
                "Datagrams to and from other entries.",
                PEER_LABELS,
            )?,
            peer_bytes: counters("peer_bytes_total", "Bytes of these datagrams.", PEER_LABELS)?,
            data_centres: DataCentreMetrics::new()?,
            pulls: counters("pulls_total", "Updates pulled from entries.", &["result"])?,
            pulls_served: counters("pulls_served_total", "Pulls of entries.", &["result"])?,
            oldest_heartbeat_ms: gauge("oldest_heartbeat_ms", "Age of the oldest heartbeat.")?,
            wait_ms: Histogram::with_opts(histogram("wait_ms", "Wait for room."))?,
            first_ms: HistogramVec::new(histogram("first_ms", "To the first part."), &["tier"])?,
            open_requests: gauge("open_requests", "Requests without an answer.")?,
            requests_by_stage: GaugeVec::new(
                Opts::new(
                    "sardinewood_requests_by_stage",
                    "Requests without an answer, by how far they have come.",
                ),
                &["stage"],
            )?,
            open_asks: gauge("open_asks", "Questions to doors without a grant.")?,
            peers: gauge("peers", "Other entries that are heard.")?,
            upstreams: gauge("upstreams", "Upstreams that take new work.")?,
            limited_upstreams: gauge("limited_upstreams", "Upstreams that limit their requests.")?,
            stalled_upstreams: gauge("stalled_upstreams", "Limited upstreams without answers.")?,
            leaving_upstreams: gauge("leaving_upstreams", "Upstreams that said they will end.")?,
            missing_upstreams: gauge("missing_upstreams", "Upstreams used and not listed.")?,
            upstreams_at_rest: gauge("upstreams_at_rest", "Upstreams that asked for rest.")?,
            excluded_upstreams: gauge("excluded_upstreams", "Upstreams with invalid answers.")?,
            held_answer_bytes: gauge("held_answer_bytes", "Bytes of answers that are held.")?,
            callers: CallerMetrics::new()?,
            suspects: gauge(
                "suspects",
                "Features of requests under which upstreams ended.",
            )?,
            held_requests: gauge("held_requests", "Features of requests that are not run.")?,
            held_parts: gauge("held_parts", "Parts of prompts among them.")?,
            quarantine_trials: counters(
                "quarantine_trials_total",
                "Trials of such features.",
                &["result"],
            )?,
            catalog_version: gauge("catalog_version", "Configuration in force.")?,
            catalog_age_ms: gauge("catalog_age_ms", "Age of the word that it is the newest.")?,
            list_age_ms: gauge("list_age_ms", "The same for the list of upstreams.")?,
            leaving_known_within_ms: Histogram::with_opts(histogram(
                "leaving_known_within_ms",
                "Age of the list when upstreams became known to have left.",
            ))?,
            list_questions: list_questions_counter()?,
            sent_by_old_list: sent_by_old_list_counter()?,
            returns: returns_counter()?,
            refused_late: refused_late_counter()?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> prometheus::Result<()> {
        for counter in [
            &self.requests,
            &self.resumed,
            &self.cut,
            &self.left_out_lines,
            &self.sent_by_old_list,
        ] {
            self.registry.register(Box::new(counter.clone()))?;
        }
        for counters in [
            &self.answers,
            &self.refusals,
            &self.ended,
            &self.failed_attempts,
            &self.prompt_tokens,
            &self.cached_tokens,
            &self.upstream_ends,
            &self.notices,
            &self.omitted_limits,
            &self.taken_up,
            &self.trials,
            &self.rollouts_decided,
            &self.quarantine_trials,
            &self.retries.sent,
            &self.retries.decisions,
            &self.peer_datagrams,
            &self.peer_bytes,
            &self.data_centres.bytes,
            &self.data_centres.sent_to,
            &self.pulls,
            &self.pulls_served,
            &self.list_questions,
            &self.returns,
            &self.refused_late,
        ] {
            self.registry.register(Box::new(counters.clone()))?;
        }
        for gauge in [
            &self.open_requests,
            &self.open_asks,
            &self.peers,
            &self.upstreams,
            &self.limited_upstreams,
            &self.stalled_upstreams,
            &self.leaving_upstreams,
            &self.missing_upstreams,
            &self.upstreams_at_rest,
            &self.excluded_upstreams,
            &self.held_answer_bytes,
            &self.callers.connections,
            &self.callers.max_bytes,
            &self.suspects,
            &self.held_requests,
            &self.held_parts,
            &self.catalog_version,
            &self.catalog_age_ms,
            &self.list_age_ms,
            &self.oldest_heartbeat_ms,
            &self.retries.entries,
        ] {
            self.registry.register(Box::new(gauge.clone()))?;
        }
        for gauges in [
            &self.data_centres.leaving_share,
            &self.retries.budget,
            &self.requests_by_stage,
            &self.callers.bytes,
            &self.callers.given_up,
        ] {
            self.registry.register(Box::new(gauges.clone()))?;
        }
        self.registry
            .register(Box::new(self.retries.sent_after_ms.clone()))?;
        self.registry.register(Box::new(self.wait_ms.clone()))?;
        self.registry
            .register(Box::new(self.leaving_known_within_ms.clone()))?;
        self.registry.register(Box::new(self.first_ms.clone()))
    }

    /// Counts datagrams of one purpose and length to or from peers.
    ///
    /// ```
    /// let metrics = sardinewood::direct::metrics::DirectMetrics::new().unwrap();
    /// metrics.count_datagrams("sent", "heartbeats", 2, 100);
    /// let sent = "sardinewood_peer_bytes_total{direction=\"sent\",purpose=\"heartbeats\"} 200";
    /// assert!(metrics.text().contains(sent));
    /// ```
    pub fn count_datagrams(&self, direction: &str, purpose: &str, datagrams: usize, bytes: usize) {
        let labels = [direction, purpose];
        let datagrams = datagrams as u64;
        self.peer_datagrams
            .with_label_values(&labels)
            .inc_by(datagrams);
        self.peer_bytes
            .with_label_values(&labels)
            .inc_by(datagrams * bytes as u64);
    }

    /// Counts bytes of one purpose, by whether they stay in the data centre.
    ///
    /// ```
    /// use sardinewood::direct::data_centre_driver::Destination;
    ///
    /// let metrics = sardinewood::direct::metrics::DirectMetrics::new().unwrap();
    /// metrics.count_bytes("bodies", Destination::Other, 300);
    /// let counted = "sardinewood_bytes_total{destination=\"other\",purpose=\"bodies\"} 300";
    /// assert!(metrics.text().contains(counted));
    /// ```
    pub fn count_bytes(&self, purpose: &str, destination: Destination, bytes: usize) {
        let counter = self
            .data_centres
            .bytes
            .with_label_values(&[purpose, destination.name()]);
        counter.inc_by(bytes as u64);
    }

    /// Returns all metrics as text, one sample a line.
    ///
    /// ```
    /// let text = sardinewood::direct::metrics::DirectMetrics::new().unwrap().text();
    /// assert!(text.contains("sardinewood_wait_ms_count 0"));
    /// ```
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => format!("# the metrics can't be encoded: {error}\n"),
        }
    }
}
