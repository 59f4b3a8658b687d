//! Counts what became of each request.

use hdrhistogram::Histogram;
use sardinewood::config::objects::TIER_COUNT;
use serde::Serialize;

use crate::engine_model::PrefillCount;
use crate::workload::Request;

/// Times between tokens above this are counted as this.
const LONGEST_GAP_US: u64 = 60_000_000;
/// Significant digits of times between tokens.
const GAP_DIGITS: u8 = 3;

/// What became of one request.
#[derive(Clone, Debug, Default)]
struct Record {
    tier: usize,
    arrival_us: u64,
    deadline_us: u64,
    appointment: Option<u32>,
    first_token_us: Option<u64>,
    useful_job: Option<u64>,
    answers: u32,
    is_useful: bool,
    is_refused: bool,
    starts: u32,
    prefills: Vec<(u64, PrefillCount)>,
}

/// The outcome of a tier; one line of output.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct TierScore {
    /// The tier.
    pub tier: usize,
    /// Requests that arrived.
    pub offered: u64,
    /// Requests whose whole answer came before the deadline.
    pub completed_useful: u64,
    /// Requests whose callers were told that there will be no answer.
    pub shed: u64,
    /// Requests whose callers left without either.
    pub expired: u64,
    /// Appointments that had a request in the tier.
    pub appointments_offered: u64,
    /// Appointments whose every request was useful.
    pub appointments_completed: u64,
    /// From the arrival to the first token at the engine, where there was one.
    pub p95_first_token_ms: f64,
    /// From one token to the next.
    pub p95_between_tokens_ms: f64,
    /// Prompt tokens computed for no useful answer, or twice.
    pub wasted_prefill_tokens: u64,
    /// Prompt tokens computed.
    pub prefill_tokens: u64,
}

/// What must be 0 at the end of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Violations {
    /// Requests with more than one answer or refusal.
    pub answered_twice: u64,
    /// Non-idempotent requests with more than one attempt.
    pub started_twice: u64,
}

/// The outcome of all requests so far.
#[derive(Debug)]
pub struct Tally {
    records: Vec<Record>,
    non_idempotent: Vec<bool>,
    gaps: Vec<Histogram<u64>>,
    /// Counts that the policy's driver adds to.
    pub violations: Violations,
}

impl Tally {
    /// Nothing has happened yet to these requests.
    ///
    /// # Panics
    ///
    /// Never: the histogram's bounds are constants that it accepts.
    #[must_use]
    pub fn new(requests: &[Request]) -> Self {
        let records = requests.iter().map(|request| Record {
            tier: usize::from(request.tier.0),
            arrival_us: request.arrival_us,
            deadline_us: request.deadline_us,
            appointment: request.appointment,
            ..Record::default()
        });
        let gaps = (0..TIER_COUNT).map(|_| {
            Histogram::new_with_bounds(1, LONGEST_GAP_US, GAP_DIGITS)
                .expect("the bounds are constants")
        });
        Self {
            records: records.collect(),
            non_idempotent: requests.iter().map(|r| r.non_idempotent).collect(),
            gaps: gaps.collect(),
            violations: Violations::default(),
        }
    }

    /// An attempt started.
    pub fn started(&mut self, request: usize) {
        self.records[request].starts += 1;
    }

    /// An engine produced the first token of some attempt.
    pub fn first_token(&mut self, request: usize, at_us: u64) {
        self.records[request].first_token_us.get_or_insert(at_us);
    }

    /// An engine produced more tokens of some attempt.
    pub fn tokens(&mut self, request: usize, count: u32, gap_us: u64) {
        let tier = self.records[request].tier;
        self.gaps[tier].saturating_record_n(gap_us, u64::from(count));
    }

    /// An attempt is over and had done this prompt work.
    pub fn prefill(&mut self, request: usize, job: u64, prefill: PrefillCount) {
        self.records[request].prefills.push((job, prefill));
    }

    /// The whole answer of an attempt reaches the caller.
    pub fn answered(&mut self, request: usize, job: u64, at_us: u64) {
        let record = &mut self.records[request];
        record.answers += 1;
        if at_us <= record.deadline_us && !record.is_refused {
            record.is_useful = true;
            record.useful_job.get_or_insert(job);
        }
    }

    /// The caller is told that there will be no answer.
    pub fn refused(&mut self, request: usize) {
        let record = &mut self.records[request];
        if record.is_refused || record.answers > 0 {
            self.violations.answered_twice += 1;
        }
        record.is_refused = true;
    }

    /// Whether the caller has got something that ends its wait.
    #[must_use]
    pub fn is_settled(&self, request: usize) -> bool {
        let record = &self.records[request];
        record.is_refused || record.answers > 0
    }

    /// The outcome of each tier.
    #[must_use]
    pub fn scores(&self) -> Vec<TierScore> {
        (0..TIER_COUNT).map(|tier| self.score(tier)).collect()
    }

    /// What must be 0.
    #[must_use]
    pub fn violations(&self) -> Violations {
        let mut violations = self.violations;
        for (record, non_idempotent) in self.records.iter().zip(&self.non_idempotent) {
            violations.answered_twice += u64::from(record.answers > 1);
            violations.started_twice += u64::from(*non_idempotent && record.starts > 1);
        }
        violations
    }

    fn score(&self, tier: usize) -> TierScore {
        let records = || self.records.iter().filter(|record| record.tier == tier);
        let count = |holds: fn(&Record) -> bool| records().filter(|r| holds(r)).count() as u64;
        let mut firsts_us: Vec<u64> = records()
            .filter_map(|record| Some(record.first_token_us? - record.arrival_us))
            .collect();
        firsts_us.sort_unstable();
        let prefill = records().flat_map(|record| &record.prefills);
        let (offered_appointments, completed) = self.appointments(tier);
        TierScore {
            tier,
            offered: records().count() as u64,
            completed_useful: count(|record| record.is_useful),
            shed: count(|record| !record.is_useful && record.is_refused),
            expired: count(|record| !record.is_useful && !record.is_refused),
            appointments_offered: offered_appointments,
            appointments_completed: completed,
            p95_first_token_ms: millis(quantile(&firsts_us, 95)),
            p95_between_tokens_ms: millis(self.gaps[tier].value_at_quantile(0.95)),
            wasted_prefill_tokens: records().map(wasted_tokens).sum(),
            prefill_tokens: prefill.map(|(_, count)| count.computed_tokens).sum(),
        }
    }

    fn appointments(&self, tier: usize) -> (u64, u64) {
        let mut appointments = indexmap::IndexMap::new();
        for record in self.records.iter().filter(|record| record.tier == tier) {
            if let Some(appointment) = record.appointment {
                let whole = appointments.entry(appointment).or_insert(true);
                *whole &= record.is_useful;
            }
        }
        let completed = appointments.values().filter(|whole| **whole).count();
        (appointments.len() as u64, completed as u64)
    }
}

fn wasted_tokens(record: &Record) -> u64 {
    let wasted = record.prefills.iter().map(|(job, count)| {
        if record.useful_job == Some(*job) {
            count.repeated_tokens
        } else {
            count.computed_tokens
        }
    });
    wasted.sum()
}

/// The smallest value that `percent` in a hundred do not exceed; 0 of nothing.
fn quantile(sorted: &[u64], percent: usize) -> u64 {
    let rank = (sorted.len() * percent).div_ceil(100);
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0)
}

#[expect(clippy::cast_precision_loss, reason = "times are far below 52 bits")]
fn millis(micros: u64) -> f64 {
    micros as f64 / 1000.0
}
