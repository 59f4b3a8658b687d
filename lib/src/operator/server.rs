//! The operators' port of an entry: the API for programs and the page for phones.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use poem::Route;
use poem::Server;
use poem::listener::TcpAcceptor;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::logging::Level;
use crate::logging::Line;
use crate::operator::api::OperatorApi;
use crate::operator::page;
use crate::operator::routes;
use crate::tls::TlsFeed;
use crate::tls::secured;

/// How long an operator's connection may be idle; longer than the longest watch.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);

/// How long answers under way may take at shutdown.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(2);

/// Serves operators on the current runtime until `stop`; returns the bound address.
///
/// # Errors
///
/// When the address cannot be bound.
///
/// ```no_run
/// # async fn start(api: sardinewood::operator::api::OperatorApi) -> std::io::Result<()> {
/// let stop = tokio_util::sync::CancellationToken::new();
/// let address = "127.0.0.1:9400".parse().unwrap();
/// sardinewood::operator::server::spawn(address, api, stop).await?;
/// # Ok(())
/// # }
/// ```
pub async fn spawn(
    address: SocketAddr,
    api: OperatorApi,
    stop: CancellationToken,
) -> io::Result<SocketAddr> {
    spawn_secured(address, api, None, stop).await
}

/// The same with TLS, if there is a certificate.
///
/// # Errors
///
/// When the address cannot be bound.
///
/// ```no_run
/// # use sardinewood::tls::{TlsFeed, TlsSettings};
/// # async fn start(api: sardinewood::operator::api::OperatorApi, tls: TlsSettings) {
/// let stop = tokio_util::sync::CancellationToken::new();
/// let address = "127.0.0.1:9400".parse().unwrap();
/// let tls = TlsFeed::open(&tls).unwrap();
/// sardinewood::operator::server::spawn_secured(address, api, tls, stop).await.unwrap();
/// # }
/// ```
pub async fn spawn_secured(
    address: SocketAddr,
    api: OperatorApi,
    tls: Option<TlsFeed>,
    stop: CancellationToken,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    let acceptor = TcpAcceptor::from_tokio(listener)?;
    let acceptor = secured(acceptor, tls.as_ref());
    let server = Server::new_with_acceptor(acceptor).idle_timeout(IDLE_TIMEOUT);
    let routes = Route::new()
        .nest("/v1", routes::routes(api.clone()))
        .nest("/", page::routes(api));
    tokio::spawn(async move {
        let stopped = async move { stop.cancelled().await };
        let grace = Some(SHUTDOWN_GRACE);
        let ended = server
            .run_with_graceful_shutdown(routes, stopped, grace)
            .await;
        if let Err(error) = ended {
            Line::new(Level::Error, "operators' listener failed")
                .field("error", error.to_string())
                .send();
        }
    });
    Ok(bound)
}
