//! The agent's side of one link: a reader and a writer on the traffic threads.

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

/// Capacity of a link's queue of control messages. When it is full, the entry is not
/// reading, and the link is closed.
const CONTROL_QUEUE: usize = 4_096;

/// Capacity of a link's queue of answer frames. When it is full, call tasks wait.
const BULK_QUEUE: usize = 256;

/// An event of a link for the control thread.
#[derive(Debug)]
pub enum LinkEvent {
    /// An entry opened the link with its hello.
    Opened { link: LinkId, handle: LinkHandle },
    /// An entry sent a message that the control thread must handle.
    Received {
        link: LinkId,
        message: Box<EntryMessage>,
    },
    /// The link was lost.
    Lost { link: LinkId, reason: Arc<str> },
}

/// The control thread's handle of a link.
#[derive(Clone, Debug)]
pub struct LinkHandle {
    /// The entry's name.
    pub entry: Arc<str>,
    /// Sender of control messages.
    pub control: mpsc::Sender<AgentMessage>,
    /// Sender of answer frames.
    pub bulk: AnswerSender,
    /// Time of the last message from the entry.
    pub heard: Heard,
    /// Closes the link when cancelled.
    pub close: CancellationToken,
}

/// Inputs of a link.
#[derive(Clone, Debug)]
pub struct LinkParts {
    /// The agent's first message.
    pub hello: Hello,
    /// Keys with which entries and agents authenticate each other.
    pub keys: PeerKeys,
    /// Time limit of the authentication, and of the entry's hello.
    pub silent: Duration,
    /// Start of the agent's clock.
    pub started: Instant,
    /// Receives the events of the link.
    pub events: mpsc::Sender<LinkEvent>,
    /// Call tasks, which receive the acknowledgements.
    pub call_tasks: CallTaskRegistry,
    /// Closes all links when cancelled.
    pub stop: CancellationToken,
}

/// Reason for which a link ended.
#[derive(Debug, thiserror::Error)]
enum LinkError {
    #[error("the entry sent no hello in time")]
    Silent,
    #[error("the entry closed the link")]
    Closed,
    #[error("the first message of the entry is not a hello")]
    NoHello,
    #[error("the entry uses protocol version {0}, this agent uses {PROTOCOL_VERSION}")]
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
    // Fails only if the control thread has stopped; the agent is ending then.
    let _stopped = parts.events.send(LinkEvent::Lost { link, reason }).await;
}

async fn run(
    mut stream: TcpStream,
    link: LinkId,
    parts: &LinkParts,
) -> Result<Infallible, LinkError> {
    stream.set_nodelay(true).map_err(FrameError::Io)?;
    // Without authentication, any client that can reach this port could run requests at the
    // upstream and bypass the entry's checks of keys, profiles and limits.
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
    // The queue is empty, so the first message fits.
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
    let first = timeout(silent, read_message(reader)).await;
    match first.map_err(|_| LinkError::Silent)?? {
        EntryMessage::Hello(hello) if hello.protocol == PROTOCOL_VERSION => Ok(hello),
        EntryMessage::Hello(hello) => Err(LinkError::OtherProtocol(hello.protocol)),
        _ => Err(LinkError::NoHello),
    }
}

async fn read_message(
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
        let message = read_message(reader).await?;
        heard.now();
        match message {
            EntryMessage::Heartbeat { .. } => {}
            EntryMessage::Acknowledge {
                attempt,
                through_bytes,
            } => {
                let command = CallCommand::Acknowledge { through_bytes };
                // Fails only if the call task has ended; it needs no acknowledgement then.
                let _ended = parts.call_tasks.send(attempt, command);
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
