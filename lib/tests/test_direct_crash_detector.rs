//! Which broken connections prove that an upstream has ended.

use std::sync::Arc;

use sardinewood::direct::placement::dispatch::upstream_hash;
use sardinewood::direct::quarantine::crash_detector::BreakAction;
use sardinewood::direct::quarantine::crash_detector::BrokenRun;
use sardinewood::direct::quarantine::crash_detector::CrashDetector;
use sardinewood::direct::quarantine::crash_detector::CrashEvidence;
use sardinewood::direct::quarantine::fingerprint::Fingerprint;
use sardinewood::direct::quarantine::fingerprint::FingerprintInput;
use sardinewood::direct::quarantine::recent_successes::RecentSuccesses;
use sardinewood::direct::store_view::directory::Upstream;

use crate::direct_fixture::born;
use crate::direct_fixture::upstream;

fn asked(body: &[u8]) -> FingerprintInput<'_> {
    FingerprintInput {
        method: "POST",
        path: "/notes/1",
        customer: Some("rundu"),
        body,
    }
}

fn run(body: &str, started_at_ms: u64) -> BrokenRun {
    BrokenRun {
        request: Fingerprint::of(asked(body.as_bytes())),
        request_id: body.into(),
        started_at_ms,
        has_succeeded_recently: false,
    }
}

/// One run on `i-1` that broke at 100 ms.
fn one_broken() -> (CrashDetector, Arc<Upstream>) {
    let mut crash_detector = CrashDetector::default();
    let one = upstream("i-1", 4);
    assert_eq!(
        crash_detector.on_broken_run(&one, run("a", 10), 100),
        BreakAction::Probe
    );
    (crash_detector, one)
}

#[test]
fn broken_connection_alone_proves_no_end() {
    // A run is cut by the network, and the upstream answers the next one. It was taken for no end,
    // so what ran there is not held against any request.
    let (mut crash_detector, one) = one_broken();
    crash_detector.on_answer(&one.instance, 150);
    assert_eq!(crash_detector.on_connection_refused(&one.instance), None);
}

#[test]
fn answer_on_its_way_at_the_break_proves_no_life() {
    // An answer of a run that began before the break may be read after it. The upstream may have
    // ended all the same.
    let (mut crash_detector, one) = one_broken();
    crash_detector.on_answer(&one.instance, 50);
    assert!(
        crash_detector
            .on_connection_refused(&one.instance)
            .is_some()
    );
}

#[test]
fn refused_connection_proves_the_end_once() {
    let (mut crash_detector, one) = one_broken();
    assert_eq!(
        crash_detector.on_broken_run(&one, run("b", 20), 101),
        BreakAction::ProbeRunning
    );
    let end = crash_detector
        .on_connection_refused(&one.instance)
        .expect("an end");
    assert_eq!(end.runs, [run("a", 10), run("b", 20)]);
    assert_eq!(
        (end.evidence, end.is_first_report),
        (CrashEvidence::ConnectionRefused, true)
    );
    assert_eq!(crash_detector.on_connection_refused(&one.instance), None);
}

#[test]
fn run_whose_break_is_seen_after_the_proof_counts() {
    // Connections of one upstream break one after the other, and the first refusal may come between.
    let (mut crash_detector, one) = one_broken();
    crash_detector
        .on_connection_refused(&one.instance)
        .expect("an end");
    let BreakAction::Crashed(end) = crash_detector.on_broken_run(&one, run("b", 20), 102) else {
        panic!("the end is known");
    };
    assert_eq!((end.runs, end.is_first_report), (vec![run("b", 20)], false));
}

#[test]
fn run_sent_after_the_break_was_never_there() {
    // A kept connection of an upstream that has ended takes one more request before anybody sees
    // that it is dead. That request had no part in the end.
    let (mut crash_detector, one) = one_broken();
    assert_eq!(
        crash_detector.on_broken_run(&one, run("late", 101), 103),
        BreakAction::Ignore
    );
    assert_eq!(
        crash_detector
            .on_connection_refused(&one.instance)
            .expect("an end")
            .runs
            .len(),
        1
    );
}

