//! The promises as invariants of a fleet under random faults, and a check of the checker.

use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sardinewood::ids::RequestId;
use sardinewood::link::wire::AgentMessage;
use sardinewood::link::wire::AnswerEnd;
use sardinewood::link::wire::Settlement;
use sardinewood_bench::faults::checker::Heard;
use sardinewood_bench::faults::checker::Seen;
use sardinewood_bench::faults::checker::Verdict;
use sardinewood_bench::faults::lives::STEPS;
use sardinewood_bench::faults::plan::FAULT_KINDS;
use sardinewood_bench::faults::plan::Plan;
use sardinewood_bench::faults::plan::Size;
use sardinewood_bench::faults::world::Tamper;
use sardinewood_bench::faults::world::World;

/// How many cases are drawn; more by the environment.
const CASES_VARIABLE: &str = "SARDINEWOOD_PROMISE_CASES";
const CASES: u32 = 24;

fn cases() -> u32 {
    std::env::var(CASES_VARIABLE)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(CASES)
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: cases(),
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    }
}

prop_compose! {
    fn sizes()(
        entries in 1usize..5,
        agents in 3usize..8,
        requests in 20u64..150,
        gap_ms in 5u64..80,
        fault_gap_ms in 60u64..1_500,
    ) -> Size {
        Size { entries, agents, requests, gap_ms, fault_gap_ms, claims: true }
    }
}

proptest! {
    #![proptest_config(config())]

    /// Entries, agents, links and upstreams die, stop, fall silent and come back, often two
    /// of them at once. Whatever the interleaving: each caller hears one last word, no
    /// wrong one, and no upstream begins what it must not.
    #[test]
    fn promises_hold_under_random_faults(seed in any::<u64>(), size in sizes()) {
        let mut world = World::new(&Plan::draw(seed, size));
        let verdict = world.run();
        prop_assert_eq!(verdict.violations(), 0, "{:?}", verdict);
        prop_assert!(verdict.requests >= size.requests, "callers ask again");
    }

    #[test]
    fn promises_need_no_refusal_without_faults(seed in any::<u64>()) {
        let size = Size { requests: 60, gap_ms: 60, fault_gap_ms: 0, ..Size::default() };
        let mut world = World::new(&Plan::draw(seed, size));
        let verdict = world.run();
        prop_assert_eq!(verdict.answered_once, 60, "{:?}", verdict);
    }
}

#[test]
fn faults_meet_every_step() {
    // Every kind of fault comes while requests wait, are on their way to an upstream, run
    // there, have their answer on the way back, and are over but still named. The promises
    // hold through all of them; a pair that is never met would be proved by nothing.
    let size = Size {
        requests: 400,
        gap_ms: 10,
        fault_gap_ms: 60,
        ..Size::default()
    };
    let mut met = indexmap::IndexMap::new();
    for seed in 0..16 {
        let mut world = World::new(&Plan::draw(seed, size));
        let verdict = world.run();
        assert_eq!(verdict.violations(), 0, "seed {seed}: {verdict:?}");
        for (pair, count) in world.met() {
            *met.entry(*pair).or_insert(0) += count;
        }
    }
    for kind in FAULT_KINDS {
        for step in STEPS {
            let count = met.get(&(kind, step)).copied().unwrap_or(0);
            assert!(count > 0, "{kind:?} never met a request that {step:?}");
        }
    }
}

fn loaded_world(seed: u64) -> World {
    let size = Size {
        requests: 200,
        fault_gap_ms: 200,
        ..Size::default()
    };
    World::new(&Plan::draw(seed, size))
}

/// The sum over some seeds of a fleet whose agents say something else than they decided.
fn verdict_of(tamper: Tamper) -> Verdict {
    let mut sum = Verdict::default();
    for seed in 0..8 {
        let mut world = loaded_world(seed);
        world.tamper_with_agents(tamper);
        sum.add(&world.run());
    }
    sum
}

#[test]
fn checker_catches_a_false_word_about_an_attempt() {
    // An agent says "never sent" of attempts that run. Entries believe it: requests are run
    // again elsewhere, and callers hear "not run" of what ran.
    let verdict = verdict_of(|message| match message {
        AgentMessage::Settled { attempt, .. } => AgentMessage::Settled {
            attempt,
            settlement: Settlement::NeverSent,
        },
        other => other,
    });
    assert!(verdict.doubled_dispatches > 0, "{verdict:?}");
    assert!(verdict.non_idempotent_doubles > 0, "{verdict:?}");
}

