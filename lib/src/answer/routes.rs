//! Where the frames of each answer go: from the reader of a link straight to the task that
//! writes to the caller, past the thread of control.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use indexmap::IndexMap;
use tokio::sync::mpsc;

use crate::answer::reader::AnswerFrame;
use crate::ids::AttemptId;
use crate::ids::RequestId;
use crate::link::wire::AnswerEnd;
use crate::verdict::Failure;

/// The table is cut into this many parts, so that links seldom wait for one another.
const SHARDS: u128 = 16;
/// Counted for each frame besides its bytes.
const FRAME_OVERHEAD_BYTES: usize = 64;

/// What the control thread tells the reader of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerNote {
    /// Read this attempt's answer from here on.
    Begin { attempt: AttemptId, agent: Arc<str> },
    /// Ask the agent for the answer from where the reader is.
    Resume { attempt: AttemptId, agent: Arc<str> },
    /// The attempt ended like this.
    End { attempt: AttemptId, end: AnswerEnd },
    /// There is no answer.
    Fail(Failure),
}

/// The sending side of one caller's route.
#[derive(Clone, Debug)]
struct Route {
    owner: RequestId,
    frames: mpsc::UnboundedSender<AnswerFrame>,
    notes: mpsc::UnboundedSender<CallerNote>,
    held: Arc<Held>,
}

/// What a caller has not taken yet.
#[derive(Debug, Default)]
struct Held {
    bytes: AtomicUsize,
    missed: AtomicBool,
}

impl Route {
    /// Hands a frame to the caller's task, unless it holds too much already. What is
    /// dropped is asked for again when the caller has caught up, so a caller that reads
    /// slowly, or an agent that ignores the window, costs no more than the bound.
    fn deliver(&self, frame: AnswerFrame, bound_bytes: usize) {
        if self.held.bytes.load(Ordering::Acquire) > bound_bytes {
            self.held.missed.store(true, Ordering::Release);
            return;
        }
        self.held
            .bytes
            .fetch_add(weight_bytes(&frame), Ordering::AcqRel);
        // A closed channel means that the caller has just gone.
        let _gone = self.frames.send(frame);
    }
}

/// The receiving side of one caller's route.
#[derive(Debug)]
pub struct RouteReceiver {
    frames: mpsc::UnboundedReceiver<AnswerFrame>,
    notes: mpsc::UnboundedReceiver<CallerNote>,
    held: Arc<Held>,
}

/// What comes to the task of a caller.
#[derive(Debug, PartialEq, Eq)]
pub enum Delivery {
    /// From the control thread.
    Note(CallerNote),
    /// From a link.
    Frame(AnswerFrame),
    /// Frames were dropped, and all that was kept has been taken.
    Missed,
    /// The control thread is gone.
    Closed,
}

impl RouteReceiver {
    /// The next delivery. Notes go first: the one that names a new attempt is sent before
    /// that attempt's first frame can come, and must be seen before it.
    pub async fn next(&mut self) -> Delivery {
        tokio::select! {
            biased;
            note = self.notes.recv() => note.map_or(Delivery::Closed, Delivery::Note),
            frame = next_frame(&mut self.frames, &self.held) => frame,
        }
    }
}

async fn next_frame(frames: &mut mpsc::UnboundedReceiver<AnswerFrame>, held: &Held) -> Delivery {
    if frames.is_empty() && held.missed.swap(false, Ordering::AcqRel) {
        return Delivery::Missed;
    }
    let Some(frame) = frames.recv().await else {
        return Delivery::Closed;
    };
    held.bytes.fetch_sub(weight_bytes(&frame), Ordering::AcqRel);
    Delivery::Frame(frame)
}

fn weight_bytes(frame: &AnswerFrame) -> usize {
    match frame {
        AnswerFrame::Data { bytes, .. } => bytes.len() + FRAME_OVERHEAD_BYTES,
        AnswerFrame::Head { .. } | AnswerFrame::End { .. } => FRAME_OVERHEAD_BYTES,
    }
}

