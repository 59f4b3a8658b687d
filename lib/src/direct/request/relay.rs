//! A stream of events on its way from upstream to caller, through a change of upstream.
//!
//! Only whole events are passed on. If the upstream breaks off, the stream may go on at
//! another one after the last whole event, so a caller never sees a part twice or half.

use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Frame;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::answer::event_scan::EventScan;
use crate::direct::log_rate_limit::LogCategory;
use crate::direct::placement::health::AttemptOutcome;
use crate::direct::request::call::Call;
use crate::direct::request::connection_pool::Connection;
use crate::direct::request::exchange::Answer;
use crate::direct::request::exchange::Attempt;
use crate::direct::request::exchange::keep;
use crate::direct::request::exchange::may_try_another;
use crate::direct::request::exchange::send;
use crate::direct::request::pace::Pace;
use crate::direct::traffic::SlotLease;
use crate::direct::traffic::SlotResult;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;

/// Silence of an upstream after which its stream goes on elsewhere, where it may. Callers
/// give up after two seconds, and the new upstream has to read the prompt first.
const SILENCE: Duration = Duration::from_millis(1_200);
const SILENT: &str = "upstream fell silent within a stream";
/// How long a silent upstream is kept while another one has the request and has not begun. One
/// that declines says so in a few milliseconds; two that work on the same request for longer waste
/// the time of both.
const OVERLAP: Duration = Duration::from_millis(200);
/// Pause before a stream that found no upstream to go on at asks again: short beside the pause
/// that callers notice, a fifth of a second and more on the sheets.
const RESUME_PAUSE_MS: u64 = 50;

/// Why a stream ended before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Broken {
    /// The upstream broke off and nobody else may go on.
    #[error("the upstream broke off")]
    Upstream,
    /// The time of the request is up.
    #[error("the time of the request is up")]
    TimeUp,
}

/// A stream that is being passed on.
#[derive(Debug)]
pub struct Relay {
    traffic: Rc<TrafficState>,
    call: Call,
    parts: http::response::Parts,
    source: Option<Source>,
    scan: EventScan,
    partial: BytesMut,
    last_event: Option<Instant>,
    pace: Pace,
    /// Time from the request's arrival to its first event.
    first_ms: Option<u64>,
    /// The last event that the caller has, until the next upstream's first one has come.
    goes_on_after: Option<u64>,
    is_done: bool,
}

/// Where the stream comes from at present.
#[derive(Debug)]
struct Source {
    body: Incoming,
    connection: Connection,
    lease: SlotLease,
    keep_alive_ms: Option<u64>,
}

/// What came next from the upstream.
enum Came {
    Bytes(Bytes),
    End,
    Broke(&'static str),
    /// Nothing for so long that another upstream may be the better one.
    Silence,
    TimeUp,
}

/// What comes first while an upstream is silent.
enum Outwaited {
    /// It goes on after all.
    Came(Came),
    /// Another one has room.
    Room(SlotLease),
    /// Nobody has.
    NoRoom,
}

/// How asking another upstream to go on ended.
enum Resumed {
    /// It goes on.
    GoesOn,
    /// It did not.
    Failed,
    /// None had room while the caller waited.
    NoRoom,
}

impl Relay {
    /// Begins with an upstream's answer.
    #[must_use]
    pub fn new(traffic: &Rc<TrafficState>, call: Call, answer: Answer) -> Self {
        Self {
            traffic: Rc::clone(traffic),
            call,
            parts: answer.parts.clone(),
            source: Some(Source::from(answer)),
            scan: EventScan::default(),
            partial: BytesMut::new(),
            last_event: None,
            pace: Pace::default(),
            first_ms: None,
            goes_on_after: None,
            is_done: false,
        }
    }

    /// Status and headers of the answer: those of the first upstream.
    #[must_use]
    pub fn head(&self) -> http::response::Parts {
        self.parts.clone()
    }

