//! Attempts at an agent: each is sent at most once and never wrongly reported as not sent.

use sardinewood::agent::events::AgentEvent;
use sardinewood::agent::events::AgentStep;
use sardinewood::agent::events::CallProgress;
use sardinewood::agent::events::LinkId;
use sardinewood::agent::state::AgentLimits;
use sardinewood::config::objects::Serves;
use sardinewood::config::objects::Target;
use sardinewood::config::objects::Upstream;
use sardinewood::ids::AttemptId;
use sardinewood::ids::GrantId;
use sardinewood::ids::Incarnation;
use sardinewood::ids::RequestId;
use sardinewood::link::wire::AnswerEnd;
use sardinewood::link::wire::EntryMessage;
use sardinewood::link::wire::RefusalReason;
use sardinewood::link::wire::Reservation;
use sardinewood::link::wire::Settlement;
use sardinewood::upstream::report::Found;

use crate::agent_fixture::Fixture;
use crate::agent_fixture::INCARNATION;
use crate::agent_fixture::LINK;
use crate::agent_fixture::attempt;
use crate::agent_fixture::call;
use crate::agent_fixture::cancelled;
use crate::agent_fixture::complete;
use crate::agent_fixture::granted;
use crate::agent_fixture::is_not_sent;
use crate::agent_fixture::only_grant;
use crate::agent_fixture::opened;
use crate::agent_fixture::refused;
use crate::agent_fixture::reservation;
use crate::agent_fixture::settlements;
use crate::agent_fixture::upstream;

const NEW_LINK: LinkId = LinkId(2);

fn own_grant(sequence: u64) -> GrantId {
    GrantId {
        agent: INCARNATION,
        sequence,
    }
}

fn earlier_grant() -> GrantId {
    GrantId {
        agent: Incarnation(6),
        sequence: 0,
    }
}

fn in_doubt() -> AnswerEnd {
    AnswerEnd::InDoubt {
        reason: "the connection broke".into(),
    }
}

#[test]
fn dispatch_repeated_is_opened_once_and_settled() {
    // The network duplicates a dispatch. A second call would run the request twice, and
    // `NotSent` would make the entry run it at another upstream while it runs here.
    let mut fixture = Fixture::new(2);
    let grant = fixture.run(reservation(1, 0));
    let steps = fixture.dispatch(grant, attempt(1));
    assert_eq!(opened(&steps), 0);
    assert!(!is_not_sent(&steps));
    assert_eq!(settlements(&steps), [Settlement::Running]);
}

#[test]
fn dispatch_second_attempt_of_a_sent_request_is_not_sent() {
    let mut fixture = Fixture::new(2);
    let first = only_grant(&fixture.reserve(reservation(1, 0)));
    let second = only_grant(&fixture.reserve(reservation(1, 0)));
    fixture.dispatch(first, attempt(1));
    let next = AttemptId {
        request: RequestId(1),
        number: 2,
    };
    let steps = fixture.dispatch(second, next);
    assert_eq!(opened(&steps), 0);
    assert!(is_not_sent(&steps));
}

#[test]
fn dispatch_with_the_grant_of_another_request_is_not_sent() {
    let mut fixture = Fixture::new(2);
    let grant = only_grant(&fixture.reserve(reservation(1, 0)));
    assert!(is_not_sent(&fixture.dispatch(grant, attempt(2))));
}

#[test]
fn reserve_request_that_was_sent_here_is_refused() {
    let mut fixture = Fixture::new(2);
    fixture.run(reservation(1, 0));
    fixture.end(attempt(1), AnswerEnd::Cancelled);
    let steps = fixture.reserve(reservation(1, 0));
    assert_eq!(refused(&steps), [(1, RefusalReason::AlreadySent)]);
}

#[test]
fn end_not_sent_lets_the_request_come_again() {
    let mut fixture = Fixture::new(2);
    fixture.run(reservation(1, 0));
    fixture.progress(attempt(1), CallProgress::NoConnection);
    fixture.end(attempt(1), AnswerEnd::NotSent);
    let steps = fixture.reserve(reservation(1, 0));
    assert_eq!(refused(&steps), [(1, RefusalReason::UpstreamDown)]);
    fixture.probe_alive(&[]);
    assert_eq!(granted(&fixture.reserve(reservation(1, 0))), [1]);
}

#[test]
fn settle_before_a_delayed_dispatch_rejects_it() {
    // The entry loses its link after it sent the dispatch, reconnects and asks. It gets
    // `NeverSent` and may run the request at another upstream. Then the delayed dispatch
    // arrives on the old link and must not run.
    let mut fixture = Fixture::new(2);
    let grant = only_grant(&fixture.reserve(reservation(1, 0)));
    fixture.step(AgentEvent::LinkUp { link: NEW_LINK });
    let settle = EntryMessage::Settle {
        attempt: attempt(1),
        grant,
    };
    let steps = fixture.send_on(NEW_LINK, settle);
    assert_eq!(settlements(&steps), [Settlement::NeverSent]);
    let steps = fixture.dispatch(grant, attempt(1));
    assert_eq!(opened(&steps), 0);
    assert!(is_not_sent(&steps));
}

