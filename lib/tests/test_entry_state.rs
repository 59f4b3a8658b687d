//! Tests of the state machine of an entry: at most one live attempt for each request, "not run"
//! only where it is proven, and tiers in order.

use std::sync::Arc;

use bytes::Bytes;
use sardinewood::caller::submission::Named;
use sardinewood::caller::submission::Submission;
use sardinewood::caller::submission::WorkEstimate;
use sardinewood::claims::ClaimDecision;
use sardinewood::claims::idempotency::IdempotencyKey;
use sardinewood::claims::idempotency::RequestDigest;
use sardinewood::claims::object::Holder;
use sardinewood::config::catalog::Catalog;
use sardinewood::config::objects::Activity;
use sardinewood::config::objects::Customer;
use sardinewood::config::objects::Profile;
use sardinewood::config::objects::Target;
use sardinewood::config::objects::Tier;
use sardinewood::config::objects::Upstream;
use sardinewood::entry::admission::QueueLimits;
use sardinewood::entry::retry_budget::RetryBudget;
use sardinewood::entry::state::EntryCounts;
use sardinewood::entry::state::EntryEvent;
use sardinewood::entry::state::EntryRules;
use sardinewood::entry::state::EntryState;
use sardinewood::entry::state::EntryStep;
use sardinewood::entry::state::RequestOutcome;
use sardinewood::ids::AttemptId;
use sardinewood::ids::GrantId;
use sardinewood::ids::Incarnation;
use sardinewood::ids::RequestId;
use sardinewood::link::wire::AgentMessage;
use sardinewood::link::wire::AnswerEnd;
use sardinewood::link::wire::Call;
use sardinewood::link::wire::EntryMessage;
use sardinewood::link::wire::Load;
use sardinewood::link::wire::RefusalReason;
use sardinewood::link::wire::Settlement;
use sardinewood::ordering::queue::OrderKey;
use sardinewood::store::position::StorePosition;
use sardinewood::verdict::Failure;
use sardinewood::verdict::FailureReason;
use sardinewood::verdict::Outcome;

const DEADLINE_MS: u64 = 8_000;

/// An entry with linked agents, and helpers that send it events.
struct Scene {
    entry: EntryState,
    catalog: Catalog,
    grants: u64,
    now_ms: u64,
}

impl Scene {
    fn new(upstreams: &[&str], change: impl FnOnce(&mut EntryRules)) -> Self {
        let mut rules = EntryRules::new("entry-1".into(), "wdh-1".into());
        change(&mut rules);
        let mut scene = Self {
            entry: EntryState::new(rules, 1),
            catalog: catalog(upstreams),
            grants: 0,
            now_ms: 0,
        };
        scene.handle(EntryEvent::CatalogChanged(Arc::new(scene.catalog.clone())));
        for upstream in upstreams {
            scene.link_up(upstream, 1);
        }
        scene
    }

    fn handle(&mut self, event: EntryEvent) -> Vec<EntryStep> {
        self.entry.handle(self.now_ms, event)
    }

    fn link_up(&mut self, agent: &str, incarnation: u64) -> Vec<EntryStep> {
        self.handle(EntryEvent::LinkUp {
            agent: agent.into(),
            incarnation: Incarnation(incarnation),
        })
    }

    fn link_lost(&mut self, agent: &str) -> Vec<EntryStep> {
        self.handle(EntryEvent::LinkLost {
            agent: agent.into(),
        })
    }

    fn deliver(&mut self, agent: &str, message: AgentMessage) -> Vec<EntryStep> {
        self.handle(EntryEvent::Agent {
            agent: agent.into(),
            message,
        })
    }

    fn submit(&mut self, submission: Submission) -> Vec<EntryStep> {
        self.handle(EntryEvent::Submitted(Box::new(submission)))
    }

    fn grant(&mut self, agent: &str, request: u128) -> Vec<EntryStep> {
        self.grants += 1;
        let grant = self.last_grant();
        self.deliver(agent, grant_message(request, grant))
    }

    fn last_grant(&self) -> GrantId {
        GrantId {
            agent: Incarnation(1),
            sequence: self.grants,
        }
    }

    fn end(&mut self, request: u128, number: u32, end: AnswerEnd, passed: bool) -> Vec<EntryStep> {
        self.handle(EntryEvent::Ended {
            attempt: attempt(request, number),
            end,
            passed,
        })
    }

    fn settled(&mut self, agent: &str, request: u128, settlement: Settlement) -> Vec<EntryStep> {
        let attempt = attempt(request, 1);
        self.deliver(
            agent,
            AgentMessage::Settled {
                attempt,
                settlement,
            },
        )
    }

    fn tick(&mut self, now_ms: u64) -> Vec<EntryStep> {
        self.now_ms = now_ms;
        self.handle(EntryEvent::Tick)
    }

    fn assert_nothing_left(&self) {
        let counts = self.entry.counts();
        let none = EntryCounts {
            links: counts.links,
            ..EntryCounts::default()
        };
        assert_eq!(counts, none);
        assert_eq!(self.entry.next_tick_ms(), None, "a timer is left");
    }
}

fn catalog(upstreams: &[&str]) -> Catalog {
    let upstreams = upstreams
        .iter()
        .map(|name| (Arc::from(*name), Arc::new(upstream(name))));
    Catalog {
        revision: StorePosition::new(0, 1),
        upstreams: upstreams.collect(),
        ..Catalog::default()
    }
}

fn upstream(name: &str) -> Upstream {
    serde_json::from_value(serde_json::json!({
        "name": name, "data_centre": "wdh-1", "url": "http://127.0.0.1:1",
        "agent_address": "127.0.0.1:1", "serves": {"models": ["small"]}, "slots": 8,
    }))
    .expect("a valid upstream")
}

