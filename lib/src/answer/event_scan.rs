//! Reads along in a stream of server-sent events without changing it.
//!
//! The bytes of an answer pass through as they came; this only notes where events end,
//! how many there were, the last `id`, and whether `[DONE]` came.

/// How much of a line is looked at: enough for `data: [DONE]` and any `id`.
const LINE_START_BYTES: usize = 64;

/// What a chunk held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Scanned {
    /// How many events with data ended in it, `[DONE]` not counted.
    pub events: u32,
    /// How many of its bytes are up to the end of the last whole event.
    pub whole_bytes: usize,
}

/// Where a stream stands.
///
/// ```
/// use sardinewood::answer::event_scan::EventScan;
///
/// let mut scan = EventScan::default();
/// let scanned = scan.scan(b"id: 4\ndata: {}\n\nid: 5\nda");
/// assert_eq!((scanned.events, scanned.whole_bytes), (1, 16));
/// assert_eq!(scan.last_id(), Some(4));
/// scan.scan(b"ta: [DONE]\n\n");
/// assert!(scan.is_done());
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventScan {
    line_start: Vec<u8>,
    event_id: Option<u64>,
    has_data: bool,
    /// Whether a line of the current event has ended that is not a comment.
    has_lines: bool,
    last_id: Option<u64>,
    is_done: bool,
}

impl EventScan {
    /// The `id` of the last whole event that had one.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether `[DONE]` came.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    /// Whether an event or a line has begun and not ended. Whole comments do not begin an event.
    ///
    /// ```
    /// let mut scan = sardinewood::answer::event_scan::EventScan::default();
    /// scan.scan(b": a comment\n");
    /// assert!(!scan.has_begun());
    /// scan.scan(b"id: 1\n");
    /// assert!(scan.has_begun());
    /// ```
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.has_lines || !self.line_start.is_empty()
    }

    /// Takes the next chunk in.
    pub fn scan(&mut self, chunk: &[u8]) -> Scanned {
        let mut scanned = Scanned::default();
        for (index, byte) in chunk.iter().enumerate() {
            if *byte != b'\n' {
                self.push(*byte);
            } else if self.end_line() {
                scanned.events += u32::from(self.end_event());
                scanned.whole_bytes = index + 1;
            }
        }
        scanned
    }

    /// Forgets the part of an event that has begun; the stream begins anew after the last
    /// whole one.
    pub fn drop_partial(&mut self) {
        self.line_start.clear();
        self.event_id = None;
        self.has_data = false;
        self.has_lines = false;
    }

    fn push(&mut self, byte: u8) {
        if byte != b'\r' && self.line_start.len() < LINE_START_BYTES {
            self.line_start.push(byte);
        }
    }

    /// Takes a line in; true if it was empty, which ends an event.
    fn end_line(&mut self) -> bool {
        let line = self.line_start.as_slice();
        let is_empty = line.is_empty();
        if let Some(id) = line.strip_prefix(b"id:") {
            self.event_id = parse_number(id);
        } else if let Some(data) = line.strip_prefix(b"data:") {
            let is_done = data.trim_ascii() == b"[DONE]";
            self.is_done |= is_done;
            self.has_data |= !is_done;
        }
        self.has_lines = !is_empty && (self.has_lines || !line.starts_with(b":"));
        self.line_start.clear();
        is_empty
    }

    /// Ends an event; true if it had data.
    fn end_event(&mut self) -> bool {
        self.last_id = self.event_id.take().or(self.last_id);
        std::mem::take(&mut self.has_data)
    }
}

fn parse_number(text: &[u8]) -> Option<u64> {
    std::str::from_utf8(text.trim_ascii()).ok()?.parse().ok()
}
