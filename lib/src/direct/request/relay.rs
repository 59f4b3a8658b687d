//! Relays a stream of events from an upstream to a caller, and resumes it at another upstream if
//! needed.
//!
//! Only whole events are relayed. If the upstream fails, the stream may resume at another one after
//! the last whole event, so the caller never gets an event twice or in part.

use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::answer::event_scan::EventScan;
use crate::direct::log_rate_limit::LogCategory;
use crate::direct::placement::health::AttemptOutcome;
use crate::direct::quarantine::recent_survivals::SURVIVED_AFTER_MS;
use crate::direct::request::answer_bounds::AnswerPart;
use crate::direct::request::answer_bounds::MAX_EVENT_BYTES;
use crate::direct::request::answer_bounds::MAX_PART_MS;
use crate::direct::request::answer_ending::AnswerEnding;
use crate::direct::request::answer_ending::confirm_end;
use crate::direct::request::answer_ending::ends_with_connection;
use crate::direct::request::call::Call;
use crate::direct::request::connection_pool::Connection;
use crate::direct::request::connection_pool::PartError;
use crate::direct::request::exchange::AttemptResult;
use crate::direct::request::exchange::CRASHED_AT_END;
use crate::direct::request::exchange::NO_MEMORY;
use crate::direct::request::exchange::UpstreamResponse;
use crate::direct::request::exchange::keep_connection;
use crate::direct::request::exchange::record_invalid_answer;
use crate::direct::request::exchange::send;
use crate::direct::request::held_bytes::HeldShare;
use crate::direct::request::open_requests::RequestStage;
use crate::direct::request::pace::EventPace;
use crate::direct::retry_driver::RetryStep;
use crate::direct::store_view::directory::Upstream;
use crate::direct::streams::origin::StreamOrigin;
use crate::direct::traffic::SlotLease;
use crate::direct::traffic::SlotRefusal;
use crate::direct::traffic::SlotResult;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;
use crate::numbers;

/// Silence of an upstream after which its stream is resumed elsewhere, if that is allowed. Callers
/// give up after 2 s, and the new upstream has to read the prompt first.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);
const UPSTREAM_SILENT: &str = "upstream fell silent within a stream";
/// How long the connection to a silent upstream is kept after the request was sent to another one
/// that has not responded. An upstream that declines does so in a few milliseconds; if both worked
/// on the request for longer, they would waste each other's capacity.
const RESUME_OVERLAP: Duration = Duration::from_millis(200);
/// Delay before a stream that got no slot to resume asks again. It is short compared to the pause
/// that callers notice, which is 200 ms or more in the platform's objectives.
const RESUME_RETRY_PAUSE_MS: u64 = 50;

/// Why a stream was cut short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// The upstream failed, and the stream can't be resumed at another one.
    #[error("the upstream failed in the middle of the stream")]
    Upstream,
    /// The request's time is up.
    #[error("the request's time is up")]
    TimedOut,
}

/// A stream of events that is being relayed.
#[derive(Debug)]
pub struct Relay {
    traffic: Rc<TrafficState>,
    call: Call,
    parts: http::response::Parts,
    source: Option<Source>,
    scan: EventScan,
    partial: BytesMut,
    /// What the unfinished event holds.
    held: HeldShare,
    /// Time spent waiting for the rest of an unfinished event.
    event_waited: Duration,
    last_event: Option<Instant>,
    /// When the current upstream's first event arrived.
    source_first_event: Option<Instant>,
    /// Whether it was recorded that the current upstream has survived that.
    is_survival_recorded: bool,
    pace: EventPace,
    /// Time from the request's arrival to the first event.
    first_ms: Option<u64>,
    /// Upstream that sent the first event.
    began_at: Option<Arc<Upstream>>,
    /// Last event that the caller has, from a resumption until the new upstream's first event.
    resumed_after: Option<u64>,
    is_done: bool,
}

/// Response of the upstream that currently supplies the stream.
#[derive(Debug)]
struct Source {
    body: Incoming,
    /// Whether only the end of the connection ends the body.
    ends_with_connection: bool,
    connection: Connection,
    lease: SlotLease,
    keep_alive_ms: Option<u64>,
}