fn submission(request: u128, tier: u8) -> Submission {
    let profile: Profile = serde_json::from_value(serde_json::json!({
        "name": "p", "tier": tier, "deadline_ms": DEADLINE_MS,
    }))
    .expect("a valid profile");
    let customer: Customer = serde_json::from_value(serde_json::json!({
        "name": "rundu", "weight": 1, "default_profile": "p", "key_sha256": [],
    }))
    .expect("a valid customer");
    Submission {
        request: RequestId(request),
        target: Target::Model("small".into()),
        profile: Arc::new(profile),
        customer: Arc::new(customer),
        deadline_at_ms: DEADLINE_MS,
        non_idempotent: false,
        named: None,
        order: None,
        appointment: None,
        estimate: WorkEstimate::default(),
        call: Call {
            method: "POST".into(),
            path: "/v1/chat/completions".into(),
            headers: Vec::new(),
            body: Bytes::from_static(b"{}"),
        },
    }
}

fn non_idempotent(request: u128) -> Submission {
    Submission {
        non_idempotent: true,
        ..submission(request, 0)
    }
}

fn named(request: u128) -> Submission {
    let name = IdempotencyKey::new("rundu", "refund-17").expect("a key");
    let digest = RequestDigest::new("POST", "/v1/refunds", b"100");
    Submission {
        named: Some(Named { name, digest }),
        ..submission(request, 0)
    }
}

fn attempt(request: u128, number: u32) -> AttemptId {
    AttemptId {
        request: RequestId(request),
        number,
    }
}

fn grant_message(request: u128, grant: GrantId) -> AgentMessage {
    AgentMessage::Grant {
        request: RequestId(request),
        grant,
        valid_ms: 50,
    }
}

fn broken() -> AnswerEnd {
    AnswerEnd::Broken {
        reason: "reset".into(),
    }
}

fn complete() -> AnswerEnd {
    AnswerEnd::Complete {
        length_bytes: 0,
        checksum: 0,
    }
}

fn dispatches(steps: &[EntryStep]) -> Vec<(&str, AttemptId)> {
    sent(steps, |agent, message| match message {
        EntryMessage::Dispatch { attempt, .. } => Some((agent, *attempt)),
        _ => None,
    })
}

fn declines(steps: &[EntryStep]) -> Vec<GrantId> {
    sent(steps, |_, message| match message {
        EntryMessage::Decline { grant } => Some(*grant),
        _ => None,
    })
}

fn reserves(steps: &[EntryStep]) -> Vec<&str> {
    sent(steps, |agent, message| {
        matches!(message, EntryMessage::Reserve(_)).then_some(agent)
    })
}

fn cancels(steps: &[EntryStep]) -> Vec<AttemptId> {
    sent(steps, |_, message| match message {
        EntryMessage::Cancel { attempt } => Some(*attempt),
        _ => None,
    })
}

fn sent<'a, T>(
    steps: &'a [EntryStep],
    pick: impl Fn(&'a str, &'a EntryMessage) -> Option<T>,
) -> Vec<T> {
    steps
        .iter()
        .filter_map(|step| match step {
            EntryStep::Send { agent, message } => pick(agent, message),
            _ => None,
        })
        .collect()
}

fn failures(steps: &[EntryStep]) -> Vec<(u128, Failure)> {
    steps
        .iter()
        .filter_map(|step| match step {
            EntryStep::Fail { request, failure } => Some((request.0, *failure)),
            _ => None,
        })
        .collect()
}

fn assert_failed(steps: &[EntryStep], outcome: Outcome, reason: FailureReason) {
    let failed: Vec<_> = failures(steps)
        .iter()
        .map(|(_, failure)| (failure.outcome, failure.reason))
        .collect();
    assert_eq!(failed, [(outcome, reason)], "{steps:?}");
}

#[test]
fn submit_asks_four_candidates() {
    let mut scene = Scene::new(&["a", "b", "c", "d", "e", "f"], |_| {});
    let steps = scene.submit(submission(1, 0));
    assert_eq!(reserves(&steps).len(), 4);
    assert_eq!(scene.entry.counts().reservations, 4);
}

#[test]
fn submit_unknown_model_refused() {
    let mut scene = Scene::new(&["a"], |_| {});
    let steps = scene.submit(Submission {
        target: Target::Model("large".into()),
        ..submission(1, 0)
    });
    assert_failed(&steps, Outcome::NotRun, FailureReason::NotServed);
    scene.assert_nothing_left();
}

#[test]
fn grant_first_dispatched_second_declined() {
    let mut scene = Scene::new(&["a", "b"], |_| {});
    scene.submit(submission(1, 0));
    let first = scene.grant("a", 1);
    assert_eq!(dispatches(&first), [("a", attempt(1, 1))]);
    let withdrawn = sent(&first, |agent, message| {
        matches!(message, EntryMessage::Withdraw { .. }).then_some(agent)
    });
    assert_eq!(withdrawn, ["b"]);
    let second = scene.grant("b", 1);
    assert_eq!(declines(&second), [scene.last_grant()]);
    assert!(dispatches(&second).is_empty());
}

#[test]
fn grant_repeated_answered_once() {
    // The link delivers a grant again after its request ended, while another request waits.
    // Using it twice would start a second request in one slot, or the first one twice.
    let mut scene = Scene::new(&["a"], |_| {});
    scene.submit(submission(1, 0));
    scene.grant("a", 1);
    let again = scene.last_grant();
    let steps = scene.deliver("a", grant_message(1, again));
    assert!(steps.is_empty(), "{steps:?}");
}

