//! Log lines as another program reads them.

use std::fs;
use std::path::Path;
use std::sync::Arc;

use indexmap::IndexSet;
use proptest::prelude::any;
use proptest::prop_assert_eq;
use proptest::proptest;
use sardinewood::ids::AttemptId;
use sardinewood::ids::Incarnation;
use sardinewood::ids::RequestId;
use sardinewood::logging::Level;
use sardinewood::logging::Line;
use sardinewood::logging::LineFormatter;
use sardinewood::logging::logger;
use sardinewood::store::position::StorePosition;
use serde_json::Value;
use spdlog::Logger;
use spdlog::sink::WriteSink;

use crate::test_metrics::source_files;

/// A logger at level `info` and the memory into which it writes.
fn capture(identity: &[(&str, &str)]) -> (Logger, Arc<WriteSink<Vec<u8>>>) {
    let sink = WriteSink::builder()
        .formatter(Box::new(LineFormatter::new(identity)))
        .target(Vec::new())
        .build()
        .unwrap();
    let sink = Arc::new(sink);
    (logger("info", sink.clone()).unwrap(), sink)
}

fn lines(sink: &WriteSink<Vec<u8>>) -> Vec<Value> {
    let text = String::from_utf8(sink.clone_target()).unwrap();
    assert!(text.is_empty() || text.ends_with('\n'));
    let parse = |line| serde_json::from_str(line).unwrap();
    text.split_terminator('\n').map(parse).collect()
}

#[test]
fn send_line_has_identity_and_typed_fields() {
    let (logger, sink) = capture(&[("program", "sardinewood-agent"), ("host", "wdh-a1")]);
    let attempt = AttemptId {
        request: RequestId(10),
        number: 2,
    };
    Line::new(Level::Warn, "link lost")
        .attempt(attempt)
        .incarnation(Incarnation(255))
        .revision(StorePosition::new(0, 42))
        .send_to(&logger);
    let [line] = lines(&sink).try_into().unwrap();
    assert_eq!(line["level"], "warn");
    assert_eq!(line["program"], "sardinewood-agent");
    assert_eq!(line["host"], "wdh-a1");
    assert_eq!(line["message"], "link lost");
    assert_eq!(line["request"], "req-0000000000000000000000000000000a");
    assert_eq!(line["attempt"], 2);
    assert_eq!(line["incarnation"], "00000000000000ff");
    assert_eq!(line["revision"], 42);
    assert!(line["time_ms"].is_u64());
}

#[test]
fn send_less_important_line_is_left_out() {
    let (logger, sink) = capture(&[]);
    Line::new(Level::Debug, "detail").send_to(&logger);
    Line::new(Level::Error, "fault").send_to(&logger);
    let messages: Vec<_> = lines(&sink)
        .iter()
        .map(|line| line["message"].clone())
        .collect();
    assert_eq!(messages, ["fault"]);
}

proptest! {
    #[test]
    fn send_any_text_stays_one_valid_line(message in any::<String>(), value in any::<String>()) {
        let (logger, sink) = capture(&[("host", &value)]);
        Line::new(Level::Info, &message).field("value", &value).send_to(&logger);
        let lines = lines(&sink);
        prop_assert_eq!(lines.len(), 1);
        prop_assert_eq!(lines[0]["message"].as_str(), Some(message.as_str()));
        prop_assert_eq!(lines[0]["value"].as_str(), Some(value.as_str()));
        prop_assert_eq!(lines[0]["host"].as_str(), Some(value.as_str()));
        prop_assert_eq!(lines[0].as_object().unwrap().len(), 5);
    }

    #[test]
    fn format_plain_record_of_a_library_is_escaped(message in any::<String>()) {
        let (lines_logger, sink) = capture(&[]);
        let plain = Logger::builder().sinks(lines_logger.sinks().to_vec()).build().unwrap();
        let message = format!("{{{message}");
        spdlog::info!(logger: plain, "{message}");
        let lines = lines(&sink);
        prop_assert_eq!(lines.len(), 1);
        prop_assert_eq!(lines[0]["message"].as_str(), Some(message.as_str()));
    }
}

/// Calls that write a line whose message is their first text.
const WRITERS: [&str; 5] = [
    "Level::",
    "Refusal::new(",
    "log_failed_attempt(",
    "log_cut(",
    "Received::Broke(",
];

/// A line that operators do not find on their page only puzzles them. The direct mode has a
/// page of its own.
#[test]
fn messages_in_code_are_on_the_operators_page() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = |name: &str| fs::read_to_string(root.join("../docs").join(name)).unwrap();
    let (own, direct) = (page("operators.md"), page("OPERATIONS.md"));
    let mut missing = IndexSet::new();
    let mut found = 0;
    let files = source_files(&root.join("src"));
    // The module of the lines itself names levels and writes no line.
    let files = files.iter().filter(|file| !file.ends_with("logging.rs"));
    for file in files {
        let is_direct = file.components().any(|part| part.as_os_str() == "direct");
        let page = if is_direct { &direct } else { &own };
        let text = fs::read_to_string(file).unwrap();
        let code = text
            .lines()
            .filter(|line| !line.trim_start().starts_with("//"));
        let writes = |line: &&str| WRITERS.iter().any(|writer| line.contains(writer));
        for line in code.filter(writes) {
            let Some(message) = line.split('"').nth(1) else {
                continue;
            };
            found += 1;
            if !page.contains(&format!("`{message}`")) {
                missing.insert(message.to_owned());
            }
        }
    }
    assert!(found > 10, "the search finds the messages: {found}");
    assert_eq!(missing, IndexSet::new());
}
