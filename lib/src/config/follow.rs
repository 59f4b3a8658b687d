//! Keeps the configuration up with the store: a list, then one watch of all kinds.
//!
//! Call budget of one process: a watch each `wait_ms` while nothing changes, one more for
//! each change, never more than one call in `min_interval_ms`, a list each `relist_ms`, and
//! in an outage one call in each back-off. The intervals are drawn with jitter, so that
//! processes which lost the store together do not come back together. In a large fleet most
//! processes leave the store to others; see [`crate::store::duty`].

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch as channel;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::config::Config;
use crate::config::catalog::Catalog;
use crate::config::object::Kind;
use crate::config::state::ListOutcome;
use crate::config::state::WatchOutcome;
use crate::logging::Level;
use crate::logging::Line;
use crate::store::ReadError;
use crate::store::StoreClient;
use crate::store::duty::StoreDuty;
use crate::store::position::StorePosition;

/// The share of an interval that jitter may take away.
const JITTER: f64 = 0.5;

/// How long a process that leaves the store to others does so before it looks again whether
/// there are others.
const REST: Duration = Duration::from_secs(1);

/// When to call the store.
///
/// ```
/// let timings = sardinewood::config::follow::WatchTimings::default();
/// assert!(timings.min_interval_ms < timings.wait_ms);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchTimings {
    /// How long a watch waits for a change.
    pub wait_ms: u64,
    /// The least time between the starts of two calls.
    pub min_interval_ms: u64,
    /// How often everything is listed again, in case a watch has skipped a change.
    pub relist_ms: u64,
    /// The first pause after a failed call; it doubles with each further one.
    pub backoff_first_ms: u64,
    /// The longest pause after a failed call.
    pub backoff_max_ms: u64,
}

impl Default for WatchTimings {
    fn default() -> Self {
        Self {
            wait_ms: 25_000,
            min_interval_ms: 250,
            relist_ms: 300_000,
            backoff_first_ms: 250,
            backoff_max_ms: 8_000,
        }
    }
}

/// The next call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextCall {
    /// List all kinds.
    List,
    /// Watch all kinds from a revision.
    Watch {
        /// The revision whose changes are known.
        after: StorePosition,
    },
}

/// Decides which call to make, and when.
///
/// ```
/// # use sardinewood::store::position::StorePosition;
/// use sardinewood::config::follow::{NextCall, WatchPlan, WatchTimings};
///
/// let mut plan = WatchPlan::new(WatchTimings::default());
/// assert_eq!(plan.next_call(0), NextCall::List);
/// plan.listed(0, StorePosition::new(0, 41));
/// assert_eq!(plan.next_call(10), NextCall::Watch { after: StorePosition::new(0, 41) });
/// ```
#[derive(Clone, Debug)]
pub struct WatchPlan {
    timings: WatchTimings,
    cursor: Option<StorePosition>,
    listed_at_ms: u64,
    failures: u32,
    lists_in_a_row: u32,
    store_pause_ms: u64,
}

impl WatchPlan {
    /// A plan that begins with a list.
    ///
    /// ```
    /// # use sardinewood::config::follow::{WatchPlan, WatchTimings};
    /// let plan = WatchPlan::new(WatchTimings::default());
    /// assert_eq!(plan.start_in_ms(0, 0, 0.0), 0, "the first call is made at once");
    /// ```
    #[must_use]
    pub fn new(timings: WatchTimings) -> Self {
        Self {
            timings,
            cursor: None,
            listed_at_ms: 0,
            failures: 0,
            lists_in_a_row: 0,
            store_pause_ms: 0,
        }
    }

    /// The call to make at `now_ms`.
    ///
    /// ```
    /// # use sardinewood::store::position::StorePosition;
    /// # use sardinewood::config::follow::{NextCall, WatchPlan, WatchTimings};
    /// let mut plan = WatchPlan::new(WatchTimings::default());
    /// plan.listed(0, StorePosition::new(0, 41));
    /// assert_eq!(plan.next_call(300_000), NextCall::List, "a list is due again");
    /// ```
    #[must_use]
    pub fn next_call(&self, now_ms: u64) -> NextCall {
        let list_due = now_ms >= self.listed_at_ms + self.timings.relist_ms;
        match self.cursor {
            Some(after) if !list_due => NextCall::Watch { after },
            _ => NextCall::List,
        }
    }

