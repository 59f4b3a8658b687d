//! Grants, refusals and preemption at an agent.

use std::sync::Arc;

use sardinewood::agent::events::AgentEvent;
use sardinewood::agent::events::CallProgress;
use sardinewood::agent::events::LinkId;
use sardinewood::agent::state::AgentLimits;
use sardinewood::config::objects::Activity;
use sardinewood::config::objects::Target;
use sardinewood::ids::RequestId;
use sardinewood::link::wire::AnswerEnd;
use sardinewood::link::wire::EntryMessage;
use sardinewood::link::wire::RefusalReason;
use sardinewood::link::wire::Reservation;
use sardinewood::upstream::report::Probe;

use crate::agent_fixture::Fixture;
use crate::agent_fixture::LINK;
use crate::agent_fixture::attempt;
use crate::agent_fixture::cancelled;
use crate::agent_fixture::complete;
use crate::agent_fixture::granted;
use crate::agent_fixture::grants;
use crate::agent_fixture::is_not_sent;
use crate::agent_fixture::only_grant;
use crate::agent_fixture::opened;
use crate::agent_fixture::refused;
use crate::agent_fixture::reservation;
use crate::agent_fixture::upstream;

/// Frees the only slot of the fixture repeatedly and returns the granted requests, in order.
fn grant_order(fixture: &mut Fixture, running: u128) -> Vec<u128> {
    let mut order = Vec::new();
    let mut last = running;
    loop {
        let steps = fixture.end(attempt(last), complete(1));
        let Some(&(id, grant)) = grants(&steps).first() else {
            return order;
        };
        fixture.dispatch(grant, attempt(id));
        order.push(id);
        last = id;
    }
}

#[test]
fn grant_order_is_tier_then_started_appointment_then_deadline() {
    let mut fixture = Fixture::new(1);
    fixture.run(reservation(1, 0));
    let started = |id| Reservation {
        started_appointment: true,
        ..reservation(id, 1)
    };
    let pressing = |id| Reservation {
        deadline_in_ms: 30_000,
        ..reservation(id, 1)
    };
    fixture.reserve(reservation(10, 4));
    fixture.reserve(reservation(11, 1));
    fixture.reserve(pressing(12));
    fixture.reserve(started(13));
    fixture.reserve(reservation(14, 0));
    assert_eq!(grant_order(&mut fixture, 1), [14, 13, 12, 11, 10]);
}

#[test]
fn grant_customers_share_by_weight() {
    let mut fixture = Fixture::new(1);
    fixture.run(reservation(1, 0));
    for id in 0..40 {
        fixture.reserve(Reservation {
            customer: "large".into(),
            weight: 3,
            ..reservation(100 + id, 2)
        });
        fixture.reserve(Reservation {
            customer: "small".into(),
            ..reservation(200 + id, 2)
        });
    }
    let order = grant_order(&mut fixture, 1);
    let large = order[..40].iter().filter(|id| **id < 200).count();
    assert_eq!(large, 30, "{order:?}");
}

#[test]
fn grant_idle_share_is_lent_and_reclaimed_at_once() {
    let mut fixture = Fixture::new(1);
    fixture.run(reservation(1, 0));
    for id in 100..140 {
        fixture.reserve(Reservation {
            customer: "busy".into(),
            ..reservation(id, 2)
        });
    }
    let mut last = 1;
    for _ in 0..20 {
        let steps = fixture.end(attempt(last), complete(1));
        let (id, grant) = grants(&steps)[0];
        fixture.dispatch(grant, attempt(id));
        last = id;
    }
    for id in 200..205 {
        fixture.reserve(Reservation {
            customer: "idle-until-now".into(),
            ..reservation(id, 2)
        });
    }
    let order = grant_order(&mut fixture, last);
    assert!(order[0] >= 200 || order[1] >= 200, "{order:?}");
    let of_returned = order[..10].iter().filter(|id| **id >= 200).count();
    assert_eq!(of_returned, 5, "half, but no arrears: {order:?}");
}

#[test]
fn grant_not_more_than_slots() {
    let mut fixture = Fixture::new(3);
    let mut out = 0;
    for id in 0..10 {
        out += granted(&fixture.reserve(reservation(id, 1))).len();
    }
    assert_eq!(out, 3);
    assert_eq!(fixture.agent.free_slots(), 0);
    assert_eq!(fixture.agent.load().waiting, 7);
}

