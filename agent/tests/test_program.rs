//! The program itself. That it has tests also makes cargo build it, which the tests of the
//! entry's program need.

use std::process::Command;

#[test]
fn wrong_settings_are_reported_together() {
    let output = Command::new(env!("CARGO_BIN_EXE_sardinewood-agent"))
        .args(["--upstream=lang-1", "--listen=nowhere", "--colour=red"])
        .output()
        .expect("the program");
    assert_eq!(output.status.code(), Some(2));
    let report = String::from_utf8_lossy(&output.stderr);
    assert!(
        report.contains("--listen") && report.contains("--colour"),
        "{report}"
    );
}