#[test]
fn grant_without_reservation_declined() {
    let mut scene = Scene::new(&["a"], |_| {});
    let steps = scene.grant("a", 9);
    assert_eq!(declines(&steps), [scene.last_grant()]);
}

#[test]
fn grant_of_draining_upstream_declined() {
    // The entry's configuration already has the upstream as draining, the agent's does not.
    // The upstream must get no new requests although its agent grants them.
    let mut scene = Scene::new(&["a"], |_| {});
    scene.submit(submission(1, 0));
    let mut catalog = scene.catalog.clone();
    let draining = Upstream {
        activity: Activity::Draining,
        ..upstream("a")
    };
    catalog.upstreams.insert("a".into(), Arc::new(draining));
    scene.handle(EntryEvent::CatalogChanged(Arc::new(catalog)));
    let steps = scene.grant("a", 1);
    assert!(dispatches(&steps).is_empty());
    assert_eq!(declines(&steps), [scene.last_grant()]);
}

#[test]
fn ended_not_sent_dispatched_again() {
    let mut scene = Scene::new(&["a"], |_| {});
    scene.submit(non_idempotent(1));
    scene.grant("a", 1);
    assert!(scene.end(1, 1, AnswerEnd::NotSent, false).is_empty());
    let steps = scene.tick(scene.entry.next_tick_ms().expect("a timer to ask again"));
    assert_eq!(reserves(&steps), ["a"]);
    assert_eq!(dispatches(&scene.grant("a", 1)), [("a", attempt(1, 2))]);
}

#[test]
fn ended_broken_moves_to_other_upstream() {
    let mut scene = Scene::new(&["a", "b"], |_| {});
    scene.submit(submission(1, 0));
    scene.grant("a", 1);
    let steps = scene.end(1, 1, broken(), false);
    assert_eq!(reserves(&steps), ["b"]);
    assert_eq!(dispatches(&scene.grant("b", 1)), [("b", attempt(1, 2))]);
    scene.end(1, 2, complete(), true);
    scene.assert_nothing_left();
}

#[test]
fn ended_broken_after_bytes_fails() {
    // The caller has received a part of the first answer. A second answer appended to it would
    // mix the two, so the request fails.
    let mut scene = Scene::new(&["a", "b"], |_| {});
    scene.submit(submission(1, 0));
    scene.grant("a", 1);
    let steps = scene.end(1, 1, broken(), true);
    assert_failed(&steps, Outcome::Unknown, FailureReason::UpstreamFailed);
    scene.assert_nothing_left();
}

#[test]
fn ended_broken_non_idempotent_never_sent_again() {
    for end in [
        broken(),
        AnswerEnd::Cancelled,
        AnswerEnd::Preempted,
        AnswerEnd::InDoubt {
            reason: "timeout".into(),
        },
    ] {
        let mut scene = Scene::new(&["a", "b"], |_| {});
        scene.submit(non_idempotent(1));
        scene.grant("a", 1);
        let steps = scene.end(1, 1, end, false);
        let failed = failures(&steps);
        assert_eq!(failed.len(), 1);
        assert_eq!(failed[0].1.outcome, Outcome::Unknown);
        scene.assert_nothing_left();
    }
}

#[test]
fn ended_broken_everywhere_fails_at_once() {
    let mut scene = Scene::new(&["a"], |_| {});
    scene.submit(submission(1, 0));
    scene.grant("a", 1);
    let steps = scene.end(1, 1, broken(), false);
    assert_failed(&steps, Outcome::Unknown, FailureReason::UpstreamFailed);
    scene.assert_nothing_left();
}

#[test]
fn ended_in_doubt_waits_for_settlement() {
    // The agent was restarted and can't tell whether the engine still runs the attempt.
    // A retry now could be a second live attempt, so the request waits and is retried elsewhere
    // only when the engine has confirmed the end.
    let mut scene = Scene::new(&["a", "b"], |_| {});
    scene.submit(submission(1, 0));
    scene.grant("a", 1);
    let doubt = AnswerEnd::InDoubt {
        reason: "restarted".into(),
    };
    assert!(scene.end(1, 1, doubt, false).is_empty());
    let steps = scene.settled("a", 1, Settlement::Ended);
    assert_eq!(reserves(&steps), ["b"]);
}

#[test]
fn ended_in_doubt_resumes_when_running() {
    let mut scene = Scene::new(&["a", "b"], |_| {});
    scene.submit(submission(1, 0));
    scene.grant("a", 1);
    let doubt = AnswerEnd::InDoubt {
        reason: "restarted".into(),
    };
    scene.end(1, 1, doubt, false);
    let steps = scene.settled("a", 1, Settlement::Running);
    let resume = EntryStep::Resume {
        attempt: attempt(1, 1),
        agent: "a".into(),
    };
    assert_eq!(steps, [resume]);
}

#[test]
fn link_lost_reserves_elsewhere() {
    let mut scene = Scene::new(&["a", "b"], |rules| rules.candidates = 1);
    let steps = scene.submit(submission(1, 0));
    let asked = reserves(&steps)[0].to_owned();
    let steps = scene.link_lost(&asked);
    let others = reserves(&steps);
    assert_eq!(others.len(), 1);
    assert_ne!(others[0], asked);
}

