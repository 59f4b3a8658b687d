//! Leaves out the events of a stream that its caller has already.

use bytes::Bytes;
use bytes::BytesMut;

/// An event is held back whole to find its `id`, but no longer than this.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// What ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// Drops events up to an id; everything after them passes unchanged.
///
/// ```
/// use bytes::Bytes;
/// use sardinewood::answer::event_skip::EventSkip;
///
/// let mut skip = EventSkip::after(Some(4));
/// assert!(skip.feed(Bytes::from_static(b"id: 4\nda")).is_empty());
/// let rest = skip.feed(Bytes::from_static(b"ta: a\n\nid: 5\ndata: b\n\n"));
/// assert_eq!(rest, "id: 5\ndata: b\n\n");
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventSkip {
    after: Option<u64>,
    held: BytesMut,
}

impl EventSkip {
    /// Drops events with an id up to `after`; nothing without one.
    ///
    /// ```
    /// use bytes::Bytes;
    /// use sardinewood::answer::event_skip::EventSkip;
    ///
    /// let bytes = Bytes::from_static(b"id: 0\n");
    /// assert_eq!(EventSkip::after(None).feed(bytes.clone()), bytes);
    /// ```
    #[must_use]
    pub fn after(after: Option<u64>) -> Self {
        Self {
            after,
            held: BytesMut::new(),
        }
    }

    /// Takes the next bytes and gives back what passes.
    ///
    /// ```
    /// use bytes::Bytes;
    /// use sardinewood::answer::event_skip::EventSkip;
    ///
    /// let mut skip = EventSkip::after(Some(9));
    /// let done = Bytes::from_static(b"data: [DONE]\n\n");
    /// assert_eq!(skip.feed(done.clone()), done, "it has no id");
    /// ```
    pub fn feed(&mut self, bytes: Bytes) -> Bytes {
        let Some(after) = self.after else {
            return bytes;
        };
        self.held.extend_from_slice(&bytes);
        while let Some(length) = first_event_bytes(&self.held) {
            let is_known = event_id(&self.held[..length]).is_some_and(|id| id <= after);
            if !is_known {
                return self.pass_all();
            }
            let _known = self.held.split_to(length);
        }
        if self.held.len() > MAX_EVENT_BYTES {
            return self.pass_all();
        }
        Bytes::new()
    }

    /// What is held when the stream ends in the middle of an event.
    ///
    /// ```
    /// use bytes::Bytes;
    /// use sardinewood::answer::event_skip::EventSkip;
    ///
    /// let mut skip = EventSkip::after(Some(9));
    /// skip.feed(Bytes::from_static(b"data: x\n"));
    /// assert_eq!(skip.pass_all(), "data: x\n");
    /// ```
    pub fn pass_all(&mut self) -> Bytes {
        self.after = None;
        std::mem::take(&mut self.held).freeze()
    }
}

/// The length of the first whole event.
fn first_event_bytes(bytes: &[u8]) -> Option<usize> {
    let start = bytes
        .windows(EVENT_END.len())
        .position(|window| window == EVENT_END)?;
    Some(start + EVENT_END.len())
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    id.trim().parse().ok()
}
