//! The bytes of one answer while they are on their way to an entry.
//!
//! Sans-IO: the log says what to send next, whether there is room to read more, and what
//! the answer's length and checksum are.

use std::collections::VecDeque;
use std::hash::Hasher;

use bytes::Bytes;
use bytes::BytesMut;
use twox_hash::XxHash64;

use crate::answer::reader::CHECKSUM_SEED;
use crate::link::wire::AnswerEnd;

/// The most bytes of piled-up chunks that leave in one frame.
const FRAME_BYTES: usize = 16 << 10;

/// The most that is kept of one answer for later replays. A longer answer is passed on
/// all the same, but what its entry has acknowledged can't be had again.
const KEEP_LIMIT_BYTES: u64 = 16 * 1024 * 1024;

/// The log no longer holds the bytes from the offset asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer is kept from {buffered_from_bytes} on only")]
pub struct NotBufferedError {
    /// Where the kept part begins.
    pub buffered_from_bytes: u64,
}

/// The bytes of one answer with their offsets.
///
/// ```
/// use bytes::Bytes;
/// use sardinewood::agent::answer_buffer::AnswerBuffer;
///
/// let mut log = AnswerBuffer::new(1_000, false);
/// log.append(Bytes::from_static(b"hello"));
/// assert_eq!(log.next_unsent(), Some((0, Bytes::from_static(b"hello"))));
/// log.mark_sent();
/// assert_eq!(log.next_unsent(), None);
/// log.rewind(2).unwrap();
/// assert_eq!(log.next_unsent(), Some((2, Bytes::from_static(b"llo"))));
/// ```
#[derive(Debug)]
pub struct AnswerBuffer {
    chunks: VecDeque<Bytes>,
    /// The offset of the first chunk.
    start_bytes: u64,
    end_bytes: u64,
    sent_bytes: u64,
    acknowledged_bytes: u64,
    window_bytes: u64,
    buffer_whole: bool,
    hash: XxHash64,
}

impl AnswerBuffer {
    /// An empty log. If `buffer_whole`, the answer is read and kept to its end even if no
    /// entry takes it, up to a bound.
    #[must_use]
    pub fn new(window_bytes: u64, buffer_whole: bool) -> Self {
        AnswerBuffer {
            chunks: VecDeque::new(),
            start_bytes: 0,
            end_bytes: 0,
            sent_bytes: 0,
            acknowledged_bytes: 0,
            window_bytes,
            buffer_whole,
            hash: XxHash64::with_seed(CHECKSUM_SEED),
        }
    }

    /// How many bytes came so far.
    #[must_use]
    pub fn len_bytes(&self) -> u64 {
        self.end_bytes
    }

    /// Whether more may be read from the upstream.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.buffer_whole || self.end_bytes - self.acknowledged_bytes < self.window_bytes
    }

    /// Whether an entry has acknowledged all that came.
    #[must_use]
    pub fn is_acknowledged(&self) -> bool {
        self.acknowledged_bytes == self.end_bytes
    }

    /// Whether some bytes are not sent on the present link.
    #[must_use]
    pub fn has_unsent(&self) -> bool {
        self.sent_bytes < self.end_bytes
    }

    /// How the whole answer ends.
    #[must_use]
    pub fn complete(&self) -> AnswerEnd {
        AnswerEnd::Complete {
            length_bytes: self.end_bytes,
            checksum: self.hash.finish(),
        }
    }

    /// What to send next, with its offset.
    ///
    /// What has piled up leaves together. A pump whose thread is late would otherwise send
    /// each token by itself, fall behind further, and search a longer log for the next one.
    #[must_use]
    pub fn next_unsent(&self) -> Option<(u64, Bytes)> {
        let (index, skip) = self.position(self.sent_bytes)?;
        let count = self.frame_chunks(index);
        let first = self.chunks[index].slice(skip..);
        if count == 1 {
            return Some((self.sent_bytes, first));
        }
        let mut frame = BytesMut::from(first);
        for chunk in self.chunks.range(index + 1..index + count) {
            frame.extend_from_slice(chunk);
        }
        Some((self.sent_bytes, frame.freeze()))
    }

    /// Adds bytes of the answer.
    pub fn append(&mut self, bytes: Bytes) {
        if bytes.is_empty() {
            return;
        }
        self.hash.write(&bytes);
        self.end_bytes += bytes.len() as u64;
        self.chunks.push_back(bytes);
        if self.end_bytes - self.start_bytes > KEEP_LIMIT_BYTES {
            self.buffer_whole = false;
            self.drop_acknowledged();
        }
    }

    /// Notes that what [`Self::next_unsent`] returned was sent.
    pub fn mark_sent(&mut self) {
        let Some((index, skip)) = self.position(self.sent_bytes) else {
            return;
        };
        let count = self.frame_chunks(index);
        let whole: usize = self
            .chunks
            .range(index..index + count)
            .map(Bytes::len)
            .sum();
        self.sent_bytes += (whole - skip) as u64;
    }

    /// Notes that an entry has everything below `through_bytes`.
    pub fn acknowledge(&mut self, through_bytes: u64) {
        let through_bytes = through_bytes.min(self.end_bytes);
        self.acknowledged_bytes = self.acknowledged_bytes.max(through_bytes);
        if !self.buffer_whole {
            self.drop_acknowledged();
        }
    }

    /// Sends again from an offset. What an earlier entry acknowledged counts for nothing
    /// with the one that reads now.
    ///
    /// # Errors
    ///
    /// The bytes from there are not held any more; nothing changes.
    pub fn rewind(&mut self, from_bytes: u64) -> Result<(), NotBufferedError> {
        if from_bytes < self.start_bytes || from_bytes > self.end_bytes {
            return Err(NotBufferedError {
                buffered_from_bytes: self.start_bytes,
            });
        }
        self.sent_bytes = from_bytes;
        self.acknowledged_bytes = from_bytes;
        Ok(())
    }

    /// The chunk that holds the byte at `offset`, and how many of its bytes come before it.
    fn position(&self, offset: u64) -> Option<(usize, usize)> {
        if offset >= self.end_bytes {
            return None;
        }
        // The last chunk is the usual one, so the search begins at the back.
        let mut start = self.end_bytes;
        for (index, chunk) in self.chunks.iter().enumerate().rev() {
            start -= chunk.len() as u64;
            if start <= offset {
                let skip = usize::try_from(offset - start).ok()?;
                return Some((index, skip));
            }
        }
        None
    }

    /// How many chunks from `index` on make one frame: at least one, and further ones while
    /// they fit.
    fn frame_chunks(&self, index: usize) -> usize {
        let mut frame_bytes = self.chunks[index].len();
        let further = self.chunks.range(index + 1..).take_while(|chunk| {
            frame_bytes += chunk.len();
            frame_bytes <= FRAME_BYTES
        });
        1 + further.count()
    }

    fn drop_acknowledged(&mut self) {
        while let Some(chunk) = self.chunks.front() {
            let chunk_end = self.start_bytes + chunk.len() as u64;
            if chunk_end > self.acknowledged_bytes {
                return;
            }
            self.start_bytes = chunk_end;
            self.chunks.pop_front();
        }
    }
}
