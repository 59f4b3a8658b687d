//! A connection to an upstream whose answers are counted while the HTTP library reads them.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::Instant;

use crate::direct::request::answer_bounds::AnswerBounds;
use crate::direct::request::answer_bounds::AnswerPart;
use crate::numbers;

/// Counts the bytes of the answers on one connection. The reader of the answers and the connection
/// share it.
#[derive(Debug)]
pub struct AnswerMeter {
    created_at: Instant,
    bounds: RefCell<AnswerBounds>,
}

impl AnswerMeter {
    /// Creates the meter of a new connection.
    #[must_use]
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            created_at: Instant::now(),
            bounds: RefCell::default(),
        })
    }

    /// Changes or reads the bounds of the current answer.
    pub fn with<T>(&self, change: impl FnOnce(&mut AnswerBounds) -> T) -> T {
        change(&mut self.bounds.borrow_mut())
    }

    fn receive(&self, bytes: &[u8]) -> io::Result<()> {
        let now_ms = numbers::whole_ms(self.created_at.elapsed());
        let received = self.with(|bounds| bounds.receive(bytes, now_ms));
        received.map_err(error)
    }
}

/// A connection whose reads fail at a bound of the answer.
#[derive(Debug)]
pub struct BoundedIo<T> {
    io: T,
    meter: Rc<AnswerMeter>,
}

impl<T> BoundedIo<T> {
    /// Bounds what is read from a connection.
    #[must_use]
    pub fn new(io: T, meter: Rc<AnswerMeter>) -> Self {
        Self { io, meter }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for BoundedIo<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let known = buffer.filled().len();
        ready!(Pin::new(&mut this.io).poll_read(context, buffer))?;
        Poll::Ready(this.meter.receive(&buffer.filled()[known..]))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for BoundedIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(context, slices)
    }
}

fn error(part: AnswerPart) -> io::Error {
    io::Error::other(part.reason())
}
