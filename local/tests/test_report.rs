//! The verdict on the sample requests.

use sardinewood_local::report::DispatchCounts;
use sardinewood_local::report::summarize;
use sardinewood_local::report::table;
use sardinewood_local::sample_run::SampleResult;
use sardinewood_local::samples;

/// Two samples that were answered whole, as `a` and `b`.
fn two_answered() -> Vec<SampleResult> {
    let samples = samples::all().into_iter().take(2);
    samples
        .zip(["a", "b"])
        .map(|(sample, id)| SampleResult {
            sample,
            request_id: Some(id.into()),
            fault: None,
            first_token_ms: Some(12),
            tokens: 5,
        })
        .collect()
}

fn counts(pairs: &[(&str, u64)]) -> DispatchCounts {
    DispatchCounts {
        by_request: pairs
            .iter()
            .map(|(id, count)| ((*id).to_owned(), *count))
            .collect(),
    }
}

#[test]
fn summarize_each_once_is_ok() {
    let summary = summarize(&two_answered(), &counts(&[("a", 1), ("b", 1)]));
    assert!(summary.ok);
    assert_eq!(
        (summary.sent, summary.answered_once, summary.tokens),
        (2, 2, 10)
    );
}

#[test]
fn summarize_twice_missing_or_stray_dispatch_is_not_ok() {
    for pairs in [
        &[("a", 2), ("b", 1)][..],
        &[("a", 1)],
        &[("a", 1), ("b", 1), ("stray", 1)],
    ] {
        assert!(!summarize(&two_answered(), &counts(pairs)).ok, "{pairs:?}");
    }
}

#[test]
fn summarize_fault_is_not_ok_and_shown() {
    let mut results = two_answered();
    results[1].fault = Some("the answer has no end".to_owned());
    let summary = summarize(&results, &counts(&[("a", 1), ("b", 1)]));
    assert!(!summary.ok);
    assert_eq!(summary.answered, 1);
    assert!(table(&results).contains("(b): the answer has no end"));
    assert!(table(&results).contains("1/2"));
}
