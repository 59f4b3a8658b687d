//! The table of agents that an entry knows, and the choice of agents to ask for a grant.

use std::hash::Hasher;
use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;
use twox_hash::XxHash64;

use crate::config::catalog::Catalog;
use crate::config::objects::Activity;
use crate::config::objects::Serves;
use crate::config::objects::Target;
use crate::config::objects::Upstream;
use crate::entry::prefix_hints::BLOCK_TOKENS;
use crate::entry::prefix_hints::PrefixHints;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::link::wire::Load;
use crate::store::position::StorePosition;

/// One link in this many may go to an agent of any data centre, so that the entry still has
/// links when its own data centre is lost.
const FAR_SHARE: usize = 4;
/// Added to the expected time at an upstream of another data centre, so that of two equal
/// upstreams the one in the own data centre is chosen.
const OTHER_DATA_CENTRE_US: u64 = 2_000;
/// Divisor for the delay that a prefill causes to the running requests: one part in this many
/// is counted.
const HELD_UP_DIVISOR: u64 = 2;
/// The assumed prefill speed of an upstream that has not reported its own yet.
const UNKNOWN_PREFILL_TOKENS_PER_S: u64 = 5_000;
/// The assumed time per output token at an upstream that has not reported its own yet.
const UNKNOWN_STEP_US: u64 = 10_000;

/// What an entry knows of one agent.
#[derive(Debug)]
pub struct Agent {
    /// The upstream of this agent, as last configured.
    pub upstream: Arc<Upstream>,
    /// Whether the agent is in the current configuration.
    pub configured: bool,
    /// The incarnation of the agent at the other end of the link, or `None` without a link.
    pub linked: Option<Incarnation>,
    /// The last reported load; stale on arrival.
    pub load: Load,
    /// Requests of this entry that ran there when the load report arrived.
    pub running_at_report: usize,
    /// The configuration revision that the agent reported last.
    pub revision: StorePosition,
    /// When its last heartbeat arrived.
    pub heard_at_ms: Option<u64>,
    /// Requests of this entry with a reservation there.
    pub reserved: IndexSet<RequestId>,
    /// Requests of this entry with an attempt there.
    pub running: IndexSet<RequestId>,
    /// The agent is not asked before this time.
    pub backoff_until_ms: u64,
    /// The incarnation and sequence number of its newest grant.
    pub newest_grant: Option<(Incarnation, u64)>,
}

impl Agent {
    fn new(upstream: Arc<Upstream>) -> Self {
        Self {
            upstream,
            configured: true,
            linked: None,
            load: Load::default(),
            running_at_report: 0,
            revision: StorePosition::default(),
            heard_at_ms: None,
            reserved: IndexSet::new(),
            running: IndexSet::new(),
            backoff_until_ms: 0,
            newest_grant: None,
        }
    }

    /// Returns the slots in use: the reported ones, corrected by the requests that this entry
    /// has started and finished there since. A report is stale on arrival, but the entry knows
    /// its own share exactly.
    #[must_use]
    pub fn occupied_slots(&self) -> u64 {
        let reported = u64::from(self.upstream.slots.saturating_sub(self.load.free_slots));
        (reported + self.running.len() as u64).saturating_sub(self.running_at_report as u64)
    }

    /// Returns whether the agent may get new requests.
    #[must_use]
    pub fn takes_work(&self, now_ms: u64) -> bool {
        self.configured
            && self.linked.is_some()
            && self.upstream.activity == Activity::Active
            && self.backoff_until_ms <= now_ms
    }
}

/// A request to place, as the choice of agents sees it.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The model or service.
    pub target: &'a Target,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The expected output tokens.
    pub output_tokens: u32,
    /// Fingerprints of the prompt's leading blocks.
    pub prefix: &'a [u64],
    /// How many agents to choose.
    pub count: usize,
    /// Breaks ties, so that entries with the same hints don't all ask the same agents.
    pub nonce: u64,
}

/// How an entry chooses the agents to link to.
///
/// ```
/// use sardinewood::entry::candidates::LinkPolicy;
///
/// let policy = LinkPolicy { entry: "entry-1".into(), data_centre: "wdh-1".into(), max_links: 192 };
/// assert_eq!(policy.per_target(2), 96);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkPolicy {
    /// The name of this entry. It is hashed, so that entries choose different agents.
    pub entry: Arc<str>,
    /// The data centre of this entry, whose agents are linked first.
    pub data_centre: Arc<str>,
    /// The most links for all targets together, so that large fleets don't need a link between
    /// each entry and each agent.
    pub max_links: usize,
}

/// The least number of links for each target, however many targets there are: twice the usual
/// number of candidates, so that there is a choice.
const MIN_LINKS_PER_TARGET: usize = 8;

impl LinkPolicy {
    /// Returns how many links each of `targets` targets gets.
    #[must_use]
    pub fn per_target(&self, targets: usize) -> usize {
        (self.max_links / targets.max(1)).max(MIN_LINKS_PER_TARGET)
    }
}