#[test]
fn link_lost_running_is_settled_not_repeated() {
    // The link is lost after the dispatch. It is unknown whether the dispatch arrived, so no
    // other agent is asked; the same agent is queried over the next link.
    let mut scene = Scene::new(&["a", "b"], |_| {});
    scene.submit(submission(1, 0));
    scene.grant("a", 1);
    assert!(scene.link_lost("a").is_empty());
    let steps = scene.link_up("a", 1);
    let settle = EntryMessage::Settle {
        attempt: attempt(1, 1),
        grant: scene.last_grant(),
    };
    let expected = EntryStep::Send {
        agent: "a".into(),
        message: settle,
    };
    assert_eq!(steps, [expected]);
    let steps = scene.settled("a", 1, Settlement::NeverSent);
    let end = EntryStep::End {
        attempt: attempt(1, 1),
        end: AnswerEnd::NotSent,
    };
    assert_eq!(steps, [end]);
}

#[test]
fn submit_expects_the_output_length_of_the_profile() {
    let mut scene = Scene::new(&["lang-1"], |_| {});
    let sized = |request| Submission {
        estimate: WorkEstimate {
            expected_output_tokens: 128,
            max_output_tokens: 1_000,
            ..WorkEstimate::default()
        },
        ..submission(request, 0)
    };
    for request in 1..=10 {
        let steps = scene.submit(sized(request));
        let expected = sent(&steps, |_, message| match message {
            EntryMessage::Reserve(reservation) => Some(reservation.expected_output_tokens),
            _ => None,
        });
        assert_eq!(expected, [if request <= 8 { 128 } else { 40 }]);
        scene.grant("lang-1", request);
        scene.handle(EntryEvent::Measured {
            request: RequestId(request),
            output_tokens: 40,
        });
        scene.end(request, 1, complete(), true);
    }
    scene.assert_nothing_left();
}

#[test]
fn submit_prefers_the_agent_with_the_prefix() {
    let mut scene = Scene::new(&["lang-1", "lang-2", "lang-3"], |rules| {
        rules.candidates = 1;
    });
    let prompt = |request| Submission {
        estimate: WorkEstimate {
            prompt_tokens: 2_000,
            prefix: vec![1, 2, 3, 4],
            ..WorkEstimate::default()
        },
        ..submission(request, 0)
    };
    let first = scene.submit(prompt(1));
    let home = reserves(&first)[0].to_owned();
    scene.grant(&home, 1);
    scene.end(1, 1, complete(), true);
    for request in 2..=5 {
        let steps = scene.submit(prompt(request));
        assert_eq!(reserves(&steps), [home.as_str()]);
        scene.grant(&home, request);
        scene.end(request, 1, complete(), true);
    }
}

#[test]
fn settled_never_sent_by_new_incarnation_is_in_doubt() {
    // The agent was restarted. The new process has not sent the attempt, but the old one may
    // have. Trusting the report "never sent" could start a second live attempt.
    let mut scene = Scene::new(&["a", "b"], |_| {});
    scene.submit(submission(1, 0));
    scene.grant("a", 1);
    scene.link_lost("a");
    scene.link_up("a", 2);
    let steps = scene.settled("a", 1, Settlement::NeverSent);
    assert!(
        matches!(
            steps.as_slice(),
            [EntryStep::End {
                end: AnswerEnd::InDoubt { .. },
                ..
            }]
        ),
        "{steps:?}"
    );
}

#[test]
fn host_gone_moves_idempotent() {
    let mut scene = Scene::new(&["a", "b"], |_| {});
    scene.submit(submission(1, 0));
    scene.grant("a", 1);
    scene.link_lost("a");
    let steps = scene.handle(EntryEvent::HostGone { agent: "a".into() });
    assert!(matches!(steps.as_slice(), [EntryStep::End { .. }]));
    let steps = scene.end(1, 1, broken(), false);
    assert_eq!(reserves(&steps), ["b"]);
}

#[test]
fn deadline_waiting_is_not_run() {
    let mut scene = Scene::new(&["a"], |_| {});
    scene.submit(submission(1, 0));
    let steps = scene.tick(DEADLINE_MS);
    assert_failed(&steps, Outcome::NotRun, FailureReason::DeadlinePassed);
    let late = scene.grant("a", 1);
    assert!(dispatches(&late).is_empty(), "the word holds: {late:?}");
    scene.assert_nothing_left();
}

#[test]
fn deadline_running_cancels_idempotent_only() {
    for (submission, cancelled) in [(submission(1, 0), 1), (non_idempotent(1), 0)] {
        let mut scene = Scene::new(&["a"], |_| {});
        scene.submit(submission);
        scene.grant("a", 1);
        let steps = scene.tick(DEADLINE_MS);
        assert_failed(&steps, Outcome::Unknown, FailureReason::DeadlinePassed);
        assert_eq!(cancels(&steps).len(), cancelled);
        let end = AgentMessage::End {
            attempt: attempt(1, 1),
            end: AnswerEnd::Cancelled,
        };
        scene.deliver("a", end);
        scene.assert_nothing_left();
    }
}

#[test]
fn caller_gone_waiting_withdraws() {
    let mut scene = Scene::new(&["a", "b"], |_| {});
    scene.submit(submission(1, 0));
    scene.handle(EntryEvent::CallerGone {
        request: RequestId(1),
    });
    scene.assert_nothing_left();
}

#[test]
fn caller_gone_running_cancels_and_forgets() {
    let mut scene = Scene::new(&["a"], |_| {});
    scene.submit(submission(1, 0));
    scene.grant("a", 1);
    let steps = scene.handle(EntryEvent::CallerGone {
        request: RequestId(1),
    });
    assert_eq!(cancels(&steps), [attempt(1, 1)]);
    let forget_ms = scene.entry.next_tick_ms().expect("a timer to forget it");
    scene.tick(forget_ms);
    let forget_ms = scene.entry.next_tick_ms();
    if let Some(forget_ms) = forget_ms {
        scene.tick(forget_ms);
    }
    scene.assert_nothing_left();
}