/// What was received next from the upstream.
enum Received {
    Bytes(Bytes),
    End,
    Broke(&'static str),
    /// This part of the answer is not valid or exceeds its bound.
    Invalid(AnswerPart),
    /// Nothing arrived for [`SILENCE_TIMEOUT`].
    Silence,
    TimedOut,
}

/// What happens first while an upstream is silent.
enum SilenceOutcome {
    /// The silent upstream has sent something.
    Received(Received),
    /// Another upstream has a slot.
    Slot(SlotLease),
    /// No other upstream has a slot.
    NoSlot,
}

/// Result of an attempt to resume the stream at another upstream.
enum ResumeResult {
    /// The stream was resumed.
    Resumed,
    /// The attempt failed.
    Failed,
    /// No upstream had a slot while the caller waited.
    NoSlot,
}

impl Relay {
    /// Creates a relay of an upstream's response.
    #[must_use]
    pub fn new(traffic: &Rc<TrafficState>, call: Call, response: UpstreamResponse) -> Self {
        call.open.set_stage(RequestStage::Relaying);
        Self {
            traffic: Rc::clone(traffic),
            call,
            parts: response.parts.clone(),
            source: Some(Source::from(response)),
            scan: EventScan::default(),
            partial: BytesMut::new(),
            held: traffic.held_answers.share(),
            event_waited: Duration::ZERO,
            last_event: None,
            source_first_event: None,
            is_survival_recorded: false,
            pace: EventPace::default(),
            first_ms: None,
            began_at: None,
            resumed_after: None,
            is_done: false,
        }
    }

    /// Returns the status and headers of the response, which are those of the first upstream.
    #[must_use]
    pub fn head(&self) -> http::response::Parts {
        self.parts.clone()
    }

    /// Returns the next whole events, the error that cut the stream short, or none at its end.
    pub async fn next(&mut self) -> Option<Result<Bytes, StreamError>> {
        loop {
            if self.is_done {
                return None;
            }
            let received = match self.receive().await {
                Received::Silence => self.handle_silence().await,
                received => received,
            };
            match received {
                Received::Silence => {}
                Received::Bytes(bytes) => {
                    if let Some(source) = &self.source {
                        self.traffic
                            .count_answer_bytes(&source.lease.upstream, bytes.len());
                    }
                    let Some(events) = self.whole_events(&bytes) else {
                        if let Some(error) = self.bound_event().await {
                            return Some(Err(error));
                        }
                        continue;
                    };
                    if !self.continues_stream(&events) {
                        // Drops the bytes and disconnects from the upstream.
                        self.is_done = true;
                        disconnect(&mut self.source);
                        self.log_cut("resumed stream restarted from the beginning");
                        return Some(Err(StreamError::Upstream));
                    }
                    return Some(Ok(events));
                }
                Received::End => match self.confirm_end().await {
                    Ok(ending) => {
                        self.complete(ending);
                        return None;
                    }
                    Err(reason) => {
                        if let Some(error) = self.fail_over(reason).await {
                            return Some(Err(error));
                        }
                    }
                },
                Received::Broke(reason) => {
                    if let Some(error) = self.fail_over(reason).await {
                        return Some(Err(error));
                    }
                }
                Received::Invalid(part) => {
                    if let Some(error) = self.fail_over_invalid(part).await {
                        return Some(Err(error));
                    }
                }
                Received::TimedOut => {
                    self.is_done = true;
                    self.log_cut("time is up within a stream");
                    return Some(Err(StreamError::TimedOut));
                }
            }
        }
    }

