//! The answer to one caller: turns notes of the control thread and frames of an agent into
//! what is written to the caller.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::answer::length::AnswerLength;
use crate::answer::reader::AnswerFrame;
use crate::answer::reader::AnswerReader;
use crate::answer::reader::ReadStep;
use crate::answer::routes::AnswerRoutes;
use crate::answer::routes::CallerNote;
use crate::answer::routes::Delivery;
use crate::answer::routes::RouteReceiver;
use crate::entry::link::OpenLinks;
use crate::entry::state::EntryEvent;
use crate::ids::AttemptId;
use crate::ids::RequestId;
use crate::link::wire::AnswerEnd;
use crate::link::wire::EntryMessage;
use crate::metrics::Metrics;
use crate::verdict::Failure;
use crate::verdict::FailureReason;

/// Maximum number of bytes of an answer that are buffered until it is complete. Event streams
/// are not buffered. While an answer is buffered, another attempt can replace one that broke
/// off, and the caller never gets a partial answer.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Number of newly read bytes after which an acknowledgement is sent.
const ACKNOWLEDGE_STEP_BYTES: u64 = 32 << 10;
/// Time without a delivery after which the reader of a shared answer requests it again.
const SHARED_RESUME_TIMEOUT: Duration = Duration::from_millis(500);
/// Content type of an event stream, which is passed on while it arrives.
const EVENT_STREAM: &str = "text/event-stream";

/// Status and headers of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<(Arc<str>, Bytes)>,
}

impl AnswerHead {
    /// Returns the value of a header if it is present and valid UTF-8.
    ///
    /// ```
    /// use bytes::Bytes;
    /// use sardinewood::entry::caller_answer::AnswerHead;
    ///
    /// let headers = vec![("Content-Type".into(), Bytes::from_static(b"text/plain"))];
    /// let head = AnswerHead { status: 200, headers };
    /// assert_eq!(head.header("content-type"), Some("text/plain"));
    /// ```
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let (_, value) = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(value).ok()
    }

    /// Returns whether the answer is an event stream.
    ///
    /// ```
    /// use bytes::Bytes;
    /// use sardinewood::entry::caller_answer::AnswerHead;
    ///
    /// let headers = vec![("content-type".into(), Bytes::from_static(b"text/event-stream"))];
    /// assert!(AnswerHead { status: 200, headers }.is_event_stream());
    /// ```
    #[must_use]
    pub fn is_event_stream(&self) -> bool {
        self.header("content-type")
            .is_some_and(|value| value.starts_with(EVENT_STREAM))
    }
}

/// First output for a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Written {
    /// The complete answer.
    Whole { head: AnswerHead, body: Bytes },
    /// The head of an answer whose body is read with [`CallerAnswer::next_bytes`].
    Begins { head: AnswerHead },
    /// The request failed without an answer.
    Failed(Failure),
}

/// The next part of a streamed body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// The next bytes of the body.
    Bytes(Bytes),
    /// The body is complete.
    Whole,
    /// The body broke off.
    Failed(Failure),
}

/// Parts of the entry that a caller's task uses.
#[derive(Clone, Debug)]
pub struct CallerContext {
    /// Routes of answers to the callers' tasks.
    pub routes: Arc<AnswerRoutes>,
    /// Open links to agents.
    pub links: OpenLinks,
    /// Channel to the control thread.
    pub events: mpsc::UnboundedSender<EntryEvent>,
    /// Metrics of the entry.
    pub metrics: Metrics,
}

/// The answer to one request, as its caller's task reads it. Dropping it before its end
/// sends [`EntryEvent::CallerGone`] to the control thread.
#[derive(Debug)]
pub struct CallerAnswer {
    request: RequestId,
    is_shared: bool,
    context: CallerContext,
    route: RouteReceiver,
    reader: Option<(AnswerReader, Arc<str>)>,
    head: Option<AnswerHead>,
    buffered: VecDeque<Bytes>,
    buffered_bytes: usize,
    passed: bool,
    acknowledged_bytes: u64,
    length: AnswerLength,
    is_over: bool,
}

/// State of the answer after a delivery.
enum Progress {
    /// The answer is incomplete.
    Incomplete,
    /// The answer is complete.
    Complete,
    /// The request failed, before or after parts of its answer were passed on.
    Failed(Failure),
}