#[test]
fn caller_gone_after_unread_end_forgets_at_once() {
    let mut scene = Scene::new(&["a"], |_| {});
    scene.submit(submission(1, 0));
    scene.grant("a", 1);
    let end = AgentMessage::End {
        attempt: attempt(1, 1),
        end: complete(),
    };
    scene.deliver("a", end);
    let steps = scene.handle(EntryEvent::CallerGone {
        request: RequestId(1),
    });
    assert!(cancels(&steps).is_empty());
    scene.assert_nothing_left();
}

#[test]
fn submit_full_queue_evicts_lowest_tier() {
    // A burst of lookups fills the queue before dispute summaries arrive. The summaries are
    // queued, the youngest lookups fail at once as "not run", and a lookup that arrives later
    // is refused while summaries wait.
    let limits = QueueLimits {
        max_requests: 2,
        max_body_bytes: 1_000,
    };
    let mut scene = Scene::new(&["a"], |rules| rules.queue = limits);
    scene.submit(submission(1, 3));
    scene.now_ms = 1;
    scene.submit(submission(2, 4));
    for (request, gives_way) in [(3, 2), (4, 1)] {
        let steps = scene.submit(submission(request, 0));
        assert_failed(&steps, Outcome::NotRun, FailureReason::GaveWay);
        assert_eq!(failures(&steps)[0].0, gives_way);
        assert!(failures(&steps)[0].1.retry_after_ms.is_some());
    }
    let steps = scene.submit(submission(5, 1));
    assert_failed(&steps, Outcome::NotRun, FailureReason::QueueFull);
    let steps = scene.submit(submission(6, 0));
    assert_failed(&steps, Outcome::NotRun, FailureReason::QueueFull);
    assert_eq!(scene.entry.counts().waiting, 2);
}

#[test]
fn refused_crowded_asks_again() {
    let mut scene = Scene::new(&["a", "b"], |rules| rules.candidates = 1);
    let steps = scene.submit(submission(1, 0));
    let first = reserves(&steps)[0].to_owned();
    let refuse = AgentMessage::Refuse {
        request: RequestId(1),
        reason: RefusalReason::Crowded,
        retry_after_ms: 300,
    };
    let steps = scene.deliver(&first, refuse.clone());
    let second = reserves(&steps)[0].to_owned();
    assert_ne!(first, second);
    assert!(failures(&scene.deliver(&second, refuse)).is_empty());
    let steps = scene.tick(scene.entry.next_tick_ms().expect("a timer to ask again"));
    assert!(reserves(&steps).is_empty(), "not before the time it named");
    let steps = scene.tick(300);
    assert_eq!(reserves(&steps).len(), 1);
}

#[test]
fn refused_too_late_everywhere_fails() {
    let mut scene = Scene::new(&["a", "b"], |_| {});
    scene.submit(submission(1, 0));
    let refuse = AgentMessage::Refuse {
        request: RequestId(1),
        reason: RefusalReason::TooLate,
        retry_after_ms: 0,
    };
    assert!(failures(&scene.deliver("a", refuse.clone())).is_empty());
    let steps = scene.deliver("b", refuse);
    assert_failed(&steps, Outcome::NotRun, FailureReason::TooLate);
    scene.assert_nothing_left();
}

#[test]
fn shut_down_keeps_requests_queued_until_grace_period_ends() {
    let mut scene = Scene::new(&["a"], |_| {});
    scene.submit(submission(1, 0));
    scene.submit(submission(2, 0));
    scene.handle(EntryEvent::ShutDown);
    assert!(!scene.entry.is_ready());
    let steps = scene.submit(submission(3, 0));
    assert_failed(&steps, Outcome::NotRun, FailureReason::ShuttingDown);
    assert_eq!(dispatches(&scene.grant("a", 1)).len(), 1);
    let steps = scene.handle(EntryEvent::GracePeriodEnded);
    assert_failed(&steps, Outcome::NotRun, FailureReason::ShuttingDown);
    assert!(!scene.entry.is_drained(), "the first one still runs");
    scene.end(1, 1, complete(), true);
    assert!(scene.entry.is_drained());
}

/// Guards against a request that waits again after the grace period and is dropped at the exit.
#[test]
fn never_sent_after_grace_period_fails_as_not_run() {
    let mut scene = Scene::new(&["a"], |_| {});
    scene.submit(submission(1, 0));
    scene.grant("a", 1);
    scene.handle(EntryEvent::ShutDown);
    scene.handle(EntryEvent::GracePeriodEnded);
    let steps = scene.end(1, 1, AnswerEnd::NotSent, false);
    assert_failed(&steps, Outcome::NotRun, FailureReason::ShuttingDown);
    assert!(scene.entry.is_drained());
}

/// Guards against requests in any phase whose callers get no answer when the entry exits.
#[test]
fn shutdown_timed_out_fails_all() {
    let mut scene = Scene::new(&["a"], |_| {});
    scene.submit(submission(1, 0));
    scene.grant("a", 1);
    scene.submit(submission(2, 0));
    scene.handle(EntryEvent::ShutDown);
    let steps = scene.handle(EntryEvent::ShutdownTimedOut);
    let failures = failures(&steps);
    let outcomes: Vec<Outcome> = failures
        .iter()
        .map(|(_, failure)| failure.outcome)
        .collect();
    assert_eq!(outcomes, [Outcome::Unknown, Outcome::NotRun], "{steps:?}");
    assert!(scene.entry.is_drained());
}

/// Returns the claim holder for an attempt with the last grant of agent `a`.
fn holder(scene: &Scene, request: u128, number: u32) -> Holder {
    Holder {
        attempt: attempt(request, number),
        agent: "a".into(),
        grant: scene.last_grant(),
    }
}

