//! Plain tables for terminals, and times as operators read them.

use chrono::DateTime;
use chrono::SecondsFormat;

/// Space between two columns.
const GAP: &str = "  ";

/// Rows under a head, columns aligned.
///
/// ```
/// use sardinewoodctl::table::table;
///
/// let rows = vec![vec!["lookup".to_owned(), "2".to_owned()]];
/// assert_eq!(table(&["NAME", "TIER"], &rows), "NAME    TIER\nlookup  2\n");
/// ```
#[must_use]
pub fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let head: Vec<_> = head.iter().map(|&title| title.to_owned()).collect();
    let lines: Vec<_> = std::iter::once(&head).chain(rows).collect();
    let width = |column: usize| {
        let cells = lines.iter().filter_map(|line| line.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<_> = (0..head.len()).map(width).collect();
    let mut text = String::new();
    for line in lines {
        let pad = |(cell, width): (&String, &usize)| format!("{cell:<width$}");
        let cells: Vec<_> = line.iter().zip(&widths).map(pad).collect();
        text.push_str(cells.join(GAP).trim_end());
        text.push('\n');
    }
    text
}

/// A time in UTC, to the millisecond.
///
/// ```
/// assert_eq!(sardinewoodctl::table::time_ms_utc(7), "1970-01-01T00:00:00.007Z");
/// ```
#[must_use]
pub fn time_ms_utc(at_ms: u64) -> String {
    shown_time(at_ms, SecondsFormat::Millis)
}

/// A time in UTC, to the second.
///
/// ```
/// assert_eq!(sardinewoodctl::table::time_utc(0), "1970-01-01T00:00:00Z");
/// ```
#[must_use]
pub fn time_utc(at_ms: u64) -> String {
    shown_time(at_ms, SecondsFormat::Secs)
}

fn shown_time(at_ms: u64, format: SecondsFormat) -> String {
    let time = i64::try_from(at_ms)
        .ok()
        .and_then(DateTime::from_timestamp_millis);
    time.map_or_else(
        || format!("{at_ms} ms"),
        |time| time.to_rfc3339_opts(format, true),
    )
}
