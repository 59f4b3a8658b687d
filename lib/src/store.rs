//! The client of the platform's object store, and the only module that speaks its protocol.
//!
//! Nothing is retried here. A write that is sent twice by a library could be reported as
//! a conflict with itself, and a read that is retried out of sight breaks the call budget;
//! so callers see each answer, and decide.

pub mod duty;
pub mod era;
pub mod position;
pub(crate) mod types;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use reqwest::Method;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::StatusCode;
use reqwest::header;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::store::era::StoreEra;
use crate::store::position::StorePosition;

pub use crate::store::types::CallCounts;
pub use crate::store::types::Expect;
pub use crate::store::types::Host;
pub use crate::store::types::HostState;
pub use crate::store::types::ObjectList;
pub use crate::store::types::ReadError;
pub use crate::store::types::StoredObject;
pub use crate::store::types::WatchBatch;
pub use crate::store::types::WatchEvent;
pub use crate::store::types::WriteAnswer;

/// How long a call other than a watch may take.
const DEFAULT_CALL_TIMEOUT_MS: u64 = 2_000;

/// How much longer than its own wait a watch may take before its link counts as silent.
const WATCH_GRACE_MS: u64 = 3_000;

/// Header of each answer with the store's era, if it has one.
const ERA_HEADER: &str = "Store-Era";

/// The pause when the store limits calls without saying for how long.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// The counters behind [`CallCounts`].
#[derive(Debug, Default)]
struct Counters {
    gets: AtomicU64,
    writes: AtomicU64,
    lists: AtomicU64,
    watches: AtomicU64,
    hosts: AtomicU64,
}

/// A client of one store; clones share their counters.
///
/// ```
/// use sardinewood::store::StoreClient;
///
/// let store = StoreClient::new("http://127.0.0.1:9300").unwrap();
/// assert_eq!(store.calls().watches, 0);
/// ```
#[derive(Clone, Debug)]
pub struct StoreClient {
    http: reqwest::Client,
    base_url: Arc<str>,
    call_timeout: Duration,
    counters: Arc<Counters>,
    era: StoreEra,
}

impl StoreClient {
    /// A client of the store at `base_url`.
    ///
    /// # Errors
    ///
    /// When no HTTP client can be set up on this machine.
    ///
    /// ```
    /// assert!(sardinewood::store::StoreClient::new("http://127.0.0.1:9300/").is_ok());
    /// ```
    pub fn new(base_url: &str) -> Result<Self, reqwest::Error> {
        // An idle connection that the peer closes makes the HTTP library send a call again.
        // Without idle connections it has no reason to.
        let http = reqwest::Client::builder()
            .pool_max_idle_per_host(0)
            .retry(reqwest::retry::never())
            .redirect(reqwest::redirect::Policy::none())
            .no_proxy()
            .build()?;
        Ok(Self {
            http,
            base_url: base_url.trim_end_matches('/').into(),
            call_timeout: Duration::from_millis(DEFAULT_CALL_TIMEOUT_MS),
            counters: Arc::default(),
            era: StoreEra::default(),
        })
    }

    /// The same client with another time limit for calls other than watches.
    ///
    /// ```
    /// use sardinewood::store::StoreClient;
    ///
    /// let store = StoreClient::new("http://127.0.0.1:9300").unwrap().with_call_timeout_ms(500);
    /// assert_eq!(store.calls().gets, 0);
    /// ```
    #[must_use]
    pub fn with_call_timeout_ms(mut self, call_timeout_ms: u64) -> Self {
        self.call_timeout = Duration::from_millis(call_timeout_ms);
        self
    }

    /// How many calls this client and its clones have made.
    ///
    /// ```
    /// # use sardinewood::store::{CallCounts, StoreClient};
    /// let store = StoreClient::new("http://127.0.0.1:9300").unwrap();
    /// assert_eq!(store.calls(), CallCounts::default());
    /// ```
    #[must_use]
    pub fn calls(&self) -> CallCounts {
        CallCounts {
            gets: self.counters.gets.load(Ordering::Relaxed),
            writes: self.counters.writes.load(Ordering::Relaxed),
            lists: self.counters.lists.load(Ordering::Relaxed),
            watches: self.counters.watches.load(Ordering::Relaxed),
            hosts: self.counters.hosts.load(Ordering::Relaxed),
        }
    }

    /// Reads one object; `None` when the store has none of this name.
    ///
    /// # Errors
    ///
    /// When the store gives no usable answer.
    ///
    /// ```no_run
    /// # async fn read(store: sardinewood::store::StoreClient) {
    /// let lookup = store.get("profiles", "lookup").await;
    /// # }
    /// ```
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<StoredObject>, ReadError> {
        self.counters.gets.fetch_add(1, Ordering::Relaxed);
        let (response, era) = self
            .read(&object_path(kind, name), self.call_timeout)
            .await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let object: StoredObject = decode(response).await?;
        Ok(Some(object.in_era(era)))
    }

