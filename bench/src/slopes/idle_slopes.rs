//! What heartbeats, probes and timers cost while nobody calls, on real sockets.

use std::time::Duration;

use testutils::engine_settings::EngineSettings;

use super::Slope;
use super::as_f64;
use crate::cpu_time;
use crate::loopback_fleet::FleetSize;
use crate::loopback_fleet::LoopbackFleet;

/// A small and a larger fleet, to tell the cost of a link from that of the process.
const FEW_AGENTS: usize = 4;
const MORE_AGENTS: usize = 64;

/// How long a fleet is watched.
const WATCHED: Duration = Duration::from_secs(10);

/// Processor time of one second.
struct IdleCost {
    entry_us_per_s: f64,
    agents_us_per_s: f64,
}

pub(super) fn measure() -> eyre::Result<Vec<Slope>> {
    let few = watch(FEW_AGENTS)?;
    let more = watch(MORE_AGENTS)?;
    let links = as_f64((MORE_AGENTS - FEW_AGENTS) as u64);
    let per_link = (more.entry_us_per_s - few.entry_us_per_s) / links;
    let alone = few.entry_us_per_s - per_link * as_f64(FEW_AGENTS as u64);
    let agent = more.agents_us_per_s / as_f64(MORE_AGENTS as u64);
    Ok(vec![
        slope("entry", "idle link", per_link),
        slope("entry", "process", alone),
        slope("agent", "process with one idle link", agent),
    ])
}

fn slope(role: &'static str, per: &'static str, value: f64) -> Slope {
    Slope {
        role,
        per,
        cost: "cpu_us_per_s",
        value,
        count: MORE_AGENTS,
    }
}

fn watch(agents: usize) -> eyre::Result<IdleCost> {
    let _fleet = LoopbackFleet::start(&FleetSize {
        engines: agents,
        engine: EngineSettings::default(),
        entry_threads: 2,
        agent_threads: 2,
        engine_threads: 2,
    })?;
    let before = cpu_time::by_role();
    std::thread::sleep(WATCHED);
    let used = cpu_time::since(&before);
    let per_s = |role: &str| {
        let used_us = used.get(role).copied().unwrap_or(0);
        as_f64(used_us) / WATCHED.as_secs_f64()
    };
    Ok(IdleCost {
        entry_us_per_s: per_s("entry"),
        agents_us_per_s: per_s("agent"),
    })
}
