//! Claims against a store that loses responses, returns stale reads, reports conflicts and fails.

use sardinewood::claims::ClaimDecision;
use sardinewood::claims::ClaimRequest;
use sardinewood::claims::ClaimRules;
use sardinewood::claims::ClaimStep;
use sardinewood::claims::Claims;
use sardinewood::claims::idempotency::IdempotencyKey;
use sardinewood::claims::idempotency::RequestDigest;
use sardinewood::claims::object::Claim;
use sardinewood::claims::object::ClaimState;
use sardinewood::claims::object::Holder;
use sardinewood::claims::object::StoreCall;
use sardinewood::claims::object::StoreResponse;
use sardinewood::claims::object::StoredClaim;
use sardinewood::ids::AttemptId;
use sardinewood::ids::GrantId;
use sardinewood::ids::Incarnation;
use sardinewood::ids::RequestId;
use sardinewood::store::position::StorePosition;
use sardinewood::verdict::Failure;
use sardinewood::verdict::FailureReason;

const OURS: RequestId = RequestId(1);
const THEIRS: RequestId = RequestId(2);

fn holder(request: RequestId, number: u32, agent: u64) -> Holder {
    Holder {
        attempt: AttemptId { request, number },
        agent: format!("agent-{agent}").into(),
        grant: GrantId {
            agent: Incarnation(agent),
            sequence: 1,
        },
    }
}

fn claim_request(holder: Holder) -> ClaimRequest {
    ClaimRequest {
        name: IdempotencyKey::new("rundu", "refund-7").expect("a valid key"),
        digest: RequestDigest::new("POST", "/v1/refunds", b"100"),
        holder,
        settled: None,
        required: true,
    }
}

fn stored(version: u64, holder: Holder) -> StoreResponse {
    let digest = claim_request(holder.clone()).digest.to_string().into();
    StoreResponse::Current(Some(StoredClaim {
        version: StorePosition::new(0, version),
        claim: Some(Claim {
            digest: Some(digest),
            state: ClaimState::Held(holder),
        }),
    }))
}

fn decision(steps: &[ClaimStep]) -> Option<&ClaimDecision> {
    match steps {
        [ClaimStep::Decided { decision, .. }] => Some(decision),
        _ => None,
    }
}

fn is_write(steps: &[ClaimStep], at: Option<u64>) -> bool {
    matches!(steps, [ClaimStep::Call { call: StoreCall::Write { expected, .. }, .. }] if expected.map(|expected| expected.revision) == at)
}

fn is_read(steps: &[ClaimStep]) -> bool {
    matches!(
        steps,
        [ClaimStep::Call {
            call: StoreCall::Read,
            ..
        }]
    )
}

#[test]
fn claim_lost_answer_is_settled_by_reading_back() {
    // The write takes effect, but its response is lost. The entry reads back its own claim, so
    // it may dispatch and needn't refuse the request.
    let mut claims = Claims::new(ClaimRules::default());
    claims.claim(0, claim_request(holder(OURS, 1, 7)));
    assert_eq!(claims.handle_response(50, OURS, StoreResponse::Lost), []);
    assert!(is_read(&claims.tick(150)));
    let steps = claims.handle_response(160, OURS, stored(9, holder(OURS, 1, 7)));
    assert_eq!(decision(&steps), Some(&ClaimDecision::Dispatch));
}

#[test]
fn claim_lost_answer_follows_the_winner() {
    // Two entries claim one key. Our entry gets no response, and reads back that the other
    // entry holds the claim.
    let mut claims = Claims::new(ClaimRules::default());
    claims.claim(0, claim_request(holder(OURS, 1, 7)));
    claims.handle_response(50, OURS, StoreResponse::Lost);
    claims.tick(150);
    let steps = claims.handle_response(160, OURS, stored(9, holder(THEIRS, 1, 8)));
    let follow = ClaimDecision::Follow(holder(THEIRS, 1, 8));
    assert_eq!(decision(&steps), Some(&follow));
    assert!(claims.is_empty());
}