    /// Reads all objects of some kinds.
    ///
    /// # Errors
    ///
    /// When the store gives no usable answer.
    ///
    /// ```no_run
    /// # async fn read(store: sardinewood::store::StoreClient) {
    /// let list = store.list(&["profiles", "customers"]).await;
    /// # }
    /// ```
    pub async fn list(&self, kinds: &[&str]) -> Result<ObjectList, ReadError> {
        self.counters.lists.fetch_add(1, Ordering::Relaxed);
        let path = format!("/v1/objects?kinds={}", kinds.join(","));
        let (response, era) = self.read(&path, self.call_timeout).await?;
        let list: ObjectList = decode(response).await?;
        let objects = list.objects.into_iter();
        Ok(ObjectList {
            position: StorePosition::new(era, list.position.revision),
            objects: objects.map(|object| object.in_era(era)).collect(),
        })
    }

    /// Waits up to `wait_ms` for changes after a revision, of all kinds in one call.
    ///
    /// # Errors
    ///
    /// When the store gives no usable answer.
    ///
    /// ```no_run
    /// # use sardinewood::store::position::StorePosition;
    /// # async fn read(store: sardinewood::store::StoreClient) {
    /// let changes = store.watch(&["profiles"], StorePosition::new(0, 41), 30_000).await;
    /// # }
    /// ```
    pub async fn watch(
        &self,
        kinds: &[&str],
        after: StorePosition,
        wait_ms: u64,
    ) -> Result<WatchBatch, ReadError> {
        self.counters.watches.fetch_add(1, Ordering::Relaxed);
        let kinds = kinds.join(",");
        let revision = after.revision;
        let path = format!("/v1/watch?kinds={kinds}&after={revision}&wait_ms={wait_ms}");
        let timeout = Duration::from_millis(wait_ms + WATCH_GRACE_MS);
        let call = self.read(&path, timeout);
        let (response, era) = self.era.call_within(after.era, call).await?;
        // The store may have passed the revision again since it returned from a copy.
        if era != after.era {
            return Err(ReadError::OtherEra { era });
        }
        let batch: WatchBatch = decode(response).await?;
        let events = batch.events.into_iter();
        Ok(WatchBatch {
            position: StorePosition::new(era, batch.position.revision),
            events: events.map(|event| event.in_era(era)).collect(),
        })
    }

    /// Reads the platform's list of hosts.
    ///
    /// # Errors
    ///
    /// When the store gives no usable answer.
    ///
    /// ```no_run
    /// # async fn read(store: sardinewood::store::StoreClient) {
    /// let hosts = store.hosts().await;
    /// # }
    /// ```
    pub async fn hosts(&self) -> Result<Vec<Host>, ReadError> {
        self.counters.hosts.fetch_add(1, Ordering::Relaxed);
        let (response, _) = self.read("/v1/hosts", self.call_timeout).await?;
        decode(response).await
    }

    /// Writes an object if it is as expected.
    ///
    /// ```no_run
    /// # use sardinewood::store::position::StorePosition;
    /// # async fn write(store: sardinewood::store::StoreClient) {
    /// use sardinewood::store::Expect;
    /// let value = serde_json::json!({"weight": 3});
    /// let answer = store.put("customers", "rundu", Expect::Version(StorePosition::new(0, 7)), &value).await;
    /// # }
    /// ```
    pub async fn put(&self, kind: &str, name: &str, expect: Expect, value: &Value) -> WriteAnswer {
        if self.is_of_other_era(expect) {
            return self.conflict(kind, name).await;
        }
        let request = self
            .request(Method::PUT, &object_path(kind, name), self.call_timeout)
            .json(value);
        self.write(request, expect).await
    }

    /// Removes an object if it is at the expected version.
    ///
    /// ```no_run
    /// # use sardinewood::store::position::StorePosition;
    /// # async fn write(store: sardinewood::store::StoreClient) {
    /// let answer = store.delete("customers", "rundu", StorePosition::new(0, 7)).await;
    /// # }
    /// ```
    pub async fn delete(&self, kind: &str, name: &str, version: StorePosition) -> WriteAnswer {
        if self.is_of_other_era(Expect::Version(version)) {
            return self.conflict(kind, name).await;
        }
        let path = object_path(kind, name);
        let request = self.request(Method::DELETE, &path, self.call_timeout);
        self.write(request, Expect::Version(version)).await
    }

    /// Whether a write expects a version of another era. The same revision may stand for another
    /// write by now.
    fn is_of_other_era(&self, expect: Expect) -> bool {
        matches!(expect, Expect::Version(version) if version.era != self.era.current())
    }

