//! Drives [`freshness`]: records when the configuration and the list of upstreams were confirmed, and
//! tells how old they are.
//!
//! [`freshness`]: crate::direct::store_view::freshness

use std::sync::Arc;

use indexmap::IndexSet;

use crate::direct::request::call::Call;
use crate::direct::store_view::directory::Upstream;
use crate::direct::store_view::freshness::CatalogMark;
use crate::direct::store_view::freshness::ConfirmedBy;
use crate::direct::store_view::freshness::FreshnessStep;
use crate::direct::store_view::freshness::ListMark;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;
use crate::numbers;

impl TrafficState {
    /// Records that the configuration was the newest one at a time.
    pub fn confirm_catalog(&self, at_ms: u64, by: ConfirmedBy) {
        let mut freshness = self.catalog_freshness.get();
        freshness.confirm(at_ms, by);
        self.catalog_freshness.set(freshness);
    }

    /// Records up to when the store's answers to this entry cover what it uses.
    pub fn take_store_response(&self) {
        let own = self.revisions.get();
        if let Some(as_of) = self.last_store_response.catalog_as_of(own) {
            self.confirm_catalog(self.ms_at(as_of), ConfirmedBy::Store);
        }
        if let Some(as_of) = self.last_store_response.list_as_of(own) {
            self.confirm_list(self.ms_at(as_of), ConfirmedBy::Store);
        }
    }

    /// Compares the configuration's age with the time that changes may take, and logs when it passes
    /// that or no longer does. Returns whether it is older.
    pub fn check_catalog_age(&self) -> bool {
        let mut freshness = self.catalog_freshness.get();
        let bound_ms = self.config_bound_ms.get();
        match freshness.check(self.now_ms(), bound_ms) {
            FreshnessStep::Unchanged => {}
            FreshnessStep::BecameStale { age_ms } => {
                self.log(Level::Warn, "configuration may be out of date", |line| {
                    line.field("age_ms", age_ms).field("bound_ms", bound_ms)
                });
            }
            FreshnessStep::BecameFresh => {
                self.log(Level::Info, "configuration is confirmed again", |line| line);
            }
        }
        self.catalog_freshness.set(freshness);
        freshness.is_stale()
    }

    /// Returns the version and the age of the configuration in force, for logs.
    #[must_use]
    pub fn catalog_mark(&self) -> CatalogMark {
        self.take_store_response();
        let catalog = self.catalog.borrow();
        CatalogMark {
            version: catalog.as_ref().map(|catalog| catalog.version),
            age_ms: self.catalog_freshness.get().age_ms(self.now_ms()),
        }
    }

    /// Records that the list of upstreams was the newest one at a time.
    pub fn confirm_list(&self, at_ms: u64, by: ConfirmedBy) {
        let mut freshness = self.list_freshness.get();
        freshness.confirm(at_ms, by);
        self.list_freshness.set(freshness);
    }

    /// Returns the position and the age of the list of upstreams, for logs.
    #[must_use]
    pub fn list_mark(&self) -> ListMark {
        self.take_store_response();
        let freshness = self.list_freshness.get();
        ListMark {
            revision: self.revisions.get().directory,
            age_ms: freshness.age_ms(self.now_ms()),
            confirmed_by: freshness.confirmed_by(),
        }
    }

    /// Measures and logs how long upstreams may have been used that a new list lacks. The list was last
    /// confirmed before they left.
    pub fn record_departures(&self, usable: &[Arc<Upstream>]) {
        let usable: IndexSet<&str> = usable.iter().map(|upstream| &*upstream.instance).collect();
        let mark = self.list_mark();
        let book = self.rollouts.borrow();
        let departed = book
            .upstreams()
            .iter()
            .filter(|upstream| !usable.contains(&*upstream.instance));
        for upstream in departed {
            if let Some(known_within_ms) = mark.age_ms {
                let histogram = &self.metrics.leaving_known_within_ms;
                histogram.observe(numbers::as_f64(known_within_ms));
            }
            self.log(Level::Info, "upstream is not used any more", |line| {
                let line = line
                    .field("upstream", &upstream.instance)
                    .field("service", &upstream.service);
                mark.add_log_fields(line)
            });
        }
    }

    /// Counts and logs a request that is sent by a list which is older than upstreams may take to leave.
    pub fn check_list_of_sent(&self, call: &Call, upstream: &Upstream) {
        let bound_ms = self.drain_bound_ms.get();
        if call.list.age_ms.is_some_and(|age_ms| age_ms <= bound_ms) {
            return;
        }
        self.metrics.sent_by_old_list.inc();
        self.log(Level::Warn, "request is sent by an old list", |line| {
            let line = line
                .field("request", call.name())
                .field("upstream", &upstream.instance)
                .field("bound_ms", bound_ms);
            call.list.add_log_fields(line)
        });
    }
}