#[test]
fn claim_stale_read_fails_at_the_conditional_write() {
    // A stale read from a lagging replica shows no claim. The write that follows is
    // create-if-absent, so it fails and returns the claim that the read didn't show.
    let mut claims = Claims::new(ClaimRules::default());
    claims.claim(0, claim_request(holder(OURS, 1, 7)));
    claims.handle_response(50, OURS, StoreResponse::Lost);
    claims.tick(150);
    let steps = claims.handle_response(160, OURS, StoreResponse::Current(None));
    assert!(is_write(&steps, None), "{steps:?}");
    let steps = claims.handle_response(170, OURS, stored(9, holder(THEIRS, 1, 8)));
    let follow = ClaimDecision::Follow(holder(THEIRS, 1, 8));
    assert_eq!(decision(&steps), Some(&follow));
}

#[test]
fn claim_store_down_refuses_what_may_run_once() {
    // The caller of a refund is told "not run", and when to retry, within the time limit.
    let mut claims = Claims::new(ClaimRules::default());
    claims.claim(0, claim_request(holder(OURS, 1, 7)));
    let mut now_ms = 0;
    let failure = loop {
        now_ms += 100;
        let steps = claims.handle_response(now_ms, OURS, StoreResponse::Lost);
        if let Some(ClaimDecision::Fail(failure)) = decision(&steps) {
            break *failure;
        }
        now_ms = claims.next_tick_ms().expect("a retry is due");
        claims.tick(now_ms);
    };
    assert_eq!(
        failure,
        Failure::not_run(FailureReason::StoreDown).retry_after(100)
    );
    // The time limit, and the response to the last call made within it.
    assert!(now_ms <= 2_000 + 100, "{now_ms}");
}

#[test]
fn claim_store_down_lets_idempotent_work_go_on() {
    let mut claims = Claims::new(ClaimRules::default());
    let mut request = claim_request(holder(OURS, 1, 7));
    request.required = false;
    claims.claim(0, request);
    let steps = claims.handle_response(50, OURS, StoreResponse::Lost);
    assert_eq!(decision(&steps), Some(&ClaimDecision::Dispatch));
}

#[test]
fn claim_store_silent_does_not_outlast_a_grant() {
    // A summary with a key may run twice, so it proceeds without a claim. If it waited two
    // seconds for the store, its grant would expire after one, and so would each later grant:
    // its caller would be told "not run" at the deadline, although upstreams are idle. The next
    // summary doesn't wait at all.
    let mut claims = Claims::new(ClaimRules::default());
    let mut request = claim_request(holder(OURS, 1, 7));
    request.required = false;
    claims.claim(0, request);
    assert_eq!(claims.next_tick_ms(), Some(250));
    let steps = claims.tick(250);
    assert_eq!(decision(&steps), Some(&ClaimDecision::Dispatch));
    let mut next = claim_request(holder(THEIRS, 1, 7));
    next.required = false;
    let steps = claims.claim(300, next.clone());
    assert_eq!(decision(&steps), Some(&ClaimDecision::Dispatch));
    assert!(
        is_write(&claims.claim(5_250, next), None),
        "claims are made again after the backoff"
    );
}

#[test]
fn claim_other_call_is_refused() {
    let mut claims = Claims::new(ClaimRules::default());
    let mut request = claim_request(holder(OURS, 1, 7));
    request.digest = RequestDigest::new("POST", "/v1/refunds", b"900");
    claims.claim(0, request);
    let steps = claims.handle_response(5, OURS, stored(9, holder(THEIRS, 1, 8)));
    let refused = ClaimDecision::Fail(Failure::not_run(FailureReason::KeyReused));
    assert_eq!(decision(&steps), Some(&refused));
}

#[test]
fn claim_settled_holder_is_replaced_at_its_version() {
    let mut claims = Claims::new(ClaimRules::default());
    let mut request = claim_request(holder(OURS, 1, 7));
    request.settled = Some(holder(THEIRS, 1, 8));
    claims.claim(0, request);
    let steps = claims.handle_response(5, OURS, stored(9, holder(THEIRS, 1, 8)));
    assert!(is_write(&steps, Some(9)), "{steps:?}");
}

