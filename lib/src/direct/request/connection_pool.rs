//! Connections to upstreams: one request at a time on each, nothing sent twice.
//!
//! hyper's connection-level client is used because it never sends a request again by itself
//! and tells whether a request had left when its connection broke.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::direct::store_view::directory::Upstream;

/// How long a new connection may take. A healthy one takes a few milliseconds; a lost first
/// packet is repeated by the system after a second, so another try is the faster way.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a connection may stay idle if the upstream does not say.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Part of the announced idle time after which a connection is not used any more, in percent.
const IDLE_USED_PERCENT: u32 = 70;

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// Nobody listens at the address.
    Refused,
    /// Nobody answered in time.
    TimedOut,
    /// The connection came and is of no use.
    Unusable,
}

impl ConnectError {
    /// Its name in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::TimedOut => "timed out",
            Self::Unusable => "unusable",
        }
    }
}

impl From<io::Error> for ConnectError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused,
            io::ErrorKind::TimedOut => Self::TimedOut,
            _ => Self::Unusable,
        }
    }
}

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// The request never left. It has not run.
    NotSent,
    /// The connection broke after the request may have left. It may have run.
    Broken,
}

/// Ends its connection's task when dropped, which closes the connection at once.
#[derive(Debug)]
struct Driver(AbortHandle);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection that is in use by one request.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: Driver,
    /// How many requests it carried before.
    pub uses: u32,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// The idle connections to all upstreams.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<IndexMap<Arc<str>, Vec<Idle>>>,
}

impl ConnectionPool {
    /// An idle connection to an upstream, or a new one.
    ///
    /// # Errors
    ///
    /// When none can be had in time; nothing was sent.
    pub async fn get(&self, upstream: &Upstream) -> Result<Connection, ConnectError> {
        if let Some(connection) = self.take_idle(&upstream.instance) {
            return Ok(connection);
        }
        connect(upstream).await
    }

    /// Keeps a connection whose answer was read whole.
    pub fn put(self: &Rc<Self>, instance: &Arc<str>, connection: Connection, idle_ms: Option<u64>) {
        let announced = idle_ms.map_or(DEFAULT_IDLE, Duration::from_millis);
        let until = Instant::now() + announced * IDLE_USED_PERCENT / 100;
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(Arc::clone(instance)).or_default();
        list.push(Idle { connection, until });
    }

    /// Closes what has been idle for too long, and all connections of upstreams that are gone.
    pub fn sweep(&self, is_listed: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|instance, list| {
            list.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
            !list.is_empty() && is_listed(instance)
        });
    }

    fn take_idle(&self, instance: &str) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(instance)?;
        let now = Instant::now();
        while let Some(idle) = list.pop() {
            // A connection that is not ready has more to read than its last answer: those
            // bytes belong to no request.
            if idle.until > now && idle.connection.sender.is_ready() {
                return Some(idle.connection);
            }
        }
        None
    }
}

/// A new connection to an upstream.
///
/// # Errors
///
/// When none can be had in time.
pub async fn connect(upstream: &Upstream) -> Result<Connection, ConnectError> {
    let connecting = TcpStream::connect(upstream.address);
    let stream = match timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(stream) => stream?,
        Err(_) => return Err(ConnectError::TimedOut),
    };
    stream.set_nodelay(true)?;
    let (sender, driver) = http1::Builder::new()
        .preserve_header_case(false)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|_| ConnectError::Unusable)?;
    let task = tokio::task::spawn_local(async move {
        // How it ended shows in the answer that was being read.
        let _ = driver.await;
    });
    Ok(Connection {
        sender,
        driver: Driver(task.abort_handle()),
        uses: 0,
    })
}

impl Connection {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// When there is no answer; it says whether the request may have run.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.uses += 1;
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut error| match error.take_message() {
                Some(_) => SendError::NotSent,
                None => SendError::Broken,
            })
    }

    /// Whether the connection is open and has nothing left to read.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.driver.0.is_finished() && self.sender.is_ready()
    }
}
