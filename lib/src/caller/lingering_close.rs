//! Closes a connection so that its caller reads the last response.
//!
//! Closing a connection with unread bytes resets it, and the caller loses a response that it has not read
//! yet. So sending ends first, and what still arrives is discarded for a bounded time and number of bytes.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep;

/// Longest time for which bytes are discarded.
const LINGER_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time in which fewer than [`PROGRESS_BYTES`] arrive.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(1);
const PROGRESS_BYTES: u64 = 4 << 10;
/// Bytes that are read at a time.
const DISCARD_BUFFER_BYTES: usize = 16 << 10;

/// The closing of one connection.
#[derive(Debug)]
pub struct LingeringClose {
    is_shut: bool,
    left_bytes: u64,
    until: Instant,
    /// Bytes received since the timer was set.
    received_bytes: u64,
    timer: Pin<Box<Sleep>>,
}

impl LingeringClose {
    /// Begins to close a connection on which at most this many bytes are discarded.
    #[must_use]
    pub fn new(max_bytes: u64) -> Self {
        Self {
            is_shut: false,
            left_bytes: max_bytes,
            until: Instant::now() + LINGER_TIMEOUT,
            received_bytes: 0,
            timer: Box::pin(sleep(PROGRESS_TIMEOUT)),
        }
    }

    /// Ends sending, and discards what arrives until the caller closes the connection or a bound is reached.
    ///
    /// # Errors
    ///
    /// Returns an error if sending can't be ended.
    pub fn poll<T: AsyncRead + AsyncWrite + Unpin>(
        &mut self,
        io: &mut T,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.is_shut {
            ready!(Pin::new(&mut *io).poll_shutdown(context))?;
            self.is_shut = true;
        }
        let mut bytes = [0; DISCARD_BUFFER_BYTES];
        loop {
            if self.timer.as_mut().poll(context).is_ready() {
                return Poll::Ready(Ok(()));
            }
            let mut buffer = ReadBuf::new(&mut bytes);
            // A broken connection needs no care.
            if ready!(Pin::new(&mut *io).poll_read(context, &mut buffer)).is_err() {
                return Poll::Ready(Ok(()));
            }
            let received = buffer.filled().len() as u64;
            if received == 0 || received > self.left_bytes {
                return Poll::Ready(Ok(()));
            }
            self.left_bytes -= received;
            self.extend(received);
        }
    }

    /// Sets the timer anew once enough has arrived.
    fn extend(&mut self, received: u64) {
        self.received_bytes += received;
        if self.received_bytes >= PROGRESS_BYTES {
            self.received_bytes = 0;
            let progress_until = Instant::now() + PROGRESS_TIMEOUT;
            self.timer.as_mut().reset(progress_until.min(self.until));
        }
    }
}
