//! The headers that callers send: what they mean here, and what goes on to the upstream.

use std::sync::Arc;

use bytes::Bytes;
use poem::http::HeaderMap;
use poem::http::HeaderName;
use poem::http::header;

use crate::caller::openai_error::ApiError;

/// Chooses the profile.
pub const PROFILE: &str = "x-sardinewood-profile";
/// Names the request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Says that the request may run at most once.
pub const NON_IDEMPOTENT: &str = "x-sardinewood-non-idempotent";
/// How long the caller waits for the whole answer.
pub const DEADLINE_MS: &str = "x-sardinewood-deadline-ms";
/// The appointment that the request belongs to.
pub const APPOINTMENT: &str = "x-sardinewood-appointment";
/// The last event that the caller has of an earlier stream.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// Requests under one order key run one after another.
pub const ORDER_KEY: &str = "x-sardinewood-order-key";

/// The longest value of a header that names something.
const MAX_NAME_BYTES: usize = 255;

/// Headers that belong to one connection and not to the request.
pub const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// Headers that each connection makes anew, or that are meant for the entry alone. The
/// customer's key stays here: an upstream has no use for it and could leak it.
const NOT_FORWARDED: [HeaderName; 4] = [
    header::HOST,
    header::CONTENT_LENGTH,
    header::AUTHORIZATION,
    header::EXPECT,
];

/// What a caller's headers say.
///
/// ```
/// use poem::http::HeaderMap;
/// use sardinewood::caller::headers::CallerHeaders;
///
/// let mut headers = HeaderMap::new();
/// headers.insert("x-sardinewood-deadline-ms", "1500".parse().unwrap());
/// let read = CallerHeaders::read(&headers).unwrap();
/// assert_eq!(read.deadline_ms, Some(1_500));
/// headers.insert("x-sardinewood-deadline-ms", "soon".parse().unwrap());
/// assert!(CallerHeaders::read(&headers).is_err());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHeaders {
    /// The key that tells whose request it is.
    pub bearer: Option<Arc<str>>,
    /// The profile's name.
    pub profile: Option<Arc<str>>,
    /// The request's name.
    pub idempotency_key: Option<Arc<str>>,
    /// Whether it may run at most once; absent means that the profile says so.
    pub non_idempotent: Option<bool>,
    /// How long the caller waits.
    pub deadline_ms: Option<u64>,
    /// The appointment.
    pub appointment: Option<Arc<str>>,
    /// The order key.
    pub order_key: Option<Arc<str>>,
    /// The last event that the caller has of an earlier stream.
    pub last_event_id: Option<u64>,
}

impl CallerHeaders {
    /// Reads the headers that mean something here.
    ///
    /// # Errors
    ///
    /// A header is there more than once, or its value is not of its kind.
    pub fn read(headers: &HeaderMap) -> Result<Self, ApiError> {
        Ok(Self {
            bearer: bearer(headers)?,
            profile: name(headers, PROFILE)?,
            idempotency_key: name(headers, IDEMPOTENCY_KEY)?,
            non_idempotent: flag(headers, NON_IDEMPOTENT)?,
            deadline_ms: milliseconds(headers, DEADLINE_MS)?,
            appointment: name(headers, APPOINTMENT)?,
            order_key: name(headers, ORDER_KEY)?,
            last_event_id: last_event_id(headers),
        })
    }

    /// The event after which a repeated request's stream goes on. Without a name there is
    /// no earlier stream to go on with.
    #[must_use]
    pub fn skip_after(&self) -> Option<u64> {
        self.idempotency_key.as_ref().and(self.last_event_id)
    }
}

/// The bytes that the headers of a request take.
///
/// ```
/// use poem::http::HeaderMap;
/// use sardinewood::caller::headers::total_bytes;
///
/// let mut headers = HeaderMap::new();
/// headers.insert("a", "bcd".parse().unwrap());
/// assert_eq!(total_bytes(&headers), 4);
/// ```
#[must_use]
pub fn total_bytes(headers: &HeaderMap) -> usize {
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum()
}