fn claims(steps: &[EntryStep]) -> Vec<&Holder> {
    steps
        .iter()
        .filter_map(|step| match step {
            EntryStep::Claim(asked) => Some(&asked.holder),
            _ => None,
        })
        .collect()
}

fn begins(steps: &[EntryStep]) -> Vec<(u128, AttemptId)> {
    steps
        .iter()
        .filter_map(|step| match step {
            EntryStep::Begin {
                request, attempt, ..
            } => Some((request.0, *attempt)),
            _ => None,
        })
        .collect()
}

fn settles(steps: &[EntryStep]) -> Vec<AttemptId> {
    sent(steps, |_, message| match message {
        EntryMessage::Settle { attempt, .. } => Some(*attempt),
        _ => None,
    })
}

fn decided(request: u128, decision: ClaimDecision) -> EntryEvent {
    EntryEvent::Claimed {
        request: RequestId(request),
        decision,
    }
}

/// Sets up a request that follows the attempt of another request, which won the claim.
fn following(submission: Submission) -> (Scene, Holder, Vec<EntryStep>) {
    let mut scene = Scene::new(&["a"], |rules| rules.claims = true);
    scene.submit(submission);
    scene.grant("a", 1);
    let other = holder(&scene, 7, 1);
    let steps = scene.handle(decided(1, ClaimDecision::Follow(other.clone())));
    (scene, other, steps)
}

#[test]
fn claimed_grant_held_until_won() {
    let mut scene = Scene::new(&["a"], |rules| rules.claims = true);
    scene.submit(named(1));
    let steps = scene.grant("a", 1);
    assert!(dispatches(&steps).is_empty());
    assert_eq!(claims(&steps), [&holder(&scene, 1, 1)]);
    let steps = scene.handle(decided(1, ClaimDecision::Dispatch));
    assert_eq!(dispatches(&steps), [("a", attempt(1, 1))]);
    let steps = scene.end(1, 1, complete(), true);
    let finished = EntryStep::Finished {
        request: RequestId(1),
        order: None,
        outcome: RequestOutcome::Answered,
    };
    assert_eq!(steps, [finished]);
}

#[test]
fn claim_failed_after_an_attempt_is_unknown() {
    // The first attempt runs and breaks. The store refuses the claim of the retry, which the
    // claims component reports as "not run". The caller must be told that its request may have
    // run.
    let mut scene = Scene::new(&["a", "b"], |rules| rules.claims = true);
    scene.submit(named(1));
    scene.grant("a", 1);
    scene.handle(decided(1, ClaimDecision::Dispatch));
    let broken = AnswerEnd::Broken { reason: "".into() };
    scene.end(1, 1, broken, false);
    scene.grant("b", 1);
    let failure = Failure::not_run(FailureReason::StoreDown);
    let steps = scene.handle(decided(1, ClaimDecision::Fail(failure)));
    assert_failed(&steps, Outcome::Unknown, FailureReason::StoreDown);
}

#[test]
fn refusal_of_a_named_refund_is_confirmed_first() {
    // A refund has run through another entry, whose answer was lost. Its caller repeats it
    // here while this entry shuts down. "Not run" would be true of this entry only, so the
    // store is checked before the caller is told anything.
    let mut scene = Scene::new(&["a"], |rules| rules.claims = true);
    scene.handle(EntryEvent::ShutDown);
    let refund = Submission {
        non_idempotent: true,
        ..named(1)
    };
    let steps = scene.submit(refund);
    assert!(failures(&steps).is_empty(), "{steps:?}");
    assert!(
        matches!(steps[..], [EntryStep::ConfirmNotRun { .. }]),
        "{steps:?}"
    );
    assert!(!scene.entry.is_drained(), "its caller still waits");
    let failure = Failure::unknown(FailureReason::ShuttingDown);
    let steps = scene.handle(decided(1, ClaimDecision::Fail(failure)));
    assert_failed(&steps, Outcome::Unknown, FailureReason::ShuttingDown);
    assert!(scene.entry.is_drained());
}

#[test]
fn claimed_link_lost_meanwhile_not_dispatched() {
    // The claim is decided after the link to the granting agent was lost. The grant is lost
    // with the link, so it must not be used; the next grant claims again.
    let mut scene = Scene::new(&["a"], |rules| rules.claims = true);
    scene.submit(named(1));
    scene.grant("a", 1);
    scene.link_lost("a");
    let steps = scene.handle(decided(1, ClaimDecision::Dispatch));
    assert!(dispatches(&steps).is_empty());
    scene.link_up("a", 1);
    let steps = scene.grant("a", 1);
    assert_eq!(claims(&steps), [&holder(&scene, 1, 1)]);
}

#[test]
fn claimed_elsewhere_follows_and_settles_first() {
    // The caller's first request runs through another entry. This entry must not dispatch the
    // repeated one: it declines the grant, queries the agent for the state of the attempt, and
    // reads its answer.
    let (mut scene, _, steps) = following(named(1));
    assert!(dispatches(&steps).is_empty());
    assert_eq!(declines(&steps), [scene.last_grant()]);
    assert_eq!(settles(&steps), [attempt(7, 1)]);
    let steps = scene.settled("a", 7, Settlement::Finished);
    assert_eq!(begins(&steps), [(1, attempt(7, 1))]);
    let ended = EntryEvent::FollowerEnded {
        request: RequestId(1),
        end: complete(),
        passed: true,
    };
    scene.handle(ended);
    assert_eq!(scene.entry.counts().running, 0);
}