/// The routes of all callers of an entry.
///
/// ```
/// use sardinewood::answer::routes::AnswerRoutes;
/// use sardinewood::ids::RequestId;
///
/// let routes = AnswerRoutes::new(1 << 20);
/// let receiver = routes.open(RequestId(1));
/// assert_eq!(routes.len(), 1);
/// routes.close(RequestId(1));
/// assert!(routes.is_empty());
/// ```
#[derive(Debug)]
pub struct AnswerRoutes {
    bound_bytes: usize,
    shards: Vec<Mutex<IndexMap<RequestId, Vec<Route>>>>,
    /// Which run each caller follows that does not read its own.
    followed: Mutex<IndexMap<RequestId, RequestId>>,
}

impl AnswerRoutes {
    /// No routes; each will hold about `bound_bytes` at most.
    #[must_use]
    pub fn new(bound_bytes: usize) -> Self {
        Self {
            bound_bytes,
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
            followed: Mutex::default(),
        }
    }

    /// Opens the route of a request.
    pub fn open(&self, request: RequestId) -> RouteReceiver {
        let (frame_sender, frames) = mpsc::unbounded_channel();
        let (note_sender, notes) = mpsc::unbounded_channel();
        let held = Arc::new(Held::default());
        let route = Route {
            owner: request,
            frames: frame_sender,
            notes: note_sender,
            held: held.clone(),
        };
        self.shard(request).insert(request, vec![route]);
        RouteReceiver {
            frames,
            notes,
            held,
        }
    }

    /// Gives the frames of `run` to the caller of `request` as well.
    pub fn follow(&self, request: RequestId, run: RequestId) {
        if request == run {
            return;
        }
        let Some(route) = self.own_route(request) else {
            return;
        };
        lock(&self.followed).insert(request, run);
        self.shard(run).entry(run).or_default().push(route);
        let has_left_meanwhile = self.own_route(request).is_none();
        if has_left_meanwhile {
            self.close(request);
        }
    }

    /// Closes the route of a request, and its part in a run that it follows. Others that
    /// follow its run go on.
    pub fn close(&self, request: RequestId) {
        self.close_in(request, request);
        let followed = lock(&self.followed).swap_remove(&request);
        if let Some(run) = followed {
            self.close_in(request, run);
        }
    }

    fn close_in(&self, request: RequestId, run: RequestId) {
        let mut shard = self.shard(run);
        let Some(routes) = shard.get_mut(&run) else {
            return;
        };
        routes.retain(|route| route.owner != request);
        if routes.is_empty() {
            shard.swap_remove(&run);
        }
    }

    /// Hands a frame to those who read its answer.
    pub fn deliver(&self, frame: AnswerFrame) {
        let request = frame.attempt().request;
        let shard = self.shard(request);
        let Some(routes) = shard.get(&request) else {
            return;
        };
        if let [route] = routes.as_slice() {
            route.deliver(frame, self.bound_bytes);
            return;
        }
        for route in routes {
            route.deliver(frame.clone(), self.bound_bytes);
        }
    }

    /// Tells the caller of a request something.
    pub fn tell(&self, request: RequestId, note: CallerNote) {
        if let Some(route) = self.own_route(request) {
            // A closed channel means that the caller has just gone.
            let _gone = route.notes.send(note);
        }
    }

    /// Tells all who read the answer of a run something.
    pub fn tell_readers(&self, run: RequestId, note: &CallerNote) {
        if let Some(routes) = self.shard(run).get(&run) {
            for route in routes {
                let _gone = route.notes.send(note.clone());
            }
        }
    }

    /// How many runs have readers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).len()).sum()
    }

    /// Whether no run has a reader.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn own_route(&self, request: RequestId) -> Option<Route> {
        self.shard(request)
            .get(&request)?
            .iter()
            .find(|route| route.owner == request)
            .cloned()
    }

    fn shard(&self, request: RequestId) -> MutexGuard<'_, IndexMap<RequestId, Vec<Route>>> {
        let index = usize::try_from(request.0 % SHARDS).unwrap_or_default();
        lock(&self.shards[index])
    }
}

/// A panic elsewhere leaves the table whole: each change of it is one call.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
