//! What an agent's decisions cost.

use std::sync::Arc;

use bytes::Bytes;
use sardinewood::agent::events::AgentEvent;
use sardinewood::agent::events::AgentStep;
use sardinewood::agent::events::CallProgress;
use sardinewood::agent::events::LinkId;
use sardinewood::agent::state::AgentLimits;
use sardinewood::agent::state::AgentState;
use sardinewood::config::objects::Upstream;
use sardinewood::ids::AttemptId;
use sardinewood::ids::GrantId;
use sardinewood::ids::Incarnation;
use sardinewood::ids::RequestId;
use sardinewood::link::wire::AgentMessage;
use sardinewood::link::wire::AnswerEnd;
use sardinewood::link::wire::Call;
use sardinewood::link::wire::EntryMessage;
use sardinewood::link::wire::Reservation;
use sardinewood::upstream::report::Probe;
use serde_json::json;

use super::Memory;
use super::Slope;
use super::message_sizes;
use super::time_slope;

/// Reservations over which memory is measured.
const WAITING: usize = 40_000;

/// Requests over which time is measured.
const REQUESTS: usize = 50_000;

/// Requests that wait while time is measured.
const WAITING_BESIDE: usize = 100;

/// The link that everything comes on.
const LINK: LinkId = LinkId(1);

/// When the measurements happen.
const NOW_MS: u64 = 1_000;

pub(super) fn measure_memory(memory: &mut Memory) {
    memory.measure("agent", "reservation", WAITING, || waiting_agent(WAITING));
    memory.measure("agent", "attempt record", REQUESTS, || {
        agent_that_ran(REQUESTS)
    });
}

/// An agent with so many reservations and no room.
///
/// ```
/// let agent = sardinewood_bench::slopes::agent_slopes::waiting_agent(3);
/// assert_eq!(agent.load().waiting, 3);
/// ```
#[must_use]
pub fn waiting_agent(count: usize) -> AgentState {
    let mut agent = agent_with(0);
    for index in 0..count {
        reserve(&mut agent, index);
    }
    agent
}

/// An agent through which so many requests went, one after another.
///
/// ```
/// let agent = sardinewood_bench::slopes::agent_slopes::agent_that_ran(3);
/// assert_eq!(agent.load().waiting, 0);
/// ```
#[must_use]
pub fn agent_that_ran(count: usize) -> AgentState {
    let mut agent = agent_with(1);
    for index in 0..count {
        run_one(&mut agent, index);
    }
    agent
}

pub(super) fn measure_time() -> Vec<Slope> {
    vec![request_time()]
}

/// From reservation over grant and dispatch to the end of the answer, while others wait.
fn request_time() -> Slope {
    let mut agent = agent_with(1);
    for index in 0..WAITING_BESIDE {
        reserve(&mut agent, REQUESTS + index);
    }
    time_slope("agent", "request decided", REQUESTS, || {
        for index in 0..REQUESTS {
            run_one(&mut agent, index);
        }
    })
}

/// Reserves, and runs whatever is granted for it.
fn run_one(agent: &mut AgentState, index: usize) {
    let steps = reserve(agent, index);
    for (request, grant) in steps.iter().filter_map(granted) {
        let attempt = AttemptId { request, number: 1 };
        receive(
            agent,
            EntryMessage::Dispatch {
                grant,
                attempt,
                retain: false,
                call: call(),
            },
        );
        let end = AnswerEnd::Complete {
            length_bytes: 0,
            checksum: 0,
        };
        progress(agent, attempt, CallProgress::Ended { end });
        progress(agent, attempt, CallProgress::Acknowledged);
    }
}

fn progress(agent: &mut AgentState, attempt: AttemptId, progress: CallProgress) {
    agent.step(NOW_MS, AgentEvent::Call { attempt, progress });
}

fn granted(step: &AgentStep) -> Option<(RequestId, GrantId)> {
    match step {
        AgentStep::Send {
            message: AgentMessage::Grant { request, grant, .. },
            ..
        } => Some((*request, *grant)),
        _ => None,
    }
}

fn reserve(agent: &mut AgentState, index: usize) -> Vec<AgentStep> {
    let reservation = Reservation {
        request: RequestId(index as u128 + 1),
        deadline_in_ms: 1_000_000_000,
        ..message_sizes::reservation()
    };
    receive(agent, EntryMessage::Reserve(reservation))
}

fn receive(agent: &mut AgentState, message: EntryMessage) -> Vec<AgentStep> {
    let message = Box::new(message);
    agent.step(
        NOW_MS,
        AgentEvent::Received {
            link: LINK,
            message,
        },
    )
}

fn agent_with(slots: u32) -> AgentState {
    let limits = AgentLimits {
        queue_limit: usize::MAX,
        ..AgentLimits::default()
    };
    let mut agent = AgentState::new(Incarnation(1), limits);
    agent.step(0, AgentEvent::LinkUp { link: LINK });
    agent.step(0, AgentEvent::UpstreamChanged(Some(upstream(slots))));
    // Nothing is granted before the upstream was seen to answer.
    let running = Vec::new();
    agent.step(0, AgentEvent::Probed(Probe::Alive { running }));
    agent
}

fn upstream(slots: u32) -> Arc<Upstream> {
    let upstream = json!({
        "name": "upstream-0",
        "data_centre": "dc-1",
        "url": "http://127.0.0.1:9000",
        "agent_address": "127.0.0.1:9100",
        "serves": {"models": ["language-small"]},
        "slots": slots,
    });
    Arc::new(serde_json::from_value(upstream).expect("a fixed object is valid"))
}

fn call() -> Call {
    Call {
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        headers: Vec::new(),
        body: Bytes::new(),
    }
}