#[test]
fn followed_never_sent_is_taken_over() {
    let (mut scene, other, _) = following(named(1));
    let steps = scene.settled("a", 7, Settlement::NeverSent);
    assert_eq!(reserves(&steps), ["a"]);
    let steps = scene.grant("a", 1);
    let settled = steps.iter().find_map(|step| match step {
        EntryStep::Claim(asked) => asked.settled.clone(),
        _ => None,
    });
    assert_eq!(settled, Some(other), "the claim says what it replaces");
}

#[test]
fn followed_ended_non_idempotent_is_unknown() {
    let (mut scene, ..) = following(Submission {
        non_idempotent: true,
        ..named(1)
    });
    let steps = scene.settled("a", 7, Settlement::Ended);
    assert_failed(&steps, Outcome::Unknown, FailureReason::AnswerGone);
}

#[test]
fn followed_past_deadline_is_unknown() {
    // Nothing was dispatched for the repeated request, but the original one runs. "Not run"
    // would be wrong for the request that the caller means.
    let (mut scene, ..) = following(named(1));
    let steps = scene.tick(DEADLINE_MS);
    assert_failed(&steps, Outcome::Unknown, FailureReason::DeadlinePassed);
}

#[test]
fn submit_repeated_name_follows_the_run() {
    // The caller repeats its request through the same entry while the first one runs, and
    // again when it has finished. Each time it gets the same answer; nothing more is dispatched.
    let mut scene = Scene::new(&["a", "b"], |_| {});
    scene.submit(named(1));
    scene.grant("a", 1);
    let steps = scene.submit(named(2));
    assert!(reserves(&steps).is_empty());
    assert_eq!(settles(&steps), [attempt(1, 1)]);
    let steps = scene.settled("a", 1, Settlement::Running);
    assert_eq!(begins(&steps), [(2, attempt(1, 1))]);
    scene.end(1, 1, complete(), true);
    let steps = scene.submit(named(3));
    assert!(reserves(&steps).is_empty());
    assert_eq!(settles(&steps), [attempt(1, 1)]);
}

#[test]
fn submit_repeated_name_waiting_runs_once() {
    let mut scene = Scene::new(&["a", "b"], |_| {});
    scene.submit(named(1));
    scene.submit(named(2));
    assert_eq!(dispatches(&scene.grant("a", 1)).len(), 1);
    let steps = scene.grant("b", 2);
    assert!(dispatches(&steps).is_empty());
    assert_eq!(declines(&steps), [scene.last_grant()]);
    assert_eq!(settles(&steps), [attempt(1, 1)]);
}

#[test]
fn submit_name_with_other_body_refused() {
    let mut scene = Scene::new(&["a"], |_| {});
    scene.submit(named(1));
    let digest = RequestDigest::new("POST", "/v1/refunds", b"900");
    let named = named(2).named.map(|known| Named { digest, ..known });
    let steps = scene.submit(Submission {
        named,
        ..submission(2, 0)
    });
    assert_failed(&steps, Outcome::NotRun, FailureReason::KeyReused);
}

#[test]
fn caller_gone_named_cancelled_after_grace() {
    let mut scene = Scene::new(&["a"], |_| {});
    scene.submit(named(1));
    scene.grant("a", 1);
    let steps = scene.handle(EntryEvent::CallerGone {
        request: RequestId(1),
    });
    assert!(cancels(&steps).is_empty(), "it may come back");
    let steps = scene.tick(4_000);
    assert_eq!(cancels(&steps), [attempt(1, 1)]);
}

#[test]
fn caller_gone_named_goes_on_for_follower() {
    // The caller's connection breaks, and it repeats the request with the same key within the
    // grace period. The run that the first connection started must go on.
    let mut scene = Scene::new(&["a"], |_| {});
    scene.submit(named(1));
    scene.grant("a", 1);
    scene.handle(EntryEvent::CallerGone {
        request: RequestId(1),
    });
    scene.submit(named(2));
    scene.settled("a", 1, Settlement::Running);
    let steps = scene.tick(4_000);
    assert!(cancels(&steps).is_empty());
    let steps = scene.handle(EntryEvent::CallerGone {
        request: RequestId(2),
    });
    assert_eq!(cancels(&steps), [attempt(1, 1)], "now nobody waits");
}

#[test]
fn turn_awaited_before_reservation() {
    let mut scene = Scene::new(&["a"], |rules| rules.turns = true);
    let order = OrderKey::new("kowalczyk", "counsellor-4").expect("a key");
    let ordered = Submission {
        order: Some(order),
        ..named(1)
    };
    let steps = scene.submit(ordered);
    assert!(reserves(&steps).is_empty());
    assert!(matches!(steps.as_slice(), [EntryStep::AwaitTurn { .. }]));
    let steps = scene.handle(EntryEvent::TurnDecided {
        request: RequestId(1),
        refused: None,
    });
    assert_eq!(reserves(&steps), ["a"]);
}

#[test]
fn catalog_removed_upstream_reserves_elsewhere() {
    let mut scene = Scene::new(&["a", "b"], |rules| rules.candidates = 1);
    let steps = scene.submit(submission(1, 0));
    let asked = reserves(&steps)[0].to_owned();
    let mut catalog = scene.catalog.clone();
    catalog.upstreams.shift_remove(asked.as_str());
    let steps = scene.handle(EntryEvent::CatalogChanged(Arc::new(catalog)));
    assert_eq!(reserves(&steps).len(), 1);
    assert_ne!(reserves(&steps)[0], asked);
    assert_eq!(scene.entry.counts().reservations, 1);
}