#[test]
fn grant_ahead_of_a_certain_end_waits_for_its_slot() {
    let mut fixture = Fixture::new(1);
    fixture.run(reservation(1, 1));
    fixture.reserve(reservation(2, 1));
    let steps = fixture.progress(
        attempt(1),
        CallProgress::Tokens {
            count: 98,
            elapsed_us: 98 * 4_000,
        },
    );
    assert_eq!(granted(&steps), [], "two steps of 4 ms are left");
    let steps = fixture.progress(
        attempt(1),
        CallProgress::Tokens {
            count: 1,
            elapsed_us: 4_000,
        },
    );
    let grant = only_grant(&steps);
    assert_eq!(opened(&fixture.dispatch(grant, attempt(2))), 0);
    assert_eq!(opened(&fixture.end(attempt(1), complete(1))), 1);
}

#[test]
fn grant_kv_capacity_is_respected() {
    let mut fixture = Fixture::new(8);
    fixture.change(sardinewood::config::objects::Upstream {
        kv_capacity_tokens: Some(250),
        ..upstream(8)
    });
    assert_eq!(granted(&fixture.reserve(reservation(1, 1))).len(), 1);
    assert_eq!(granted(&fixture.reserve(reservation(2, 1))).len(), 1);
    assert_eq!(granted(&fixture.reserve(reservation(3, 1))), []);
    let steps = fixture.reserve(Reservation {
        prompt_tokens: 1_000,
        ..reservation(4, 1)
    });
    assert_eq!(refused(&steps), [(4, RefusalReason::NotServed)]);
}

#[test]
fn reserve_queue_full_refuses_the_lowest_priority() {
    let limits = AgentLimits {
        queue_limit: 2,
        ..AgentLimits::default()
    };
    let mut fixture = Fixture::with_limits(1, limits);
    fixture.run(reservation(1, 0));
    fixture.reserve(reservation(2, 3));
    fixture.reserve(reservation(3, 1));
    let steps = fixture.reserve(reservation(4, 0));
    assert_eq!(refused(&steps), [(2, RefusalReason::Crowded)]);
    let steps = fixture.reserve(reservation(5, 4));
    assert_eq!(refused(&steps), [(5, RefusalReason::Crowded)]);
}

#[test]
fn reserve_queue_full_refuses_the_flooding_customer() {
    let limits = AgentLimits {
        queue_limit: 10,
        ..AgentLimits::default()
    };
    let mut fixture = Fixture::with_limits(1, limits);
    fixture.run(reservation(1, 0));
    fixture.reserve(Reservation {
        customer: "z-small".into(),
        deadline_in_ms: 90_000,
        ..reservation(100, 2)
    });
    for id in 200..230 {
        let steps = fixture.reserve(Reservation {
            customer: "flood".into(),
            ..reservation(id, 2)
        });
        assert!(refused(&steps).iter().all(|(id, _)| *id >= 200));
    }
}

#[test]
fn reserve_duplicate_replaces() {
    let mut fixture = Fixture::new(1);
    fixture.run(reservation(1, 0));
    fixture.reserve(reservation(2, 3));
    fixture.reserve(reservation(3, 2));
    fixture.reserve(reservation(2, 1));
    assert_eq!(grant_order(&mut fixture, 1), [2, 3]);
}

#[test]
fn reserve_unserved_target_is_refused() {
    let mut fixture = Fixture::new(1);
    let steps = fixture.reserve(Reservation {
        target: Target::Model("other".into()),
        ..reservation(1, 0)
    });
    assert_eq!(refused(&steps), [(1, RefusalReason::NotServed)]);
}

#[test]
fn reserve_unreachable_deadline_is_refused_before_prefill() {
    let mut fixture = Fixture::new(4);
    fixture.run(reservation(1, 1));
    fixture.progress(attempt(1), CallProgress::FirstToken { after_us: 100_000 });
    let steps = fixture.reserve(Reservation {
        prompt_tokens: 10_000,
        deadline_in_ms: 9_000,
        ..reservation(2, 0)
    });
    assert_eq!(refused(&steps), [(2, RefusalReason::TooLate)]);
    let steps = fixture.reserve(Reservation {
        prompt_tokens: 10_000,
        deadline_in_ms: 11_000,
        ..reservation(3, 0)
    });
    assert_eq!(granted(&steps), [3]);
}

#[test]
fn tick_unreachable_deadline_is_refused() {
    let mut fixture = Fixture::new(1);
    fixture.run(reservation(1, 0));
    fixture.reserve(Reservation {
        deadline_in_ms: 500,
        ..reservation(2, 0)
    });
    assert_eq!(refused(&fixture.tick(400)), []);
    assert_eq!(refused(&fixture.tick(101)), [(2, RefusalReason::TooLate)]);
}

#[test]
fn tick_unanswered_grant_expires_and_its_dispatch_is_not_sent() {
    // The entry is paused between the grant and its dispatch. The slot is granted to another
    // request after `grant_valid_ms`, and the late dispatch must not open a second call.
    let mut fixture = Fixture::new(1);
    let late = only_grant(&fixture.reserve(reservation(1, 0)));
    fixture.reserve(reservation(2, 3));
    let next = only_grant(&fixture.tick(1_000));
    assert_eq!(opened(&fixture.dispatch(next, attempt(2))), 1);
    let steps = fixture.dispatch(late, attempt(1));
    assert!(is_not_sent(&steps), "{steps:?}");
    assert_eq!(opened(&steps), 0);
}

