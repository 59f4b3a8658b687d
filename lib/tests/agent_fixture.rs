//! Fixture for tests of the agent's state machine: sends events and reads the steps.

use sardinewood::agent::events::AgentEvent;
use sardinewood::agent::events::AgentStep;
use sardinewood::agent::events::CallProgress;
use sardinewood::agent::events::LinkId;
use sardinewood::agent::state::AgentLimits;
use sardinewood::agent::state::AgentState;
use sardinewood::config::objects::Activity;
use sardinewood::config::objects::Serves;
use sardinewood::config::objects::Target;
use sardinewood::config::objects::Tier;
use sardinewood::config::objects::Upstream;
use sardinewood::ids::AttemptId;
use sardinewood::ids::GrantId;
use sardinewood::ids::Incarnation;
use sardinewood::ids::RequestId;
use sardinewood::link::wire::AgentMessage;
use sardinewood::link::wire::AnswerEnd;
use sardinewood::link::wire::Call;
use sardinewood::link::wire::EntryMessage;
use sardinewood::link::wire::RefusalReason;
use sardinewood::link::wire::Reservation;
use sardinewood::link::wire::Settlement;
use sardinewood::upstream::report::Probe;

pub const LINK: LinkId = LinkId(1);

pub const INCARNATION: Incarnation = Incarnation(7);

pub struct Fixture {
    pub agent: AgentState,
    pub now_ms: u64,
}

pub fn upstream(slots: u32) -> Upstream {
    Upstream {
        name: "lang-1".into(),
        data_centre: "wdh-1".into(),
        url: "http://127.0.0.1:1".into(),
        agent_address: "127.0.0.1:1".parse().unwrap(),
        serves: Serves::Models(vec!["small".into()]),
        slots,
        kv_capacity_tokens: None,
        activity: Activity::Active,
        checks_fencing: false,
    }
}

pub fn reservation(id: u128, tier: u8) -> Reservation {
    Reservation {
        request: RequestId(id),
        target: Target::Model("small".into()),
        tier: Tier(tier),
        customer: "rundu".into(),
        weight: 1,
        waited_ms: 0,
        deadline_in_ms: 60_000,
        prompt_tokens: 100,
        expected_output_tokens: 10,
        max_output_tokens: 100,
        prefix: Vec::new(),
        non_idempotent: false,
        started_appointment: false,
    }
}

pub fn attempt(id: u128) -> AttemptId {
    AttemptId {
        request: RequestId(id),
        number: 1,
    }
}

pub fn call() -> Call {
    Call {
        method: "POST".into(),
        path: "/v1/completions".into(),
        headers: Vec::new(),
        body: "{}".into(),
    }
}

pub fn complete(length_bytes: u64) -> AnswerEnd {
    AnswerEnd::Complete {
        length_bytes,
        checksum: 0,
    }
}

impl Fixture {
    /// Creates an agent with one link and a live engine of `slots` slots.
    pub fn new(slots: u32) -> Self {
        Self::with_limits(slots, AgentLimits::default())
    }

    pub fn with_limits(slots: u32, limits: AgentLimits) -> Self {
        let mut fixture = Fixture {
            agent: AgentState::new(INCARNATION, limits),
            now_ms: 1_000,
        };
        fixture.change(upstream(slots));
        fixture.probe_alive(&[]);
        fixture.step(AgentEvent::LinkUp { link: LINK });
        fixture
    }

    pub fn step(&mut self, event: AgentEvent) -> Vec<AgentStep> {
        self.agent.step(self.now_ms, event)
    }

    pub fn tick(&mut self, after_ms: u64) -> Vec<AgentStep> {
        self.now_ms += after_ms;
        let mut steps = self.step(AgentEvent::Tick);
        steps.retain(|step| *step != AgentStep::Probe);
        steps
    }

    pub fn change(&mut self, upstream: Upstream) -> Vec<AgentStep> {
        self.step(AgentEvent::UpstreamChanged(Some(upstream.into())))
    }

    pub fn probe_alive(&mut self, running: &[u128]) -> Vec<AgentStep> {
        let running = running.iter().copied().map(RequestId).collect();
        self.step(AgentEvent::Probed(Probe::Alive { running }))
    }