    /// Waits for the next part of the upstream's response, for silence or for the request's
    /// deadline.
    async fn receive(&mut self) -> Received {
        let may_resume = self.may_resume();
        let Some(source) = self.source.as_mut() else {
            return Received::Broke("no upstream");
        };
        let deadline = self.traffic.instant_at(self.call.deadline_at_ms);
        let silence_ends = Instant::now() + SILENCE_TIMEOUT;
        let until = if may_resume {
            silence_ends.min(deadline)
        } else {
            deadline
        };
        let began_at = Instant::now();
        let received = timeout_at(until, source.receive()).await;
        if self.scan.has_begun() {
            self.event_waited += began_at.elapsed();
        }
        match received {
            Ok(received) => received,
            Err(_) if Instant::now() >= deadline => Received::TimedOut,
            Err(_) => Received::Silence,
        }
    }

    /// Checks the bounds of the event that has not ended. Returns the error that cut the stream short if
    /// one is exceeded and the stream can't be resumed.
    async fn bound_event(&mut self) -> Option<StreamError> {
        let is_overdue = self.event_waited > Duration::from_millis(MAX_PART_MS);
        if self.partial.len() > MAX_EVENT_BYTES || is_overdue {
            return self.fail_over_invalid(AnswerPart::Event).await;
        }
        if !self.held.resize(self.partial.len()) {
            return self.fail_over(NO_MEMORY).await;
        }
        None
    }

    /// Returns whether the stream may be resumed at another upstream.
    fn may_resume(&self) -> bool {
        let sent = u32::try_from(self.call.tried_upstreams.len()).unwrap_or(u32::MAX);
        self.call.route.retry_policy.is_idempotent()
            && self.last_event.is_some()
            && sent < self.call.route.max_upstreams
    }

    /// Tries to resume the stream at another upstream while still listening to the silent one.
    ///
    /// A silent engine may hang, or may be reading another request's long prompt. If its stream
    /// were dropped at once and no other upstream had a slot, the stream would be cut short
    /// although the engine would have finished it, so callers of an overloaded fleet would lose
    /// half-finished responses. So the connection to the first upstream is kept until another one
    /// has responded, or has worked on the request for [`RESUME_OVERLAP`].
    async fn handle_silence(&mut self) -> Received {
        let Some(mut source) = self.source.take() else {
            return Received::Broke("no upstream");
        };
        let outcome = tokio::select! {
            biased;
            received = source.receive() => SilenceOutcome::Received(received),
            slot = self.acquire_resumption_slot() => {
                slot.map_or(SilenceOutcome::NoSlot, SilenceOutcome::Slot)
            }
        };
        let lease = match outcome {
            SilenceOutcome::Slot(lease)
                if self.traffic.take_retry(&mut self.call) == RetryStep::Allowed =>
            {
                lease
            }
            SilenceOutcome::Slot(_) | SilenceOutcome::NoSlot => {
                self.source = Some(source);
                return Received::Silence;
            }
            SilenceOutcome::Received(received) => {
                self.source = Some(source);
                return received;
            }
        };
        self.log_failed_upstream(UPSTREAM_SILENT, &source.lease.upstream.instance);
        let last_event_id = self.last_event_id();
        let mut previous = Some(source);
        let attempt = {
            let sending = send(&self.traffic, &mut self.call, lease, last_event_id);
            let mut sending = pin!(sending);
            tokio::select! {
                attempt = &mut sending => attempt,
                () = sleep(RESUME_OVERLAP) => {
                    disconnect(&mut previous);
                    sending.await
                }
            }
        };
        // A retry that was not sent is released, as the stream may go on for long.
        self.call.retry_permit = None;
        if self.adopt_response(attempt) {
            disconnect(&mut previous);
            self.traffic.metrics.resumed.inc();
            return Received::Silence;
        }
        self.source = previous;
        if self.source.is_none() {
            return Received::Broke("upstream in place of a silent one failed");
        }
        Received::Silence
    }

    /// Adds received bytes and returns the events that are complete now.
    fn whole_events(&mut self, bytes: &Bytes) -> Option<Bytes> {
        let scanned = self.scan.scan(bytes);
        if scanned.whole_bytes == 0 {
            self.partial.extend_from_slice(bytes);
            return None;
        }
        self.record_events(scanned.events);
        self.event_waited = Duration::ZERO;
        let whole = if self.partial.is_empty() {
            bytes.slice(..scanned.whole_bytes)
        } else {
            self.partial
                .extend_from_slice(&bytes[..scanned.whole_bytes]);
            self.partial.split().freeze()
        };
        self.partial
            .extend_from_slice(&bytes[scanned.whole_bytes..]);
        // A share that shrinks is always granted.
        let _ = self.held.resize(self.partial.len());
        Some(whole)
    }

