//! The only module that speaks to a plain service. It offers neither resumption nor a
//! question after a request, so an answer that breaks off leaves the outcome in doubt.

use std::sync::Arc;

use crate::ids::RequestId;
use crate::link::wire::Call;
use crate::upstream::http::OpenError;
use crate::upstream::http::UpstreamAnswer;
use crate::upstream::http::UpstreamHttp;

/// A plain service.
///
/// ```
/// use sardinewood::upstream::service::Service;
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// use sardinewood::upstream::http::{UpstreamHttp, UpstreamTimings};
/// let http = UpstreamHttp::new(UpstreamTimings::default()).unwrap();
/// let service = Service::new(http, "http://127.0.0.1:1".into());
/// assert!(!service.is_reachable().await, "nothing listens there");
/// # });
/// ```
#[derive(Clone, Debug)]
pub struct Service {
    http: UpstreamHttp,
    url: Arc<str>,
}

impl Service {
    /// The service at a base URL.
    #[must_use]
    pub fn new(http: UpstreamHttp, url: Arc<str>) -> Self {
        Service { http, url }
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

    /// Whether it takes connections. Nothing is sent: a plain service has no call that is
    /// sure to do nothing.
    pub async fn is_reachable(&self) -> bool {
        let Ok(url) = reqwest::Url::parse(&self.url) else {
            return false;
        };
        let (Some(host), Some(port)) = (url.host_str(), url.port_or_known_default()) else {
            return false;
        };
        let connecting = tokio::net::TcpStream::connect((host, port));
        let answer = tokio::time::timeout(self.http.timings.connect(), connecting).await;
        matches!(answer, Ok(Ok(_)))
    }
}
