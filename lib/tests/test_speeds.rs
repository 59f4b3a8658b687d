//! Learned speeds: quick to see a slowdown, not spoilt by short prompts.

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
    assert!(speeds.step_us() > 5_000, "one good sample is not believed");
    for _ in 0..60 {
        speeds.observe_tokens(&model(), 25, 100_000);
    }
    assert!(speeds.step_us() < 4_100, "{}", speeds.step_us());
}

#[test]
fn observe_first_short_prompts_do_not_make_long_ones_look_hopeless() {
    // A prompt of ten tokens takes a step and a millisecond of sockets; at that rate a
    // prompt of 8,000 tokens would seem to take 4 s in place of 0.4 s.
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
fn observe_tokens_held_up_reading_says_nothing() {
    let mut speeds = Speeds::default();
    speeds.observe_tokens(&model(), 25, 0);
    assert_eq!(speeds.step_us(), 0);
}
