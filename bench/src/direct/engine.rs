//! An engine as its entries find it: so many requests at a time, the rest in order of arrival.
//!
//! That a batch slows its tokens is left out: on the users' engines a full one takes two parts
//! in a hundred longer.

use std::collections::VecDeque;

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// How much longer than speed 1 it takes.
    pub slowness: f64,
    slots: usize,
    running: Vec<usize>,
    queue: VecDeque<usize>,
    /// The most that it has had at a time.
    pub most: usize,
}

impl Engine {
    /// An idle engine.
    #[must_use]
    pub fn new(slots: usize, slowness: f64) -> Self {
        Self {
            slowness,
            slots,
            running: Vec::new(),
            queue: VecDeque::new(),
            most: 0,
        }
    }

    /// Takes a run; true if it begins at once.
    pub fn take(&mut self, run: usize) -> bool {
        let begins = self.running.len() < self.slots;
        if begins {
            self.running.push(run);
        } else {
            self.queue.push_back(run);
        }
        self.most = self.most.max(self.running.len() + self.queue.len());
        begins
    }

    /// Ends a run, whether it had begun or not; the run that begins in its place.
    pub fn end(&mut self, run: usize) -> Option<usize> {
        self.queue.retain(|queued| *queued != run);
        let before = self.running.len();
        self.running.retain(|running| *running != run);
        if self.running.len() == before {
            return None;
        }
        let next = self.queue.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    /// Loses all that it has.
    pub fn lose_all(&mut self) -> Vec<usize> {
        let running = std::mem::take(&mut self.running);
        running.into_iter().chain(self.queue.drain(..)).collect()
    }
}
