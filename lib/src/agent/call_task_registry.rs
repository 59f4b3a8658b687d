//! Registry of the command channels of call tasks, shared by the control thread and the
//! readers of links.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use indexmap::IndexMap;
use tokio::sync::mpsc;

use crate::agent::call_task::CallCommand;
use crate::ids::AttemptId;

type CommandSender = mpsc::UnboundedSender<CallCommand>;

/// The call task has ended and accepts no commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the call task of the attempt has ended")]
pub struct CallTaskEndedError;

/// The call tasks of an agent; clones share one registry.
///
/// The command channels need no limit: the control thread sends a few commands for each
/// attempt, and an entry sends no more acknowledgements than it received frames.
#[derive(Clone, Debug, Default)]
pub struct CallTaskRegistry {
    call_tasks: Arc<Mutex<IndexMap<AttemptId, CommandSender>>>,
}

impl CallTaskRegistry {
    /// Creates the command channel of a new call task. The task of an earlier call of the
    /// same attempt ends because its sender is dropped.
    #[must_use]
    pub fn add(&self, attempt: AttemptId) -> mpsc::UnboundedReceiver<CallCommand> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.lock().insert(attempt, sender);
        receiver
    }

    /// Sends a command to a call task.
    ///
    /// # Errors
    ///
    /// Returns [`CallTaskEndedError`] if the task has ended.
    pub fn send(&self, attempt: AttemptId, command: CallCommand) -> Result<(), CallTaskEndedError> {
        let is_last = matches!(command, CallCommand::DropAnswer);
        let mut call_tasks = self.lock();
        let commands = call_tasks.get(&attempt).ok_or(CallTaskEndedError)?;
        let sent = commands.send(command).map_err(|_| CallTaskEndedError);
        if is_last {
            call_tasks.swap_remove(&attempt);
        }
        sent
    }

    /// Removes the tasks that have ended.
    pub fn sweep(&self) {
        self.lock().retain(|_, commands| !commands.is_closed());
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<AttemptId, CommandSender>> {
        self.call_tasks
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
