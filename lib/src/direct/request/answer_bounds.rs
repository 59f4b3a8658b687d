//! Bounds of the parts of an upstream's answer, counted without I/O.
//!
//! The HTTP library limits neither the number of interim heads nor the bytes of a chunk's size, and
//! hands neither on, so a faulty upstream could send them until the request's deadline.

/// Longest head of an answer. Heads of sound upstreams have less than one kilobyte.
pub const MAX_HEAD_BYTES: usize = 64 << 10;
/// Most interim heads before the head of an answer. HTTP has four kinds of them.
pub const MAX_INTERIM_HEADS: u32 = 16;
/// Most bytes that may arrive between two parts of a body. It covers what the HTTP library reads
/// ahead, two buffers of [`READ_BUFFER_BYTES`], so it is reached only by framing.
pub const MAX_FRAMING_BYTES: u64 = 256 << 10;
/// Framing that may take any time. Upstreams may send the end of one chunk right after it, and the size of
/// the next one long before its data: what is between two chunks has some tens of bytes.
pub const UNTIMED_FRAMING_BYTES: u64 = 1 << 10;
/// Largest buffer of the HTTP library for one connection to an upstream.
pub const READ_BUFFER_BYTES: usize = MAX_HEAD_BYTES;
/// Longest event of a stream, comments included. Engines send events of some tens of bytes.
pub const MAX_EVENT_BYTES: usize = 256 << 10;
/// How long a part may take that is small and is sent in one go: a head from its first byte on, the
/// framing between two parts of a body, and an event. Two losses of a packet in a row take 0.6 s, and
/// later than a second most requests get no slot for a retry. It is checked when further bytes arrive that
/// do not end the part, as silence alone is no fault of the answer and has limits of its own.
pub const MAX_PART_MS: u64 = 700;

/// First bytes of an interim head after the version's last digit.
const INTERIM_STATUS: u8 = b'1';
/// Position of the status's first digit in a status line.
const STATUS_AT: usize = "HTTP/1.1 ".len();
/// Status of a head after which the connection no longer carries HTTP.
const SWITCHING: &[u8] = b"101";

/// A part of an answer that has a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerPart {
    /// The heads before the final one.
    InterimHeads,
    /// The final head.
    Head,
    /// What is between the parts of a body: sizes and extensions of chunks, and trailers.
    Framing,
    /// An event of a stream that has not ended.
    Event,
    /// The whole body.
    Body,
}

impl AnswerPart {
    /// Returns the reason of the failed attempt, for logs and metrics.
    ///
    /// ```
    /// use sardinewood::direct::request::answer_bounds::AnswerPart;
    ///
    /// assert_eq!(AnswerPart::Body.reason(), "body of an answer is too long");
    /// ```
    #[must_use]
    pub fn reason(self) -> &'static str {
        match self {
            Self::InterimHeads => "interim heads of an answer are too many",
            Self::Head => "head of an answer is not valid or too long",
            Self::Framing => "framing of an answer is not valid or too long",
            Self::Event => "event of an answer is too long",
            Self::Body => "body of an answer is too long",
        }
    }

    /// Returns whether the request may be the cause: another one may get a shorter answer.
    ///
    /// ```
    /// use sardinewood::direct::request::answer_bounds::AnswerPart;
    ///
    /// assert!(AnswerPart::Body.may_depend_on_request());
    /// assert!(!AnswerPart::Framing.may_depend_on_request());
    /// ```
    #[must_use]
    pub fn may_depend_on_request(self) -> bool {
        matches!(self, Self::Event | Self::Body)
    }
}

/// What is being received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// No answer is expected. The HTTP library closes a connection that sends bytes then.
    #[default]
    Idle,
    Head,
    Body,
}

/// Counts the bytes of one answer by part.
///
/// It follows an answer only up to the end of its head. Within the body, a part of it that the
/// reader takes ends the framing before it, so the framing needs not be parsed a second time.
///
/// ```
/// use sardinewood::direct::request::answer_bounds::{AnswerBounds, AnswerPart};
///
/// let mut bounds = AnswerBounds::default();
/// bounds.start(1_000);
/// assert_eq!(bounds.receive(b"HTTP/1.1 200 OK\r\n\r\nanswer", 5), Ok(()));
/// assert_eq!(bounds.receive(&[b'0'; 300_000], 6), Err(AnswerPart::Framing));
/// ```
#[derive(Clone, Debug, Default)]
pub struct AnswerBounds {
    phase: Phase,
    max_body_bytes: u64,
    /// Bytes after the final head, framing included.
    body_bytes: u64,
    /// Bytes of the current head.
    head_bytes: usize,
    /// Bytes of all heads.
    heads_bytes: u64,
    interim_heads: u32,
    /// Start of the status line of the current head.
    status_line: [u8; STATUS_AT + SWITCHING.len()],
    /// Whether the last line feed was followed by nothing but a carriage return.
    is_line_empty: bool,
    /// Bytes since the reader took a part of the body.
    framing_bytes: u64,
    /// When the first byte of the current head, or since the reader took a part of the body, arrived.
    part_began_ms: Option<u64>,
    exceeded: Option<AnswerPart>,
}

impl AnswerBounds {
    /// Starts an answer: its request is being sent.
    ///
    /// ```
    /// sardinewood::direct::request::answer_bounds::AnswerBounds::default().start(1_000);
    /// ```
    pub fn start(&mut self, max_body_bytes: u64) {
        *self = Self {
            phase: Phase::Head,
            max_body_bytes,
            exceeded: self.exceeded,
            ..Self::default()
        };
    }

