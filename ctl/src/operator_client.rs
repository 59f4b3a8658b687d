//! Calls to an entry's operator API.

use std::sync::Arc;
use std::time::Duration;

use reqwest::Certificate;
use reqwest::Client;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::StatusCode;
use sardinewood::config::object::Kind;
use sardinewood::operator::messages::AuditTrail;
use sardinewood::operator::messages::ChangeAnswer;
use sardinewood::operator::messages::ChangeRequest;
use sardinewood::operator::messages::ErrorBody;
use sardinewood::operator::messages::Explanation;
use sardinewood::operator::messages::InForce;
use sardinewood::operator::messages::ObjectView;
use sardinewood::operator::messages::ObjectViews;
use sardinewood::operator::messages::Status;
use sardinewood::secrets::Secret;
use sardinewood::store::position::StorePosition;
use serde::de::DeserializeOwned;

use crate::exit_code::End;

/// How much longer than a watch waits its answer may take.
const WATCH_MARGIN: Duration = Duration::from_secs(5);

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection came about, so the call was not made.
    #[error("no entry at {url} ({cause})")]
    NotReachable {
        /// Where it was sought.
        url: Arc<str>,
        /// What the system said.
        cause: Box<str>,
    },
    /// The connection broke or was too slow; the entry may have done what was asked.
    #[error("the entry's answer was lost ({0})")]
    AnswerLost(Box<str>),
    /// The store behind the entry was not reached, and this call has changed nothing.
    #[error("not done: {0}")]
    NotDone(Arc<str>),
    /// There is no such thing.
    #[error("not found: {0}")]
    NotFound(Arc<str>),
    /// The token is unknown or may not change anything.
    #[error("not allowed: {0}")]
    NotAllowed(Arc<str>),
    /// The entry found the call wrong.
    #[error("refused: {0}")]
    Refused(Arc<str>),
    /// The answer is not of the protocol.
    #[error("the entry's answer is not understood ({0})")]
    BadAnswer(Box<str>),
}

impl CallError {
    /// How a run that met it ends.
    ///
    /// ```
    /// use sardinewoodctl::exit_code::End;
    /// use sardinewoodctl::operator_client::CallError;
    ///
    /// assert_eq!(CallError::NotFound("a".into()).end(), End::NotFound);
    /// ```
    #[must_use]
    pub fn end(&self) -> End {
        match self {
            Self::NotReachable { .. } | Self::AnswerLost(_) | Self::NotDone(_) => End::NotReachable,
            Self::NotFound(_) => End::NotFound,
            Self::NotAllowed(_) => End::NotAllowed,
            Self::Refused(_) => End::Refused,
            Self::BadAnswer(_) => End::BadAnswer,
        }
    }
}

/// What an audit query asks for; what is absent is not asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AuditFilter {
    /// Only objects of this kind.
    pub kind: Option<Kind>,
    /// Only objects of this name.
    pub name: Arc<str>,
    /// Only changes of this operator.
    pub who: Arc<str>,
    /// Only changes since then.
    pub since_ms: Option<u64>,
    /// How many.
    pub limit: Option<u64>,
}

/// One operator's calls to one entry.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    http: Client,
    base_url: Arc<str>,
    token: Secret,
    timeout: Duration,
}

