//! The phone page of an entry: what operators do most, without script.

use std::fmt::Write;
use std::sync::Arc;

use indexmap::IndexMap;
use poem::Body;
use poem::Endpoint;
use poem::EndpointExt;
use poem::IntoResponse;
use poem::Request;
use poem::Response;
use poem::Route;
use poem::get;
use poem::handler;
use poem::http::StatusCode;
use poem::http::header;
use poem::post;
use poem::web::Data;
use poem::web::Form;
use poem::web::Path;
use poem::web::Query;
use serde::Deserialize;

use crate::config_object::Kind;
use crate::config_object::ObjectKey;
use crate::operator_api::OperatorApi;
use crate::operator_auth::Session;
use crate::operator_forms;
use crate::operator_forms::ChangeForm;
use crate::operator_html::change_sentence;
use crate::operator_html::conflict;
use crate::operator_html::escape;
use crate::operator_html::list;
use crate::operator_html::page;
use crate::operator_messages::AuditEntry;
use crate::operator_messages::ChangeAnswer;
use crate::operator_messages::ChangeRequest;
use crate::operator_messages::InForce;
use crate::operator_messages::ObjectView;
use crate::operator_queries::AuditFilter;
use crate::operator_queries::upstream_views;
use crate::operator_queries::view_of;
use crate::operator_queries::views_of;
use crate::operator_routes::remote_address;
use crate::operator_session::form_key;
use crate::operator_session::is_form_key;
use crate::operator_session::sign_in;
use crate::operator_session::sign_out;
use crate::operator_session::token_of;

/// The longest form: an object and some words.
const MAX_FORM_BYTES: usize = 256 * 1024;

/// How many changes the page of changes shows.
const CHANGES_SHOWN: usize = 50;

/// The page may load nothing, run no script, stand in no other page's frame and send forms
/// only to its own entry.
const CONTENT_POLICY: &str = "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; \
                              frame-ancestors 'none'; base-uri 'none'";

/// An operator with the token that proved it.
#[derive(Clone, Debug)]
struct Visitor {
    session: Session,
    token: String,
}

/// All pages.
///
/// ```no_run
/// # async fn serve(api: sardinewood::operator_api::OperatorApi) -> std::io::Result<()> {
/// let listener = poem::listener::TcpListener::bind("127.0.0.1:9400");
/// poem::Server::new(listener).run(sardinewood::operator_page::routes(api)).await
/// # }
/// ```
pub fn routes(api: OperatorApi) -> impl Endpoint + 'static {
    let signed_in = Route::new()
        .at("/", get(show_upstreams))
        .at("/upstreams/new", get(show_new_upstream))
        .at("/upstreams/:name", get(show_upstream))
        .at("/upstreams/:name/:activity", get(show_confirmation))
        .at("/profiles", get(show_profiles))
        .at("/profile", get(show_profile))
        .at("/check", post(check_change))
        .at("/check-profile", post(check_profile))
        .at("/change", post(make_change))
        .at("/in-force/:kind/:name/:version", get(show_in_force))
        .at("/audit", get(show_changes))
        .around(admit);
    Route::new()
        .at("/login", get(show_login).post(log_in))
        .at("/logout", post(log_out))
        .nest("/", signed_in)
        .catch_all_error(error_page)
        .data(Arc::new(api))
}

/// Lets signed-in operators through and shows others where to sign in.
async fn admit<E>(next: Arc<E>, mut request: Request) -> poem::Result<Response>
where
    E: Endpoint<Output = Response>,
{
    let api = request.data::<Arc<OperatorApi>>().cloned();
    let visitor = token_of(&request).zip(api).and_then(|(token, api)| {
        let session = api.identify(&token)?;
        Some(Visitor { session, token })
    });
    let Some(visitor) = visitor else {
        return Ok(redirect("/login"));
    };
    request.set_data(visitor);
    next.call(request).await
}

#[handler]
fn show_login() -> Response {
    html(StatusCode::OK, "Sign in", &operator_forms::login())
}