/// The agents that an entry knows.
#[derive(Debug)]
pub struct AgentTable {
    policy: LinkPolicy,
    agents: IndexMap<Arc<str>, Agent>,
    linked_by_target: IndexMap<Target, Vec<Arc<str>>>,
    hints: PrefixHints,
    /// The number of agents for each target in the configuration.
    serving: IndexMap<Target, usize>,
}

/// Agents, with the number of leading blocks of a prompt that they probably have cached.
type Cached = Vec<(Arc<str>, u32)>;

impl AgentTable {
    /// Creates a table without agents.
    #[must_use]
    pub fn new(policy: LinkPolicy) -> Self {
        Self {
            policy,
            agents: IndexMap::new(),
            linked_by_target: IndexMap::new(),
            hints: PrefixHints::default(),
            serving: IndexMap::new(),
        }
    }

    /// Returns an agent by name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Agent> {
        self.agents.get(name)
    }

    /// Returns an agent by name, for changes.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Agent> {
        self.agents.get_mut(name)
    }

    /// Returns all agents.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Agent)> {
        self.agents.iter()
    }

    /// Returns whether the configuration has an upstream for `target`.
    #[must_use]
    pub fn serves(&self, target: &Target) -> bool {
        self.linked_by_target.contains_key(target)
    }

    /// Estimates the number of entries: the most entries that a linked agent reports, times the
    /// number of agents of the target for each link of this entry.
    #[must_use]
    pub fn entries(&self, target: &Target) -> u64 {
        let Some(linked) = self.linked_by_target.get(target) else {
            return 1;
        };
        let seen = linked
            .iter()
            .filter_map(|name| self.agents.get(name))
            .filter(|agent| agent.linked.is_some())
            .map(|agent| u64::from(agent.load.entries))
            .max();
        let serving = self.serving.get(target).copied().unwrap_or(1);
        let spread = serving.div_ceil(linked.len().max(1)) as u64;
        seen.unwrap_or(1).max(1) * spread.max(1)
    }

    /// Returns whether `is_excluded` holds for each agent that could be asked for `target`.
    pub fn all_agents_match(&self, target: &Target, is_excluded: impl Fn(&str) -> bool) -> bool {
        self.linked_by_target
            .get(target)
            .is_none_or(|names| names.iter().all(|name| is_excluded(name)))
    }

    /// Applies a new configuration. An agent that is no longer in it stays in the table until
    /// [`Self::forget_gone`].
    pub fn replace_catalog(&mut self, catalog: &Catalog) {
        for agent in self.agents.values_mut() {
            agent.configured = false;
        }
        for (name, upstream) in &catalog.upstreams {
            let agent = self
                .agents
                .entry(name.clone())
                .or_insert_with(|| Agent::new(upstream.clone()));
            agent.configured = true;
            agent.upstream = upstream.clone();
        }
        self.choose_links(catalog);
    }

    /// Removes the agents that are no longer in the configuration and have no attempts.
    pub fn forget_gone(&mut self) {
        self.agents
            .retain(|_, agent| agent.configured || !agent.running.is_empty());
    }

    /// Returns the agents to link to, with their addresses.
    #[must_use]
    pub fn wanted_links(&self) -> IndexMap<Arc<str>, SocketAddr> {
        let busy = self
            .agents
            .iter()
            .filter(|(_, agent)| !agent.running.is_empty())
            .map(|(name, _)| name);
        self.linked_by_target
            .values()
            .flatten()
            .chain(busy)
            .filter_map(|name| Some((name.clone(), self.agents.get(name)?)))
            .map(|(name, agent)| (name, agent.upstream.agent_address))
            .collect()
    }

    /// Chooses the agents to ask, the one with the shortest expected time first.
    pub fn choose(
        &self,
        placement: PlacementRequest<'_>,
        now_ms: u64,
        excluded: impl Fn(&str) -> bool,
    ) -> Vec<Arc<str>> {
        let Some(names) = self.linked_by_target.get(placement.target) else {
            return Vec::new();
        };
        let cached = self.cached_tokens(placement, names, now_ms);
        let cached_tokens = |name: &Arc<str>| {
            let blocks = cached.iter().find(|(known, _)| known == name);
            blocks.map_or(0, |(_, blocks)| blocks * BLOCK_TOKENS)
        };
        let mut scored: Vec<_> = names
            .iter()
            .filter(|name| !excluded(name))
            .filter_map(|name| {
                let agent = self.agents.get(name)?;
                agent
                    .takes_work(now_ms)
                    .then(|| (self.score(agent, placement, cached_tokens(name)), name))
            })
            .collect();
        scored.sort_unstable_by_key(|(total_us, name)| {
            (*total_us, rendezvous(placement.nonce, name))
        });
        scored
            .into_iter()
            .take(placement.count)
            .map(|(_, name)| name.clone())
            .collect()
    }

    /// Returns the expected time in microseconds until the agent completes the answer, plus the
    /// delay that the request causes to others there.
    fn score(&self, agent: &Agent, placement: PlacementRequest<'_>, cached_tokens: u32) -> u64 {
        let load = agent.load;
        let step_us = nonzero_or(u64::from(load.step_us), UNKNOWN_STEP_US);
        let missing_tokens = placement.prompt_tokens.saturating_sub(cached_tokens);
        let prompt_us = prefill_us(agent, missing_tokens);
        let run_us = prompt_us + u64::from(placement.output_tokens) * step_us;
        let slots = u64::from(agent.upstream.slots.max(1));
        let occupied = agent.occupied_slots();
        // Each request of a batch slows the others down, so of two engines with free slots the
        // less occupied one finishes this request and its others sooner.
        let shared_us = run_us * occupied / slots;
        // A prefill delays every request of the batch, so the saving of a cached prefix grows
        // with the batch.
        let held_up_us = prompt_us * occupied / HELD_UP_DIVISOR;
        let asked = agent.reserved.len() as u64 / placement.count.max(1) as u64;
        let queued = (occupied + asked).saturating_sub(slots);
        let queued_us = queued * run_us / slots;
        let backlog_us = if load.free_slots > 0 {
            0
        } else {
            u64::from(load.backlog_ms) * 1_000
        };
        let far_us = if agent.upstream.data_centre == self.policy.data_centre {
            0
        } else {
            OTHER_DATA_CENTRE_US
        };
        run_us + shared_us + held_up_us + queued_us + backlog_us + far_us
    }

    /// Returns how many leading blocks of the prompt each agent probably has cached. A prefix
    /// that is cached nowhere has a preferred agent, so that entries that don't know of each
    /// other's requests start at the same agent.
    fn cached_tokens(
        &self,
        placement: PlacementRequest<'_>,
        names: &[Arc<str>],
        now_ms: u64,
    ) -> Cached {
        let Some(first_block) = placement.prefix.first() else {
            return Cached::new();
        };
        let cached = self.hints.cached_blocks(placement.prefix, now_ms);
        if !cached.is_empty() {
            return cached;
        }
        let preferred = names
            .iter()
            .max_by_key(|name| rendezvous(*first_block, name));
        preferred
            .map(|name| (name.clone(), 1))
            .into_iter()
            .collect()
    }

    /// Records that a prompt with these leading blocks is sent to `agent`.
    pub fn record_prefix(&mut self, prefix: &[u64], agent: &Arc<str>, now_ms: u64) {
        self.hints.record(prefix, agent, now_ms);
    }

    /// Forgets the cached prefixes of `agent`, whose upstream has lost its cache.
    pub fn forget_prefixes(&mut self, agent: &str) {
        self.hints.forget(agent);
    }

    fn choose_links(&mut self, catalog: &Catalog) {
        let mut by_target: IndexMap<Target, Vec<&Arc<Upstream>>> = IndexMap::new();
        for upstream in catalog.upstreams.values() {
            for target in targets(&upstream.serves) {
                by_target.entry(target).or_default().push(upstream);
            }
        }
        let count = self.policy.per_target(by_target.len());
        self.serving = by_target
            .iter()
            .map(|(target, upstreams)| (target.clone(), upstreams.len()))
            .collect();
        self.linked_by_target = by_target
            .into_iter()
            .map(|(target, upstreams)| (target, self.nearest(upstreams, count)))
            .collect();
    }

    fn nearest(&self, mut upstreams: Vec<&Arc<Upstream>>, count: usize) -> Vec<Arc<str>> {
        let mut hasher = XxHash64::with_seed(0);
        hasher.write(self.policy.entry.as_bytes());
        let entry = hasher.finish();
        upstreams.sort_by_key(|upstream| {
            (
                upstream.activity != Activity::Active,
                upstream.data_centre != self.policy.data_centre,
                rendezvous(entry, &upstream.name),
            )
        });
        // Some links go to other data centres, in case the own data centre is lost as a whole.
        let near = count - count / FAR_SHARE;
        if upstreams.len() > near {
            upstreams[near..].sort_by_key(|upstream| {
                let is_leaving = upstream.activity != Activity::Active;
                (is_leaving, rendezvous(entry, &upstream.name))
            });
        }
        upstreams
            .into_iter()
            .take(count)
            .map(|upstream| upstream.name.clone())
            .collect()
    }
}

/// Returns the expected time in microseconds to compute a prompt at `agent`.
fn prefill_us(agent: &Agent, prompt_tokens: u32) -> u64 {
    let rate = nonzero_or(
        u64::from(agent.load.prefill_tokens_per_s),
        UNKNOWN_PREFILL_TOKENS_PER_S,
    );
    u64::from(prompt_tokens) * 1_000_000 / rate
}

/// Returns all targets that an upstream serves.
fn targets(serves: &Serves) -> Vec<Target> {
    match serves {
        Serves::Models(models) => models.iter().cloned().map(Target::Model).collect(),
        Serves::Service(service) => vec![Target::Service(service.clone())],
    }
}

fn nonzero_or(value: u64, default: u64) -> u64 {
    if value == 0 { default } else { value }
}

/// Returns the rendezvous hash of a key and a name. The name with the highest hash is preferred
/// for the key; if a name goes away, only the keys that preferred it move.
fn rendezvous(key: u64, name: &str) -> u64 {
    XxHash64::oneshot(key, name.as_bytes())
}
