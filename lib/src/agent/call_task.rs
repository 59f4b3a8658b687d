//! Carries one call to the upstream and its answer to the entry.
//!
//! Each attempt has one task on a traffic thread. It tells the control thread how the
//! call goes on, and takes orders from it; the bytes of the answer go straight to the
//! writer of the entry's link.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::Instant;

use self::delivery::Delivery;
use self::token_report::TokenReport;
use crate::agent::answer_buffer::AnswerBuffer;
use crate::agent::call_recovery;
use crate::agent::call_recovery::Recovery;
use crate::agent::call_recovery::Trouble;
use crate::agent::call_recovery::in_doubt;
use crate::agent::events::AgentEvent;
use crate::agent::events::CallProgress;
use crate::agent::events::CancelCause;
use crate::agent::events::settled_message;
use crate::answer::event_scan::EventScan;
use crate::ids::AttemptId;
use crate::link::wire::AgentMessage;
use crate::link::wire::AnswerEnd;
use crate::link::wire::Call;
use crate::link::wire::Settlement;
use crate::upstream::client::UpstreamClient;
use crate::upstream::http::OpenError;
use crate::upstream::http::UpstreamAnswer;

mod delivery;
mod resumption;
mod token_report;
mod upstream_reader;

/// Where the frames of answers go: the bulk channel of a link.
pub type AnswerSender = mpsc::Sender<AgentMessage>;

/// An order to a pump.
#[derive(Debug)]
pub enum CallCommand {
    /// Send the answer to this outlet from here on.
    Attach {
        outlet: AnswerSender,
        from_bytes: u64,
    },
    /// The entry has everything below this offset.
    Acknowledge { through_bytes: u64 },
    /// Stop the call.
    Cancel(CancelCause),
    /// Drop the answer.
    Forget,
}

/// What a pump works with.
#[derive(Debug)]
pub struct CallTaskParts {
    /// The attempt that it carries.
    pub attempt: AttemptId,
    /// The upstream.
    pub upstream: UpstreamClient,
    /// What may be unacknowledged before it stops reading.
    pub window_bytes: u64,
    /// How long an engine may send nothing before it is asked about the request.
    pub silent: Duration,
    /// Whether the answer is read and kept to its end even if nobody takes it.
    pub buffer_whole: bool,
    /// Whether the request may run elsewhere when the upstream turns it down.
    pub is_retryable: bool,
    /// Where it reports to.
    pub events: mpsc::Sender<AgentEvent>,
    /// Where its orders come from. The sender being dropped means [`CallCommand::Forget`].
    pub orders: mpsc::UnboundedReceiver<CallCommand>,
}

type Work<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Where the answer comes from.
enum Source {
    /// The call has been made and its answer has not begun.
    Opening(Work<Result<UpstreamAnswer, OpenError>>),
    /// The answer is read.
    Reading(Box<UpstreamAnswer>),
    /// The connection is gone; the engine is being asked.
    Gone,
}

/// Something that the pump waits for.
enum Input {
    Order(Option<CallCommand>),
    Opened(Result<UpstreamAnswer, OpenError>),
    Chunk(Result<Option<Bytes>, OpenError>),
    Recovered(Recovery),
    Cancelled(AnswerEnd),
    Silence,
    /// The link can take a frame, or is closed.
    AnswerSender(bool),
}

/// What follows on an input.
enum Next {
    Continue,
    End(AnswerEnd),
    Quit,
}

/// The task of one attempt.
pub struct CallTask {
    parts: CallTaskParts,
    source: Source,
    log: AnswerBuffer,
    scan: EventScan,
    /// The begin of an event whose end has not come. Only whole events go on, so that a
    /// stream that breaks inside one can be resumed after the last whole one.
    partial: Vec<Bytes>,
    /// Bytes of a plain answer that are in the log already when it is read again.
    skip_bytes: u64,
    recovery: Option<Work<Recovery>>,
    reopens: u32,
    cancellation: Option<Work<AnswerEnd>>,
    delivery: Delivery,
    opened: Instant,
    silent_at: Instant,
    tokens: TokenReport,
}

