//! Where the tasks of attempts take their orders, shared by the control thread and the
//! readers of links.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use indexmap::IndexMap;
use tokio::sync::mpsc;

use crate::agent::call_task::CallCommand;
use crate::ids::AttemptId;

type Orders = mpsc::UnboundedSender<CallCommand>;

/// The pump has ended and takes no order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the attempt has no pump any more")]
pub struct CallTaskEndedError;

/// The pumps of an agent; clones share it.
///
/// Orders need no bound: the control thread sends a few for each attempt, and an entry's
/// acknowledgements are no more than the frames that it got.
#[derive(Clone, Debug, Default)]
pub struct CallTaskRegistry {
    pumps: Arc<Mutex<IndexMap<AttemptId, Orders>>>,
}

impl CallTaskRegistry {
    /// Makes the channel of a new pump. The pump of an earlier call of the same attempt
    /// is told to end by the loss of its sender.
    #[must_use]
    pub fn add(&self, attempt: AttemptId) -> mpsc::UnboundedReceiver<CallCommand> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.lock().insert(attempt, sender);
        receiver
    }

    /// Passes an order on.
    ///
    /// # Errors
    ///
    /// The pump has ended.
    pub fn order(&self, attempt: AttemptId, order: CallCommand) -> Result<(), CallTaskEndedError> {
        let is_last = matches!(order, CallCommand::Forget);
        let mut pumps = self.lock();
        let orders = pumps.get(&attempt).ok_or(CallTaskEndedError)?;
        let sent = orders.send(order).map_err(|_| CallTaskEndedError);
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
