//! What an entry's decisions cost.

use std::sync::Arc;

use bytes::Bytes;
use sardinewood::caller::submission::Submission;
use sardinewood::caller::submission::WorkEstimate;
use sardinewood::config::catalog::Catalog;
use sardinewood::config::objects::Customer;
use sardinewood::config::objects::Profile;
use sardinewood::config::objects::Target;
use sardinewood::config::objects::Upstream;
use sardinewood::entry::state::EntryEvent;
use sardinewood::entry::state::EntryRules;
use sardinewood::entry::state::EntryState;
use sardinewood::entry::state::EntryStep;
use sardinewood::ids::GrantId;
use sardinewood::ids::Incarnation;
use sardinewood::ids::RequestId;
use sardinewood::link::wire::AgentMessage;
use sardinewood::link::wire::AnswerEnd;
use sardinewood::link::wire::Call;
use sardinewood::link::wire::EntryMessage;
use sardinewood::link::wire::Load;
use sardinewood::store::position::StorePosition;
use serde_json::json;

use super::Memory;
use super::Slope;
use super::time_slope;

/// Upstreams that the entry may link to.
const UPSTREAMS: usize = 32;

/// Requests over which memory is measured.
const WAITING: usize = 40_000;

/// Requests over which time is measured.
const REQUESTS: usize = 50_000;

/// Heartbeats over which time is measured.
const HEARTBEATS: usize = 200_000;

/// Bytes of a request's body.
const BODY_BYTES: usize = 4_096;

/// When the measurements happen, long before any deadline.
const NOW_MS: u64 = 1_000;

pub(super) fn measure_memory(memory: &mut Memory) {
    memory.measure("entry", "waiting request", WAITING, || {
        waiting_entry(WAITING)
    });
}

/// An entry in which so many requests wait.
///
/// ```
/// let entry = sardinewood_bench::slopes::entry_slopes::waiting_entry(3);
/// assert_eq!(entry.counts().waiting, 3);
/// ```
#[must_use]
pub fn waiting_entry(count: usize) -> EntryState {
    let mut entry = linked_entry();
    for index in 0..count {
        entry.handle(NOW_MS, submitted(index));
    }
    entry
}

pub(super) fn measure_time() -> Vec<Slope> {
    vec![request_time(), heartbeat_time()]
}

/// From submission over grant and dispatch to the end of the answer.
fn request_time() -> Slope {
    let mut entry = linked_entry();
    time_slope("entry", "request decided", REQUESTS, || {
        for index in 0..REQUESTS {
            run_one(&mut entry, index);
        }
    })
}

fn heartbeat_time() -> Slope {
    let mut entry = linked_entry();
    let agent: Arc<str> = upstream_name(0);
    time_slope("entry", "heartbeat taken", HEARTBEATS, || {
        for sequence in 0..HEARTBEATS as u64 {
            let message = AgentMessage::Heartbeat {
                sequence,
                revision: StorePosition::new(0, 1),
                load: Load::default(),
            };
            let agent = agent.clone();
            entry.handle(NOW_MS, EntryEvent::Agent { agent, message });
        }
    })
}

fn run_one(entry: &mut EntryState, index: usize) {
    let request = request_id(index);
    let steps = entry.handle(NOW_MS, submitted(index));
    let Some(agent) = steps.iter().find_map(reserved_at) else {
        return;
    };
    let grant = GrantId {
        agent: Incarnation(1),
        sequence: index as u64 + 1,
    };
    let message = AgentMessage::Grant {
        request,
        grant,
        valid_ms: 1_000,
    };
    let steps = entry.handle(NOW_MS, EntryEvent::Agent { agent, message });
    let Some(attempt) = steps.iter().find_map(begun) else {
        return;
    };
    let end = AnswerEnd::Complete {
        length_bytes: 0,
        checksum: 0,
    };
    entry.handle(
        NOW_MS,
        EntryEvent::Ended {
            attempt,
            end,
            passed: true,
        },
    );
}

fn reserved_at(step: &EntryStep) -> Option<Arc<str>> {
    match step {
        EntryStep::Send {
            agent,
            message: EntryMessage::Reserve(_),
        } => Some(agent.clone()),
        _ => None,
    }
}

fn begun(step: &EntryStep) -> Option<sardinewood::ids::AttemptId> {
    match step {
        EntryStep::Begin { attempt, .. } => Some(*attempt),
        _ => None,
    }
}

fn linked_entry() -> EntryState {
    let mut catalog = Catalog {
        revision: StorePosition::new(0, 1),
        ..Catalog::default()
    };
    for index in 0..UPSTREAMS {
        catalog
            .upstreams
            .insert(upstream_name(index), upstream(index));
    }
    let mut rules = EntryRules::new("entry-1".into(), "dc-1".into());
    rules.queue.max_requests = usize::MAX;
    let mut entry = EntryState::new(rules, 1);
    entry.handle(0, EntryEvent::CatalogChanged(Arc::new(catalog)));
    for index in 0..UPSTREAMS {
        let agent = upstream_name(index);
        entry.handle(
            0,
            EntryEvent::LinkUp {
                agent,
                incarnation: Incarnation(1),
            },
        );
    }
    entry
}

fn upstream_name(index: usize) -> Arc<str> {
    format!("upstream-{index}").into()
}

fn upstream(index: usize) -> Arc<Upstream> {
    let upstream = json!({
        "name": upstream_name(index),
        "data_centre": "dc-1",
        "url": "http://127.0.0.1:9000",
        "agent_address": "127.0.0.1:9100",
        "serves": {"models": ["small"]},
        "slots": 32,
    });
    Arc::new(serde_json::from_value(upstream).expect("a fixed object is valid"))
}

fn request_id(index: usize) -> RequestId {
    RequestId(index as u128 + 1)
}

fn submitted(index: usize) -> EntryEvent {
    let profile = Profile {
        name: "lookup".into(),
        tier: sardinewood::config::objects::Tier(2),
        deadline_ms: 60_000,
        model: None,
        non_idempotent: false,
        limits: sardinewood::config::objects::ProfileLimits::default(),
    };
    let customer = Customer {
        name: "customer-0817".into(),
        weight: 1,
        default_profile: "lookup".into(),
        key_sha256: Vec::new(),
    };
    EntryEvent::Submitted(Box::new(Submission {
        request: request_id(index),
        target: Target::Model("small".into()),
        profile: Arc::new(profile),
        customer: Arc::new(customer),
        deadline_at_ms: 60_000,
        non_idempotent: false,
        named: None,
        order: None,
        appointment: None,
        estimate: WorkEstimate {
            prompt_tokens: 1_200,
            expected_output_tokens: 424,
            max_output_tokens: 1_024,
            prefix: vec![1, 2, 3, 4],
        },
        call: Call {
            method: "POST".into(),
            path: "/v1/chat/completions".into(),
            headers: Vec::new(),
            body: Bytes::from(vec![b'x'; BODY_BYTES]),
        },
    }))
}