    /// How long to wait before the next call, when the last one started at `started_ms`
    /// (0 before the first); `jitter` is drawn from 0 to 1.
    ///
    /// ```
    /// # use sardinewood::config::follow::{WatchPlan, WatchTimings};
    /// let mut plan = WatchPlan::new(WatchTimings::default());
    /// plan.failed(&sardinewood::store::ReadError::Limited { retry_after_ms: 3_000 });
    /// let back_off_ms = WatchTimings::default().backoff_first_ms;
    /// assert_eq!(plan.start_in_ms(1_000, 1_000, 0.0), 3_000 + back_off_ms);
    /// ```
    #[must_use]
    pub fn start_in_ms(&self, started_ms: u64, now_ms: u64, jitter: f64) -> u64 {
        if self.failures > 0 {
            let doubled = self.timings.backoff_first_ms << (self.failures - 1).min(16);
            let backoff_ms = doubled.min(self.timings.backoff_max_ms);
            return self.store_pause_ms + with_jitter(backoff_ms, jitter);
        }
        if self.cursor.is_none() {
            return 0;
        }
        (started_ms + self.timings.min_interval_ms).saturating_sub(now_ms)
    }

    /// How long the next watch waits. The first answer after a failure tells whether the store has
    /// returned from an older copy, and is not waited for.
    fn watch_wait_ms(&self) -> u64 {
        if self.failures > 0 {
            0
        } else {
            self.timings.wait_ms
        }
    }

    /// Whether the calls can be left to other processes: the first list is taken in, and
    /// nothing has failed since.
    ///
    /// ```
    /// # use sardinewood::config::follow::{WatchPlan, WatchTimings};
    /// assert!(!WatchPlan::new(WatchTimings::default()).may_rest());
    /// ```
    #[must_use]
    pub fn may_rest(&self) -> bool {
        self.cursor.is_some() && self.failures == 0
    }

    /// A list was taken in.
    ///
    /// ```
    /// # use sardinewood::store::position::StorePosition;
    /// # use sardinewood::config::follow::{NextCall, WatchPlan, WatchTimings};
    /// let mut plan = WatchPlan::new(WatchTimings::default());
    /// plan.listed(0, StorePosition::new(0, 5));
    /// assert_eq!(plan.next_call(1), NextCall::Watch { after: StorePosition::new(0, 5) });
    /// ```
    pub fn listed(&mut self, now_ms: u64, position: StorePosition) {
        self.cursor = Some(position);
        self.listed_at_ms = now_ms;
        self.store_pause_ms = 0;
        self.failures = self.lists_in_a_row;
    }

    /// A watch was taken in.
    ///
    /// ```
    /// # use sardinewood::store::position::StorePosition;
    /// # use sardinewood::config::state::WatchOutcome;
    /// # use sardinewood::config::follow::{NextCall, WatchPlan, WatchTimings};
    /// let mut plan = WatchPlan::new(WatchTimings::default());
    /// plan.listed(0, StorePosition::new(0, 5));
    /// plan.watched(WatchOutcome::ListAgain, StorePosition::new(0, 3));
    /// assert_eq!(plan.next_call(1), NextCall::List);
    /// ```
    pub fn watched(&mut self, outcome: WatchOutcome, position: StorePosition) {
        self.store_pause_ms = 0;
        match outcome {
            WatchOutcome::Continue => {
                self.cursor = Some(position);
                self.failures = 0;
                self.lists_in_a_row = 0;
            }
            WatchOutcome::ListAgain => self.list_again(),
        }
    }

    /// A call had no usable answer.
    ///
    /// ```
    /// # use sardinewood::store::position::StorePosition;
    /// # use sardinewood::config::follow::{NextCall, WatchPlan, WatchTimings};
    /// let mut plan = WatchPlan::new(WatchTimings::default());
    /// plan.listed(0, StorePosition::new(0, 5));
    /// plan.failed(&sardinewood::store::ReadError::TooOld);
    /// assert_eq!(plan.next_call(1), NextCall::List);
    /// ```
    pub fn failed(&mut self, error: &ReadError) {
        self.store_pause_ms = 0;
        match error {
            ReadError::TooOld | ReadError::OtherEra { .. } | ReadError::Malformed { .. } => {
                self.list_again();
            }
            ReadError::Limited { retry_after_ms } => {
                self.store_pause_ms = *retry_after_ms;
                self.failures += 1;
            }
            ReadError::Unavailable { .. } => self.failures += 1,
        }
    }

    /// A configuration peer disagrees at the same revision: a change was skipped.
    ///
    /// ```
    /// # use sardinewood::store::position::StorePosition;
    /// # use sardinewood::config::follow::{NextCall, WatchPlan, WatchTimings};
    /// let mut plan = WatchPlan::new(WatchTimings::default());
    /// plan.listed(0, StorePosition::new(0, 5));
    /// plan.list_again();
    /// assert_eq!(plan.next_call(1), NextCall::List);
    /// ```
    pub fn list_again(&mut self) {
        self.cursor = None;
        // A replica whose lists are always too old to watch from would be asked without a
        // pause if each list counted as a success.
        self.lists_in_a_row += 1;
        self.failures = self.lists_in_a_row;
    }
}