#[test]
fn dispatch_read_after_a_pause_is_not_sent() {
    // The agent is paused while the dispatch is in its socket. Afterwards it reads the
    // dispatch before its next tick, but the grant has expired already.
    let mut fixture = Fixture::new(1);
    let grant = only_grant(&fixture.reserve(reservation(1, 0)));
    fixture.now_ms += 30_000;
    assert!(is_not_sent(&fixture.dispatch(grant, attempt(1))));
}

#[test]
fn decline_gives_the_slot_to_the_next() {
    let mut fixture = Fixture::new(1);
    let grant = only_grant(&fixture.reserve(reservation(1, 0)));
    fixture.reserve(reservation(2, 3));
    let steps = fixture.send(EntryMessage::Decline { grant });
    assert_eq!(granted(&steps), [2]);
}

#[test]
fn withdraw_of_another_link_changes_nothing() {
    let mut fixture = Fixture::new(1);
    fixture.run(reservation(1, 0));
    fixture.reserve(reservation(2, 0));
    let other = LinkId(2);
    fixture.step(AgentEvent::LinkUp { link: other });
    let request = RequestId(2);
    fixture.send_on(other, EntryMessage::Withdraw { request });
    assert_eq!(fixture.agent.load().waiting, 1);
    fixture.send(EntryMessage::Withdraw { request });
    assert_eq!(fixture.agent.load().waiting, 0);
}

#[test]
fn link_lost_drops_reservations_and_grants() {
    let mut fixture = Fixture::new(1);
    let grant = only_grant(&fixture.reserve(reservation(1, 0)));
    fixture.reserve(reservation(2, 0));
    fixture.step(AgentEvent::LinkLost { link: LINK });
    assert_eq!(fixture.agent.load().waiting, 0);
    assert_eq!(fixture.agent.free_slots(), 1);
    let other = LinkId(2);
    fixture.step(AgentEvent::LinkUp { link: other });
    let steps = fixture.send_on(
        other,
        EntryMessage::Dispatch {
            grant,
            attempt: attempt(1),
            retain: false,
            call: crate::agent_fixture::call(),
        },
    );
    assert!(is_not_sent(&steps), "{steps:?}");
}

#[test]
fn upstream_draining_refuses_reservations_and_dispatches() {
    // An operator drains the upstream while a grant is in transit. Running requests go on,
    // the dispatch for the revoked grant is answered with `NotSent`, and no new request is
    // accepted.
    for activity in [Activity::Draining, Activity::Stopped] {
        let mut fixture = Fixture::new(2);
        fixture.run(Reservation {
            non_idempotent: true,
            ..reservation(1, 0)
        });
        let grant = only_grant(&fixture.reserve(reservation(2, 0)));
        fixture.reserve(reservation(3, 0));
        let steps = fixture.change(sardinewood::config::objects::Upstream {
            activity,
            ..upstream(2)
        });
        assert_eq!(refused(&steps), [(3, RefusalReason::Leaving)]);
        assert_eq!(cancelled(&steps), []);
        assert!(is_not_sent(&fixture.dispatch(grant, attempt(2))));
        let steps = fixture.reserve(reservation(4, 0));
        assert_eq!(refused(&steps), [(4, RefusalReason::Leaving)]);
        assert!(!fixture.agent.is_idle());
        fixture.change(upstream(2));
        assert_eq!(granted(&fixture.reserve(reservation(5, 0))), [5]);
    }
}

#[test]
fn upstream_stopped_cancels_what_can_run_elsewhere() {
    let mut fixture = Fixture::new(3);
    fixture.run(reservation(1, 0));
    fixture.run(reservation(2, 0));
    fixture.progress(attempt(2), CallProgress::DeliveryStarted);
    fixture.run(Reservation {
        non_idempotent: true,
        ..reservation(3, 0)
    });
    let steps = fixture.change(sardinewood::config::objects::Upstream {
        activity: Activity::Stopped,
        ..upstream(3)
    });
    assert_eq!(cancelled(&steps), [1]);
}

#[test]
fn upstream_deleted_refuses() {
    let mut fixture = Fixture::new(1);
    fixture.step(AgentEvent::UpstreamChanged(None));
    let steps = fixture.reserve(reservation(1, 0));
    assert_eq!(refused(&steps), [(1, RefusalReason::Leaving)]);
}