    /// The next whole events, or how the stream ended.
    pub async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        loop {
            if self.is_done {
                return None;
            }
            let came = match self.receive().await {
                Came::Silence => self.outwait().await,
                came => came,
            };
            match came {
                Came::Silence => {}
                Came::Bytes(bytes) => {
                    let Some(events) = self.whole_events(&bytes) else {
                        continue;
                    };
                    if !self.follows(&events) {
                        // What it sent is dropped, and so is whoever sends it.
                        self.is_done = true;
                        leave(&mut self.source);
                        self.log_cut("resumed stream began anew");
                        return Some(Err(Broken::Upstream));
                    }
                    return Some(Ok(events));
                }
                Came::End if self.partial.is_empty() => {
                    self.end_whole();
                    return None;
                }
                Came::End => {
                    if let Some(broken) = self.go_on("stream ended within an event").await {
                        return Some(Err(broken));
                    }
                }
                Came::Broke(why) => {
                    if let Some(broken) = self.go_on(why).await {
                        return Some(Err(broken));
                    }
                }
                Came::TimeUp => {
                    self.is_done = true;
                    self.log_cut("time is up within a stream");
                    return Some(Err(Broken::TimeUp));
                }
            }
        }
    }

    async fn receive(&mut self) -> Came {
        let may_move = self.may_move();
        let Some(source) = self.source.as_mut() else {
            return Came::Broke("no upstream");
        };
        let give_up = self.traffic.instant_at(self.call.deadline_at_ms);
        let silent = Instant::now() + SILENCE;
        let until = if may_move {
            silent.min(give_up)
        } else {
            give_up
        };
        match timeout_at(until, source.body.frame()).await {
            Ok(frame) => Came::of(frame),
            Err(_) if Instant::now() >= give_up => Came::TimeUp,
            Err(_) => Came::Silence,
        }
    }

    /// Whether another upstream may go on with what this one has begun.
    fn may_move(&self) -> bool {
        let sent = u32::try_from(self.call.tried_upstreams.len()).unwrap_or(u32::MAX);
        self.call.route.retry_policy.is_idempotent()
            && self.last_event.is_some()
            && sent < self.call.route.max_upstreams
    }

    /// Looks for another upstream while one is silent, and still listens to it.
    ///
    /// A silent engine may hang, or read a long prompt beside this stream. Given up at once, a
    /// stream for which nobody else has room is cut, although its upstream would have finished it:
    /// callers of an overloaded fleet lose answers that are half done. So the first upstream is
    /// kept until another one has begun, or has been at work for a moment.
    async fn outwait(&mut self) -> Came {
        let Some(mut source) = self.source.take() else {
            return Came::Broke("no upstream");
        };
        let waited = tokio::select! {
            biased;
            frame = source.body.frame() => Outwaited::Came(Came::of(frame)),
            room = self.room_to_go_on() => room.map_or(Outwaited::NoRoom, Outwaited::Room),
        };
        let lease = match waited {
            Outwaited::Room(lease) if may_try_another(&self.traffic, &self.call) => lease,
            Outwaited::Room(_) | Outwaited::NoRoom => {
                self.source = Some(source);
                return Came::Silence;
            }
            Outwaited::Came(came) => {
                self.source = Some(source);
                return came;
            }
        };
        self.log_left(SILENT, &source.lease.upstream.instance);
        let last_event_id = self.last_event_id();
        let mut former = Some(source);
        let attempt = {
            let sending = send(&self.traffic, &mut self.call, lease, last_event_id);
            let mut sending = pin!(sending);
            tokio::select! {
                attempt = &mut sending => attempt,
                () = sleep(OVERLAP) => {
                    leave(&mut former);
                    sending.await
                }
            }
        };
        if self.take_over(attempt) {
            leave(&mut former);
            self.traffic.metrics.resumed.inc();
            return Came::Silence;
        }
        self.source = former;
        if self.source.is_none() {
            return Came::Broke("upstream in place of a silent one failed");
        }
        Came::Silence
    }