/// Takes up to half of the interval away.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "an interval of some seconds, and a factor between 0.5 and 1"
)]
fn with_jitter(interval_ms: u64, jitter: f64) -> u64 {
    (interval_ms as f64 * (1.0 - JITTER * jitter)) as u64
}

/// Starts to follow the store on the current runtime and returns the picture in force.
///
/// # Errors
///
/// When no HTTP client can be set up on this machine.
///
/// ```no_run
/// # async fn start() -> Result<(), reqwest::Error> {
/// let catalog = sardinewood::config::follow::spawn_config("http://127.0.0.1:9300")?;
/// println!("{} profiles", catalog.borrow().profiles.len());
/// # Ok(())
/// # }
/// ```
pub fn spawn_config(store_url: &str) -> Result<channel::Receiver<Arc<Catalog>>, reqwest::Error> {
    let config = Config::default();
    let catalog = config.catalog();
    let store = StoreClient::new(store_url)?;
    tokio::spawn(follow(store, config, WatchTimings::default()));
    Ok(catalog)
}

/// Follows the store for as long as the process runs.
///
/// ```no_run
/// # async fn start(store: sardinewood::store::StoreClient) {
/// use sardinewood::config::Config;
/// use sardinewood::config::follow::{WatchTimings, follow};
///
/// let config = Config::default();
/// tokio::spawn(follow(store, config.clone(), WatchTimings::default()));
/// # }
/// ```
pub async fn follow(store: StoreClient, config: Config, timings: WatchTimings) {
    let epoch = Instant::now();
    let mut plan = WatchPlan::new(timings);
    let mut started_ms = 0;
    let mut duty = StoreDuty::default();
    loop {
        if plan.may_rest() && !duty.is_due(elapsed_ms(epoch), config.others(), rand::random()) {
            rest(&config, &mut plan).await;
            continue;
        }
        let pause_ms = plan.start_in_ms(started_ms, elapsed_ms(epoch), rand::random());
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        started_ms = elapsed_ms(epoch);
        let answered = match plan.next_call(started_ms) {
            NextCall::List => list(&store, &config, &mut plan, epoch).await,
            NextCall::Watch { after } => tokio::select! {
                answered = watch(&store, &config, &mut plan, after) => answered,
                () = config.list_wanted() => {
                    plan.list_again();
                    Ok(())
                }
            },
        };
        config.set_store_reachable(answered.is_ok());
        if let Err(error) = answered {
            report_failure(&plan, &error);
            plan.failed(&error);
        }
    }
}

/// Leaves the store to others for a moment: the spread tells what they see, and asks for a
/// list where it finds that a change was skipped.
async fn rest(config: &Config, plan: &mut WatchPlan) {
    if timeout(REST, config.list_wanted()).await.is_ok() {
        plan.list_again();
    }
}

/// Lists everything and takes it in.
async fn list(
    store: &StoreClient,
    config: &Config,
    plan: &mut WatchPlan,
    epoch: Instant,
) -> Result<(), ReadError> {
    let list = store.list(&Kind::ALL.map(Kind::as_str)).await?;
    config.apply(|state| report_list(state.apply_list(&list), list.position));
    plan.listed(elapsed_ms(epoch), list.position);
    Ok(())
}

/// Waits for changes and takes them in.
async fn watch(
    store: &StoreClient,
    config: &Config,
    plan: &mut WatchPlan,
    after: StorePosition,
) -> Result<(), ReadError> {
    let kinds = Kind::ALL.map(Kind::as_str);
    let batch = store.watch(&kinds, after, plan.watch_wait_ms()).await?;
    config.apply(|state| plan.watched(state.apply_watch(after, &batch), batch.position));
    Ok(())
}

fn report_list(outcome: ListOutcome, position: StorePosition) {
    let (level, message) = match outcome {
        ListOutcome::Complete => (Level::Debug, "configuration listed"),
        ListOutcome::Lagging => (Level::Warn, "store replica lags"),
        ListOutcome::WentBack => (Level::Error, "store went back; newer versions are kept"),
    };
    Line::new(level, message).revision(position).send();
}

/// Says once in an outage that it began.
fn report_failure(plan: &WatchPlan, error: &ReadError) {
    if plan.failures == 0 {
        Line::new(
            Level::Warn,
            "store not reached; configuration stays as it is",
        )
        .field("error", error.to_string())
        .send();
    }
}

fn elapsed_ms(epoch: Instant) -> u64 {
    u64::try_from(epoch.elapsed().as_millis()).unwrap_or(u64::MAX)
}