/// The headers that go on to an upstream.
///
/// ```
/// use poem::http::HeaderMap;
/// use sardinewood::caller::headers::forwarded;
///
/// let mut headers = HeaderMap::new();
/// headers.insert("connection", "x-hop".parse().unwrap());
/// headers.insert("x-hop", "1".parse().unwrap());
/// headers.insert("x-end", "2".parse().unwrap());
/// let kept = forwarded(&headers);
/// assert_eq!(kept.len(), 1);
/// assert_eq!(&*kept[0].0, "x-end");
/// ```
#[must_use]
pub fn forwarded(headers: &HeaderMap) -> Vec<(Arc<str>, Bytes)> {
    let named_by_connection = connection_names(headers);
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(name) && !NOT_FORWARDED.contains(name))
        .filter(|(name, _)| !named_by_connection.iter().any(|hop| hop == name.as_str()))
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (Arc::from(name.as_str()), value)
        })
        .collect()
}

/// Whether a header of an upstream's answer belongs to that connection only.
///
/// ```
/// use sardinewood::caller::headers::is_hop_by_hop;
///
/// assert!(is_hop_by_hop("Transfer-Encoding"));
/// assert!(!is_hop_by_hop("Content-Type"));
/// ```
#[must_use]
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP
        .iter()
        .any(|hop| hop.as_str().eq_ignore_ascii_case(name))
}

/// Headers that the `Connection` header declares to be hop-by-hop.
///
/// ```
/// use poem::http::HeaderMap;
/// use sardinewood::caller::headers::connection_names;
///
/// let mut headers = HeaderMap::new();
/// headers.insert("connection", "close, X-Hop".parse().unwrap());
/// assert_eq!(connection_names(&headers), ["close", "x-hop"]);
/// ```
#[must_use]
pub fn connection_names(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

fn single<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, ApiError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(invalid(name, "is there more than once"));
    }
    value
        .to_str()
        .map(Some)
        .map_err(|_| invalid(name, "holds bytes that are not visible ASCII"))
}

fn bearer(headers: &HeaderMap) -> Result<Option<Arc<str>>, ApiError> {
    let Some(value) = single(headers, header::AUTHORIZATION.as_str())? else {
        return Ok(None);
    };
    let Some((scheme, key)) = value.split_once(' ') else {
        return Err(invalid("authorization", "is not `Bearer KEY`"));
    };
    if !scheme.eq_ignore_ascii_case("bearer") {
        return Err(invalid("authorization", "is not `Bearer KEY`"));
    }
    Ok(Some(key.trim().into()))
}

fn name(headers: &HeaderMap, header: &str) -> Result<Option<Arc<str>>, ApiError> {
    let Some(value) = single(headers, header)? else {
        return Ok(None);
    };
    let value = value.trim();
    if value.is_empty() {
        return Err(invalid(header, "is empty"));
    }
    if value.len() > MAX_NAME_BYTES {
        return Err(invalid(header, "is longer than 255 bytes"));
    }
    Ok(Some(value.into()))
}

fn flag(headers: &HeaderMap, header: &str) -> Result<Option<bool>, ApiError> {
    match single(headers, header)? {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => Err(invalid(header, "is neither `true` nor `false`")),
    }
}

/// An id that is not a number belongs to somebody else's stream.
fn last_event_id(headers: &HeaderMap) -> Option<u64> {
    headers
        .get(LAST_EVENT_ID)?
        .to_str()
        .ok()?
        .trim()
        .parse()
        .ok()
}

fn milliseconds(headers: &HeaderMap, header: &str) -> Result<Option<u64>, ApiError> {
    let Some(value) = single(headers, header)? else {
        return Ok(None);
    };
    match value.trim().parse::<u64>() {
        Ok(0) | Err(_) => Err(invalid(header, "is not a positive number of milliseconds")),
        Ok(value) => Ok(Some(value)),
    }
}

fn invalid(header: &str, what: &str) -> ApiError {
    ApiError::bad_request("invalid_header", format!("header `{header}` {what}"))
}
