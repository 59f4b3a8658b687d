//! The requests of a scenario, drawn from a seed; every policy gets the same ones.

use std::rc::Rc;
use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::Distribution;
use rand_distr::Exp;
use rand_distr::LogNormal;
use sardinewood::config::objects::Target;
use sardinewood::config::objects::Tier;

use crate::engine_model::PrefixPart;
use crate::scenario::CustomerGroup;
use crate::scenario::Deployment;
use crate::scenario::Experiment;
use crate::scenario::OfferedProfile;
use crate::scenario::Scenario;
use crate::scenario::Tokens;

/// Tokens of the context that requests of one appointment share.
const APPOINTMENT_CONTEXT_TOKENS: u32 = 200;

/// One request of one caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// When the caller sends it.
    pub arrival_us: u64,
    /// When its answer is of no more use.
    pub deadline_us: u64,
    /// The index of the entry that the balancer picks.
    pub entry: usize,
    /// The name of its profile.
    pub profile: Arc<str>,
    /// Its importance.
    pub tier: Tier,
    /// Whose it is.
    pub customer: Arc<str>,
    /// The customer's weight.
    pub weight: u32,
    /// What it asks for.
    pub target: Target,
    /// Tokens of the prompt, shared parts included.
    pub prompt_tokens: u32,
    /// Tokens of the answer, known to the engine alone.
    pub output_tokens: u32,
    /// Tokens at which the answer would be cut.
    pub max_output_tokens: u32,
    /// The leading parts of the prompt.
    pub prefix: Rc<[PrefixPart]>,
    /// Whether it may run at most once.
    pub non_idempotent: bool,
    /// Whether the caller reads the answer token by token.
    pub streamed: bool,
    /// The appointment that it belongs to.
    pub appointment: Option<u32>,
}

/// A customer as the work is drawn for it.
struct Arriving {
    name: Arc<str>,
    weight: u32,
    group: Arc<str>,
    /// The end of its interval in the running sum of arrivals.
    until: f64,
}

/// Draws the requests of an experiment, in the order of their arrival.
///
/// ```
/// # use std::path::Path;
/// # let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
/// # let experiment =
/// #     sardinewood_bench::scenario::load(&directory.join("keg-steady.json")).unwrap();
/// use sardinewood_bench::workload;
///
/// let requests = workload::draw(&experiment, 1);
/// assert_eq!(requests.len(), workload::draw(&experiment, 1).len());
/// ```
#[must_use]
pub fn draw(experiment: &Experiment, seed: u64) -> Vec<Request> {
    let mut drawer = Drawer::new(experiment, seed);
    for profile in &experiment.deployment.profiles {
        drawer.draw_profile(profile);
    }
    drawer.draw_long_requests();
    let mut requests = drawer.requests;
    requests.sort_by_key(|request| request.arrival_us);
    requests
}

struct Drawer<'a> {
    scenario: &'a Scenario,
    deployment: &'a Deployment,
    customers: Vec<Arriving>,
    random: StdRng,
    requests: Vec<Request>,
    appointments: u32,
}

impl<'a> Drawer<'a> {
    fn new(experiment: &'a Experiment, seed: u64) -> Self {
        Self {
            scenario: &experiment.scenario,
            deployment: &experiment.deployment,
            customers: arriving(&experiment.deployment.customers),
            random: StdRng::seed_from_u64(seed),
            requests: Vec::new(),
            appointments: 0,
        }
    }

    /// Draws at the highest rate of the scenario and thins out what is too much at a time.
    fn draw_profile(&mut self, profile: &OfferedProfile) {
        let highest = self.highest_factor();
        let rate_per_s = profile.rate_per_s * self.scenario.load;
        let Ok(gaps) = Exp::new(rate_per_s * highest) else {
            return;
        };
        if rate_per_s <= 0.0 {
            return;
        }
        let mut at_us = 0;
        loop {
            at_us += micros(gaps.sample(&mut self.random));
            if at_us >= self.scenario.duration_ms * 1000 {
                return;
            }
            let customer = self.draw_customer();
            let factor = self.factor(profile, &self.customers[customer].group, at_us);
            if self.random.random::<f64>() * highest < factor {
                self.push_arrival(profile, customer, at_us);
            }
        }
    }

    fn push_arrival(&mut self, profile: &OfferedProfile, customer: usize, at_us: u64) {
        let Some(appointment) = &profile.appointment else {
            self.push(profile, customer, at_us, None);
            return;
        };
        self.appointments += 1;
        for number in 0..u64::from(appointment.requests) {
            let arrival_us = at_us + number * appointment.gap_ms * 1000;
            self.push(profile, customer, arrival_us, Some(self.appointments));
        }
    }

