//! Puts the frames of one answer together, so that a caller gets every byte once, in
//! order and whole, or an error.

use std::hash::Hasher;
use std::sync::Arc;

use bytes::Bytes;
use twox_hash::XxHash64;

use crate::ids::AttemptId;
use crate::link::wire::AgentMessage;
use crate::link::wire::AnswerEnd;

/// Seed of the checksum over an answer's body, the same in every process.
pub const CHECKSUM_SEED: u64 = 0;

/// A part of an answer, as it comes from a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerFrame {
    /// Status and headers.
    Head {
        attempt: AttemptId,
        status: u16,
        headers: Vec<(Arc<str>, Bytes)>,
    },
    /// Bytes of the body from an offset.
    Data {
        attempt: AttemptId,
        offset_bytes: u64,
        bytes: Bytes,
    },
    /// Nothing follows.
    End { attempt: AttemptId, end: AnswerEnd },
}

impl AnswerFrame {
    /// The attempt that the frame belongs to.
    ///
    /// ```
    /// use sardinewood::answer::reader::AnswerFrame;
    /// use sardinewood::ids::{AttemptId, RequestId};
    /// use sardinewood::link::wire::AnswerEnd;
    ///
    /// let attempt = AttemptId { request: RequestId(1), number: 1 };
    /// let frame = AnswerFrame::End { attempt, end: AnswerEnd::Cancelled };
    /// assert_eq!(frame.attempt(), attempt);
    /// ```
    #[must_use]
    pub fn attempt(&self) -> AttemptId {
        match self {
            Self::Head { attempt, .. } | Self::Data { attempt, .. } | Self::End { attempt, .. } => {
                *attempt
            }
        }
    }
}

impl TryFrom<AgentMessage> for AnswerFrame {
    /// A message that is no part of an answer, as it came.
    type Error = AgentMessage;

    fn try_from(message: AgentMessage) -> Result<Self, AgentMessage> {
        match message {
            AgentMessage::Head {
                attempt,
                status,
                headers,
            } => Ok(Self::Head {
                attempt,
                status,
                headers,
            }),
            AgentMessage::Data {
                attempt,
                offset_bytes,
                bytes,
            } => Ok(Self::Data {
                attempt,
                offset_bytes,
                bytes,
            }),
            AgentMessage::End { attempt, end } => Ok(Self::End { attempt, end }),
            other => Err(other),
        }
    }
}

/// What to do with a frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadStep {
    /// Nothing: a duplicate, or a frame of another attempt.
    Ignore,
    /// The answer begins.
    Head {
        status: u16,
        headers: Vec<(Arc<str>, Bytes)>,
    },
    /// Pass these bytes on; they follow on what was passed before.
    Pass(Bytes),
    /// Bytes are missing: ask for the answer again from this offset.
    Resume { from_bytes: u64 },
    /// The whole answer has been passed.
    Whole,
    /// There is no whole answer from this attempt.
    Cut(AnswerEnd),
}

/// Reads the answer of one attempt.
///
/// ```
/// use bytes::Bytes;
/// use sardinewood::answer::reader::{AnswerFrame, AnswerReader, ReadStep, checksum};
/// use sardinewood::ids::{AttemptId, RequestId};
/// use sardinewood::link::wire::AnswerEnd;
///
/// let attempt = AttemptId { request: RequestId(1), number: 1 };
/// let mut reader = AnswerReader::new(attempt);
/// reader.read(AnswerFrame::Head { attempt, status: 200, headers: Vec::new() });
/// let bytes = Bytes::from_static(b"hello");
/// let data = AnswerFrame::Data { attempt, offset_bytes: 0, bytes: bytes.clone() };
/// assert_eq!(reader.read(data), ReadStep::Pass(bytes));
/// let end = AnswerEnd::Complete { length_bytes: 5, checksum: checksum(b"hello") };
/// assert_eq!(reader.read(AnswerFrame::End { attempt, end }), ReadStep::Whole);
/// ```
#[derive(Debug)]
pub struct AnswerReader {
    attempt: AttemptId,
    through_bytes: u64,
    hash: XxHash64,
    has_head: bool,
    resuming: bool,
    ended: bool,
}

impl AnswerReader {
    /// A reader for the frames of `attempt`.
    ///
    /// ```
    /// use sardinewood::answer::reader::AnswerReader;
    /// use sardinewood::ids::{AttemptId, RequestId};
    ///
    /// let reader = AnswerReader::new(AttemptId { request: RequestId(1), number: 1 });
    /// assert_eq!(reader.through_bytes(), 0);
    /// ```
    #[must_use]
    pub fn new(attempt: AttemptId) -> Self {
        Self {
            attempt,
            through_bytes: 0,
            hash: XxHash64::with_seed(CHECKSUM_SEED),
            has_head: false,
            resuming: false,
            ended: false,
        }
    }

