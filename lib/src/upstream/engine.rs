//! The only module that speaks to a model engine. Its protocol is in `docs/outside.md`.

use std::sync::Arc;

use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::StatusCode;
use serde::Deserialize;

use crate::ids::RequestId;
use crate::link::wire::Call;
use crate::upstream::http::OpenError;
use crate::upstream::http::UpstreamAnswer;
use crate::upstream::http::UpstreamHttp;
use crate::upstream::report::Found;

/// Where a request stands in the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// It waits for room in the batch.
    Waiting,
    /// Its prompt is computed.
    Prefill,
    /// It generates.
    Decode,
    /// Its answer is whole.
    Finished,
    /// It stopped before the end, for good.
    Cancelled,
}

/// What the engine says of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineStatus {
    /// It has it.
    Known {
        /// Where it stands.
        state: EngineState,
        /// Tokens generated so far.
        output_tokens: u64,
    },
    /// It has never had it, or not any more.
    Unknown,
}

/// The engine did not answer a question.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// It takes no connections: its process is gone.
    #[error("the engine takes no connections")]
    Refused,
    /// It did not answer in time, or not in its protocol.
    #[error("the engine does not answer: {0}")]
    NoAnswer(Arc<str>),
}

#[derive(Deserialize)]
struct StatusBody {
    state: EngineState,
    #[serde(default)]
    output_tokens: u64,
}

#[derive(Deserialize)]
struct RequestBody {
    id: String,
    state: EngineState,
}

/// A model engine.
///
/// ```
/// use sardinewood::upstream::engine::Engine;
/// use sardinewood::ids::RequestId;
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// use sardinewood::upstream::http::{UpstreamHttp, UpstreamTimings};
/// let http = UpstreamHttp::new(UpstreamTimings::default()).unwrap();
/// let engine = Engine::new(http, "http://127.0.0.1:1");
/// assert!(engine.status(RequestId(1)).await.is_err(), "nothing listens there");
/// # });
/// ```
#[derive(Clone, Debug)]
pub struct Engine {
    http: UpstreamHttp,
    url: Arc<str>,
}

impl Engine {
    /// The engine at a base URL.
    #[must_use]
    pub fn new(http: UpstreamHttp, url: &str) -> Self {
        let url = url.trim_end_matches('/').into();
        Engine { http, url }
    }

    /// Sends a request, once.
    ///
    /// # Errors
    ///
    /// See [`OpenError`].
    pub async fn open(&self, request: RequestId, call: Call) -> Result<UpstreamAnswer, OpenError> {
        let id = request.to_string();
        self.http.send(&self.url, &id, call).await
    }

    /// Reads the answer of a request on a new connection: the events after `last_event_id`,
    /// or all; a plain answer from its start, once it is whole.
    ///
    /// # Errors
    ///
    /// Always [`OpenError::Broke`]: the request itself was sent before.
    pub async fn resume(
        &self,
        request: RequestId,
        last_event_id: Option<u64>,
    ) -> Result<UpstreamAnswer, OpenError> {
        let url = format!("{}/stream", self.request_url(request));
        let mut call = self.http.client.get(url);
        if let Some(id) = last_event_id {
            call = call.header("Last-Event-ID", id);
        }
        let response = call
            .send()
            .await
            .map_err(|error| OpenError::Broke(error.to_string().into()))?;
        if response.status() != StatusCode::OK {
            return Err(OpenError::Broke(response.status().as_str().into()));
        }
        Ok(UpstreamAnswer::new(response))
    }

    /// Where a request stands.
    ///
    /// # Errors
    ///
    /// The engine does not answer.
    pub async fn status(&self, request: RequestId) -> Result<EngineStatus, EngineError> {
        let response = self
            .ask(self.http.client.get(self.request_url(request)))
            .await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(EngineStatus::Unknown);
        }
        let body: StatusBody = read(response).await?;
        Ok(EngineStatus::Known {
            state: body.state,
            output_tokens: body.output_tokens,
        })
    }

    /// Cancels a request; once this returns, its id does not run and never will.
    ///
    /// # Errors
    ///
    /// The engine has not confirmed it.
    pub async fn cancel(&self, request: RequestId) -> Result<EngineState, EngineError> {
        let response = self
            .ask(self.http.client.delete(self.request_url(request)))
            .await?;
        let body: StatusBody = read(response).await?;
        match body.state {
            state @ (EngineState::Finished | EngineState::Cancelled) => Ok(state),
            _ => Err(no_answer("the request still runs")),
        }
    }

    /// The requests that it runs, as far as they are ours.
    ///
    /// # Errors
    ///
    /// The engine does not answer.
    pub async fn running(&self) -> Result<Vec<RequestId>, EngineError> {
        let url = format!("{}/v1/requests", self.url);
        let requests: Vec<RequestBody> = read(self.ask(self.http.client.get(url)).await?).await?;
        let is_running = |one: &RequestBody| {
            !matches!(one.state, EngineState::Finished | EngineState::Cancelled)
        };
        Ok(requests
            .iter()
            .filter(|one| is_running(one))
            .filter_map(|one| one.id.parse().ok())
            .collect())
    }

    /// What became of a request whose outcome is not known. Unless it runs or is finished
    /// it is cancelled by its id, so that a call which is still on its way to the engine
    /// does not run either.
    pub async fn investigate(&self, request: RequestId) -> Found {
        match self.status(request).await {
            Err(_) => return Found::Unclear,
            Ok(EngineStatus::Known { state, .. }) => match state {
                EngineState::Waiting | EngineState::Prefill | EngineState::Decode => {
                    return Found::Running;
                }
                EngineState::Finished => return Found::Finished,
                EngineState::Cancelled => {}
            },
            Ok(EngineStatus::Unknown) => {}
        }
        match self.cancel(request).await {
            Ok(_) => Found::Gone,
            Err(_) => Found::Unclear,
        }
    }

    async fn ask(&self, call: RequestBuilder) -> Result<Response, EngineError> {
        let answer = call.timeout(self.http.timings.question()).send().await;
        answer.map_err(|error| engine_error(&error))
    }

    fn request_url(&self, request: RequestId) -> String {
        format!("{}/v1/requests/{request}", self.url)
    }
}

async fn read<B: for<'de> Deserialize<'de>>(response: Response) -> Result<B, EngineError> {
    if response.status() != StatusCode::OK {
        return Err(no_answer(response.status().as_str()));
    }
    response.json().await.map_err(|error| engine_error(&error))
}

fn no_answer(reason: &str) -> EngineError {
    EngineError::NoAnswer(reason.into())
}

fn engine_error(error: &reqwest::Error) -> EngineError {
    if error.is_connect() && !error.is_timeout() {
        EngineError::Refused
    } else {
        no_answer(&error.to_string())
    }
}