#[test]
fn explain_names_each_decision() {
    let mut scene = Scene::new(&["a"], |rules| rules.remembered_requests = 2);
    scene.submit(submission(1, 0));
    scene.grant("a", 1);
    scene.end(1, 1, broken(), false);
    let remembered = scene.entry.explain(RequestId(1)).expect("it is remembered");
    let words: Vec<_> = remembered
        .decisions
        .iter()
        .map(|(_, decided)| decided.what())
        .collect();
    let expected = [
        "admitted",
        "asked a for a grant",
        "dispatched attempt 1 to a",
        "attempt 1 ended",
        "failed",
    ];
    assert_eq!(words, expected);
    scene.grant("a", 9);
    assert!(scene.entry.explain(RequestId(9)).is_none());
    scene.submit(submission(2, 0));
    scene.submit(submission(3, 0));
    assert!(
        scene.entry.explain(RequestId(1)).is_none(),
        "the oldest goes"
    );
}

fn limited(request: u128, limits: &serde_json::Value) -> Submission {
    let profile = serde_json::json!({
        "name": "p", "tier": 0, "deadline_ms": DEADLINE_MS, "limits": limits,
    });
    Submission {
        profile: Arc::new(serde_json::from_value(profile).expect("a valid profile")),
        ..submission(request, 0)
    }
}

#[test]
fn submit_over_rate_refused() {
    let mut scene = Scene::new(&["a"], |_| {});
    let limits = serde_json::json!({"requests_per_min": 12});
    assert!(failures(&scene.submit(limited(1, &limits))).is_empty());
    let steps = scene.submit(limited(2, &limits));
    assert_failed(&steps, Outcome::NotRun, FailureReason::LimitReached);
    assert_eq!(failures(&steps)[0].1.retry_after_ms, Some(5_000));
    scene.now_ms = 5_000;
    assert!(failures(&scene.submit(limited(3, &limits))).is_empty());
}

#[test]
fn submit_over_concurrency_limit_is_parked() {
    let mut scene = Scene::new(&["a"], |_| {});
    let limits = serde_json::json!({"concurrent": 1});
    scene.submit(limited(1, &limits));
    let steps = scene.submit(limited(2, &limits));
    assert!(reserves(&steps).is_empty());
    scene.grant("a", 1);
    let steps = scene.end(1, 1, complete(), true);
    assert_eq!(reserves(&steps), ["a"]);
    scene.grant("a", 2);
    scene.end(2, 1, complete(), true);
    scene.assert_nothing_left();
}

#[test]
fn limits_are_shared_by_entries() {
    // The agent reports four entries, so each of them enforces a quarter of the limit.
    let mut scene = Scene::new(&["a"], |_| {});
    let load = Load {
        entries: 4,
        ..Load::default()
    };
    let heartbeat = AgentMessage::Heartbeat {
        sequence: 1,
        revision: StorePosition::new(0, 1),
        load,
    };
    scene.deliver("a", heartbeat);
    let limits = serde_json::json!({"concurrent": 8});
    for request in 1..=2 {
        assert_eq!(reserves(&scene.submit(limited(request, &limits))).len(), 1);
    }
    assert!(reserves(&scene.submit(limited(3, &limits))).is_empty());
}

#[test]
fn reserve_marks_started_appointment() {
    let mut scene = Scene::new(&["a"], |_| {});
    let of_appointment = |request| Submission {
        appointment: Some("household-9".into()),
        ..submission(request, 0)
    };
    let started = |steps: &[EntryStep]| {
        sent(steps, |_, message| match message {
            EntryMessage::Reserve(reservation) => Some(reservation.started_appointment),
            _ => None,
        })
    };
    assert_eq!(started(&scene.submit(of_appointment(1))), [false]);
    scene.grant("a", 1);
    assert_eq!(started(&scene.submit(of_appointment(2))), [true]);
    assert_eq!(started(&scene.submit(submission(3, 0))), [false]);
}

#[test]
fn links_go_to_other_data_centres_too() {
    // All agents of the own data centre are lost with it. An entry with links to only these
    // could not place requests until the configuration changes.
    let mut scene = Scene::new(&[], |rules| rules.links.max_links = 8);
    let mut catalog = Catalog::default();
    for number in 0..16 {
        let name: Arc<str> = format!("lang-{number}").into();
        let far = if number < 8 { "wdh-1" } else { "wdh-2" };
        let upstream = Upstream {
            data_centre: far.into(),
            ..upstream(&name)
        };
        catalog.upstreams.insert(name, Arc::new(upstream));
    }
    let steps = scene.handle(EntryEvent::CatalogChanged(Arc::new(catalog.clone())));
    let dialled: Vec<_> = steps
        .iter()
        .filter_map(|step| match step {
            EntryStep::Dial { agent, .. } => catalog.upstreams.get(agent),
            _ => None,
        })
        .collect();
    let far = dialled
        .iter()
        .filter(|upstream| &*upstream.data_centre == "wdh-2");
    assert_eq!(dialled.len(), 8);
    assert!((1..=2).contains(&far.count()));
}

/// Guards against a full retry budget for each start of an entry: entries that restart in an overload would
/// sustain it.
#[test]
fn retry_budget_restarted_entries_retry_little_more() {
    const RESTARTS: u32 = 10;
    let mut retries = 0;
    let mut requests = 0;
    for _ in 0..RESTARTS {
        let mut budget = RetryBudget::default();
        for _ in 0..100 {
            requests += 1;
            budget.earn(Tier(2));
            if budget.allows(Tier(2)) {
                budget.spend(Tier(2));
                retries += 1;
            }
        }
    }
    assert!(retries <= requests / 5 + 10 * RESTARTS, "{retries}");
    assert!(retries >= requests / 5, "{retries}");
}
