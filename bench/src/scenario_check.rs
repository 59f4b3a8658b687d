//! The check of scenario files; it reports all findings at once.

use std::sync::Arc;

use indexmap::IndexSet;

use crate::scenario::Deployment;
use crate::scenario::FaultKind;
use crate::scenario::Finding;
use crate::scenario::Reports;
use crate::scenario::Scenario;
use crate::scenario::Tokens;
use sardinewood::config::objects::Serves;
use sardinewood::config::objects::TIER_COUNT;
use sardinewood::config::objects::Target;

/// All that is wrong with a scenario and its deployment.
///
/// ```
/// use std::path::Path;
/// use sardinewood_bench::scenario;
///
/// let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
/// let experiment = scenario::load(&directory.join("keg-steady.json")).unwrap();
/// let findings =
///     sardinewood_bench::scenario_check::check(&experiment.scenario, &experiment.deployment);
/// assert!(findings.is_empty());
/// ```
#[must_use]
pub fn check(scenario: &Scenario, deployment: &Deployment) -> Vec<Finding> {
    let mut findings = Findings::default();
    check_deployment(deployment, &mut findings);
    check_profiles(deployment, &mut findings);
    check_work(scenario, deployment, &mut findings);
    check_faults(scenario, deployment, &mut findings);
    check_reports("load_reports", &scenario.load_reports, &mut findings);
    check_reports("cache_events", &scenario.cache_events, &mut findings);
    findings.found
}

#[derive(Default)]
struct Findings {
    found: Vec<Finding>,
}

impl Findings {
    fn require(&mut self, holds: bool, place: impl Into<String>, message: impl Into<String>) {
        if holds {
            return;
        }
        self.found.push(Finding {
            place: place.into(),
            message: message.into(),
        });
    }
}

fn check_deployment(deployment: &Deployment, findings: &mut Findings) {
    findings.require(
        !deployment.data_centres.is_empty(),
        "data_centres",
        "is empty",
    );
    findings.require(
        deployment.entries_per_data_centre > 0,
        "entries_per_data_centre",
        "must be at least 1",
    );
    for (name, kind) in &deployment.engine_kinds {
        let place = format!("engine_kinds.{name}");
        findings.require(
            kind.slots > 0,
            format!("{place}.slots"),
            "must be at least 1",
        );
        findings.require(
            kind.step_base_us > 0,
            format!("{place}.step_base_us"),
            "must be at least 1",
        );
        findings.require(
            kind.prefill_tokens_per_s > 0,
            format!("{place}.prefill_tokens_per_s"),
            "must be at least 1",
        );
        findings.require(
            kind.chunk_tokens > 0,
            format!("{place}.chunk_tokens"),
            "must be at least 1",
        );
    }
    let mut names = IndexSet::new();
    for (index, group) in deployment.upstreams.iter().enumerate() {
        let place = format!("upstreams[{index}]");
        findings.require(
            names.insert(Arc::clone(&group.name)),
            format!("{place}.name"),
            format!("{:?} is used twice", group.name),
        );
        findings.require(
            deployment.engine_kinds.contains_key(&group.kind),
            format!("{place}.kind"),
            format!("no engine kind {:?}", group.kind),
        );
        findings.require(
            deployment.data_centres.contains(&group.data_centre),
            format!("{place}.data_centre"),
            format!("no data centre {:?}", group.data_centre),
        );
    }
    findings.require(!deployment.customers.is_empty(), "customers", "is empty");
    for (index, customer) in deployment.customers.iter().enumerate() {
        findings.require(
            customer.weight > 0,
            format!("customers[{index}].weight"),
            "must be at least 1",
        );
        findings.require(
            customer.arrivals >= 0.0,
            format!("customers[{index}].arrivals"),
            "must not be negative",
        );
    }
}

