//! The entry's end of a link to an agent: dialled, kept alive, and dialled again.

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

/// Messages that wait for the socket. A link that can't take more is replaced.
const SEND_QUEUE: usize = 4_096;
const FIRST_PAUSE_MS: u64 = 50;
const LONGEST_PAUSE_MS: u64 = 2_000;

/// The sending sides of the open links, by agent.
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
    by_agent: Arc<RwLock<IndexMap<Arc<str>, LinkEnd>>>,
}

/// What others hold of an open link.
#[derive(Clone, Debug)]
struct LinkEnd {
    sender: mpsc::Sender<EntryMessage>,
    heard: Heard,
}

impl OpenLinks {
    /// Sends a message, which is lost if there is no link.
    ///
    /// A link whose queue is full is closed: its peer has not read for long, and a
    /// message that is silently dropped from the middle of a link that lives on could be
    /// the one that an attempt waits for. A closed link is settled when it is back.
    pub fn send(&self, agent: &str, message: EntryMessage) {
        let link = self.read(agent);
        let is_stuck = link.is_some_and(|link| {
            matches!(
                link.sender.try_send(message),
                Err(mpsc::error::TrySendError::Full(_))
            )
        });
        if is_stuck {
            self.close(agent);
        }
    }

    /// When anything was last heard on the link to an agent.
    #[must_use]
    pub fn heard_at_ms(&self, agent: &str) -> Option<u64> {
        self.read(agent).map(|link| link.heard.at_ms())
    }

    fn read(&self, agent: &str) -> Option<LinkEnd> {
        let links = self.by_agent.read().unwrap_or_else(PoisonError::into_inner);
        links.get(agent).cloned()
    }

    fn insert(&self, agent: Arc<str>, link: LinkEnd) {
        let mut links = self
            .by_agent
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        links.insert(agent, link);
    }

    /// Closes a link; it is dialled again.
    pub fn close(&self, agent: &str) {
        let mut links = self
            .by_agent
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        links.swap_remove(agent);
    }
}

/// What all links of an entry share.
#[derive(Clone, Debug)]
pub struct LinkContext {
    /// What this entry says first.
    pub hello: Hello,
    /// What proves entries and agents to each other.
    pub keys: PeerKeys,
    /// Timings.
    pub pace: PaceRules,
    /// The start of the entry's time.
    pub started: Instant,
    /// The open links.
    pub links: OpenLinks,
    /// Where the answers go.
    pub routes: Arc<AnswerRoutes>,
    /// Where everything else goes.
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
    #[error("the link was given up: silent, or not read")]
    GivenUp,
    #[error("no hello came within {silent_ms} ms")]
    Silent { silent_ms: u64 },
    #[error("the first message is not a hello")]
    NoHello,
    #[error("the agent speaks protocol {0}, this entry {PROTOCOL_VERSION}")]
    OtherProtocol(u32),
    #[error("the agent at this address is {0}")]
    OtherAgent(Arc<str>),
}

/// Keeps a link to an agent until the future is dropped.
pub async fn keep_link(agent: Arc<str>, address: SocketAddr, context: LinkContext) {
    let mut backoff = Backoff::new(FIRST_PAUSE_MS, LONGEST_PAUSE_MS);
    loop {
        let opened = open(&agent, address, &context).await;
        let error = match opened {
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
        let pause_ms = backoff.next_ms(rand::random());
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

struct OpenLink {
    reader: FrameReader<EntryEnd, OwnedReadHalf>,
    writer: OwnedWriteHalf,
    incarnation: Incarnation,
}

async fn open(
    agent: &Arc<str>,
    address: SocketAddr,
    context: &LinkContext,
) -> Result<OpenLink, LinkError> {
    let silent_ms = context.pace.silent_ms;
    let patience = Duration::from_millis(silent_ms);
    let opening = async {
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
    timeout(patience, opening)
        .await
        .unwrap_or(Err(LinkError::Silent { silent_ms }))
}

async fn send_hello(writer: &mut OwnedWriteHalf, context: &LinkContext) -> Result<(), LinkError> {
    let (control, control_queue) = mpsc::channel(1);
    let (_, bulk_queue) = mpsc::channel(1);
    // The channel is new and has room for one message.
    let _sent = control.try_send(EntryMessage::Hello(context.hello.clone()));
    drop(control);
    write_frames::<EntryEnd, _>(writer, control_queue, bulk_queue).await?;
    Ok(())
}

/// Takes the agent's hello. An address may have passed to another agent since it was
/// configured; work that went there would reach an upstream that was not asked.
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
        return Err(LinkError::OtherProtocol(hello.protocol));
    }
    if hello.name != *agent {
        return Err(LinkError::OtherAgent(hello.name));
    }
    Ok(hello.incarnation)
}

/// Takes the link out of the table when it ends in any way, so that nothing is sent
/// into it any more.
struct Registered<'a> {
    agent: &'a Arc<str>,
    links: &'a OpenLinks,
}

impl Drop for Registered<'_> {
    fn drop(&mut self) {
        self.links.close(self.agent);
    }
}

async fn run(agent: &Arc<str>, link: OpenLink, context: &LinkContext) -> LinkError {
    let (sender, queue) = mpsc::channel(SEND_QUEUE);
    let heard = Heard::new(context.started);
    let end = LinkEnd {
        sender,
        heard: heard.clone(),
    };
    context.links.insert(agent.clone(), end);
    let registered = Registered {
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
    drop(registered);
    let lost = EntryEvent::LinkLost {
        agent: agent.clone(),
    };
    // Without a control thread nobody wants to know.
    let _stopped = context.events.send(lost).await;
    error
}

async fn write_all(writer: OwnedWriteHalf, queue: mpsc::Receiver<EntryMessage>) -> LinkError {
    // Everything goes through one queue: a cancel must not overtake its dispatch.
    let (_, bulk) = mpsc::channel(1);
    match write_frames::<EntryEnd, _>(writer, queue, bulk).await {
        Ok(()) => LinkError::GivenUp,
        Err(error) => error.into(),
    }
}

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
                take(agent, message, context).await;
            }
            Ok(None) => return LinkError::Closed,
            Err(error) => return error.into(),
        }
    }
}

async fn take(agent: &Arc<str>, message: AgentMessage, context: &LinkContext) {
    match AnswerFrame::try_from(message) {
        Ok(AnswerFrame::End { attempt, end }) => {
            let frame = AnswerFrame::End {
                attempt,
                end: end.clone(),
            };
            context.routes.deliver(frame);
            control(agent, AgentMessage::End { attempt, end }, context).await;
        }
        Ok(frame) => context.routes.deliver(frame),
        Err(other) => control(agent, other, context).await,
    }
}

async fn control(agent: &Arc<str>, message: AgentMessage, context: &LinkContext) {
    let event = EntryEvent::Agent {
        agent: agent.clone(),
        message,
    };
    // Without a control thread nobody wants to know.
    let _stopped = context.events.send(event).await;
}
