//! How many output tokens an answer had, read along while it passes through.

use crate::answer::event_scan::EventScan;

/// How much of the end of a plain answer is kept: its `usage` stands there.
const TAIL_BYTES: usize = 1_024;
/// What stands before the number in a plain answer.
const FIELD: &[u8] = b"\"completion_tokens\"";

/// Counts the output tokens of one answer.
///
/// ```
/// use sardinewood::answer::length::AnswerLength;
///
/// let mut stream = AnswerLength::new(true);
/// stream.read(b"data: {}\n\ndata: {}\n\ndata: [DONE]\n\n");
/// assert_eq!(stream.output_tokens(), Some(2));
///
/// let mut plain = AnswerLength::new(false);
/// plain.read(br#"{"usage": {"prompt_tokens": 9, "completion_tokens": 41}}"#);
/// assert_eq!(plain.output_tokens(), Some(41));
/// ```
#[derive(Clone, Debug, Default)]
pub struct AnswerLength {
    scan: EventScan,
    events: u32,
    tail: Vec<u8>,
    is_event_stream: bool,
}

impl AnswerLength {
    /// The length of an answer whose body is a stream of events, or a plain one.
    #[must_use]
    pub fn new(is_event_stream: bool) -> Self {
        Self {
            is_event_stream,
            ..Self::default()
        }
    }

    /// Takes the next bytes of the body in.
    pub fn read(&mut self, bytes: &[u8]) {
        self.events = self.events.saturating_add(self.scan.scan(bytes).events);
        let kept = &bytes[bytes.len().saturating_sub(TAIL_BYTES)..];
        let surplus = (self.tail.len() + kept.len()).saturating_sub(TAIL_BYTES);
        self.tail.drain(..surplus.min(self.tail.len()));
        self.tail.extend_from_slice(kept);
    }

    /// The tokens so far: the events of a stream, or what a plain answer says itself.
    #[must_use]
    pub fn output_tokens(&self) -> Option<u32> {
        if self.is_event_stream {
            return (self.events > 0).then_some(self.events);
        }
        let start = self
            .tail
            .windows(FIELD.len())
            .rposition(|window| window == FIELD)?;
        let digits: String = self.tail[start + FIELD.len()..]
            .iter()
            .skip_while(|byte| !byte.is_ascii_digit())
            .take_while(|byte| byte.is_ascii_digit())
            .map(|byte| char::from(*byte))
            .collect();
        digits.parse().ok()
    }
}
