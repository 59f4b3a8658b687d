//! The upstreams, entries and faults of an experiment, laid out one by one.

use std::sync::Arc;

use sardinewood::config::objects::Serves;
use sardinewood::config::objects::Target;

use crate::scenario::Deployment;
use crate::scenario::EngineKind;
use crate::scenario::Experiment;
use crate::scenario::FaultKind;
use crate::workload::Request;

/// One upstream.
#[derive(Clone, Debug)]
pub struct UpstreamSpec {
    /// Its name.
    pub name: Arc<str>,
    /// How it computes.
    pub kind: EngineKind,
    /// The index of its data centre.
    pub data_centre: usize,
    /// What it serves.
    pub serves: Serves,
}

impl UpstreamSpec {
    /// Whether it serves `target`.
    #[must_use]
    pub fn can_serve(&self, target: &Target) -> bool {
        self.serves.includes(target)
    }
}

/// A fault of one upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamFault {
    /// The index of the upstream.
    pub upstream: usize,
    /// What happens.
    pub kind: FaultKind,
    /// When it starts.
    pub from_us: u64,
    /// When it is over.
    pub until_us: u64,
}

/// All that an experiment runs on.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// All upstreams.
    pub upstreams: Vec<UpstreamSpec>,
    /// The data centre of each entry.
    pub entries: Vec<usize>,
    /// The names of the data centres.
    pub data_centres: Vec<Arc<str>>,
    /// All faults.
    pub faults: Vec<UpstreamFault>,
    /// One way within a data centre.
    pub within_us: u64,
    /// One way between two data centres.
    pub between_us: u64,
    /// One way between a caller and its entry.
    pub client_us: u64,
    /// When the last caller has left.
    pub end_us: u64,
}

impl Fleet {
    /// Lays out an experiment that serves `requests`.
    #[must_use]
    pub fn new(experiment: &Experiment, requests: &[Request]) -> Self {
        let deployment = &experiment.deployment;
        let upstreams = upstreams(deployment);
        let last_us = requests.iter().map(|request| request.deadline_us).max();
        let end_us = last_us.unwrap_or(experiment.scenario.duration_ms * 1000);
        let entries = (0..deployment.data_centres.len())
            .flat_map(|data_centre| {
                std::iter::repeat_n(data_centre, deployment.entries_per_data_centre as usize)
            })
            .collect();
        Self {
            faults: faults(experiment, &upstreams),
            upstreams,
            entries,
            data_centres: deployment.data_centres.clone(),
            within_us: deployment.within_data_centre_us,
            between_us: deployment.between_data_centres_us,
            client_us: deployment.client_us,
            end_us,
        }
    }

    /// One way between an entry and an upstream's host.
    #[must_use]
    pub fn latency_us(&self, entry: usize, upstream: usize) -> u64 {
        if self.entries[entry] == self.upstreams[upstream].data_centre {
            self.within_us
        } else {
            self.between_us
        }
    }
}

fn upstreams(deployment: &Deployment) -> Vec<UpstreamSpec> {
    let mut upstreams = Vec::new();
    for group in &deployment.upstreams {
        let data_centre = deployment
            .data_centres
            .iter()
            .position(|name| *name == group.data_centre);
        for number in 0..group.count {
            upstreams.push(UpstreamSpec {
                name: format!("{}/{number}", group.name).into(),
                kind: deployment.engine_kinds[&group.kind].clone(),
                data_centre: data_centre.unwrap_or(0),
                serves: group.serves.clone(),
            });
        }
    }
    upstreams
}

fn faults(experiment: &Experiment, upstreams: &[UpstreamSpec]) -> Vec<UpstreamFault> {
    let mut faults = Vec::new();
    for fault in &experiment.scenario.faults {
        for group in &fault.groups {
            for number in 0..fault.count {
                let name = format!("{group}/{number}");
                let upstream = upstreams.iter().position(|u| *u.name == *name);
                faults.extend(upstream.map(|upstream| UpstreamFault {
                    upstream,
                    kind: fault.kind,
                    from_us: fault.from_ms * 1000,
                    until_us: fault.until_ms.map_or(u64::MAX, |until_ms| until_ms * 1000),
                }));
            }
        }
    }
    faults
}
