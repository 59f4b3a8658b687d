//! Tests who is asked whether the list of upstreams is the newest, and who waits for it.

use sardinewood::direct::store_view::list_use::CONFIRM_WAIT_MS;
use sardinewood::direct::store_view::list_use::ConfirmStep;
use sardinewood::direct::store_view::list_use::Confirmation;
use sardinewood::direct::store_view::list_use::ListUse;
use sardinewood::direct::store_view::list_use::PEER_REPLY_WAIT_MS;

/// Guards against a bound that holds for the usual settings only.
#[test]
fn list_confirmed_before_the_bound_whatever_it_is() {
    for bound_ms in [200, 2_000, 13_000] {
        for age_ms in 0..=bound_ms {
            let used = ListUse::at(Some(age_ms), bound_ms);
            assert!(used != ListUse::Use || age_ms * 4 <= bound_ms * 3);
            assert!(used == ListUse::Confirm || age_ms * 10 <= bound_ms * 9);
        }
        assert_eq!(ListUse::at(None, bound_ms), ListUse::Confirm);
    }
}

/// Guards against hundreds of requests that each ask the store.
#[test]
fn one_question_at_a_time() {
    let mut confirmation = Confirmation::default();
    let steps: Vec<ConfirmStep> = (0..400)
        .map(|ms| confirmation.next_step(ms, true))
        .filter(|step| *step != ConfirmStep::Wait)
        .collect();
    assert_eq!(steps, [ConfirmStep::AskPeer, ConfirmStep::AskStore]);
}

/// Guards against requests that wait again and again while the store is away.
#[test]
fn requests_wait_once_in_an_outage() {
    let mut confirmation = Confirmation::default();
    let mut waited_ms = 0;
    for ms in 0..10_000 {
        if confirmation.next_step(ms, false) == ConfirmStep::Wait && ms % 1_900 == 1_899 {
            confirmation.record_failure(ms, 500);
        }
        waited_ms += u64::from(confirmation.is_promising(ms));
    }
    assert_eq!(waited_ms, CONFIRM_WAIT_MS);
}

/// Guards against an outage that is over and still keeps the next question from being asked.
#[test]
fn failure_forgotten_once_the_list_is_confirmed() {
    let mut confirmation = Confirmation::default();
    confirmation.ask_store(0);
    confirmation.record_failure(400, 11_000);
    assert_eq!(confirmation.next_step(2_000, true), ConfirmStep::Wait);
    confirmation.record_fresh();
    assert_eq!(confirmation.next_step(2_000, true), ConfirmStep::AskPeer);
}

#[test]
fn store_asked_if_the_peer_is_silent() {
    let mut confirmation = Confirmation::default();
    assert_eq!(confirmation.next_step(0, true), ConfirmStep::AskPeer);
    let step = confirmation.next_step(PEER_REPLY_WAIT_MS, true);
    assert_eq!(step, ConfirmStep::AskStore);
}

/// Guards against a question to the store that is asked twice because a peer replies meanwhile.
#[test]
fn open_question_to_the_store_kept() {
    let mut confirmation = Confirmation::default();
    assert_eq!(confirmation.ask_store(0), ConfirmStep::AskStore);
    confirmation.record_fresh();
    assert_eq!(confirmation.ask_store(10), ConfirmStep::Wait);
}
