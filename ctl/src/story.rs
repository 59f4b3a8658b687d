//! The story of one request, told from the log files of several processes.
//!
//! The lines that name the request say what was decided; why, often stands elsewhere: its host had
//! lost the store, its upstream had left. So the story also has what the request's hosts and
//! upstreams logged shortly before and after, without the lines of other requests.
//!
//! Tries of one request have names of their own and share features: the fingerprint of their content,
//! and parts of their prompts. Lines about upstreams that ended under them give these, and belong to the
//! story whenever they were written.

use std::io;
use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::table::table;
use crate::table::time_ms_utc;

/// How long before and after a request other lines belong to its story: a watch of the store, or
/// a change that spreads, takes about as long.
const AROUND_MS: u64 = 3_000;
/// Fields that every line has and that stand in columns of their own.
const COLUMNS: [&str; 6] = ["time_ms", "host", "message", "level", "program", "request"];

/// One line of a log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LogLine {
    /// When it was written, by the clock of its host.
    pub time_ms: u64,
    /// Where.
    pub host: Arc<str>,
    /// What happened.
    pub message: Arc<str>,
    /// How many lines of this host said so; more than one only for lines around the request.
    pub count: usize,
    /// What decided it.
    pub fields: Map<String, Value>,
}

impl LogLine {
    fn key(&self) -> (Arc<str>, Arc<str>, Option<Arc<str>>) {
        let upstream = self.fields.get("upstream").and_then(Value::as_str);
        let upstream = upstream.map(Arc::from);
        (Arc::clone(&self.host), Arc::clone(&self.message), upstream)
    }
}

/// What the logs say of a request.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Story {
    /// The request.
    pub request: Arc<str>,
    /// Lines that name it, in order.
    pub own: Vec<LogLine>,
    /// What its hosts and upstreams did around it.
    pub around: Vec<LogLine>,
    /// Lines that could not be read, and are left out.
    pub unreadable_lines: usize,
}

/// A line as it was read.
enum Read {
    Line(LogLine),
    Other,
    Unreadable,
}

/// Tells the story of a request, which is given by its name or one of its features, of a roll-out or of
/// an upstream, by their names. `open` opens the
/// logs, which are read twice: first for the request's own lines, then for what happened around them.
///
/// # Errors
///
/// When the logs can't be read.
///
/// ```
/// use sardinewoodctl::story::tell;
///
/// let log = r#"{"time_ms":5,"host":"edge-1","message":"no room in time","request":"r1"}"#;
/// let story = tell("r1", || Ok([Ok(log.to_owned())].into_iter()))?;
/// assert_eq!(&*story.own[0].message, "no room in time");
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn tell<L>(request: &str, open: impl Fn() -> io::Result<L>) -> io::Result<Story>
where
    L: Iterator<Item = io::Result<String>>,
{
    let mut story = Story {
        request: request.into(),
        ..Story::default()
    };
    for line in open()? {
        match read(&line?, |fields| names(fields).contains(&request)) {
            Read::Line(line) => story.own.push(line),
            Read::Other => {}
            Read::Unreadable => story.unreadable_lines += 1,
        }
    }
    story.own.sort_by_key(|line| line.time_ms);
    let (Some(first), Some(last)) = (story.own.first(), story.own.last()) else {
        return Ok(story);
    };
    let from_ms = first.time_ms.saturating_sub(AROUND_MS);
    let to_ms = last.time_ms.saturating_add(AROUND_MS);
    let hosts: IndexSet<Arc<str>> = story
        .own
        .iter()
        .map(|line| Arc::clone(&line.host))
        .collect();
    let upstreams: IndexSet<String> = story.own.iter().flat_map(upstreams).collect();
    let features: IndexSet<String> = story
        .own
        .iter()
        .flat_map(|line| features(&line.fields, request))
        .collect();
    let mut around = Vec::new();
    for line in open()? {
        let is_of_the_same = |fields: &Map<String, Value>| {
            let names = names(fields);
            names.iter().any(|name| features.contains(*name))
        };
        let is_other = |fields: &Map<String, Value>| {
            let is_of_nobody = !fields.contains_key("request");
            !names(fields).contains(&request) && (is_of_nobody || is_of_the_same(fields))
        };
        let Read::Line(line) = read(&line?, is_other) else {
            continue;
        };
        if is_of_the_same(&line.fields) {
            around.push(line);
            continue;
        }
        let is_near = (from_ms..=to_ms).contains(&line.time_ms);
        let concerns = |upstream: &String| upstreams.contains(upstream);
        let mut named = self::upstreams(&line).into_iter().peekable();
        // A line about another upstream says nothing of this request, whoever wrote it.
        let belongs = match named.peek() {
            Some(_) => named.any(|upstream| concerns(&upstream)),
            None => hosts.contains(&line.host),
        };
        if is_near && belongs {
            around.push(line);
        }
    }
    story.around = folded(around);
    Ok(story)
}

