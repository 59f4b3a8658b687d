//! What was decided about each request, remembered for a while, so that an operator can
//! ask why.

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

/// Decisions kept for one request; what comes after them is counted.
const MAX_DECISIONS: usize = 40;

/// One thing that was decided or heard about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoggedDecision {
    /// It came and waits.
    Admitted { tier: Tier, customer: Arc<str> },
    /// An agent was asked for a grant.
    Asked { agent: Arc<str> },
    /// An agent refused.
    Refused {
        agent: Arc<str>,
        reason: RefusalReason,
    },
    /// A grant came, and is kept until a claim or a turn is decided.
    Held { agent: Arc<str> },
    /// A grant was not taken.
    Declined { agent: Arc<str> },
    /// It was sent.
    Dispatched { attempt: AttemptId, agent: Arc<str> },
    /// The link to the agent of its attempt is back, and the agent is asked after it.
    QueriedAttempt { agent: Arc<str> },
    /// The agent said what became of it.
    Settled {
        agent: Arc<str>,
        settlement: Settlement,
    },
    /// Its attempt ended.
    Ended { attempt: AttemptId, end: AnswerEnd },
    /// Its caller left.
    CallerGone,
    /// Its caller was told that there is no answer.
    Failed(Failure),
}

impl LoggedDecision {
    /// What happened, in a few words.
    ///
    /// ```
    /// use sardinewood::entry::decision_log::LoggedDecision;
    ///
    /// assert_eq!(LoggedDecision::Asked { agent: "lang-1".into() }.what(), "asked lang-1 for a grant");
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

    /// Why it happened, in a few words.
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

/// The decisions about one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHistory {
    /// The decisions, each with its time.
    pub decisions: Vec<(u64, LoggedDecision)>,
    /// How many more there were.
    pub omitted: usize,
}

/// A bounded memory of decisions: the requests that came last.
///
/// ```
/// use sardinewood::entry::decision_log::{LoggedDecision, DecisionLog};
/// use sardinewood::ids::RequestId;
///
/// let mut memory = DecisionLog::new(1);
/// memory.record(5, RequestId(1), LoggedDecision::CallerGone);
/// assert_eq!(memory.get(RequestId(1)).unwrap().decisions[0].0, 5);
/// memory.record(6, RequestId(2), LoggedDecision::CallerGone);
/// assert!(memory.get(RequestId(1)).is_none(), "only one request is remembered");
/// ```
#[derive(Debug)]
pub struct DecisionLog {
    max_requests: usize,
    by_request: IndexMap<RequestId, RequestHistory>,
    oldest_first: VecDeque<RequestId>,
}

impl DecisionLog {
    /// An empty memory of at most `max_requests` requests.
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

    /// What is remembered of a request.
    #[must_use]
    pub fn get(&self, request: RequestId) -> Option<&RequestHistory> {
        self.by_request.get(&request)
    }

    /// Remembers a decision.
    pub fn record(&mut self, now_ms: u64, request: RequestId, decided: LoggedDecision) {
        if !self.by_request.contains_key(&request) {
            self.make_room();
            self.oldest_first.push_back(request);
        }
        let remembered = self.by_request.entry(request).or_default();
        if remembered.decisions.len() < MAX_DECISIONS {
            remembered.decisions.push((now_ms, decided));
        } else {
            remembered.omitted += 1;
        }
    }

    fn make_room(&mut self) {
        while self.by_request.len() >= self.max_requests {
            let Some(oldest) = self.oldest_first.pop_front() else {
                return;
            };
            self.by_request.swap_remove(&oldest);
        }
    }
}