#[test]
fn checker_catches_an_answer_cut_short() {
    // An agent calls a part of the answer the whole.
    let verdict = verdict_of(|message| match message {
        AgentMessage::Data {
            attempt,
            offset_bytes,
            bytes,
        } => AgentMessage::Data {
            attempt,
            offset_bytes,
            bytes: Bytes::from(vec![b'x'; bytes.len()]),
        },
        AgentMessage::End {
            attempt,
            end: AnswerEnd::Complete { .. },
        } => AgentMessage::End {
            attempt,
            end: AnswerEnd::Cancelled,
        },
        other => other,
    });
    assert_eq!(verdict.answered_once, 0, "{verdict:?}");
}

#[test]
fn checker_catches_a_fleet_without_claims() {
    // Without claims an entry knows nothing of what its neighbours ran. Repetitions of
    // refunds run again, and letters of one counsellor at the same time.
    let mut verdict = Verdict::default();
    for seed in 0..8 {
        let size = Size {
            claims: false,
            fault_gap_ms: 200,
            ..Size::default()
        };
        verdict.add(&World::new(&Plan::draw(seed, size)).run());
    }
    assert!(verdict.non_idempotent_doubles > 0, "{verdict:?}");
    assert!(verdict.order_violations > 0, "{verdict:?}");
}

/// Runs one world, changes what was seen of it, and judges again.
fn verdict_after(change: impl FnOnce(&mut Vec<(u64, Seen)>)) -> Verdict {
    let mut world = loaded_world(3);
    assert_eq!(world.run().violations(), 0);
    let mut record = world.record().clone();
    record.mutate(change);
    record.verdict(world.works())
}

fn position(seen: &[(u64, Seen)], is_wanted: impl Fn(&Seen) -> bool) -> usize {
    seen.iter()
        .position(|(_, one)| is_wanted(one))
        .expect("the run has such an event")
}

fn is_answer(seen: &Seen) -> bool {
    matches!(
        seen,
        Seen::Heard {
            heard: Heard::Answer(_),
            ..
        }
    )
}

#[test]
fn verdict_counts_a_caller_without_a_word() {
    let verdict = verdict_after(|seen| {
        seen.remove(position(seen, is_answer));
    });
    assert_eq!((verdict.lost, verdict.violations()), (1, 1));
}

#[test]
fn verdict_counts_a_part_that_is_called_the_whole() {
    let verdict = verdict_after(|seen| {
        let at = position(seen, is_answer);
        if let Seen::Heard {
            heard: Heard::Answer(body),
            ..
        } = &mut seen[at].1
        {
            body.pop();
        }
    });
    assert_eq!((verdict.wrong_or_partial, verdict.violations()), (1, 1));
}

#[test]
fn verdict_counts_a_second_word() {
    let verdict = verdict_after(|seen| {
        let again = seen[position(seen, is_answer)].clone();
        seen.push(again);
    });
    assert_eq!((verdict.heard_twice, verdict.violations()), (1, 1));
}

#[test]
fn verdict_counts_a_second_start() {
    let verdict = verdict_after(|seen| {
        let at = position(seen, |one| matches!(one, Seen::Started { .. }));
        let again = seen[at].clone();
        seen.push(again);
    });
    assert_eq!(verdict.doubled_dispatches, 1);
}

fn denied(request: RequestId) -> Seen {
    Seen::Heard {
        request,
        heard: Heard::NotRun,
    }
}

#[test]
fn verdict_counts_not_run_of_what_ran_before_or_after() {
    for is_before in [true, false] {
        let verdict = verdict_after(|seen| {
            let at = position(seen, is_answer);
            let Seen::Heard { request, .. } = seen[at].1 else {
                return;
            };
            seen.remove(at);
            let begin = if is_before { 0 } else { seen.len() };
            seen.insert(begin, (0, denied(request)));
        });
        assert_eq!((verdict.false_not_run, verdict.violations()), (1, 1));
    }
}

#[test]
fn verdict_counts_work_on_a_leaving_upstream() {
    let verdict = verdict_after(|seen| {
        let at = position(seen, |one| matches!(one, Seen::Started { .. }));
        let (at_ms, first) = seen[at].clone();
        let Seen::Started { upstream, .. } = first else {
            return;
        };
        seen.retain(|(_, one)| !matches!(one, Seen::Leaving { .. }));
        let leaving = Seen::Leaving {
            upstream,
            leaving: true,
        };
        seen.insert(0, (0, leaving));
        for (time_ms, one) in seen.iter_mut() {
            if matches!(one, Seen::Started { .. }) {
                *time_ms = at_ms + 6_000;
            }
        }
    });
    assert!(verdict.on_leaving > 0);
}

#[test]
fn verdict_counts_a_request_that_a_shutdown_cut_off() {
    let verdict = verdict_after(|seen| {
        let request = RequestId(1);
        seen.push((0, Seen::CutOff { request }));
    });
    assert_eq!((verdict.cut_off, verdict.violations()), (1, 1));
}
