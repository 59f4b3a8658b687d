//! Limits of upstreams whose answers do not always state them, in virtual time.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sardinewood::direct::notices::limit_end::LimitReport;
use sardinewood::direct::notices::limit_end::LimitStep;
use sardinewood::direct::notices::notice::NoticeField;
use sardinewood::direct::notices::notice::UpstreamNotice;
use sardinewood::direct::notices::upstream_notices::UpstreamNotices;
use sardinewood::direct::placement::dispatch::upstream_hash;
use sardinewood::direct::sharing::admission::AdmissionController;
use sardinewood::direct::sharing::admission::EntryRef;
use sardinewood::direct::sharing::admission::PeerRequestId;
use sardinewood::direct::sharing::admission::SlotRelease;
use sardinewood::direct::sharing::admission::SlotRequest;

const SPAN_MS: u64 = 4_000;
const WAITING: usize = 70;
/// Time between two checks of a limit without an answer.
const CHECK_MS: u64 = 100;

fn upstream() -> u32 {
    upstream_hash("i-1")
}

fn limited(limit_per_1000_s: u32) -> UpstreamNotice {
    UpstreamNotice {
        limit_per_1000_s: NoticeField::Value(limit_per_1000_s),
        ..UpstreamNotice::default()
    }
}

fn slot_request(id: u64) -> SlotRequest {
    SlotRequest {
        id: PeerRequestId(id),
        upstream: upstream(),
        worth_micros: 1_000,
        objective_in_ms: 500,
        waited_ms: 0,
    }
}

/// Whether and how answers state the limit.
#[derive(Clone, Copy, Debug)]
struct Upstream {
    limit_per_1000_s: u32,
    slots: u32,
    /// How long a request takes to its answer.
    answer_ms: u64,
    /// Every so many answers, one does not state the limit.
    omits_every: Option<u64>,
    /// Part of the answers that do not state it, drawn.
    omitted_part: f64,
    /// What an answer without the limit counts as.
    omission: LimitReport,
    /// From when on none states it.
    ended_ms: u64,
}

/// An upstream that states its limit in all answers.
const STEADY: Upstream = Upstream {
    limit_per_1000_s: 1_000,
    slots: 64,
    answer_ms: 80,
    omits_every: None,
    omitted_part: 0.0,
    omission: LimitReport::Omitted,
    ended_ms: u64::MAX,
};

/// One entry before one upstream that could always be given more.
struct Play {
    upstream: Upstream,
    random: StdRng,
    notices: UpstreamNotices,
    admission: AdmissionController,
    /// When answers are due.
    running: Vec<u64>,
    next_id: u64,
    answers: u64,
    started_ms: Vec<u64>,
    /// When the limit was taken to have ended.
    ends_ms: Vec<u64>,
}

impl Play {
    fn new(upstream: Upstream, seed: u64) -> Self {
        let mut admission = AdmissionController::default();
        admission.set_upstreams([("i-1".into(), upstream.slots)]);
        let mut notices = UpstreamNotices::default();
        notices.record("i-1", &limited(upstream.limit_per_1000_s), 0);
        admission.set_limits(notices.rates(0), 0);
        Self {
            upstream,
            random: StdRng::seed_from_u64(seed),
            notices,
            admission,
            running: Vec::new(),
            next_id: 0,
            answers: 0,
            started_ms: Vec::new(),
            ends_ms: Vec::new(),
        }
    }

    fn run(mut self, for_ms: u64) -> Self {
        for _ in 0..WAITING {
            self.enqueue(0);
        }
        for now_ms in 0..for_ms {
            let due = self.running.iter().filter(|at_ms| **at_ms == now_ms);
            for _ in 0..due.count() {
                self.answer(now_ms);
            }
            self.running.retain(|at_ms| *at_ms > now_ms);
            if now_ms.is_multiple_of(CHECK_MS) {
                let step = self
                    .notices
                    .check_limit(upstream(), self.upstream.answer_ms, now_ms);
                self.apply(step, now_ms);
            }
            while self.admission.next_grant(now_ms).is_some() {
                self.started_ms.push(now_ms);
                self.running.push(now_ms + self.upstream.answer_ms);
                self.enqueue(now_ms);
            }
        }
        self
    }

    fn enqueue(&mut self, now_ms: u64) {
        let slot_request = slot_request(self.next_id);
        self.next_id += 1;
        self.admission
            .enqueue(EntryRef::Local, slot_request, now_ms);
    }

    fn answer(&mut self, now_ms: u64) {
        self.answers += 1;
        let every = self.upstream.omits_every;
        let is_omitted = now_ms >= self.upstream.ended_ms
            || every.is_some_and(|every| self.answers.is_multiple_of(every))
            || self.random.random::<f64>() < self.upstream.omitted_part;
        if !is_omitted {
            let limit = limited(self.upstream.limit_per_1000_s);
            self.notices.record("i-1", &limit, now_ms);
        }
        let report = if is_omitted {
            self.upstream.omission
        } else {
            LimitReport::Stated
        };
        let answer_ms = self.upstream.answer_ms;
        let notices = &mut self.notices;
        let step = notices.record_limit_report(upstream(), report, answer_ms, now_ms);
        let is_probed = step == LimitStep::Probe;
        self.admission.record_answer(upstream(), is_probed);
        self.apply(step, now_ms);
        let release = if report == LimitReport::OmittedByFailure {
            SlotRelease::Unanswered
        } else {
            SlotRelease::Answered { held_ms: 80 }
        };
        self.admission.release(EntryRef::Local, upstream(), release);
    }

    fn apply(&mut self, step: LimitStep, now_ms: u64) {
        if step == LimitStep::End {
            self.ends_ms.push(now_ms);
        }
        self.admission
            .set_limits(self.notices.rates(now_ms), now_ms);
    }

