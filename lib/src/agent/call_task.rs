//! The task that sends one call to the upstream and the answer to the entry.
//!
//! Each attempt has one task on a traffic thread. The task reports its progress to the
//! control thread and receives commands from it; the bytes of the answer go directly to the
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
use crate::agent::call_recovery::CallFault;
use crate::agent::call_recovery::Recovery;
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

/// Sender of answer frames: the bulk channel of a link.
pub type AnswerSender = mpsc::Sender<AgentMessage>;

/// A command to a call task.
#[derive(Debug)]
pub enum CallCommand {
    /// Send the answer on this link from now on, starting at this offset.
    Attach {
        answer_sender: AnswerSender,
        from_bytes: u64,
    },
    /// The entry has received all bytes below this offset.
    Acknowledge { through_bytes: u64 },
    /// Cancel the call.
    Cancel(CancelCause),
    /// Drop the answer and end the task.
    DropAnswer,
}

/// Inputs of a call task.
#[derive(Debug)]
pub struct CallTaskParts {
    /// The attempt whose call this is.
    pub attempt: AttemptId,
    /// Client of the upstream.
    pub upstream: UpstreamClient,
    /// Number of unacknowledged bytes at which the task stops reading from the upstream.
    pub window_bytes: u64,
    /// How long an engine may send nothing before it is queried about the request.
    pub silent: Duration,
    /// Whether the answer is read and buffered to its end even if no entry reads it.
    pub buffer_whole: bool,
    /// Whether the request may run at another upstream when this one declines it.
    pub is_retryable: bool,
    /// Receives the reports of the task.
    pub events: mpsc::Sender<AgentEvent>,
    /// Commands to the task. A dropped sender means [`CallCommand::DropAnswer`].
    pub commands: mpsc::UnboundedReceiver<CallCommand>,
}

type BoxedFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Source of the answer.
enum Source {
    /// The call is open and its answer has not begun.
    Opening(BoxedFuture<Result<UpstreamAnswer, OpenError>>),
    /// The answer is being read.
    Reading(Box<UpstreamAnswer>),
    /// There is no connection to read from.
    Closed,
}

/// An event that the task waits for.
enum Input {
    Command(Option<CallCommand>),
    Opened(Result<UpstreamAnswer, OpenError>),
    Chunk(Result<Option<Bytes>, OpenError>),
    Recovered(Recovery),
    Cancelled(AnswerEnd),
    Silence,
    /// Whether the link accepts a frame (true) or is closed (false).
    LinkReady(bool),
}

/// What the task does after an input.
enum TaskStep {
    Continue,
    End(AnswerEnd),
    Quit,
}

/// The task of one attempt's call.
pub struct CallTask {
    parts: CallTaskParts,
    source: Source,
    buffer: AnswerBuffer,
    scan: EventScan,
    /// Start of an event whose end was not received yet. Only whole events are passed on, so
    /// that a stream that breaks within an event can be resumed after the last whole one.
    partial: Vec<Bytes>,
    /// Bytes to skip because they are in the buffer already, when a plain answer is read
    /// again from its start.
    skip_bytes: u64,
    recovery: Option<BoxedFuture<Recovery>>,
    reopen_count: u32,
    cancellation: Option<BoxedFuture<AnswerEnd>>,
    delivery: Delivery,
    opened: Instant,
    silent_at: Instant,
    tokens: TokenReport,
}

impl CallTask {
    /// Creates a task that sends `call` to the upstream, once.
    #[must_use]
    pub fn open(parts: CallTaskParts, answer_sender: Option<AnswerSender>, call: Call) -> Self {
        let upstream = parts.upstream.clone();
        let request = parts.attempt.request;
        let opening = async move { upstream.open(request, call).await };
        Self::new(parts, answer_sender, Source::Opening(Box::pin(opening)))
    }

