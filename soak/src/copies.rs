//! A store that returns from older copies of itself, and whether changes are in force in time.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use platform_testkit::node::call;
use platform_testkit::store_stand_in::StoreCopy;
use platform_testkit::store_stand_in::StoreStandIn;
use reqwest::Client;
use reqwest::StatusCode;
use reqwest::header::HeaderValue;
use tokio::time::sleep;

/// Time within which a configuration has to be in force.
const CONFIG_BOUND: Duration = Duration::from_secs(2);
/// Time between two copies, and the age of the oldest one.
const COPY_EVERY: Duration = Duration::from_millis(500);
const OLDEST: Duration = Duration::from_secs(5);
/// How long callers of the check wait.
const PATIENCE_MS: u64 = 1_000;

/// Copies of a store, and its era.
#[derive(Debug, Default)]
pub struct Copies {
    kept: VecDeque<(Instant, StoreCopy)>,
    era: u64,
}

impl Copies {
    /// Starts with a store that names its first era.
    #[must_use]
    pub fn of(store: &StoreStandIn) -> Self {
        store.set_era("1");
        Self {
            kept: VecDeque::new(),
            era: 1,
        }
    }

    /// Keeps a copy if it is time.
    pub fn keep(&mut self, store: &StoreStandIn) {
        let now = Instant::now();
        if self
            .kept
            .back()
            .is_none_or(|(at, _)| now >= *at + COPY_EVERY)
        {
            self.kept.push_back((now, store.copy()));
        }
        while self.kept.front().is_some_and(|(at, _)| now >= *at + OLDEST) {
            self.kept.pop_front();
        }
    }

    /// Lets the store return from the oldest copy.
    pub fn lose(&mut self, store: &StoreStandIn) {
        if let Some((_, copy)) = self.kept.front() {
            self.era += 1;
            store.return_from(copy, self.era);
        }
        self.kept.clear();
    }
}

/// Prefix of the keys, and of the names of requests that the check sends with them.
const KEY_PREFIX: &str = "key-of-";

/// Returns whether a request was sent by the check.
#[must_use]
pub fn is_of_check(request: &str) -> bool {
    request.starts_with(KEY_PREFIX)
}

/// The key that a version of the configuration adds and the next one revokes.
#[must_use]
pub fn key_of(version: u64) -> String {
    format!("{KEY_PREFIX}{version}")
}

/// Returns how many entries take the key of the version before, or not that of this one, once the
/// configuration has to be in force.
pub async fn late_entries(entries: &[SocketAddr], version: u64, before: u64) -> usize {
    sleep(CONFIG_BOUND).await;
    let mut late = 0;
    for entry in entries {
        let knows = is_known(*entry, &key_of(version)).await;
        let knows_before = is_known(*entry, &key_of(before)).await;
        late += usize::from(!knows || knows_before);
    }
    late
}

async fn is_known(entry: SocketAddr, key: &str) -> bool {
    let mut request = call(&Client::new(), entry, "/safe/a", key, PATIENCE_MS)
        .build()
        .expect("a request");
    let value = HeaderValue::from_str(key).expect("a key");
    request.headers_mut().insert("Credential", value);
    let answer = Client::new()
        .execute(request)
        .await
        .expect("an answer in a calm time");
    answer.status() != StatusCode::UNAUTHORIZED
}
