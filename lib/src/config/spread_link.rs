//! The sockets of the spread of the configuration: digests over UDP, objects over TCP, both
//! on the same port number.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::config::Config;
use crate::config::spread::Peer;
use crate::config::spread::Spread;
use crate::config::spread::SpreadAction;
use crate::config::spread::SpreadTimings;
use crate::config::spread_message::Datagram;
use crate::config::spread_message::FetchAnswer;
use crate::config::spread_message::FetchRequest;
use crate::config::spread_message::Identity;
use crate::config::spread_message::PeerKeys;
use crate::config::spread_message::Purpose;
use crate::config::spread_message::Report;
use crate::config::spread_message::SPREAD_PROTOCOL;
use crate::config::state::PeerAnswer;
use crate::logging::Level;
use crate::logging::Line;
use crate::store::position::StorePosition;

/// The largest datagram: below the payload that every path carries in one packet.
const MAX_DATAGRAM_BYTES: usize = 1_200;

/// The largest answer to a fetch.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// How many versions above `complete_through` a report names.
const MAX_ABOVE: usize = 32;

/// How many fetches are answered at one time.
const MAX_FETCHES: usize = 16;

/// How long a fetch may take.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// How many tries to find a port number that is free for UDP and TCP.
const BIND_ATTEMPTS: u32 = 8;

/// How many commands may wait.
const COMMAND_QUEUE: usize = 64;

/// What the spread needs to know.
#[derive(Clone)]
pub struct SpreadSettings {
    /// Who this process is.
    pub identity: Identity,
    /// Where it is reached; port 0 takes a free one.
    pub address: SocketAddr,
    /// Processes to begin with.
    pub seeds: Vec<SocketAddr>,
    /// The keys that the processes of the system share.
    pub keys: PeerKeys,
    /// How often and to how many processes to tell.
    pub timings: SpreadTimings,
}

/// Another process, as it was heard last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Where it is reached.
    pub address: SocketAddr,
    /// What it reported.
    pub report: Report,
    /// How long ago.
    pub heard_ago_ms: u64,
}

/// What the spread has sent and received, without the headers of IP, UDP and TCP.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpreadTraffic {
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes of datagrams and of fetches, asked and answered, sent.
    pub sent_bytes: u64,
    /// Bytes of the same received.
    pub received_bytes: u64,
}

