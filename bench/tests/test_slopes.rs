//! Slopes are measured on states that do what is measured.

use sardinewood::ids::AttemptId;
use sardinewood::ids::RequestId;
use sardinewood_bench::slopes::agent_slopes::agent_that_ran;
use sardinewood_bench::slopes::agent_slopes::waiting_agent;
use sardinewood_bench::slopes::entry_slopes::waiting_entry;
use sardinewood_bench::slopes::measure_all;

/// Enough to go past every bound that a default would set.
const MANY: usize = 25_000;

// A state that refuses the work would seem to cost nothing. Whether it took it is asked of the
// state, since the growth of this process's memory also shows what other tests free.

#[test]
fn waiting_entry_all_requests_wait() {
    assert_eq!(waiting_entry(MANY).counts().waiting, MANY);
}

#[test]
fn waiting_agent_all_reservations_wait() {
    assert_eq!(waiting_agent(MANY).load().waiting as usize, MANY);
}

#[test]
fn agent_that_ran_each_request_was_dispatched() {
    let agent = agent_that_ran(100);
    for index in 0..100 {
        let request = RequestId(index + 1);
        let attempt = AttemptId { request, number: 1 };
        assert!(agent.attempt(attempt).is_some(), "{attempt}");
    }
}

#[test]
fn measure_all_each_time_and_size_is_seen() {
    for slope in measure_all() {
        let is_seen = slope.value > 0.0 || slope.cost == "memory_bytes";
        assert!(is_seen, "{slope:?}");
    }
}
