//! The agent's end of one link: a reader and a writer on the traffic threads.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::agent::call_task::AnswerSender;
use crate::agent::call_task::CallCommand;
use crate::agent::call_task_registry::CallTaskRegistry;
use crate::agent::events::LinkId;
use crate::config::spread_message::PeerKeys;
use crate::link::frames::AgentEnd;
use crate::link::frames::FrameError;
use crate::link::frames::FrameReader;
use crate::link::frames::write_frames;
use crate::link::pace::Heard;
use crate::link::proof::ProofError;
use crate::link::proof::prove_as_agent;
use crate::link::wire::AgentMessage;
use crate::link::wire::EntryMessage;
use crate::link::wire::Hello;
use crate::link::wire::PROTOCOL_VERSION;

/// Control messages that may wait for the writer of a link. A link on which more wait is
/// not read by its entry and is closed.
const CONTROL_QUEUE: usize = 4_096;

/// Frames of answers that may wait for the writer of a link; pumps wait for room.
const BULK_QUEUE: usize = 256;

/// What a link tells the control thread.
#[derive(Debug)]
pub enum LinkEvent {
    /// An entry said hello.
    Opened { link: LinkId, handle: LinkHandle },
    /// An entry sent a message that needs a decision.
    Received {
        link: LinkId,
        message: Box<EntryMessage>,
    },
    /// The link is gone.
    Lost { link: LinkId, reason: Arc<str> },
}

/// What the control thread holds of a link.
#[derive(Clone, Debug)]
pub struct LinkHandle {
    /// The entry's name.
    pub entry: Arc<str>,
    /// Where control messages go.
    pub control: mpsc::Sender<AgentMessage>,
    /// Where the frames of answers go.
    pub bulk: AnswerSender,
    /// When the entry was last heard.
    pub heard: Heard,
    /// Ends the link.
    pub close: CancellationToken,
}

/// What a link works with.
#[derive(Clone, Debug)]
pub struct LinkParts {
    /// What this agent says first.
    pub hello: Hello,
    /// What proves entries and agents to each other.
    pub keys: PeerKeys,
    /// How long an entry may take for its hello.
    pub silent: Duration,
    /// The start of the agent's time.
    pub started: Instant,
    /// Where events go.
    pub events: mpsc::Sender<LinkEvent>,
    /// The pumps that acknowledgements go to.
    pub pumps: CallTaskRegistry,
    /// Ends all links.
    pub stop: CancellationToken,
}

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
enum LinkError {
    #[error("the entry says no hello")]
    Silent,
    #[error("the entry closed the link")]
    Closed,
    #[error("the first message is no hello")]
    NoHello,
    #[error("the entry speaks protocol {0}, this agent {PROTOCOL_VERSION}")]
    OtherProtocol(u32),
    #[error("the agent closed the link")]
    ClosedHere,
    #[error(transparent)]
    Frames(#[from] FrameError),
    #[error(transparent)]
    Proof(#[from] ProofError),
}

/// Serves one connection until it is lost.
pub async fn serve(stream: TcpStream, link: LinkId, parts: LinkParts) {
    let Err(error) = run(stream, link, &parts).await;
    let reason = error.to_string().into();
    // Without a control thread nobody wants to know.
    let _stopped = parts.events.send(LinkEvent::Lost { link, reason }).await;
}

async fn run(
    mut stream: TcpStream,
    link: LinkId,
    parts: &LinkParts,
) -> Result<Infallible, LinkError> {
    stream.set_nodelay(true).map_err(FrameError::Io)?;
    // Whoever can reach this port could otherwise run work in the upstream past the entry's
    // checks of keys, profiles and limits.
    let nonce = rand::random();
    let proof = prove_as_agent(&mut stream, &parts.keys, &nonce);
    let proof = timeout(parts.silent, proof).await;
    proof.map_err(|_| LinkError::Silent)??;
    let (read, write) = stream.into_split();
    let mut reader = FrameReader::new(read);
    let hello = read_hello(&mut reader, parts.silent).await?;
    let (control, control_queue) = mpsc::channel(CONTROL_QUEUE);
    let (bulk, bulk_queue) = mpsc::channel(BULK_QUEUE);
    let handle = LinkHandle {
        entry: hello.name,
        control,
        bulk,
        heard: Heard::new(parts.started),
        close: parts.stop.child_token(),
    };
    let close = handle.close.clone();
    let heard = handle.heard.clone();
    // The queue is empty, so there is room for the first message.
    let _room = handle
        .control
        .try_send(AgentMessage::Hello(parts.hello.clone()));
    let opened = LinkEvent::Opened { link, handle };
    if parts.events.send(opened).await.is_err() {
        return Err(LinkError::ClosedHere);
    }
    tokio::select! {
        lost = read_messages(&mut reader, link, &heard, parts) => lost,
        written = write_frames::<AgentEnd, _>(write, control_queue, bulk_queue) => {
            written?;
            Err(LinkError::ClosedHere)
        }
        () = close.cancelled() => Err(LinkError::ClosedHere),
    }
}

async fn read_hello(
    reader: &mut FrameReader<AgentEnd, OwnedReadHalf>,
    silent: Duration,
) -> Result<Hello, LinkError> {
    let first = timeout(silent, read_one(reader)).await;
    match first.map_err(|_| LinkError::Silent)?? {
        EntryMessage::Hello(hello) if hello.protocol == PROTOCOL_VERSION => Ok(hello),
        EntryMessage::Hello(hello) => Err(LinkError::OtherProtocol(hello.protocol)),
        _ => Err(LinkError::NoHello),
    }
}

async fn read_one(
    reader: &mut FrameReader<AgentEnd, OwnedReadHalf>,
) -> Result<EntryMessage, LinkError> {
    reader.next().await?.ok_or(LinkError::Closed)
}

async fn read_messages(
    reader: &mut FrameReader<AgentEnd, OwnedReadHalf>,
    link: LinkId,
    heard: &Heard,
    parts: &LinkParts,
) -> Result<Infallible, LinkError> {
    loop {
        let message = read_one(reader).await?;
        heard.now();
        match message {
            EntryMessage::Heartbeat { .. } => {}
            EntryMessage::Acknowledge {
                attempt,
                through_bytes,
            } => {
                let order = CallCommand::Acknowledge { through_bytes };
                // What has ended needs no acknowledgement.
                let _ended = parts.pumps.order(attempt, order);
            }
            message => {
                let message = Box::new(message);
                let event = LinkEvent::Received { link, message };
                if parts.events.send(event).await.is_err() {
                    return Err(LinkError::ClosedHere);
                }
            }
        }
    }
}
