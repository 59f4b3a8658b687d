//! Tests of the estimates of output lengths.

use std::sync::Arc;

use sardinewood::entry::output_estimator::OutputEstimator;

#[test]
fn output_tokens_a_long_answer_does_not_move_the_percentile() {
    let mut estimates = OutputEstimator::default();
    let lookup: Arc<str> = "lookup".into();
    for _ in 0..50 {
        estimates.observe(&lookup, 60);
    }
    estimates.observe(&lookup, 6_000);
    assert_eq!(estimates.output_tokens("lookup", 90), Some(60));
}

#[test]
fn output_tokens_follows_the_latest_answers() {
    let mut estimates = OutputEstimator::default();
    let lookup: Arc<str> = "lookup".into();
    for output_tokens in [60, 600] {
        for _ in 0..300 {
            estimates.observe(&lookup, output_tokens);
        }
    }
    assert_eq!(estimates.output_tokens("lookup", 10), Some(600));
}

#[test]
fn output_tokens_unknown_profile_is_unknown() {
    let estimates = OutputEstimator::default();
    assert_eq!(estimates.output_tokens("lookup", 50), None);
}
