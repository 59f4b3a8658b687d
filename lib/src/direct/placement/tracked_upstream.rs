//! One upstream as an entry sees it: what runs there, whether it works, what a request costs.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::direct::membership::peer_message::UpstreamCondition;
use crate::direct::membership::peer_message::UpstreamLoad;
use crate::direct::placement::baseline::Baseline;
use crate::direct::placement::dispatch::upstream_hash;
use crate::direct::placement::health::AttemptOutcome;
use crate::direct::placement::health::ObservedHealth;
use crate::direct::placement::job::Job;
use crate::direct::store_view::directory::Upstream;
use crate::numbers;

/// How much slower than the best an upstream with many failures counts.
const BAD_FACTOR: f64 = 20.0;
const US_PER_MS: f64 = 1_000.0;
/// What it costs to wait at a full upstream, in usual holdings of a slot.
const FULL_HOLDS: f64 = 1.0;
/// How much longer than expected an answer may well be: callers' guesses are right at the
/// median, and one in four answers is longer by this.
const LENGTH_DOUBT: f64 = 1.4;
/// What an answer costs that is likely to be cut at its deadline, in usual holdings.
const CUT_HOLDS: f64 = 10.0;
/// What the last slot of an upstream costs, in usual holdings of a slot.
const CROWD_HOLDS: f64 = 1.0;
/// Time without any answer beyond several times the usual after which an upstream counts as
/// stalled. Healthy ones begin within a few hundred milliseconds, since they get only what
/// they can begin.
const STALL_MS: u64 = 800;
const STALL_FACTOR: f64 = 4.0;
/// How long a peer's word of what is wrong with an upstream is believed; its heartbeats repeat it.
const PEER_WORD_MS: u64 = 700;

/// How long an upstream is left alone at whose address another process answers. An incarnation
/// that has ended may have written its entry late, over or beside that of its successor; the
/// entry then stands until three heartbeats of 1.2 s have been missed, and a little is added for
/// the way of that news. An entry that stands for longer is tried again, by one request each time.
const GONE_MS: u64 = 4_000;

/// An upstream, and what this entry has to do with it.
#[derive(Clone, Debug)]
pub struct Place {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    /// Its short name, which is asked for with each heartbeat and each choice.
    pub name: u32,
    /// Whether it takes new work.
    pub is_listed: bool,
    /// Whether it only takes requests that judge its version.
    pub is_on_trial: bool,
    /// Whether it limits its requests, so that only its door may start any.
    pub is_limited: bool,
    /// Until when it wants nothing from this entry.
    pub rests_until_ms: u64,
    /// Requests of this entry that run there.
    pub running: u32,
    /// What its answers have told.
    pub health: ObservedHealth,
    /// When a request there that has no answer yet becomes suspicious, by its number.
    unanswered: IndexMap<u64, u64>,
    /// Until when a peer's word that it answers nothing is believed.
    peer_stalled_until_ms: u64,
    /// Until when it counts as gone, since another process has answered in its place.
    gone_until_ms: u64,
    /// Until when a peer's word of that is believed.
    peer_gone_until_ms: u64,
}

impl Place {
    /// An upstream of which nothing is known.
    #[must_use]
    pub fn new(upstream: &Arc<Upstream>) -> Self {
        Self {
            upstream: Arc::clone(upstream),
            name: upstream_hash(&upstream.instance),
            is_listed: true,
            is_on_trial: false,
            is_limited: false,
            rests_until_ms: 0,
            running: 0,
            health: ObservedHealth::default(),
            unanswered: IndexMap::new(),
            peer_stalled_until_ms: 0,
            gone_until_ms: 0,
            peer_gone_until_ms: 0,
        }
    }

    /// Whether it neither breaks nor hangs.
    #[must_use]
    pub fn works(&self, now_ms: u64) -> bool {
        self.is_open(now_ms) && !self.health.is_paused(now_ms) && !self.is_stalled(now_ms)
    }