impl CallTask {
    /// A pump that sends `call` to the upstream, once.
    #[must_use]
    pub fn open(parts: CallTaskParts, outlet: Option<AnswerSender>, call: Call) -> Self {
        let upstream = parts.upstream.clone();
        let request = parts.attempt.request;
        let opening = async move { upstream.open(request, call).await };
        Self::new(parts, outlet, Source::Opening(Box::pin(opening)))
    }

    /// A pump that reads the answer of a request which the engine has already.
    #[must_use]
    pub fn adopt(parts: CallTaskParts) -> Self {
        let mut pump = Self::new(parts, None, Source::Gone);
        pump.start_recovery(Trouble::Broken);
        pump
    }

    fn new(parts: CallTaskParts, outlet: Option<AnswerSender>, source: Source) -> Self {
        let now = Instant::now();
        let attempt = parts.attempt;
        let silent_at = now + parts.silent;
        CallTask {
            log: AnswerBuffer::new(parts.window_bytes, parts.buffer_whole),
            parts,
            source,
            scan: EventScan::default(),
            partial: Vec::new(),
            skip_bytes: 0,
            recovery: None,
            reopens: 0,
            cancellation: None,
            delivery: Delivery::new(attempt, outlet),
            opened: now,
            silent_at,
            tokens: TokenReport::new(now),
        }
    }

    /// Works until the answer is forgotten.
    pub async fn run(mut self) {
        loop {
            let input = self.next_input().await;
            match self.take(input).await {
                Next::Continue => {}
                Next::End(end) => self.finish(end).await,
                Next::Quit => return,
            }
            if self.delivery.is_over() {
                return self.leave().await;
            }
        }
    }

    /// Ends the pump of an answer that is not whole. An entry that attached to it in this
    /// moment would wait for ever, so what was ordered before the channel closed is met,
    /// and an order after that fails.
    async fn leave(mut self) {
        self.parts.orders.close();
        while let Ok(order) = self.parts.orders.try_recv() {
            if let CallCommand::Attach { outlet, from_bytes } = order {
                self.attach(outlet, from_bytes).await;
            }
        }
        while self.delivery.can_send(&self.log) && self.delivery.ready().await {
            self.delivery.send_next(&mut self.log);
        }
    }

    /// Waits for whatever comes first. Orders go before bytes, and bytes that can leave go
    /// before bytes that can come.
    async fn next_input(&mut self) -> Input {
        let can_send = self.delivery.can_send(&self.log);
        let has_ended = self.delivery.has_ended();
        let is_cancelling = self.cancellation.is_some();
        let can_read = !has_ended && !is_cancelling && self.log.has_room();
        if !can_read {
            self.tokens.hold_up();
            self.silent_at = Instant::now() + self.parts.silent;
        }
        let is_engine = matches!(self.parts.upstream, UpstreamClient::Engine(_));
        let asks = is_engine && self.recovery.is_none();
        tokio::select! {
            biased;
            order = self.parts.orders.recv() => Input::Order(order),
            is_open = self.delivery.ready(), if can_send => {
                Input::AnswerSender(is_open)
            }
            end = optional(self.cancellation.as_mut()), if is_cancelling => Input::Cancelled(end),
            recovery = optional(self.recovery.as_mut()), if can_read && self.recovery.is_some() => {
                Input::Recovered(recovery)
            }
            input = read(&mut self.source), if can_read => input,
            () = tokio::time::sleep_until(self.silent_at), if can_read && asks => Input::Silence,
        }
    }

    async fn take(&mut self, input: Input) -> Next {
        match input {
            Input::Order(None | Some(CallCommand::Forget)) => Next::Quit,
            Input::Order(Some(order)) => self.obey(order).await,
            Input::Opened(result) => self.take_opened(result).await,
            Input::Chunk(Ok(Some(bytes))) => {
                self.take_bytes(bytes).await;
                Next::Continue
            }
            Input::Chunk(Ok(None)) => self.take_body_end(),
            Input::Chunk(Err(error)) => self.look_after(&error.to_string()),
            Input::Recovered(recovery) => self.take_recovery(recovery),
            Input::Cancelled(end) => Next::End(end),
            Input::Silence => {
                self.silent_at = Instant::now() + self.parts.silent;
                self.start_recovery(Trouble::Silent);
                Next::Continue
            }
            Input::AnswerSender(is_open) => {
                self.send_frame(is_open).await;
                Next::Continue
            }
        }
    }

