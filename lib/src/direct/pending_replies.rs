//! Questions to other entries that wait for replies.

use std::cell::RefCell;

use indexmap::IndexMap;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::direct::sharing::admission::PeerRequestId;

/// The open questions of one kind.
///
/// ```
/// use sardinewood::direct::pending_replies::PendingReplies;
/// use sardinewood::direct::sharing::admission::PeerRequestId;
///
/// let pending = PendingReplies::<u32>::default();
/// let question = pending.open(7);
/// pending.complete(PeerRequestId(7), 5);
/// assert_eq!(question.id, PeerRequestId(7));
/// drop(question);
/// assert!(pending.is_empty());
/// ```
#[derive(Debug)]
pub struct PendingReplies<T>(RefCell<IndexMap<PeerRequestId, UnboundedSender<T>>>);

impl<T> Default for PendingReplies<T> {
    fn default() -> Self {
        Self(RefCell::default())
    }
}

impl<T> PendingReplies<T> {
    /// Opens a question; `random` makes its id.
    ///
    /// ```
    /// # use sardinewood::direct::pending_replies::PendingReplies;
    /// let _ = PendingReplies::<u32>::default().open(7);
    /// ```
    pub fn open(&self, random: u64) -> PendingReply<'_, T> {
        let id = PeerRequestId::from_random(random);
        let (sender, replies) = mpsc::unbounded_channel();
        self.0.borrow_mut().insert(id, sender);
        PendingReply {
            id,
            replies,
            pending: self,
        }
    }

    /// Passes a reply to the question that waits for it. A reply that comes too late is ignored.
    ///
    /// ```
    /// # use sardinewood::direct::pending_replies::PendingReplies;
    /// # use sardinewood::direct::sharing::admission::PeerRequestId;
    /// PendingReplies::default().complete(PeerRequestId(7), 5);
    /// ```
    pub fn complete(&self, id: PeerRequestId, reply: T) {
        if let Some(replies) = self.0.borrow().get(&id) {
            // The receiver exists as long as the question is open.
            let _ = replies.send(reply);
        }
    }

    /// Returns whether no question is open.
    ///
    /// ```
    /// # use sardinewood::direct::pending_replies::PendingReplies;
    /// assert!(PendingReplies::<u32>::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }
}

/// An open question, which is closed when it is dropped, also when the caller for whom it was asked has
/// disconnected.
#[derive(Debug)]
pub struct PendingReply<'a, T> {
    /// Identifies the question in the replies.
    pub id: PeerRequestId,
    replies: UnboundedReceiver<T>,
    pending: &'a PendingReplies<T>,
}

impl<T> PendingReply<'_, T> {
    /// Waits for the next reply until a time; none if there is none by then.
    ///
    /// ```
    /// # use sardinewood::direct::pending_replies::PendingReplies;
    /// # use tokio::time::Instant;
    /// # let mut runtime = tokio::runtime::Builder::new_current_thread();
    /// # let runtime = runtime.enable_time().build()?;
    /// # runtime.block_on(async {
    /// let pending = PendingReplies::default();
    /// let mut question = pending.open(7);
    /// pending.complete(question.id, 5);
    /// assert_eq!(question.next_until(Instant::now()).await, Some(5));
    /// assert_eq!(question.next_until(Instant::now()).await, None);
    /// # });
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub async fn next_until(&mut self, until: Instant) -> Option<T> {
        timeout_at(until, self.replies.recv()).await.ok().flatten()
    }
}

impl<T> Drop for PendingReply<'_, T> {
    fn drop(&mut self) {
        self.pending.0.borrow_mut().swap_remove(&self.id);
    }
}