impl CallerAnswer {
    /// Opens the route of an answer. It must be open before the request is submitted.
    ///
    /// `is_shared` says that the answer may also be read through other entries.
    #[must_use]
    pub fn open(request: RequestId, is_shared: bool, context: CallerContext) -> Self {
        Self {
            request,
            is_shared,
            route: context.routes.open(request),
            context,
            reader: None,
            head: None,
            buffered: VecDeque::new(),
            buffered_bytes: 0,
            passed: false,
            acknowledged_bytes: 0,
            length: AnswerLength::default(),
            is_over: false,
        }
    }

    /// Returns the id of the request.
    #[must_use]
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// Waits for the first output for the caller.
    pub async fn begin(&mut self) -> Written {
        loop {
            match self.advance().await {
                Progress::Complete => return self.complete_answer(),
                Progress::Failed(failure) => return Written::Failed(failure),
                Progress::Incomplete => {}
            }
            if let Some(head) = self.take_head_to_pass() {
                self.passed = true;
                return Written::Begins { head };
            }
        }
    }

    /// Waits for the next part of a body whose head has been passed on.
    pub async fn next_bytes(&mut self) -> Part {
        loop {
            if let Some(bytes) = self.buffered.pop_front() {
                self.buffered_bytes -= bytes.len();
                self.acknowledge(ACKNOWLEDGE_STEP_BYTES);
                return Part::Bytes(bytes);
            }
            if self.is_over {
                return Part::Whole;
            }
            match self.advance().await {
                Progress::Failed(failure) => return Part::Failed(failure),
                Progress::Complete | Progress::Incomplete => {}
            }
        }
    }

    fn complete_answer(&mut self) -> Written {
        let Some(head) = self.head.take() else {
            return Written::Failed(Failure::unknown(FailureReason::UpstreamFailed));
        };
        let mut body = BytesMut::with_capacity(self.buffered_bytes);
        for bytes in self.buffered.drain(..) {
            body.extend_from_slice(&bytes);
        }
        Written::Whole {
            head,
            body: body.freeze(),
        }
    }

    /// Takes the head if it must be passed on before the answer is complete: when an event stream
    /// has its first bytes, or when an answer exceeds [`MAX_BUFFERED_BYTES`].
    fn take_head_to_pass(&mut self) -> Option<AnswerHead> {
        let head = self.head.as_ref()?;
        let is_stream_with_bytes = head.is_event_stream() && !self.buffered.is_empty();
        if is_stream_with_bytes || self.buffered_bytes > MAX_BUFFERED_BYTES {
            return self.head.take();
        }
        None
    }

    async fn advance(&mut self) -> Progress {
        match self.next_delivery().await {
            Delivery::Note(note) => self.handle_note(note),
            Delivery::Frame(frame) => self.handle_frame(frame),
            Delivery::Missed => {
                self.request_resume();
                Progress::Incomplete
            }
            Delivery::Closed => {
                self.is_over = true;
                Progress::Failed(Failure::unknown(FailureReason::InDoubt))
            }
        }
    }

    /// Waits for the next delivery.
    ///
    /// An agent sends an answer only to the link that requested it last. A repeated request
    /// through another entry can therefore divert a shared answer, and this caller would wait
    /// forever. So a shared answer is requested again after [`SHARED_RESUME_TIMEOUT`].
    async fn next_delivery(&mut self) -> Delivery {
        if !self.is_shared || self.reader.is_none() {
            return self.route.next().await;
        }
        let delivery = timeout(SHARED_RESUME_TIMEOUT, self.route.next()).await;
        delivery.unwrap_or(Delivery::Missed)
    }

    fn handle_note(&mut self, note: CallerNote) -> Progress {
        match note {
            // The caller already has a part of one attempt's answer. Another attempt's answer may
            // differ and can't continue it.
            CallerNote::Begin { attempt, .. } if self.passed && !self.reads(attempt) => {
                Progress::Failed(Failure::unknown(FailureReason::UpstreamFailed))
            }
            CallerNote::Begin { attempt, agent } => {
                self.start_reading(attempt, agent);
                Progress::Incomplete
            }
            CallerNote::Resume { attempt, agent } => {
                self.resume_at(attempt, agent);
                Progress::Incomplete
            }
            CallerNote::End { attempt, end } => {
                self.handle_frame(AnswerFrame::End { attempt, end })
            }
            CallerNote::Fail(failure) => {
                self.is_over = true;
                Progress::Failed(failure)
            }
        }
    }

    fn reads(&self, attempt: AttemptId) -> bool {
        let reader = self.reader.as_ref();
        reader.is_some_and(|(reader, _)| reader.attempt() == attempt)
    }