    /// Takes bytes in; the events that are whole now.
    fn whole_events(&mut self, bytes: &Bytes) -> Option<Bytes> {
        let scanned = self.scan.scan(bytes);
        if scanned.whole_bytes == 0 {
            self.partial.extend_from_slice(bytes);
            return None;
        }
        self.learn(scanned.events);
        let whole = if self.partial.is_empty() {
            bytes.slice(..scanned.whole_bytes)
        } else {
            self.partial
                .extend_from_slice(&bytes[..scanned.whole_bytes]);
            self.partial.split().freeze()
        };
        self.partial
            .extend_from_slice(&bytes[scanned.whole_bytes..]);
        Some(whole)
    }

    /// Whether events come after those that the caller has. An upstream that does not go on
    /// but begins anew would otherwise give the caller a part of the stream twice.
    fn follows(&mut self, events: &[u8]) -> bool {
        let Some(last) = self.goes_on_after.take() else {
            return true;
        };
        first_id(events).is_none_or(|first| first > last)
    }

    fn learn(&mut self, events: u32) {
        let Some(source) = &self.source else {
            return;
        };
        let now = Instant::now();
        let prompt_tokens = self.call.prompt_tokens;
        match self.last_event.replace(now) {
            None => {
                self.pace.first(now);
                let since = self.traffic.instant_at(source.lease.acquired_at_ms());
                let after_ms = as_ms(now - since);
                source.lease.answered();
                self.call.note_first(&self.traffic);
                self.first_ms = Some(self.traffic.now_ms() - self.call.arrived_ms);
                // What is kept is a guess. Where it may be most of the prompt, the time says little
                // of the engine's reading.
                let unread_tokens = prompt_tokens.saturating_sub(source.lease.cached_tokens);
                if unread_tokens >= prompt_tokens / 2 {
                    source
                        .lease
                        .learn(|health| health.first_event(unread_tokens, after_ms));
                }
            }
            Some(last) => {
                self.pace
                    .next(events, &self.traffic, &self.call, &source.lease);
                let pause_ms = as_ms(now - last) / f64::from(events.max(1));
                let now_ms = self.traffic.now_ms();
                source
                    .lease
                    .learn(|health| health.next_event(pause_ms, now_ms));
            }
        }
    }

    fn end_whole(&mut self) {
        self.is_done = true;
        let Some(mut source) = self.source.take() else {
            return;
        };
        source.lease.outcome = AttemptOutcome::Answered;
        self.pace.end(&self.traffic, &self.call, &source.lease);
        self.traffic.record_success(&self.call);
        if let (Some(tokens), Some(events)) =
            (self.call.expected_output_tokens, self.scan.last_id())
        {
            self.traffic.dispatcher.borrow_mut().record_answer_length(
                &self.call.service,
                tokens,
                events,
            );
        }
        keep(
            &self.traffic,
            &source.lease,
            source.connection,
            source.keep_alive_ms,
        );
        let is_in_time = |first_ms| self.call.is_in_time(first_ms);
        let ending = &self.call.ending;
        ending.set_whole(self.first_ms.is_some_and(is_in_time));
        let metrics = &self.traffic.metrics;
        let status = self.parts.status;
        metrics.answers.with_label_values(&[status.as_str()]).inc();
        let success = LogCategory::Success;
        self.traffic
            .log_of(success, Level::Info, "streamed", |line| {
                self.call
                    .fields(line)
                    .field("kept_tokens", source.lease.cached_tokens)
                    .field("first_ms", self.first_ms)
                    .field(
                        "held_ms",
                        self.traffic.now_ms() - source.lease.acquired_at_ms(),
                    )
                    .field("last_event", self.scan.last_id())
            });
    }

    /// Goes on at another upstream, if that is allowed; otherwise how the stream ended.
    async fn go_on(&mut self, why: &'static str) -> Option<Broken> {
        if let Some(source) = &self.source {
            self.traffic.record_broken_run(&self.call, &source.lease);
        }
        let instance = leave(&mut self.source);
        self.log_left(why, instance.as_deref().unwrap_or_default());
        while self.call.route.retry_policy.is_idempotent()
            && may_try_another(&self.traffic, &self.call)
        {
            match self.resume().await {
                Resumed::GoesOn => {
                    self.traffic.metrics.resumed.inc();
                    return None;
                }
                Resumed::Failed => {}
                Resumed::NoRoom => break,
            }
        }
        self.is_done = true;
        self.log_cut("stream was cut short");
        Some(Broken::Upstream)
    }

