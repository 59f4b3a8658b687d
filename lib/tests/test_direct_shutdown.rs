//! Tests of the order in which an entry ends.

use std::time::Duration;

use sardinewood::direct::shutdown::ShutdownSchedule;
use sardinewood::direct::shutdown::ShutdownStep;
use sardinewood::direct::shutdown::WaitAtShutdown;

/// Returns the steps that a schedule takes with one open request, with the times in milliseconds at
/// which they begin.
fn steps(timeout_ms: u64) -> Vec<(u64, ShutdownStep)> {
    let schedule = ShutdownSchedule::new(Duration::from_millis(timeout_ms));
    let mut steps: Vec<(u64, ShutdownStep)> = Vec::new();
    for passed_ms in 0..=timeout_ms {
        let step = schedule.step(Duration::from_millis(passed_ms), 1);
        if steps.last().is_none_or(|(_, last)| *last != step) {
            steps.push((passed_ms, step));
        }
    }
    steps
}

#[test]
fn step_of_a_usual_timeout() {
    assert_eq!(
        steps(8_000),
        [
            (0, ShutdownStep::Serve),
            (2_400, ShutdownStep::Refuse),
            (7_400, ShutdownStep::AnswerAll),
            (7_600, ShutdownStep::Exit),
        ]
    );
}

/// Guards against a timeout so short that requests are dropped without being refused or answered.
#[test]
fn step_of_short_timeouts_answers_before_the_exit() {
    for timeout_ms in [100, 300, 500, 800, 1_000, 2_000, 2_900, 3_300] {
        let steps = steps(timeout_ms);
        let begins_at = |wanted| {
            let step = steps.iter().find(|(_, step)| *step == wanted);
            step.expect("each step but the first").0
        };
        let answers_at_ms = begins_at(ShutdownStep::AnswerAll);
        let exits_at_ms = begins_at(ShutdownStep::Exit);
        assert!(answers_at_ms < exits_at_ms, "{timeout_ms}: {steps:?}");
        assert!(exits_at_ms < timeout_ms, "{timeout_ms}: {steps:?}");
    }
}

#[test]
fn step_of_an_idle_entry_refuses_for_a_while() {
    let schedule = ShutdownSchedule::new(Duration::from_secs(8));
    let step = |passed_ms| schedule.step(Duration::from_millis(passed_ms), 0);
    assert_eq!(step(2_399), ShutdownStep::Serve);
    assert_eq!(step(2_899), ShutdownStep::Refuse);
    assert_eq!(step(2_900), ShutdownStep::Exit);
}

const WAIT: WaitAtShutdown = WaitAtShutdown {
    now_ms: 2_400,
    answers_at_ms: 7_400,
    expected_run_ms: 400,
    expected_wait_ms: None,
    has_other_entries: true,
};

/// Guards against callers that lose the time that they would have at another entry.
#[test]
fn until_ms_without_a_slot_in_time_is_now() {
    for expected_wait_ms in [None, Some(4_601), Some(60_000)] {
        let wait = WaitAtShutdown {
            expected_wait_ms,
            ..WAIT
        };
        assert_eq!(wait.until_ms(), 2_400, "{expected_wait_ms:?}");
    }
}

/// Guards against callers sent away just before their slots come free.
#[test]
fn until_ms_with_a_slot_in_time_is_when_it_comes() {
    for wait_ms in [0, 50, 4_600] {
        let wait = WaitAtShutdown {
            expected_wait_ms: Some(wait_ms),
            ..WAIT
        };
        assert_eq!(wait.until_ms(), 2_400 + wait_ms);
    }
}

/// Guards against callers sent away while no other entry could serve them.
#[test]
fn until_ms_of_the_only_entry_is_the_last_start() {
    for expected_wait_ms in [None, Some(0), Some(60_000)] {
        let wait = WaitAtShutdown {
            expected_wait_ms,
            has_other_entries: false,
            ..WAIT
        };
        assert_eq!(wait.until_ms(), 7_000);
    }
}

/// Guards against a request that starts although it can't end before the process does.
#[test]
fn until_ms_of_a_run_longer_than_what_is_left_has_passed() {
    for has_other_entries in [false, true] {
        let wait = WaitAtShutdown {
            expected_run_ms: 6_000,
            expected_wait_ms: Some(100),
            has_other_entries,
            ..WAIT
        };
        assert!(wait.until_ms() <= wait.now_ms);
    }
}