fn check_profiles(deployment: &Deployment, findings: &mut Findings) {
    findings.require(!deployment.profiles.is_empty(), "profiles", "is empty");
    for profile in &deployment.profiles {
        let place = format!("profiles.{}", profile.name);
        findings.require(
            usize::from(profile.tier.0) < TIER_COUNT,
            format!("{place}.tier"),
            format!("must be below {TIER_COUNT}"),
        );
        findings.require(
            profile.rate_per_s >= 0.0,
            format!("{place}.rate_per_s"),
            "must not be negative",
        );
        findings.require(
            profile.prefixes > 0,
            format!("{place}.prefixes"),
            "must be at least 1",
        );
        check_tokens(&place, "prompt_tokens", &profile.prompt_tokens, findings);
        check_tokens(&place, "output_tokens", &profile.output_tokens, findings);
        findings.require(
            profile.output_tokens.min > 0,
            format!("{place}.output_tokens.min"),
            "must be at least 1",
        );
        findings.require(
            serves_target(deployment, &profile.target),
            format!("{place}.target"),
            "no upstream serves it",
        );
    }
}

fn serves_target(deployment: &Deployment, target: &Target) -> bool {
    deployment
        .upstreams
        .iter()
        .any(|group| match (&group.serves, target) {
            (Serves::Models(models), Target::Model(model)) => models.contains(model),
            (Serves::Service(own), Target::Service(service)) => own == service,
            _ => false,
        })
}

fn check_tokens(place: &str, field: &str, tokens: &Tokens, findings: &mut Findings) {
    findings.require(
        tokens.min <= tokens.max,
        format!("{place}.{field}"),
        "min is above max",
    );
    findings.require(
        tokens.median > 0.0 && tokens.sigma >= 0.0,
        format!("{place}.{field}"),
        "median must be above 0 and sigma not negative",
    );
}

fn check_work(scenario: &Scenario, deployment: &Deployment, findings: &mut Findings) {
    findings.require(
        scenario.duration_ms > 0,
        "duration_ms",
        "must be at least 1",
    );
    findings.require(scenario.load >= 0.0, "load", "must not be negative");
    let has_profile = |name: &Arc<str>| deployment.profiles.iter().any(|p| p.name == *name);
    let has_customer = |name: &Arc<str>| deployment.customers.iter().any(|c| c.name == *name);
    for (index, surge) in scenario.surges.iter().enumerate() {
        let place = format!("surges[{index}]");
        if let Some(profile) = &surge.profile {
            findings.require(
                has_profile(profile),
                format!("{place}.profile"),
                format!("no profile {profile:?}"),
            );
        }
        if let Some(customer) = &surge.customer {
            findings.require(
                has_customer(customer),
                format!("{place}.customer"),
                format!("no customer {customer:?}"),
            );
        }
        findings.require(
            surge.from_ms < surge.until_ms,
            place.clone(),
            "from_ms is not before until_ms",
        );
        findings.require(
            surge.times >= 0.0,
            format!("{place}.times"),
            "must not be negative",
        );
    }
    for (index, long) in scenario.long_requests.iter().enumerate() {
        findings.require(
            has_profile(&long.profile),
            format!("long_requests[{index}].profile"),
            format!("no profile {:?}", long.profile),
        );
    }
}

fn check_faults(scenario: &Scenario, deployment: &Deployment, findings: &mut Findings) {
    for (index, fault) in scenario.faults.iter().enumerate() {
        let place = format!("faults[{index}]");
        if let FaultKind::Slow(times) = fault.kind {
            findings.require(times >= 1.0, format!("{place}.kind"), "slow below 1");
        }
        if let Some(until_ms) = fault.until_ms {
            findings.require(
                fault.from_ms < until_ms,
                place.clone(),
                "from_ms is not before until_ms",
            );
        }
        for name in &fault.groups {
            let group = deployment.upstreams.iter().find(|g| g.name == *name);
            findings.require(
                group.is_some(),
                format!("{place}.groups"),
                format!("no upstream group {name:?}"),
            );
            let count = group.map_or(u32::MAX, |group| group.count);
            findings.require(
                fault.count <= count,
                format!("{place}.count"),
                format!("{name:?} has only {count}"),
            );
        }
    }
}

fn check_reports(place: &str, reports: &Reports, findings: &mut Findings) {
    findings.require(
        reports.every_ms > 0,
        format!("{place}.every_ms"),
        "must be at least 1",
    );
    findings.require(
        (0.0..=1.0).contains(&reports.lost_share),
        format!("{place}.lost_share"),
        "must be between 0 and 1",
    );
}