    /// Returns whether events come after those that the caller has. An upstream that restarts the
    /// stream instead of resuming it would otherwise send a part of it twice.
    fn continues_stream(&mut self, events: &[u8]) -> bool {
        let Some(last) = self.resumed_after.take() else {
            return true;
        };
        first_event_id(events).is_none_or(|first| first > last)
    }

    /// Records new events for the metrics, the upstream's health and the pace of the stream.
    fn record_events(&mut self, events: u32) {
        let Some(source) = &self.source else {
            return;
        };
        let now = Instant::now();
        self.source_first_event.get_or_insert(now);
        let prompt_tokens = self.call.prompt_tokens;
        match self.last_event.replace(now) {
            None => {
                let upstream = &source.lease.upstream;
                self.began_at = Some(Arc::clone(upstream));
                let version = &mut self.call.stream_version;
                version.get_or_insert_with(|| Arc::clone(&upstream.version));
                let origin = StreamOrigin {
                    service: Arc::clone(&upstream.service),
                    version: Arc::clone(&upstream.version),
                };
                self.traffic.record_stream_origin(&self.call, origin);
                self.pace.start(now);
                let since = self.traffic.instant_at(source.lease.acquired_at_ms());
                let after_ms = millis(now - since);
                source.lease.record_response();
                self.call.record_first_part(&self.traffic);
                self.first_ms = Some(self.traffic.now_ms() - self.call.arrived_ms);
                // The number of cached tokens is an estimate. If they may be most of the prompt,
                // the time says little about how fast the engine reads.
                let unread_tokens = prompt_tokens.saturating_sub(source.lease.cached_tokens);
                if unread_tokens >= prompt_tokens / 2 {
                    source
                        .lease
                        .update_health(|health| health.first_event(unread_tokens, after_ms));
                }
            }
            Some(last) => {
                self.pace
                    .record(events, &self.traffic, &self.call, &source.lease);
                let pause_ms = millis(now - last) / f64::from(events.max(1));
                let now_ms = self.traffic.now_ms();
                source
                    .lease
                    .update_health(|health| health.next_event(pause_ms, now_ms));
            }
        }
        self.check_survival();
    }

    /// Returns how a stream has ended, or why it isn't whole.
    async fn confirm_end(&self) -> Result<AnswerEnding, &'static str> {
        if !self.partial.is_empty() {
            return Err("stream ended within an event");
        }
        let Some(source) = &self.source else {
            return Ok(AnswerEnding::Unconfirmed);
        };
        let upstream = &source.lease.upstream;
        match confirm_end(&self.traffic, upstream, source.ends_with_connection).await {
            AnswerEnding::Crashed => Err(CRASHED_AT_END),
            ending => Ok(ending),
        }
    }

    /// Records the end of a whole stream and returns its connection to the pool.
    fn complete(&mut self, ending: AnswerEnding) {
        self.is_done = true;
        let Some(mut source) = self.source.take() else {
            return;
        };
        source.lease.outcome = AttemptOutcome::Answered;
        self.pace.report(&self.traffic, &self.call, &source.lease);
        if ending == AnswerEnding::Whole {
            self.traffic.record_success(&self.call);
        }
        if let (Some(tokens), Some(events)) =
            (self.call.expected_output_tokens, self.scan.last_id())
        {
            self.traffic.dispatcher.borrow_mut().record_answer_length(
                &self.call.service,
                tokens,
                events,
            );
        }
        if !source.ends_with_connection {
            keep_connection(
                &self.traffic,
                &source.lease,
                source.connection,
                source.keep_alive_ms,
            );
        }
        let is_in_time = |first_ms| self.call.is_in_time(first_ms);
        let recorder = &self.call.recorder;
        recorder.set_whole(self.first_ms.is_some_and(is_in_time));
        let metrics = &self.traffic.metrics;
        let status = self.parts.status;
        metrics.answers.with_label_values(&[status.as_str()]).inc();
        let category = LogCategory::Success;
        self.traffic
            .log_with_category(category, Level::Info, "streamed", |line| {
                self.call
                    .add_log_fields(line)
                    .field("version", &source.lease.upstream.version)
                    .field("kept_tokens", source.lease.cached_tokens)
                    .field("first_ms", self.first_ms)
                    .field(
                        "held_ms",
                        self.traffic.now_ms() - source.lease.acquired_at_ms(),
                    )
                    .field("last_event", self.scan.last_id())
                    .field("ends_with_connection", source.ends_with_connection)
            });
    }