    /// Creates a task that reads the answer of a request that the engine already has.
    #[must_use]
    pub fn adopt(parts: CallTaskParts) -> Self {
        let mut task = Self::new(parts, None, Source::Closed);
        task.start_recovery(CallFault::Broken);
        task
    }

    fn new(parts: CallTaskParts, answer_sender: Option<AnswerSender>, source: Source) -> Self {
        let now = Instant::now();
        let attempt = parts.attempt;
        let silent_at = now + parts.silent;
        CallTask {
            buffer: AnswerBuffer::new(parts.window_bytes, parts.buffer_whole),
            parts,
            source,
            scan: EventScan::default(),
            partial: Vec::new(),
            skip_bytes: 0,
            recovery: None,
            reopen_count: 0,
            cancellation: None,
            delivery: Delivery::new(attempt, answer_sender),
            opened: now,
            silent_at,
            tokens: TokenReport::new(now),
        }
    }

    /// Runs until the answer is dropped or its incomplete end is delivered.
    pub async fn run(mut self) {
        loop {
            let input = self.next_input().await;
            match self.handle_input(input).await {
                TaskStep::Continue => {}
                TaskStep::End(end) => self.finish(end).await,
                TaskStep::Quit => return,
            }
            if self.delivery.is_finished() {
                return self.drain_commands().await;
            }
        }
    }

    /// Ends the task of an answer that is not whole.
    ///
    /// An entry that attaches at this moment would wait forever. Attach commands sent before
    /// the channel is closed are therefore still executed, and sending one after that fails.
    async fn drain_commands(mut self) {
        self.parts.commands.close();
        while let Ok(command) = self.parts.commands.try_recv() {
            if let CallCommand::Attach {
                answer_sender,
                from_bytes,
            } = command
            {
                self.attach(answer_sender, from_bytes).await;
            }
        }
        while self.delivery.can_send(&self.buffer) && self.delivery.ready().await {
            self.delivery.send_next(&mut self.buffer);
        }
    }

    /// Waits for the next input. Commands have priority over bytes, and sending has priority
    /// over reading.
    async fn next_input(&mut self) -> Input {
        let can_send = self.delivery.can_send(&self.buffer);
        let has_ended = self.delivery.has_ended();
        let is_cancelling = self.cancellation.is_some();
        let can_read = !has_ended && !is_cancelling && self.buffer.has_room();
        if !can_read {
            self.tokens.mark_paused();
            self.silent_at = Instant::now() + self.parts.silent;
        }
        let is_engine = matches!(self.parts.upstream, UpstreamClient::Engine(_));
        let can_query = is_engine && self.recovery.is_none();
        tokio::select! {
            biased;
            command = self.parts.commands.recv() => Input::Command(command),
            is_open = self.delivery.ready(), if can_send => {
                Input::LinkReady(is_open)
            }
            end = optional(self.cancellation.as_mut()), if is_cancelling => Input::Cancelled(end),
            recovery = optional(self.recovery.as_mut()), if can_read && self.recovery.is_some() => {
                Input::Recovered(recovery)
            }
            input = read(&mut self.source), if can_read => input,
            () = tokio::time::sleep_until(self.silent_at), if can_read && can_query => Input::Silence,
        }
    }

    async fn handle_input(&mut self, input: Input) -> TaskStep {
        match input {
            Input::Command(None | Some(CallCommand::DropAnswer)) => TaskStep::Quit,
            Input::Command(Some(command)) => self.handle_command(command).await,
            Input::Opened(result) => self.handle_opened(result).await,
            Input::Chunk(Ok(Some(bytes))) => {
                self.handle_bytes(bytes).await;
                TaskStep::Continue
            }
            Input::Chunk(Ok(None)) => self.handle_body_end(),
            Input::Chunk(Err(error)) => self.recover_or_end(&error.to_string()),
            Input::Recovered(recovery) => self.handle_recovery(recovery),
            Input::Cancelled(end) => TaskStep::End(end),
            Input::Silence => {
                self.silent_at = Instant::now() + self.parts.silent;
                self.start_recovery(CallFault::Silent);
                TaskStep::Continue
            }
            Input::LinkReady(is_open) => {
                self.send_frame(is_open).await;
                TaskStep::Continue
            }
        }
    }

