//! Callers' connections, bounded in number.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
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
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::caller::connections::CallerConnections;
use crate::caller::connections::OpenConnection;

/// The pause after a failed accept. Without it, a process that has no file descriptor left
/// would try again as fast as it can and have no time to close any.
const PAUSE_AFTER_ERROR: Duration = Duration::from_millis(50);

/// Accepts connections as long as there are fewer than a limit; others wait in the
/// system's queue.
pub struct CallerListener {
    listener: TcpListener,
    free: Arc<Semaphore>,
    connections: CallerConnections,
}

impl CallerListener {
    /// Accepts at most `max_connections` at one time from `listener`.
    #[must_use]
    pub fn new(
        listener: TcpListener,
        max_connections: usize,
        connections: CallerConnections,
    ) -> Self {
        Self {
            listener,
            connections,
            free: Arc::new(Semaphore::new(max_connections)),
        }
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
        let permit = self
            .free
            .clone()
            .acquire_owned()
            .await
            .map_err(io::Error::other)?;
        let (stream, remote) = match self.listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                sleep(PAUSE_AFTER_ERROR).await;
                return Err(error);
            }
        };
        stream.set_nodelay(true)?;
        let local = stream.local_addr()?;
        let socket = CallerSocket {
            stream,
            open: self.connections.open(remote),
            _permit: permit,
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
    _permit: OwnedSemaphorePermit,
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let has_ended = match &read {
            Poll::Ready(Ok(())) => buffer.filled().len() == before && buffer.remaining() > 0,
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        };
        if has_ended {
            self.open.end();
        }
        read
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

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
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
