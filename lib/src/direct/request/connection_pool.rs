//! Pool of connections to upstreams. Each connection carries one request at a time, and no request
//! is sent twice.
//!
//! hyper's connection-level client is used because it never resends a request by itself and reports
//! whether a request had been sent when its connection broke.

use std::cell::RefCell;
use std::error::Error as _;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use tokio::net::TcpSocket;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::direct::request::answer_bounds::AnswerBounds;
use crate::direct::request::answer_bounds::AnswerPart;
use crate::direct::request::answer_bounds::READ_BUFFER_BYTES;
use crate::direct::request::bounded_io::AnswerMeter;
use crate::direct::request::bounded_io::BoundedIo;
use crate::direct::store_view::directory::Upstream;

/// How long a new connection may take. A healthy one takes a few milliseconds. The system resends a
/// lost first packet after one second, so another attempt is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a connection may stay idle if the upstream announces no timeout.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Percentage of the upstream's idle timeout after which a connection is no longer used.
const IDLE_USED_PERCENT: u32 = 70;

/// Size of the system's receive buffer of a connection. It bounds what an upstream can send before the
/// entry has read it, and is enough for 100 MB/s at a round trip of 2 ms.
const RECEIVE_BUFFER_BYTES: u32 = 256 << 10;

/// Why a connection could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// Nothing listens at the address.
    Refused,
    /// The connection took too long.
    TimedOut,
    /// Another error, for example in the handshake.
    Unusable,
}

impl ConnectError {
    /// Returns the name of the error in logs.
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

/// Why a request got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// The request was never sent, so it has not run.
    NotSent,
    /// The connection broke after the request may have been sent, so it may have run.
    Broken,
    /// What the upstream sent is no valid head within the bounds. The request may have run.
    Invalid(AnswerPart),
}

/// Why the rest of a body can't be received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartError {
    /// The connection broke.
    Broken,
    /// What the upstream sent is not valid, or exceeds the bound of this part of an answer.
    Invalid(AnswerPart),
}

/// Aborts the task of a connection when dropped, which closes the connection at once.
#[derive(Debug)]
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: ConnectionTask,
    meter: Rc<AnswerMeter>,
    /// Number of requests that the connection has carried, including the current one.
    pub uses: u32,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    usable_until: Instant,
}

/// Idle connections to all upstreams.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<IndexMap<Arc<str>, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Returns an idle connection to an upstream, or opens a new one.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection could be opened in time; nothing was sent then.
    pub async fn get(&self, upstream: &Upstream) -> Result<Connection, ConnectError> {
        if let Some(connection) = self.take_idle(&upstream.instance) {
            return Ok(connection);
        }
        connect(upstream).await
    }

    /// Adds an idle connection, whose last response was read whole.
    pub fn put(self: &Rc<Self>, instance: &Arc<str>, connection: Connection, idle_ms: Option<u64>) {
        connection.meter.with(AnswerBounds::finish);
        let announced = idle_ms.map_or(DEFAULT_IDLE, Duration::from_millis);
        let usable_until = Instant::now() + announced * IDLE_USED_PERCENT / 100;
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(Arc::clone(instance)).or_default();
        list.push(IdleConnection {
            connection,
            usable_until,
        });
    }

    /// Closes connections that have been idle for too long, and those of upstreams that are no
    /// longer listed.
    pub fn sweep(&self, is_listed: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|instance, list| {
            list.retain(|idle| idle.usable_until > now && !idle.connection.sender.is_closed());
            !list.is_empty() && is_listed(instance)
        });
    }

    fn take_idle(&self, instance: &str) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(instance)?;
        let now = Instant::now();
        while let Some(idle) = list.pop() {
            // A connection that is not ready has bytes to read beyond its last response, which
            // belong to no request.
            if idle.usable_until > now && idle.connection.sender.is_ready() {
                return Some(idle.connection);
            }
        }
        None
    }
}

/// Opens a connection to an upstream.
///
/// # Errors
///
/// Returns an error if no connection could be opened in time.
pub async fn connect(upstream: &Upstream) -> Result<Connection, ConnectError> {
    let socket = if upstream.address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    let connecting = socket.connect(upstream.address);
    let stream = match timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(stream) => stream?,
        Err(_) => return Err(ConnectError::TimedOut),
    };
    stream.set_nodelay(true)?;
    let meter = AnswerMeter::new();
    let bounded = BoundedIo::new(stream, Rc::clone(&meter));
    let (sender, driver) = http1::Builder::new()
        .preserve_header_case(false)
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(bounded))
        .await
        .map_err(|_| ConnectError::Unusable)?;
    let task = tokio::task::spawn_local(async move {
        // An error also appears in the response that is being read.
        let _ = driver.await;
    });
    Ok(Connection {
        sender,
        task: ConnectionTask(task.abort_handle()),
        meter,
        uses: 0,
    })
}

impl Connection {
    /// Sends a request and waits for the head of its response, whose body has at most this many bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response; it tells whether the request may have run.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        max_body_bytes: u64,
    ) -> Result<Response<Incoming>, SendError> {
        self.uses += 1;
        self.meter.with(|bounds| bounds.start(max_body_bytes));
        let response = self.sender.try_send_request(request).await;
        let response = response.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::NotSent,
            None => match self.invalid_part(error.error(), AnswerPart::Head) {
                Some(part) => SendError::Invalid(part),
                None => SendError::Broken,
            },
        })?;
        self.meter.with(AnswerBounds::head_read);
        Ok(response)
    }

    /// Receives the next part of the body of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is broken or not valid.
    pub async fn next_part(&self, body: &mut Incoming) -> Option<Result<Bytes, PartError>> {
        let frame = body.frame().await?;
        Some(match frame {
            Ok(frame) => {
                self.meter.with(AnswerBounds::part_taken);
                Ok(frame.into_data().unwrap_or_default())
            }
            Err(error) => Err(match self.invalid_part(&error, AnswerPart::Framing) {
                Some(part) => PartError::Invalid(part),
                None => PartError::Broken,
            }),
        })
    }

    /// Returns which part of an answer was not valid or exceeded its bound, if that is why reading it
    /// failed. The HTTP library itself rejects what is not HTTP while it reads `part`.
    fn invalid_part(&self, error: &hyper::Error, part: AnswerPart) -> Option<AnswerPart> {
        let exceeded = self.meter.with(|bounds| bounds.exceeded());
        exceeded.or_else(|| is_not_http(error).then_some(part))
    }

    /// Returns whether the connection is open and has nothing left to read.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.task.0.is_finished() && self.sender.is_ready()
    }
}

/// Returns whether the HTTP library failed to read bytes because they are not HTTP.
fn is_not_http(error: &hyper::Error) -> bool {
    if error.is_parse() {
        return true;
    }
    let cause = error.source().and_then(|cause| cause.downcast_ref());
    cause.is_some_and(|cause: &io::Error| {
        matches!(
            cause.kind(),
            io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput
        )
    })
}
