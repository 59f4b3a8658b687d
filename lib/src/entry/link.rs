//! The entry's side of a link to an agent. A link that ends is dialled again after a backoff.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::answer::reader::AnswerFrame;
use crate::answer::routes::AnswerRoutes;
use crate::backoff::Backoff;
use crate::config::spread_message::PeerKeys;
use crate::entry::state::EntryEvent;
use crate::ids::Incarnation;
use crate::link::frames::EntryEnd;
use crate::link::frames::FrameError;
use crate::link::frames::FrameReader;
use crate::link::frames::write_frames;
use crate::link::pace::Heard;
use crate::link::pace::PaceRules;
use crate::link::proof::ProofError;
use crate::link::proof::prove_as_entry;
use crate::link::wire::AgentMessage;
use crate::link::wire::EntryMessage;
use crate::link::wire::Hello;
use crate::link::wire::PROTOCOL_VERSION;
use crate::logging::Level;
use crate::logging::Line;

/// Capacity of a link's send queue, in messages. A link whose queue is full is closed and
/// dialled again.
const SEND_QUEUE_MESSAGES: usize = 4_096;
const MIN_REDIAL_BACKOFF_MS: u64 = 50;
const MAX_REDIAL_BACKOFF_MS: u64 = 2_000;

/// Send handles of the open links, by agent.
///
/// ```
/// use sardinewood::entry::link::OpenLinks;
/// use sardinewood::ids::RequestId;
/// use sardinewood::link::wire::EntryMessage;
///
/// let links = OpenLinks::default();
/// links.send("lang-1", EntryMessage::Withdraw { request: RequestId(1) });
/// ```
#[derive(Clone, Debug, Default)]
pub struct OpenLinks {
    by_agent: Arc<RwLock<IndexMap<Arc<str>, LinkHandle>>>,
}

/// Send queue of an open link and the time of its last received message.
#[derive(Clone, Debug)]
struct LinkHandle {
    sender: mpsc::Sender<EntryMessage>,
    heard: Heard,
}

impl OpenLinks {
    /// Queues a message for an agent. The message is dropped if no link to it is open.
    ///
    /// A link whose send queue is full is closed, because the agent has stopped reading.
    /// Dropping the message and keeping the link could lose the one message that an attempt
    /// waits for. After a reconnect, the attempts of the closed link are settled.
    pub fn send(&self, agent: &str, message: EntryMessage) {
        let link = self.handle(agent);
        let is_full = link.is_some_and(|link| {
            matches!(
                link.sender.try_send(message),
                Err(mpsc::error::TrySendError::Full(_))
            )
        });
        if is_full {
            self.close(agent);
        }
    }

    /// Returns the time of the last message from an agent, if a link to it is open.
    #[must_use]
    pub fn heard_at_ms(&self, agent: &str) -> Option<u64> {
        self.handle(agent).map(|link| link.heard.at_ms())
    }

    fn handle(&self, agent: &str) -> Option<LinkHandle> {
        let links = self.by_agent.read().unwrap_or_else(PoisonError::into_inner);
        links.get(agent).cloned()
    }

    fn insert(&self, agent: Arc<str>, link: LinkHandle) {
        let mut links = self
            .by_agent
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        links.insert(agent, link);
    }

    /// Closes the link to an agent, which is then dialled again.
    pub fn close(&self, agent: &str) {
        let mut links = self
            .by_agent
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        links.swap_remove(agent);
    }
}