    /// Records once for each upstream that it has lived on after it began to answer.
    fn check_survival(&mut self) {
        let answered_for_ms = self.answered_for_ms();
        let has_survived = answered_for_ms.is_some_and(|for_ms| for_ms >= SURVIVED_AFTER_MS);
        if has_survived && !std::mem::replace(&mut self.is_survival_recorded, true) {
            self.traffic.record_survival(&self.call);
        }
    }

    /// Returns the time between the first and the last event of the current upstream; none before the
    /// first one.
    fn answered_for_ms(&self) -> Option<u64> {
        let (first, last) = (self.source_first_event?, self.last_event?);
        let passed = last.saturating_duration_since(first);
        Some(numbers::whole_ms(passed))
    }

    /// Resumes the stream at another upstream if that is allowed and succeeds; otherwise returns
    /// why the stream was cut short.
    async fn fail_over(&mut self, reason: &'static str) -> Option<StreamError> {
        if let Some(source) = &self.source {
            let answered_for_ms = self.answered_for_ms();
            self.traffic
                .record_broken_run(&self.call, &source.lease, answered_for_ms);
        }
        let instance = disconnect(&mut self.source);
        self.log_failed_upstream(reason, instance.as_deref().unwrap_or_default());
        self.resume_elsewhere().await
    }

    /// Closes the connection of an upstream that has sent something invalid, and resumes the stream as
    /// [`Self::fail_over`] does.
    async fn fail_over_invalid(&mut self, part: AnswerPart) -> Option<StreamError> {
        if let Some(mut source) = self.source.take() {
            record_invalid_answer(&self.traffic, &mut self.call, &mut source.lease, part);
        }
        self.resume_elsewhere().await
    }

    async fn resume_elsewhere(&mut self) -> Option<StreamError> {
        self.event_waited = Duration::ZERO;
        while self.call.route.retry_policy.is_idempotent()
            && self.traffic.allow_retry(&mut self.call).await
        {
            match self.resume().await {
                ResumeResult::Resumed => {
                    self.traffic.metrics.resumed.inc();
                    return None;
                }
                ResumeResult::Failed => {}
                ResumeResult::NoSlot => break,
            }
        }
        self.is_done = true;
        self.log_cut("stream was cut short");
        Some(StreamError::Upstream)
    }

    /// Waits for a slot at another upstream, for as long as the caller is likely to wait.
    ///
    /// An upstream that crashed often restarts within a second, so a refused slot request is
    /// repeated. When the first refusal was final, every stream of a service whose only upstream
    /// restarted was cut short.
    async fn acquire_resumption_slot(&self) -> Option<SlotLease> {
        let job = self.call.resumption_job(self.traffic.now_ms());
        loop {
            match self.traffic.acquire_slot(job.clone()).await {
                SlotResult::Acquired(lease) => return Some(lease),
                SlotResult::Refused(SlotRefusal::ShuttingDown) => return None,
                SlotResult::Refused(SlotRefusal::NoSlot { .. }) => {}
            }
            if self.traffic.now_ms() + RESUME_RETRY_PAUSE_MS >= job.waits_until_ms() {
                return None;
            }
            sleep(Duration::from_millis(RESUME_RETRY_PAUSE_MS)).await;
        }
    }

