//! `decisions`: processor time of one decision, and how it grows with what there is.
//!
//! The states that ship are driven without sockets. One decision of an entry is a whole
//! request: submitted, reserved, granted, dispatched and answered, while others wait. One
//! decision of an agent is a reservation, its grant, its dispatch and its end, while others
//! wait.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use lexopt::Parser;
use sardinewood::agent::events::AgentEvent;
use sardinewood::agent::events::AgentStep;
use sardinewood::agent::events::CallProgress;
use sardinewood::agent::events::LinkId;
use sardinewood::agent::state::AgentLimits;
use sardinewood::agent::state::AgentState;
use sardinewood::caller::submission::Submission;
use sardinewood::caller::submission::WorkEstimate;
use sardinewood::config::catalog::Catalog;
use sardinewood::config::objects::Activity;
use sardinewood::config::objects::Customer;
use sardinewood::config::objects::Profile;
use sardinewood::config::objects::ProfileLimits;
use sardinewood::config::objects::Serves;
use sardinewood::config::objects::Target;
use sardinewood::config::objects::Tier;
use sardinewood::config::objects::Upstream;
use sardinewood::entry::state::EntryEvent;
use sardinewood::entry::state::EntryRules;
use sardinewood::entry::state::EntryState;
use sardinewood::entry::state::EntryStep;
use sardinewood::ids::AttemptId;
use sardinewood::ids::GrantId;
use sardinewood::ids::Incarnation;
use sardinewood::ids::RequestId;
use sardinewood::link::wire::AgentMessage;
use sardinewood::link::wire::AnswerEnd;
use sardinewood::link::wire::Call;
use sardinewood::link::wire::EntryMessage;
use sardinewood::link::wire::Load;
use sardinewood::link::wire::Reservation;
use sardinewood::store::position::StorePosition;
use sardinewood::upstream::report::Probe;
use serde::Serialize;

use crate::command::asks_for_help;
use crate::command::print_line;

/// What `decisions --help` prints.
const HELP: &str = "\
Usage: sardinewood-bench decisions

Prints one JSON line for each size: processor time of one decision of an entry
or an agent, while requests wait, by customers or by upstreams.
";

/// Decisions timed at each size.
const TIMED: usize = 2_000;
/// Waiting requests where they are not what varies.
const USUAL_WAITING: usize = 1_000;
/// Customers where they are not what varies.
const USUAL_CUSTOMERS: usize = 5;
/// Upstreams where they are not what varies.
const USUAL_UPSTREAMS: usize = 20;
/// Room for all that waits in any size.
const QUEUE_LIMIT: usize = 200_000;
/// All requests of a measurement have this much time.
const DEADLINE_MS: u64 = 3_600_000;

/// The time of a decision at one size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Decision {
    /// Who decides.
    pub role: &'static str,
    /// What varies.
    pub by: &'static str,
    /// How many there are.
    pub size: usize,
    /// Processor time of one decision.
    pub decision_us: f64,
}

/// Measures and prints all sizes.
///
/// # Errors
///
/// The arguments are not understood.
pub fn run(mut parser: Parser) -> eyre::Result<()> {
    if asks_for_help(&mut parser, HELP)? {
        return Ok(());
    }
    for decision in measure_all(&Sizes::default(), TIMED) {
        print_line(&decision)?;
    }
    Ok(())
}

/// The sizes that are measured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// Waiting requests.
    pub waiting: Vec<usize>,
    /// Customers.
    pub customers: Vec<usize>,
    /// Upstreams.
    pub upstreams: Vec<usize>,
}

impl Default for Sizes {
    fn default() -> Self {
        Self {
            waiting: vec![10, 1_000, 10_000, 100_000],
            customers: vec![5, 100, 1_700],
            upstreams: vec![10, 100, 2_000],
        }
    }
}

