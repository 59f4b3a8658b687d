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
use tokio::time::timeout;

/// Pause before a caller connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// The longest that the first round of all callers, or an answer, may take.
const CAP: Duration = Duration::from_secs(60);

/// Bytes that an ordinary caller sends at a time.
const PIECE_BYTES: usize = 64 << 10;
/// Pause before each of these pieces.
const PIECE_PAUSE: Duration = Duration::from_millis(1);

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

impl Script {
    /// A request whose body stops one byte short of its length.
    #[must_use]
    pub fn unfinished(head: String, body_bytes: usize) -> Self {
        Self {
            begin: head.into(),
            piece: filled(body_bytes - 1),
            pieces: 1,
            ..Self::default()
        }
    }
}

/// So many bytes of a body.
///
/// ```
/// assert_eq!(&testutils::caller_crowd::filled(2)[..], b"xx");
/// ```
#[must_use]
pub fn filled(bytes: usize) -> Bytes {
    vec![b'x'; bytes].into()
}

/// A whole chunk of a chunked body.
///
/// ```
/// assert_eq!(&testutils::caller_crowd::chunk(2)[..], b"2\r\nxx\r\n");
/// ```
#[must_use]
pub fn chunk(bytes: usize) -> Bytes {
    format!("{bytes:x}\r\n{}\r\n", "x".repeat(bytes)).into()
}

/// Sends a request to its end and reads the answer, as common clients do: they report a connection that
/// breaks while they send, whatever has arrived on it. Returns the beginning of the answer.
///
/// # Errors
///
/// Returns an error if the request can't be sent, or no answer comes.
pub async fn send_and_read(address: SocketAddr, parts: &[Bytes]) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    for piece in parts.iter().flat_map(|part| part.chunks(PIECE_BYTES)) {
        // Over a network, the server's end arrives before all of a long request has been sent.
        sleep(PIECE_PAUSE).await;
        stream.write_all(piece).await?;
    }
    let mut answer = [0; 64];
    let length = timeout(CAP, stream.read(&mut answer)).await??;
    Ok(String::from_utf8_lossy(&answer[..length]).into_owned())
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
