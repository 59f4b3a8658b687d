//! Buffer of the bytes of one answer between the upstream and an entry.
//!
//! Sans-IO: the buffer returns what to send next, whether more may be read, and the
//! answer's length and checksum.

use std::collections::VecDeque;
use std::hash::Hasher;

use bytes::Bytes;
use bytes::BytesMut;
use twox_hash::XxHash64;

use crate::answer::reader::CHECKSUM_SEED;
use crate::link::wire::AnswerEnd;

/// Maximum size of a frame that joins several chunks. A single larger chunk is sent whole.
const MAX_FRAME_BYTES: usize = 16 << 10;

/// Maximum number of bytes of one answer that are buffered for replay. A longer answer is
/// still delivered, but its acknowledged bytes are dropped and can't be replayed.
const REPLAY_LIMIT_BYTES: u64 = 16 * 1024 * 1024;

/// The buffer no longer holds the bytes from the requested offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer is buffered only from offset {buffered_from_bytes}")]
pub struct NotBufferedError {
    /// Offset of the first buffered byte.
    pub buffered_from_bytes: u64,
}

/// Send and replay buffer of one answer.
///
/// ```
/// use bytes::Bytes;
/// use sardinewood::agent::answer_buffer::AnswerBuffer;
///
/// let mut buffer = AnswerBuffer::new(1_000, false);
/// buffer.append(Bytes::from_static(b"hello"));
/// assert_eq!(buffer.next_unsent(), Some((0, Bytes::from_static(b"hello"))));
/// buffer.mark_sent();
/// assert_eq!(buffer.next_unsent(), None);
/// buffer.rewind(2).unwrap();
/// assert_eq!(buffer.next_unsent(), Some((2, Bytes::from_static(b"llo"))));
/// ```
#[derive(Debug)]
pub struct AnswerBuffer {
    chunks: VecDeque<Bytes>,
    /// Offset of the first chunk.
    start_bytes: u64,
    end_bytes: u64,
    sent_bytes: u64,
    acknowledged_bytes: u64,
    window_bytes: u64,
    buffer_whole: bool,
    hash: XxHash64,
}

impl AnswerBuffer {
    /// Creates an empty buffer.
    ///
    /// With `buffer_whole`, the answer is read and buffered to its end even if no entry
    /// reads it, up to a limit.
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

    /// Returns the number of bytes received so far.
    #[must_use]
    pub fn len_bytes(&self) -> u64 {
        self.end_bytes
    }

    /// Returns whether more may be read from the upstream.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.buffer_whole || self.end_bytes - self.acknowledged_bytes < self.window_bytes
    }

    /// Returns whether an entry has acknowledged all received bytes.
    #[must_use]
    pub fn is_acknowledged(&self) -> bool {
        self.acknowledged_bytes == self.end_bytes
    }

    /// Returns whether some bytes were not sent on the current link yet.
    #[must_use]
    pub fn has_unsent(&self) -> bool {
        self.sent_bytes < self.end_bytes
    }

    /// Returns the end of a complete answer, with its length and checksum.
    #[must_use]
    pub fn complete(&self) -> AnswerEnd {
        AnswerEnd::Complete {
            length_bytes: self.end_bytes,
            checksum: self.hash.finish(),
        }
    }

    /// Returns the bytes to send next and their offset.
    ///
    /// Chunks that have accumulated are joined into one frame. Otherwise a call task whose
    /// thread is late would send each token by itself, fall further behind, and search an
    /// ever longer buffer for the next chunk.
    #[must_use]
    pub fn next_unsent(&self) -> Option<(u64, Bytes)> {
        let (index, skip) = self.locate(self.sent_bytes)?;
        let count = self.chunks_in_frame(index);
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

    /// Appends bytes of the answer.
    pub fn append(&mut self, bytes: Bytes) {
        if bytes.is_empty() {
            return;
        }
        self.hash.write(&bytes);
        self.end_bytes += bytes.len() as u64;
        self.chunks.push_back(bytes);
        if self.end_bytes - self.start_bytes > REPLAY_LIMIT_BYTES {
            self.buffer_whole = false;
            self.drop_acknowledged();
        }
    }

    /// Marks the bytes returned by [`Self::next_unsent`] as sent.
    pub fn mark_sent(&mut self) {
        let Some((index, skip)) = self.locate(self.sent_bytes) else {
            return;
        };
        let count = self.chunks_in_frame(index);
        let whole: usize = self
            .chunks
            .range(index..index + count)
            .map(Bytes::len)
            .sum();
        self.sent_bytes += (whole - skip) as u64;
    }

    /// Records that an entry has received all bytes below `through_bytes`.
    pub fn acknowledge(&mut self, through_bytes: u64) {
        let through_bytes = through_bytes.min(self.end_bytes);
        self.acknowledged_bytes = self.acknowledged_bytes.max(through_bytes);
        if !self.buffer_whole {
            self.drop_acknowledged();
        }
    }

    /// Restarts sending at an offset. Acknowledgements of an earlier entry don't apply to
    /// the one that reads now.
    ///
    /// # Errors
    ///
    /// Returns [`NotBufferedError`] if `from_bytes` is outside of the buffered range; the
    /// buffer is unchanged then.
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

    /// Returns the index of the chunk that holds the byte at `offset`, and the byte's
    /// position in that chunk.
    fn locate(&self, offset: u64) -> Option<(usize, usize)> {
        if offset >= self.end_bytes {
            return None;
        }
        // Mostly the last chunk is the one, so the search starts at the back.
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

    /// Returns how many chunks from `index` on are joined into one frame: at least one, and
    /// more while they fit.
    fn chunks_in_frame(&self, index: usize) -> usize {
        let mut frame_bytes = self.chunks[index].len();
        let further = self.chunks.range(index + 1..).take_while(|chunk| {
            frame_bytes += chunk.len();
            frame_bytes <= MAX_FRAME_BYTES
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
