//! One caller's answer: from notes and frames to what is written to the caller.

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

/// An answer that is not a stream is held back up to this size until it is whole, so that
/// a break before the end can be mended by another attempt and is never a half answer.
const HOLD_BYTES: usize = 256 << 10;
/// Bytes are acknowledged in steps of this size.
const ACKNOWLEDGE_BYTES: u64 = 32 << 10;
/// How long the reader of a shared answer waits before it asks for it again.
const SHARED_SILENCE: Duration = Duration::from_millis(500);
/// The content type of a stream of events, whose parts are passed on as they come.
const EVENT_STREAM: &str = "text/event-stream";

/// Status and headers of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// The HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<(Arc<str>, Bytes)>,
}

impl AnswerHead {
    /// A header's value, if it is there and is text.
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

    /// Whether the answer is a stream of events.
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

/// What can be written to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Written {
    /// The answer is whole and this is all of it.
    Whole { head: AnswerHead, body: Bytes },
    /// The answer begins; its body follows from [`CallerAnswer::next_bytes`].
    Begins { head: AnswerHead },
    /// There is no answer.
    Failed(Failure),
}

/// The next part of a body that is written as it comes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// These bytes follow.
    Bytes(Bytes),
    /// The body is whole.
    Whole,
    /// The body ends before its time.
    Failed(Failure),
}

/// What a caller's task needs of the entry.
#[derive(Clone, Debug)]
pub struct CallerContext {
    /// The routes of answers.
    pub routes: Arc<AnswerRoutes>,
    /// The open links.
    pub links: OpenLinks,
    /// The way to the control thread.
    pub events: mpsc::UnboundedSender<EntryEvent>,
    /// Where figures go.
    pub metrics: Metrics,
}

/// The answer to one request, as its caller's task reads it. Dropping it before the end
/// tells the control thread that the caller is gone.
#[derive(Debug)]
pub struct CallerAnswer {
    request: RequestId,
    is_shared: bool,
    context: CallerContext,
    route: RouteReceiver,
    reader: Option<(AnswerReader, Arc<str>)>,
    head: Option<AnswerHead>,
    ready: VecDeque<Bytes>,
    ready_bytes: usize,
    passed: bool,
    acknowledged_bytes: u64,
    length: AnswerLength,
    is_over: bool,
}

/// Where reading stands after a delivery.
enum Progress {
    /// Nothing that can be written yet.
    Going,
    /// The answer is whole.
    Whole,
    /// There is no answer.
    Failed(Failure),
}

impl CallerAnswer {
    /// Opens the way of an answer. Do so before the request is submitted.
    ///
    /// An answer that `is_shared` may be read through other entries too.
    #[must_use]
    pub fn open(request: RequestId, is_shared: bool, context: CallerContext) -> Self {
        Self {
            request,
            is_shared,
            route: context.routes.open(request),
            context,
            reader: None,
            head: None,
            ready: VecDeque::new(),
            ready_bytes: 0,
            passed: false,
            acknowledged_bytes: 0,
            length: AnswerLength::default(),
            is_over: false,
        }
    }

    /// The request.
    #[must_use]
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// Waits until something can be written to the caller.
    pub async fn begin(&mut self) -> Written {
        loop {
            match self.advance().await {
                Progress::Whole => return self.written_whole(),
                Progress::Failed(failure) => return Written::Failed(failure),
                Progress::Going => {}
            }
            if let Some(head) = self.head_to_pass() {
                self.passed = true;
                return Written::Begins { head };
            }
        }
    }

    /// Waits for the next part of a body that has begun.
    pub async fn next_bytes(&mut self) -> Part {
        loop {
            if let Some(bytes) = self.ready.pop_front() {
                self.ready_bytes -= bytes.len();
                self.acknowledge(ACKNOWLEDGE_BYTES);
                return Part::Bytes(bytes);
            }
            if self.is_over {
                return Part::Whole;
            }
            match self.advance().await {
                Progress::Failed(failure) => return Part::Failed(failure),
                Progress::Whole | Progress::Going => {}
            }
        }
    }

    fn written_whole(&mut self) -> Written {
        let Some(head) = self.head.take() else {
            return Written::Failed(Failure::unknown(FailureReason::UpstreamFailed));
        };
        let mut body = BytesMut::with_capacity(self.ready_bytes);
        for bytes in self.ready.drain(..) {
            body.extend_from_slice(&bytes);
        }
        Written::Whole {
            head,
            body: body.freeze(),
        }
    }

