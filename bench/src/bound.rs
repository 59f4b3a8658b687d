//! What a scheduler that knows every length, arrival and fault could complete at most.
//!
//! The bound is a relaxation. Each set of upstreams that serves the same work becomes one
//! resource that can be divided at will: a request costs the least engine time that any
//! upstream could spend on it (its unshared prompt tokens at the prefill rate, its output
//! tokens at the step time of a full batch), may be computed in pieces, on all upstreams at
//! once, at any time between its arrival and its deadline, and counts by the part computed.
//! Latency, KV limits, cold caches and not knowing are left out, and nothing is ever wasted.
//! Only a request that no upstream could finish in time even if it were alone counts nothing.
//!
//! With time in slots, a choice is feasible exactly if in every interval the work whose
//! windows lie inside fits the interval's capacity (Hall's condition). Such choices form a
//! polymatroid, so taking requests by value per work, each as far as it fits, is optimal.

use indexmap::IndexSet;
use sardinewood::config::objects::Serves;
use sardinewood::config::objects::TIER_COUNT;
use sardinewood::config::objects::Target;

use crate::fleet::Fleet;
use crate::scenario::EngineKind;
use crate::scenario::FaultKind;
use crate::workload::Request;

/// Time slots; windows are widened to whole slots, which keeps the bound a bound.
const SLOT_US: u64 = 500_000;

/// The most that can be completed.
#[derive(Clone, Debug, PartialEq)]
pub struct Bound {
    /// Requests of each tier, if the fleet worked for that tier alone.
    pub by_tier: [f64; TIER_COUNT],
    /// The sum of tier weights over all work together.
    pub weighted: f64,
    /// Offered work against the capacity while work arrives, of the pool with the most.
    pub utilization: f64,
}

/// Computes the bound for some requests on a fleet.
#[must_use]
pub fn bound(fleet: &Fleet, requests: &[Request], tier_weights: &[f64; TIER_COUNT]) -> Bound {
    let pools = pools(fleet);
    let mut by_tier = [0.0; TIER_COUNT];
    let mut weighted = 0.0;
    let mut utilization = 0.0_f64;
    for pool in &pools {
        let jobs = pool.jobs(fleet, requests, tier_weights);
        utilization = utilization.max(pool.utilization(&jobs));
        for (tier, sum) in by_tier.iter_mut().enumerate() {
            let own = jobs.iter().filter(|job| job.tier == tier).cloned();
            let alone: Vec<Job> = own.map(|job| Job { value: 1.0, ..job }).collect();
            *sum += pool.best(alone);
        }
        weighted += pool.best(jobs);
    }
    Bound {
        by_tier,
        weighted,
        utilization,
    }
}

/// Work in seconds of the pool's reference upstream.
#[derive(Clone, Debug)]
struct Job {
    tier: usize,
    value: f64,
    work_s: f64,
    first_slot: usize,
    last_slot: usize,
}

/// Upstreams that serve the same work.
struct Pool {
    targets: IndexSet<Target>,
    reference: EngineKind,
    /// Seconds of the reference upstream that each slot offers, summed from the start.
    capacity_until: Vec<f64>,
}

fn targets(serves: &Serves) -> Vec<Target> {
    match serves {
        Serves::Models(models) => models.iter().cloned().map(Target::Model).collect(),
        Serves::Service(service) => vec![Target::Service(service.clone())],
    }
}

/// Groups upstreams that share a target, directly or through others.
fn pools(fleet: &Fleet) -> Vec<Pool> {
    let mut groups: Vec<(IndexSet<Target>, Vec<usize>)> = Vec::new();
    for (index, upstream) in fleet.upstreams.iter().enumerate() {
        let mut merged: IndexSet<Target> = targets(&upstream.serves).into_iter().collect();
        let mut members = vec![index];
        let (joined, apart): (Vec<_>, Vec<_>) = groups
            .into_iter()
            .partition(|(known, _)| known.iter().any(|target| merged.contains(target)));
        for (known, indices) in joined {
            merged.extend(known);
            members.extend(indices);
        }
        groups = apart;
        groups.push((merged, members));
    }
    groups
        .into_iter()
        .map(|(targets, members)| Pool::new(fleet, targets, &members))
        .collect()
}

/// The least engine time of a prompt token.
#[expect(clippy::cast_precision_loss, reason = "rates are far below 52 bits")]
fn prefill_s(kind: &EngineKind) -> f64 {
    1.0 / kind.prefill_tokens_per_s as f64
}

/// The least engine time of an output token: its part of a step of a full batch.
#[expect(
    clippy::cast_precision_loss,
    reason = "step times are far below 52 bits"
)]
fn output_s(kind: &EngineKind) -> f64 {
    let base_us = kind.step_base_us as f64 / f64::from(kind.slots);
    (base_us + kind.step_per_request_us as f64) / 1e6
}

/// The time of an output token of a request that has an engine for itself.
#[expect(
    clippy::cast_precision_loss,
    reason = "step times are far below 52 bits"
)]
fn alone_s(kind: &EngineKind) -> f64 {
    (kind.step_base_us + kind.step_per_request_us) as f64 / 1e6
}

impl Pool {
    fn new(fleet: &Fleet, targets: IndexSet<Target>, members: &[usize]) -> Self {
        let reference = members
            .iter()
            .map(|&member| &fleet.upstreams[member].kind)
            .max_by_key(|kind| kind.prefill_tokens_per_s)
            .cloned()
            .unwrap_or_else(|| fleet.upstreams[0].kind.clone());
        let slots = usize::try_from(fleet.end_us / SLOT_US).unwrap_or(usize::MAX) + 2;
        let mut capacity_until = vec![0.0; slots + 1];
        for slot in 0..slots {
            let capacity_s: f64 = members
                .iter()
                .map(|&member| slot_capacity_s(fleet, member, slot, &reference))
                .sum();
            capacity_until[slot + 1] = capacity_until[slot] + capacity_s;
        }
        Self {
            targets,
            reference,
            capacity_until,
        }
    }

