//! Accepts connections of callers, of the readiness check, and of operators.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::caller::memory::MemoryShare;
use crate::caller::memory_limits::HTTP_STATE_BYTES;
use crate::direct::request::caller_io::CallerIo;
use crate::direct::request::caller_io::ConnectionActivity;
use crate::direct::request::connection_set::ConnectionSet;
use crate::direct::request::exchange;
use crate::direct::request::notices_page;
use crate::direct::request::quarantine_page;
use crate::direct::request::response_body::CallerBody;
use crate::direct::request::rollout_page;
use crate::direct::store_view::catalog::Catalog;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;
use crate::numbers;

/// Pause after a connection could not be accepted, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Longest buffer of the HTTP library for what a caller sends, if heads may not be longer.
const CALLER_BUFFER_BYTES: usize = 16 << 10;
/// Most connections of each of the listeners for readiness and for pages.
pub const MAX_PAGE_CONNECTIONS: usize = 32;
/// Longest buffer of the HTTP library for requests of pages.
pub const PAGE_BUFFER_BYTES: usize = 16 << 10;
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Path of the page about requests that may have crashed upstreams.
const QUARANTINE_PATH: &str = "/quarantine";
/// Path of the page about upstreams' notices.
const NOTICES_PATH: &str = "/notices";
/// Path of the page about rollouts.
const ROLLOUTS_PATH: &str = "/rollouts";