#[derive(Deserialize)]
struct LoginForm {
    token: String,
}

#[handler]
fn log_in(Form(form): Form<LoginForm>, Data(api): Data<&Arc<OperatorApi>>) -> Response {
    let token = form.token.trim();
    let known = api.identify(token).and_then(|_| sign_in(token));
    match known {
        Some(cookie) => redirect("/")
            .with_header(header::SET_COOKIE, cookie)
            .into_response(),
        None => html(
            StatusCode::UNAUTHORIZED,
            "Sign in",
            &format!(
                "<p class=\"bad\">This token is not known.</p>{}",
                operator_forms::login()
            ),
        ),
    }
}

#[handler]
fn log_out() -> Response {
    redirect("/login")
        .with_header(header::SET_COOKIE, sign_out())
        .into_response()
}

#[handler]
fn show_upstreams(Data(api): Data<&Arc<OperatorApi>>) -> Response {
    let status = api.entry_status();
    let waiting: Vec<String> = status
        .counts
        .waiting_by_tier
        .iter()
        .map(ToString::to_string)
        .collect();
    let mut body = format!(
        "<p class=\"s\">Waiting by tier: {}. Running: {}.</p>",
        waiting.join(", "),
        status.counts.running
    );
    if !api.config.is_store_reachable() {
        body.push_str(
            "<p class=\"wait\">The store does not answer: nothing can be changed now.</p>",
        );
    }
    for upstream in upstream_views(&api.config.catalog().borrow(), &status) {
        let name = escape(&upstream.name);
        let why = upstream
            .no_work_because
            .as_deref()
            .map_or(String::new(), |why| format!(": {why}"));
        // Writing to a string cannot fail.
        let _ = write!(
            body,
            "<a class=\"b\" href=\"/upstreams/{name}\"><b>{name}</b> {}{}<br><span class=\"s\">\
             {} of {} run, {} wait</span></a>",
            escape(&upstream.activity),
            escape(&why),
            upstream.running,
            upstream.slots,
            upstream.waiting
        );
    }
    body.push_str("<a class=\"b\" href=\"/upstreams/new\">Add an upstream</a>");
    body.push_str("<form method=\"post\" action=\"/logout\"><button>Sign out</button></form>");
    html(StatusCode::OK, "Upstreams", &body)
}

#[handler]
fn show_new_upstream(Data(visitor): Data<&Visitor>) -> Response {
    let form = fresh_form(visitor, Kind::Upstreams, "", None);
    html(
        StatusCode::OK,
        "Add an upstream",
        &operator_forms::new_upstream(&form),
    )
}

#[handler]
fn show_upstream(
    Path(name): Path<String>,
    Data(api): Data<&Arc<OperatorApi>>,
) -> poem::Result<Response> {
    let view = find(api, Kind::Upstreams, &name)?;
    let mut body = shown(&view);
    for word in ["drain", "stop", "resume"] {
        let label = operator_forms::activity_of(word).map_or("", |(_, label)| label);
        // Writing to a string cannot fail.
        let _ = write!(
            body,
            "<a class=\"b\" href=\"/upstreams/{}/{word}\">{label}\u{2026}</a>",
            escape(&name)
        );
    }
    Ok(html(StatusCode::OK, &name, &body))
}

/// Shows what draining, stopping or resuming will do, and asks for the operator's word.
#[handler]
async fn show_confirmation(
    request: &Request,
    Path((name, word)): Path<(String, String)>,
    Data(visitor): Data<&Visitor>,
    Data(api): Data<&Arc<OperatorApi>>,
) -> poem::Result<Response> {
    let view = find(api, Kind::Upstreams, &name)?;
    let activity = operator_forms::activity_of(&word);
    let (activity, label) = activity.ok_or_else(|| problem(StatusCode::NOT_FOUND))?;
    let spec = view
        .spec
        .clone()
        .ok_or_else(|| problem(StatusCode::NOT_FOUND))?;
    let mut form = fresh_form(visitor, Kind::Upstreams, &name, Some(&view));
    form.spec = operator_forms::with_activity(spec, activity).to_string();
    let title = format!("{label} {name}");
    Ok(confirm(request, api, visitor, form, &title).await)
}

