//! Messages on a TCP link: postcard values in length-delimited frames.
//!
//! Both ends of a link use this module. Frames that are ready together leave with
//! one write, and frames that arrive together are decoded from one read, so that a
//! busy link costs a system call per batch and not per message.

use std::marker::PhantomData;

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;
use tokio_util::codec::FramedRead;
use tokio_util::codec::LengthDelimitedCodec;

use crate::link::wire::AgentMessage;
use crate::link::wire::EntryMessage;

/// The largest frame that either end sends or takes. It bounds what a peer can make
/// this process allocate, and so the body of a call.
pub const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;

/// Bytes of a frame's length before its message.
const LENGTH_BYTES: usize = 4;
/// How many messages go into one write.
const BATCH_MESSAGES: usize = 256;

/// A batch stops growing at this size, so that one write does not hold back what
/// becomes urgent meanwhile.
const BATCH_BYTES: usize = 256 * 1024;

/// A link cannot go on.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The socket failed, or a frame announces more than [`MAX_FRAME_BYTES`].
    #[error("link failed: {0}")]
    Io(#[from] std::io::Error),
    /// A message is larger than a frame may be.
    #[error("message of {length_bytes} bytes is over the limit of {MAX_FRAME_BYTES}")]
    TooLarge {
        /// Its encoded length.
        length_bytes: usize,
    },
    /// A frame is no message of the expected kind.
    #[error("frame is no message of this protocol: {0}")]
    Malformed(#[from] postcard::Error),
}

/// One end of a link: what it sends and what it receives.
pub trait LinkEnd {
    /// The messages that this end sends.
    type Sent: Serialize + Send;
    /// The messages that this end receives.
    type Received: DeserializeOwned + Send;
}

/// The end in an entry.
#[derive(Clone, Copy, Debug)]
pub struct EntryEnd;

impl LinkEnd for EntryEnd {
    type Sent = EntryMessage;
    type Received = AgentMessage;
}

/// The end in an agent.
#[derive(Clone, Copy, Debug)]
pub struct AgentEnd;

impl LinkEnd for AgentEnd {
    type Sent = AgentMessage;
    type Received = EntryMessage;
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Encodes messages into frames.
///
/// ```
/// use sardinewood::link::frames::{AgentEnd, FrameEncoder, decode_message};
/// use sardinewood::ids::RequestId;
/// use sardinewood::link::wire::{AgentMessage, RefusalReason};
///
/// let message = AgentMessage::Refuse {
///     request: RequestId(7),
///     reason: RefusalReason::Crowded,
///     retry_after_ms: 100,
/// };
/// let mut encoder = FrameEncoder::<AgentEnd>::new();
/// encoder.push(&message).unwrap();
/// let frames = encoder.take();
/// let body = &frames[4..]; // after the length
/// assert_eq!(decode_message::<AgentMessage>(body).unwrap(), message);
/// ```
#[derive(Debug)]
pub struct FrameEncoder<E> {
    frames: BytesMut,
    end: PhantomData<E>,
}

impl<E: LinkEnd> FrameEncoder<E> {
    /// An encoder that holds no frames.
    #[must_use]
    pub fn new() -> Self {
        FrameEncoder {
            frames: BytesMut::new(),
            end: PhantomData,
        }
    }

    /// Appends one message.
    ///
    /// # Errors
    ///
    /// The message is larger than a frame may be; nothing is appended.
    pub fn push(&mut self, message: &E::Sent) -> Result<(), FrameError> {
        let length_bytes = postcard::experimental::serialized_size(message)?;
        if length_bytes > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge { length_bytes });
        }
        let length =
            u32::try_from(length_bytes).map_err(|_| FrameError::TooLarge { length_bytes })?;
        // One buffer of the right size: a message may be as long as the longest body.
        self.frames.reserve(LENGTH_BYTES + length_bytes);
        self.frames.put_u32(length);
        postcard::to_io(message, (&mut self.frames).writer())?;
        Ok(())
    }

    /// How many bytes wait to be taken.
    #[must_use]
    pub fn len_bytes(&self) -> usize {
        self.frames.len()
    }

    /// Removes all frames.
    pub fn take(&mut self) -> Bytes {
        self.frames.split().freeze()
    }
}

impl<E: LinkEnd> Default for FrameEncoder<E> {
    fn default() -> Self {
        Self::new()
    }
}