    fn most_in_span(&self) -> usize {
        let starts = &self.started_ms;
        (0..starts.len())
            .map(|first| {
                let later = starts[first..].iter();
                later
                    .take_while(|at_ms| **at_ms < starts[first] + SPAN_MS)
                    .count()
            })
            .max()
            .unwrap_or_default()
    }

    fn assert_limit_kept(&self, case: &str) {
        let limit_per_s = f64::from(self.upstream.limit_per_1000_s) / 1_000.0;
        let most = f64::from(u32::try_from(self.most_in_span()).unwrap());
        let allowed = 6.0 * limit_per_s + 5.0;
        assert!(
            most <= allowed,
            "{case}: {most} of {allowed}, ends {:?}, {:?}",
            self.ends_ms,
            self.upstream
        );
    }
}

fn drawn(random: &mut StdRng) -> Upstream {
    Upstream {
        limit_per_1000_s: random.random_range(200..30_000),
        slots: random.random_range(1..=64),
        answer_ms: random.random_range(20..3_000),
        ..STEADY
    }
}

#[test]
fn rejections_and_failures_do_not_end_a_limit() {
    // Guards against a limit that ends although only answers without a result do not state it.
    for seed in 0..60 {
        let mut random = StdRng::seed_from_u64(seed);
        let upstream = Upstream {
            omitted_part: random.random_range(0.0..0.9),
            omission: LimitReport::OmittedByFailure,
            ..drawn(&mut random)
        };
        let play = Play::new(upstream, seed).run(30_000);
        assert!(play.ends_ms.is_empty(), "seed {seed}: {:?}", play.ends_ms);
        play.assert_limit_kept(&format!("seed {seed}"));
    }
}

#[test]
fn successes_that_omit_a_limit_regularly_do_not_end_it() {
    // Guards against a limit that ends while every second answer states it.
    for seed in 0..60 {
        let mut random = StdRng::seed_from_u64(seed);
        let upstream = Upstream {
            omits_every: Some(random.random_range(2..12)),
            ..drawn(&mut random)
        };
        let play = Play::new(upstream, seed).run(30_000);
        assert!(play.ends_ms.is_empty(), "seed {seed}: {:?}", play.ends_ms);
        play.assert_limit_kept(&format!("seed {seed}"));
    }
}

#[test]
fn successes_that_omit_a_limit_at_random_keep_within_it() {
    // Guards against limits that seem to end again and again, each time for all that waits.
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let upstream = Upstream {
            omitted_part: random.random_range(0.0..0.34),
            ..drawn(&mut random)
        };
        let play = Play::new(upstream, seed).run(60_000);
        play.assert_limit_kept(&format!("seed {seed}"));
    }
}

#[test]
fn ended_limit_gone_soon() {
    // Guards against a limit that stays in force although no answer states it any more.
    for limit_per_1000_s in [200, 400, 1_000, 1_400, 10_000, 30_000] {
        let upstream = Upstream {
            limit_per_1000_s,
            slots: 13,
            answer_ms: 40,
            ended_ms: 20_000,
            ..STEADY
        };
        let play = Play::new(upstream, 1).run(30_000);
        let interval_ms = 1_000_000 / u64::from(limit_per_1000_s.max(500));
        let within_ms = interval_ms.max(1_000) + 1_000;
        let [end_ms] = play.ends_ms[..] else {
            panic!("{limit_per_1000_s}: ended at {:?}", play.ends_ms);
        };
        assert!(
            (20_000..20_000 + within_ms).contains(&end_ms),
            "{limit_per_1000_s}: ended at {end_ms}"
        );
    }
}

#[test]
fn limit_of_an_upstream_that_only_fails_ends() {
    // Guards against a limit that stays for good, because an upstream has no success to end it.
    let upstream = Upstream {
        limit_per_1000_s: 1_000,
        slots: 4,
        answer_ms: 40,
        omission: LimitReport::OmittedByFailure,
        ended_ms: 5_000,
        ..STEADY
    };
    let play = Play::new(upstream, 1).run(40_000);
    assert_eq!(play.ends_ms.len(), 1, "{:?}", play.ends_ms);
}

#[test]
fn unused_starts_at_a_stalled_upstream_are_no_tries() {
    // Guards against an upstream that stays unused because the requests that were to try it had left.
    let mut admission = AdmissionController::default();
    admission.set_upstreams([("i-1".into(), 4)]);
    admission.set_limits([(upstream(), 500)].into_iter().collect(), 0);
    for id in 0..3 {
        admission.enqueue(EntryRef::Local, slot_request(id), 0);
    }
    assert!(admission.next_grant(2_000).is_some());
    assert!(admission.next_grant(4_000).is_some());
    admission.release(EntryRef::Local, upstream(), SlotRelease::Unused);
    assert!(admission.next_grant(4_010).is_some());
}

#[test]
fn limit_used_while_answers_omit_it() {
    // Guards against a limit of which a part stays unused for want of an answer.
    for (limit_per_1000_s, answer_ms) in [(400, 80), (1_400, 80), (1_400, 2_000), (10_000, 800)] {
        let upstream = Upstream {
            limit_per_1000_s,
            slots: 64,
            answer_ms,
            omits_every: Some(3),
            omission: LimitReport::OmittedByFailure,
            ..STEADY
        };
        let play = Play::new(upstream, 1).run(100_000);
        let started = f64::from(u32::try_from(play.started_ms.len()).unwrap());
        let rate_per_s = f64::from(limit_per_1000_s.max(500)) / 1_000.0;
        let used = started / (100.0 * rate_per_s);
        assert!(used >= 0.95, "{limit_per_1000_s}, {answer_ms}: {used}");
    }
}