#[handler]
fn show_profiles(Data(api): Data<&Arc<OperatorApi>>) -> Response {
    let views = views_of(&api.config.state().borrow(), Kind::Profiles);
    let mut body = String::new();
    for view in views.objects {
        let name = escape(&view.name);
        let spec = view.spec.unwrap_or_default();
        // Writing to a string cannot fail.
        let _ = write!(
            body,
            "<a class=\"b\" href=\"/profile?name={name}\"><b>{name}</b><br>\
             <span class=\"s\">tier {}, {} ms</span></a>",
            escape(&spec["tier"].to_string()),
            escape(&spec["deadline_ms"].to_string())
        );
    }
    let name_field = crate::operator_html::field("Name of a new profile", "name", "");
    // Writing to a string cannot fail.
    let _ = write!(
        body,
        "<form method=\"get\" action=\"/profile\">{name_field}<button>Add a profile</button></form>"
    );
    html(StatusCode::OK, "Profiles", &body)
}

#[derive(Deserialize)]
struct NameQuery {
    name: String,
}

#[handler]
fn show_profile(
    Query(query): Query<NameQuery>,
    Data(visitor): Data<&Visitor>,
    Data(api): Data<&Arc<OperatorApi>>,
) -> Response {
    let name = query.name.trim();
    let view = find(api, Kind::Profiles, name).ok();
    let form = fresh_form(visitor, Kind::Profiles, name, view.as_ref());
    let mut body = view.as_ref().map_or(String::new(), shown);
    body.push_str(&operator_forms::profile(&form));
    html(StatusCode::OK, name, &body)
}

#[handler]
async fn check_profile(
    request: &Request,
    body: Body,
    Data(visitor): Data<&Visitor>,
    Data(api): Data<&Arc<OperatorApi>>,
) -> poem::Result<Response> {
    let bytes = form_bytes(body).await?;
    let mut form: ChangeForm = parse_form(&bytes)?;
    let fields: IndexMap<String, String> = parse_form(&bytes)?;
    let spec = operator_forms::profile_spec(&form.name, &form.seen_spec(), &fields);
    form.spec = spec.to_string();
    let title = format!("Change {}", form.name);
    Ok(confirm(request, api, visitor, form, &title).await)
}

#[handler]
async fn check_change(
    request: &Request,
    body: Body,
    Data(visitor): Data<&Visitor>,
    Data(api): Data<&Arc<OperatorApi>>,
) -> poem::Result<Response> {
    let form: ChangeForm = parse_form(&form_bytes(body).await?)?;
    let title = format!("Change {}", form.name);
    Ok(confirm(request, api, visitor, form, &title).await)
}

#[handler]
async fn make_change(
    request: &Request,
    body: Body,
    Data(visitor): Data<&Visitor>,
    Data(api): Data<&Arc<OperatorApi>>,
) -> poem::Result<Response> {
    let form: ChangeForm = parse_form(&form_bytes(body).await?)?;
    let asked = form
        .request(false)
        .ok_or_else(|| problem(StatusCode::BAD_REQUEST))?;
    let may_change = visitor.session.role.can_write() && is_form_key(&form.key, &visitor.token);
    if !may_change {
        return Err(problem(StatusCode::FORBIDDEN));
    }
    let answer = api
        .change(&visitor.session, &remote_address(request), &asked)
        .await;
    let body = match answer {
        Ok(ChangeAnswer::Accepted { version }) => accepted(api, &asked, version).await,
        Ok(ChangeAnswer::NotKnownYet) => not_known_yet(&form),
        Ok(answer) => not_accepted(&form, &answer),
        Err(_) if form.is_asked_again => not_known_yet(&form),
        Err(error) => format!(
            "<p class=\"bad\">{}</p>{}",
            escape(&error.to_string()),
            form.commit("Try again", false)
        ),
    };
    Ok(html(StatusCode::OK, &form.name, &body))
}

