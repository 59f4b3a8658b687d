//! A small operator API in memory, with the faults that a run has to bear.

use std::sync::Arc;
use std::sync::Mutex;

use indexmap::IndexMap;
use poem::Endpoint;
use poem::EndpointExt;
use poem::IntoResponse;
use poem::Request;
use poem::Response;
use poem::Route;
use poem::Server;
use poem::endpoint::make;
use poem::http::StatusCode;
use poem::listener::Acceptor;
use poem::listener::Listener;
use poem::listener::TcpListener;
use sardinewood::config::audit::Change;
use sardinewood::config::object::Kind;
use sardinewood::operator::messages::Action;
use sardinewood::operator::messages::ChangeAnswer;
use sardinewood::operator::messages::ChangeRequest;
use sardinewood::operator::messages::ErrorBody;
use sardinewood::operator::messages::Expected;
use sardinewood::operator::messages::InForce;
use sardinewood::operator::messages::ObjectView;
use sardinewood::operator::messages::ObjectViews;
use sardinewood::store::position::StorePosition;
use serde::Serialize;
use serde_json::Value;

pub const TOKEN: &str = "selma-token";

/// What is set and seen by a test.
#[derive(Debug, Default)]
pub struct FakeState {
    pub revision: u64,
    pub objects: IndexMap<String, ObjectView>,
    /// Every change that arrived, in order.
    pub received: Vec<ChangeRequest>,
    /// So many next changes take effect, but their answers are lost.
    pub lose_answers: usize,
    /// So many next changes are answered "not known yet" and take no effect.
    pub not_known: usize,
    /// Findings with which each change is refused.
    pub findings: Vec<Arc<str>>,
    /// Answers to `in-force`, the last one again and again.
    pub in_force: Vec<InForce>,
    /// Bodies of other queries, by path.
    pub queries: IndexMap<&'static str, Value>,
}

impl FakeState {
    /// Writes an object as an operator other than the one under test does.
    pub fn put(&mut self, kind: Kind, name: &str, spec: Value) {
        let change = Change {
            id: format!("other-{}", self.revision).into(),
            who: "petrus".into(),
            at_ms: 0,
            why: "rush hour".into(),
            from: "10.0.0.9".into(),
            based_on_version: None,
        };
        self.write(kind, name, Some(spec), change);
    }

    fn write(&mut self, kind: Kind, name: &str, spec: Option<Value>, change: Change) {
        self.revision += 1;
        let view = ObjectView {
            kind,
            name: name.into(),
            version: StorePosition::new(0, self.revision),
            spec,
            change: Some(change),
            findings: Vec::new(),
        };
        let key = format!("{}/{name}", kind.as_str());
        self.objects.insert(key, view);
    }

    fn change(&mut self, request: &ChangeRequest) -> ChangeAnswer {
        let key = format!("{}/{}", request.kind.as_str(), request.name);
        let current = self.objects.get(&key).cloned();
        let repeated =
            |view: &&ObjectView| view.change.as_ref().is_some_and(|c| c.id == request.id);
        if let Some(view) = current.as_ref().filter(repeated) {
            return ChangeAnswer::Accepted {
                version: view.version,
            };
        }
        let live = current.filter(|view| view.spec.is_some());
        let expected = match &live {
            None => Expected::Absent,
            Some(view) => Expected::Version(view.version),
        };
        if expected != request.expected {
            return ChangeAnswer::Conflict { current: live };
        }
        if !self.findings.is_empty() {
            let findings = self.findings.clone();
            return ChangeAnswer::Refused { findings };
        }
        if request.dry_run {
            let effects = vec!["3 requests are in flight".into()];
            return ChangeAnswer::Checked { effects };
        }
        self.apply(request);
        ChangeAnswer::Accepted {
            version: StorePosition::new(0, self.revision),
        }
    }