/// Decodes the body of one frame.
///
/// # Errors
///
/// The bytes are no such message, or more bytes follow it.
///
/// ```
/// use sardinewood::link::frames::decode_message;
/// use sardinewood::link::wire::EntryMessage;
///
/// assert!(decode_message::<EntryMessage>(&[250]).is_err());
/// ```
pub fn decode_message<M: DeserializeOwned>(body: &[u8]) -> Result<M, FrameError> {
    let (message, rest) = postcard::take_from_bytes(body)?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(FrameError::Malformed(
            postcard::Error::DeserializeBadEncoding,
        ))
    }
}

/// Reads the messages of one link.
#[derive(Debug)]
pub struct FrameReader<E, R> {
    frames: FramedRead<R, LengthDelimitedCodec>,
    end: PhantomData<E>,
}

impl<E: LinkEnd, R: AsyncRead + Unpin> FrameReader<E, R> {
    /// Reads from `io`.
    pub fn new(io: R) -> Self {
        FrameReader {
            frames: FramedRead::new(io, codec()),
            end: PhantomData,
        }
    }

    /// The next message; `None` when the peer closed the link between two frames.
    /// Dropping the future loses nothing.
    ///
    /// # Errors
    ///
    /// The link failed or the peer does not speak the protocol; close it.
    ///
    /// ```
    /// use sardinewood::link::frames::{AgentEnd, EntryEnd, FrameEncoder, FrameReader};
    /// use sardinewood::ids::RequestId;
    /// use sardinewood::link::wire::EntryMessage;
    ///
    /// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
    /// let message = EntryMessage::Withdraw { request: RequestId(1) };
    /// let mut encoder = FrameEncoder::<EntryEnd>::new();
    /// encoder.push(&message).unwrap();
    /// let frames = encoder.take();
    /// let mut reader = FrameReader::<AgentEnd, _>::new(&frames[..]);
    /// assert_eq!(reader.next().await.unwrap(), Some(message));
    /// assert_eq!(reader.next().await.unwrap(), None);
    /// # });
    /// ```
    pub async fn next(&mut self) -> Result<Option<E::Received>, FrameError> {
        match self.frames.next().await {
            None => Ok(None),
            Some(frame) => decode_message(&frame?).map(Some),
        }
    }
}

/// Writes the messages of two channels to one link until both are closed and empty.
///
/// Control messages go before bulk data that is ready at the same time: a grant or a
/// heartbeat does not wait behind the answers of other requests. The order within each
/// channel is kept.
///
/// # Errors
///
/// The link failed, or a message is too large for a frame; close it.
///
/// ```
/// use sardinewood::link::frames::{AgentEnd, EntryEnd, FrameReader, write_frames};
/// use sardinewood::ids::RequestId;
/// use sardinewood::link::wire::EntryMessage;
/// use tokio::sync::mpsc;
///
/// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
/// let (control, control_queue) = mpsc::channel(8);
/// let (bulk, bulk_queue) = mpsc::channel(8);
/// control.send(EntryMessage::Withdraw { request: RequestId(1) }).await.unwrap();
/// drop((control, bulk));
/// let mut written = Vec::new();
/// write_frames::<EntryEnd, _>(&mut written, control_queue, bulk_queue).await.unwrap();
/// let mut reader = FrameReader::<AgentEnd, _>::new(&written[..]);
/// assert!(reader.next().await.unwrap().is_some());
/// # });
/// ```
pub async fn write_frames<E: LinkEnd, W: AsyncWrite + Unpin>(
    mut io: W,
    mut control: mpsc::Receiver<E::Sent>,
    mut bulk: mpsc::Receiver<E::Sent>,
) -> Result<(), FrameError> {
    let mut encoder = FrameEncoder::<E>::new();
    let mut batch = Vec::with_capacity(BATCH_MESSAGES);
    while receive_batch(&mut control, &mut bulk, &mut batch).await {
        for message in batch.drain(..) {
            encoder.push(&message)?;
            if encoder.len_bytes() >= BATCH_BYTES {
                io.write_all(&encoder.take()).await?;
            }
        }
        if encoder.len_bytes() > 0 {
            io.write_all(&encoder.take()).await?;
        }
    }
    io.flush().await?;
    Ok(())
}

/// Waits for messages of either channel; false when both are closed and empty.
async fn receive_batch<M>(
    control: &mut mpsc::Receiver<M>,
    bulk: &mut mpsc::Receiver<M>,
    batch: &mut Vec<M>,
) -> bool {
    let first = tokio::select! {
        biased;
        Some(message) = control.recv() => message,
        Some(message) = bulk.recv() => message,
        else => return false,
    };
    batch.push(first);
    while batch.len() < BATCH_MESSAGES {
        match control.try_recv().or_else(|_| bulk.try_recv()) {
            Ok(message) => batch.push(message),
            Err(_) => break,
        }
    }
    true
}
