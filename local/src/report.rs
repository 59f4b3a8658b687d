//! The table and the closing line about the sample requests.

use std::fmt::Write as _;

use indexmap::IndexMap;
use serde::Serialize;

use crate::sample_run::SampleResult;
use crate::seed;

/// How often the upstreams were given the requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DispatchCounts {
    /// How often each request id reached an upstream.
    pub by_request: IndexMap<String, u64>,
}

/// The closing line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Requests answered whole that reached an upstream exactly once.
    pub answered_once: u64,
    /// All dispatches that the upstreams counted.
    pub dispatches: u64,
    /// Tokens that callers received.
    pub tokens: u64,
    /// Whether each request was answered once and whole, and nothing else ran.
    pub ok: bool,
}

/// Sums up the results.
///
/// ```
/// use sardinewood_local::report::{DispatchCounts, summarize};
///
/// let mut counts = DispatchCounts::default();
/// assert!(summarize(&[], &counts).ok);
/// counts.by_request.insert("stray".into(), 1);
/// assert!(!summarize(&[], &counts).ok);
/// ```
#[must_use]
pub fn summarize(results: &[SampleResult], counts: &DispatchCounts) -> Summary {
    let is_whole = |result: &&SampleResult| result.fault.is_none();
    let ran_once = |result: &&SampleResult| {
        let id = result.request_id.as_deref().unwrap_or_default();
        counts.by_request.get(id) == Some(&1)
    };
    let sent = results.len() as u64;
    let answered = results.iter().filter(is_whole).count() as u64;
    let answered_once = results.iter().filter(is_whole).filter(ran_once).count() as u64;
    let dispatches = counts.by_request.values().sum();
    Summary {
        sent,
        answered,
        answered_once,
        dispatches,
        tokens: results.iter().map(|result| result.tokens).sum(),
        ok: answered_once == sent && dispatches == sent,
    }
}

/// One row of the table.
#[derive(Debug, Default)]
struct Row {
    tier: u8,
    sent: u64,
    answered: u64,
    first_token_ms: Vec<u64>,
    tokens: u64,
}

/// The table: a row for each profile, the most important tiers first.
///
/// ```
/// assert!(sardinewood_local::report::table(&[]).starts_with("tier"));
/// ```
#[must_use]
pub fn table(results: &[SampleResult]) -> String {
    let mut text = format!(
        "{:>4}  {:<24} {:>9}  {:>13}  {:>13}  {:>6}\n",
        "tier", "profile", "answered", "first ms, p50", "first ms, max", "tokens"
    );
    for (profile, row) in rows(results) {
        let answered = format!("{}/{}", row.answered, row.sent);
        // Writing to a string never fails.
        let _ = writeln!(
            text,
            "{:>4}  {profile:<24} {answered:>9}  {:>13}  {:>13}  {:>6}",
            row.tier,
            shown(middle(&row.first_token_ms)),
            shown(row.first_token_ms.last().copied()),
            row.tokens
        );
    }
    for result in results {
        if let Some(fault) = &result.fault {
            let id = result.request_id.as_deref().unwrap_or("without an id");
            let _ = writeln!(text, "{} ({id}): {fault}", result.sample.profile);
        }
    }
    text
}

fn rows(results: &[SampleResult]) -> IndexMap<&'static str, Row> {
    let profiles = seed::profiles();
    let tier_of = |name: &str| profiles.iter().find(|profile| &*profile.name == name);
    let mut rows: IndexMap<&'static str, Row> = IndexMap::new();
    for result in results {
        let name = result.sample.profile;
        let row = rows.entry(name).or_default();
        row.tier = tier_of(name).map_or(u8::MAX, |profile| profile.tier.0);
        row.sent += 1;
        row.answered += u64::from(result.fault.is_none());
        row.tokens += result.tokens;
        row.first_token_ms.extend(result.first_token_ms);
    }
    for row in rows.values_mut() {
        row.first_token_ms.sort_unstable();
    }
    rows.sort_by(|_, a, _, b| a.tier.cmp(&b.tier));
    rows
}

fn middle(sorted: &[u64]) -> Option<u64> {
    sorted.get(sorted.len() / 2).copied()
}

fn shown(ms: Option<u64>) -> String {
    ms.map_or_else(|| "-".to_owned(), |ms| ms.to_string())
}
