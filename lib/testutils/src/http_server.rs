//! Runs the HTTP face of a stand-in until its handle is dropped.

use std::io;
use std::net::SocketAddr;

use poem::Endpoint;
use poem::EndpointExt;
use poem::IntoEndpoint;
use poem::Request;
use poem::Response;
use poem::Server;
use tokio::task::JoinHandle;

use crate::faulty_listener::Connections;
use crate::faulty_listener::FaultyListener;

/// A running HTTP server; dropping it stops it and closes its connections.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    connections: Connections,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Serves `endpoint` on a bound listener, inside the current runtime.
    #[must_use]
    pub fn spawn<E>(listener: FaultyListener, endpoint: E) -> Self
    where
        E: IntoEndpoint,
        E::Endpoint: 'static,
    {
        let address = listener.address();
        let connections = listener.connections();
        let endpoint = endpoint.into_endpoint().map_to_response();
        let task = tokio::spawn(async move {
            // The server only ends by an accept error, which stops the stand-in as a crash would.
            let _ = Server::new_with_acceptor(listener).run(endpoint).await;
        });
        Self {
            address,
            connections,
            task,
        }
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The base URL.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// The switches of its connections.
    #[must_use]
    pub fn connections(&self) -> &Connections {
        &self.connections
    }

    /// Stops listening and closes what is open, as a killed process would.
    pub fn stop(&self) {
        self.task.abort();
        self.connections.close_all();
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Binds a listener and serves `endpoint` on it.
///
/// # Errors
///
/// When no port can be bound.
pub async fn serve<E>(endpoint: E) -> io::Result<HttpServer>
where
    E: Endpoint + 'static,
{
    let listener = FaultyListener::bind().await?;
    Ok(HttpServer::spawn(listener, endpoint))
}

/// Closes the connection of `request` in place of an answer. The call that was made stays made.
pub(crate) async fn lose_answer(request: &Request, connections: &Connections) -> Response {
    if let Some(peer) = request.remote_addr().as_socket_addr() {
        connections.close(*peer);
    }
    std::future::pending().await
}
