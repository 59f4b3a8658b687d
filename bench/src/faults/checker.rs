//! Judges a run by what callers and engines saw, and by nothing that the decision code says
//! of itself.

use indexmap::IndexMap;
use indexmap::IndexSet;
use sardinewood::ids::RequestId;
use sardinewood::verdict::FailureReason;
use serde::Serialize;

use super::work::Work;
use super::work::WorkId;

/// What a caller saw last of its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Heard {
    /// An answer that was said to be whole.
    Answer(Vec<u8>),
    /// "Not run".
    NotRun,
    /// "Outcome unknown", and why.
    Unknown(FailureReason),
    /// Its entry died: the connection broke.
    ConnectionLost,
}

/// Something that a caller or an engine saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// A caller sent a request.
    Sent { request: RequestId, work: WorkId },
    /// A caller got its last word.
    Heard { request: RequestId, heard: Heard },
    /// An upstream began a request.
    Started {
        request: RequestId,
        work: WorkId,
        upstream: usize,
    },
    /// An upstream ended a request, in any way.
    Stopped { request: RequestId, upstream: usize },
    /// A graceful shutdown ended while a caller waited.
    CutOff { request: RequestId },
    /// The upstream was told to leave, or to stay again.
    Leaving { upstream: usize, leaving: bool },
}

/// Counts of what must not be, and of what the callers heard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Requests that callers sent.
    pub requests: u64,
    /// Requests that were answered, whole and once.
    pub answered_once: u64,
    /// Requests whose caller heard "not run".
    pub not_run: u64,
    /// Requests whose caller heard "outcome unknown".
    pub unknown: u64,
    /// The same, by the reason that the caller was told.
    pub unknown_by_reason: IndexMap<FailureReason, u64>,
    /// Requests whose entry died.
    pub connection_lost: u64,
    /// Requests begun twice by one upstream, or by two at a time.
    pub doubled_dispatches: u64,
    /// Non-idempotent work begun more than once.
    pub non_idempotent_doubles: u64,
    /// Requests without any word.
    pub lost: u64,
    /// Answers that are not what was asked for, or not all of it.
    pub wrong_or_partial: u64,
    /// Requests that ran before or after their caller heard "not run".
    pub false_not_run: u64,
    /// Named work that ran before its caller heard "not run" of a repetition.
    pub false_not_run_of_name: u64,
    /// Ordered work begun while other work of the same order ran.
    pub order_violations: u64,
    /// Requests with two last words.
    pub heard_twice: u64,
    /// Requests in flight that a graceful shutdown cut off.
    pub cut_off: u64,
    /// Work begun by an upstream long after it was told to leave.
    pub on_leaving: u64,
}

impl Verdict {
    /// How many promises were broken.
    #[must_use]
    pub fn violations(&self) -> u64 {
        self.doubled_dispatches
            + self.non_idempotent_doubles
            + self.lost
            + self.wrong_or_partial
            + self.false_not_run
            + self.false_not_run_of_name
            + self.order_violations
            + self.heard_twice
            + self.cut_off
            + self.on_leaving
    }

    /// Adds the counts of another run.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.answered_once += other.answered_once;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        for (reason, count) in &other.unknown_by_reason {
            *self.unknown_by_reason.entry(*reason).or_default() += count;
        }
        self.connection_lost += other.connection_lost;
        self.doubled_dispatches += other.doubled_dispatches;
        self.non_idempotent_doubles += other.non_idempotent_doubles;
        self.lost += other.lost;
        self.wrong_or_partial += other.wrong_or_partial;
        self.false_not_run += other.false_not_run;
        self.false_not_run_of_name += other.false_not_run_of_name;
        self.order_violations += other.order_violations;
        self.heard_twice += other.heard_twice;
        self.cut_off += other.cut_off;
        self.on_leaving += other.on_leaving;
    }
}

/// How long after it was told to leave an upstream may still be given new work.
pub const LEAVING_GRACE_MS: u64 = 5_000;

/// Everything that was seen, in order, with when.
#[derive(Clone, Debug, Default)]
pub struct Record {
    seen: Vec<(u64, Seen)>,
}

impl Record {
    /// Notes what was seen.
    pub fn note(&mut self, now_ms: u64, seen: Seen) {
        self.seen.push((now_ms, seen));
    }

    /// What was seen, oldest first.
    #[must_use]
    pub fn seen(&self) -> &[(u64, Seen)] {
        &self.seen
    }

    /// Changes what was seen; for tests of the checker.
    pub fn mutate(&mut self, change: impl FnOnce(&mut Vec<(u64, Seen)>)) {
        change(&mut self.seen);
    }