#[test]
fn settle_tells_how_an_attempt_went_on() {
    let mut fixture = Fixture::new(2);
    let grant = fixture.run(reservation(1, 0));
    let settle = |fixture: &mut Fixture| settlements(&fixture.settle(attempt(1), grant));
    assert_eq!(settle(&mut fixture), [Settlement::Running]);
    fixture.end(attempt(1), complete(10));
    assert_eq!(settle(&mut fixture), [Settlement::Finished]);
    fixture.progress(attempt(1), CallProgress::Acknowledged);
    assert_eq!(settle(&mut fixture), [Settlement::Ended]);
}

#[test]
fn settle_dropped_record_asks_the_upstream_in_place_of_guessing() {
    // The record of an attempt that ran has expired. `NeverSent` would be wrong.
    let limits = AgentLimits {
        record_limit: 0,
        ..AgentLimits::default()
    };
    let mut fixture = Fixture::with_limits(1, limits);
    let grant = fixture.run(reservation(1, 0));
    fixture.end(attempt(1), complete(10));
    fixture.progress(attempt(1), CallProgress::Acknowledged);
    fixture.tick(600_000);
    let steps = fixture.settle(attempt(1), grant);
    assert_eq!(settlements(&steps), []);
    assert!(matches!(steps[..], [AgentStep::Investigate { .. }]));
    let later = own_grant(grant.sequence + 1);
    let steps = fixture.settle(attempt(2), later);
    assert_eq!(settlements(&steps), [Settlement::NeverSent]);
}

#[test]
fn settle_of_an_earlier_incarnation_asks_the_engine_first() {
    // The agent was restarted while its engine kept running. The new incarnation can't know
    // what the earlier one sent, so it queries the engine before it answers.
    for (found, settlement) in [
        (Found::Running, Settlement::Running),
        (Found::Finished, Settlement::Finished),
        (Found::Gone, Settlement::Ended),
        (Found::Unclear, Settlement::InDoubt),
    ] {
        let mut fixture = Fixture::new(2);
        let steps = fixture.settle(attempt(1), earlier_grant());
        assert_eq!(settlements(&steps), []);
        assert!(matches!(steps[..], [AgentStep::Investigate { .. }]));
        let steps = fixture.step(AgentEvent::Investigated {
            attempt: attempt(1),
            found,
        });
        assert_eq!(settlements(&steps), [settlement]);
        let adopts = steps
            .iter()
            .any(|step| matches!(step, AgentStep::AdoptCall { .. }));
        let is_there = matches!(found, Found::Running | Found::Finished);
        assert_eq!(adopts, is_there);
    }
}

#[test]
fn settle_of_an_earlier_incarnation_at_a_plain_service_stays_in_doubt() {
    let mut fixture = Fixture::new(2);
    fixture.change(Upstream {
        serves: Serves::Service("refunds".into()),
        ..upstream(2)
    });
    let steps = fixture.settle(attempt(1), earlier_grant());
    assert_eq!(settlements(&steps), [Settlement::InDoubt]);
    let steps = fixture.settle(attempt(1), earlier_grant());
    assert_eq!(settlements(&steps), [Settlement::InDoubt]);
    assert_eq!(fixture.tick(5_000), []);
}

#[test]
fn end_in_doubt_holds_the_slot_until_the_engine_confirms() {
    let mut fixture = Fixture::new(1);
    let grant = fixture.run(reservation(1, 0));
    fixture.end(attempt(1), in_doubt());
    assert_eq!(granted(&fixture.reserve(reservation(2, 0))), []);
    let steps = fixture.tick(1_000);
    assert!(
        matches!(steps[..], [AgentStep::Investigate { .. }]),
        "{steps:?}"
    );
    let steps = fixture.step(AgentEvent::Investigated {
        attempt: attempt(1),
        found: Found::Gone,
    });
    assert_eq!(granted(&steps), [2]);
    let steps = fixture.settle(attempt(1), grant);
    assert_eq!(settlements(&steps), [Settlement::Ended]);
}

