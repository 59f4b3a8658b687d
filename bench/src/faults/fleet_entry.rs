//! An entry of the fleet: the real decisions and the real reader of answers, with callers
//! that only note what they hear.

use std::sync::Arc;

use indexmap::IndexMap;
use sardinewood::answer::reader::AnswerReader;
use sardinewood::claims::ClaimRules;
use sardinewood::claims::Claims;
use sardinewood::claims::object::StoreResponse;
use sardinewood::config::catalog::Catalog;
use sardinewood::entry::state::EntryEvent;
use sardinewood::entry::state::EntryRules;
use sardinewood::entry::state::EntryState;
use sardinewood::ids::Incarnation;
use sardinewood::ids::RequestId;
use sardinewood::link::wire::AgentMessage;
use sardinewood::ordering::OrderQueues;
use sardinewood::ordering::queue::BarResponse;
use sardinewood::ordering::queue::OrderKey;
use sardinewood::ordering::queue::OrderResponse;
use sardinewood::ordering::queue::OrderRules;
use sardinewood::store::position::StorePosition;

use super::process::Process;
use super::work::WorkId;

/// What reaches an entry.
#[derive(Clone, Debug)]
pub enum EntryInput {
    /// A link to an agent is open.
    LinkUp {
        agent: usize,
        link: u64,
        incarnation: Incarnation,
    },
    /// A link is gone.
    LinkLost { agent: usize, link: u64 },
    /// A message from an agent.
    Message {
        agent: usize,
        link: u64,
        message: AgentMessage,
    },
    /// A caller sent a request.
    Submit { request: RequestId, work: WorkId },
    /// The store answered a call about a claim.
    ClaimAnswer {
        request: RequestId,
        answer: StoreResponse,
    },
    /// The store answered a call about an order.
    OrderResponse {
        order: OrderKey,
        answer: OrderResponse,
    },
    /// The store answered a bar.
    BarResponse {
        order: OrderKey,
        answer: BarResponse,
    },
    /// Claims and orders may have something to do.
    RecordTick,
    /// Something else.
    Event(EntryEvent),
}

/// A caller whose request the entry has.
#[derive(Debug)]
pub struct Caller {
    /// What it asked for.
    pub work: WorkId,
    /// Reads the answer.
    pub reader: Option<(AnswerReader, usize)>,
    /// What was read of the answer.
    pub body: Vec<u8>,
    /// Whether any of it was passed on.
    pub passed: bool,
}

/// An entry.
#[derive(Debug)]
pub struct FleetEntry {
    /// Whether it runs.
    pub process: Process<EntryInput>,
    /// Its decisions.
    pub state: EntryState,
    /// Whether it claims names and keeps orders.
    has_claims: bool,
    /// Its claims.
    pub claims: Claims,
    /// Its orders.
    pub orders: OrderQueues,
    /// When claims and orders were to be looked at again.
    pub record_tick_at_ms: Option<u64>,
    /// The links that it has, by agent.
    pub links: IndexMap<usize, u64>,
    /// Which agents it wants links to.
    pub dialled: Vec<bool>,
    /// The callers that wait.
    pub callers: IndexMap<RequestId, Caller>,
    /// The newest revision of the configuration that it knows.
    pub revision: StorePosition,
    /// When a tick was asked for last.
    pub tick_at_ms: Option<u64>,
}

impl FleetEntry {
    /// An entry that has just started.
    #[must_use]
    pub fn new(number: usize, agents: usize, seed: u64, claims: bool) -> Self {
        Self {
            process: Process::default(),
            state: entry_state(number, seed, claims),
            has_claims: claims,
            claims: Claims::new(ClaimRules::default()),
            orders: OrderQueues::new(OrderRules::default()),
            record_tick_at_ms: None,
            links: IndexMap::new(),
            dialled: vec![false; agents],
            callers: IndexMap::new(),
            revision: StorePosition::default(),
            tick_at_ms: None,
        }
    }

    /// Starts it again, with nothing remembered.
    pub fn restart(&mut self, number: usize, seed: u64) {
        self.state = entry_state(number, seed, self.has_claims);
        self.claims = Claims::new(ClaimRules::default());
        self.orders = OrderQueues::new(OrderRules::default());
        self.record_tick_at_ms = None;
        self.links.clear();
        self.dialled.fill(false);
        self.callers.clear();
        self.revision = StorePosition::default();
        self.tick_at_ms = None;
        self.process.condition = super::process::Condition::Running;
    }
}

fn entry_state(number: usize, seed: u64, claims: bool) -> EntryState {
    let rules = EntryRules {
        claims,
        turns: claims,
        ..EntryRules::new(format!("entry-{number}").into(), "wdh-1".into())
    };
    EntryState::new(rules, seed)
}

/// The event of a configuration.
#[must_use]
pub fn catalog_event(catalog: &Catalog) -> EntryEvent {
    EntryEvent::CatalogChanged(Arc::new(catalog.clone()))
}
