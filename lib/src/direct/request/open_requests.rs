//! Requests whose callers have no whole response yet, by how far each has come.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use indexmap::IndexMap;

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestStage {
    /// Its body is being read, or it is being checked.
    Reading,
    /// It waits for a slot or for a connection to an upstream.
    Waiting,
    /// An upstream has it and has not answered.
    Sent,
    /// An upstream's stream is being relayed.
    Relaying,
    /// Its response is complete and being written to the caller.
    Writing,
}

impl RequestStage {
    /// All stages, in the order in which a request reaches them.
    pub const ALL: [Self; 5] = [
        Self::Reading,
        Self::Waiting,
        Self::Sent,
        Self::Relaying,
        Self::Writing,
    ];

    /// Returns the name of the stage for logs and metrics.
    ///
    /// ```
    /// use sardinewood::direct::request::open_requests::RequestStage;
    ///
    /// assert_eq!(RequestStage::Sent.name(), "sent");
    /// ```
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Reading => "reading",
            Self::Waiting => "waiting",
            Self::Sent => "sent",
            Self::Relaying => "relaying",
            Self::Writing => "writing",
        }
    }
}

/// Counts the open requests of an entry by stage.
///
/// ```
/// use sardinewood::direct::request::open_requests::{OpenRequests, RequestStage};
///
/// let requests = OpenRequests::default();
/// let request = requests.open();
/// request.set_stage(RequestStage::Waiting);
/// assert_eq!((requests.total(), requests.count_at(RequestStage::Waiting)), (1, 1));
/// drop(request);
/// assert_eq!(requests.total(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct OpenRequests(Rc<RefCell<IndexMap<RequestStage, usize>>>);

impl OpenRequests {
    /// Counts one more request, from its first stage on. See [`OpenRequests`].
    #[must_use]
    pub fn open(&self) -> Rc<OpenRequest> {
        self.add(RequestStage::Reading);
        Rc::new(OpenRequest {
            requests: self.clone(),
            stage: Cell::new(RequestStage::Reading),
        })
    }

    /// Returns the number of open requests.
    ///
    /// ```
    /// # use sardinewood::direct::request::open_requests::OpenRequests;
    /// assert_eq!(OpenRequests::default().total(), 0);
    /// ```
    #[must_use]
    pub fn total(&self) -> usize {
        self.0.borrow().values().sum()
    }

    /// Returns the number of requests at a stage. See [`OpenRequests`].
    #[must_use]
    pub fn count_at(&self, stage: RequestStage) -> usize {
        self.0.borrow().get(&stage).copied().unwrap_or_default()
    }

    /// Returns the numbers of requests by the names of their stages.
    ///
    /// ```
    /// # use sardinewood::direct::request::open_requests::OpenRequests;
    /// assert_eq!(OpenRequests::default().by_stage()["waiting"], 0);
    /// ```
    #[must_use]
    pub fn by_stage(&self) -> IndexMap<&'static str, usize> {
        let stages = RequestStage::ALL.into_iter();
        stages
            .map(|stage| (stage.name(), self.count_at(stage)))
            .collect()
    }

    fn add(&self, stage: RequestStage) {
        *self.0.borrow_mut().entry(stage).or_default() += 1;
    }

    fn remove(&self, stage: RequestStage) {
        if let Some(count) = self.0.borrow_mut().get_mut(&stage) {
            *count -= 1;
        }
    }
}

/// Counts a request as open until it is dropped.
#[derive(Debug)]
pub struct OpenRequest {
    requests: OpenRequests,
    stage: Cell<RequestStage>,
}

impl OpenRequest {
    /// Records how far the request has come. See [`OpenRequests`].
    pub fn set_stage(&self, stage: RequestStage) {
        self.requests.remove(self.stage.replace(stage));
        self.requests.add(stage);
    }

    /// Returns how far the request has come.
    ///
    /// ```
    /// # use sardinewood::direct::request::open_requests::{OpenRequests, RequestStage};
    /// assert_eq!(OpenRequests::default().open().stage(), RequestStage::Reading);
    /// ```
    #[must_use]
    pub fn stage(&self) -> RequestStage {
        self.stage.get()
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.requests.remove(self.stage.get());
    }
}
