//! The phone page of an entry: what operators do most, without script.

use std::sync::Arc;

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
use poem::http::uri::Scheme;
use poem::post;
use poem::web::Data;
use poem::web::Form;
use serde::Deserialize;

use crate::operator::api::OperatorApi;
use crate::operator::forms;
use crate::operator::page_changes::check_change;
use crate::operator::page_changes::check_profile;
use crate::operator::page_changes::make_change;
use crate::operator::page_changes::show_confirmation;
use crate::operator::page_changes::show_in_force;
use crate::operator::page_parts::Visitor;
use crate::operator::page_parts::html;
use crate::operator::page_parts::redirect;
use crate::operator::page_views::show_changes;
use crate::operator::page_views::show_new_upstream;
use crate::operator::page_views::show_profile;
use crate::operator::page_views::show_profiles;
use crate::operator::page_views::show_upstream;
use crate::operator::page_views::show_upstreams;
use crate::operator::session::sign_in;
use crate::operator::session::sign_out;
use crate::operator::session::token_of;

/// All pages.
///
/// ```no_run
/// # async fn serve(api: sardinewood::operator::api::OperatorApi) -> std::io::Result<()> {
/// let listener = poem::listener::TcpListener::bind("127.0.0.1:9400");
/// poem::Server::new(listener).run(sardinewood::operator::page::routes(api)).await
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
    html(StatusCode::OK, "Sign in", &forms::login())
}

#[derive(Deserialize)]
struct LoginForm {
    token: String,
}

#[handler]
fn log_in(
    request: &Request,
    Form(form): Form<LoginForm>,
    Data(api): Data<&Arc<OperatorApi>>,
) -> Response {
    let token = form.token.trim();
    let is_over_tls = *request.scheme() == Scheme::HTTPS;
    let known = api.identify(token);
    let known = known.and_then(|_| sign_in(token, is_over_tls));
    match known {
        Some(cookie) => redirect("/")
            .with_header(header::SET_COOKIE, cookie)
            .into_response(),
        None => html(
            StatusCode::UNAUTHORIZED,
            "Sign in",
            &format!(
                "<p class=\"bad\">This token is not known.</p>{}",
                forms::login()
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

async fn error_page(error: poem::Error) -> Response {
    let status = error.status();
    let reason = status.canonical_reason().unwrap_or("Error");
    html(status, reason, "<p class=\"bad\">Nothing was changed.</p>")
}