impl OperatorClient {
    /// Calls the entry at `base_url`; a call is given up after `timeout_ms`. Certificates of
    /// `ca_pem` are trusted besides the system's own.
    ///
    /// ```
    /// use sardinewood::secrets::Secret;
    /// use sardinewoodctl::operator_client::OperatorClient;
    ///
    /// let token = Secret::new("t");
    /// let client = OperatorClient::new("http://127.0.0.1:8081", &token, 1_000, &[]);
    /// assert!(client.is_ok());
    /// ```
    ///
    /// # Errors
    ///
    /// When the certificates are wrong or the HTTP client cannot be set up.
    pub fn new(
        base_url: &str,
        token: &Secret,
        timeout_ms: u64,
        ca_pem: &[u8],
    ) -> reqwest::Result<Self> {
        // A command is repeated by its change id alone, never behind our back.
        let mut http = Client::builder()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never());
        for certificate in Certificate::from_pem_bundle(ca_pem)? {
            http = http.add_root_certificate(certificate);
        }
        Ok(Self {
            http: http.build()?,
            base_url: base_url.into(),
            token: token.clone(),
            timeout: Duration::from_millis(timeout_ms),
        })
    }

    /// Sends a change once.
    ///
    /// # Errors
    ///
    /// When there is no answer; after [`CallError::AnswerLost`] the change may be in force.
    pub async fn change(&self, change: &ChangeRequest) -> Result<ChangeAnswer, CallError> {
        let call = self
            .http
            .post(format!("{}/v1/changes", self.base_url))
            .json(change);
        let response = self.send(call, self.timeout).await?;
        match response.status() {
            StatusCode::OK
            | StatusCode::ACCEPTED
            | StatusCode::CONFLICT
            | StatusCode::UNPROCESSABLE_ENTITY => self.read(response).await,
            _ => Err(self.fault(response).await),
        }
    }

    /// The objects of a kind.
    ///
    /// # Errors
    ///
    /// When there is no answer.
    pub async fn list(&self, kind: Kind) -> Result<ObjectViews, CallError> {
        self.get(&format!("/v1/objects/{}", kind.as_str()), &[])
            .await
    }

    /// One object; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// When there is no answer.
    pub async fn show(&self, kind: Kind, name: &str) -> Result<Option<ObjectView>, CallError> {
        let path = format!("/v1/objects/{}/{name}", kind.as_str());
        match self.get(&path, &[]).await {
            Ok(view) => Ok(Some(view)),
            Err(CallError::NotFound(_)) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// How far a version has got.
    ///
    /// # Errors
    ///
    /// When there is no answer.
    pub async fn in_force(
        &self,
        kind: Kind,
        name: &str,
        version: StorePosition,
    ) -> Result<InForce, CallError> {
        let path = format!("/v1/in-force/{}/{name}", kind.as_str());
        self.get(&path, &[("version", version.to_string())]).await
    }

    /// The state of the system as the entry knows it.
    ///
    /// # Errors
    ///
    /// When there is no answer.
    pub async fn status(&self) -> Result<Status, CallError> {
        self.get("/v1/status", &[]).await
    }

    /// What was decided about a request.
    ///
    /// # Errors
    ///
    /// When there is no answer.
    pub async fn explain(&self, request: &str) -> Result<Explanation, CallError> {
        self.get(&format!("/v1/requests/{request}"), &[]).await
    }

    /// Changes of the past.
    ///
    /// # Errors
    ///
    /// When there is no answer.
    pub async fn audit(&self, filter: &AuditFilter) -> Result<AuditTrail, CallError> {
        let number = |number: Option<u64>| number.map_or_else(String::new, |n| n.to_string());
        let given = [
            ("kind", filter.kind.map_or("", Kind::as_str).to_owned()),
            ("name", filter.name.to_string()),
            ("who", filter.who.to_string()),
            ("since_ms", number(filter.since_ms)),
            ("limit", number(filter.limit)),
        ];
        let query: Vec<_> = given
            .into_iter()
            .filter(|(_, text)| !text.is_empty())
            .collect();
        self.get("/v1/audit", &query).await
    }

    /// What changed after a revision; waits for it for a while.
    ///
    /// # Errors
    ///
    /// When there is no answer.
    pub async fn watch(
        &self,
        after: StorePosition,
        wait_ms: u64,
    ) -> Result<ObjectViews, CallError> {
        let query = [
            ("after", after.to_string()),
            ("wait_ms", wait_ms.to_string()),
        ];
        let call = self
            .http
            .get(format!("{}/v1/watch", self.base_url))
            .query(&query);
        let timeout = Duration::from_millis(wait_ms) + WATCH_MARGIN;
        let response = self.send(call, timeout).await?;
        self.read_ok(response).await
    }

    async fn get<A: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, String)],
    ) -> Result<A, CallError> {
        let call = self
            .http
            .get(format!("{}{path}", self.base_url))
            .query(query);
        let response = self.send(call, self.timeout).await?;
        self.read_ok(response).await
    }

    async fn send(&self, call: RequestBuilder, timeout: Duration) -> Result<Response, CallError> {
        let call = call.bearer_auth(self.token.expose()).timeout(timeout);
        call.send().await.map_err(|error| {
            let cause = root_cause(&error);
            if error.is_connect() {
                let url = Arc::clone(&self.base_url);
                return CallError::NotReachable { url, cause };
            }
            CallError::AnswerLost(cause)
        })
    }

    async fn read_ok<A: DeserializeOwned>(&self, response: Response) -> Result<A, CallError> {
        if response.status() != StatusCode::OK {
            return Err(self.fault(response).await);
        }
        self.read(response).await
    }

    async fn read<A: DeserializeOwned>(&self, response: Response) -> Result<A, CallError> {
        let body = response.bytes().await;
        let body = body.map_err(|error| CallError::AnswerLost(root_cause(&error)))?;
        serde_json::from_slice(&body)
            .map_err(|error| CallError::BadAnswer(error.to_string().into()))
    }

    /// What an answer that is an error means.
    async fn fault(&self, response: Response) -> CallError {
        let status = response.status();
        let said = match self.read::<ErrorBody>(response).await {
            Ok(body) => body.error,
            Err(_) => status.to_string().into(),
        };
        match status {
            StatusCode::NOT_FOUND => CallError::NotFound(said),
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => CallError::NotAllowed(said),
            StatusCode::SERVICE_UNAVAILABLE => CallError::NotDone(said),
            status if status.is_client_error() => CallError::Refused(said),
            // The entry may have begun the change before it failed.
            status if status.is_server_error() => CallError::AnswerLost((&*said).into()),
            _ => CallError::BadAnswer((&*said).into()),
        }
    }
}

/// The innermost cause, which is what the system said. The outer ones repeat the URL.
fn root_cause(error: &reqwest::Error) -> Box<str> {
    let mut cause: &dyn std::error::Error = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string().into()
}
