//! Decides which version of a service's upstreams serves requests.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::direct::rollout::object::Rollout;
use crate::direct::rollout::object::RolloutStatus;
use crate::direct::store_view::directory::Upstream;

/// The serving version of each service. A version without a rollout gets no requests.
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
    /// Returns the serving version, if any upstream of the service was ever listed.
    ///
    /// ```
    /// # use sardinewood::direct::rollout::serving_versions::ServingVersions;
    /// assert_eq!(ServingVersions::default().serving("s"), None);
    /// ```
    #[must_use]
    pub fn serving(&self, service: &str) -> Option<&Arc<str>> {
        self.serving.get(service)
    }

    /// Updates the serving versions from the listed upstreams and the known rollouts.
    ///
    /// For a service without a completed rollout, it is the version with the oldest listed
    /// upstream. New upstreams are listed beside the old ones, at times before their rollout can be
    /// read.
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
                // A version that is or was under judgement never becomes the serving one by its
                // age.
                RolloutStatus::Ordered | RolloutStatus::InProgress | RolloutStatus::Reverted => {
                    if self.serving.get(service) == Some(&rollout.id.to)
                        && let Some(other) =
                            oldest_version(upstreams, service, Some(&rollout.id.to))
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
            let version = oldest_version(upstreams, service, except)
                .or(oldest_version(upstreams, service, None));
            if let Some(version) = version {
                self.serving.insert(Arc::clone(service), version);
            }
        }
    }
}

/// Returns the version of the service's oldest listed upstream, passing over the version `except`.
fn oldest_version(
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
