//! A bounded log of the decisions about each request, with which operators find out why a
//! request was treated as it was.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::config::objects::Tier;
use crate::ids::AttemptId;
use crate::ids::RequestId;
use crate::link::wire::AnswerEnd;
use crate::link::wire::RefusalReason;
use crate::link::wire::Settlement;
use crate::verdict::Failure;

/// The most decisions that are kept for one request; later ones are only counted.
const MAX_DECISIONS: usize = 40;

/// A decision about a request, or an event that concerns it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoggedDecision {
    /// The request was admitted to the queue.
    Admitted { tier: Tier, customer: Arc<str> },
    /// An agent was asked for a grant.
    Asked { agent: Arc<str> },
    /// An agent refused the request.
    Refused {
        agent: Arc<str>,
        reason: RefusalReason,
    },
    /// A grant came and is held until a claim is decided.
    Held { agent: Arc<str> },
    /// A grant was declined.
    Declined { agent: Arc<str> },
    /// An attempt was dispatched.
    Dispatched { attempt: AttemptId, agent: Arc<str> },
    /// The agent was asked for the state of the attempt.
    QueriedAttempt { agent: Arc<str> },
    /// The agent reported the state of the attempt.
    Settled {
        agent: Arc<str>,
        settlement: Settlement,
    },
    /// The attempt ended.
    Ended { attempt: AttemptId, end: AnswerEnd },
    /// The caller disconnected.
    CallerGone,
    /// The request failed without an answer.
    Failed(Failure),
}

impl LoggedDecision {
    /// Describes what happened in a few words.
    ///
    /// ```
    /// use sardinewood::entry::decision_log::LoggedDecision;
    ///
    /// let asked = LoggedDecision::Asked { agent: "lang-1".into() };
    /// assert_eq!(asked.what(), "asked lang-1 for a grant");
    /// ```
    #[must_use]
    pub fn what(&self) -> String {
        match self {
            Self::Admitted { .. } => "admitted".into(),
            Self::Asked { agent } => format!("asked {agent} for a grant"),
            Self::Refused { agent, .. } => format!("refused by {agent}"),
            Self::Held { agent } => format!("held a grant of {agent}"),
            Self::Declined { agent } => format!("declined a grant of {agent}"),
            Self::Dispatched { attempt, agent } => {
                format!("dispatched attempt {} to {agent}", attempt.number)
            }
            Self::QueriedAttempt { agent } => format!("asked {agent} what became of it"),
            Self::Settled { agent, .. } => format!("settled by {agent}"),
            Self::Ended { attempt, .. } => format!("attempt {} ended", attempt.number),
            Self::CallerGone => "caller gone".into(),
            Self::Failed(_) => "failed".into(),
        }
    }

    /// Describes why it happened in a few words.
    ///
    /// ```
    /// use sardinewood::entry::decision_log::LoggedDecision;
    ///
    /// assert_eq!(LoggedDecision::CallerGone.why(), "the connection ended");
    /// ```
    #[must_use]
    pub fn why(&self) -> String {
        match self {
            Self::Admitted { tier, customer } => format!("tier {} of {customer}", tier.0),
            Self::Asked { .. } => "it is expected to answer first".into(),
            Self::Refused { reason, .. } => format!("{reason:?}"),
            Self::Held { .. } => "a claim or a turn is not decided yet".into(),
            Self::Declined { .. } => {
                "the request does not wait any more, or the upstream leaves".into()
            }
            Self::Dispatched { .. } => "its grant came first".into(),
            Self::QueriedAttempt { .. } => "the link was lost and is back".into(),
            Self::Settled { settlement, .. } => format!("{settlement:?}"),
            Self::Ended { end, .. } => format!("{end:?}"),
            Self::CallerGone => "the connection ended".into(),
            Self::Failed(failure) => format!("{:?}, {:?}", failure.reason, failure.outcome),
        }
    }
}

/// The logged decisions about one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHistory {
    /// The decisions, each with its time in milliseconds.
    pub decisions: Vec<(u64, LoggedDecision)>,
    /// How many later decisions were not kept.
    pub omitted: usize,
}

/// A bounded log of decisions that keeps the latest requests.
///
/// ```
/// use sardinewood::entry::decision_log::{DecisionLog, LoggedDecision};
/// use sardinewood::ids::RequestId;
///
/// let mut log = DecisionLog::new(1);
/// log.record(5, RequestId(1), LoggedDecision::CallerGone);
/// assert_eq!(log.get(RequestId(1)).unwrap().decisions[0].0, 5);
/// log.record(6, RequestId(2), LoggedDecision::CallerGone);
/// assert!(log.get(RequestId(1)).is_none(), "only one request is kept");
/// ```
#[derive(Debug)]
pub struct DecisionLog {
    max_requests: usize,
    by_request: IndexMap<RequestId, RequestHistory>,
    oldest_first: VecDeque<RequestId>,
}

impl DecisionLog {
    /// Creates an empty log of at most `max_requests` requests.
    ///
    /// ```
    /// use sardinewood::entry::decision_log::DecisionLog;
    /// use sardinewood::ids::RequestId;
    ///
    /// assert!(DecisionLog::new(10).get(RequestId(1)).is_none());
    /// ```
    #[must_use]
    pub fn new(max_requests: usize) -> Self {
        Self {
            max_requests,
            by_request: IndexMap::new(),
            oldest_first: VecDeque::new(),
        }
    }

    /// Returns the decisions about a request, if they are still kept.
    #[must_use]
    pub fn get(&self, request: RequestId) -> Option<&RequestHistory> {
        self.by_request.get(&request)
    }

    /// Adds a decision to the log of its request.
    pub fn record(&mut self, now_ms: u64, request: RequestId, decision: LoggedDecision) {
        if !self.by_request.contains_key(&request) {
            self.evict_oldest();
            self.oldest_first.push_back(request);
        }
        let history = self.by_request.entry(request).or_default();
        if history.decisions.len() < MAX_DECISIONS {
            history.decisions.push((now_ms, decision));
        } else {
            history.omitted += 1;
        }
    }

    fn evict_oldest(&mut self) {
        while self.by_request.len() >= self.max_requests {
            let Some(oldest) = self.oldest_first.pop_front() else {
                return;
            };
            self.by_request.swap_remove(&oldest);
        }
    }
}