    /// Tries once to resume the stream at another upstream.
    async fn resume(&mut self) -> ResumeResult {
        let Some(lease) = self.acquire_resumption_slot().await else {
            return ResumeResult::NoSlot;
        };
        let last_event_id = self.last_event_id();
        let attempt = send(&self.traffic, &mut self.call, lease, last_event_id).await;
        if self.adopt_response(attempt) {
            ResumeResult::Resumed
        } else {
            ResumeResult::Failed
        }
    }

    /// Returns the id of the last whole event that the caller has.
    fn last_event_id(&self) -> Option<u64> {
        self.scan.last_id().or(self.call.last_event_id)
    }

    /// Continues the stream with another upstream's response if its status is that of the first
    /// one, and returns whether it is. Drops the incomplete event of the previous upstream.
    fn adopt_response(&mut self, attempt: AttemptResult) -> bool {
        match attempt {
            AttemptResult::Response(response) if response.parts.status == self.parts.status => {
                self.partial.clear();
                // A share that shrinks is always granted.
                let _ = self.held.resize(0);
                self.scan.drop_partial();
                self.log_resumed(&response.lease.upstream);
                self.source = Some(Source::from(*response));
                self.source_first_event = None;
                self.is_survival_recorded = false;
                self.resumed_after = self.scan.last_id();
                true
            }
            _ => false,
        }
    }

    fn log_failed_upstream(&self, reason: &'static str, instance: &str) {
        let metrics = &self.traffic.metrics;
        metrics.failed_attempts.with_label_values(&[reason]).inc();
        self.traffic.log(Level::Warn, reason, |line| {
            let line = line.field("request", self.call.name());
            self.call
                .add_replica_fields(line)
                .field("upstream", instance)
                .field("attempt", self.call.tried_upstreams.len())
                .field("may_resume", self.call.route.retry_policy.is_idempotent())
                .field("max_upstreams", self.call.route.max_upstreams)
                .field("last_event", self.scan.last_id())
        });
    }

    fn log_resumed(&self, upstream: &Upstream) {
        let began_at = self.began_at.as_ref();
        self.traffic
            .log(Level::Info, "stream resumed at another upstream", |line| {
                line.field("request", self.call.name())
                    .field("began_at", began_at.map(|began_at| &began_at.instance))
                    .field(
                        "began_at_version",
                        began_at.map(|began_at| &began_at.version),
                    )
                    .field("upstream", &upstream.instance)
                    .field("version", &upstream.version)
                    .field("last_event", self.scan.last_id())
            });
    }

    fn log_cut(&self, message: &'static str) {
        self.traffic.metrics.cut.inc();
        self.traffic.log(Level::Warn, message, |line| {
            self.call
                .add_log_fields(line)
                .field("first_ms", self.first_ms)
                .field("last_event", self.scan.last_id())
        });
    }
}

impl Source {
    async fn receive(&mut self) -> Received {
        match self.connection.next_part(&mut self.body).await {
            Some(Ok(bytes)) => Received::Bytes(bytes),
            Some(Err(PartError::Broken)) => Received::Broke("upstream broke off a stream"),
            Some(Err(PartError::Invalid(part))) => Received::Invalid(part),
            None => Received::End,
        }
    }
}

/// Closes the connection to an upstream, so that the upstream stops working on the request, and
/// returns the upstream's instance.
fn disconnect(source: &mut Option<Source>) -> Option<Arc<str>> {
    let mut source = source.take()?;
    source.lease.outcome = AttemptOutcome::Broken;
    Some(Arc::clone(&source.lease.upstream.instance))
}

impl From<UpstreamResponse> for Source {
    fn from(response: UpstreamResponse) -> Self {
        Self {
            ends_with_connection: ends_with_connection(&response.parts, &response.body),
            body: response.body,
            connection: response.connection,
            lease: response.lease,
            keep_alive_ms: response.headers.keep_alive_ms,
        }
    }
}

/// Returns the `id` of the first event that has one.
fn first_event_id(events: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(events).ok()?;
    let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    id.trim().parse().ok()
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
