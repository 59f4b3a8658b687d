//! The upstream of an agent, be it a model engine or a plain service.

use crate::config::objects::Serves;
use crate::config::objects::Upstream;
use crate::ids::RequestId;
use crate::link::wire::Call;
use crate::upstream::engine::Engine;
use crate::upstream::engine::EngineError;
use crate::upstream::http::OpenError;
use crate::upstream::http::UpstreamAnswer;
use crate::upstream::http::UpstreamHttp;
use crate::upstream::report::Found;
use crate::upstream::report::Probe;
use crate::upstream::service::Service;

/// A way to the upstream.
#[derive(Clone, Debug)]
pub enum UpstreamClient {
    /// A model engine, which can be asked about requests.
    Engine(Engine),
    /// A plain service, which can't.
    Service(Service),
}

impl UpstreamClient {
    /// The client for an upstream.
    #[must_use]
    pub fn new(http: UpstreamHttp, upstream: &Upstream) -> Self {
        match upstream.serves {
            Serves::Models(_) => Self::Engine(Engine::new(http, &upstream.url)),
            Serves::Service(_) => Self::Service(Service::new(http, upstream.url.clone())),
        }
    }

    /// Sends a request, once.
    ///
    /// # Errors
    ///
    /// See [`OpenError`].
    pub async fn open(&self, request: RequestId, call: Call) -> Result<UpstreamAnswer, OpenError> {
        match self {
            Self::Engine(engine) => engine.open(request, call).await,
            Self::Service(service) => service.open(request, call).await,
        }
    }

    /// Whether it answers, and what it runs.
    pub async fn probe(&self) -> Probe {
        match self {
            Self::Engine(engine) => match engine.running().await {
                Ok(running) => Probe::Alive { running },
                Err(EngineError::Refused) => Probe::Refused,
                Err(EngineError::NoAnswer(_)) => Probe::Silent,
            },
            Self::Service(service) if service.is_reachable().await => Probe::Alive {
                running: Vec::new(),
            },
            Self::Service(_) => Probe::Refused,
        }
    }

    /// What became of a request whose outcome is not known.
    pub async fn investigate(&self, request: RequestId) -> Found {
        match self {
            Self::Engine(engine) => engine.investigate(request).await,
            Self::Service(_) => Found::Unclear,
        }
    }
}