    /// The answer to a write that is not sent, as the object can't be as expected.
    async fn conflict(&self, kind: &str, name: &str) -> WriteAnswer {
        match self.get(kind, name).await {
            Ok(current) => WriteAnswer::Conflict { current },
            Err(error) => WriteAnswer::Unavailable {
                reason: error.to_string().into(),
            },
        }
    }

    /// A request to the store, not yet sent.
    fn request(&self, method: Method, path: &str, timeout: Duration) -> RequestBuilder {
        self.http
            .request(method, format!("{}{path}", self.base_url))
            .timeout(timeout)
    }

    /// Sends a read and sorts its refusals. Returns the answer and its era.
    async fn read(&self, path: &str, timeout: Duration) -> Result<(Response, u32), ReadError> {
        let response = self
            .request(Method::GET, path, timeout)
            .send()
            .await
            .map_err(|error| ReadError::Unavailable {
                reason: describe(&error),
            })?;
        let era = self.era.check(response.headers().get(ERA_HEADER))?;
        let status = response.status();
        match status {
            StatusCode::TOO_MANY_REQUESTS => Err(ReadError::Limited {
                retry_after_ms: retry_after_ms(&response),
            }),
            StatusCode::GONE => Err(ReadError::TooOld),
            _ if status.is_success() || status == StatusCode::NOT_FOUND => Ok((response, era)),
            _ => Err(ReadError::Unavailable {
                reason: status.as_str().into(),
            }),
        }
    }

    /// Sends a conditional write and says what is known of it.
    async fn write(&self, request: RequestBuilder, expect: Expect) -> WriteAnswer {
        self.counters.writes.fetch_add(1, Ordering::Relaxed);
        let request = match expect {
            Expect::Absent => request.header(header::IF_NONE_MATCH, "*"),
            Expect::Version(version) => {
                request.header(header::IF_MATCH, format!("\"{}\"", version.revision))
            }
        };
        match request.send().await {
            Ok(response) => match self.era.check(response.headers().get(ERA_HEADER)) {
                Ok(era) => written(response, era).await,
                Err(error) => WriteAnswer::NotKnown {
                    reason: error.to_string().into(),
                },
            },
            // Without a connection not a byte of the write has left this process.
            Err(error) if error.is_connect() => WriteAnswer::Unavailable {
                reason: describe(&error),
            },
            Err(error) => WriteAnswer::NotKnown {
                reason: describe(&error),
            },
        }
    }
}

/// The body of an accepted write.
#[derive(Deserialize)]
struct Accepted {
    version: StorePosition,
}

/// What a write's answer says.
async fn written(response: Response, era: u32) -> WriteAnswer {
    let status = response.status();
    match status {
        StatusCode::PRECONDITION_FAILED => match decode::<Option<StoredObject>>(response).await {
            Ok(current) => WriteAnswer::Conflict {
                current: current.map(|object| object.in_era(era)),
            },
            Err(error) => WriteAnswer::NotKnown {
                reason: error.to_string().into(),
            },
        },
        StatusCode::TOO_MANY_REQUESTS => WriteAnswer::Limited {
            retry_after_ms: retry_after_ms(&response),
        },
        _ if status.is_success() => match decode::<Accepted>(response).await {
            Ok(accepted) => WriteAnswer::Written {
                version: StorePosition {
                    era,
                    ..accepted.version
                },
            },
            Err(error) => WriteAnswer::NotKnown {
                reason: error.to_string().into(),
            },
        },
        _ if status.is_client_error() => WriteAnswer::Rejected {
            status: status.as_u16(),
        },
        // An error of the server may come from something between here and the store, after
        // the write went through; only a read tells.
        _ => WriteAnswer::NotKnown {
            reason: status.as_str().into(),
        },
    }
}

/// Reads a body as JSON.
async fn decode<T: DeserializeOwned>(response: Response) -> Result<T, ReadError> {
    let body = response
        .bytes()
        .await
        .map_err(|error| ReadError::Unavailable {
            reason: describe(&error),
        })?;
    serde_json::from_slice(&body).map_err(|error| ReadError::Malformed {
        reason: error.to_string().into(),
    })
}

/// The pause that a limiting answer asks for.
fn retry_after_ms(response: &Response) -> u64 {
    response
        .headers()
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.trim().parse::<u64>().ok())
        .map_or(DEFAULT_RETRY_AFTER_MS, |seconds| {
            seconds.saturating_mul(1_000)
        })
}

/// The path of one object; names are checked before they get here, so they need no escapes.
fn object_path(kind: &str, name: &str) -> String {
    format!("/v1/objects/{kind}/{name}")
}

/// An error of the HTTP library without the URL, which the log line has already.
fn describe(error: &reqwest::Error) -> Arc<str> {
    let kind = if error.is_timeout() {
        "timeout"
    } else if error.is_connect() {
        "no connection"
    } else {
        "connection lost"
    };
    kind.into()
}
