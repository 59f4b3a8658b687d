//! Counters and latency histograms of an entry, and their page as text.

use prometheus::Encoder;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bounds of the histograms in milliseconds: from a local call to the longest request.
const BUCKETS_MS: [f64; 12] = [
    5.0, 10.0, 25.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1_600.0, 3_200.0, 6_400.0, 12_800.0,
];

/// The figures of one process. `docs/OPERATIONS.md` says what each tells.
///
/// ```
/// let metrics = sardinewood::direct::metrics::DirectMetrics::new().unwrap();
/// metrics.requests.inc();
/// assert!(metrics.text().contains("sardinewood_requests_total 1"));
/// ```
#[derive(Clone, Debug)]
pub struct DirectMetrics {
    registry: Registry,
    /// Requests that were read.
    pub requests: IntCounter,
    /// Requests answered, by status.
    pub answers: IntCounterVec,
    /// Answers of our own, by reason.
    pub refusals: IntCounterVec,
    /// How requests ended for their callers, by service, tier, and size among those of their kind.
    pub ended: IntCounterVec,
    /// Attempts at upstreams that failed, by reason.
    pub failed_attempts: IntCounterVec,
    /// Tokens of the prompts that were sent, by service.
    pub prompt_tokens: IntCounterVec,
    /// Tokens of them that the upstream was likely to keep, by service.
    pub cached_tokens: IntCounterVec,
    /// Upstreams that ended in the middle of this entry's runs, by service.
    pub upstream_ends: IntCounterVec,
    /// Changes of what upstreams say of themselves, by kind.
    pub notices: IntCounterVec,
    /// Requests that judged a new version, by service.
    pub trials: IntCounterVec,
    /// Roll-outs that left a phase, as this entry decided, by service and reason.
    pub rollouts_decided: IntCounterVec,
    /// Requests sent to a second upstream.
    pub second_attempts: IntCounter,
    /// Streams that went on at a second upstream.
    pub resumed: IntCounter,
    /// Streams that were cut short.
    pub cut: IntCounter,
    /// Log lines that were left out.
    pub left_out_lines: IntCounter,
    /// Time that requests waited for room at an upstream.
    pub wait_ms: Histogram,
    /// Time from a request's arrival to the first part of its answer, by tier.
    pub first_ms: HistogramVec,
    /// Requests that have no answer yet.
    pub open_requests: IntGauge,
    /// Questions to doors that have no grant yet.
    pub open_asks: IntGauge,
    /// Other entries that are heard.
    pub peers: IntGauge,
    /// Upstreams that take new work.
    pub upstreams: IntGauge,
    /// Upstreams that limit their requests.
    pub limited_upstreams: IntGauge,
    /// Upstreams that have said that they will end.
    pub leaving_upstreams: IntGauge,
    /// Upstreams that want nothing from this entry for a time.
    pub upstreams_at_rest: IntGauge,
    /// Requests under which upstreams ended, or that were cleared of it lately.
    pub suspects: IntGauge,
    /// Requests that are not run, since upstreams ended under them.
    pub held_requests: IntGauge,
    /// Version of the configuration in force.
    pub catalog_version: IntGauge,
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

impl DirectMetrics {
    /// Figures that are all zero.
    ///
    /// ```
    /// assert!(sardinewood::direct::metrics::DirectMetrics::new().is_ok());
    /// ```
    ///
    /// # Errors
    ///
    /// When the library refuses a name, which would be a mistake here.
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
            prompt_tokens: counters(
                "prompt_tokens_total",
                "Tokens of prompts sent.",
                &["service"],
            )?,
            cached_tokens: counters("kept_tokens_total", "Of them, likely kept.", &["service"])?,
            upstream_ends: counters(
                "upstream_ends_total",
                "Upstreams that ended in the middle of runs.",
                &["service"],
            )?,
            second_attempts: counter("second_attempts_total", "Second attempts.")?,
            resumed: counter("resumed_total", "Streams that went on elsewhere.")?,
            cut: counter("cut_total", "Streams that were cut short.")?,
            left_out_lines: counter("left_out_lines_total", "Log lines that were left out.")?,
            wait_ms: Histogram::with_opts(histogram("wait_ms", "Wait for room."))?,
            first_ms: HistogramVec::new(histogram("first_ms", "To the first part."), &["tier"])?,
            open_requests: gauge("open_requests", "Requests without an answer.")?,
            open_asks: gauge("open_asks", "Questions to doors without a grant.")?,
            peers: gauge("peers", "Other entries that are heard.")?,
            upstreams: gauge("upstreams", "Upstreams that take new work.")?,
            limited_upstreams: gauge("limited_upstreams", "Upstreams that limit their requests.")?,
            leaving_upstreams: gauge("leaving_upstreams", "Upstreams that said they will end.")?,
            upstreams_at_rest: gauge("upstreams_at_rest", "Upstreams that asked for rest.")?,
            suspects: gauge("suspects", "Requests under which upstreams ended.")?,
            held_requests: gauge("held_requests", "Requests that are not run.")?,
            catalog_version: gauge("catalog_version", "Configuration in force.")?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> prometheus::Result<()> {
        for counter in [
            &self.requests,
            &self.second_attempts,
            &self.resumed,
            &self.cut,
            &self.left_out_lines,
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
            &self.trials,
            &self.rollouts_decided,
        ] {
            self.registry.register(Box::new(counters.clone()))?;
        }
        for gauge in [
            &self.open_requests,
            &self.open_asks,
            &self.peers,
            &self.upstreams,
            &self.limited_upstreams,
            &self.leaving_upstreams,
            &self.upstreams_at_rest,
            &self.suspects,
            &self.held_requests,
            &self.catalog_version,
        ] {
            self.registry.register(Box::new(gauge.clone()))?;
        }
        self.registry.register(Box::new(self.wait_ms.clone()))?;
        self.registry.register(Box::new(self.first_ms.clone()))
    }

    /// All figures as text, one a line.
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
            Err(error) => format!("# the figures can't be written: {error}\n"),
        }
    }
}
