//! Metrics by UDP in the statsd form; their names stand in `docs/metrics.md`.

use std::io;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Weak;
use std::thread;
use std::time::Duration;

use cadence::BufferedUdpMetricSink;
use cadence::Counted;
use cadence::Gauged;
use cadence::MetricSink;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;

use crate::config::objects::Tier;

/// Prefix of every name.
const PREFIX: &str = "sardinewood";
/// Metrics that may wait for the sending thread before further ones are dropped.
const QUEUE_METRICS: usize = 16_384;
/// How long a metric may wait in a datagram that is not full yet.
const FLUSH_PERIOD: Duration = Duration::from_secs(1);

/// Sends the metrics of one process, or drops them if no address is set.
///
/// Nothing here waits: metrics go through a bounded queue to a thread of their own, and
/// a full queue drops them.
///
/// ```
/// use sardinewood::metrics::Metrics;
/// use sardinewood::config::objects::Tier;
///
/// let metrics = Metrics::disabled();
/// metrics.count("entry.link_lost", 1);
/// metrics.count_tier("entry.done", Tier(0), 1);
/// ```
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::disabled()
    }
}

impl Metrics {
    /// Metrics that go nowhere.
    ///
    /// ```
    /// sardinewood::metrics::Metrics::disabled().gauge("entry.waiting", 0);
    /// ```
    #[must_use]
    pub fn disabled() -> Self {
        Self::with_sink(NopMetricSink, "", "")
    }

    /// Metrics that go to `address`, tagged with the process's host and data centre.
    ///
    /// ```
    /// use sardinewood::metrics::Metrics;
    ///
    /// let metrics = Metrics::over_udp("127.0.0.1:8125".parse().unwrap(), "wdh-e1", "wdh");
    /// assert!(metrics.is_ok());
    /// ```
    ///
    /// # Errors
    ///
    /// When no socket can be had.
    pub fn over_udp(address: SocketAddr, host: &str, data_centre: &str) -> io::Result<Self> {
        let own: SocketAddr = match address {
            SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
            SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
        };
        let socket = UdpSocket::bind(own)?;
        socket.set_nonblocking(true)?;
        let datagrams = BufferedUdpMetricSink::from(address, socket).map_err(io::Error::other)?;
        let queue = QueuingMetricSink::with_capacity(datagrams, QUEUE_METRICS);
        let metrics = Self::with_sink(queue, host, data_centre);
        flush_regularly(Arc::downgrade(&metrics.client))?;
        Ok(metrics)
    }

    /// Metrics over UDP if there is an address, else none.
    ///
    /// ```
    /// assert!(sardinewood::metrics::Metrics::to(None, "wdh-e1", "wdh").is_ok());
    /// ```
    ///
    /// # Errors
    ///
    /// When no socket can be had.
    pub fn to(address: Option<SocketAddr>, host: &str, data_centre: &str) -> io::Result<Self> {
        match address {
            Some(address) => Self::over_udp(address, host, data_centre),
            None => Ok(Self::disabled()),
        }
    }

    fn with_sink(
        sink: impl MetricSink + Sync + Send + std::panic::RefUnwindSafe + 'static,
        host: &str,
        data_centre: &str,
    ) -> Self {
        let client = StatsdClient::builder(PREFIX, sink)
            .with_tag("host", host)
            .with_tag("data_centre", data_centre)
            .build();
        Self {
            client: Arc::new(client),
        }
    }

    /// Adds to a counter.
    ///
    /// ```
    /// sardinewood::metrics::Metrics::disabled().count("entry.link_lost", 1);
    /// ```
    pub fn count(&self, name: &'static str, by: u64) {
        // A metric that finds the queue full is dropped on purpose.
        let _ = self.client.count(name, by);
    }

    /// Adds to a counter that is kept by tier.
    ///
    /// ```
    /// use sardinewood::config::objects::Tier;
    ///
    /// sardinewood::metrics::Metrics::disabled().count_tier("entry.done", Tier(0), 1);
    /// ```
    pub fn count_tier(&self, name: &'static str, tier: Tier, by: u64) {
        let tier = tier.0.to_string();
        let metric = self.client.count_with_tags(name, by);
        let _ = metric.with_tag("tier", &tier).try_send();
    }

    /// Sets a gauge.
    ///
    /// ```
    /// sardinewood::metrics::Metrics::disabled().gauge("entry.waiting", 3);
    /// ```
    pub fn gauge(&self, name: &'static str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration of something that is kept by tier.
    ///
    /// ```
    /// use sardinewood::config::objects::Tier;
    ///
    /// sardinewood::metrics::Metrics::disabled().time_tier("entry.first_byte", Tier(0), 42);
    /// ```
    pub fn time_tier(&self, name: &'static str, tier: Tier, took_ms: u64) {
        let tier = tier.0.to_string();
        let metric = self.client.time_with_tags(name, took_ms);
        let _ = metric.with_tag("tier", &tier).try_send();
    }

    /// Sends what waits in a datagram that is not full.
    ///
    /// ```
    /// sardinewood::metrics::Metrics::disabled().flush();
    /// ```
    pub fn flush(&self) {
        let _ = self.client.flush();
    }
}

/// Flushes until the last clone of the client is gone.
fn flush_regularly(client: Weak<StatsdClient>) -> io::Result<()> {
    let flush = move || {
        while let Some(client) = client.upgrade() {
            let _ = client.flush();
            drop(client);
            thread::sleep(FLUSH_PERIOD);
        }
    };
    thread::Builder::new()
        .name("metrics-flush".to_owned())
        .spawn(flush)
        .map(drop)
}
