//! The checker sees each promise that is broken on purpose.

use std::time::Duration;
use std::time::Instant;

use platform_testkit::worker_stand_in::event;
use soak::checker::Broken;
use soak::checker::EVENTS;
use soak::checker::check;
use soak::record::Ended;
use soak::record::Kind;
use soak::record::Leaving;
use soak::record::Records;
use soak::record::Request;
use soak::record::Run;

fn request(kind: Kind, status: u16, body: &str) -> Request {
    Request {
        id: "try-1".to_owned(),
        kind,
        is_deadly: false,
        sent: Instant::now(),
        ended: Ended::Answered {
            status,
            body: body.to_owned(),
        },
    }
}

fn run(worker: &str) -> Run {
    Run {
        id: "try-1".to_owned(),
        worker: worker.to_owned(),
        at: Instant::now(),
        customer: "rundu".to_owned(),
        target: "POST /a".to_owned(),
        has_key: false,
        first_attempt: "try-1".to_owned(),
        after_event: 0,
        version: "v1",
    }
}

fn records(request: Request, runs: Vec<Run>) -> Records {
    Records {
        requests: vec![request],
        runs,
        ..Records::default()
    }
}

fn id() -> String {
    "try-1".to_owned()
}

#[test]
fn good_records_pass() {
    let records = records(
        request(Kind::Safe, 200, "answer to try-1"),
        vec![run("i-1")],
    );
    assert_eq!(check(&records), []);
}

#[test]
fn unsafe_request_run_twice() {
    let records = records(request(Kind::Unsafe, 502, ""), vec![run("i-1"), run("i-1")]);
    assert_eq!(check(&records), [Broken::RanTwice(id())]);
}

#[test]
fn refused_request_run() {
    let records = records(request(Kind::Stream, 503, ""), vec![run("i-1")]);
    assert_eq!(check(&records), [Broken::RanAfterRefusal(id())]);
}

#[test]
fn answer_to_another() {
    let records = records(
        request(Kind::Safe, 200, "answer to try-2"),
        vec![run("i-1")],
    );
    assert_eq!(check(&records), [Broken::WrongAnswer(id())]);
}

#[test]
fn stream_with_gap_or_without_end() {
    let gap: String = (1..=EVENTS).filter(|id| *id != 4).map(event).collect();
    let short: String = (1..EVENTS).map(event).collect();
    for body in [gap, short] {
        let records = records(request(Kind::Stream, 200, &body), vec![run("i-1")]);
        assert_eq!(check(&records), [Broken::WrongStream(id())]);
    }
}

#[test]
fn stream_that_broke_off_may_be_short_but_not_wrong() {
    let ended = |body: &str| Request {
        ended: Ended::BrokeOff {
            body: body.to_owned(),
        },
        ..request(Kind::Stream, 200, "")
    };
    let good = records(ended(&event(1)), vec![run("i-1")]);
    assert_eq!(check(&good), []);
    let bad = records(ended(&event(2)), vec![run("i-1")]);
    assert_eq!(check(&bad), [Broken::WrongStream(id())]);
}

#[test]
fn run_that_nobody_sent_or_with_the_key() {
    let nobody = Records {
        runs: vec![run("i-1")],
        ..Records::default()
    };
    let unasked = || Broken::Unasked("try-1 POST /a".to_owned());
    assert_eq!(check(&nobody), [unasked()]);
    let with_key = Run {
        has_key: true,
        ..run("i-1")
    };
    let records = records(request(Kind::Safe, 200, "answer to try-1"), vec![with_key]);
    assert_eq!(check(&records), [unasked()]);
}

#[test]
fn too_many_workers() {
    let runs = vec![run("i-1"), run("i-2"), run("i-3")];
    let records = records(request(Kind::Safe, 200, "answer to try-1"), runs);
    assert_eq!(check(&records), [Broken::TooManyWorkers(id())]);
}

#[test]
fn request_after_leaving() {
    let closed = Instant::now();
    let late = Run {
        at: closed + Duration::from_millis(1),
        ..run("i-1")
    };
    let mut records = records(request(Kind::Safe, 200, "answer to try-1"), vec![late]);
    records.leavings.push(Leaving {
        worker: "i-1".to_owned(),
        closed,
    });
    assert_eq!(check(&records), [Broken::AfterLeaving(id())]);
}

#[test]
fn fleet_that_does_not_recover() {
    let healed = Instant::now();
    let mut records = records(request(Kind::Safe, 503, ""), Vec::new());
    records.requests[0].sent = healed + Duration::from_millis(1);
    records.healed = Some(healed);
    let expected = Broken::NotRecovered {
        served: 0,
        asked: 1,
    };
    assert_eq!(check(&records), [expected]);
}

#[test]
fn deadly_request_that_still_runs_found() {
    // Four tries reach workers after the last fault; three may.
    let healed = Instant::now();
    let mut found = Records {
        healed: Some(healed),
        ..Records::default()
    };
    for number in 0..4 {
        assert_eq!(check(&found), [], "{number} tries");
        let id = format!("try-{number}");
        found.requests.push(Request {
            id: id.clone(),
            is_deadly: true,
            ended: Ended::NoAnswer,
            ..request(Kind::Safe, 0, "")
        });
        found.runs.push(Run {
            id,
            at: healed + Duration::from_millis(1),
            ..run("i-1")
        });
    }
    assert_eq!(check(&found), [Broken::DeadlyStillRuns(4)]);
}

#[test]
fn stream_that_goes_on_at_another_version() {
    let stream = request(
        Kind::Resumable,
        200,
        &(1..=EVENTS).map(event).collect::<String>(),
    );
    let at = |after_event, version| Run {
        after_event,
        version,
        at: Instant::now(),
        ..run("i-1")
    };
    let before_the_first_event = [at(0, "v2"), at(0, "v1"), at(3, "v1")];
    assert_eq!(
        check(&records(stream.clone(), before_the_first_event.to_vec())),
        []
    );
    let later = [at(0, "v1"), at(3, "v2")];
    assert_eq!(
        check(&records(stream, later.to_vec())),
        [Broken::MixedVersions(id())]
    );
}

#[test]
fn check_more_retries_than_allowed() {
    let retried = |number: usize| {
        let id = format!("try-{number}");
        let request = Request {
            id: id.clone(),
            ..request(Kind::Safe, 200, &format!("answer to {id}"))
        };
        let run = |worker| Run {
            id: id.clone(),
            ..run(worker)
        };
        (request, [run("i-1"), run("i-2")])
    };
    let records = |requests| {
        let (requests, runs): (Vec<_>, Vec<_>) = (0..requests).map(retried).unzip();
        Records {
            requests,
            runs: runs.concat(),
            ..Records::default()
        }
    };
    assert_eq!(check(&records(62)), []);
    assert_eq!(check(&records(63)), [Broken::TooManyRetries(63)]);
}