    fn jobs(&self, fleet: &Fleet, requests: &[Request], weights: &[f64; TIER_COUNT]) -> Vec<Job> {
        let last = self.capacity_until.len() - 2;
        let slot = |at_us: u64| usize::try_from(at_us / SLOT_US).map_or(last, |s| s.min(last));
        requests
            .iter()
            .filter(|request| self.targets.contains(&request.target))
            .filter(|request| is_possible(fleet, request))
            .map(|request| {
                let tier = usize::from(request.tier.0);
                Job {
                    tier,
                    value: weights[tier],
                    work_s: self.work_s(request),
                    first_slot: slot(request.arrival_us),
                    last_slot: slot(request.deadline_us),
                }
            })
            .collect()
    }

    fn work_s(&self, request: &Request) -> f64 {
        f64::from(least_prefill_tokens(request)) * prefill_s(&self.reference)
            + f64::from(request.output_tokens) * output_s(&self.reference)
    }

    fn utilization(&self, jobs: &[Job]) -> f64 {
        let last = jobs.iter().map(|job| job.first_slot).max().unwrap_or(0);
        let offered_s: f64 = jobs.iter().map(|job| job.work_s).sum();
        offered_s / self.capacity_until[last + 1].max(f64::MIN_POSITIVE)
    }

    /// The highest value of work that fits.
    fn best(&self, mut jobs: Vec<Job>) -> f64 {
        jobs.sort_by(|a, b| (b.value * a.work_s).total_cmp(&(a.value * b.work_s)));
        let slots = self.capacity_until.len() - 1;
        let mut load = IntervalLoad::new(slots, &self.capacity_until);
        let mut value = 0.0;
        for job in &jobs {
            let taken_s = load.room_s(job).min(job.work_s);
            load.add(job, taken_s);
            value += job.value * taken_s / job.work_s;
        }
        value
    }
}

/// The room left in each interval of slots for work whose window lies inside.
struct IntervalLoad {
    slots: usize,
    room: Vec<f64>,
}

impl IntervalLoad {
    fn new(slots: usize, capacity_until: &[f64]) -> Self {
        let mut room = vec![0.0; slots * slots];
        for first in 0..slots {
            for last in first..slots {
                room[first * slots + last] = capacity_until[last + 1] - capacity_until[first];
            }
        }
        Self { slots, room }
    }

    fn room_s(&self, job: &Job) -> f64 {
        let mut least = f64::INFINITY;
        for first in 0..=job.first_slot {
            let row = &self.room[first * self.slots..(first + 1) * self.slots];
            for room in &row[job.last_slot..] {
                least = least.min(*room);
            }
        }
        least.max(0.0)
    }

    fn add(&mut self, job: &Job, taken_s: f64) {
        for first in 0..=job.first_slot {
            let row = &mut self.room[first * self.slots..(first + 1) * self.slots];
            for room in &mut row[job.last_slot..] {
                *room -= taken_s;
            }
        }
    }
}

/// Prompt tokens that no cache can hold ready.
fn least_prefill_tokens(request: &Request) -> u32 {
    let shared: u32 = request.prefix.iter().map(|part| part.tokens).sum();
    request.prompt_tokens.saturating_sub(shared).max(1)
}

/// Whether some upstream could finish the request in time if it had nothing else to do.
fn is_possible(fleet: &Fleet, request: &Request) -> bool {
    #[expect(clippy::cast_precision_loss, reason = "windows are far below 52 bits")]
    let patience_s = (request.deadline_us - request.arrival_us) as f64 / 1e6;
    fleet
        .upstreams
        .iter()
        .filter(|upstream| upstream.can_serve(&request.target))
        .any(|upstream| {
            let prefill_s = f64::from(least_prefill_tokens(request)) * prefill_s(&upstream.kind);
            let decode_s = f64::from(request.output_tokens - 1) * alone_s(&upstream.kind);
            prefill_s + decode_s <= patience_s
        })
}

/// What an upstream offers in a slot, in seconds of the reference.
fn slot_capacity_s(fleet: &Fleet, member: usize, slot: usize, reference: &EngineKind) -> f64 {
    let kind = &fleet.upstreams[member].kind;
    let by_prefill = prefill_s(reference) / prefill_s(kind);
    let by_output = output_s(reference) / output_s(kind);
    let speed = by_prefill.max(by_output);
    let start_us = slot as u64 * SLOT_US;
    let mut offered = 1.0_f64;
    for fault in fleet.faults.iter().filter(|f| f.upstream == member) {
        // Only a fault that covers the whole slot lowers its capacity.
        if fault.from_us > start_us || fault.until_us < start_us + SLOT_US {
            continue;
        }
        match fault.kind {
            FaultKind::Slow(times) => offered = offered.min(1.0 / times),
            FaultKind::Lost => offered = 0.0,
            FaultKind::AgentPaused => {}
        }
    }
    #[expect(clippy::cast_precision_loss, reason = "a slot is far below 52 bits")]
    let slot_s = SLOT_US as f64 / 1e6;
    slot_s * speed * offered
}

/// Sums the offered requests by tier.
#[must_use]
pub fn offered_by_tier(requests: &[Request]) -> Vec<usize> {
    let mut counts = vec![0; TIER_COUNT];
    for request in requests {
        counts[usize::from(request.tier.0)] += 1;
    }
    counts
}