#[test]
fn claim_settled_attempt_at_another_agent_is_not_replaced() {
    // The first entry's grant at agent 8 expired before the dispatch, so it claimed the same
    // attempt number again at agent 9, where the attempt runs. Our entry settled the attempt at
    // agent 8. If it compared only the attempt's number, it would take over the claim, and the
    // refund would run twice.
    let mut claims = Claims::new(ClaimRules::default());
    let mut request = claim_request(holder(OURS, 1, 7));
    request.settled = Some(holder(THEIRS, 1, 8));
    claims.claim(0, request);
    let steps = claims.handle_response(5, OURS, stored(10, holder(THEIRS, 1, 9)));
    let follow = ClaimDecision::Follow(holder(THEIRS, 1, 9));
    assert_eq!(decision(&steps), Some(&follow));
}

#[test]
fn claim_barred_loses_its_place_and_a_repetition_does_not() {
    let bar = |request| {
        StoreResponse::Current(Some(StoredClaim {
            version: StorePosition::new(0, 9),
            claim: Some(Claim {
                digest: None,
                state: ClaimState::Barred { request },
            }),
        }))
    };
    let mut claims = Claims::new(ClaimRules::default());
    claims.claim(0, claim_request(holder(OURS, 1, 7)));
    let steps = claims.handle_response(5, OURS, bar(OURS));
    let refused = ClaimDecision::Fail(Failure::not_run(FailureReason::PredecessorUnknown));
    assert_eq!(decision(&steps), Some(&refused));
    claims.claim(10, claim_request(holder(THEIRS, 1, 7)));
    let steps = claims.handle_response(15, THEIRS, bar(OURS));
    assert!(is_write(&steps, Some(9)), "{steps:?}");
}

#[test]
fn claim_of_the_next_grant_waits_for_the_call_under_way() {
    // The link to the first agent breaks while the claim is being written, and another agent
    // grants the attempt. The store's response is about the first grant. If it decided the
    // second claim, the store would name agent 7 while the refund runs at agent 8; a repetition
    // would settle it as never sent at agent 7 and run it again.
    let mut claims = Claims::new(ClaimRules::default());
    claims.claim(0, claim_request(holder(OURS, 1, 7)));
    assert_eq!(claims.claim(2, claim_request(holder(OURS, 1, 8))), []);
    let steps = claims.handle_response(
        5,
        OURS,
        StoreResponse::Written {
            version: StorePosition::new(0, 9),
        },
    );
    assert!(is_write(&steps, Some(9)), "{steps:?}");
    let steps = claims.handle_response(
        8,
        OURS,
        StoreResponse::Written {
            version: StorePosition::new(0, 10),
        },
    );
    assert_eq!(decision(&steps), Some(&ClaimDecision::Dispatch));
}

fn check_not_run(response: StoreResponse) -> Vec<ClaimStep> {
    let mut claims = Claims::new(ClaimRules::default());
    let failure = Failure::not_run(FailureReason::TooLate);
    let steps = claims.confirm_not_run(0, OURS, claim_request(holder(OURS, 1, 7)).name, failure);
    assert!(is_write(&steps, None), "a read may be stale: {steps:?}");
    claims.handle_response(5, OURS, response)
}

#[test]
fn confirm_not_run_another_request_may_have_run() {
    // The refund ran through another entry, and its repetition is refused here because too
    // little time is left. If the caller were told "not run", it would credit the refund again
    // under a new key.
    let steps = check_not_run(stored(9, holder(THEIRS, 1, 8)));
    let unknown = ClaimDecision::Fail(Failure::unknown(FailureReason::TooLate));
    assert_eq!(decision(&steps), Some(&unknown));
}

#[test]
fn confirm_not_run_store_does_not_tell() {
    let steps = check_not_run(StoreResponse::Lost);
    let unknown = ClaimDecision::Fail(Failure::unknown(FailureReason::TooLate));
    assert_eq!(decision(&steps), Some(&unknown));
}