    async fn finish(&mut self, end: AnswerEnd) {
        if let Some(progress) = self.tokens.report(Instant::now()) {
            self.report(progress).await;
        }
        self.source = Source::Gone;
        self.recovery = None;
        self.cancellation = None;
        self.delivery.set_end(end.clone());
        self.report(CallProgress::Ended { end }).await;
    }

    async fn report(&mut self, progress: CallProgress) {
        let event = AgentEvent::Call {
            attempt: self.parts.attempt,
            progress,
        };
        // Without a control thread the process is ending, and nobody wants to know.
        let _stopped = self.parts.events.send(event).await;
    }
}

/// Orders.
impl CallTask {
    async fn obey(&mut self, order: CallCommand) -> Next {
        match order {
            CallCommand::Attach { outlet, from_bytes } => self.attach(outlet, from_bytes).await,
            CallCommand::Acknowledge { through_bytes } => self.acknowledge(through_bytes).await,
            CallCommand::Cancel(cause) => return self.cancel(cause).await,
            CallCommand::Forget => return Next::Quit,
        }
        Next::Continue
    }

    async fn attach(&mut self, outlet: AnswerSender, from_bytes: u64) {
        // An adopted call has not read as far yet as its entry has.
        let from_bytes = from_bytes.min(self.log.len_bytes());
        if self.log.rewind(from_bytes).is_err() {
            let message = settled_message(self.parts.attempt, Settlement::Ended);
            // A link that is lost needs no answer.
            let _lost = outlet.send(message).await;
            return;
        }
        self.delivery.attach(outlet);
    }

    async fn acknowledge(&mut self, through_bytes: u64) {
        self.log.acknowledge(through_bytes);
        if self.delivery.is_end_sent() && self.log.is_acknowledged() {
            self.report(CallProgress::Acknowledged).await;
        }
    }

    async fn cancel(&mut self, cause: CancelCause) -> Next {
        if self.delivery.has_ended() || self.cancellation.is_some() {
            return Next::Continue;
        }
        if cause == CancelCause::Preempt && self.delivery.has_begun() {
            self.report(CallProgress::CancelTooLate).await;
            return Next::Continue;
        }
        match &self.parts.upstream {
            UpstreamClient::Engine(engine) => {
                let request = self.parts.attempt.request;
                let cancelling = call_recovery::cancel(engine.clone(), request, cause);
                self.cancellation = Some(Box::pin(cancelling));
                self.source = Source::Gone;
                self.recovery = None;
                Next::Continue
            }
            // A plain service can't be told to stop. What it must not do twice is read to its
            // end, so that the outcome is known.
            UpstreamClient::Service(_) if self.parts.buffer_whole => Next::Continue,
            UpstreamClient::Service(_) => {
                self.source = Source::Gone;
                Next::End(in_doubt("a plain service does not confirm a cancellation"))
            }
        }
    }
}

/// The answer goes out.
impl CallTask {
    async fn send_frame(&mut self, is_open: bool) {
        if !is_open {
            self.delivery.detach();
            return;
        }
        let has_begun = self.delivery.has_begun();
        self.delivery.send_next(&mut self.log);
        if !has_begun && self.delivery.has_begun() {
            self.report(CallProgress::DeliveryStarted).await;
        }
    }
}

async fn optional<T>(work: Option<&mut Work<T>>) -> T {
    match work {
        Some(work) => work.await,
        None => std::future::pending().await,
    }
}

async fn read(source: &mut Source) -> Input {
    match source {
        Source::Opening(opening) => Input::Opened(opening.await),
        Source::Reading(answer) => Input::Chunk(answer.chunk().await),
        Source::Gone => std::future::pending().await,
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
