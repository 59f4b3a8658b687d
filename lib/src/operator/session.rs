//! How the phone page keeps an operator signed in, without state in the entry.
//!
//! The cookie holds the token, so that it is good at every entry. It is out of reach of
//! scripts (`HttpOnly`) and browsers send it only from the page's own site
//! (`SameSite=Strict`). Each form that changes something carries a hash of the token besides:
//! another site can neither read nor guess it, so it cannot make a browser change anything,
//! even one that ignores `SameSite`.

use poem::Request;
use poem::http::header;
use subtle::ConstantTimeEq;

use crate::secrets::sha256_hex;

/// The name of the cookie.
const COOKIE: &str = "sardinewood_operator";

/// How long a browser keeps it.
const MAX_AGE_S: u32 = 12 * 60 * 60;

/// The header that signs an operator in; `None` if the token cannot stand in a cookie. Over TLS
/// the browser is told never to send it in the clear.
///
/// ```
/// use sardinewood::operator::session::sign_in;
///
/// assert!(sign_in("abc", true).unwrap().ends_with("HttpOnly; SameSite=Strict; Secure"));
/// assert_eq!(sign_in("a;b", true), None);
/// ```
#[must_use]
pub fn sign_in(token: &str, is_over_tls: bool) -> Option<String> {
    let fits = |byte: u8| byte.is_ascii_graphic() && !b"\",;\\".contains(&byte);
    let usable = !token.is_empty() && token.bytes().all(fits);
    usable.then(|| {
        let secure = if is_over_tls { "; Secure" } else { "" };
        format!("{COOKIE}={token}; Path=/; Max-Age={MAX_AGE_S}; HttpOnly; SameSite=Strict{secure}")
    })
}

/// The header that signs an operator out.
///
/// ```
/// assert!(sardinewood::operator::session::sign_out().contains("Max-Age=0"));
/// ```
#[must_use]
pub fn sign_out() -> String {
    format!("{COOKIE}=; Path=/; Max-Age=0; HttpOnly; SameSite=Strict")
}

/// The token of a request's cookie.
#[must_use]
pub(crate) fn token_of(request: &Request) -> Option<String> {
    let headers = request.headers().get_all(header::COOKIE);
    let cookies = headers.iter().filter_map(|value| value.to_str().ok());
    let mut pairs = cookies.flat_map(|cookies| cookies.split(';'));
    let token = pairs.find_map(|pair| pair.trim().strip_prefix(COOKIE)?.strip_prefix('='));
    token.map(str::to_owned)
}

/// What each form of an operator carries.
///
/// ```
/// use sardinewood::operator::session::{form_key, is_form_key};
///
/// assert!(is_form_key(&form_key("token"), "token"));
/// assert!(!is_form_key(&form_key("other"), "token"));
/// ```
#[must_use]
pub fn form_key(token: &str) -> String {
    sha256_hex(&format!("form:{token}"))
}

/// Whether a form comes from a page that was made for the operator.
///
/// ```
/// assert!(!sardinewood::operator::session::is_form_key("", "token"));
/// ```
#[must_use]
pub fn is_form_key(given: &str, token: &str) -> bool {
    form_key(token).as_bytes().ct_eq(given.as_bytes()).into()
}
