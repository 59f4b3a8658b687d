//! Follows rollouts in the store, and writes their status.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::backoff::Backoff;
use crate::direct::membership::store_role;
use crate::direct::membership::store_role::StoreRole;
use crate::direct::replication::read_cursor::ReadCursor;
use crate::direct::replication::store_follower::MAX_RETRY_PAUSE_MS;
use crate::direct::replication::store_follower::MIN_RETRY_PAUSE_MS;
use crate::direct::replication::store_follower::STARTUP_PAUSE;
use crate::direct::rollout::object::Rollout;
use crate::direct::rollout::object::RolloutStatus;
use crate::logging::Level;
use crate::logging::Line;
use crate::store::ReadError;
use crate::store::position::StorePosition;

/// How long a watch waits for a change. A connection that falls silent is noticed only after this
/// time and the call's timeout, which is soon enough for rollouts with windows of several seconds.
const WATCH_WAIT_MS: u64 = 2_000;

/// A change of a rollout in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutEvent {
    /// The rollout was created or has changed.
    Put(Rollout),
    /// The rollout was removed, or its object is no longer a valid rollout.
    Removed {
        /// The name of the object.
        name: Arc<str>,
        /// The store's position at the removal.
        revision: StorePosition,
    },
}

/// A batch of changes of rollouts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutBatch {
    /// The position from which to watch next.
    pub position: StorePosition,
    /// The changes, or all rollouts if this is a list.
    pub events: Vec<RolloutEvent>,
}

/// Why a status was not written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StatusWriteError {
    /// The rollout has changed meanwhile.
    #[error("the roll-out has changed meanwhile")]
    Conflict,
    /// The rollout no longer exists.
    #[error("the roll-out no longer exists")]
    Removed,
    /// It is unknown whether the status was written.
    #[error("{reason}")]
    Unknown {
        /// The cause.
        reason: Arc<str>,
    },
}

/// A store of rollouts: the platform's store, or a stand-in for tests.
pub trait RolloutStore {
    /// Lists all rollouts.
    ///
    /// # Errors
    ///
    /// When the store does not answer, or not as expected.
    fn list_rollouts(&self) -> impl Future<Output = Result<RolloutBatch, ReadError>>;

    /// Waits for changes after a position, and returns them.
    ///
    /// # Errors
    ///
    /// When the store does not answer, or no longer has the changes after that revision.
    fn watch_rollouts(
        &self,
        after: StorePosition,
        wait_ms: u64,
    ) -> impl Future<Output = Result<RolloutBatch, ReadError>>;

    /// Writes the status of a rollout if it still has the known revision.
    ///
    /// # Errors
    ///
    /// When the rollout has changed or no longer exists, or the store does not answer.
    fn write_status(
        &self,
        rollout: &Rollout,
        status: RolloutStatus,
    ) -> impl Future<Output = Result<Rollout, StatusWriteError>>;
}

/// The rollouts as last read from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutView {
    /// All rollouts.
    pub rollouts: Vec<Rollout>,
    /// The store's position of the list.
    pub position: StorePosition,
}

/// Follows the rollouts in the store, and publishes them.
#[derive(Clone, Debug)]
pub struct RolloutFollower {
    known: Rc<RefCell<IndexMap<Arc<str>, Rollout>>>,
    view: watch::Sender<Option<RolloutView>>,
    role: watch::Receiver<StoreRole>,
}

impl RolloutFollower {
    /// Creates a follower that knows no rollouts yet, and publishes them to `view`.
    #[must_use]
    pub fn new(view: watch::Sender<Option<RolloutView>>, role: watch::Receiver<StoreRole>) -> Self {
        Self {
            known: Rc::default(),
            view,
            role,
        }
    }

    /// Follows the rollouts until the process ends.
    pub async fn follow(&self, store: &impl RolloutStore) {
        let mut backoff = Backoff::new(MIN_RETRY_PAUSE_MS, MAX_RETRY_PAUSE_MS);
        let mut role = self.role.clone();
        let mut cursor = ReadCursor::default();
        let mut is_unavailable = false;
        while store_role::wait_for_call(&mut role).await {
            let after = cursor.watch_after(None);
            let read = match after {
                None => store.list_rollouts().await,
                Some(after) => store.watch_rollouts(after, WATCH_WAIT_MS).await,
            };
            match read {
                Ok(batch) => {
                    is_unavailable = false;
                    backoff.reset();
                    let is_first = after.is_none();
                    cursor.advance(batch.position);
                    self.apply(batch, is_first);
                    if is_first {
                        sleep(STARTUP_PAUSE).await;
                    }
                }
                Err(ReadError::TooOld) => cursor.restart(),
                Err(ReadError::OtherEra { .. }) => {
                    cursor.restart();
                    let pause_ms = backoff.next_ms(rand::random());
                    sleep(Duration::from_millis(pause_ms)).await;
                }
                Err(error) => {
                    if !std::mem::replace(&mut is_unavailable, true) {
                        Line::new(Level::Warn, "roll-outs can't be read from the store")
                            .field("error", error.to_string())
                            .send();
                    }
                    cursor.record_failure();
                    let pause_ms = backoff.next_ms(rand::random());
                    sleep(Duration::from_millis(pause_ms)).await;
                }
            }
        }
    }

    /// Writes queued statuses, one after the other, until the process ends.
    pub async fn write(
        &self,
        store: &impl RolloutStore,
        mut due_statuses: UnboundedReceiver<(Rollout, RolloutStatus)>,
    ) {
        while let Some((rollout, status)) = due_statuses.recv().await {
            if self.is_stale(&rollout) {
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
                    let position = written.revision;
                    let events = vec![RolloutEvent::Put(written)];
                    self.apply(RolloutBatch { position, events }, false);
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

    /// Returns whether the store has shown a later revision than the one that a write was meant
    /// for.
    fn is_stale(&self, rollout: &Rollout) -> bool {
        let known = self.known.borrow();
        let known = known.values().find(|known| known.id == rollout.id);
        known.is_some_and(|known| known.revision > rollout.revision)
    }

    /// Lists the rollouts to learn the outcome of a write that may have been done.
    async fn read_back(&self, store: &impl RolloutStore) {
        match store.list_rollouts().await {
            Ok(batch) => self.apply(batch, true),
            Err(error) => Line::new(Level::Warn, "roll-out status can't be read back")
                .field("error", error.to_string())
                .send(),
        }
    }

    /// Applies a batch of changes, or all rollouts if `is_whole`, and publishes the result.
    fn apply(&self, batch: RolloutBatch, is_whole: bool) {
        let mut known = self.known.borrow_mut();
        let is_newer =
            |known: &IndexMap<Arc<str>, Rollout>, name: &str, revision: StorePosition| {
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
            known.retain(|name, rollout| rollout.revision > batch.position || listed(name));
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
            view.position = view.position.max(batch.position);
        });
    }
}
