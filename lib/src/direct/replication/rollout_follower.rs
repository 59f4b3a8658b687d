//! Follows the operators' orders of roll-outs in the store, and writes how far they have come.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::backoff::Backoff;
use crate::direct::replication::store_follower::FIRST_PAUSE_MS;
use crate::direct::replication::store_follower::MEET;
use crate::direct::replication::store_follower::MOST_PAUSE_MS;
use crate::direct::rollout::object::Rollout;
use crate::direct::rollout::object::RolloutStatus;
use crate::logging::Level;
use crate::logging::Line;
use crate::store::ReadError;

/// How long a watch waits for a change. A connection that falls silent shows only after this time
/// and the call's timeout; orders have windows of several seconds.
const WATCH_WAIT_MS: u64 = 2_000;

/// A change of an order in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutEvent {
    /// It was given or has changed.
    Put(Rollout),
    /// It was taken away, or is none any more.
    Removed {
        /// The name of its object.
        name: Arc<str>,
        /// The store's revision of that.
        revision: u64,
    },
}

/// What the store tells of orders.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutBatch {
    /// Where to watch from next.
    pub revision: u64,
    /// What has changed; all orders in a list.
    pub events: Vec<RolloutEvent>,
}

/// Why a status was not written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StatusWriteError {
    /// The order has changed meanwhile.
    #[error("the order has changed meanwhile")]
    Conflict,
    /// There is no such order any more.
    #[error("the order is gone")]
    Removed,
    /// Nobody knows whether it was written.
    #[error("{reason}")]
    Unknown {
        /// What went wrong.
        reason: Arc<str>,
    },
}

/// Where orders stand: the platform's store, or a stand-in.
pub trait RolloutStore {
    /// All orders.
    ///
    /// # Errors
    ///
    /// When the store does not answer, or not as expected.
    fn list_rollouts(&self) -> impl Future<Output = Result<RolloutBatch, ReadError>>;

    /// Changes after a revision; waits for one.
    ///
    /// # Errors
    ///
    /// When the store does not answer, or has forgotten that revision.
    fn watch_rollouts(
        &self,
        after: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<RolloutBatch, ReadError>>;

    /// Writes the status of an order if it still has the revision that is known.
    ///
    /// # Errors
    ///
    /// When it has changed, or the store does not answer.
    fn write_status(
        &self,
        rollout: &Rollout,
        status: RolloutStatus,
    ) -> impl Future<Output = Result<Rollout, StatusWriteError>>;
}

/// The orders as the store last showed them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutView {
    /// All orders.
    pub rollouts: Vec<Rollout>,
    /// The store's revision of them.
    pub revision: u64,
}

/// Keeps the orders that the store shows.
#[derive(Clone, Debug)]
pub struct RolloutFollower {
    known: Rc<RefCell<IndexMap<Arc<str>, Rollout>>>,
    view: watch::Sender<Option<RolloutView>>,
    watches_store: watch::Receiver<bool>,
}

impl RolloutFollower {
    /// A follower that knows nothing yet and tells `view` what it learns.
    #[must_use]
    pub fn new(
        view: watch::Sender<Option<RolloutView>>,
        watches_store: watch::Receiver<bool>,
    ) -> Self {
        Self {
            known: Rc::default(),
            view,
            watches_store,
        }
    }

    /// Follows the orders until the process ends.
    pub async fn follow(&self, store: &impl RolloutStore) {
        let mut backoff = Backoff::new(FIRST_PAUSE_MS, MOST_PAUSE_MS);
        let mut watches_store = self.watches_store.clone();
        let mut after = None;
        let mut is_out = false;
        loop {
            if watches_store.wait_for(|asks| *asks).await.is_err() {
                return;
            }
            let read = match after {
                None => store.list_rollouts().await,
                Some(after) => store.watch_rollouts(after, WATCH_WAIT_MS).await,
            };
            match read {
                Ok(batch) => {
                    is_out = false;
                    backoff.reset();
                    let is_first = after.is_none();
                    after = Some(batch.revision);
                    self.take(batch, is_first);
                    if is_first {
                        sleep(MEET).await;
                    }
                }
                Err(ReadError::TooOld) => after = None,
                Err(error) => {
                    if !std::mem::replace(&mut is_out, true) {
                        Line::new(Level::Warn, "store tells nothing of roll-outs")
                            .field("error", error.to_string())
                            .send();
                    }
                    let pause_ms = backoff.next_ms(rand::random());
                    sleep(Duration::from_millis(pause_ms)).await;
                }
            }
        }
    }

    /// Writes statuses, one after the other, until the process ends.
    pub async fn write(
        &self,
        store: &impl RolloutStore,
        mut due: UnboundedReceiver<(Rollout, RolloutStatus)>,
    ) {
        while let Some((rollout, status)) = due.recv().await {
            if self.is_behind(&rollout) {
                continue;
            }
            let line = |level, message| {
                Line::new(level, message)
                    .field("rollout", rollout.id.to_string())
                    .field("status", status.name())
                    .revision(rollout.revision)
            };
            match store.write_status(&rollout, status).await {
                Ok(written) => {
                    line(Level::Info, "roll-out status written").send();
                    let revision = written.revision;
                    let events = vec![RolloutEvent::Put(written)];
                    self.take(RolloutBatch { revision, events }, false);
                }
                Err(error) => {
                    line(Level::Warn, "roll-out status not written")
                        .field("error", error.to_string())
                        .send();
                    self.read_back(store).await;
                }
            }
        }
    }

    /// Whether the store has shown a later state than the one that a write was meant for.
    fn is_behind(&self, rollout: &Rollout) -> bool {
        let known = self.known.borrow();
        let known = known.values().find(|known| known.id == rollout.id);
        known.is_some_and(|known| known.revision > rollout.revision)
    }

    /// Sees what became of a write that may have been done.
    async fn read_back(&self, store: &impl RolloutStore) {
        match store.list_rollouts().await {
            Ok(batch) => self.take(batch, true),
            Err(error) => Line::new(Level::Warn, "roll-out status can't be read back")
                .field("error", error.to_string())
                .send(),
        }
    }

    fn take(&self, batch: RolloutBatch, is_whole: bool) {
        let mut known = self.known.borrow_mut();
        let is_newer = |known: &IndexMap<Arc<str>, Rollout>, name: &str, revision: u64| {
            known
                .get(name)
                .is_none_or(|rollout| rollout.revision < revision)
        };
        if is_whole {
            let listed = |name: &Arc<str>| {
                batch.events.iter().any(
                    |event| matches!(event, RolloutEvent::Put(rollout) if rollout.id.service == *name),
                )
            };
            known.retain(|name, rollout| rollout.revision > batch.revision || listed(name));
        }
        for event in batch.events {
            match event {
                RolloutEvent::Put(rollout) => {
                    let name = Arc::clone(&rollout.id.service);
                    if is_newer(&known, &name, rollout.revision) {
                        known.insert(name, rollout);
                    }
                }
                RolloutEvent::Removed { name, revision } => {
                    if is_newer(&known, &name, revision) {
                        known.shift_remove(&name);
                    }
                }
            }
        }
        let rollouts: Vec<Rollout> = known.values().cloned().collect();
        drop(known);
        self.view.send_modify(|view| {
            let view = view.get_or_insert_default();
            view.rollouts = rollouts;
            view.revision = view.revision.max(batch.revision);
        });
    }
}
