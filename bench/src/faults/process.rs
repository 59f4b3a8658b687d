//! A process that can be killed, started again, paused and resumed.

use std::collections::VecDeque;

/// Whether a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// It runs.
    Running,
    /// It is stopped; what reaches it waits.
    Paused,
    /// It is dead; what reaches it is lost.
    Dead,
}

/// A process with what has reached it while it was paused.
#[derive(Debug)]
pub struct Process<Input> {
    /// Whether it runs.
    pub condition: Condition,
    /// Counts its starts; what was meant for an earlier one is lost.
    pub start: u32,
    /// What reached it while it was paused, oldest first.
    pub inbox: VecDeque<Input>,
}

impl<Input> Default for Process<Input> {
    fn default() -> Self {
        Self {
            condition: Condition::Running,
            start: 1,
            inbox: VecDeque::new(),
        }
    }
}

impl<Input> Process<Input> {
    /// What to do with an input now; `None` if it waits or is lost.
    pub fn admit(&mut self, start: u32, input: Input) -> Option<Input> {
        if start != self.start {
            return None;
        }
        match self.condition {
            Condition::Running => Some(input),
            Condition::Paused => {
                self.inbox.push_back(input);
                None
            }
            Condition::Dead => None,
        }
    }

    /// Ends the process.
    pub fn kill(&mut self) {
        self.condition = Condition::Dead;
        self.start += 1;
        self.inbox.clear();
    }

    /// Whether it can open and accept connections.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.condition == Condition::Running
    }
}