    fn apply(&mut self, request: &ChangeRequest) {
        let spec = match &request.action {
            Action::Put(spec) => Some(spec.clone()),
            Action::Delete => None,
        };
        let change = Change {
            id: Arc::clone(&request.id),
            who: "selma".into(),
            at_ms: 0,
            why: Arc::clone(&request.reason),
            from: "10.0.0.7".into(),
            based_on_version: None,
        };
        self.write(request.kind, &request.name, spec, change);
    }
}

/// A running fake.
pub struct FakeOperatorApi {
    pub url: Arc<str>,
    pub state: Arc<Mutex<FakeState>>,
}

impl FakeOperatorApi {
    /// Serves on a free port until the test's runtime ends.
    pub async fn start(state: FakeState) -> Self {
        let state = Arc::new(Mutex::new(state));
        let acceptor = TcpListener::bind("127.0.0.1:0")
            .into_acceptor()
            .await
            .unwrap();
        let address = acceptor.local_addr()[0].as_socket_addr().copied().unwrap();
        tokio::spawn(Server::new_with_acceptor(acceptor).run(routes(&state)));
        let url = format!("http://{address}").into();
        Self { url, state }
    }
}

fn routes(state: &Arc<Mutex<FakeState>>) -> impl Endpoint + use<> {
    let state = Arc::clone(state);
    let serve = make(move |request| {
        let state = Arc::clone(&state);
        async move { Ok::<_, poem::Error>(serve(request, &state).await) }
    });
    Route::new().nest_no_strip("/", serve).map_to_response()
}

async fn serve(mut request: Request, state: &Mutex<FakeState>) -> Response {
    if request.header("authorization") != Some(&format!("Bearer {TOKEN}")) {
        return fault(StatusCode::UNAUTHORIZED, "the token is unknown");
    }
    let body = request.take_body().into_vec().await.unwrap();
    let path = request.uri().path().to_owned();
    let mut state = state.lock().unwrap();
    if path == "/v1/changes" {
        return serve_change(&mut state, &serde_json::from_slice(&body).unwrap());
    }
    if path.starts_with("/v1/in-force/") {
        let more = state.in_force.len() > 1;
        let answer = if more {
            state.in_force.remove(0)
        } else {
            state.in_force[0].clone()
        };
        return json(StatusCode::OK, &answer);
    }
    if let Some(body) = state.queries.get(path.as_str()) {
        return json(StatusCode::OK, body);
    }
    let Some(key) = path.strip_prefix("/v1/objects/") else {
        return fault(StatusCode::NOT_FOUND, "nobody remembers it");
    };
    serve_objects(&state, key)
}

fn serve_objects(state: &FakeState, key: &str) -> Response {
    if let Some(kind) = Kind::parse(key) {
        let of_kind = state.objects.values().filter(|view| view.kind == kind);
        let views = ObjectViews {
            revision: StorePosition::new(0, state.revision),
            objects: of_kind.cloned().collect(),
        };
        return json(StatusCode::OK, &views);
    }
    let live = state.objects.get(key).filter(|view| view.spec.is_some());
    match live {
        Some(view) => json(StatusCode::OK, view),
        None => fault(StatusCode::NOT_FOUND, "no such object"),
    }
}

fn serve_change(state: &mut FakeState, change: &ChangeRequest) -> Response {
    state.received.push(change.clone());
    if state.not_known > 0 {
        state.not_known -= 1;
        return json(StatusCode::ACCEPTED, &ChangeAnswer::NotKnownYet);
    }
    let answer = state.change(change);
    if state.lose_answers > 0 {
        state.lose_answers -= 1;
        // The body is cut off, as by a connection that breaks after the change is made.
        return json(StatusCode::OK, &answer)
            .with_header("content-length", "9000")
            .into_response();
    }
    let status = match answer {
        ChangeAnswer::Refused { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        ChangeAnswer::Conflict { .. } => StatusCode::CONFLICT,
        _ => StatusCode::OK,
    };
    json(status, &answer)
}

fn fault(status: StatusCode, text: &str) -> Response {
    json(status, &ErrorBody { error: text.into() })
}

fn json(status: StatusCode, body: &impl Serialize) -> Response {
    let body = serde_json::to_string(body).unwrap();
    Response::builder().status(status).body(body)
}
