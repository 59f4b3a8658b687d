//! The program itself.

use std::process::Command;
use std::process::Output;

use serde_json::Value;

fn program(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sardinewood-local"))
        .args(args)
        .output()
        .unwrap()
}

#[test]
fn once_prints_a_table_and_a_closing_line() {
    let output = program(&["--once"]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{text}");
    assert!(text.contains("dispute-summary"));
    assert!(text.contains("curl -sN http://127.0.0.1:"));
    let closing: Value = serde_json::from_str(text.lines().last().unwrap()).unwrap();
    assert_eq!(closing["ok"], true);
    assert_eq!(closing["dispatches"], closing["sent"]);
}

#[test]
fn wrong_settings_are_reported_together() {
    let output = program(&["--entries", "0", "--colour", "red"]);
    assert_eq!(output.status.code(), Some(2));
    let report = String::from_utf8(output.stderr).unwrap();
    assert!(
        report.contains("--entries") && report.contains("--colour"),
        "{report}"
    );
}