    /// Records that the answer was read to its end.
    ///
    /// ```
    /// let mut bounds = sardinewood::direct::request::answer_bounds::AnswerBounds::default();
    /// bounds.start(1_000);
    /// bounds.finish();
    /// assert!(bounds.receive(b"?", 0).is_ok());
    /// ```
    pub fn finish(&mut self) {
        self.phase = Phase::Idle;
        self.part_began_ms = None;
    }

    /// Records that the HTTP library has handed on the final head.
    ///
    /// ```
    /// sardinewood::direct::request::answer_bounds::AnswerBounds::default().head_read();
    /// ```
    pub fn head_read(&mut self) {
        if self.phase == Phase::Head {
            self.begin_body();
        }
    }

    /// Records that the reader has taken a part of the body.
    ///
    /// ```
    /// sardinewood::direct::request::answer_bounds::AnswerBounds::default().part_taken();
    /// ```
    pub fn part_taken(&mut self) {
        if self.phase == Phase::Body {
            self.framing_bytes = 0;
            self.part_began_ms = None;
        }
    }

    /// Counts received bytes.
    ///
    /// # Errors
    ///
    /// Returns the part whose bound they exceed.
    ///
    /// ```
    /// let mut bounds = sardinewood::direct::request::answer_bounds::AnswerBounds::default();
    /// bounds.start(1_000);
    /// assert!(bounds.receive(b"HTTP/1.1 200 OK\r\n", 0).is_ok());
    /// ```
    pub fn receive(&mut self, bytes: &[u8], now_ms: u64) -> Result<(), AnswerPart> {
        if let Some(part) = self.exceeded {
            return Err(part);
        }
        if bytes.is_empty() || self.phase == Phase::Idle {
            return Ok(());
        }
        let body_bytes = self.receive_heads(bytes, now_ms)?;
        // The bytes just received may be data, which ends the framing. Those before them were framing, as
        // the HTTP library reads on only when it has handed on all data.
        let is_untimed = self.phase == Phase::Body && self.framing_bytes <= UNTIMED_FRAMING_BYTES;
        if body_bytes > 0 {
            self.part_began_ms.get_or_insert(now_ms);
        }
        self.body_bytes += body_bytes;
        self.framing_bytes += body_bytes;
        if self.framing_bytes > MAX_FRAMING_BYTES {
            return self.exceed(AnswerPart::Framing);
        }
        let max_bytes = self.max_body_bytes.saturating_add(MAX_FRAMING_BYTES);
        if self.body_bytes > max_bytes {
            return self.exceed(AnswerPart::Body);
        }
        let began_ms = self.part_began_ms.unwrap_or(now_ms);
        if is_untimed || now_ms.saturating_sub(began_ms) <= MAX_PART_MS {
            return Ok(());
        }
        self.exceed(match self.phase {
            Phase::Idle | Phase::Head => AnswerPart::Head,
            Phase::Body => AnswerPart::Framing,
        })
    }

    /// Returns the part whose bound was exceeded.
    ///
    /// ```
    /// let bounds = sardinewood::direct::request::answer_bounds::AnswerBounds::default();
    /// assert_eq!(bounds.exceeded(), None);
    /// ```
    #[must_use]
    pub fn exceeded(&self) -> Option<AnswerPart> {
        self.exceeded
    }

    /// Counts the bytes of heads, and returns the number of those that follow the final head.
    fn receive_heads(&mut self, bytes: &[u8], now_ms: u64) -> Result<u64, AnswerPart> {
        for (index, byte) in bytes.iter().enumerate() {
            if self.phase == Phase::Body {
                return Ok((bytes.len() - index) as u64);
            }
            if self.head_bytes == 0 {
                self.part_began_ms = Some(now_ms);
            }
            if let Some(slot) = self.status_line.get_mut(self.head_bytes) {
                *slot = *byte;
            }
            self.head_bytes += 1;
            self.heads_bytes += 1;
            if self.head_bytes > MAX_HEAD_BYTES {
                return self.exceed(AnswerPart::Head);
            }
            if self.heads_bytes > 2 * MAX_HEAD_BYTES as u64 {
                return self.exceed(AnswerPart::InterimHeads);
            }
            match byte {
                b'\n' if self.is_line_empty => self.end_head()?,
                b'\n' => self.is_line_empty = true,
                b'\r' => {}
                _ => self.is_line_empty = false,
            }
        }
        Ok(0)
    }

    fn end_head(&mut self) -> Result<(), AnswerPart> {
        let status = &self.status_line[STATUS_AT..];
        let is_interim = status[0] == INTERIM_STATUS && status != SWITCHING;
        if !is_interim {
            self.begin_body();
            return Ok(());
        }
        self.interim_heads += 1;
        if self.interim_heads > MAX_INTERIM_HEADS {
            return self.exceed(AnswerPart::InterimHeads);
        }
        self.head_bytes = 0;
        self.is_line_empty = false;
        self.part_began_ms = None;
        Ok(())
    }

    fn begin_body(&mut self) {
        self.phase = Phase::Body;
        self.part_began_ms = None;
    }

    fn exceed<T>(&mut self, part: AnswerPart) -> Result<T, AnswerPart> {
        self.exceeded = Some(part);
        Err(part)
    }
}