    async fn finish(&mut self, end: AnswerEnd) {
        if let Some(progress) = self.tokens.report(Instant::now()) {
            self.report(progress).await;
        }
        self.source = Source::Closed;
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
        // Fails only if the control thread has stopped; the agent is ending then.
        let _stopped = self.parts.events.send(event).await;
    }
}

/// Commands.
impl CallTask {
    async fn handle_command(&mut self, command: CallCommand) -> TaskStep {
        match command {
            CallCommand::Attach {
                answer_sender,
                from_bytes,
            } => self.attach(answer_sender, from_bytes).await,
            CallCommand::Acknowledge { through_bytes } => self.acknowledge(through_bytes).await,
            CallCommand::Cancel(cause) => return self.cancel(cause).await,
            CallCommand::DropAnswer => return TaskStep::Quit,
        }
        TaskStep::Continue
    }

    async fn attach(&mut self, answer_sender: AnswerSender, from_bytes: u64) {
        // An adopted call may not have read as far yet as its entry has.
        let from_bytes = from_bytes.min(self.buffer.len_bytes());
        if self.buffer.rewind(from_bytes).is_err() {
            let message = settled_message(self.parts.attempt, Settlement::Ended);
            // Fails only if the link is lost; then no message is needed.
            let _lost = answer_sender.send(message).await;
            return;
        }
        self.delivery.attach(answer_sender);
    }

    async fn acknowledge(&mut self, through_bytes: u64) {
        self.buffer.acknowledge(through_bytes);
        if self.delivery.is_end_sent() && self.buffer.is_acknowledged() {
            self.report(CallProgress::Acknowledged).await;
        }
    }

    async fn cancel(&mut self, cause: CancelCause) -> TaskStep {
        if self.delivery.has_ended() || self.cancellation.is_some() {
            return TaskStep::Continue;
        }
        if cause == CancelCause::Preempt && self.delivery.has_begun() {
            self.report(CallProgress::CancelTooLate).await;
            return TaskStep::Continue;
        }
        match &self.parts.upstream {
            UpstreamClient::Engine(engine) => {
                let request = self.parts.attempt.request;
                let cancelling = call_recovery::cancel(engine.clone(), request, cause);
                self.cancellation = Some(Box::pin(cancelling));
                self.source = Source::Closed;
                self.recovery = None;
                TaskStep::Continue
            }
            // A plain service can't cancel a request. An answer that must be buffered whole is
            // read to its end, so that the outcome is known.
            UpstreamClient::Service(_) if self.parts.buffer_whole => TaskStep::Continue,
            UpstreamClient::Service(_) => {
                self.source = Source::Closed;
                TaskStep::End(in_doubt("a plain service does not confirm a cancellation"))
            }
        }
    }
}

/// Delivery of the answer.
impl CallTask {
    async fn send_frame(&mut self, is_open: bool) {
        if !is_open {
            self.delivery.detach();
            return;
        }
        let has_begun = self.delivery.has_begun();
        self.delivery.send_next(&mut self.buffer);
        if !has_begun && self.delivery.has_begun() {
            self.report(CallProgress::DeliveryStarted).await;
        }
    }
}

async fn optional<T>(work: Option<&mut BoxedFuture<T>>) -> T {
    match work {
        Some(work) => work.await,
        None => std::future::pending().await,
    }
}

async fn read(source: &mut Source) -> Input {
    match source {
        Source::Opening(opening) => Input::Opened(opening.await),
        Source::Reading(answer) => Input::Chunk(answer.chunk().await),
        Source::Closed => std::future::pending().await,
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