/// Times all sizes, each over `timed` decisions.
///
/// ```
/// use sardinewood_bench::decisions::{Sizes, measure_all};
///
/// let sizes = Sizes { waiting: vec![10], customers: vec![5], upstreams: vec![10] };
/// assert!(measure_all(&sizes, 1).iter().any(|one| one.by == "upstreams"));
/// ```
#[must_use]
pub fn measure_all(sizes: &Sizes, timed: usize) -> Vec<Decision> {
    let mut all = Vec::new();
    for &waiting in &sizes.waiting {
        let entry_us = entry_us(waiting, USUAL_CUSTOMERS, USUAL_UPSTREAMS, timed);
        all.push(decision("entry", "waiting requests", waiting, entry_us));
        let agent_us = agent_us(waiting, USUAL_CUSTOMERS, timed);
        all.push(decision("agent", "waiting requests", waiting, agent_us));
    }
    for &customers in &sizes.customers {
        let entry_us = entry_us(USUAL_WAITING, customers, USUAL_UPSTREAMS, timed);
        all.push(decision("entry", "customers", customers, entry_us));
        let agent_us = agent_us(USUAL_WAITING, customers, timed);
        all.push(decision("agent", "customers", customers, agent_us));
    }
    for &upstreams in &sizes.upstreams {
        let entry_us = entry_us(USUAL_WAITING, USUAL_CUSTOMERS, upstreams, timed);
        all.push(decision("entry", "upstreams", upstreams, entry_us));
    }
    all
}

fn decision(role: &'static str, by: &'static str, size: usize, decision_us: f64) -> Decision {
    Decision {
        role,
        by,
        size,
        decision_us,
    }
}

/// Time of a request at an entry where `waiting` others wait.
fn entry_us(waiting: usize, customers: usize, upstreams: usize, timed: usize) -> f64 {
    let mut entry = linked_entry(upstreams);
    let profile = Arc::new(profile());
    for number in 0..waiting {
        let submission = submission(number, customers, &profile);
        entry.handle(0, EntryEvent::Submitted(Box::new(submission)));
    }
    let start = Instant::now();
    for number in waiting..waiting + timed {
        let submission = submission(number, customers, &profile);
        serve(&mut entry, submission, number);
    }
    micros_each(start, timed)
}

/// Submits a request, grants it at the first agent that is asked, and ends it.
fn serve(entry: &mut EntryState, submission: Submission, number: usize) {
    let steps = entry.handle(1, EntryEvent::Submitted(Box::new(submission)));
    let asked = steps.iter().find_map(|step| match step {
        EntryStep::Send {
            agent,
            message: EntryMessage::Reserve(_),
        } => Some(agent.clone()),
        _ => None,
    });
    let Some(agent) = asked else {
        return;
    };
    let message = AgentMessage::Grant {
        request: request_id(number),
        grant: GrantId {
            agent: Incarnation(1),
            sequence: number as u64,
        },
        valid_ms: 1_000,
    };
    entry.handle(2, EntryEvent::Agent { agent, message });
    let ended = EntryEvent::Ended {
        attempt: attempt(number),
        end: complete(),
        passed: true,
    };
    entry.handle(3, ended);
}

fn linked_entry(upstreams: usize) -> EntryState {
    let mut rules = EntryRules::new("entry-1".into(), "wdh-0".into());
    rules.queue.max_requests = QUEUE_LIMIT;
    let mut entry = EntryState::new(rules, 1);
    let mut catalog = Catalog {
        revision: StorePosition::new(0, 1),
        ..Catalog::default()
    };
    for number in 0..upstreams {
        let upstream = upstream(number);
        catalog
            .upstreams
            .insert(upstream.name.clone(), Arc::new(upstream));
    }
    let steps = entry.handle(0, EntryEvent::CatalogChanged(Arc::new(catalog)));
    for step in steps {
        if let EntryStep::Dial { agent, .. } = step {
            link(&mut entry, agent);
        }
    }
    entry
}

fn link(entry: &mut EntryState, agent: Arc<str>) {
    let up = EntryEvent::LinkUp {
        agent: agent.clone(),
        incarnation: Incarnation(1),
    };
    entry.handle(0, up);
    let message = AgentMessage::Heartbeat {
        sequence: 1,
        revision: StorePosition::new(0, 1),
        load: Load {
            free_slots: 4,
            prefill_tokens_per_s: 10_000,
            step_us: 10_000,
            ..Load::default()
        },
    };
    entry.handle(0, EntryEvent::Agent { agent, message });
}

/// Time of a reservation at an agent where `waiting` others of lower tiers wait.
fn agent_us(waiting: usize, customers: usize, timed: usize) -> f64 {
    let limits = AgentLimits {
        queue_limit: QUEUE_LIMIT,
        ..AgentLimits::default()
    };
    let mut agent = AgentState::new(Incarnation(1), limits);
    agent.step(0, AgentEvent::UpstreamChanged(Some(Arc::new(upstream(0)))));
    let running = Vec::new();
    agent.step(0, AgentEvent::Probed(Probe::Alive { running }));
    agent.step(0, AgentEvent::LinkUp { link: LinkId(1) });
    let slots = upstream(0).slots as usize;
    for number in 0..waiting + slots {
        let steps = reserve(&mut agent, reservation(number, customers, 4));
        start_granted(&mut agent, &steps);
    }
    let mut running = 0;
    let start = Instant::now();
    for number in waiting + slots..waiting + slots + timed {
        reserve(&mut agent, reservation(number, customers, 0));
        let steps = end(&mut agent, running);
        running = start_granted(&mut agent, &steps).unwrap_or(number);
    }
    micros_each(start, timed)
}

