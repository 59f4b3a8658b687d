//! Log lines about the configuration in force.

use std::sync::Arc;

use indexmap::IndexMap;
use tokio::sync::watch;

use crate::config::catalog::Catalog;
use crate::logging::Level;
use crate::logging::Line;

/// Names that one line spells out; a first list of a large fleet would be a line of its own
/// kind of trouble.
const NAMES_SHOWN: usize = 20;

/// Writes a line for each change of the configuration until nothing feeds it any more.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
/// let config = sardinewood::config::Config::default();
/// let catalog = config.catalog();
/// drop(config);
/// sardinewood::config::log::log_changes(catalog).await;
/// # });
/// ```
pub async fn log_changes(mut catalog: watch::Receiver<Arc<Catalog>>) {
    let mut before = Arc::new(Catalog::default());
    loop {
        let after = catalog.borrow_and_update().clone();
        for line in change_lines(&before, &after) {
            line.send();
        }
        before = after;
        if catalog.changed().await.is_err() {
            return;
        }
    }
}

/// The lines that a change of the configuration deserves; none if it is the same.
///
/// ```
/// # use sardinewood::store::position::StorePosition;
/// use sardinewood::config::catalog::Catalog;
/// use sardinewood::config::log::change_lines;
///
/// let before = Catalog::default();
/// let after = Catalog { revision: StorePosition::new(0, 7), ..Catalog::default() };
/// assert_eq!(change_lines(&before, &after).len(), 1);
/// assert_eq!(change_lines(&after, &after).len(), 0);
/// ```
#[must_use]
pub fn change_lines(before: &Catalog, after: &Catalog) -> Vec<Line> {
    let mut lines = Vec::new();
    if before.revision != after.revision {
        let mut changed = changed_names("profiles", &before.profiles, &after.profiles);
        changed.extend(changed_names(
            "upstreams",
            &before.upstreams,
            &after.upstreams,
        ));
        changed.extend(changed_names(
            "customers",
            &before.customers,
            &after.customers,
        ));
        changed.extend(changed_names(
            "operators",
            &before.operators,
            &after.operators,
        ));
        let count = changed.len();
        changed.truncate(NAMES_SHOWN);
        // The store's revision also moves with objects that are no configuration.
        let level = if changed.is_empty() {
            Level::Debug
        } else {
            Level::Info
        };
        let line = Line::new(level, "configuration in force")
            .revision(after.revision)
            .field("changed", changed)
            .field("changed_count", count);
        lines.push(line);
    }
    let new = |finding: &&_| !before.findings.contains(finding);
    for finding in after.findings.iter().filter(new) {
        let line = Line::new(Level::Warn, "object not in force")
            .revision(after.revision)
            .field("finding", finding.to_string());
        lines.push(line);
    }
    lines
}

/// The objects of a kind that were added, changed or removed.
fn changed_names<T: PartialEq>(
    kind: &str,
    before: &IndexMap<Arc<str>, Arc<T>>,
    after: &IndexMap<Arc<str>, Arc<T>>,
) -> Vec<String> {
    let differs = |name: &&Arc<str>| before.get(*name) != after.get(*name);
    let removed = before.keys().filter(|name| !after.contains_key(*name));
    let names = after.keys().chain(removed).filter(differs);
    names.map(|name| format!("{kind}/{name}")).collect()
}
