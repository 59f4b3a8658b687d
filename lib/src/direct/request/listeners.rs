//! Connections of callers, and the port that tells whether the entry takes them.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::direct::request::exchange;
use crate::direct::request::notices_page;
use crate::direct::request::quarantine_page;
use crate::direct::request::rollout_page;
use crate::direct::store_view::catalog::DEFAULT_IDLE_TIMEOUT_MS;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;

/// Pause after a connection could not be accepted, for example for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Path of the counters and histograms.
const METRICS_PATH: &str = "/metrics";
/// Path of what is known of requests under which upstreams ended.
const QUARANTINE_PATH: &str = "/quarantine";
/// Path of what upstreams say of themselves.
const NOTICES_PATH: &str = "/notices";
/// Path of the roll-outs.
const ROLLOUTS_PATH: &str = "/rollouts";

/// Serves callers until the process ends.
pub async fn serve_callers(listener: TcpListener, traffic: Rc<TrafficState>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_caller(stream, Rc::clone(&traffic)));
            }
            Err(error) => {
                traffic.log(Level::Error, "callers can't be accepted", |line| {
                    line.field("error", error.to_string())
                });
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// What a caller's connection does.
#[derive(Debug, Default)]
struct Use {
    open_requests: Cell<u32>,
    last_ms: Cell<u64>,
}

async fn serve_caller(stream: TcpStream, traffic: Rc<TrafficState>) {
    if let Err(error) = stream.set_nodelay(true) {
        traffic.log(Level::Warn, "caller's connection is not usable", |line| {
            line.field("error", error.to_string())
        });
        return;
    }
    let used = Rc::new(Use::default());
    used.last_ms.set(traffic.now_ms());
    let service = service_fn(|request| {
        let traffic = Rc::clone(&traffic);
        let used = Rc::clone(&used);
        async move {
            used.open_requests.set(used.open_requests.get() + 1);
            let response = exchange::handle(Rc::clone(&traffic), request).await;
            used.open_requests.set(used.open_requests.get() - 1);
            used.last_ms.set(traffic.now_ms());
            response
        }
    });
    let connection = http1::Builder::new()
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    loop {
        let idle_ms = idle_timeout_ms(&traffic);
        tokio::select! {
            // How it ended shows in the request that was being answered.
            _ = connection.as_mut() => return,
            () = traffic.closing.notified() => {}
            () = sleep(Duration::from_millis(idle_ms)) => {}
        }
        let is_idle = used.open_requests.get() == 0
            && traffic.now_ms() >= used.last_ms.get() + idle_timeout_ms(&traffic);
        if is_idle || traffic.is_closing.get() {
            connection.as_mut().graceful_shutdown();
        }
    }
}

fn idle_timeout_ms(traffic: &TrafficState) -> u64 {
    let catalog = traffic.catalog.borrow();
    catalog
        .as_ref()
        .map_or(DEFAULT_IDLE_TIMEOUT_MS, |catalog| catalog.idle_timeout_ms())
}

/// Serves the readiness until the process ends.
pub async fn serve_readiness(listener: TcpListener, traffic: Rc<TrafficState>) {
    serve_page(listener, traffic, |traffic, _| {
        status_only(if traffic.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        })
    })
    .await;
}

/// Serves the counters and histograms, what is known of requests under which upstreams ended, what
/// upstreams say of themselves, and the roll-outs, until the process ends.
pub async fn serve_figures(listener: TcpListener, traffic: Rc<TrafficState>) {
    serve_page(listener, traffic, |traffic, request| {
        let path = request.uri().path();
        if path == METRICS_PATH {
            traffic.set_gauges();
            return Response::new(traffic.metrics.text().into());
        }
        if let Some(rest) = path.strip_prefix(QUARANTINE_PATH) {
            return quarantine_page::answer(traffic, request.method(), rest);
        }
        if let Some(rest) = path.strip_prefix(NOTICES_PATH) {
            return notices_page::answer(traffic, request.method(), rest);
        }
        match path.strip_prefix(ROLLOUTS_PATH) {
            Some(rest) => rollout_page::answer(traffic, request.method(), rest),
            None => status_only(StatusCode::NOT_FOUND),
        }
    })
    .await;
}

fn status_only(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

async fn serve_page(
    listener: TcpListener,
    traffic: Rc<TrafficState>,
    page: fn(&TrafficState, &Request<Incoming>) -> Response<Full<Bytes>>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                traffic.log(Level::Error, "page can't be served", |line| {
                    line.field("error", error.to_string())
                });
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let traffic = Rc::clone(&traffic);
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let response = page(&traffic, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            // Whoever asked asks again if its connection broke.
            let _ = http1::Builder::new()
                .auto_date_header(false)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
