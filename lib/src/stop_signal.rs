//! The signals that ask a program to end.

use std::io;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Waits for SIGTERM or SIGINT. It listens from the moment it is made, so that a signal which
/// comes while the program still starts is not lost.
///
/// ```no_run
/// # async fn serve() -> std::io::Result<()> {
/// let mut stop = sardinewood::stop_signal::StopSignal::listen()?;
/// stop.wait().await;
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct StopSignal {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignal {
    /// Listens from now on.
    ///
    /// # Errors
    ///
    /// The handlers can't be set.
    pub fn listen() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Returns once the program has been asked to end.
    pub async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