    /// The head, once it has to go out before the answer is whole.
    fn head_to_pass(&mut self) -> Option<AnswerHead> {
        let head = self.head.as_ref()?;
        let is_stream_with_bytes = head.is_event_stream() && !self.ready.is_empty();
        if is_stream_with_bytes || self.ready_bytes > HOLD_BYTES {
            return self.head.take();
        }
        None
    }

    async fn advance(&mut self) -> Progress {
        match self.next_delivery().await {
            Delivery::Note(note) => self.take_note(note),
            Delivery::Frame(frame) => self.take_frame(frame),
            Delivery::Missed => {
                self.resume();
                Progress::Going
            }
            Delivery::Closed => {
                self.is_over = true;
                Progress::Failed(Failure::unknown(FailureReason::InDoubt))
            }
        }
    }

    /// The next delivery. An agent sends an answer to one link only, the one that asked
    /// last. When a repetition through another entry has taken a shared answer away, this
    /// caller would wait for ever; so it asks again after a while of silence.
    async fn next_delivery(&mut self) -> Delivery {
        if !self.is_shared || self.reader.is_none() {
            return self.route.next().await;
        }
        let delivery = timeout(SHARED_SILENCE, self.route.next()).await;
        delivery.unwrap_or(Delivery::Missed)
    }

    fn take_note(&mut self, note: CallerNote) -> Progress {
        match note {
            // A second answer behind a part of the first would be neither the one nor the other.
            CallerNote::Begin { attempt, .. } if self.passed && !self.reads(attempt) => {
                Progress::Failed(Failure::unknown(FailureReason::UpstreamFailed))
            }
            CallerNote::Begin { attempt, agent } => {
                self.start_reading(attempt, agent);
                Progress::Going
            }
            CallerNote::Resume { attempt, agent } => {
                self.resume_at(attempt, agent);
                Progress::Going
            }
            CallerNote::End { attempt, end } => self.take_frame(AnswerFrame::End { attempt, end }),
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
        self.ready.clear();
        self.ready_bytes = 0;
        self.acknowledged_bytes = 0;
    }

    fn resume_at(&mut self, attempt: AttemptId, agent: Arc<str>) {
        let Some((reader, known_agent)) = &mut self.reader else {
            return;
        };
        if reader.attempt() == attempt {
            *known_agent = agent;
            self.resume();
        }
    }

    /// Asks for the answer again from where it has been read.
    fn resume(&mut self) {
        let Some((reader, agent)) = &mut self.reader else {
            return;
        };
        let message = EntryMessage::Resume {
            attempt: reader.attempt(),
            from_bytes: reader.resume(),
        };
        self.context.links.send(agent, message);
    }

    fn take_frame(&mut self, frame: AnswerFrame) -> Progress {
        let Some((reader, agent)) = &mut self.reader else {
            return Progress::Going;
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
                self.ready_bytes += bytes.len();
                self.length.read(&bytes);
                self.ready.push_back(bytes);
            }
            ReadStep::Resume { from_bytes } => {
                let message = EntryMessage::Resume {
                    attempt,
                    from_bytes,
                };
                self.context.links.send(agent, message);
            }
            ReadStep::Whole => return self.whole(attempt),
            ReadStep::Cut(end) => self.report(attempt, end),
        }
        // What is held back is acknowledged too: it is bounded, and the agent must not
        // wait for an acknowledgement that waits for the rest of the answer.
        if !self.passed {
            self.acknowledge(ACKNOWLEDGE_BYTES);
        }
        Progress::Going
    }

    fn whole(&mut self, attempt: AttemptId) -> Progress {
        let Some((reader, _)) = &self.reader else {
            return Progress::Going;
        };
        let end = AnswerEnd::Complete {
            length_bytes: reader.through_bytes(),
            checksum: 0,
        };
        self.report_length(attempt);
        self.report(attempt, end);
        self.is_over = true;
        self.acknowledge(0);
        Progress::Whole
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
        // Without a control thread nobody wants to know.
        let _stopped = self.context.events.send(event);
    }

    /// Tells the agent what it need not keep, if that is at least `step_bytes` more.
    fn acknowledge(&mut self, step_bytes: u64) {
        let Some((reader, agent)) = &self.reader else {
            return;
        };
        let waiting_bytes = if self.passed && !self.is_over {
            self.ready_bytes as u64
        } else {
            0
        };
        let through_bytes = reader.through_bytes().saturating_sub(waiting_bytes);
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
            // Without a control thread nobody wants to know.
            let _stopped = self.context.events.send(event);
        }
    }
}
