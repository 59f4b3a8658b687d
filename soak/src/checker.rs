//! Holds the records against the promises.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use testutils::retry_windows::Allowance;
use testutils::retry_windows::worst_window;

use crate::record::Ended;
use crate::record::Kind;
use crate::record::Records;
use crate::record::Request;
use crate::record::Run;
use crate::versions;

/// Events of every stream.
pub const EVENTS: u64 = 12;
/// Workers that one request may be sent to, by the configuration.
const MAX_UPSTREAMS: usize = 2;
/// Part of the requests after the last fault that has to be served, in percent.
const SERVED_PERCENT: usize = 90;
/// Tries that may reach workers after the last fault, of each request that ends them.
const DEADLY_TRIES: usize = 3;
/// Part of the requests, in percent, and requests beyond it that a version may get that is bad.
const EXPOSED_PERCENT: usize = 10;
const EXPOSED_RUNS: usize = 50;
/// Retries that the settings of the entries allow.
const RETRIES: Allowance = Allowance {
    ratio: 0.2,
    slack_retries: 50.0,
    window_ms: 10_000,
};
/// Name of the one customer.
const CUSTOMER: &str = "rundu";

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Broken {
    /// A request that may run once ran more often.
    RanTwice(String),
    /// A request ran though its caller heard that it has not.
    RanAfterRefusal(String),
    /// An answer belongs to another request or was changed.
    WrongAnswer(String),
    /// A stream lacks events or has some twice, or looks whole and is not.
    WrongStream(String),
    /// A worker ran what nobody sent, or for the wrong customer: its name, method and path.
    Unasked(String),
    /// A request went to more workers than it may.
    TooManyWorkers(String),
    /// A worker that had left got a request.
    AfterLeaving(String),
    /// An entry in touch sent a request to a worker too long after it had left.
    LateAfterLeaving(String),
    /// After the last fault, so many tries still reached workers that end by them.
    DeadlyStillRuns(usize),
    /// A version that fails requests had so many of so many, or had them too late.
    BadVersionUsed {
        /// Requests that reached it within the window.
        runs: usize,
        /// Of all that reached workers.
        of: usize,
        /// Requests that reached it too late.
        late: usize,
    },
    /// A version that fails requests was given all of them.
    BadVersionServes,
    /// A worker that limited its requests got so many more.
    BeyondLimit(usize),
    /// A worker that asked entries for rest got so many requests more in it.
    BeyondRest(usize),
    /// A configuration was not in force in time at so many entries.
    LateConfiguration(usize),
    /// A stream went on at another version than the one that began it.
    MixedVersions(String),
    /// States of an order that do not follow each other, or none at its end.
    WrongStates(Vec<String>),
    /// In one window, workers got more retries than the settings allow all entries together.
    TooManyRetries(usize),
    /// After the last fault too few requests were served.
    NotRecovered {
        /// How many were.
        served: usize,
        /// Of how many.
        asked: usize,
    },
}

/// All promises that the records show to be broken.
#[must_use]
pub fn check(records: &Records) -> Vec<Broken> {
    let mut runs: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in &records.runs {
        runs.entry(&run.id).or_default().push(run);
    }
    let mut broken = Vec::new();
    let mut sent = BTreeSet::new();
    for request in &records.requests {
        sent.insert(request.id.as_str());
        let runs = runs.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
        check_runs(request, runs, &mut broken);
        check_answer(request, &mut broken);
    }
    for run in &records.runs {
        if !sent.contains(run.id.as_str()) || run.customer != CUSTOMER || run.has_key {
            broken.push(Broken::Unasked(format!("{} {}", run.id, run.target)));
        }
        let has_left = records
            .leavings
            .iter()
            .any(|leaving| leaving.worker == run.worker && run.at > leaving.closed);
        if has_left {
            broken.push(Broken::AfterLeaving(run.id.clone()));
        }
    }
    let late = records.late_after_leaving.iter().cloned();
    broken.extend(late.map(Broken::LateAfterLeaving));
    let mixed = versions::mixed_streams(&records.runs).into_iter();
    broken.extend(mixed.map(Broken::MixedVersions));
    check_recovery(records, &mut broken);
    check_deadly(records, &mut broken);
    check_retries(records, &mut broken);
    check_rollout(records, &mut broken);
    if records.beyond_limit > 0 {
        broken.push(Broken::BeyondLimit(records.beyond_limit));
    }
    if records.beyond_rest > 0 {
        broken.push(Broken::BeyondRest(records.beyond_rest));
    }
    if records.late_entries > 0 {
        broken.push(Broken::LateConfiguration(records.late_entries));
    }
    broken.sort();
    broken.dedup();
    broken
}

fn check_runs(request: &Request, runs: &[&Run], broken: &mut Vec<Broken>) {
    let id = || request.id.clone();
    if !request.kind.is_idempotent() && runs.len() > 1 {
        broken.push(Broken::RanTwice(id()));
    }
    let workers: BTreeSet<&str> = runs.iter().map(|run| run.worker.as_str()).collect();
    if workers.len() > MAX_UPSTREAMS {
        broken.push(Broken::TooManyWorkers(id()));
    }
    let is_refused = matches!(
        &request.ended,
        Ended::Answered {
            status: 429 | 503,
            ..
        }
    );
    if is_refused && !runs.is_empty() {
        broken.push(Broken::RanAfterRefusal(id()));
    }
}