/// State that all links of an entry share.
#[derive(Clone, Debug)]
pub struct LinkContext {
    /// First message that this entry sends on each link.
    pub hello: Hello,
    /// Keys with which entries and agents authenticate each other.
    pub keys: PeerKeys,
    /// Heartbeat and silence intervals of a link.
    pub pace: PaceRules,
    /// Origin of the entry's millisecond timestamps.
    pub started: Instant,
    /// The open links.
    pub links: OpenLinks,
    /// Routes of response frames to the callers' tasks.
    pub routes: Arc<AnswerRoutes>,
    /// Channel to the control thread, for events and all other messages.
    pub events: mpsc::Sender<EntryEvent>,
}

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
enum LinkError {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Frame(#[from] FrameError),
    #[error("{0}")]
    Proof(#[from] ProofError),
    #[error("the agent closed the link")]
    Closed,
    #[error("the link was closed: the agent was silent or did not read its messages")]
    ClosedLocally,
    #[error("the agent sent no hello within {silent_ms} ms")]
    Silent { silent_ms: u64 },
    #[error("the agent's first message is not a hello")]
    NoHello,
    #[error("the agent uses protocol version {0}, this entry uses {PROTOCOL_VERSION}")]
    ProtocolMismatch(u32),
    #[error("the agent at this address is {0}")]
    AgentMismatch(Arc<str>),
}

/// Keeps a link to an agent open, and dials it again when it ends, until the future is
/// dropped.
pub async fn keep_link(agent: Arc<str>, address: SocketAddr, context: LinkContext) {
    let mut backoff = Backoff::new(MIN_REDIAL_BACKOFF_MS, MAX_REDIAL_BACKOFF_MS);
    loop {
        let result = open(&agent, address, &context).await;
        let error = match result {
            Ok(link) => {
                backoff.reset();
                run(&agent, link, &context).await
            }
            Err(error) => error,
        };
        Line::new(Level::Info, "link ended")
            .field("upstream", &*agent)
            .field("address", address)
            .field("error", error.to_string())
            .send();
        let backoff_ms = backoff.next_ms(rand::random());
        sleep(Duration::from_millis(backoff_ms)).await;
    }
}

/// A link after the handshake.
struct OpenLink {
    reader: FrameReader<EntryEnd, OwnedReadHalf>,
    writer: OwnedWriteHalf,
    incarnation: Incarnation,
}

/// Dials an agent, authenticates both sides and exchanges hellos, all within `silent_ms`.
async fn open(
    agent: &Arc<str>,
    address: SocketAddr,
    context: &LinkContext,
) -> Result<OpenLink, LinkError> {
    let silent_ms = context.pace.silent_ms;
    let open_timeout = Duration::from_millis(silent_ms);
    let handshake = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        prove_as_entry(&mut stream, &context.keys, &rand::random()).await?;
        let (read, mut writer) = stream.into_split();
        send_hello(&mut writer, context).await?;
        let mut reader = FrameReader::new(read);
        let incarnation = expect_hello(agent, &mut reader).await?;
        Ok(OpenLink {
            reader,
            writer,
            incarnation,
        })
    };
    timeout(open_timeout, handshake)
        .await
        .unwrap_or(Err(LinkError::Silent { silent_ms }))
}

async fn send_hello(writer: &mut OwnedWriteHalf, context: &LinkContext) -> Result<(), LinkError> {
    let (control, control_queue) = mpsc::channel(1);
    let (_, bulk_queue) = mpsc::channel(1);
    // The channel is new and has capacity for one message.
    let _sent = control.try_send(EntryMessage::Hello(context.hello.clone()));
    drop(control);
    write_frames::<EntryEnd, _>(writer, control_queue, bulk_queue).await?;
    Ok(())
}

/// Reads the agent's hello, checks protocol version and name, and returns the incarnation.
///
/// The address may belong to another agent since it was configured. Without the check of the
/// name, requests would be dispatched to an upstream that was not selected.
async fn expect_hello(
    agent: &Arc<str>,
    reader: &mut FrameReader<EntryEnd, OwnedReadHalf>,
) -> Result<Incarnation, LinkError> {
    let Some(first) = reader.next().await? else {
        return Err(LinkError::Closed);
    };
    let AgentMessage::Hello(hello) = first else {
        return Err(LinkError::NoHello);
    };
    if hello.protocol != PROTOCOL_VERSION {
        return Err(LinkError::ProtocolMismatch(hello.protocol));
    }
    if hello.name != *agent {
        return Err(LinkError::AgentMismatch(hello.name));
    }
    Ok(hello.incarnation)
}

/// Removes the link from the open links on drop, however it ends, so that no more messages
/// are queued for it.
struct LinkRegistration<'a> {
    agent: &'a Arc<str>,
    links: &'a OpenLinks,
}

impl Drop for LinkRegistration<'_> {
    fn drop(&mut self) {
        self.links.close(self.agent);
    }
}

/// Registers an open link and passes messages in both directions until it ends. Returns why
/// it ended.
async fn run(agent: &Arc<str>, link: OpenLink, context: &LinkContext) -> LinkError {
    let (sender, queue) = mpsc::channel(SEND_QUEUE_MESSAGES);
    let heard = Heard::new(context.started);
    let handle = LinkHandle {
        sender,
        heard: heard.clone(),
    };
    context.links.insert(agent.clone(), handle);
    let registration = LinkRegistration {
        agent,
        links: &context.links,
    };
    let up = EntryEvent::LinkUp {
        agent: agent.clone(),
        incarnation: link.incarnation,
    };
    if context.events.send(up).await.is_err() {
        return LinkError::Closed;
    }
    let error = tokio::select! {
        error = read_all(agent, link.reader, &heard, context) => error,
        error = write_all(link.writer, queue) => error,
    };
    drop(registration);
    let lost = EntryEvent::LinkLost {
        agent: agent.clone(),
    };
    // The send fails only after the control thread has stopped, when no event is needed.
    let _stopped = context.events.send(lost).await;
    error
}

/// Writes queued messages until the queue is closed or the socket fails.
async fn write_all(writer: OwnedWriteHalf, queue: mpsc::Receiver<EntryMessage>) -> LinkError {
    // All messages use one queue, so that a cancel can't overtake its dispatch.
    let (_, bulk) = mpsc::channel(1);
    match write_frames::<EntryEnd, _>(writer, queue, bulk).await {
        Ok(()) => LinkError::ClosedLocally,
        Err(error) => error.into(),
    }
}

/// Reads messages until the agent closes the link or the socket fails.
async fn read_all(
    agent: &Arc<str>,
    mut reader: FrameReader<EntryEnd, OwnedReadHalf>,
    heard: &Heard,
    context: &LinkContext,
) -> LinkError {
    loop {
        match reader.next().await {
            Ok(Some(message)) => {
                heard.now();
                handle_message(agent, message, context).await;
            }
            Ok(None) => return LinkError::Closed,
            Err(error) => return error.into(),
        }
    }
}

/// Routes response frames to their caller's task and all other messages to the control
/// thread. The end of a response goes to both.
async fn handle_message(agent: &Arc<str>, message: AgentMessage, context: &LinkContext) {
    match AnswerFrame::try_from(message) {
        Ok(AnswerFrame::End { attempt, end }) => {
            let frame = AnswerFrame::End {
                attempt,
                end: end.clone(),
            };
            context.routes.deliver(frame);
            send_to_control(agent, AgentMessage::End { attempt, end }, context).await;
        }
        Ok(frame) => context.routes.deliver(frame),
        Err(other) => send_to_control(agent, other, context).await,
    }
}

async fn send_to_control(agent: &Arc<str>, message: AgentMessage, context: &LinkContext) {
    let event = EntryEvent::Agent {
        agent: agent.clone(),
        message,
    };
    // The send fails only after the control thread has stopped, when no event is needed.
    let _stopped = context.events.send(event).await;
}