    pub fn send(&mut self, message: EntryMessage) -> Vec<AgentStep> {
        self.send_on(LINK, message)
    }

    pub fn send_on(&mut self, link: LinkId, message: EntryMessage) -> Vec<AgentStep> {
        self.step(AgentEvent::Received {
            link,
            message: Box::new(message),
        })
    }

    pub fn reserve(&mut self, reservation: Reservation) -> Vec<AgentStep> {
        self.send(EntryMessage::Reserve(reservation))
    }

    pub fn dispatch(&mut self, grant: GrantId, attempt: AttemptId) -> Vec<AgentStep> {
        self.send(EntryMessage::Dispatch {
            grant,
            attempt,
            retain: false,
            call: call(),
        })
    }

    pub fn settle(&mut self, attempt: AttemptId, grant: GrantId) -> Vec<AgentStep> {
        self.send(EntryMessage::Settle { attempt, grant })
    }

    pub fn progress(&mut self, attempt: AttemptId, progress: CallProgress) -> Vec<AgentStep> {
        self.step(AgentEvent::Call { attempt, progress })
    }

    pub fn end(&mut self, attempt: AttemptId, end: AnswerEnd) -> Vec<AgentStep> {
        self.progress(attempt, CallProgress::Ended { end })
    }

    /// Reserves a slot, gets the grant and dispatches; the attempt is running afterwards.
    pub fn run(&mut self, reservation: Reservation) -> GrantId {
        let id = reservation.request.0;
        let steps = self.reserve(reservation);
        let grant = only_grant(&steps);
        let steps = self.dispatch(grant, attempt(id));
        assert!(
            matches!(steps[..], [AgentStep::OpenCall { .. }]),
            "{steps:?}"
        );
        grant
    }
}

/// Returns the granted requests, in order.
pub fn granted(steps: &[AgentStep]) -> Vec<u128> {
    grants(steps).into_iter().map(|(id, _)| id).collect()
}

pub fn grants(steps: &[AgentStep]) -> Vec<(u128, GrantId)> {
    let grant = |step: &AgentStep| match step {
        AgentStep::Send {
            message: AgentMessage::Grant { request, grant, .. },
            ..
        } => Some((request.0, *grant)),
        _ => None,
    };
    steps.iter().filter_map(grant).collect()
}

pub fn only_grant(steps: &[AgentStep]) -> GrantId {
    let grants = grants(steps);
    assert_eq!(grants.len(), 1, "{steps:?}");
    grants[0].1
}

/// Returns the refused reservations with the reasons.
pub fn refused(steps: &[AgentStep]) -> Vec<(u128, RefusalReason)> {
    let refusal = |step: &AgentStep| match step {
        AgentStep::Send {
            message: AgentMessage::Refuse {
                request, reason, ..
            },
            ..
        } => Some((request.0, *reason)),
        _ => None,
    };
    steps.iter().filter_map(refusal).collect()
}

/// Returns the settlements that are sent.
pub fn settlements(steps: &[AgentStep]) -> Vec<Settlement> {
    let settlement = |step: &AgentStep| match step {
        AgentStep::Send {
            message: AgentMessage::Settled { settlement, .. },
            ..
        } => Some(*settlement),
        _ => None,
    };
    steps.iter().filter_map(settlement).collect()
}

pub fn is_not_sent(steps: &[AgentStep]) -> bool {
    steps.iter().any(|step| {
        matches!(
            step,
            AgentStep::Send {
                message: AgentMessage::End {
                    end: AnswerEnd::NotSent,
                    ..
                },
                ..
            }
        )
    })
}

pub fn opened(steps: &[AgentStep]) -> usize {
    let is_open = |step: &&AgentStep| matches!(step, AgentStep::OpenCall { .. });
    steps.iter().filter(is_open).count()
}

/// Returns the requests whose calls are cancelled.
pub fn cancelled(steps: &[AgentStep]) -> Vec<u128> {
    let cancel = |step: &AgentStep| match step {
        AgentStep::CancelCall { attempt, .. } => Some(attempt.request.0),
        _ => None,
    };
    steps.iter().filter_map(cancel).collect()
}