    fn push(
        &mut self,
        profile: &OfferedProfile,
        customer: usize,
        arrival_us: u64,
        appointment: Option<u32>,
    ) {
        let own_tokens = draw_tokens(&profile.prompt_tokens, &mut self.random);
        let output_tokens = draw_tokens(&profile.output_tokens, &mut self.random);
        let shared = self.random.random_range(0..profile.prefixes);
        let mut prefix = Vec::new();
        if profile.prefix_tokens > 0 {
            prefix.push(PrefixPart {
                fingerprint: fingerprint(&profile.name, shared, 0),
                tokens: profile.prefix_tokens,
            });
        }
        if let Some(appointment) = appointment {
            prefix.push(PrefixPart {
                fingerprint: fingerprint(&profile.name, shared, u64::from(appointment)),
                tokens: APPOINTMENT_CONTEXT_TOKENS,
            });
        }
        let shared_tokens: u32 = prefix.iter().map(|part| part.tokens).sum();
        let customer = &self.customers[customer];
        let entries =
            self.deployment.data_centres.len() * self.deployment.entries_per_data_centre as usize;
        self.requests.push(Request {
            arrival_us,
            deadline_us: arrival_us + profile.deadline_ms * 1000,
            entry: self.random.random_range(0..entries),
            profile: Arc::clone(&profile.name),
            tier: profile.tier,
            customer: Arc::clone(&customer.name),
            weight: customer.weight,
            target: profile.target.clone(),
            prompt_tokens: shared_tokens + own_tokens,
            output_tokens,
            max_output_tokens: profile.output_tokens.max,
            prefix: prefix.into(),
            non_idempotent: profile.non_idempotent,
            streamed: profile.streamed,
            appointment,
        });
    }

    fn draw_long_requests(&mut self) {
        for long in &self.scenario.long_requests {
            let profile = self
                .deployment
                .profiles
                .iter()
                .find(|profile| profile.name == long.profile);
            let Some(profile) = profile else {
                continue;
            };
            let arrival_us = long.at_ms * 1000;
            let customer = self.draw_customer();
            self.push(profile, customer, arrival_us, None);
            let Some(request) = self.requests.last_mut() else {
                continue;
            };
            request.prompt_tokens = long.prompt_tokens;
            request.output_tokens = long.output_tokens;
            request.max_output_tokens = long.output_tokens;
            request.deadline_us = arrival_us + long.deadline_ms * 1000;
            request.prefix = Rc::new([]);
        }
    }

    fn draw_customer(&mut self) -> usize {
        let total = self.customers.last().map_or(0.0, |last| last.until);
        let point = self.random.random::<f64>() * total;
        self.customers
            .iter()
            .position(|customer| point < customer.until)
            .unwrap_or(0)
    }

    fn highest_factor(&self) -> f64 {
        self.scenario
            .surges
            .iter()
            .map(|surge| surge.times.max(1.0))
            .product()
    }

    fn factor(&self, profile: &OfferedProfile, customer: &Arc<str>, at_us: u64) -> f64 {
        self.scenario
            .surges
            .iter()
            .filter(|surge| (surge.from_ms * 1000..surge.until_ms * 1000).contains(&at_us))
            .filter(|surge| surge.profile.as_ref().is_none_or(|p| *p == profile.name))
            .filter(|surge| surge.customer.as_ref().is_none_or(|c| c == customer))
            .map(|surge| surge.times)
            .product()
    }
}

fn arriving(groups: &[CustomerGroup]) -> Vec<Arriving> {
    let mut until = 0.0;
    let mut customers = Vec::new();
    for group in groups {
        for number in 0..group.count {
            until += group.arrivals / f64::from(group.count);
            let name = match group.count {
                1 => Arc::clone(&group.name),
                _ => format!("{}-{number}", group.name).into(),
            };
            customers.push(Arriving {
                name,
                weight: group.weight,
                group: Arc::clone(&group.name),
                until,
            });
        }
    }
    customers
}

fn draw_tokens(tokens: &Tokens, random: &mut StdRng) -> u32 {
    let Ok(distribution) = LogNormal::new(tokens.median.ln(), tokens.sigma) else {
        return tokens.min;
    };
    let drawn = distribution.sample(random);
    whole_tokens(drawn).clamp(tokens.min, tokens.max)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast of a float saturates, and the caller cuts the result at both ends"
)]
fn whole_tokens(tokens: f64) -> u32 {
    tokens.round() as u32
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "gaps are positive, and a cast of a float saturates"
)]
fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

/// A stable hash (FNV-1a), so that a seed gives the same run everywhere.
fn fingerprint(profile: &str, shared: u32, appointment: u64) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let numbers = u64::from(shared).to_le_bytes().into_iter();
    let numbers = numbers.chain(appointment.to_le_bytes());
    profile.bytes().chain(numbers).fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
