//! A body while it is received.

/// Length of a segment.
const SEGMENT_BYTES: usize = 64 << 10;
/// First capacity of the first segment, which grows by doubling.
const FIRST_CAPACITY_BYTES: usize = 1 << 10;

/// A body in segments of one size.
///
/// Bodies that are dropped before they are whole leave gaps that fit the next ones. Buffers that grow by
/// doubling would leave gaps of all sizes, and the process would hold far more than its bodies.
///
/// ```
/// use sardinewood::caller::body_buffer::BodyBuffer;
///
/// let mut buffer = BodyBuffer::default();
/// buffer.push(b"ab");
/// buffer.push(b"c");
/// assert_eq!((buffer.length(), &buffer.into_bytes()[..]), (3, &b"abc"[..]));
/// ```
#[derive(Debug, Default)]
pub struct BodyBuffer {
    segments: Vec<Vec<u8>>,
    length: usize,
}

impl BodyBuffer {
    /// Returns the number of bytes received.
    #[must_use]
    pub fn length(&self) -> usize {
        self.length
    }

    /// Returns the number of bytes that the buffer holds of memory.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.segments.iter().map(Vec::capacity).sum()
    }

    /// Returns the capacity that the buffer has once so many more bytes are added.
    ///
    /// ```
    /// # use sardinewood::caller::body_buffer::BodyBuffer;
    /// assert_eq!(BodyBuffer::default().capacity_with(1), 1 << 10);
    /// assert_eq!(BodyBuffer::default().capacity_with(65 << 10), 128 << 10);
    /// ```
    #[must_use]
    pub fn capacity_with(&self, added: usize) -> usize {
        let length = self.length + added;
        if length > SEGMENT_BYTES {
            return length.next_multiple_of(SEGMENT_BYTES);
        }
        let capacity = length.next_power_of_two().max(FIRST_CAPACITY_BYTES);
        capacity.max(self.capacity())
    }

    /// Adds a part.
    pub fn push(&mut self, mut part: &[u8]) {
        let capacity = self.capacity_with(part.len()).min(SEGMENT_BYTES);
        while !part.is_empty() {
            let segment = self.last_with_room(capacity);
            let taken = part.len().min(SEGMENT_BYTES - segment.len());
            segment.extend_from_slice(&part[..taken]);
            self.length += taken;
            part = &part[taken..];
        }
    }

    /// Returns the whole body.
    #[must_use]
    pub fn into_bytes(mut self) -> Vec<u8> {
        if self.segments.len() <= 1 {
            return self.segments.pop().unwrap_or_default();
        }
        let mut bytes = Vec::with_capacity(self.length);
        for segment in self.segments {
            bytes.extend_from_slice(&segment);
        }
        bytes
    }

    /// Returns the last segment, with this capacity at least, or a new one if it is full.
    fn last_with_room(&mut self, capacity: usize) -> &mut Vec<u8> {
        let is_full = self
            .segments
            .last()
            .is_none_or(|last| last.len() == SEGMENT_BYTES);
        if is_full {
            self.segments.push(Vec::with_capacity(capacity));
        }
        let index = self.segments.len() - 1;
        let last = &mut self.segments[index];
        last.reserve_exact(capacity - last.len());
        last
    }
}
