//! Tests how an entry follows the roll-outs in a store that answers some calls only.

use std::cell::Cell;
use std::time::Duration;

use sardinewood::direct::membership::store_role::StoreRole;
use sardinewood::direct::replication::rollout_follower::RolloutBatch;
use sardinewood::direct::replication::rollout_follower::RolloutFollower;
use sardinewood::direct::replication::rollout_follower::RolloutStore;
use sardinewood::direct::replication::rollout_follower::StatusWriteError;
use sardinewood::direct::rollout::object::Rollout;
use sardinewood::direct::rollout::object::RolloutStatus;
use sardinewood::store::ReadError;
use sardinewood::store::position::StorePosition;
use tokio::sync::watch;
use tokio::time::timeout;

/// Longer than some failed watches and the pauses between them.
const LONG: Duration = Duration::from_secs(10);

/// A store that answers lists, each with a later position, and no watch.
#[derive(Default)]
struct ListsOnly {
    lists: Cell<u64>,
}

impl RolloutStore for ListsOnly {
    async fn list_rollouts(&self) -> Result<RolloutBatch, ReadError> {
        self.lists.set(self.lists.get() + 1);
        Ok(RolloutBatch {
            position: StorePosition::new(0, self.lists.get()),
            events: Vec::new(),
        })
    }

    async fn watch_rollouts(&self, _: StorePosition, _: u64) -> Result<RolloutBatch, ReadError> {
        Err(ReadError::Unavailable {
            reason: "cut".into(),
        })
    }

    async fn write_status(
        &self,
        _: &Rollout,
        _: RolloutStatus,
    ) -> Result<Rollout, StatusWriteError> {
        Err(StatusWriteError::Removed)
    }
}

/// Guards against an entry that never hears of a roll-out again, as each of its watches fails.
#[tokio::test(start_paused = true)]
async fn rollouts_listed_again_if_watches_fail() {
    let store = ListsOnly::default();
    let (view, mut seen) = watch::channel(None);
    let (_role, role) = watch::channel(StoreRole::Watches);
    let follower = RolloutFollower::new(view, role);
    let relisted = seen.wait_for(|view| {
        let position = view.as_ref().map(|view| view.position);
        position == Some(StorePosition::new(0, 2))
    });
    tokio::select! {
        () = follower.follow(&store) => panic!("it ended"),
        relisted = timeout(LONG, relisted) => assert!(relisted.is_ok()),
    }
}
