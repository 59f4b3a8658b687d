//! Says beforehand what a change does, for an operator who has to confirm it.

use std::sync::Arc;

use crate::config::catalog::Catalog;
use crate::config::object::Kind;
use crate::config::objects::Activity;
use crate::config::objects::Serves;
use crate::config::objects::Target;
use crate::config::objects::Upstream;
use crate::operator::messages::Action;
use crate::operator::messages::ChangeRequest;

/// What a change would do, a sentence each.
///
/// ```
/// use sardinewood::config::catalog::Catalog;
/// use sardinewood::operator::effects::effects_of;
/// use sardinewood::operator::messages::ChangeRequest;
///
/// let request: ChangeRequest = serde_json::from_str(r#"{
///     "id": "c1", "kind": "profiles", "name": "lookup", "expected": {"version": 7},
///     "action": "delete", "reason": "not in use"
/// }"#).unwrap();
/// let effects = effects_of(&request, &Catalog::default());
/// assert_eq!(effects, ["Requests that name the profile lookup are refused.".into()]);
/// ```
#[must_use]
pub fn effects_of(request: &ChangeRequest, catalog: &Catalog) -> Vec<Arc<str>> {
    let name = &request.name;
    let effects = match (&request.action, request.kind) {
        (Action::Delete, Kind::Profiles) => {
            vec![format!(
                "Requests that name the profile {name} are refused."
            )]
        }
        (Action::Delete, Kind::Customers) => {
            vec![format!("The keys of customer {name} are refused.")]
        }
        (Action::Delete, Kind::Operators) => {
            vec![format!("The tokens of operator {name} are refused.")]
        }
        (Action::Delete, Kind::Upstreams) => {
            let mut effects = vec![format!("{name} leaves the system and gets no work.")];
            effects.extend(capacity_left(name, None, catalog));
            effects
        }
        (Action::Put(spec), Kind::Upstreams) => match serde_json::from_value(spec.clone()) {
            Ok(upstream) => effects_on_upstream(&upstream, catalog),
            Err(_) => Vec::new(),
        },
        (Action::Put(_), kind) => vec![format!("{} {name} is as given.", singular(kind))],
    };
    effects.into_iter().map(Arc::from).collect()
}

fn effects_on_upstream(upstream: &Upstream, catalog: &Catalog) -> Vec<String> {
    let name = &upstream.name;
    let first = match upstream.activity {
        Activity::Active => format!("{name} takes work in {} slots.", upstream.slots),
        Activity::Draining => {
            format!("{name} gets no new work; what runs there is finished.")
        }
        Activity::Stopped => format!(
            "{name} gets no new work; what runs there is cancelled where it may run again elsewhere."
        ),
    };
    let mut effects = vec![first];
    effects.extend(capacity_left(name, Some(upstream), catalog));
    effects
}

/// How many slots each target keeps that the upstream serves now or then.
fn capacity_left(name: &str, after: Option<&Upstream>, catalog: &Catalog) -> Vec<String> {
    let before = catalog.upstreams.get(name).map(AsRef::as_ref);
    let mut targets: Vec<Target> = before.into_iter().chain(after).flat_map(targets).collect();
    targets.sort();
    targets.dedup();
    let sentence = |target: Target| {
        let others = catalog.upstreams.values().map(AsRef::as_ref);
        let others = others.filter(|upstream| *upstream.name != *name);
        let left: u32 = others
            .chain(after)
            .filter(|upstream| upstream.activity == Activity::Active && upstream.can_serve(&target))
            .map(|upstream| upstream.slots)
            .sum();
        let served = match &target {
            Target::Model(model) => format!("model {model}"),
            Target::Service(service) => format!("service {service}"),
        };
        match left {
            0 => {
                format!("NO slots are left for {served}: its requests of every tier wait or fail.")
            }
            _ => format!("{left} slots are left for {served}, shared by every tier."),
        }
    };
    targets.into_iter().map(sentence).collect()
}

fn targets(upstream: &Upstream) -> Vec<Target> {
    match &upstream.serves {
        Serves::Models(models) => models.iter().cloned().map(Target::Model).collect(),
        Serves::Service(service) => vec![Target::Service(Arc::clone(service))],
    }
}

fn singular(kind: Kind) -> &'static str {
    match kind {
        Kind::Profiles => "Profile",
        Kind::Upstreams => "Upstream",
        Kind::Customers => "Customer",
        Kind::Operators => "Operator",
    }
}