#[test]
fn end_in_doubt_at_a_plain_service_frees_the_slot() {
    let mut fixture = Fixture::new(1);
    fixture.change(Upstream {
        serves: Serves::Service("refunds".into()),
        ..upstream(1)
    });
    let refund = |id| Reservation {
        target: Target::Service("refunds".into()),
        non_idempotent: true,
        ..reservation(id, 0)
    };
    let grant = fixture.run(refund(1));
    fixture.end(attempt(1), in_doubt());
    assert_eq!(granted(&fixture.reserve(refund(2))), [2]);
    let steps = fixture.settle(attempt(1), grant);
    assert_eq!(settlements(&steps), [Settlement::InDoubt]);
}

#[test]
fn link_lost_running_attempt_goes_on_and_is_resumed() {
    let mut fixture = Fixture::new(1);
    let grant = fixture.run(reservation(1, 0));
    fixture.step(AgentEvent::LinkLost { link: LINK });
    assert_eq!(cancelled(&fixture.tick(5_000)), []);
    fixture.step(AgentEvent::LinkUp { link: NEW_LINK });
    let settle = EntryMessage::Settle {
        attempt: attempt(1),
        grant,
    };
    let steps = fixture.send_on(NEW_LINK, settle);
    assert_eq!(settlements(&steps), [Settlement::Running]);
    let resume = EntryMessage::Resume {
        attempt: attempt(1),
        from_bytes: 12,
    };
    let steps = fixture.send_on(NEW_LINK, resume);
    let attach = AgentStep::AttachCall {
        attempt: attempt(1),
        link: NEW_LINK,
        from_bytes: 12,
    };
    assert_eq!(steps, [attach]);
    assert_eq!(cancelled(&fixture.tick(60_000)), []);
}

#[test]
fn link_lost_orphans_are_cancelled_after_a_grace_unless_non_idempotent() {
    let mut fixture = Fixture::new(2);
    fixture.run(reservation(1, 0));
    fixture.run(Reservation {
        non_idempotent: true,
        ..reservation(2, 0)
    });
    fixture.step(AgentEvent::LinkLost { link: LINK });
    assert_eq!(cancelled(&fixture.tick(9_999)), []);
    assert_eq!(cancelled(&fixture.tick(1)), [1]);
    assert_eq!(cancelled(&fixture.tick(1)), [], "once is enough");
}

#[test]
fn resume_unknown_attempt_is_in_doubt_and_blocks_nothing() {
    let mut fixture = Fixture::new(1);
    let grant = only_grant(&fixture.reserve(reservation(1, 0)));
    let steps = fixture.send(EntryMessage::Resume {
        attempt: attempt(1),
        from_bytes: 0,
    });
    assert_eq!(settlements(&steps), [Settlement::InDoubt]);
    assert_eq!(opened(&fixture.dispatch(grant, attempt(1))), 1);
}

#[test]
fn resume_retained_answer_is_replayed_within_retention() {
    let mut fixture = Fixture::new(1);
    let grant = only_grant(&fixture.reserve(reservation(1, 0)));
    fixture.send(EntryMessage::Dispatch {
        grant,
        attempt: attempt(1),
        retain: true,
        call: call(),
    });
    fixture.end(attempt(1), complete(10));
    fixture.progress(attempt(1), CallProgress::Acknowledged);
    let resume = || EntryMessage::Resume {
        attempt: attempt(1),
        from_bytes: 0,
    };
    let steps = fixture.send(resume());
    assert!(matches!(steps[..], [AgentStep::AttachCall { .. }]));
    let steps = fixture.tick(120_000);
    let forget = AgentStep::DropAnswer {
        attempt: attempt(1),
    };
    assert_eq!(steps, [forget]);
    let steps = fixture.send(resume());
    assert_eq!(settlements(&steps), [Settlement::Ended]);
}

#[test]
fn cancel_running_attempt_frees_its_slot_when_confirmed() {
    let mut fixture = Fixture::new(1);
    fixture.run(reservation(1, 0));
    fixture.reserve(reservation(2, 0));
    let steps = fixture.send(EntryMessage::Cancel {
        attempt: attempt(1),
    });
    assert_eq!(cancelled(&steps), [1]);
    assert_eq!(granted(&steps), [], "the engine still runs it");
    assert_eq!(granted(&fixture.end(attempt(1), AnswerEnd::Cancelled)), [2]);
}

#[test]
fn cancel_for_preemption_too_late_leaves_the_attempt_running() {
    let mut fixture = Fixture::new(1);
    fixture.run(reservation(1, 4));
    let urgent = Reservation {
        deadline_in_ms: 200,
        ..reservation(2, 0)
    };
    assert_eq!(
        cancelled(&fixture.reserve(urgent)),
        [],
        "a slot may free up"
    );
    assert_eq!(cancelled(&fixture.tick(40)), [1]);
    let steps = fixture.progress(attempt(1), CallProgress::CancelTooLate);
    assert_eq!(cancelled(&steps), [], "it is not tried again");
    assert_eq!(granted(&fixture.end(attempt(1), complete(1))), [2]);
}
