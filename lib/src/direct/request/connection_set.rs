//! The connections of a listener that is not for callers, bounded in number.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;

use indexmap::IndexMap;
use tokio::task::AbortHandle;

/// Connections of which the one that was used least recently is closed when there are too many.
#[derive(Debug)]
pub struct ConnectionSet {
    max_connections: usize,
    next_id: Cell<u64>,
    /// The tasks of the connections, from the least to the most recently used.
    tasks: RefCell<IndexMap<u64, AbortHandle>>,
}

impl ConnectionSet {
    /// Creates a set of at most this many connections.
    #[must_use]
    pub fn new(max_connections: usize) -> Rc<Self> {
        Rc::new(Self {
            max_connections,
            next_id: Cell::default(),
            tasks: RefCell::default(),
        })
    }

    /// Serves a connection in a task on the current thread.
    pub fn spawn<F: Future<Output = ()> + 'static>(
        self: &Rc<Self>,
        serve: impl FnOnce(SetMember) -> F,
    ) {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let served = serve(SetMember {
            set: Rc::clone(self),
            id,
        });
        let task = tokio::task::spawn_local(served).abort_handle();
        let mut tasks = self.tasks.borrow_mut();
        tasks.insert(id, task);
        if tasks.len() > self.max_connections
            && let Some((_, oldest)) = tasks.shift_remove_index(0)
        {
            oldest.abort();
        }
    }
}

/// A connection of a set until it is dropped.
#[derive(Debug)]
pub struct SetMember {
    set: Rc<ConnectionSet>,
    id: u64,
}

impl SetMember {
    /// Records that the connection is used.
    pub fn touch(&self) {
        let mut tasks = self.set.tasks.borrow_mut();
        if let Some(task) = tasks.shift_remove(&self.id) {
            tasks.insert(self.id, task);
        }
    }
}

impl Drop for SetMember {
    fn drop(&mut self) {
        self.set.tasks.borrow_mut().shift_remove(&self.id);
    }
}