#[test]
fn another_incarnation_in_its_place_proves_the_end() {
    // A host that loses power refuses nothing: its address is silent. The list tells of the end when
    // another incarnation stands at the address, or under the name.
    let other_name = upstream("i-2", 4);
    let same_name = Arc::new(Upstream {
        address: "127.0.0.1:81".parse().expect("an address"),
        ..born("i-1", 7)
    });
    for next in [other_name, same_name] {
        let (mut crash_detector, one) = one_broken();
        assert!(
            crash_detector.on_upstreams_listed(&[one]).is_empty(),
            "it is still there"
        );
        let ends = crash_detector.on_upstreams_listed(&[next]);
        assert_eq!(ends.len(), 1);
        assert_eq!(ends[0].evidence, CrashEvidence::NewIncarnation);
    }
}

#[test]
fn vanished_entry_alone_proves_no_end() {
    // A cut takes an upstream out of the list although it runs on.
    let (mut crash_detector, _) = one_broken();
    assert!(crash_detector.on_upstreams_listed(&[]).is_empty());
}

#[test]
fn peers_word_proves_the_end() {
    let (mut crash_detector, one) = one_broken();
    assert!(
        crash_detector
            .on_peer_crash_reports(&[upstream_hash("i-7")])
            .is_empty()
    );
    let ends = crash_detector.on_peer_crash_reports(&[upstream_hash(&one.instance)]);
    assert_eq!(ends[0].evidence, CrashEvidence::PeerReport);
}

#[test]
fn upstream_that_listens_has_likely_not_ended() {
    // A network resets connections of a popular request at several upstreams. Each counted as a likely end,
    // its callers' streams would not go on elsewhere.
    let (mut crash_detector, one) = one_broken();
    let request = run("a", 10).request;
    assert_eq!(crash_detector.unconfirmed_crashes(request), 1);
    crash_detector.on_connection_accepted(&one.instance);
    assert_eq!(crash_detector.unconfirmed_crashes(request), 0);
    assert!(
        crash_detector
            .on_connection_refused(&one.instance)
            .is_some(),
        "it may end yet"
    );
}

#[test]
fn break_of_long_ago_forgotten() {
    // An upstream that is replaced a minute after a reset did not end by what ran there then.
    let (mut crash_detector, one) = one_broken();
    crash_detector.expire(10_099);
    assert!(crash_detector.is_undecided(&one.instance));
    crash_detector.expire(10_100);
    assert_eq!(crash_detector.on_connection_refused(&one.instance), None);
}

#[test]
fn fingerprint_same_for_tries_of_one_request_only() {
    let one = Fingerprint::of(asked(b"text"));
    assert_eq!(one, Fingerprint::of(asked(b"text")));
    let others = [
        asked(b"texts"),
        FingerprintInput {
            method: "GET",
            ..asked(b"text")
        },
        FingerprintInput {
            path: "/notes/1t",
            body: b"ext",
            ..asked(b"")
        },
        FingerprintInput {
            customer: Some("oshi"),
            ..asked(b"text")
        },
        FingerprintInput {
            customer: None,
            ..asked(b"text")
        },
    ];
    for other in others {
        assert_ne!(one, Fingerprint::of(other), "{other:?}");
    }
}

#[test]
fn whole_run_trusted_for_a_moment_only() {
    // What ran whole long ago may have become deadly since, with a new version of the upstreams.
    let mut recent = RecentSuccesses::new(1);
    recent.insert(asked(b"text"), 5_000);
    assert!(recent.contains(asked(b"text"), 14_999));
    assert!(!recent.contains(asked(b"text"), 15_000));
    assert!(!recent.contains(asked(b"texts"), 5_000));
}

#[test]
fn requests_without_end_trusted_in_bounded_memory() {
    let mut recent = RecentSuccesses::new(1);
    for number in 0..20_000_u32 {
        recent.insert(asked(&number.to_be_bytes()), 1_000);
    }
    let trusted = |number: &u32| recent.contains(asked(&number.to_be_bytes()), 1_000);
    let remembered = (0..20_000).filter(trusted).count();
    assert!((2_000..=4_096).contains(&remembered), "{remembered}");
    assert!(trusted(&19_999), "the newest");
}