#[test]
fn confirm_not_run_nobody_has_run_it() {
    let steps = check_not_run(StoreResponse::Written {
        version: StorePosition::new(0, 9),
    });
    let [
        ClaimStep::Call { call, .. },
        ClaimStep::Decided { decision, .. },
    ] = &steps[..]
    else {
        panic!("{steps:?}");
    };
    assert_eq!(
        *call,
        StoreCall::Delete {
            version: StorePosition::new(0, 9)
        },
        "the bar is removed"
    );
    let not_run = Failure::not_run(FailureReason::TooLate);
    assert_eq!(*decision, ClaimDecision::Fail(not_run));
}

#[test]
fn confirm_not_run_passes_over_the_answer_to_an_earlier_read() {
    // The response to a read in progress shows a state from before another entry's claim.
    let mut claims = Claims::new(ClaimRules::default());
    claims.claim(0, claim_request(holder(OURS, 1, 7)));
    claims.handle_response(5, OURS, StoreResponse::Lost);
    assert!(is_read(&claims.tick(105)));
    let failure = Failure::not_run(FailureReason::TooLate);
    claims.confirm_not_run(106, OURS, claim_request(holder(OURS, 1, 7)).name, failure);
    assert_eq!(
        claims.handle_response(107, OURS, StoreResponse::Current(None)),
        []
    );
    let steps = claims.handle_response(108, OURS, stored(9, holder(THEIRS, 1, 8)));
    let unknown = ClaimDecision::Fail(Failure::unknown(FailureReason::TooLate));
    assert_eq!(decision(&steps), Some(&unknown));
}

#[test]
fn claim_over_budget_waits() {
    let rules = ClaimRules {
        calls_per_s: 1,
        ..ClaimRules::default()
    };
    let mut claims = Claims::new(rules);
    assert!(is_write(
        &claims.claim(0, claim_request(holder(OURS, 1, 7))),
        None
    ));
    assert_eq!(claims.claim(1, claim_request(holder(THEIRS, 1, 7))), []);
    assert!(is_write(&claims.tick(1_101), None));
}

#[test]
fn finish_keeps_the_name_for_its_retention() {
    let mut claims = Claims::new(ClaimRules::default());
    claims.claim(0, claim_request(holder(OURS, 1, 7)));
    claims.handle_response(
        5,
        OURS,
        StoreResponse::Written {
            version: StorePosition::new(0, 9),
        },
    );
    assert_eq!(claims.finish(1_000, OURS, true), []);
    assert_eq!(claims.tick(600_999), []);
    let steps = claims.tick(601_000);
    assert!(
        matches!(
            steps[..],
            [ClaimStep::Call {
                call: StoreCall::Delete {
                    version: StorePosition { revision: 9, .. }
                },
                ..
            }]
        ),
        "{steps:?}"
    );
    claims.handle_response(
        601_005,
        OURS,
        StoreResponse::Written {
            version: StorePosition::new(0, 10),
        },
    );
    assert!(claims.is_empty());
}

#[test]
fn finish_not_run_frees_the_name_at_once() {
    let mut claims = Claims::new(ClaimRules::default());
    claims.claim(0, claim_request(holder(OURS, 1, 7)));
    claims.handle_response(
        5,
        OURS,
        StoreResponse::Written {
            version: StorePosition::new(0, 9),
        },
    );
    let steps = claims.finish(1_000, OURS, false);
    assert!(matches!(
        steps[..],
        [ClaimStep::Call {
            call: StoreCall::Delete {
                version: StorePosition { revision: 9, .. }
            },
            ..
        }]
    ));
}

#[test]
fn claim_object_reads_back_what_it_writes() {
    let claim = Claim {
        digest: Some("d".into()),
        state: ClaimState::Held(holder(RequestId(u128::MAX), 3, 7)),
    };
    let value = serde_json::to_value(&claim).expect("a claim is JSON");
    assert_eq!(serde_json::from_value::<Claim>(value).ok(), Some(claim));
}
