//! What all parts of the phone page share.

use poem::Body;
use poem::Response;
use poem::http::StatusCode;
use poem::http::header;

use crate::config::object::Kind;
use crate::config::object::ObjectKey;
use crate::operator::api::OperatorApi;
use crate::operator::auth::Session;
use crate::operator::forms;
use crate::operator::forms::ChangeForm;
use crate::operator::html::page;
use crate::operator::messages::ObjectView;
use crate::operator::queries::view_of;
use crate::operator::session::form_key;

/// The longest form: an object and some words.
const MAX_FORM_BYTES: usize = 256 * 1024;

/// The page may load nothing, run no script, stand in no other page's frame and send forms
/// only to its own entry.
const CONTENT_POLICY: &str = "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; \
                              frame-ancestors 'none'; base-uri 'none'";

/// An operator with the token that proved it.
#[derive(Clone, Debug)]
pub(crate) struct Visitor {
    pub(crate) session: Session,
    pub(crate) token: String,
}

pub(crate) fn find(api: &OperatorApi, kind: Kind, name: &str) -> poem::Result<ObjectView> {
    let key = ObjectKey {
        kind,
        name: forms::name_of(name),
    };
    let view = view_of(&api.config.state().borrow(), &key);
    view.ok_or_else(|| problem(StatusCode::NOT_FOUND))
}

pub(crate) fn fresh_form(
    visitor: &Visitor,
    kind: Kind,
    name: &str,
    view: Option<&ObjectView>,
) -> ChangeForm {
    let form = ChangeForm::new(kind, name, view, forms::fresh_id());
    ChangeForm {
        key: form_key(&visitor.token),
        ..form
    }
}

pub(crate) async fn form_bytes(body: Body) -> poem::Result<Vec<u8>> {
    let bytes = body.into_bytes_limit(MAX_FORM_BYTES).await;
    let bytes = bytes.map_err(|_| problem(StatusCode::PAYLOAD_TOO_LARGE))?;
    Ok(bytes.to_vec())
}

pub(crate) fn parse_form<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> poem::Result<T> {
    serde_urlencoded::from_bytes(bytes).map_err(|_| problem(StatusCode::BAD_REQUEST))
}

pub(crate) fn problem(status: StatusCode) -> poem::Error {
    poem::Error::from_status(status)
}

pub(crate) fn redirect(location: &'static str) -> Response {
    Response::builder()
        .status(StatusCode::SEE_OTHER)
        .header(header::LOCATION, location)
        .header(header::CACHE_CONTROL, "no-store")
        .finish()
}

pub(crate) fn html(status: StatusCode, title: &str, body: &str) -> Response {
    Response::builder()
        .status(status)
        .content_type("text/html; charset=utf-8")
        .header(header::CACHE_CONTROL, "no-store")
        .header(header::CONTENT_SECURITY_POLICY, CONTENT_POLICY)
        .header(header::X_CONTENT_TYPE_OPTIONS, "nosniff")
        .header(header::REFERRER_POLICY, "same-origin")
        .body(page(title, body))
}
