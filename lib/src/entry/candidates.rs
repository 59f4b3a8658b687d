//! What an entry knows of the agents, and which of them are asked for a grant.

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

/// One link in so many goes to an agent of any data centre.
const FAR_SHARE: usize = 4;
/// Added to the expected time at an upstream of another data centre, so that of two equal
/// ones the near one is asked.
const OTHER_DATA_CENTRE_US: u64 = 2_000;
/// Of the requests that a prefill holds up, this part counts (1 of so many).
const HELD_UP_DIVISOR: u64 = 2;
/// Taken for an upstream that has not reported its speed yet.
const UNKNOWN_PREFILL_TOKENS_PER_S: u64 = 5_000;
/// Taken for an upstream that has not reported its speed yet.
const UNKNOWN_STEP_US: u64 = 10_000;

/// What an entry knows of one agent.
#[derive(Debug)]
pub struct Agent {
    /// The upstream beside it, as it was last configured.
    pub upstream: Arc<Upstream>,
    /// Whether the configuration still has it.
    pub configured: bool,
    /// The incarnation at the other end of the link, while there is one.
    pub linked: Option<Incarnation>,
    /// The load that it reported last; stale on arrival.
    pub load: Load,
    /// Requests that ran there from here when the load came.
    pub running_at_report: usize,
    /// The newest configuration revision that it has.
    pub revision: u64,
    /// When its last heartbeat came.
    pub heard_at_ms: Option<u64>,
    /// Requests with a reservation there.
    pub reserved: IndexSet<RequestId>,
    /// Requests with an attempt there.
    pub running: IndexSet<RequestId>,
    /// It is not asked before this time.
    pub backoff_until_ms: u64,
    /// The incarnation and sequence of the newest grant that came from it.
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
            revision: 0,
            heard_at_ms: None,
            reserved: IndexSet::new(),
            running: IndexSet::new(),
            backoff_until_ms: 0,
            newest_grant: None,
        }
    }

    /// Slots in use there: those of the report, corrected by what went there from here and
    /// ended since. A report is stale on arrival, but one's own part is known exactly.
    #[must_use]
    pub fn occupied_slots(&self) -> u64 {
        let reported = u64::from(self.upstream.slots.saturating_sub(self.load.free_slots));
        (reported + self.running.len() as u64).saturating_sub(self.running_at_report as u64)
    }

    /// Whether it may get new work.
    #[must_use]
    pub fn takes_work(&self, now_ms: u64) -> bool {
        self.configured
            && self.linked.is_some()
            && self.upstream.activity == Activity::Active
            && self.backoff_until_ms <= now_ms
    }
}

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// What the request asks for.
    pub target: &'a Target,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Output tokens that it is expected to take.
    pub output_tokens: u32,
    /// Fingerprints of the prompt's leading blocks.
    pub prefix: &'a [u64],
    /// How many agents to choose.
    pub count: usize,
    /// Breaks ties, so that entries with the same hints do not all ask the same agents.
    pub nonce: u64,
}

/// How links are chosen.
///
/// ```
/// use sardinewood::entry::candidates::LinkPolicy;
///
/// let choice = LinkPolicy { entry: "entry-1".into(), data_centre: "wdh-1".into(), max_links: 192 };
/// assert_eq!(choice.per_target(2), 96);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkPolicy {
    /// The name of this entry, which spreads the entries over the agents.
    pub entry: Arc<str>,
    /// Where this entry stands; near agents are linked first.
    pub data_centre: Arc<str>,
    /// Links kept for all targets together, so that many entries before many agents do not
    /// mean a link for each pair.
    pub max_links: usize,
}

/// Links kept for each target, however many targets there are: twice the usual number of
/// candidates, so that there is a choice.
const MIN_LINKS_PER_TARGET: usize = 8;

impl LinkPolicy {
    /// Links kept for each of so many targets.
    #[must_use]
    pub fn per_target(&self, targets: usize) -> usize {
        (self.max_links / targets.max(1)).max(MIN_LINKS_PER_TARGET)
    }
}

/// All agents that an entry knows.
#[derive(Debug)]
pub struct AgentTable {
    choice: LinkPolicy,
    agents: IndexMap<Arc<str>, Agent>,
    linked_by_target: IndexMap<Target, Vec<Arc<str>>>,
    hints: PrefixHints,
    /// How many agents the configuration has for each target.
    serving: IndexMap<Target, usize>,
}

/// Agents and how many leading blocks of a prompt they are likely to have cached.
type Cached = Vec<(Arc<str>, u32)>;

impl AgentTable {
    /// A table without agents.
    #[must_use]
    pub fn new(choice: LinkPolicy) -> Self {
        Self {
            choice,
            agents: IndexMap::new(),
            linked_by_target: IndexMap::new(),
            hints: PrefixHints::default(),
            serving: IndexMap::new(),
        }
    }