    /// The attempt that is read.
    ///
    /// ```
    /// use sardinewood::answer::reader::AnswerReader;
    /// use sardinewood::ids::{AttemptId, RequestId};
    ///
    /// let attempt = AttemptId { request: RequestId(1), number: 1 };
    /// assert_eq!(AnswerReader::new(attempt).attempt(), attempt);
    /// ```
    #[must_use]
    pub fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// How many bytes of the body have been passed on.
    ///
    /// ```
    /// use sardinewood::answer::reader::AnswerReader;
    /// use sardinewood::ids::{AttemptId, RequestId};
    ///
    /// let reader = AnswerReader::new(AttemptId { request: RequestId(1), number: 1 });
    /// assert_eq!(reader.through_bytes(), 0);
    /// ```
    #[must_use]
    pub fn through_bytes(&self) -> u64 {
        self.through_bytes
    }

    /// Takes the next frame from a link.
    ///
    /// ```
    /// use bytes::Bytes;
    /// use sardinewood::answer::reader::{AnswerFrame, AnswerReader, ReadStep};
    /// use sardinewood::ids::{AttemptId, RequestId};
    ///
    /// let attempt = AttemptId { request: RequestId(1), number: 1 };
    /// let mut reader = AnswerReader::new(attempt);
    /// let late = AnswerFrame::Data { attempt, offset_bytes: 9, bytes: Bytes::from_static(b"x") };
    /// assert_eq!(reader.read(late), ReadStep::Resume { from_bytes: 0 });
    /// ```
    pub fn read(&mut self, frame: AnswerFrame) -> ReadStep {
        if self.ended || frame.attempt() != self.attempt {
            return ReadStep::Ignore;
        }
        match frame {
            AnswerFrame::Head {
                status, headers, ..
            } => self.read_head(status, headers),
            AnswerFrame::Data {
                offset_bytes,
                bytes,
                ..
            } => self.read_data(offset_bytes, bytes),
            AnswerFrame::End { end, .. } => self.read_end(end),
        }
    }

    /// Says that the answer is asked for again, so that a gap in what was already under
    /// way is not asked for twice, and an end that was in doubt is not the last word.
    ///
    /// ```
    /// use sardinewood::answer::reader::AnswerReader;
    /// use sardinewood::ids::{AttemptId, RequestId};
    ///
    /// let mut reader = AnswerReader::new(AttemptId { request: RequestId(1), number: 1 });
    /// assert_eq!(reader.resume(), 0);
    /// ```
    pub fn resume(&mut self) -> u64 {
        self.resuming = true;
        self.ended = false;
        self.through_bytes
    }

    fn read_head(&mut self, status: u16, headers: Vec<(Arc<str>, Bytes)>) -> ReadStep {
        if self.has_head {
            return ReadStep::Ignore;
        }
        self.has_head = true;
        ReadStep::Head { status, headers }
    }

    fn read_data(&mut self, offset_bytes: u64, mut bytes: Bytes) -> ReadStep {
        if offset_bytes > self.through_bytes {
            return self.ask_again();
        }
        let known_bytes = self.through_bytes - offset_bytes;
        let Some(known) = usize::try_from(known_bytes)
            .ok()
            .filter(|known| *known < bytes.len())
        else {
            return ReadStep::Ignore;
        };
        let fresh = bytes.split_off(known);
        self.resuming = false;
        self.through_bytes += fresh.len() as u64;
        self.hash.write(&fresh);
        ReadStep::Pass(fresh)
    }

    fn read_end(&mut self, end: AnswerEnd) -> ReadStep {
        let AnswerEnd::Complete {
            length_bytes,
            checksum,
        } = end
        else {
            self.ended = true;
            return ReadStep::Cut(end);
        };
        if length_bytes > self.through_bytes {
            return self.ask_again();
        }
        self.ended = true;
        let whole = length_bytes == self.through_bytes && checksum == self.hash.finish();
        if whole && self.has_head {
            return ReadStep::Whole;
        }
        ReadStep::Cut(AnswerEnd::Broken {
            reason: "the answer's length or checksum is wrong".into(),
        })
    }

    fn ask_again(&mut self) -> ReadStep {
        if self.resuming {
            return ReadStep::Ignore;
        }
        ReadStep::Resume {
            from_bytes: self.resume(),
        }
    }
}

/// The checksum of a whole answer's body.
///
/// ```
/// use sardinewood::answer::reader::checksum;
///
/// assert_ne!(checksum(b"a"), checksum(b"b"));
/// ```
#[must_use]
pub fn checksum(body: &[u8]) -> u64 {
    XxHash64::oneshot(CHECKSUM_SEED, body)
}
