//! A caller's connection, with the state from which its time limits follow.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep;

use crate::caller::lingering_close::LingeringClose;
use crate::caller::memory::MemoryShare;
use crate::caller::memory_account::Stage;
use crate::direct::request::open_requests::OpenRequest;
use crate::direct::request::open_requests::RequestStage;

/// How many times as long as its body a request may be with the framing, besides the next constant.
const FRAMED_BODY_FACTOR: u64 = 2;
/// Bytes of framing, and of the next request, that a request may have in any case.
const MAX_FRAMING_BYTES: u64 = 256 << 10;

/// Activity of a caller's connection, to find out whether it is idle and whether a head is late.
#[derive(Debug)]
pub struct ConnectionActivity {
    /// The memory that the connection holds.
    pub memory: MemoryShare,
    /// Requests whose response has not begun.
    pub open_requests: Cell<u32>,
    /// Streams that are being sent.
    pub open_streams: Cell<u32>,
    /// When the last response began.
    pub last_ms: Cell<u64>,
    /// When the first byte of the head arrived that is being received.
    pub head_began: Cell<Option<Instant>>,
    /// Notified when a head begins.
    pub has_head_begun: Notify,
    /// Bytes received since the head of the last request was read.
    pub request_bytes: Cell<u64>,
    /// The most that may be received until then.
    pub max_request_bytes: Cell<u64>,
    /// Requests whose responses the HTTP library has taken whole and may not have written yet.
    unwritten: RefCell<Vec<Rc<OpenRequest>>>,
}

impl ConnectionActivity {
    /// Creates the activity of a new connection.
    #[must_use]
    pub fn new(memory: MemoryShare, now_ms: u64) -> Self {
        Self {
            memory,
            open_requests: Cell::default(),
            open_streams: Cell::default(),
            last_ms: Cell::new(now_ms),
            head_began: Cell::default(),
            has_head_begun: Notify::new(),
            request_bytes: Cell::default(),
            max_request_bytes: Cell::default(),
            unwritten: RefCell::default(),
        }
    }

    /// Records that the head of a request was read, whose body may have this many bytes, and whether a body
    /// follows.
    ///
    /// The HTTP library may read the body before it polls the request for the first time.
    pub fn start_request(&self, max_body_bytes: u64, has_body: bool) {
        self.memory.set_stage(if has_body {
            Stage::Receiving
        } else {
            Stage::Serving
        });
        self.open_requests.set(self.open_requests.get() + 1);
        self.head_began.set(None);
        self.expect_request(max_body_bytes);
    }

    /// Sets the bounds of a request whose body may have this many bytes.
    pub fn expect_request(&self, max_body_bytes: u64) {
        self.request_bytes.set(0);
        let max_bytes = max_body_bytes.saturating_mul(FRAMED_BODY_FACTOR);
        self.max_request_bytes
            .set(max_bytes.saturating_add(MAX_FRAMING_BYTES));
    }

    /// Records that the response to a request begins.
    pub fn begin_response(&self, now_ms: u64) {
        self.open_requests.set(self.open_requests.get() - 1);
        self.last_ms.set(now_ms);
    }

    /// Records that the request is refused. What has not arrived of it is to be discarded.
    pub fn refuse(&self) {
        if self.memory.stage() == Stage::Receiving {
            self.memory.discard_body();
            self.memory.set_stage(Stage::Refused);
        }
    }

    /// Records that all responses so far are written.
    fn finish_writing(&self) {
        let written = std::mem::take(&mut *self.unwritten.borrow_mut());
        let is_busy = self.open_requests.get() > 0 || self.open_streams.get() > 0;
        if !written.is_empty() && !is_busy && self.memory.stage() == Stage::Serving {
            self.memory.set_stage(Stage::Idle);
        }
    }

