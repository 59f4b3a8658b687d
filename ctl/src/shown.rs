//! Answers to queries as an operator reads them.

use sardinewood::config::audit::Change;
use sardinewood::config::object::Kind;
use sardinewood::operator::messages::AuditEntry;
use sardinewood::operator::messages::AuditTrail;
use sardinewood::operator::messages::Decision;
use sardinewood::operator::messages::Explanation;
use sardinewood::operator::messages::ObjectView;
use sardinewood::operator::messages::ObjectViews;
use sardinewood::operator::messages::ProcessView;
use sardinewood::operator::messages::Status;
use sardinewood::operator::messages::UpstreamView;
use serde_json::Value;

use crate::difference::difference;
use crate::table::table;
use crate::table::time_utc;

/// One change as `watch` prints it.
pub(crate) fn shown_change(view: &ObjectView) -> String {
    let what = match view.spec {
        Some(_) => "is",
        None => "was removed in",
    };
    let object = format!("{}/{}", view.kind.as_str(), view.name);
    let by = shown_author(view.change.as_ref());
    format!("{object} {what} version {}, {by}\n", view.version)
}

fn shown_author(change: Option<&Change>) -> String {
    change.map_or_else(
        || "without a record".to_owned(),
        |change| {
            let (time, who, why) = (time_utc(change.at_ms), &change.who, &change.why);
            format!("{time} by {who}: {why}")
        },
    )
}

/// Columns of a kind: a title and the field that it shows.
fn columns(kind: Kind) -> &'static [(&'static str, &'static str)] {
    match kind {
        Kind::Profiles => &[
            ("TIER", "tier"),
            ("DEADLINE_MS", "deadline_ms"),
            ("MODEL", "model"),
            ("NON_IDEMPOTENT", "non_idempotent"),
        ],
        Kind::Upstreams => &[
            ("ACTIVITY", "activity"),
            ("DATA_CENTRE", "data_centre"),
            ("SERVES", "serves"),
            ("SLOTS", "slots"),
        ],
        Kind::Customers => &[("WEIGHT", "weight"), ("DEFAULT_PROFILE", "default_profile")],
        Kind::Operators => &[("ROLE", "role")],
    }
}

/// The objects of a kind as a table.
pub(crate) fn shown_list(kind: Kind, views: &ObjectViews) -> String {
    let columns = columns(kind);
    let mut head = vec!["NAME", "VERSION"];
    head.extend(columns.iter().map(|(title, _)| title));
    head.push("WRONG");
    let row = |view: &ObjectView| {
        let field = |(_, field): &(&str, &str)| cell(view.spec.as_ref(), field);
        let mut row = vec![view.name.to_string(), view.version.to_string()];
        row.extend(columns.iter().map(field));
        row.push(view.findings.join("; "));
        row
    };
    let rows: Vec<_> = views.objects.iter().map(row).collect();
    format!("{}revision {}\n", table(&head, &rows), views.revision)
}

fn cell(spec: Option<&Value>, field: &str) -> String {
    match spec.and_then(|spec| spec.get(field)) {
        None | Some(Value::Null) => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}

/// One object with its last change.
pub(crate) fn shown_object(view: &ObjectView) -> String {
    let object = format!("{}/{}", view.kind.as_str(), view.name);
    let author = shown_author(view.change.as_ref());
    let mut lines = vec![format!("{object} version {}, {author}", view.version)];
    let findings = view.findings.iter();
    lines.extend(findings.map(|finding| format!("not in force: {finding}")));
    let spec = view.spec.as_ref().map(serde_json::to_string_pretty);
    lines.push(match spec {
        Some(Ok(spec)) => spec,
        _ => "removed".to_owned(),
    });
    as_text(&lines)
}

/// The state of the system as tables.
pub(crate) fn shown_status(status: &Status) -> String {
    let store = if status.is_store_reachable {
        "reachable"
    } else {
        "NOT reachable"
    };
    let waiting: Vec<_> = status.waiting_by_tier.iter().map(u64::to_string).collect();
    let head = format!(
        "entry {}, revision {}, store {store}\nwaiting by tier: {}; running: {}\n\n",
        status.entry,
        status.revision,
        waiting.join(" "),
        status.running
    );
    head + &upstream_table(status) + "\n" + &process_table(status)
}

fn upstream_table(status: &Status) -> String {
    let row = |upstream: &UpstreamView| {
        vec![
            upstream.name.to_string(),
            upstream.activity.to_string(),
            format!("{}/{}", upstream.running, upstream.slots),
            upstream.waiting.to_string(),
            upstream
                .no_work_because
                .as_deref()
                .unwrap_or("-")
                .to_owned(),
        ]
    };
    let rows: Vec<_> = status.upstreams.iter().map(row).collect();
    let head = [
        "UPSTREAM",
        "ACTIVITY",
        "RUNNING",
        "WAITING",
        "NO WORK BECAUSE",
    ];
    table(&head, &rows)
}

fn process_table(status: &Status) -> String {
    let number = |number: Option<u64>| number.map_or_else(|| "-".to_owned(), |n| n.to_string());
    let row = |process: &ProcessView| {
        vec![
            process.name.to_string(),
            process.role.to_string(),
            process
                .revision
                .map_or_else(|| "-".to_owned(), |revision| revision.to_string()),
            number(process.heard_ms_ago),
        ]
    };
    let rows: Vec<_> = status.processes.iter().map(row).collect();
    table(&["PROCESS", "ROLE", "REVISION", "HEARD MS AGO"], &rows)
}

/// What was decided about a request as a table.
pub(crate) fn shown_explanation(explanation: &Explanation) -> String {
    let row = |decision: &Decision| {
        vec![
            time_utc(decision.at_ms),
            decision.process.to_string(),
            decision.what.to_string(),
            decision.why.to_string(),
        ]
    };
    let rows: Vec<_> = explanation.decisions.iter().map(row).collect();
    let head = ["TIME", "PROCESS", "DECIDED", "BECAUSE"];
    let text = format!("{}\n{}", explanation.request, table(&head, &rows));
    if explanation.unreachable.is_empty() {
        return text;
    }
    let names = explanation.unreachable.join(", ");
    format!("{text}not reached: {names}\n")
}

/// The audit trail, a paragraph for each change.
pub(crate) fn shown_trail(trail: &AuditTrail) -> String {
    let mut lines: Vec<_> = trail.entries.iter().flat_map(entry_lines).collect();
    if trail.forgotten > 0 {
        lines.push(format!(
            "{} older changes are no longer kept",
            trail.forgotten
        ));
    }
    if trail.is_partial {
        lines
            .push("the store does not answer; only the last change of each object is shown".into());
    }
    as_text(&lines)
}

fn entry_lines(entry: &AuditEntry) -> Vec<String> {
    let object = format!("{}/{}", entry.kind.as_str(), entry.name);
    let author = shown_author(entry.change.as_ref());
    let from = entry.change.as_ref().map_or("-", |change| &change.from);
    let before = entry.before.clone().unwrap_or_default();
    let after = entry.after.clone().unwrap_or_default();
    let mut lines = vec![format!(
        "{object} version {}, {author} (from {from})",
        entry.version
    )];
    let altered = difference(&before, &after);
    lines.extend(altered.iter().map(|line| format!("  {line}")));
    lines
}

fn as_text(lines: &[String]) -> String {
    lines.join("\n") + "\n"
}
