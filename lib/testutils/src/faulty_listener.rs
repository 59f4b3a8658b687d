//! A TCP listener whose open connections can be made to go silent or to close.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use futures_util::task::AtomicWaker;
use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::LocalAddr;
use poem::web::RemoteAddr;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const OPEN: u8 = 0;
const SILENT: u8 = 1;
const CLOSED: u8 = 2;

/// What both ends of a switch share about one connection.
#[derive(Debug)]
struct Line {
    peer: SocketAddr,
    state: AtomicU8,
    waker: AtomicWaker,
}

/// Switches the connections of one listener.
///
/// ```
/// use testutils::faulty_listener::Connections;
///
/// let connections = Connections::default();
/// assert_eq!(connections.open_count(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Connections {
    lines: Arc<Mutex<Vec<Weak<Line>>>>,
}

impl Connections {
    /// Makes the connections that are open now silent for good: they stay open, nothing that is
    /// sent over them arrives, and new connections work.
    pub fn silence_all(&self) {
        self.set_all(SILENT);
    }

    /// Closes the connections that are open now.
    pub fn close_all(&self) {
        self.set_all(CLOSED);
    }

    /// Closes the connection from `peer`.
    pub fn close(&self, peer: SocketAddr) {
        for line in self.live() {
            if line.peer == peer {
                line.set(CLOSED);
            }
        }
    }

    /// How many connections are open, the silent ones included.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.live().len()
    }

    fn set_all(&self, state: u8) {
        for line in self.live() {
            line.set(state);
        }
    }

    fn add(&self, line: &Arc<Line>) {
        let mut lines = self.lock();
        lines.retain(|known| known.strong_count() > 0);
        lines.push(Arc::downgrade(line));
    }

    fn live(&self) -> Vec<Arc<Line>> {
        self.lock().iter().filter_map(Weak::upgrade).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Weak<Line>>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Line {
    fn set(&self, state: u8) {
        self.state.store(state, Ordering::Release);
        self.waker.wake();
    }
}

/// Accepts connections on a free loopback port.
#[derive(Debug)]
pub struct FaultyListener {
    listener: TcpListener,
    address: SocketAddr,
    connections: Connections,
}

impl FaultyListener {
    /// Binds a free port of 127.0.0.1.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn bind() -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        Ok(Self {
            listener,
            address,
            connections: Connections::default(),
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The switches of its connections.
    #[must_use]
    pub fn connections(&self) -> Connections {
        self.connections.clone()
    }
}

impl Acceptor for FaultyListener {
    type Io = FaultyStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(self.address.into())]
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let (stream, peer) = self.listener.accept().await?;
        stream.set_nodelay(true)?;
        let line = Arc::new(Line {
            peer,
            state: AtomicU8::new(OPEN),
            waker: AtomicWaker::new(),
        });
        self.connections.add(&line);
        let local = LocalAddr(self.address.into());
        let stream = FaultyStream { stream, line };
        Ok((stream, local, RemoteAddr(peer.into()), Scheme::HTTP))
    }
}

/// A connection that obeys the switches of its listener.
#[derive(Debug)]
pub struct FaultyStream {
    stream: TcpStream,
    line: Arc<Line>,
}

impl FaultyStream {
    /// What a poll answers in place of the stream, once a fault is switched on.
    fn fault<T>(&self, cx: &Context<'_>) -> Option<Poll<io::Result<T>>> {
        // The server polls both directions from one task, so that one waker is enough.
        self.line.waker.register(cx.waker());
        match self.line.state.load(Ordering::Acquire) {
            SILENT => Some(Poll::Pending),
            CLOSED => Some(Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))),
            _ => None,
        }
    }
}

impl AsyncRead for FaultyStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.fault(cx) {
            Some(answer) => answer,
            None => Pin::new(&mut self.stream).poll_read(cx, buffer),
        }
    }
}

impl AsyncWrite for FaultyStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.fault(cx) {
            Some(answer) => answer,
            None => Pin::new(&mut self.stream).poll_write(cx, bytes),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.fault(cx) {
            Some(answer) => answer,
            None => Pin::new(&mut self.stream).poll_flush(cx),
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.fault(cx) {
            Some(answer) => answer,
            None => Pin::new(&mut self.stream).poll_shutdown(cx),
        }
    }
}
