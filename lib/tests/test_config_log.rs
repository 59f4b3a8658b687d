//! What the log says about the configuration.

use std::sync::Arc;

use sardinewood::config::catalog::Catalog;
use sardinewood::config::log::change_lines;
use sardinewood::config::objects::Profile;
use sardinewood::logging::Line;
use sardinewood::store::position::StorePosition;
use serde_json::json;

fn catalog(revision: u64, profiles: &[(&str, u8)]) -> Catalog {
    let mut catalog = Catalog {
        revision: StorePosition::new(0, revision),
        ..Catalog::default()
    };
    for (name, tier) in profiles {
        let value = json!({"name": name, "tier": tier, "deadline_ms": 1});
        let profile: Profile = serde_json::from_value(value).unwrap();
        catalog.profiles.insert((*name).into(), Arc::new(profile));
    }
    catalog
}

fn shown(before: &Catalog, after: &Catalog) -> Vec<String> {
    let lines = change_lines(before, after);
    lines.iter().map(Line::json).collect()
}

#[test]
fn change_lines_name_added_changed_and_removed() {
    let before = catalog(1, &[("same", 1), ("raised", 1), ("removed", 1)]);
    let after = catalog(2, &[("same", 1), ("raised", 0), ("added", 1)]);
    let expected = json!({
        "message": "configuration in force", "revision": 2, "changed_count": 3,
        "changed": ["profiles/raised", "profiles/added", "profiles/removed"],
    });
    let [line] = shown(&before, &after).try_into().unwrap();
    let line: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert_eq!(line, expected);
}

#[test]
fn change_lines_bound_the_names_of_a_first_list() {
    let names: Vec<_> = (0..2_000).map(|number| format!("p{number}")).collect();
    let profiles: Vec<_> = names.iter().map(|name| (name.as_str(), 1)).collect();
    let [line] = shown(&Catalog::default(), &catalog(9, &profiles))
        .try_into()
        .unwrap();
    assert!(line.ends_with("\"changed_count\":2000}"), "{line}");
    assert!(line.len() < 1_000, "{}", line.len());
}