    /// The time from a request to its first start, over all that were started.
    #[must_use]
    pub fn start_times_ms(&self) -> Vec<u64> {
        let mut sent = IndexMap::new();
        let mut times = Vec::new();
        for (at_ms, seen) in &self.seen {
            match seen {
                Seen::Sent { request, .. } => {
                    sent.insert(*request, *at_ms);
                }
                Seen::Started { request, .. } => {
                    times.extend(sent.swap_remove(request).map(|sent_ms| at_ms - sent_ms));
                }
                _ => {}
            }
        }
        times
    }

    /// What is true of the run.
    #[must_use]
    pub fn verdict(&self, works: &IndexMap<WorkId, Work>) -> Verdict {
        let mut judge = Judge::default();
        for (at_ms, seen) in &self.seen {
            judge.take(*at_ms, seen, works);
        }
        judge.finish()
    }
}

#[derive(Default)]
struct Judge {
    verdict: Verdict,
    sent: IndexMap<RequestId, WorkId>,
    heard: IndexMap<RequestId, Heard>,
    started: IndexSet<(RequestId, usize)>,
    live: IndexMap<RequestId, usize>,
    runs: IndexMap<WorkId, u64>,
    leaving_since: IndexMap<usize, u64>,
}

impl Judge {
    fn take(&mut self, at_ms: u64, seen: &Seen, works: &IndexMap<WorkId, Work>) {
        match seen {
            Seen::Sent { request, work } => {
                self.verdict.requests += 1;
                self.sent.insert(*request, *work);
            }
            Seen::Heard { request, heard } => self.take_heard(*request, heard, works),
            Seen::Started {
                request,
                work,
                upstream,
            } => self.take_started(at_ms, *request, (*work, *upstream), works),
            Seen::Stopped { request, upstream } => {
                if self.live.get(request) == Some(upstream) {
                    self.live.swap_remove(request);
                }
            }
            Seen::CutOff { .. } => self.verdict.cut_off += 1,
            Seen::Leaving { upstream, leaving } => {
                if *leaving {
                    self.leaving_since.entry(*upstream).or_insert(at_ms);
                } else {
                    self.leaving_since.swap_remove(upstream);
                }
            }
        }
    }

    fn take_heard(&mut self, request: RequestId, heard: &Heard, works: &IndexMap<WorkId, Work>) {
        if self.heard.insert(request, heard.clone()).is_some() {
            self.verdict.heard_twice += 1;
        }
        let work = self.sent.get(&request).and_then(|work| works.get(work));
        match heard {
            Heard::Answer(body) => {
                if work.is_some_and(|work| work.answer() == *body) {
                    self.verdict.answered_once += 1;
                } else {
                    self.verdict.wrong_or_partial += 1;
                }
            }
            Heard::NotRun => {
                self.verdict.not_run += 1;
                let ran = self.started.iter().any(|(other, _)| *other == request);
                self.verdict.false_not_run += u64::from(ran);
                let has_run = work.is_some_and(|work| {
                    work.is_named && work.non_idempotent && self.runs.contains_key(&work.id)
                });
                self.verdict.false_not_run_of_name += u64::from(has_run && !ran);
            }
            Heard::Unknown(reason) => {
                self.verdict.unknown += 1;
                *self.verdict.unknown_by_reason.entry(*reason).or_default() += 1;
            }
            Heard::ConnectionLost => self.verdict.connection_lost += 1,
        }
    }

    fn take_started(
        &mut self,
        at_ms: u64,
        request: RequestId,
        (work, upstream): (WorkId, usize),
        works: &IndexMap<WorkId, Work>,
    ) {
        let is_again = !self.started.insert((request, upstream));
        let is_live = self.live.insert(request, upstream).is_some();
        self.verdict.doubled_dispatches += u64::from(is_again || is_live);
        let runs = self.runs.entry(work).or_default();
        *runs += 1;
        let is_once = works.get(&work).is_some_and(|work| work.non_idempotent);
        self.verdict.non_idempotent_doubles += u64::from(is_once && *runs > 1);
        let order = works.get(&work).and_then(|work| work.order);
        let overlaps = order.is_some()
            && self.live.iter().any(|(other, _)| {
                let other = self.sent.get(other).filter(|other| **other != work);
                other.and_then(|other| works.get(other)?.order) == order
            });
        self.verdict.order_violations += u64::from(overlaps);
        let was_denied = self.heard.get(&request) == Some(&Heard::NotRun);
        self.verdict.false_not_run += u64::from(was_denied);
        let is_late = self
            .leaving_since
            .get(&upstream)
            .is_some_and(|since_ms| at_ms > since_ms + LEAVING_GRACE_MS);
        self.verdict.on_leaving += u64::from(is_late);
    }

    fn finish(mut self) -> Verdict {
        let unheard = self
            .sent
            .keys()
            .filter(|request| !self.heard.contains_key(*request))
            .count();
        self.verdict.lost += unheard as u64;
        self.verdict
    }
}
