//! Connections of callers, and the port that tells whether the entry takes them.

use std::cell::Cell;
use std::convert::Infallible;
use std::fmt::Write;
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

use crate::direct::exchange;
use crate::direct::traffic::Counts;
use crate::direct::traffic::Traffic;
use crate::logging::Level;

/// Pause after a connection could not be accepted, for example for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Path of the counters on the readiness port.
const METRICS_PATH: &str = "/metrics";

/// Serves callers until the process ends.
pub async fn serve_callers(listener: TcpListener, traffic: Rc<Traffic>) {
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

async fn serve_caller(stream: TcpStream, traffic: Rc<Traffic>) {
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

fn idle_timeout_ms(traffic: &Traffic) -> u64 {
    let catalog = traffic.catalog.borrow();
    catalog
        .as_ref()
        .map_or_else(|| 60_000, |catalog| catalog.idle_timeout_ms())
}

/// Serves the readiness and the counters until the process ends.
pub async fn serve_readiness(listener: TcpListener, traffic: Rc<Traffic>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let traffic = Rc::clone(&traffic);
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let response = readiness(&traffic, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            // The platform asks again in a second if its connection broke.
            let _ = http1::Builder::new()
                .auto_date_header(false)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn readiness(traffic: &Traffic, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    if request.uri().path() == METRICS_PATH {
        return Response::new(metrics_text(traffic).into());
    }
    let mut response = Response::new(Full::default());
    if !traffic.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

fn metrics_text(traffic: &Traffic) -> String {
    let Counts {
        requests,
        answered,
        refused,
        unknown,
        second_attempts,
        resumed,
        cut,
        left,
    } = traffic.counts.get();
    let waiting = traffic.dispatcher.borrow().waiting() as u64;
    let open = traffic.open_requests.get() as u64;
    let figures = [
        ("requests_total", requests),
        ("answered_total", answered),
        ("refused_total", refused),
        ("unknown_total", unknown),
        ("second_attempts_total", second_attempts),
        ("resumed_total", resumed),
        ("cut_total", cut),
        ("left_total", left),
        ("waiting", waiting),
        ("open_requests", open),
    ];
    let mut text = String::new();
    for (name, value) in figures {
        // Writing to a string can't fail.
        let _ = writeln!(text, "sardinewood_{name} {value}");
    }
    text
}