/// The counters behind [`SpreadTraffic`].
#[derive(Debug, Default)]
struct TrafficCounters {
    datagrams_sent: AtomicU64,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

impl TrafficCounters {
    fn sent(&self, bytes: usize) {
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn received(&self, bytes: usize) {
        self.received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// What each end of a fetch works with.
#[derive(Clone)]
struct FetchContext {
    keys: Arc<PeerKeys>,
    traffic: Arc<TrafficCounters>,
}

/// What the rest of the process asks of the spread.
#[derive(Debug)]
enum Command {
    Members(oneshot::Sender<Vec<Member>>),
    Ask(Vec<SocketAddr>),
    SetSeeds(Vec<SocketAddr>),
}

/// A handle on the running spread.
#[derive(Clone, Debug)]
pub struct SpreadHandle {
    address: SocketAddr,
    commands: mpsc::Sender<Command>,
    traffic: Arc<TrafficCounters>,
}

impl SpreadHandle {
    /// What it has sent and received.
    ///
    /// ```no_run
    /// # fn show(spread: sardinewood::config::spread_link::SpreadHandle) {
    /// println!("{} bytes sent", spread.traffic().sent_bytes);
    /// # }
    /// ```
    #[must_use]
    pub fn traffic(&self) -> SpreadTraffic {
        SpreadTraffic {
            datagrams_sent: self.traffic.datagrams_sent.load(Ordering::Relaxed),
            sent_bytes: self.traffic.sent_bytes.load(Ordering::Relaxed),
            received_bytes: self.traffic.received_bytes.load(Ordering::Relaxed),
        }
    }

    /// Where this process is reached.
    ///
    /// ```no_run
    /// # fn show(spread: sardinewood::config::spread_link::SpreadHandle) {
    /// println!("{}", spread.address());
    /// # }
    /// ```
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The other processes that were heard.
    ///
    /// ```no_run
    /// # async fn show(spread: sardinewood::config::spread_link::SpreadHandle) {
    /// for member in spread.members().await {
    ///     println!("{} at {}", member.report.identity.name, member.report.digest.newest);
    /// }
    /// # }
    /// ```
    pub async fn members(&self) -> Vec<Member> {
        let (sender, receiver) = oneshot::channel();
        if self.commands.send(Command::Members(sender)).await.is_err() {
            return Vec::new();
        }
        receiver.await.unwrap_or_default()
    }

    /// Asks processes for a fresh report.
    ///
    /// ```no_run
    /// # async fn ask(spread: sardinewood::config::spread_link::SpreadHandle) {
    /// spread.ask(vec!["10.0.0.2:7000".parse().unwrap()]).await;
    /// # }
    /// ```
    pub async fn ask(&self, addresses: Vec<SocketAddr>) {
        // The spread only ends with the process; then nobody waits for the report.
        let _ = self.commands.send(Command::Ask(addresses)).await;
    }

    /// Replaces the processes to begin with.
    ///
    /// ```no_run
    /// # async fn ask(spread: sardinewood::config::spread_link::SpreadHandle) {
    /// spread.set_seeds(vec!["10.0.0.2:7000".parse().unwrap()]).await;
    /// # }
    /// ```
    pub async fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        // As above.
        let _ = self.commands.send(Command::SetSeeds(seeds)).await;
    }
}

/// Starts the spread on the current runtime.
///
/// # Errors
///
/// When the address cannot be bound.
///
/// ```no_run
/// # async fn start(settings: sardinewood::config::spread_link::SpreadSettings) -> std::io::Result<()> {
/// let config = sardinewood::config::Config::default();
/// let spread = sardinewood::config::spread_link::spawn_spread(settings, config).await?;
/// println!("{}", spread.address());
/// # Ok(())
/// # }
/// ```
pub async fn spawn_spread(settings: SpreadSettings, config: Config) -> io::Result<SpreadHandle> {
    let (listener, socket) = bind(settings.address).await?;
    let address = socket.local_addr()?;
    let (commands, commanded) = mpsc::channel(COMMAND_QUEUE);
    let fetching = FetchContext {
        keys: Arc::new(settings.keys),
        traffic: Arc::default(),
    };
    let traffic = Arc::clone(&fetching.traffic);
    tokio::spawn(answer_fetches(listener, fetching.clone(), config.clone()));
    let incarnation = settings.identity.incarnation;
    let (fetched, fetch_results) = mpsc::channel(1);
    let task = SpreadTask {
        spread: Spread::new(
            incarnation,
            &settings.seeds,
            settings.timings,
            rand::random(),
        ),
        identity: settings.identity,
        config,
        fetching,
        socket,
        fetched,
        epoch: Instant::now(),
    };
    tokio::spawn(task.run(commanded, fetch_results));
    Ok(SpreadHandle {
        address,
        commands,
        traffic,
    })
}

/// Binds both sockets to one port number.
async fn bind(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut attempt = 1;
    loop {
        let listener = TcpListener::bind(address).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(_) if address.port() == 0 && attempt < BIND_ATTEMPTS => attempt += 1,
            Err(error) => return Err(error),
        }
    }
}

/// The task that owns the spread's state.
struct SpreadTask {
    spread: Spread,
    identity: Identity,
    config: Config,
    fetching: FetchContext,
    socket: UdpSocket,
    fetched: mpsc::Sender<Option<PeerAnswer>>,
    epoch: Instant,
}

impl SpreadTask {
    async fn run(
        mut self,
        mut commanded: mpsc::Receiver<Command>,
        mut fetch_results: mpsc::Receiver<Option<PeerAnswer>>,
    ) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut state = self.config.state();
        let mut told = state.borrow_and_update().digest();
        let mut next_tick = Instant::now();
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    // An error here is about an earlier datagram that found no receiver.
                    if let Ok((length, from)) = received {
                        self.hear(&buffer[..length], from).await;
                    }
                }
                () = tokio::time::sleep_until(next_tick) => {
                    self.config.set_others(self.spread.audible(self.now_ms()));
                    let actions = self.spread.tick();
                    self.carry_out(actions).await;
                    let tick_ms = self.spread.tick_ms(&state.borrow().digest());
                    next_tick = Instant::now() + Duration::from_millis(tick_ms);
                }
                Ok(()) = state.changed() => {
                    let digest = state.borrow_and_update().digest();
                    // Completeness alone is no news worth a datagram.
                    if (digest.newest, digest.hash) != (told.newest, told.hash) {
                        let actions = self.spread.changed();
                        self.carry_out(actions).await;
                        let pause = Duration::from_millis(self.spread.tick_ms(&digest));
                        next_tick = next_tick.min(Instant::now() + pause);
                    }
                    told = digest;
                }
                Some(answer) = fetch_results.recv() => {
                    self.spread.fetch_ended();
                    if let Some(answer) = answer {
                        self.config.apply(|state| state.apply_peer(&answer));
                    }
                }
                Some(command) = commanded.recv() => self.obey(command).await,
            }
        }
    }

    async fn hear(&mut self, sealed: &[u8], from: SocketAddr) {
        self.fetching.traffic.received(sealed.len());
        let Ok(datagram) = self.fetching.keys.open::<Datagram>(sealed) else {
            Line::new(Level::Debug, "datagram not taken")
                .field("from", from)
                .send();
            return;
        };
        if datagram.protocol != SPREAD_PROTOCOL {
            return;
        }
        let own = self.config.state().borrow().digest();
        let now_ms = self.now_ms();
        let actions = self.spread.heard(now_ms, from, datagram, &own);
        self.carry_out(actions).await;
    }

    async fn obey(&mut self, command: Command) {
        match command {
            Command::Members(sender) => {
                // The one who asked may have left.
                let _ = sender.send(self.members());
            }
            Command::Ask(addresses) => {
                let actions = self.spread.ask(&addresses);
                self.carry_out(actions).await;
            }
            Command::SetSeeds(seeds) => self.spread.set_seeds(&seeds),
        }
    }

    async fn carry_out(&mut self, actions: Vec<SpreadAction>) {
        for action in actions {
            match action {
                SpreadAction::Send { to, purpose } => self.send(to, purpose).await,
                SpreadAction::Fetch { from, after } => {
                    let fetching = self.fetching.clone();
                    let fetched = self.fetched.clone();
                    tokio::spawn(async move {
                        let answer = fetch(from, after, &fetching).await;
                        // The receiver only ends with the process.
                        let _ = fetched.send(answer.ok()).await;
                    });
                }
                SpreadAction::Agree(digest) => self.config.apply(|state| state.agree(&digest)),
                SpreadAction::ListAgain => self.config.want_list(),
            }
        }
    }

    async fn send(&mut self, to: SocketAddr, purpose: Purpose) {
        let datagram = Datagram {
            protocol: SPREAD_PROTOCOL,
            report: self.report(),
            purpose,
            introduced: self.spread.introduced(),
        };
        if let Ok(sealed) = self.fetching.keys.seal(&datagram) {
            let traffic = &self.fetching.traffic;
            traffic.sent(sealed.len());
            traffic.datagrams_sent.fetch_add(1, Ordering::Relaxed);
            // A datagram that is lost is made up for by the next tick.
            let _ = self.socket.send_to(&sealed, to).await;
        }
    }

    fn report(&self) -> Report {
        let state = self.config.state();
        let state = state.borrow();
        let mut above = state.above();
        above.truncate(MAX_ABOVE);
        Report {
            identity: self.identity.clone(),
            digest: state.digest(),
            above,
        }
    }

    fn members(&self) -> Vec<Member> {
        let now_ms = self.now_ms();
        let member = |(address, peer): (&SocketAddr, &Peer)| {
            Some(Member {
                address: *address,
                report: peer.report.clone()?,
                heard_ago_ms: now_ms.saturating_sub(peer.heard_at_ms),
            })
        };
        self.spread.peers().iter().filter_map(member).collect()
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.epoch.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Answers the fetches of other processes, a bounded number at one time.
async fn answer_fetches(listener: TcpListener, fetching: FetchContext, config: Config) {
    let permits = Arc::new(Semaphore::new(MAX_FETCHES));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            // Without file descriptors each accept fails at once.
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        let fetching = fetching.clone();
        let config = config.clone();
        tokio::spawn(async move {
            let answered = answer_fetch(stream, &fetching, &config);
            if !matches!(
                tokio::time::timeout(FETCH_TIMEOUT, answered).await,
                Ok(Ok(()))
            ) {
                Line::new(Level::Debug, "fetch not answered").send();
            }
            drop(permit);
        });
    }
}