/// Serves callers until the process ends.
pub async fn serve_callers(listener: TcpListener, traffic: Rc<TrafficState>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => accept_caller(stream, &traffic).await,
            Err(error) => {
                traffic.log(Level::Error, "can't accept callers' connections", |line| {
                    line.field("error", error.to_string())
                });
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves a new connection, or closes it if there is no room for it.
async fn accept_caller(stream: TcpStream, traffic: &Rc<TrafficState>) {
    let evicted = traffic.caller_memory.usage().evicted_connections;
    match traffic.caller_memory.open() {
        Ok(memory) => {
            tokio::task::spawn_local(serve_caller(stream, memory, Rc::clone(traffic)));
        }
        Err(_) => traffic.log(Level::Warn, "no memory for a caller's connection", |line| {
            line.field("usage", usage_fields(traffic))
        }),
    }
    if traffic.caller_memory.usage().evicted_connections > evicted {
        traffic.log(Level::Warn, "callers' connections give way", |line| {
            line.field("usage", usage_fields(traffic))
        });
        // Those that give way are closed before the next one is accepted.
        yield_now().await;
    }
}

/// Returns what callers hold, for logs.
fn usage_fields(traffic: &TrafficState) -> Value {
    let usage = traffic.caller_memory.usage();
    json!({
        "connections": usage.connections,
        "connection_bytes": usage.connection_bytes,
        "body_bytes": usage.body_bytes,
        "evicted_connections": usage.evicted_connections,
        "evicted_bodies": usage.evicted_bodies,
        "rejected": usage.rejected,
    })
}

/// Serves the requests of one caller's connection, and closes it after the idle timeout, when it has to give
/// way or when the entry stops.
async fn serve_caller(stream: TcpStream, memory: MemoryShare, traffic: Rc<TrafficState>) {
    if let Err(error) = stream.set_nodelay(true) {
        traffic.log(Level::Warn, "caller's connection is not usable", |line| {
            line.field("error", error.to_string())
        });
        return;
    }
    let activity = Rc::new(ConnectionActivity::new(memory, traffic.now_ms()));
    activity.expect_request(ConnectionLimits::new(&traffic).max_body_bytes);
    let first = wait_for_first_byte(&stream, &activity, &traffic).await;
    if first == FirstByte::NeverCame || activity.memory.reserve(HTTP_STATE_BYTES).is_err() {
        return;
    }
    let service = service_fn(|request: Request<Incoming>| {
        let traffic = Rc::clone(&traffic);
        let activity = Rc::clone(&activity);
        let max_body_bytes = ConnectionLimits::new(&traffic).max_body_bytes;
        activity.start_request(max_body_bytes, !request.body().is_end_stream());
        let open = traffic.open_requests.open();
        // Its state would otherwise be a part of each connection, also while it is idle.
        Box::pin(async move {
            let response = exchange::handle(Rc::clone(&traffic), request, &open, &activity).await?;
            activity.begin_response(traffic.now_ms());
            Ok::<_, Infallible>(response.map(|body| CallerBody::new(body, open, &activity)))
        })
    });
    let limits = ConnectionLimits::new(&traffic);
    let stream = CallerIo::new(stream, Rc::clone(&activity), limits.idle_timeout);
    let mut connection = http1::Builder::new()
        .auto_date_header(false)
        .max_header_size(limits.max_header_bytes)
        .max_buf_size(CALLER_BUFFER_BYTES.max(limits.max_header_bytes))
        .serve_connection(TokioIo::new(stream), service);
    let mut has_given_way = false;
    loop {
        let limits = ConnectionLimits::new(&traffic);
        let head_due_at = activity
            .head_began
            .get()
            .map(|began| began + limits.header_timeout);
        let idle_until = Instant::now() + limits.idle_timeout;
        tokio::select! {
            // The request being served sees an error as well.
            ended = &mut connection => {
                if ended.is_err() {
                    // The library has answered an invalid head, and leaves it to others to close.
                    let mut io = connection.into_parts().io.into_inner();
                    let evicted = activity.memory.evicted();
                    let _closed = evicted.run_until_cancelled(io.shutdown()).await;
                }
                return;
            }
            () = traffic.closing.notified() => {}
            () = activity.has_head_begun.notified() => continue,
            () = activity.memory.evicted().cancelled(), if !has_given_way => {
                has_given_way = true;
                if activity.open_requests.get() == 0 {
                    return;
                }
                // Its request is refused or served, and the connection is closed then.
                Pin::new(&mut connection).graceful_shutdown();
                continue;
            }
            () = sleep_until(head_due_at.unwrap_or(idle_until).min(idle_until)) => {}
        }
        let is_late = |began: Instant| began.elapsed() >= limits.header_timeout;
        if activity.head_began.get().is_some_and(is_late) {
            traffic.log(Level::Info, "head of a request came too slowly", |line| {
                line
            });
            return;
        }
        let idle_ms = numbers::whole_ms(limits.idle_timeout);
        let is_idle = activity.open_requests.get() == 0
            && traffic.now_ms() >= activity.last_ms.get().saturating_add(idle_ms);
        if is_idle || traffic.is_closing.get() {
            Pin::new(&mut connection).graceful_shutdown();
        }
    }
}

/// Whether a new connection is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FirstByte {
    /// Its first byte has arrived.
    Arrived,
    /// It was closed or idle for too long, had to give way, or the entry stops.
    NeverCame,
}

/// Waits until a new connection is used, without the buffers that it needs from then on.
async fn wait_for_first_byte(
    stream: &TcpStream,
    activity: &ConnectionActivity,
    traffic: &TrafficState,
) -> FirstByte {
    let opened_at = Instant::now();
    let mut byte = [0; 1];
    loop {
        let idle_until = opened_at + ConnectionLimits::new(traffic).idle_timeout;
        tokio::select! {
            biased;
            // Readiness alone may be reported without a byte to read.
            received = stream.peek(&mut byte) => {
                return match received {
                    Ok(1..) => FirstByte::Arrived,
                    Ok(0) | Err(_) => FirstByte::NeverCame,
                };
            }
            () = activity.memory.evicted().cancelled() => return FirstByte::NeverCame,
            () = traffic.closing.notified() => return FirstByte::NeverCame,
            () = sleep_until(idle_until) => {}
        }
        // The timeout may have been raised meanwhile.
        if opened_at.elapsed() >= ConnectionLimits::new(traffic).idle_timeout {
            return FirstByte::NeverCame;
        }
    }
}

/// Limits of a caller's connection by the configuration in force, or by default if there is none.
struct ConnectionLimits {
    max_header_bytes: usize,
    max_body_bytes: u64,
    header_timeout: Duration,
    idle_timeout: Duration,
}

impl ConnectionLimits {
    fn new(traffic: &TrafficState) -> Self {
        let catalog = traffic.catalog.borrow();
        let default = Catalog::default();
        let catalog = catalog.as_deref().unwrap_or(&default);
        Self {
            max_header_bytes: usize::try_from(catalog.max_header_bytes()).unwrap_or(usize::MAX),
            max_body_bytes: catalog.max_body_bytes(),
            header_timeout: Duration::from_millis(catalog.header_timeout_ms()),
            idle_timeout: Duration::from_millis(catalog.idle_timeout_ms()),
        }
    }
}

/// Serves the readiness check until the process ends.
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

/// Serves the metrics and the operators' pages until the process ends.
pub async fn serve_metrics(listener: TcpListener, traffic: Rc<TrafficState>) {
    serve_page(listener, traffic, |traffic, request| {
        let path = request.uri().path();
        if path == METRICS_PATH {
            traffic.update_gauges();
            return Response::new(traffic.metrics.text().into());
        }
        if let Some(rest) = path.strip_prefix(QUARANTINE_PATH) {
            return quarantine_page::respond(traffic, request.method(), rest);
        }
        if let Some(rest) = path.strip_prefix(NOTICES_PATH) {
            return notices_page::respond(traffic, request.method(), rest);
        }
        match path.strip_prefix(ROLLOUTS_PATH) {
            Some(rest) => rollout_page::respond(traffic, request.method(), rest),
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

/// Serves a page, or several that `page` tells apart by the path.
async fn serve_page(
    listener: TcpListener,
    traffic: Rc<TrafficState>,
    page: fn(&TrafficState, &Request<Incoming>) -> Response<Full<Bytes>>,
) {
    let connections = ConnectionSet::new(MAX_PAGE_CONNECTIONS);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                traffic.log(Level::Error, "can't accept connections for pages", |line| {
                    line.field("error", error.to_string())
                });
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let traffic = Rc::clone(&traffic);
        connections.spawn(|member| async move {
            let service = service_fn(|request: Request<Incoming>| {
                member.touch();
                let response = page(&traffic, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            // The client repeats its request if the connection broke.
            let _ = http1::Builder::new()
                .auto_date_header(false)
                .max_buf_size(PAGE_BUFFER_BYTES)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
