//! Callers' connections, bounded in number and in what they hold.

use std::future::Future;
use std::io;
use std::io::IoSlice;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::LocalAddr;
use poem::web::RemoteAddr;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio_util::sync::WaitForCancellationFutureOwned;

use crate::caller::connections::CallerConnections;
use crate::caller::connections::OpenConnection;
use crate::caller::lingering_close::LingeringClose;
use crate::caller::memory_account::MemoryUsage;
use crate::caller::memory_account::Stage;
use crate::logging::Level;
use crate::logging::Line;

/// The pause after a failed accept. Without it, a process that has no file descriptor left
/// would try again as fast as it can and have no time to close any.
const PAUSE_AFTER_ERROR: Duration = Duration::from_millis(50);

/// Most bytes that are read at a time. The HTTP library's buffers grow with what is read.
const READ_BYTES: usize = 16 << 10;
/// Connections that gave way and may still be open while the next one is accepted.
const MAX_CLOSING: usize = 16;
/// Time between two looks at whether they are closed, and how many looks there are.
const CLOSING_PERIOD: Duration = Duration::from_millis(1);
const MAX_CLOSING_LOOKS: usize = 100;
/// Time between two log lines about connections that give way.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// Bounds of what a caller's connection may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendBounds {
    /// Most bytes of a head that the HTTP library has not read yet.
    pub max_head_bytes: u64,
    /// Most bytes that are discarded after a refusal.
    pub max_discarded_bytes: u64,
}

/// Accepts connections. While there is no room, others give way to a new one.
pub struct CallerListener {
    listener: TcpListener,
    connections: CallerConnections,
    bounds: SendBounds,
    logged_at: Option<Instant>,
}

impl CallerListener {
    /// Accepts connections from `listener`.
    #[must_use]
    pub fn new(listener: TcpListener, connections: CallerConnections, bounds: SendBounds) -> Self {
        Self {
            listener,
            connections,
            bounds,
            logged_at: None,
        }
    }

    /// Waits a short time until connections that gave way are closed. Until then they hold descriptors.
    async fn wait_for_closed(&self) {
        let max_connections = self.connections.memory.limits().max_connections;
        for _ in 0..MAX_CLOSING_LOOKS {
            if self.connections.len() < max_connections + MAX_CLOSING {
                return;
            }
            sleep(CLOSING_PERIOD).await;
        }
    }

    async fn accept_any(&mut self) -> io::Result<(TcpStream, SocketAddr)> {
        match self.listener.accept().await {
            Ok(accepted) => Ok(accepted),
            Err(error) => {
                sleep(PAUSE_AFTER_ERROR).await;
                Err(error)
            }
        }
    }

    /// Logs that callers hold as much as they may, if others have given way or found no room since `before`.
    fn log_pressure(&mut self, before: MemoryUsage) {
        let usage = self.connections.memory.usage();
        let given_up = |usage: MemoryUsage| usage.evicted_connections + usage.rejected;
        let is_due = self.logged_at.is_none_or(|at| at.elapsed() >= LOG_PERIOD);
        if given_up(usage) == given_up(before) || !is_due {
            return;
        }
        self.logged_at = Some(Instant::now());
        Line::new(Level::Warn, "callers hold as much memory as they may")
            .field("connections", usage.connections)
            .field("connection_bytes", usage.connection_bytes)
            .field("body_bytes", usage.body_bytes)
            .field("evicted_connections", usage.evicted_connections)
            .field("evicted_bodies", usage.evicted_bodies)
            .field("rejected", usage.rejected)
            .send();
    }
}

impl Acceptor for CallerListener {
    type Io = CallerSocket;

    fn local_addr(&self) -> Vec<LocalAddr> {
        let address = self.listener.local_addr();
        address
            .into_iter()
            .map(|address| LocalAddr(address.into()))
            .collect()
    }

    async fn accept(&mut self) -> io::Result<(CallerSocket, LocalAddr, RemoteAddr, Scheme)> {
        self.wait_for_closed().await;
        let before = self.connections.memory.usage();
        let (stream, remote) = self.accept_any().await?;
        stream.set_nodelay(true)?;
        let local = stream.local_addr()?;
        let opened = self.connections.open(remote);
        self.log_pressure(before);
        let open = opened.map_err(|_| io::Error::other("no memory for a connection"))?;
        let socket = CallerSocket {
            stream,
            given_way: Box::pin(open.state().memory.evicted().clone().cancelled_owned()),
            open,
            bounds: self.bounds,
            lingering: None,
        };
        Ok((
            socket,
            LocalAddr(local.into()),
            RemoteAddr(remote.into()),
            Scheme::HTTP,
        ))
    }
}

/// One caller's connection, which counts until it is closed.
pub struct CallerSocket {
    stream: TcpStream,
    open: OpenConnection,
    given_way: Pin<Box<WaitForCancellationFutureOwned>>,
    bounds: SendBounds,
    lingering: Option<LingeringClose>,
}

impl CallerSocket {
    /// Returns whether the connection has given way to others. Otherwise the task is woken when it does.
    fn poll_given_way(&mut self, context: &mut Context<'_>) -> bool {
        let is_evicted = self.open.state().memory.evicted().is_cancelled()
            || self.given_way.as_mut().poll(context).is_ready();
        is_evicted && self.open.state().has_given_way()
    }

    /// Reads at most [`READ_BYTES`]. Returns how many bytes were read.
    fn poll_part(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<usize>> {
        let length = buffer.remaining().min(READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut part))?;
        let received = part.filled().len();
        buffer.advance(received);
        Poll::Ready(Ok(received))
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.poll_given_way(context) {
            self.open.end();
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let is_full = buffer.remaining() == 0;
        let read = ready!(self.poll_part(context, buffer));
        if matches!(read, Ok(0) if !is_full) || read.is_err() {
            self.open.end();
        }
        let head_bytes = self.open.state().receive(read? as u64);
        if head_bytes > self.bounds.max_head_bytes {
            return Poll::Ready(Err(io::Error::other("head is too long")));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let memory = &this.open.state().memory;
        let is_first = this.lingering.is_none();
        if is_first && memory.stage() == Stage::Refused && memory.start_discarding() {
            this.lingering = Some(LingeringClose::new(this.bounds.max_discarded_bytes));
        }
        match &mut this.lingering {
            Some(lingering) => lingering.poll(&mut this.stream, context),
            None => Pin::new(&mut this.stream).poll_shutdown(context),
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