    /// Returns how the connection is to be closed: if the rest of a refused request may still arrive, with how
    /// many bytes of it to discard.
    fn start_close(&self) -> Option<LingeringClose> {
        let has_unread = self.head_began.get().is_some() || self.memory.stage() == Stage::Refused;
        let lingers = has_unread && self.memory.start_discarding();
        lingers.then(|| LingeringClose::new(self.max_request_bytes.get()))
    }

    /// Keeps a request open until all that the HTTP library has taken of its response is written.
    pub fn keep_until_written(&self, request: Rc<OpenRequest>) {
        request.set_stage(RequestStage::Writing);
        self.unwritten.borrow_mut().push(request);
    }

    /// Counts received bytes. Fails if a request has more of them than its body and framing may have: the
    /// HTTP library hands on only the body.
    fn receive(&self, bytes: usize) -> io::Result<()> {
        // A head that a caller sends before it has the whole response has to wait for its turn.
        let is_busy = self.open_requests.get() > 0 || self.open_streams.get() > 0;
        if !is_busy && self.head_began.get().is_none() && bytes > 0 {
            self.head_began.set(Some(Instant::now()));
            self.has_head_begun.notify_one();
        }
        self.memory.receive(bytes as u64);
        let received = self.request_bytes.get() + bytes as u64;
        self.request_bytes.set(received);
        if self.open_requests.get() > 0 && received > self.max_request_bytes.get() {
            return Err(io::Error::other("request is too long"));
        }
        Ok(())
    }
}

/// Counts a stream as being sent until it is dropped.
#[derive(Debug)]
pub struct OpenStream(Rc<ConnectionActivity>);

impl OpenStream {
    /// Counts a stream.
    #[must_use]
    pub fn new(activity: &Rc<ConnectionActivity>) -> Self {
        activity.open_streams.set(activity.open_streams.get() + 1);
        Self(Rc::clone(activity))
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.0.open_streams.set(self.0.open_streams.get() - 1);
    }
}

/// A connection that records when a head begins, and fails if the caller takes nothing of a response
/// for too long.
#[derive(Debug)]
pub struct CallerIo<T> {
    io: T,
    activity: Rc<ConnectionActivity>,
    write_timeout: Duration,
    /// Runs while the caller takes nothing.
    write_timer: Option<Pin<Box<Sleep>>>,
    closing: Closing,
}

/// How far the closing of a connection has come.
#[derive(Debug)]
enum Closing {
    Open,
    AtOnce,
    Lingering(LingeringClose),
}

impl<T> CallerIo<T> {
    /// Creates the connection of a caller who has to take a part of a response within `write_timeout`.
    #[must_use]
    pub fn new(io: T, activity: Rc<ConnectionActivity>, write_timeout: Duration) -> Self {
        Self {
            io,
            activity,
            write_timeout,
            write_timer: None,
            closing: Closing::Open,
        }
    }

    /// Fails a write that has made no progress for too long.
    fn bound<R>(
        &mut self,
        written: Poll<io::Result<R>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<R>> {
        if written.is_ready() {
            self.write_timer = None;
            return written;
        }
        let timeout = self.write_timeout;
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep(timeout)));
        let is_over = timer.as_mut().poll(context);
        is_over.map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for CallerIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let known = buffer.filled().len();
        ready!(Pin::new(&mut self.io).poll_read(context, buffer))?;
        Poll::Ready(self.activity.receive(buffer.filled().len() - known))
    }
}

impl<T: AsyncRead + AsyncWrite + Unpin> AsyncWrite for CallerIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(context, bytes);
        self.bound(written, context)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.io).poll_flush(context))?;
        // The HTTP library flushes the connection only after it has written its whole buffer.
        self.activity.finish_writing();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if let Closing::Open = this.closing {
            let lingering = this.activity.start_close();
            this.closing = lingering.map_or(Closing::AtOnce, Closing::Lingering);
        }
        match &mut this.closing {
            Closing::Lingering(lingering) => lingering.poll(&mut this.io, context),
            Closing::Open | Closing::AtOnce => Pin::new(&mut this.io).poll_shutdown(context),
        }
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(context, slices);
        self.bound(written, context)
    }
}
