//! Speed estimates follow a slowdown quickly and aren't distorted by short prompts.

use sardinewood::agent::speeds::Speeds;
use sardinewood::config::objects::Target;

fn model() -> Target {
    Target::Model("small".into())
}

#[test]
fn observe_tokens_quarter_speed_shows_in_three_samples_and_recovery_later() {
    let mut speeds = Speeds::default();
    for _ in 0..50 {
        speeds.observe_tokens(&model(), 25, 100_000);
    }
    assert_eq!(speeds.step_us(), 4_000);
    for _ in 0..3 {
        speeds.observe_tokens(&model(), 6, 96_000);
    }
    assert!(speeds.step_us() > 14_000, "{}", speeds.step_us());
    speeds.observe_tokens(&model(), 25, 100_000);
    assert!(
        speeds.step_us() > 5_000,
        "one fast sample does not end the slowdown"
    );
    for _ in 0..60 {
        speeds.observe_tokens(&model(), 25, 100_000);
    }
    assert!(speeds.step_us() < 4_100, "{}", speeds.step_us());
}

#[test]
fn observe_first_short_prompts_do_not_distort_long_ones() {
    // A prompt of ten tokens takes one step and a millisecond in sockets. Extrapolated from
    // that, a prompt of 8,000 tokens would take 4 s instead of 0.4 s.
    let mut speeds = Speeds::default();
    speeds.observe_tokens(&model(), 25, 100_000);
    speeds.observe_first(&model(), 8_000, 405_000);
    for _ in 0..20 {
        speeds.observe_first(&model(), 10, 5_000);
    }
    let work_us = speeds.work_us(&model(), 8_000, 0);
    assert!((350_000..700_000).contains(&work_us), "{work_us}");
}

#[test]
fn observe_tokens_ignores_paused_reading() {
    let mut speeds = Speeds::default();
    speeds.observe_tokens(&model(), 25, 0);
    assert_eq!(speeds.step_us(), 0);
}