    fn start_reading(&mut self, attempt: AttemptId, agent: Arc<str>) {
        self.reader = Some((AnswerReader::new(attempt), agent));
        self.head = None;
        self.buffered.clear();
        self.buffered_bytes = 0;
        self.acknowledged_bytes = 0;
    }

    fn resume_at(&mut self, attempt: AttemptId, agent: Arc<str>) {
        let Some((reader, known_agent)) = &mut self.reader else {
            return;
        };
        if reader.attempt() == attempt {
            *known_agent = agent;
            self.request_resume();
        }
    }

    /// Requests the answer again from the first byte that has not been read.
    fn request_resume(&mut self) {
        let Some((reader, agent)) = &mut self.reader else {
            return;
        };
        let message = EntryMessage::Resume {
            attempt: reader.attempt(),
            from_bytes: reader.resume(),
        };
        self.context.links.send(agent, message);
    }

    fn handle_frame(&mut self, frame: AnswerFrame) -> Progress {
        let Some((reader, agent)) = &mut self.reader else {
            return Progress::Incomplete;
        };
        let attempt = reader.attempt();
        match reader.read(frame) {
            ReadStep::Ignore => {}
            ReadStep::Head { status, headers } => {
                let head = AnswerHead { status, headers };
                self.length = AnswerLength::new(head.is_event_stream());
                self.head = Some(head);
            }
            ReadStep::Pass(bytes) => {
                self.buffered_bytes += bytes.len();
                self.length.read(&bytes);
                self.buffered.push_back(bytes);
            }
            ReadStep::Resume { from_bytes } => {
                let message = EntryMessage::Resume {
                    attempt,
                    from_bytes,
                };
                self.context.links.send(agent, message);
            }
            ReadStep::Whole => return self.complete(attempt),
            ReadStep::Cut(end) => self.report(attempt, end),
        }
        // Buffered bytes are acknowledged too. Their number is bounded, and otherwise the agent
        // would wait for an acknowledgement that itself waits for the rest of the answer.
        if !self.passed {
            self.acknowledge(ACKNOWLEDGE_STEP_BYTES);
        }
        Progress::Incomplete
    }

    fn complete(&mut self, attempt: AttemptId) -> Progress {
        let Some((reader, _)) = &self.reader else {
            return Progress::Incomplete;
        };
        let end = AnswerEnd::Complete {
            length_bytes: reader.through_bytes(),
            checksum: 0,
        };
        self.report_length(attempt);
        self.report(attempt, end);
        self.is_over = true;
        self.acknowledge(0);
        Progress::Complete
    }

    fn report_length(&self, attempt: AttemptId) {
        if attempt.request != self.request {
            return;
        }
        let Some(output_tokens) = self.length.output_tokens() else {
            return;
        };
        let event = EntryEvent::Measured {
            request: self.request,
            output_tokens,
        };
        let _stopped = self.context.events.send(event);
    }

    fn report(&self, attempt: AttemptId, end: AnswerEnd) {
        let passed = self.passed;
        let event = if attempt.request == self.request {
            EntryEvent::Ended {
                attempt,
                end,
                passed,
            }
        } else {
            EntryEvent::FollowerEnded {
                request: self.request,
                end,
                passed,
            }
        };
        // The send fails only after the control thread has stopped, when no event is needed.
        let _stopped = self.context.events.send(event);
    }

    /// Acknowledges the bytes that the agent need not keep, if at least `step_bytes` of them are
    /// not yet acknowledged.
    fn acknowledge(&mut self, step_bytes: u64) {
        let Some((reader, agent)) = &self.reader else {
            return;
        };
        let unwritten_bytes = if self.passed && !self.is_over {
            self.buffered_bytes as u64
        } else {
            0
        };
        let through_bytes = reader.through_bytes().saturating_sub(unwritten_bytes);
        if through_bytes < self.acknowledged_bytes + step_bytes {
            return;
        }
        self.acknowledged_bytes = through_bytes;
        let message = EntryMessage::Acknowledge {
            attempt: reader.attempt(),
            through_bytes,
        };
        self.context.links.send(agent, message);
    }
}

impl Drop for CallerAnswer {
    fn drop(&mut self) {
        self.context.routes.close(self.request);
        if !self.is_over {
            let event = EntryEvent::CallerGone {
                request: self.request,
            };
            // The send fails only after the control thread has stopped, when no event is needed.
            let _stopped = self.context.events.send(event);
        }
    }
}
