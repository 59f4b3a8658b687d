//! Which version of a service's upstreams serves.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::direct::rollout::object::Rollout;
use crate::direct::rollout::object::RolloutStatus;
use crate::direct::store_view::directory::Upstream;

/// The versions that serve, by service. One that nobody ordered gets nothing.
///
/// ```
/// use sardinewood::direct::rollout::serving_versions::ServingVersions;
///
/// assert_eq!(ServingVersions::default().serving("s"), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServingVersions {
    serving: IndexMap<Arc<str>, Arc<str>>,
}

impl ServingVersions {
    /// The version that serves, if any upstream of the service was ever listed.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::serving_versions::ServingVersions;
    /// assert_eq!(ServingVersions::default().serving("s"), None);
    /// ```
    #[must_use]
    pub fn serving(&self, service: &str) -> Option<&Arc<str>> {
        self.serving.get(service)
    }

    /// Takes the upstreams that are listed, and the orders that are known.
    ///
    /// Of a service without a completed order the version serves whose entries are the oldest: new
    /// upstreams are listed beside the old ones, at times before their order can be read.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::serving_versions::ServingVersions;
    /// ServingVersions::default().update(&[], &[]);
    /// ```
    pub fn update(&mut self, upstreams: &[Arc<Upstream>], rollouts: &[Rollout]) {
        for rollout in rollouts {
            let service = &rollout.id.service;
            match rollout.status {
                RolloutStatus::Completed => {
                    let to = Arc::clone(&rollout.id.to);
                    self.serving.insert(Arc::clone(service), to);
                }
                // A version that is on trial, or was, never becomes the one that serves by its age.
                RolloutStatus::Ordered | RolloutStatus::InProgress | RolloutStatus::Reverted => {
                    if self.serving.get(service) == Some(&rollout.id.to)
                        && let Some(other) = oldest(upstreams, service, Some(&rollout.id.to))
                    {
                        self.serving.insert(Arc::clone(service), other);
                    }
                }
            }
        }
        for upstream in upstreams {
            let service = &upstream.service;
            if self.serving.contains_key(service) {
                continue;
            }
            let rollout = rollouts
                .iter()
                .find(|rollout| rollout.id.service == *service);
            let except = rollout.map(|rollout| &rollout.id.to);
            let version = oldest(upstreams, service, except).or(oldest(upstreams, service, None));
            if let Some(version) = version {
                self.serving.insert(Arc::clone(service), version);
            }
        }
    }
}

fn oldest(
    upstreams: &[Arc<Upstream>],
    service: &str,
    except: Option<&Arc<str>>,
) -> Option<Arc<str>> {
    upstreams
        .iter()
        .filter(|upstream| &*upstream.service == service && Some(&upstream.version) != except)
        .min_by_key(|upstream| upstream.revision)
        .map(|upstream| Arc::clone(&upstream.version))
}