async fn accepted(api: &OperatorApi, asked: &ChangeRequest, version: u64) -> String {
    let key = ObjectKey {
        kind: asked.kind,
        name: Arc::clone(&asked.name),
    };
    let in_force = api.in_force(&key, version).await;
    format!(
        "<p class=\"good\"><b>Accepted</b> as version {version}. It will not revert.</p>{}",
        progress(&key, version, &in_force)
    )
}

/// How far a version has got, and a link to look again.
fn progress(key: &ObjectKey, version: u64, in_force: &InForce) -> String {
    let mut html = format!(
        "<p>In force on <b>{} of {}</b> processes.</p>",
        in_force.count(),
        in_force.processes
    );
    if !in_force.missing.is_empty() {
        html.push_str("<p>Missing:</p>");
        html.push_str(&list(in_force.missing.iter().map(AsRef::as_ref)));
        // Writing to a string cannot fail.
        let _ = write!(
            html,
            "<a class=\"b\" href=\"/in-force/{}/{version}\">Look again</a>",
            escape(&key.to_string())
        );
    }
    html
}

fn not_known_yet(form: &ChangeForm) -> String {
    format!(
        "<p class=\"wait\"><b>Not known yet.</b> The store has not confirmed or denied the change. \
         It may be in force or come into force.</p>{}",
        form.ask_again()
    )
}

fn not_accepted(form: &ChangeForm, answer: &ChangeAnswer) -> String {
    match answer {
        ChangeAnswer::Conflict { current } => conflict(&form.seen_spec(), current.as_ref()),
        ChangeAnswer::Refused { findings } => format!(
            "<div class=\"bad\"><p><b>Refused.</b> Nothing was changed.</p>{}</div>",
            list(findings.iter().map(AsRef::as_ref))
        ),
        ChangeAnswer::Accepted { .. }
        | ChangeAnswer::Checked { .. }
        | ChangeAnswer::NotKnownYet => String::new(),
    }
}

/// Tries a change out and shows what it will do, with the form that makes it.
async fn confirm(
    request: &Request,
    api: &OperatorApi,
    visitor: &Visitor,
    mut form: ChangeForm,
    title: &str,
) -> Response {
    let Some(asked) = form.request(true) else {
        return html(
            StatusCode::BAD_REQUEST,
            title,
            "<p class=\"bad\">This is no form of ours.</p>",
        );
    };
    form.key = form_key(&visitor.token);
    let answer = api
        .change(&visitor.session, &remote_address(request), &asked)
        .await;
    let body = match answer {
        Ok(ChangeAnswer::Checked { effects }) => {
            let mut effects: Vec<String> = effects.iter().map(ToString::to_string).collect();
            effects.extend(in_flight(api, &asked));
            let is_dangerous = asked.kind == Kind::Upstreams;
            format!(
                "{}{}",
                list(effects.iter().map(String::as_str)),
                form.commit(title, is_dangerous)
            )
        }
        Ok(answer) => not_accepted(&form, &answer),
        Err(error) => format!("<p class=\"bad\">{}</p>", escape(&error.to_string())),
    };
    html(StatusCode::OK, title, &body)
}

/// The work that an upstream has at present.
fn in_flight(api: &OperatorApi, asked: &ChangeRequest) -> Option<String> {
    if asked.kind != Kind::Upstreams {
        return None;
    }
    let status = api.entry_status();
    let views = upstream_views(&api.config.catalog().borrow(), &status);
    let view = views.into_iter().find(|view| view.name == asked.name)?;
    Some(format!(
        "As last heard, {} requests run there and {} wait at its agent.",
        view.running, view.waiting
    ))
}

#[handler]
async fn show_in_force(
    Path((kind, name, version)): Path<(String, String, u64)>,
    Data(api): Data<&Arc<OperatorApi>>,
) -> poem::Result<Response> {
    let kind = Kind::parse(&kind).ok_or_else(|| problem(StatusCode::NOT_FOUND))?;
    let key = ObjectKey {
        kind,
        name: operator_forms::name_of(&name),
    };
    let in_force = api.in_force(&key, version).await;
    Ok(html(
        StatusCode::OK,
        &name,
        &progress(&key, version, &in_force),
    ))
}

