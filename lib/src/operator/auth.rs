//! Who an operator is, by the token that comes with a call.

use std::sync::Arc;

use crate::config::catalog::Catalog;
use crate::config::objects::OperatorRole;
use crate::secrets::matches_any;

/// The name in the audit trail of who uses the token of the settings, with which the first
/// operators are created.
const SETTINGS_OPERATOR: &str = "settings";

/// An operator who has proven a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Session {
    /// The operator's name.
    pub who: Arc<str>,
    /// What the operator may do.
    pub role: OperatorRole,
}

/// Finds the operator of a token. All hashes are compared, in constant time each, so that
/// the time of the answer tells nothing about them.
///
/// ```
/// use sardinewood::config::catalog::Catalog;
/// use sardinewood::operator::auth::identify;
/// use sardinewood::secrets::sha256_hex;
///
/// let catalog = Catalog::default();
/// let of_settings = [sha256_hex("token").into()];
/// assert_eq!(&*identify("token", &catalog, &of_settings).unwrap().who, "settings");
/// assert_eq!(identify("guess", &catalog, &of_settings), None);
/// ```
#[must_use]
pub fn identify(token: &str, catalog: &Catalog, of_settings: &[Arc<str>]) -> Option<Session> {
    let mut found = matches_any(token, of_settings).then(|| Session {
        who: SETTINGS_OPERATOR.into(),
        role: OperatorRole::Write,
    });
    for operator in catalog.operators.values() {
        if matches_any(token, &operator.token_sha256) {
            found = Some(Session {
                who: Arc::clone(&operator.name),
                role: operator.role,
            });
        }
    }
    found
}

/// The token of an `Authorization` header.
///
/// ```
/// use sardinewood::operator::auth::bearer_token;
///
/// assert_eq!(bearer_token("Bearer abc"), Some("abc"));
/// assert_eq!(bearer_token("Basic abc"), None);
/// ```
#[must_use]
pub fn bearer_token(header: &str) -> Option<&str> {
    let (scheme, token) = header.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}
