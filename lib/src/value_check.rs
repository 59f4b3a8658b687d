//! Checks of single values that come from outside.

use crate::findings::Findings;

/// Longest name of a host, data centre, upstream, profile or customer.
pub const NAME_MAX_BYTES: usize = 63;

/// Checks the name of a host, data centre, upstream, profile, service or customer: it is
/// part of paths and log lines, so it holds no separators and nothing to escape.
///
/// ```
/// use sardinewood::value_check::check_name;
///
/// assert_eq!(check_name("wdh-1"), Ok(()));
/// assert!(check_name("a/b").is_err());
/// ```
///
/// # Errors
///
/// Says what a name may hold.
pub fn check_name(text: &str) -> Result<(), String> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let starts_well = text.starts_with(|first: char| first.is_ascii_alphanumeric());
    if starts_well && text.len() <= NAME_MAX_BYTES && text.bytes().all(allowed) {
        return Ok(());
    }
    Err(format!(
        "is not a name: 1 to {NAME_MAX_BYTES} letters, digits, `-`, `_` and `.`, \
         beginning with a letter or digit"
    ))
}

/// Checks the base URL of an outside system.
///
/// ```
/// use sardinewood::value_check::check_base_url;
///
/// assert_eq!(check_base_url("http://127.0.0.1:9000"), Ok(()));
/// assert!(check_base_url("127.0.0.1:9000").is_err());
/// ```
///
/// # Errors
///
/// Says what a base URL looks like.
pub fn check_base_url(text: &str) -> Result<(), String> {
    let problem = || "is not a base URL, such as http://127.0.0.1:7070".to_owned();
    let url = reqwest::Url::parse(text).map_err(|_| problem())?;
    let known_scheme = matches!(url.scheme(), "http" | "https");
    if known_scheme && url.has_host() && url.query().is_none() && url.fragment().is_none() {
        return Ok(());
    }
    Err(problem())
}

/// Checks that a link is not taken for silent after a single late heartbeat.
///
/// ```
/// use sardinewood::findings::Findings;
/// use sardinewood::value_check::check_silence;
///
/// let mut findings = Findings::default();
/// check_silence(500, 600, &mut findings);
/// assert!(!findings.is_empty());
/// ```
pub fn check_silence(heartbeat_ms: u64, silent_ms: u64, findings: &mut Findings) {
    let least_ms = heartbeat_ms.saturating_mul(2);
    if silent_ms < least_ms {
        findings.add(
            "--silent-ms",
            format!("is less than twice --heartbeat-ms ({least_ms})"),
        );
    }
}