#[handler]
async fn show_changes(Data(api): Data<&Arc<OperatorApi>>) -> Response {
    let filter = AuditFilter {
        limit: Some(CHANGES_SHOWN),
        ..AuditFilter::default()
    };
    let trail = api.audit(&filter).await;
    let mut body = String::new();
    if trail.is_partial {
        body.push_str(
            "<p class=\"wait\">The store does not answer: only the last change of each.</p>",
        );
    }
    body.push_str("<ul>");
    for entry in &trail.entries {
        body.push_str(&change_item(entry));
    }
    body.push_str("</ul>");
    html(StatusCode::OK, "Changes", &body)
}

fn change_item(entry: &AuditEntry) -> String {
    let before = entry.before.clone().unwrap_or_default();
    let differences = match &entry.after {
        Some(after) => crate::operator_html::differences(&before, after),
        None => vec!["removed".to_owned()],
    };
    let sentence = change_sentence(entry.change.as_ref());
    format!(
        "<li><b>{}/{}</b> version {}<br>{}{}</li>",
        entry.kind.as_str(),
        escape(&entry.name),
        entry.version,
        escape(&sentence),
        list(differences.iter().map(String::as_str))
    )
}

/// An object and who made it so.
fn shown(view: &ObjectView) -> String {
    let spec = view.spec.as_ref().map_or_else(String::new, |spec| {
        serde_json::to_string_pretty(spec).unwrap_or_default()
    });
    format!(
        "<p class=\"s\">Version {}. {}</p><details><summary>All fields</summary><pre>{}</pre></details>",
        view.version,
        escape(&change_sentence(view.change.as_ref())),
        escape(&spec)
    )
}

fn find(api: &OperatorApi, kind: Kind, name: &str) -> poem::Result<ObjectView> {
    let key = ObjectKey {
        kind,
        name: operator_forms::name_of(name),
    };
    let view = view_of(&api.config.state().borrow(), &key);
    view.ok_or_else(|| problem(StatusCode::NOT_FOUND))
}

fn fresh_form(visitor: &Visitor, kind: Kind, name: &str, view: Option<&ObjectView>) -> ChangeForm {
    let form = ChangeForm::new(kind, name, view, operator_forms::fresh_id());
    ChangeForm {
        key: form_key(&visitor.token),
        ..form
    }
}

async fn form_bytes(body: Body) -> poem::Result<Vec<u8>> {
    let bytes = body.into_bytes_limit(MAX_FORM_BYTES).await;
    let bytes = bytes.map_err(|_| problem(StatusCode::PAYLOAD_TOO_LARGE))?;
    Ok(bytes.to_vec())
}

fn parse_form<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> poem::Result<T> {
    serde_urlencoded::from_bytes(bytes).map_err(|_| problem(StatusCode::BAD_REQUEST))
}

fn problem(status: StatusCode) -> poem::Error {
    poem::Error::from_status(status)
}

async fn error_page(error: poem::Error) -> Response {
    let status = error.status();
    let reason = status.canonical_reason().unwrap_or("Error");
    html(status, reason, "<p class=\"bad\">Nothing was changed.</p>")
}

fn redirect(location: &'static str) -> Response {
    Response::builder()
        .status(StatusCode::SEE_OTHER)
        .header(header::LOCATION, location)
        .header(header::CACHE_CONTROL, "no-store")
        .finish()
}

fn html(status: StatusCode, title: &str, body: &str) -> Response {
    Response::builder()
        .status(status)
        .content_type("text/html; charset=utf-8")
        .header(header::CACHE_CONTROL, "no-store")
        .header(header::CONTENT_SECURITY_POLICY, CONTENT_POLICY)
        .header(header::X_CONTENT_TYPE_OPTIONS, "nosniff")
        .header(header::REFERRER_POLICY, "same-origin")
        .body(page(title, body))
}
