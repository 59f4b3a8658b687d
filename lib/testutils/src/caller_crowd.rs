//! Callers that send the same bytes over many connections at once, and connect again when they are closed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

/// Pause before a caller connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// The longest that the first round of all callers may take.
const CAP: Duration = Duration::from_secs(60);

/// What a caller sends on each connection.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// What comes first.
    pub begin: Bytes,
    /// Whether a piece of the server's answer has to arrive before anything else is sent.
    pub awaits_reply: bool,
    /// What is sent again and again after it.
    pub piece: Bytes,
    /// How many times.
    pub pieces: usize,
    /// Pause before each piece.
    pub pause: Duration,
    /// Whether the caller reads nothing at the end, until it is closed.
    pub is_deaf: bool,
}

/// Callers with one script; dropping it closes their connections.
#[derive(Debug)]
pub struct CallerCrowd {
    tasks: JoinSet<()>,
    callers: usize,
    acted: Arc<AtomicUsize>,
}

impl CallerCrowd {
    /// Starts so many callers.
    #[must_use]
    pub fn start(address: SocketAddr, callers: usize, script: &Script) -> Self {
        let acted = Arc::new(AtomicUsize::new(0));
        let mut tasks = JoinSet::new();
        for _ in 0..callers {
            tasks.spawn(act(address, script.clone(), Arc::clone(&acted)));
        }
        Self {
            tasks,
            callers,
            acted,
        }
    }

    /// Waits until each caller has sent all of its script, or was closed, at least once.
    ///
    /// # Panics
    ///
    /// When that takes too long.
    pub async fn wait_acted(&self) {
        let until = Instant::now() + CAP;
        while self.acted.load(Ordering::Relaxed) < self.callers {
            assert!(Instant::now() < until, "callers are still sending");
            sleep(RECONNECT_PAUSE).await;
        }
    }

    /// Closes all connections.
    pub async fn leave(mut self) {
        self.tasks.shutdown().await;
    }
}

async fn act(address: SocketAddr, script: Script, acted: Arc<AtomicUsize>) {
    let mut is_first = true;
    loop {
        // Refused or reset connections are opened again.
        if let Ok(mut stream) = TcpStream::connect(address).await {
            let sent = send(&mut stream, &script).await;
            if std::mem::take(&mut is_first) {
                acted.fetch_add(1, Ordering::Relaxed);
            }
            if sent.is_ok() {
                wait_closed(&mut stream, script.is_deaf).await;
            }
        }
        sleep(RECONNECT_PAUSE).await;
    }
}

async fn send(stream: &mut TcpStream, script: &Script) -> std::io::Result<()> {
    stream.write_all(&script.begin).await?;
    if script.awaits_reply {
        stream.readable().await?;
    }
    for _ in 0..script.pieces {
        if !script.pause.is_zero() {
            sleep(script.pause).await;
        }
        stream.write_all(&script.piece).await?;
    }
    Ok(())
}

async fn wait_closed(stream: &mut TcpStream, is_deaf: bool) {
    let mut buffer = [0; 8_192];
    if is_deaf {
        // An error is an end as well.
        let _closed = stream.ready(tokio::io::Interest::ERROR).await;
        return;
    }
    while let Ok(1..) = stream.read(&mut buffer).await {}
}
