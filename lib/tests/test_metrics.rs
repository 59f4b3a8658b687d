//! Metrics as a collector receives them.

use std::fs;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use indexmap::IndexSet;
use sardinewood::answer::meter::AnswerMeter;
use sardinewood::config::objects::Tier;
use sardinewood::metrics::Metrics;
use sardinewood::verdict::Failure;
use sardinewood::verdict::FailureReason;

/// Longer than any healthy run takes; a lost datagram fails the test here.
const GENEROUS: Duration = Duration::from_secs(20);

/// A collector and metrics that go to it.
fn collected() -> (UdpSocket, Metrics) {
    let collector = UdpSocket::bind("127.0.0.1:0").unwrap();
    collector.set_read_timeout(Some(GENEROUS)).unwrap();
    let address = collector.local_addr().unwrap();
    let metrics = Metrics::to(Some(address), "wdh-e1", "wdh").unwrap();
    (collector, metrics)
}

/// Waits for so many metrics.
fn receive(collector: &UdpSocket, metrics: &Metrics, count: usize) -> Vec<String> {
    let mut received = Vec::new();
    let mut buffer = [0; 2048];
    while received.len() < count {
        metrics.flush();
        let length = collector.recv(&mut buffer).unwrap();
        let text = String::from_utf8(buffer[..length].to_vec()).unwrap();
        received.extend(text.lines().map(str::to_owned));
    }
    received
}

#[test]
fn over_udp_collector_receives_tagged_metrics() {
    let (collector, metrics) = collected();
    metrics.count("entry.link_lost", 2);
    metrics.count_tier("entry.done", Tier(3), 1);
    metrics.gauge("entry.waiting", 7);
    metrics.time_tier("entry.first_byte", Tier(0), 12);

    let expected = [
        "sardinewood.entry.link_lost:2|c|#host:wdh-e1,data_centre:wdh",
        "sardinewood.entry.done:1|c|#host:wdh-e1,data_centre:wdh,tier:3",
        "sardinewood.entry.waiting:7|g|#host:wdh-e1,data_centre:wdh",
        "sardinewood.entry.first_byte:12|ms|#host:wdh-e1,data_centre:wdh,tier:0",
    ];
    assert_eq!(receive(&collector, &metrics, expected.len()), expected);
}

#[test]
fn answer_meter_counts_only_useful_whole_answers_as_done() {
    let (collector, metrics) = collected();
    let start = || AnswerMeter::start(metrics.clone(), Tier(0));
    for status in [200, 500] {
        let mut meter = start();
        meter.begun(status);
        meter.whole();
    }
    start().failed(Failure::not_run(FailureReason::TooLate));
    start().failed(Failure::unknown(FailureReason::InDoubt));
    start().caller_gone();

    // Times differ from run to run, so only names are compared.
    let name = |line: &String| line.split(':').next().map(str::to_owned);
    let lines = receive(&collector, &metrics, 13);
    let names: Option<Vec<_>> = lines.iter().map(name).collect();
    let expected = [
        "accepted",
        "first_byte",
        "done",
        "whole_answer",
        "accepted",
        "first_byte",
        "upstream_error",
        "accepted",
        "not_run",
        "accepted",
        "unknown",
        "accepted",
        "caller_gone",
    ];
    let expected: Vec<_> = expected
        .iter()
        .map(|name| format!("sardinewood.entry.{name}"))
        .collect();
    assert_eq!(names, Some(expected));
    assert!(
        lines.iter().all(|line| line.ends_with(",tier:0")),
        "{lines:?}"
    );
}

/// A name that operators do not find on the page is of no use to them.
#[test]
fn names_in_code_are_documented() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = fs::read_to_string(root.join("../docs/metrics.md")).unwrap();
    let mut missing = IndexSet::new();
    let mut found = 0;
    for file in source_files(&root.join("src")) {
        let text = fs::read_to_string(file).unwrap();
        let code = text
            .lines()
            .filter(|line| !line.trim_start().starts_with("//"));
        for literal in code.flat_map(|line| line.split('"').skip(1).step_by(2)) {
            if !is_metric_name(literal) {
                continue;
            }
            found += 1;
            if !page.contains(&format!("`{literal}`")) {
                missing.insert(literal.to_owned());
            }
        }
    }
    assert!(found > 10, "the search finds the names: {found}");
    assert_eq!(missing, IndexSet::new());
}

fn is_metric_name(literal: &str) -> bool {
    let name = ["entry.", "agent.", "config."]
        .iter()
        .find_map(|role| literal.strip_prefix(role));
    name.is_some_and(|name| {
        !name.is_empty() && name.bytes().all(|b| b == b'_' || b.is_ascii_lowercase())
    })
}

/// Every file below a directory.
pub fn source_files(directory: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(source_files(&path));
        } else {
            files.push(path);
        }
    }
    files
}