fn check_answer(request: &Request, broken: &mut Vec<Broken>) {
    let id = &request.id;
    match (&request.ended, request.kind.is_stream()) {
        (Ended::Answered { status: 200, body }, false) if *body != format!("answer to {id}") => {
            broken.push(Broken::WrongAnswer(id.clone()));
        }
        (Ended::Answered { status: 200, body }, true) if *body != events(EVENTS) => {
            broken.push(Broken::WrongStream(id.clone()));
        }
        (Ended::BrokeOff { body }, true) if !events(EVENTS).starts_with(body.as_str()) => {
            broken.push(Broken::WrongStream(id.clone()));
        }
        _ => {}
    }
}

fn events(count: u64) -> String {
    (1..=count)
        .map(platform_testkit::worker_stand_in::event)
        .collect()
}

fn check_recovery(records: &Records, broken: &mut Vec<Broken>) {
    let Some(healed) = records.healed else {
        return;
    };
    let late: Vec<&Request> = records
        .requests
        .iter()
        .filter(|request| request.sent > healed && !request.is_deadly)
        .collect();
    let is_served =
        |request: &&&Request| matches!(request.ended, Ended::Answered { status: 200, .. });
    let served = late.iter().filter(is_served).count();
    if served * 100 < late.len() * SERVED_PERCENT {
        broken.push(Broken::NotRecovered {
            served,
            asked: late.len(),
        });
    }
}

/// Requests with one body differ by their route, so that each kind is one that the fleet has to know. A
/// part is the same on all routes.
fn check_deadly(records: &Records, broken: &mut Vec<Broken>) {
    let Some(healed) = records.healed else {
        return;
    };
    let late: BTreeSet<&str> = records
        .runs
        .iter()
        .filter(|run| run.at > healed)
        .map(|run| run.id.as_str())
        .collect();
    let is_late = |request: &&Request| request.is_deadly && late.contains(request.id.as_str());
    let late_tries: Vec<&Request> = records.requests.iter().filter(is_late).collect();
    let of_kind = |kind| late_tries.iter().filter(|one| one.kind == kind).count();
    let tries = if records.has_deadly_part {
        vec![late_tries.len()]
    } else {
        Kind::ALL.into_iter().map(of_kind).collect()
    };
    let too_many = tries.into_iter().filter(|tries| *tries > DEADLY_TRIES);
    broken.extend(too_many.map(Broken::DeadlyStillRuns));
}

fn check_retries(records: &Records, broken: &mut Vec<Broken>) {
    let Some(began) = records.requests.iter().map(|request| request.sent).min() else {
        return;
    };
    let since_start_ms = |at: Instant| {
        let elapsed = at.saturating_duration_since(began);
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    };
    let requests = records.requests.iter();
    let requests_ms: Vec<u64> = requests
        .map(|request| since_start_ms(request.sent))
        .collect();
    let mut runs: Vec<&Run> = records.runs.iter().collect();
    runs.sort_by_key(|run| run.at);
    let mut seen = BTreeSet::new();
    let retries_ms: Vec<u64> = runs
        .into_iter()
        .filter(|run| !seen.insert(&run.id))
        .map(|run| since_start_ms(run.at))
        .collect();
    let worst = worst_window(&requests_ms, &retries_ms, RETRIES);
    if let Some(worst) = worst.filter(|worst| worst.excess() > 0.0) {
        broken.push(Broken::TooManyRetries(worst.retries));
    }
}

fn check_rollout(records: &Records, broken: &mut Vec<Broken>) {
    let Some(rollout) = &records.rollout else {
        return;
    };
    let states: Vec<&str> = rollout.states.iter().map(String::as_str).collect();
    let (last, before) = match states.split_last() {
        Some((last, before)) => (*last, before),
        None => ("", &states[..]),
    };
    let is_final = ["completed", "reverted"].contains(&last);
    if !is_final || before.iter().any(|state| *state != "in_progress") {
        broken.push(Broken::WrongStates(rollout.states.clone()));
    }
    if !rollout.is_bad {
        return;
    }
    if last == "completed" {
        broken.push(Broken::BadVersionServes);
    }
    let is_over = rollout.runs_at_new * 100 > rollout.runs * EXPOSED_PERCENT + EXPOSED_RUNS * 100;
    if is_over || rollout.late_runs > 0 {
        broken.push(Broken::BadVersionUsed {
            runs: rollout.runs_at_new,
            of: rollout.runs,
            late: rollout.late_runs,
        });
    }
}

/// How the requests ended, for the report.
#[must_use]
pub fn tally(records: &Records) -> BTreeMap<String, usize> {
    let mut tally = BTreeMap::new();
    for request in &records.requests {
        let kind = match request.kind {
            Kind::Safe => "safe",
            Kind::Unsafe => "unsafe",
            Kind::Stream => "stream",
            Kind::Resumable => "resumable",
        };
        let kind = if request.is_deadly { "deadly" } else { kind };
        let ended = match &request.ended {
            Ended::Answered { status, .. } => status.to_string(),
            Ended::BrokeOff { .. } => "broke off".to_owned(),
            Ended::NoAnswer => "no answer".to_owned(),
        };
        *tally.entry(format!("{kind} {ended}")).or_default() += 1;
    }
    tally
}