    /// Whether another process answers in its place.
    ///
    /// Entries of ended upstreams come back into the list when their last write is done late.
    /// Without this each request that goes there is declined, tried once more or refused, and
    /// the next one goes there as well: its load is low, for it runs nothing.
    #[must_use]
    pub fn is_gone(&self, now_ms: u64) -> bool {
        now_ms < self.gone_until_ms.max(self.peer_gone_until_ms)
    }

    /// Whether it has asked this entry for rest that is not over.
    #[must_use]
    pub fn is_at_rest(&self, now_ms: u64) -> bool {
        now_ms < self.rests_until_ms
    }

    /// Whether it may be sent anything. One that breaks or hangs may still be the best there is.
    #[must_use]
    pub fn is_open(&self, now_ms: u64) -> bool {
        !self.is_gone(now_ms) && !self.is_at_rest(now_ms)
    }

    /// What this entry itself has found wrong there; what it has from peers it does not repeat,
    /// or they would tell each other for ever.
    #[must_use]
    pub fn condition(&self, now_ms: u64) -> UpstreamCondition {
        if now_ms < self.gone_until_ms {
            UpstreamCondition::Replaced
        } else if self.has_stalled_here(now_ms) {
            UpstreamCondition::Stalled
        } else {
            UpstreamCondition::Healthy
        }
    }

    /// Whether a request has had no answer there for much longer than it should take.
    ///
    /// An engine that hangs takes requests like any other and breaks nothing, so without this
    /// each entry would go on feeding it until its callers have left.
    fn is_stalled(&self, now_ms: u64) -> bool {
        now_ms < self.peer_stalled_until_ms || self.has_stalled_here(now_ms)
    }

    /// Whether that is so with a request of this entry.
    fn has_stalled_here(&self, now_ms: u64) -> bool {
        self.unanswered.values().any(|at_ms| now_ms >= *at_ms)
    }

    /// Takes a peer's word of it; the time between two events, if that was news.
    pub fn hear(&mut self, told: &UpstreamLoad, now_ms: u64) -> Option<f64> {
        match told.condition {
            UpstreamCondition::Healthy => {}
            UpstreamCondition::Stalled => self.peer_stalled_until_ms = now_ms + PEER_WORD_MS,
            UpstreamCondition::Replaced => self.peer_gone_until_ms = now_ms + PEER_WORD_MS,
        }
        if told.event_us == 0 {
            return None;
        }
        let event_ms = f64::from(told.event_us) / US_PER_MS;
        self.health
            .hear_event_ms(event_ms, now_ms)
            .then_some(event_ms)
    }

    /// Notes that a request was sent whose answer usually begins after so long.
    pub fn sent(&mut self, id: u64, first_ms: f64, now_ms: u64) {
        let usual_ms = numbers::whole_u64(first_ms * STALL_FACTOR);
        self.unanswered.insert(id, now_ms + STALL_MS + usual_ms);
    }

    /// Notes that the first part of a request's answer has come.
    pub fn answered(&mut self, id: u64) {
        self.unanswered.swap_remove(&id);
        self.peer_stalled_until_ms = 0;
    }

    /// Frees the room of a request; how it ended, which is badly if it had stalled.
    pub fn finished(&mut self, id: u64, ended: AttemptOutcome, now_ms: u64) -> AttemptOutcome {
        self.running = self.running.saturating_sub(1);
        let stalls_at_ms = self.unanswered.swap_remove(&id);
        let has_stalled = stalls_at_ms.is_some_and(|at_ms| now_ms >= at_ms);
        let ended = if has_stalled {
            AttemptOutcome::Broken
        } else {
            ended
        };
        if ended == AttemptOutcome::Misdirected {
            self.gone_until_ms = now_ms + GONE_MS;
        }
        self.health.ended(ended, now_ms);
        ended
    }

    /// Time between two events of a stream there, 0 if not known.
    #[must_use]
    pub fn event_us(&self) -> u32 {
        let event_ms = self.health.event_ms().unwrap_or_default();
        numbers::whole_u32(event_ms * US_PER_MS)
    }

    /// Expected time between two events: its own, or else what is usual at its service.
    fn event_ms(&self, baseline: &Baseline) -> f64 {
        let event_ms = self.health.event_ms();
        event_ms.or(baseline.event_ms()).unwrap_or_default()
    }