#[test]
fn shut_down_grants_nothing_more_and_waits_for_what_runs() {
    let mut fixture = Fixture::new(1);
    fixture.run(reservation(1, 0));
    fixture.reserve(reservation(2, 0));
    let steps = fixture.step(AgentEvent::ShutDown);
    assert_eq!(refused(&steps), [(2, RefusalReason::Leaving)]);
    assert!(!fixture.agent.is_idle());
    fixture.end(attempt(1), complete(5));
    assert!(!fixture.agent.is_idle(), "the entry has not read it yet");
    fixture.progress(attempt(1), CallProgress::Acknowledged);
    assert!(fixture.agent.is_idle());
}

#[test]
fn preempt_urgent_request_cancels_the_lowest_idempotent() {
    // Both slots run requests of lower tiers. The tier-0 request would miss its deadline if
    // it waited for one of them. The tier-4 request is preempted, since nothing of its answer
    // was delivered and it may run again at another upstream.
    let mut fixture = Fixture::new(3);
    fixture.run(Reservation {
        non_idempotent: true,
        ..reservation(1, 4)
    });
    fixture.run(reservation(2, 3));
    fixture.run(reservation(3, 4));
    let steps = fixture.reserve(Reservation {
        deadline_in_ms: 1_000,
        ..reservation(4, 0)
    });
    assert_eq!(cancelled(&steps), [], "it can still wait");
    assert_eq!(cancelled(&fixture.tick(800)), [3]);
    assert_eq!(cancelled(&fixture.tick(10)), [], "one is enough");
    let steps = fixture.end(attempt(3), AnswerEnd::Preempted);
    assert_eq!(granted(&steps), [4]);
}

#[test]
fn preempt_leaves_equal_tier_and_delivered_requests() {
    let mut fixture = Fixture::new(2);
    fixture.run(reservation(1, 0));
    fixture.run(reservation(2, 4));
    fixture.progress(attempt(2), CallProgress::DeliveryStarted);
    let steps = fixture.reserve(Reservation {
        deadline_in_ms: 200,
        ..reservation(3, 0)
    });
    assert_eq!(cancelled(&steps), []);
}

#[test]
fn probe_silent_refuses_reservations_and_recovers_slowly() {
    // The engine dies. Its agent refuses queued reservations, so that they run at other
    // upstreams. When the engine answers again it gets one request, then one more with each
    // answer.
    let mut fixture = Fixture::new(4);
    for id in 1..=4 {
        fixture.run(reservation(id, 0));
    }
    fixture.reserve(reservation(5, 0));
    let steps = fixture.step(AgentEvent::Probed(Probe::Silent));
    assert_eq!(refused(&steps), [], "it may just be busy");
    let steps = fixture.step(AgentEvent::Probed(Probe::Silent));
    assert_eq!(refused(&steps), [(5, RefusalReason::UpstreamDown)]);
    let reason = || AnswerEnd::Broken {
        reason: Arc::from("gone"),
    };
    for id in 1..=4 {
        fixture.end(attempt(id), reason());
    }
    let steps = fixture.reserve(reservation(6, 0));
    assert_eq!(refused(&steps), [(6, RefusalReason::UpstreamDown)]);
    fixture.probe_alive(&[]);
    fixture.run(reservation(7, 0));
    assert_eq!(granted(&fixture.reserve(reservation(8, 0))), []);
    assert_eq!(granted(&fixture.reserve(reservation(9, 0))), []);
    let steps = fixture.end(attempt(7), complete(1));
    assert_eq!(granted(&steps), [8, 9]);
}

#[test]
fn tick_engine_without_progress_is_granted_nothing() {
    let mut fixture = Fixture::new(2);
    fixture.run(reservation(1, 0));
    fixture.progress(attempt(1), CallProgress::FirstToken { after_us: 10_000 });
    fixture.progress(
        attempt(1),
        CallProgress::Tokens {
            count: 10,
            elapsed_us: 40_000,
        },
    );
    fixture.tick(999);
    assert_eq!(fixture.agent.free_slots(), 1);
    fixture.tick(1);
    assert_eq!(granted(&fixture.reserve(reservation(2, 0))), []);
    let steps = fixture.progress(
        attempt(1),
        CallProgress::Tokens {
            count: 1,
            elapsed_us: 1_000_000,
        },
    );
    assert_eq!(granted(&steps), [], "one slot at first, and it is in use");
    assert_eq!(granted(&fixture.end(attempt(1), complete(1))), [2]);
}

#[test]
fn start_beside_a_busy_engine_counts_what_runs_there() {
    // The agent was restarted while its engine kept running. Requests of the earlier
    // incarnation still occupy slots; granting those again would queue requests inside the
    // engine.
    let mut fixture = Fixture::new(2);
    fixture.probe_alive(&[90, 91]);
    assert_eq!(granted(&fixture.reserve(reservation(1, 0))), []);
    assert_eq!(granted(&fixture.probe_alive(&[91])), [1]);
}