async fn answer_fetch(
    stream: TcpStream,
    fetching: &FetchContext,
    config: &Config,
) -> io::Result<()> {
    let mut frames = framed(stream, MAX_DATAGRAM_BYTES);
    let request: FetchRequest = receive(&mut frames, fetching).await?;
    let answer = FetchAnswer {
        nonce: request.nonce,
        answer: config.state().borrow().answer_peer(request.after),
    };
    frames.codec_mut().set_max_frame_length(MAX_ANSWER_BYTES);
    send(&mut frames, fetching, &answer).await
}

/// Fetches what a peer has above a revision.
async fn fetch(
    from: SocketAddr,
    after: StorePosition,
    fetching: &FetchContext,
) -> io::Result<PeerAnswer> {
    let exchange = async {
        let mut frames = framed(TcpStream::connect(from).await?, MAX_ANSWER_BYTES);
        let request = FetchRequest {
            protocol: SPREAD_PROTOCOL,
            after,
            nonce: rand::random(),
        };
        send(&mut frames, fetching, &request).await?;
        let answer: FetchAnswer = receive(&mut frames, fetching).await?;
        if answer.nonce != request.nonce {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(answer.answer)
    };
    tokio::time::timeout(FETCH_TIMEOUT, exchange).await?
}

type Frames = Framed<TcpStream, LengthDelimitedCodec>;

fn framed(stream: TcpStream, max_frame_bytes: usize) -> Frames {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(max_frame_bytes)
        .new_codec();
    Framed::new(stream, codec)
}

async fn send<T: Serialize>(
    frames: &mut Frames,
    fetching: &FetchContext,
    message: &T,
) -> io::Result<()> {
    let sealed = fetching.keys.seal(message).map_err(io::Error::other)?;
    fetching.traffic.sent(sealed.len());
    frames.send(Bytes::from(sealed)).await
}

async fn receive<T: DeserializeOwned>(
    frames: &mut Frames,
    fetching: &FetchContext,
) -> io::Result<T> {
    let sealed = frames.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    fetching.traffic.received(sealed.len());
    fetching.keys.open(&sealed).map_err(io::Error::other)
}