    /// An agent by name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Agent> {
        self.agents.get(name)
    }

    /// An agent by name, to change what is known of it.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Agent> {
        self.agents.get_mut(name)
    }

    /// All agents.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Agent)> {
        self.agents.iter()
    }

    /// Whether the configuration has an upstream for `target`.
    #[must_use]
    pub fn serves(&self, target: &Target) -> bool {
        self.linked_by_target.contains_key(target)
    }

    /// About how many entries there are: as many as have a link to one agent, times the
    /// agents for each of which an entry keeps only one link.
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

    /// Whether `is_out` holds for each agent that could be asked for `target`.
    pub fn all_agents_match(&self, target: &Target, is_out: impl Fn(&str) -> bool) -> bool {
        self.linked_by_target
            .get(target)
            .is_none_or(|names| names.iter().all(|name| is_out(name)))
    }

    /// Takes over a new configuration. An agent that is gone from it stays known until
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

    /// Forgets the agents that are gone from the configuration and have no attempts.
    pub fn forget_gone(&mut self) {
        self.agents
            .retain(|_, agent| agent.configured || !agent.running.is_empty());
    }

    /// The agents to which a link is wanted, and where they are reached.
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

    /// Chooses the agents to ask, the most promising first.
    pub fn choose(
        &self,
        wanted: PlacementRequest<'_>,
        now_ms: u64,
        excluded: impl Fn(&str) -> bool,
    ) -> Vec<Arc<str>> {
        let Some(names) = self.linked_by_target.get(wanted.target) else {
            return Vec::new();
        };
        let cached = self.cached_tokens(wanted, names, now_ms);
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
                    .then(|| (self.score(agent, wanted, cached_tokens(name)), name))
            })
            .collect();
        scored.sort_unstable_by_key(|(total_us, name)| (*total_us, rendezvous(wanted.nonce, name)));
        scored
            .into_iter()
            .take(wanted.count)
            .map(|(_, name)| name.clone())
            .collect()
    }

    /// Expected time to the end of the answer there in microseconds, with what it costs the
    /// others.
    fn score(&self, agent: &Agent, wanted: PlacementRequest<'_>, cached_tokens: u32) -> u64 {
        let load = agent.load;
        let step_us = nonzero_or(u64::from(load.step_us), UNKNOWN_STEP_US);
        let missing_tokens = wanted.prompt_tokens.saturating_sub(cached_tokens);
        let prompt_us = prefill_us(agent, missing_tokens);
        let run_us = prompt_us + u64::from(wanted.output_tokens) * step_us;
        let slots = u64::from(agent.upstream.slots.max(1));
        let occupied = agent.occupied_slots();
        // Each request of a batch slows the others down, so of two engines with room the
        // emptier one is done first, and the work there too.
        let shared_us = run_us * occupied / slots;
        // A prompt that is computed holds up every request of the batch, so what a cached
        // prefix saves grows with the batch.
        let held_up_us = prompt_us * occupied / HELD_UP_DIVISOR;
        let asked = agent.reserved.len() as u64 / wanted.count.max(1) as u64;
        let queued = (occupied + asked).saturating_sub(slots);
        let queued_us = queued * run_us / slots;
        let backlog_us = if load.free_slots > 0 {
            0
        } else {
            u64::from(load.backlog_ms) * 1_000
        };
        let far_us = if agent.upstream.data_centre == self.choice.data_centre {
            0
        } else {
            OTHER_DATA_CENTRE_US
        };
        run_us + shared_us + held_up_us + queued_us + backlog_us + far_us
    }

    /// Tokens of the prompt that are likely to be cached, by agent. A prefix that is cached
    /// nowhere has a home, so that entries that don't know of each other's requests begin
    /// at the same agent.
    fn cached_tokens(
        &self,
        wanted: PlacementRequest<'_>,
        names: &[Arc<str>],
        now_ms: u64,
    ) -> Cached {
        let Some(first_block) = wanted.prefix.first() else {
            return Cached::new();
        };
        let cached = self.hints.cached_blocks(wanted.prefix, now_ms);
        if !cached.is_empty() {
            return cached;
        }
        let home = names
            .iter()
            .max_by_key(|name| rendezvous(*first_block, name));
        home.map(|name| (name.clone(), 1)).into_iter().collect()
    }

    /// A prompt with these leading blocks is sent to `agent`.
    pub fn record_prefix(&mut self, prefix: &[u64], agent: &Arc<str>, now_ms: u64) {
        self.hints.record(prefix, agent, now_ms);
    }

    /// What the upstream of `agent` had cached is gone.
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
        let count = self.choice.per_target(by_target.len());
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
        hasher.write(self.choice.entry.as_bytes());
        let entry = hasher.finish();
        upstreams.sort_by_key(|upstream| {
            (
                upstream.activity != Activity::Active,
                upstream.data_centre != self.choice.data_centre,
                rendezvous(entry, &upstream.name),
            )
        });
        // Some links go elsewhere, for the day when the whole data centre is lost.
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

/// Expected time to compute a prompt there.
fn prefill_us(agent: &Agent, prompt_tokens: u32) -> u64 {
    let rate = nonzero_or(
        u64::from(agent.load.prefill_tokens_per_s),
        UNKNOWN_PREFILL_TOKENS_PER_S,
    );
    u64::from(prompt_tokens) * 1_000_000 / rate
}

/// Everything that an upstream can be asked for.
fn targets(serves: &Serves) -> Vec<Target> {
    match serves {
        Serves::Models(models) => models.iter().cloned().map(Target::Model).collect(),
        Serves::Service(service) => vec![Target::Service(service.clone())],
    }
}

fn nonzero_or(value: u64, default: u64) -> u64 {
    if value == 0 { default } else { value }
}

/// A number that depends on the key and the name only: the name with the greatest one is
/// the key's home, and losing a name moves only the keys that had it as their home.
fn rendezvous(key: u64, name: &str) -> u64 {
    XxHash64::oneshot(key, name.as_bytes())
}
