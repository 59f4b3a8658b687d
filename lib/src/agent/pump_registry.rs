//! Where the tasks of attempts take their orders, shared by the control thread and the
//! readers of links.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use indexmap::IndexMap;
use tokio::sync::mpsc;

use crate::agent::pump::PumpOrder;
use crate::ids::AttemptId;

type Orders = mpsc::UnboundedSender<PumpOrder>;

/// The pump has ended and takes no order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the attempt has no pump any more")]
pub struct PumpEndedError;

/// The pumps of an agent; clones share it.
///
/// Orders need no bound: the control thread sends a few for each attempt, and an entry's
/// acknowledgements are no more than the frames that it got.
#[derive(Clone, Debug, Default)]
pub struct PumpRegistry {
    pumps: Arc<Mutex<IndexMap<AttemptId, Orders>>>,
}

impl PumpRegistry {
    /// Makes the channel of a new pump. The pump of an earlier call of the same attempt
    /// is told to end by the loss of its sender.
    #[must_use]
    pub fn add(&self, attempt: AttemptId) -> mpsc::UnboundedReceiver<PumpOrder> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.lock().insert(attempt, sender);
        receiver
    }

    /// Passes an order on.
    ///
    /// # Errors
    ///
    /// The pump has ended.
    pub fn order(&self, attempt: AttemptId, order: PumpOrder) -> Result<(), PumpEndedError> {
        let is_last = matches!(order, PumpOrder::Forget);
        let mut pumps = self.lock();
        let orders = pumps.get(&attempt).ok_or(PumpEndedError)?;
        let sent = orders.send(order).map_err(|_| PumpEndedError);
        if is_last {
            pumps.swap_remove(&attempt);
        }
        sent
    }

    /// Removes the pumps that have ended.
    pub fn sweep(&self) {
        self.lock().retain(|_, orders| !orders.is_closed());
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<AttemptId, Orders>> {
        self.pumps.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
