//! How long the record of a removed object stays in the store.
//!
//! A removed object is kept as a record, so that its trail is kept. Without an end to that the
//! store and every process would hold each name that ever was. Nobody is set aside to clean up:
//! whoever carries out a removal also takes away some records that have had their time.

use std::sync::Arc;

use crate::config::Config;
use crate::config::object::Kind;
use crate::config::object::ObjectKey;
use crate::config::state::ConfigState;
use crate::logging::Level;
use crate::logging::Line;
use crate::store::StoreClient;
use crate::store::position::StorePosition;

/// How long the record of a removed object is kept: 90 days.
pub const RETENTION_MS: u64 = 90 * 24 * 60 * 60 * 1_000;

/// How many records one removal takes away. More than one, so that they become fewer.
const RECORDS_AT_A_TIME: usize = 2;

/// The removed objects whose records have had their time, with their versions.
///
/// ```
/// use sardinewood::config::state::ConfigState;
/// use sardinewood::operator::retention::expired;
///
/// assert!(expired(&ConfigState::default(), 0).is_empty());
/// ```
#[must_use]
pub fn expired(state: &ConfigState, now_ms: u64) -> Vec<(ObjectKey, StorePosition)> {
    let keys = Kind::ALL.into_iter().flat_map(|kind| state.keys(kind));
    let expired = keys.filter_map(|key| {
        let (version, content) = state.get(&key)?;
        let content = content?;
        let removed_at_ms = content.change?.at_ms;
        let is_over = content.spec.is_none() && now_ms.saturating_sub(removed_at_ms) > RETENTION_MS;
        is_over.then_some((key, version))
    });
    expired.collect()
}

/// Takes some records away that have had their time. Each is a conditional removal: an object
/// that was created anew meanwhile stays. What fails is left for the next removal.
///
/// ```no_run
/// # async fn clean(store: sardinewood::store::StoreClient, config: sardinewood::config::Config) {
/// sardinewood::operator::retention::take_away_expired(&store, &config, 0).await;
/// # }
/// ```
pub async fn take_away_expired(store: &StoreClient, config: &Config, now_ms: u64) {
    let mut expired = expired(&config.state().borrow(), now_ms);
    expired.sort_by_key(|(_, version)| *version);
    for (key, version) in expired.into_iter().take(RECORDS_AT_A_TIME) {
        let name = Arc::clone(&key.name);
        let answer = store.delete(key.kind.as_str(), &name, version).await;
        Line::new(Level::Info, "record of a removed object ended")
            .field("object", key.to_string())
            .field("version", version)
            .field("answer", format!("{answer:?}"))
            .send();
    }
}