fn reserve(agent: &mut AgentState, reservation: Reservation) -> Vec<AgentStep> {
    let message = Box::new(EntryMessage::Reserve(reservation));
    let link = LinkId(1);
    agent.step(1, AgentEvent::Received { link, message })
}

/// Answers the first grant among `steps`; returns the number of its request.
fn start_granted(agent: &mut AgentState, steps: &[AgentStep]) -> Option<usize> {
    let (request, grant) = steps.iter().find_map(|step| match step {
        AgentStep::Send {
            message: AgentMessage::Grant { request, grant, .. },
            ..
        } => Some((*request, *grant)),
        _ => None,
    })?;
    let message = Box::new(EntryMessage::Dispatch {
        grant,
        attempt: AttemptId { request, number: 1 },
        retain: false,
        call: call(),
    });
    let link = LinkId(1);
    agent.step(1, AgentEvent::Received { link, message });
    usize::try_from(request.0).ok()
}

fn end(agent: &mut AgentState, number: usize) -> Vec<AgentStep> {
    let progress = CallProgress::Ended { end: complete() };
    let attempt = attempt(number);
    agent.step(1, AgentEvent::Call { attempt, progress })
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 52 bits")]
fn micros_each(start: Instant, count: usize) -> f64 {
    start.elapsed().as_secs_f64() * 1e6 / count as f64
}

fn request_id(number: usize) -> RequestId {
    RequestId(number as u128)
}

fn attempt(number: usize) -> AttemptId {
    AttemptId {
        request: request_id(number),
        number: 1,
    }
}

fn complete() -> AnswerEnd {
    AnswerEnd::Complete {
        length_bytes: 1,
        checksum: 0,
    }
}

fn call() -> Call {
    Call {
        method: "POST".into(),
        path: "/v1/completions".into(),
        headers: Vec::new(),
        body: Bytes::new(),
    }
}

fn customer_name(number: usize, customers: usize) -> Arc<str> {
    format!("customer-{}", number % customers).into()
}

fn profile() -> Profile {
    Profile {
        name: "lookup".into(),
        tier: Tier(2),
        deadline_ms: DEADLINE_MS,
        model: None,
        non_idempotent: false,
        limits: ProfileLimits::default(),
    }
}

fn submission(number: usize, customers: usize, profile: &Arc<Profile>) -> Submission {
    Submission {
        request: request_id(number),
        target: Target::Model("small".into()),
        profile: profile.clone(),
        customer: Arc::new(Customer {
            name: customer_name(number, customers),
            weight: 1,
            default_profile: profile.name.clone(),
            key_sha256: Vec::new(),
        }),
        deadline_at_ms: DEADLINE_MS,
        non_idempotent: false,
        named: None,
        order: None,
        appointment: None,
        estimate: WorkEstimate {
            prompt_tokens: 1_000,
            expected_output_tokens: 100,
            max_output_tokens: 1_000,
            prefix: vec![1, 2, 3, number as u64],
        },
        call: call(),
    }
}

fn reservation(number: usize, customers: usize, tier: u8) -> Reservation {
    Reservation {
        request: request_id(number),
        target: Target::Model("small".into()),
        tier: Tier(tier),
        customer: customer_name(number, customers),
        weight: 1,
        waited_ms: 0,
        deadline_in_ms: DEADLINE_MS,
        prompt_tokens: 1_000,
        expected_output_tokens: 100,
        max_output_tokens: 1_000,
        prefix: Vec::new(),
        non_idempotent: false,
        started_appointment: false,
    }
}

fn upstream(number: usize) -> Upstream {
    Upstream {
        name: format!("lang-{number}").into(),
        data_centre: format!("wdh-{}", number % 3).into(),
        url: "http://127.0.0.1:1".into(),
        agent_address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        serves: Serves::Models(vec!["small".into()]),
        slots: 16,
        kv_capacity_tokens: None,
        activity: Activity::Active,
        checks_fencing: false,
    }
}
