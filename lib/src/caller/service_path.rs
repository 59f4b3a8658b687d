//! Paths below `/services/NAME`, which go on to a plain service.

use std::sync::Arc;

use crate::caller::openai_error::ApiError;

/// Callers reach plain services below this path.
const SERVICES: &str = "/services/";

/// A path of a caller, split into the service and what follows.
///
/// ```
/// use sardinewood::caller::service_path::ServicePath;
///
/// let path = ServicePath::split("/services/refunds/credits/7").unwrap();
/// assert_eq!((&*path.service, path.rest.as_str()), ("refunds", "/credits/7"));
/// assert_eq!(ServicePath::split("/v1/models"), None);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServicePath {
    /// The name of the service.
    pub service: Arc<str>,
    /// The path below the service's base URL, with its leading slash.
    pub rest: String,
}

impl ServicePath {
    /// Splits a path without its query; `None` when it names no service.
    ///
    /// ```
    /// use sardinewood::caller::service_path::ServicePath;
    ///
    /// assert_eq!(ServicePath::split("/services/refunds").unwrap().rest, "/");
    /// assert_eq!(ServicePath::split("/services//x"), None);
    /// ```
    #[must_use]
    pub fn split(path: &str) -> Option<Self> {
        let below = path.strip_prefix(SERVICES)?;
        let (service, rest) = below.split_once('/').unwrap_or((below, ""));
        if service.is_empty() {
            return None;
        }
        Some(Self {
            service: service.into(),
            rest: format!("/{rest}"),
        })
    }

    /// Refuses a path that an HTTP client would resolve to another one.
    ///
    /// # Errors
    ///
    /// See [`is_resolved`].
    ///
    /// ```
    /// use sardinewood::caller::service_path::ServicePath;
    ///
    /// let path = ServicePath::split("/services/refunds/../admin").unwrap();
    /// assert_eq!(path.check().unwrap_err().code, "invalid_path");
    /// ```
    pub fn check(&self) -> Result<(), ApiError> {
        if is_resolved(&self.rest) {
            return Err(ApiError::bad_request(
                "invalid_path",
                "the path holds a `.` or `..` segment or a backslash",
            ));
        }
        Ok(())
    }
}

/// Whether an HTTP client resolves this path to another one before it sends it.
///
/// Such a path would leave the base URL of its upstream: a caller of one service could reach
/// whatever else the same server offers, past the slots and rules of both. URL parsers take
/// `%2e` for a dot and a backslash for a slash, so that these count too.
///
/// ```
/// use sardinewood::caller::service_path::is_resolved;
///
/// assert!(is_resolved("/a/../b") && is_resolved("/a/%2E./b") && is_resolved(r"/a\b"));
/// assert!(!is_resolved("/a/..b/c.d/") && !is_resolved("/a?b=../c"));
/// ```
#[must_use]
pub fn is_resolved(path: &str) -> bool {
    let path = path.split_once('?').map_or(path, |(path, _)| path);
    path.contains('\\') || path.split('/').any(is_dot_segment)
}

fn is_dot_segment(segment: &str) -> bool {
    let dots = segment.to_ascii_lowercase().replace("%2e", ".");
    dots == "." || dots == ".."
}
