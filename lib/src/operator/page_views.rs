//! The parts of the phone page that only show.

use std::fmt::Write;
use std::sync::Arc;

use poem::Response;
use poem::handler;
use poem::http::StatusCode;
use poem::web::Data;
use poem::web::Path;
use poem::web::Query;
use serde::Deserialize;

use crate::config::object::Kind;
use crate::operator::api::OperatorApi;
use crate::operator::forms;
use crate::operator::html::change_sentence;
use crate::operator::html::differences;
use crate::operator::html::escape;
use crate::operator::html::field;
use crate::operator::html::list;
use crate::operator::messages::AuditEntry;
use crate::operator::messages::ObjectView;
use crate::operator::page_parts::Visitor;
use crate::operator::page_parts::find;
use crate::operator::page_parts::fresh_form;
use crate::operator::page_parts::html;
use crate::operator::queries::AuditFilter;
use crate::operator::queries::upstream_views;
use crate::operator::queries::views_of;

/// How many changes the page of changes shows.
const CHANGES_SHOWN: usize = 50;

#[handler]
pub(crate) fn show_upstreams(Data(api): Data<&Arc<OperatorApi>>) -> Response {
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
pub(crate) fn show_new_upstream(Data(visitor): Data<&Visitor>) -> Response {
    let form = fresh_form(visitor, Kind::Upstreams, "", None);
    html(
        StatusCode::OK,
        "Add an upstream",
        &forms::new_upstream(&form),
    )
}

#[handler]
pub(crate) fn show_upstream(
    Path(name): Path<String>,
    Data(api): Data<&Arc<OperatorApi>>,
) -> poem::Result<Response> {
    let view = find(api, Kind::Upstreams, &name)?;
    let mut body = shown(&view);
    for word in ["drain", "stop", "resume"] {
        let label = forms::activity_of(word).map_or("", |(_, label)| label);
        // Writing to a string cannot fail.
        let _ = write!(
            body,
            "<a class=\"b\" href=\"/upstreams/{}/{word}\">{label}\u{2026}</a>",
            escape(&name)
        );
    }
    Ok(html(StatusCode::OK, &name, &body))
}

#[handler]
pub(crate) fn show_profiles(Data(api): Data<&Arc<OperatorApi>>) -> Response {
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
    let name_field = field("Name of a new profile", "name", "");
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
pub(crate) fn show_profile(
    Query(query): Query<NameQuery>,
    Data(visitor): Data<&Visitor>,
    Data(api): Data<&Arc<OperatorApi>>,
) -> Response {
    let name = query.name.trim();
    let view = find(api, Kind::Profiles, name).ok();
    let form = fresh_form(visitor, Kind::Profiles, name, view.as_ref());
    let mut body = view.as_ref().map_or(String::new(), shown);
    body.push_str(&forms::profile(&form));
    html(StatusCode::OK, name, &body)
}

#[handler]
pub(crate) async fn show_changes(Data(api): Data<&Arc<OperatorApi>>) -> Response {
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
        Some(after) => differences(&before, after),
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
