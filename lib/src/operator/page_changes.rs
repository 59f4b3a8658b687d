//! The parts of the phone page that lead to a change, and what became of it.

use std::fmt::Write;
use std::sync::Arc;

use indexmap::IndexMap;
use poem::Body;
use poem::Request;
use poem::Response;
use poem::handler;
use poem::http::StatusCode;
use poem::web::Data;
use poem::web::Path;

use crate::config::object::Kind;
use crate::config::object::ObjectKey;
use crate::operator::api::OperatorApi;
use crate::operator::forms;
use crate::operator::forms::ChangeForm;
use crate::operator::html::conflict;
use crate::operator::html::escape;
use crate::operator::html::list;
use crate::operator::messages::Action;
use crate::operator::messages::ChangeAnswer;
use crate::operator::messages::ChangeRequest;
use crate::operator::messages::InForce;
use crate::operator::page_parts::Visitor;
use crate::operator::page_parts::find;
use crate::operator::page_parts::form_bytes;
use crate::operator::page_parts::fresh_form;
use crate::operator::page_parts::html;
use crate::operator::page_parts::parse_form;
use crate::operator::page_parts::problem;
use crate::operator::queries::upstream_views;
use crate::operator::routes::remote_address;
use crate::operator::session::form_key;
use crate::operator::session::is_form_key;
use crate::store::position::StorePosition;

/// Shows what draining, stopping or resuming will do, and asks for the operator's word.
#[handler]
pub(crate) async fn show_confirmation(
    request: &Request,
    Path((name, word)): Path<(String, String)>,
    Data(visitor): Data<&Visitor>,
    Data(api): Data<&Arc<OperatorApi>>,
) -> poem::Result<Response> {
    let view = find(api, Kind::Upstreams, &name)?;
    let activity = forms::activity_of(&word);
    let (activity, label) = activity.ok_or_else(|| problem(StatusCode::NOT_FOUND))?;
    let spec = view
        .spec
        .clone()
        .ok_or_else(|| problem(StatusCode::NOT_FOUND))?;
    let mut form = fresh_form(visitor, Kind::Upstreams, &name, Some(&view));
    form.spec = forms::with_activity(spec, activity).to_string();
    let title = format!("{label} {name}");
    Ok(confirm(request, api, visitor, form, &title).await)
}

#[handler]
pub(crate) async fn check_profile(
    request: &Request,
    body: Body,
    Data(visitor): Data<&Visitor>,
    Data(api): Data<&Arc<OperatorApi>>,
) -> poem::Result<Response> {
    let bytes = form_bytes(body).await?;
    let mut form: ChangeForm = parse_form(&bytes)?;
    let fields: IndexMap<String, String> = parse_form(&bytes)?;
    let spec = forms::profile_spec(&form.name, &form.seen_spec(), &fields);
    form.spec = spec.to_string();
    let title = format!("Change {}", form.name);
    Ok(confirm(request, api, visitor, form, &title).await)
}

#[handler]
pub(crate) async fn check_change(
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
pub(crate) async fn make_change(
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

async fn accepted(api: &OperatorApi, asked: &ChangeRequest, version: StorePosition) -> String {
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
fn progress(key: &ObjectKey, version: StorePosition, in_force: &InForce) -> String {
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
            let is_dangerous = takes_capacity_away(&asked);
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

/// Whether a change is one that an operator should not make by a slip of the thumb.
fn takes_capacity_away(asked: &ChangeRequest) -> bool {
    let keeps_working = match &asked.action {
        Action::Put(spec) => spec
            .get("activity")
            .is_none_or(|activity| activity == "active"),
        Action::Delete => false,
    };
    asked.kind == Kind::Upstreams && !keeps_working
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
pub(crate) async fn show_in_force(
    Path((kind, name, version)): Path<(String, String, StorePosition)>,
    Data(api): Data<&Arc<OperatorApi>>,
) -> poem::Result<Response> {
    let kind = Kind::parse(&kind).ok_or_else(|| problem(StatusCode::NOT_FOUND))?;
    let key = ObjectKey {
        kind,
        name: forms::name_of(&name),
    };
    let in_force = api.in_force(&key, version).await;
    Ok(html(
        StatusCode::OK,
        &name,
        &progress(&key, version, &in_force),
    ))
}
