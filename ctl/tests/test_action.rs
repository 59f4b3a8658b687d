//! Reading command lines.

use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use sardinewood::settings::Start;
use sardinewoodctl::field_edit::FieldEdit;
use serde_json::json;

use crate::captured_run::read;

fn refusal(args: &[&str]) -> String {
    match read(args, "t") {
        Start::Refuse(report) => report,
        other => panic!("was taken: {other:?}"),
    }
}

#[test]
fn read_help_lists_words_and_settings() {
    let Start::Print(help) = read(&["--help"], "t") else {
        panic!("no help");
    };
    insta::assert_snapshot!("help_of_ctl", help);
}

#[test]
fn read_wrong_lines_are_refused_with_their_place() {
    let reason = ["--reason", "r"];
    let lines: [&[&str]; 9] = [
        &[],
        &["profiles", "list"],
        &["profile", "drain", "lookup"],
        &["upstream", "drain"],
        &["profile", "set", "look/up", "tier=1"],
        &["profile", "set", "lookup"],
        &["profile", "set", "lookup", "tier"],
        &["profile", "set", "lookup", "tier=1", "--from-file", "f"],
        &["audit", "--kind", "pod"],
    ];
    let refused = |line: &&[&str]| {
        let report = refusal(&[line, &reason[..]].concat());
        format!("{line:?}\n{report}")
    };
    let reports: Vec<_> = lines.iter().map(refused).collect();
    insta::assert_snapshot!("refused_lines", reports.join("\n"));
}

#[test]
fn read_command_without_reason_is_refused() {
    let report = refusal(&["upstream", "stop", "lang-1"]);
    assert!(report.contains("--reason: is missing"), "{report}");
}

#[test]
fn read_check_prints_no_token() {
    let Start::Print(text) = read(&["status", "--check"], "selma-token") else {
        panic!("refused");
    };
    assert!(text.contains("operator-token = [redacted]\n"));
    assert!(!text.contains("selma-token"));
}

proptest! {
    /// What is set can be read back, whatever the text is.
    #[test]
    fn field_edit_text_round_trips(text in any::<String>()) {
        let word = format!("model={}", json!(text));
        let mut object = json!({"tier": 1});
        FieldEdit::read(&word).unwrap().apply(&mut object);
        prop_assert_eq!(object, json!({"tier": 1, "model": text}));
    }

    /// Any word is either an edit or a problem, never a panic.
    #[test]
    fn field_edit_any_word_is_judged(word in any::<String>()) {
        let mut object = json!([1]);
        let read = FieldEdit::read(&word);
        prop_assert!(read.is_err() || word.contains('='));
        if let Ok(edit) = read {
            edit.apply(&mut object);
            prop_assert!(object.is_object());
        }
    }
}