    /// Expected time to the first event of a prompt of which so much is to be read, or to a plain
    /// answer.
    #[must_use]
    pub fn first_ms(&self, prompt_tokens: u32, baseline: &Baseline) -> f64 {
        let answer_ms = self.event_ms(baseline) + self.health.answer_ms();
        self.read_ms(prompt_tokens, baseline) + answer_ms
    }

    /// Whether neither this entry nor a peer has seen it answer.
    #[must_use]
    pub fn is_unknown(&self) -> bool {
        self.health.event_ms().is_none() && self.health.answer_ms() <= 0.0
    }

    /// Its speed in relation to what is usual at its service.
    #[must_use]
    pub fn speed(&self, baseline: &Baseline) -> f64 {
        match (self.health.event_ms(), baseline.event_ms()) {
            (Some(event_ms), Some(usual_ms)) if event_ms > 0.0 => usual_ms / event_ms,
            _ => 1.0,
        }
    }

    /// Expected time to read so many tokens of a prompt.
    ///
    /// An engine that is slow in writing is slow in reading. So one whose reading this entry
    /// has not seen yet is judged by its writing, of which peers tell: otherwise each of
    /// thirty entries sends it a long prompt to find out.
    #[must_use]
    pub fn read_ms(&self, tokens: u32, baseline: &Baseline) -> f64 {
        let read_ms = self.health.prefill_ms_per_token();
        let read_ms =
            read_ms.unwrap_or_else(|| self.event_ms(baseline) * baseline.prefill_per_event());
        read_ms * f64::from(tokens)
    }

    /// Expected time of a request there with nobody beside it.
    fn alone_ms(&self, job: &Job, baseline: &Baseline) -> f64 {
        let first_ms = self.first_ms(job.unread_tokens(&self.upstream.instance), baseline);
        let events = baseline.expected_events(job.expected_output_tokens);
        first_ms + self.event_ms(baseline) * events
    }

    /// Whether a request is likely to end there within its time.
    #[must_use]
    pub fn ends_in_time(&self, job: &Job, baseline: &Baseline, now_ms: u64) -> bool {
        !is_cut(self.alone_ms(job, baseline), job, now_ms)
    }

    /// What it costs to run a request there while so many run already: its own time, and the
    /// time for which it keeps the last slots from others.
    ///
    /// The second part is the same for a long and a short request, the first is not. So when
    /// fast upstreams fill up, short requests go to slow ones first, and long ones, which a
    /// slow upstream would not finish in time, keep to the fast ones.
    #[must_use]
    pub fn cost_ms(&self, running: u32, job: &Job, baseline: &Baseline, now_ms: u64) -> f64 {
        let first_ms = self.first_ms(job.unread_tokens(&self.upstream.instance), baseline);
        let alone_ms = self.alone_ms(job, baseline);
        let hold_ms = baseline.hold_ms();
        let fullness = f64::from(running) / f64::from(self.upstream.slots.max(1));
        let left_ms = numbers::as_f64(job.objective_at_ms.saturating_sub(now_ms));
        let is_late = first_ms > left_ms && !job.has_start_deficit;
        let late_ms = if is_late { hold_ms } else { 0.0 };
        let is_cut = is_cut(alone_ms, job, now_ms);
        let cut_ms = if is_cut { CUT_HOLDS * hold_ms } else { 0.0 };
        let is_full = fullness >= 1.0;
        let full_ms = if is_full { FULL_HOLDS * hold_ms } else { 0.0 };
        let crowd_ms = hold_ms * CROWD_HOLDS * fullness * fullness;
        let bad = if self.health.is_bad() {
            BAD_FACTOR
        } else {
            1.0
        };
        (alone_ms + late_ms + cut_ms + full_ms + crowd_ms + 1.0) * bad
    }
}

/// Whether an answer of so much work is likely to be cut when the request's time is up.
fn is_cut(alone_ms: f64, job: &Job, now_ms: u64) -> bool {
    let ends_in_ms = numbers::as_f64(job.deadline_at_ms.saturating_sub(now_ms));
    alone_ms * LENGTH_DOUBT > ends_in_ms
}