    /// Waits for room at another upstream, for as long as the caller is likely to.
    ///
    /// An upstream that ends often starts again within a second. A refusal means "none just now",
    /// and asking again costs nothing; taken for an end, it cut every stream of a service whose
    /// only upstream had restarted.
    async fn room_to_go_on(&self) -> Option<SlotLease> {
        let job = self.call.resume_job(self.traffic.now_ms());
        loop {
            if let SlotResult::Acquired(lease) = self.traffic.acquire_slot(job.clone()).await {
                return Some(lease);
            }
            if self.traffic.now_ms() + RESUME_PAUSE_MS >= job.waits_until_ms() {
                return None;
            }
            sleep(Duration::from_millis(RESUME_PAUSE_MS)).await;
        }
    }

    /// Asks another upstream to go on.
    async fn resume(&mut self) -> Resumed {
        let Some(lease) = self.room_to_go_on().await else {
            return Resumed::NoRoom;
        };
        let last_event_id = self.last_event_id();
        let attempt = send(&self.traffic, &mut self.call, lease, last_event_id).await;
        if self.take_over(attempt) {
            Resumed::GoesOn
        } else {
            Resumed::Failed
        }
    }

    /// The last event that the caller has whole.
    fn last_event_id(&self) -> Option<u64> {
        self.scan.last_id().or(self.call.last_event_id)
    }

    /// Lets another upstream go on with the stream, if it answers as the first one did. What the one
    /// before had sent of its next event is dropped.
    fn take_over(&mut self, attempt: Attempt) -> bool {
        match attempt {
            Attempt::Answer(answer) if answer.parts.status == self.parts.status => {
                self.partial.clear();
                self.scan.drop_partial();
                self.source = Some(Source::from(*answer));
                self.goes_on_after = self.scan.last_id();
                true
            }
            _ => false,
        }
    }

    fn log_left(&self, why: &'static str, instance: &str) {
        let metrics = &self.traffic.metrics;
        metrics.failed_attempts.with_label_values(&[why]).inc();
        self.traffic.log(Level::Warn, why, |line| {
            line.field("request", self.call.name())
                .field("upstream", instance)
                .field("attempt", self.call.tried_upstreams.len())
                .field("may_resume", self.call.route.retry_policy.is_idempotent())
                .field("max_upstreams", self.call.route.max_upstreams)
                .field("last_event", self.scan.last_id())
        });
    }

    fn log_cut(&self, message: &'static str) {
        self.traffic.metrics.cut.inc();
        self.traffic.log(Level::Warn, message, |line| {
            self.call
                .fields(line)
                .field("first_ms", self.first_ms)
                .field("last_event", self.scan.last_id())
        });
    }
}

impl Came {
    fn of(frame: Option<Result<Frame<Bytes>, hyper::Error>>) -> Self {
        match frame {
            Some(Ok(frame)) => Self::Bytes(frame.into_data().unwrap_or_default()),
            Some(Err(_)) => Self::Broke("upstream broke off a stream"),
            None => Self::End,
        }
    }
}

/// Closes the connection to an upstream, so that it stops its work.
fn leave(source: &mut Option<Source>) -> Option<Arc<str>> {
    let mut source = source.take()?;
    source.lease.outcome = AttemptOutcome::Broken;
    Some(Arc::clone(&source.lease.upstream.instance))
}

impl From<Answer> for Source {
    fn from(answer: Answer) -> Self {
        Self {
            body: answer.body,
            connection: answer.connection,
            lease: answer.lease,
            keep_alive_ms: answer.headers.keep_alive_ms,
        }
    }
}

/// The `id` of the first event that has one.
fn first_id(events: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(events).ok()?;
    let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    id.trim().parse().ok()
}

fn as_ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