/// Names and features of the requests that a line is about, and the names of its roll-out and its
/// upstream.
fn names(fields: &Map<String, Value>) -> Vec<&str> {
    let inputs = fields.get("inputs").and_then(Value::as_object);
    let runs = fields.get("runs").and_then(Value::as_array);
    let runs = runs.into_iter().flatten().filter_map(Value::as_object);
    let places = [Some(fields), inputs].into_iter().flatten().chain(runs);
    places
        .flat_map(|place| {
            let names = ["request", "resumes", "rollout", "upstream"];
            let names = names
                .into_iter()
                .filter_map(|name| place.get(name)?.as_str());
            names.chain(features_of(place))
        })
        .collect()
}

/// The features that a line gives of a request: of the run of that name, or of the whole line.
fn features(fields: &Map<String, Value>, request: &str) -> Vec<String> {
    let runs = fields.get("runs").and_then(Value::as_array);
    let run = runs
        .into_iter()
        .flatten()
        .find(|run| run["request"] == request);
    let inputs = fields.get("inputs").and_then(Value::as_object);
    let places = [run.and_then(Value::as_object), Some(fields), inputs];
    let features = places.into_iter().flatten().flat_map(features_of);
    features.map(str::to_owned).collect()
}

/// The features that stand directly in an object.
fn features_of(place: &Map<String, Value>) -> impl Iterator<Item = &str> {
    let several = place.get("suspected").and_then(Value::as_array);
    let one = ["fingerprint", "feature"].into_iter();
    let one = one.filter_map(|name| place.get(name));
    one.chain(several.into_iter().flatten())
        .filter_map(Value::as_str)
}

/// Upstreams that a line names, itself or among what decided it.
fn upstreams(line: &LogLine) -> Vec<String> {
    let inputs = line.fields.get("inputs").and_then(Value::as_object);
    let mut named = Vec::new();
    for fields in [Some(&line.fields), inputs].into_iter().flatten() {
        let one = fields.get("upstream").into_iter();
        let several = fields.get("upstreams").and_then(Value::as_array);
        let all = one.chain(several.into_iter().flatten());
        named.extend(all.filter_map(Value::as_str).map(str::to_owned));
    }
    named
}

/// Reads a line whose request is wanted. What stands before the JSON object is skipped, since
/// collectors put their own time there.
fn read(line: &str, wants: impl Fn(&Map<String, Value>) -> bool) -> Read {
    if line.trim().is_empty() {
        return Read::Other;
    }
    let json = line.find('{').map(|start| &line[start..]);
    let Some(Ok(mut fields)) = json.map(serde_json::from_str::<Map<String, Value>>) else {
        return Read::Unreadable;
    };
    if !wants(&fields) {
        return Read::Other;
    }
    let text = |name: &str| fields.get(name).and_then(Value::as_str).map(Arc::from);
    let time_ms = fields.get("time_ms").and_then(Value::as_u64);
    let (Some(time_ms), Some(message)) = (time_ms, text("message")) else {
        return Read::Unreadable;
    };
    let host = text("host").unwrap_or_else(|| "-".into());
    fields.retain(|name, _| !COLUMNS.contains(&name.as_str()));
    Read::Line(LogLine {
        time_ms,
        host,
        message,
        count: 1,
        fields,
    })
}

/// One line for all that say the same of the same, the first of them, in order of time.
fn folded(lines: Vec<LogLine>) -> Vec<LogLine> {
    let mut first: IndexMap<_, LogLine> = IndexMap::new();
    for line in lines {
        first
            .entry(line.key())
            .and_modify(|known| known.count += 1)
            .or_insert(line);
    }
    let mut lines: Vec<LogLine> = first.into_values().collect();
    lines.sort_by_key(|line| line.time_ms);
    lines
}

/// The story as text.
#[must_use]
pub(crate) fn shown_story(story: &Story) -> String {
    let mut text = format!("{}\n", story.request);
    if story.own.is_empty() {
        text.push_str("no line names it\n");
    } else {
        text.push_str(&rows(&story.own));
    }
    if !story.around.is_empty() {
        text.push_str("\naround it, on its hosts and of its upstreams\n");
        text.push_str(&rows(&story.around));
    }
    if story.unreadable_lines > 0 {
        let left_out = format!("\n{} lines could not be read\n", story.unreadable_lines);
        text.push_str(&left_out);
    }
    text
}

fn rows(lines: &[LogLine]) -> String {
    let row = |line: &LogLine| {
        let times = match line.count {
            1 => String::new(),
            count => format!(" ({count} times)"),
        };
        vec![
            time_ms_utc(line.time_ms),
            line.host.to_string(),
            format!("{}{times}", line.message),
            shown_fields(&line.fields),
        ]
    };
    let rows: Vec<_> = lines.iter().map(row).collect();
    table(&["TIME", "HOST", "WHAT", "BECAUSE"], &rows)
}

/// Fields as `name=value`, those of nested objects as `outer.name=value`.
fn shown_fields(fields: &Map<String, Value>) -> String {
    let mut shown = Vec::new();
    for (name, value) in fields {
        match value {
            Value::Object(nested) => {
                shown.extend(
                    nested
                        .iter()
                        .map(|(inner, value)| format!("{name}.{inner}={}", shown_value(value))),
                );
            }
            value => shown.push(format!("{name}={}", shown_value(value))),
        }
    }
    shown.join(" ")
}

fn shown_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(shown_value).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}
