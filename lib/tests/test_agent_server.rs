//! A running agent on real sockets, checked by the counters of the stand-in upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use sardinewood::agent;
use sardinewood::agent::server::AgentHandle;
use sardinewood::agent::settings::AgentSettings;
use sardinewood::answer::reader::AnswerFrame;
use sardinewood::answer::reader::AnswerReader;
use sardinewood::answer::reader::ReadStep;
use sardinewood::config::catalog::Catalog;
use sardinewood::config::objects::Activity;
use sardinewood::config::objects::Serves;
use sardinewood::config::objects::Target;
use sardinewood::config::objects::Upstream;
use sardinewood::config::spread_message::PeerKeys;
use sardinewood::ids::AttemptId;
use sardinewood::ids::GrantId;
use sardinewood::ids::Incarnation;
use sardinewood::link::frames::EntryEnd;
use sardinewood::link::frames::FrameReader;
use sardinewood::link::frames::write_frames;
use sardinewood::link::proof::prove_as_entry;
use sardinewood::link::wire::AgentMessage;
use sardinewood::link::wire::AnswerEnd;
use sardinewood::link::wire::Call;
use sardinewood::link::wire::EntryMessage;
use sardinewood::link::wire::Hello;
use sardinewood::link::wire::PROTOCOL_VERSION;
use sardinewood::link::wire::RefusalReason;
use sardinewood::link::wire::Reservation;
use sardinewood::link::wire::Settlement;
use sardinewood::metrics::Metrics;
use sardinewood::upstream::http::UpstreamTimings;
use testutils::engine_settings::EngineSettings;
use testutils::engine_stand_in::EngineStandIn;
use testutils::service_stand_in::ServiceStandIn;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::agent_fixture::attempt;
use crate::agent_fixture::reservation;
use crate::agent_fixture::upstream;

/// Time limit of a wait; a test that reaches it fails.
const CAP: Duration = Duration::from_secs(20);

/// An agent and its configuration.
struct Agent {
    handle: AgentHandle,
    catalog: watch::Sender<Arc<Catalog>>,
}

impl Agent {
    async fn for_upstream(upstream: Upstream) -> Self {
        let (catalog, receiver) = watch::channel(catalog_of(upstream));
        let settings = AgentSettings {
            upstream: "lang-1".into(),
            heartbeat_ms: 50,
            // The entry in these tests sends no heartbeats.
            silent_ms: 60_000,
            upstream_timings: UpstreamTimings {
                silent_ms: 200,
                ..UpstreamTimings::default()
            },
            ..AgentSettings::default()
        };
        let handle = agent::server::spawn(settings, receiver, Metrics::disabled());
        Agent {
            handle: handle.await.unwrap(),
            catalog,
        }
    }

    async fn for_engine(engine: &EngineStandIn) -> Self {
        Self::for_upstream(Upstream {
            url: engine.url().into(),
            ..upstream(4)
        })
        .await
    }
}

fn catalog_of(upstream: Upstream) -> Arc<Catalog> {
    let mut catalog = Catalog::default();
    catalog
        .upstreams
        .insert(Arc::clone(&upstream.name), Arc::new(upstream));
    Arc::new(catalog)
}

/// A minimal entry's side of a link.
struct Entry {
    reader: FrameReader<EntryEnd, OwnedReadHalf>,
    messages: mpsc::Sender<EntryMessage>,
    agent: Incarnation,
}

impl Entry {
    async fn connect(address: SocketAddr) -> Self {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let keys = PeerKeys::new(&[]);
        prove_as_entry(&mut stream, &keys, &[1; 32]).await.unwrap();
        let (read, write) = stream.into_split();
        let (messages, queue) = mpsc::channel(64);
        let (_, no_bulk) = mpsc::channel(1);
        tokio::spawn(write_frames::<EntryEnd, _>(write, queue, no_bulk));
        let mut entry = Entry {
            reader: FrameReader::new(read),
            messages,
            agent: Incarnation(0),
        };
        let hello = Hello {
            protocol: PROTOCOL_VERSION,
            incarnation: Incarnation(99),
            name: "entry-1".into(),
            data_centre: "wdh-1".into(),
        };
        entry.send(EntryMessage::Hello(hello)).await;
        let AgentMessage::Hello(hello) = entry.receive().await else {
            panic!("the agent says hello first");
        };
        entry.agent = hello.incarnation;
        entry
    }

    async fn send(&self, message: EntryMessage) {
        self.messages.send(message).await.unwrap();
    }

    /// Returns the next message that is not a heartbeat.
    async fn receive(&mut self) -> AgentMessage {
        loop {
            let message = timeout(CAP, self.reader.next()).await.unwrap();
            match message.unwrap().expect("the link is open") {
                AgentMessage::Heartbeat { .. } => {}
                message => return message,
            }
        }
    }

    /// Reserves until there is a grant, since an agent that has just started refuses at first.
    async fn granted(&mut self, reservation: Reservation) -> GrantId {
        loop {
            self.send(EntryMessage::Reserve(reservation.clone())).await;
            match self.receive().await {
                AgentMessage::Grant { grant, .. } => return grant,
                AgentMessage::Refuse { reason, .. } => {
                    assert_eq!(reason, RefusalReason::UpstreamDown);
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
                other => panic!("{other:?}"),
            }
        }
    }

    async fn dispatch(&mut self, reservation: Reservation, call: Call) -> (AttemptId, GrantId) {
        let attempt = attempt(reservation.request.0);
        let grant = self.granted(reservation).await;
        self.send(EntryMessage::Dispatch {
            grant,
            attempt,
            retain: false,
            call,
        })
        .await;
        (attempt, grant)
    }

    /// Reads an answer to its end; returns its body and how it ended.
    async fn read_answer(&mut self, reader: &mut AnswerReader) -> (Vec<u8>, ReadStep) {
        let mut body = Vec::new();
        loop {
            let Ok(frame) = AnswerFrame::try_from(self.receive().await) else {
                continue;
            };
            match reader.read(frame) {
                ReadStep::Pass(bytes) => body.extend_from_slice(&bytes),
                ReadStep::Head { .. } | ReadStep::Ignore => {}
                step => return (body, step),
            }
        }
    }

    async fn settle(&mut self, attempt: AttemptId, grant: GrantId) -> Settlement {
        self.send(EntryMessage::Settle { attempt, grant }).await;
        loop {
            if let AgentMessage::Settled { settlement, .. } = self.receive().await {
                return settlement;
            }
        }
    }
}

fn completion(max_tokens: u32, stream: bool) -> Call {
    let body = format!(
        r#"{{"model":"small","prompt":"a short prompt","max_tokens":{max_tokens},"stream":{stream}}}"#
    );
    Call {
        method: "POST".into(),
        path: "/v1/completions".into(),
        headers: vec![(
            "content-type".into(),
            Bytes::from_static(b"application/json"),
        )],
        body: body.into(),
    }
}

/// Returns the answer that a direct call to an engine gets for the same request id.
async fn direct_answer(max_tokens: u32, stream: bool, id: &str) -> Vec<u8> {
    let engine = EngineStandIn::spawn(EngineSettings::default())
        .await
        .unwrap();
    let call = completion(max_tokens, stream);
    let http = reqwest::Client::new();
    let answer = http
        .post(format!("{}{}", engine.url(), call.path))
        .header("x-request-id", id)
        .body(call.body)
        .send()
        .await
        .unwrap();
    answer.bytes().await.unwrap().to_vec()
}

async fn wait_until(mut is_reached: impl FnMut() -> bool) {
    let waiting = async {
        while !is_reached() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(CAP, waiting).await.unwrap();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn dispatch_answers_arrive_as_the_engine_gave_them() {
    let engine = EngineStandIn::spawn(EngineSettings::default())
        .await
        .unwrap();
    let agent = Agent::for_engine(&engine).await;
    let mut entry = Entry::connect(agent.handle.address()).await;
    for (id, stream) in [(1, true), (2, false)] {
        let (attempt, _) = entry
            .dispatch(reservation(id, 0), completion(20, stream))
            .await;
        let mut reader = AnswerReader::new(attempt);
        let (body, end) = entry.read_answer(&mut reader).await;
        assert_eq!(end, ReadStep::Whole);
        let request = attempt.request.to_string();
        assert_eq!(body, direct_answer(20, stream, &request).await);
        assert_eq!(engine.dispatches(&request), 1);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engine_connections_cut_or_silent_are_resumed_without_a_second_dispatch() {
    // The connection between agent and engine closes, or dies without a notice, in the
    // middle of a stream. The agent queries the engine, finds the request running and reads
    // on after the last whole event. The caller gets one unbroken answer.
    for is_cut in [true, false] {
        let engine = EngineStandIn::spawn(EngineSettings::default())
            .await
            .unwrap();
        let agent = Agent::for_engine(&engine).await;
        let mut entry = Entry::connect(agent.handle.address()).await;
        let (attempt, _) = entry
            .dispatch(reservation(1, 0), completion(200, true))
            .await;
        let mut reader = AnswerReader::new(attempt);
        while reader.through_bytes() < 2_000 {
            if let Ok(frame) = AnswerFrame::try_from(entry.receive().await) {
                reader.read(frame);
            }
        }
        if is_cut {
            engine.connections().close_all();
        } else {
            engine.connections().silence_all();
        }
        let (_, end) = entry.read_answer(&mut reader).await;
        assert_eq!(end, ReadStep::Whole);
        let request = attempt.request.to_string();
        let whole = direct_answer(200, true, &request).await;
        assert_eq!(reader.through_bytes(), whole.len() as u64);
        assert_eq!(engine.dispatches(&request), 1);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn link_lost_in_mid_answer_resumes_from_the_offset() {
    let engine = EngineStandIn::spawn(EngineSettings::default())
        .await
        .unwrap();
    let agent = Agent::for_engine(&engine).await;
    let mut entry = Entry::connect(agent.handle.address()).await;
    let (attempt, grant) = entry
        .dispatch(reservation(1, 0), completion(200, true))
        .await;
    let mut reader = AnswerReader::new(attempt);
    while reader.through_bytes() < 2_000 {
        if let Ok(frame) = AnswerFrame::try_from(entry.receive().await) {
            reader.read(frame);
        }
    }
    drop(entry);
    let mut entry = Entry::connect(agent.handle.address()).await;
    assert_eq!(entry.settle(attempt, grant).await, Settlement::Running);
    entry
        .send(EntryMessage::Resume {
            attempt,
            from_bytes: reader.through_bytes(),
        })
        .await;
    let (_, end) = entry.read_answer(&mut reader).await;
    assert_eq!(end, ReadStep::Whole);
    assert_eq!(engine.dispatches(&attempt.request.to_string()), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn agent_restarted_beside_a_living_engine_picks_the_stream_up() {
    // The agent dies in the middle of a stream and is restarted next to the same engine. The
    // entry asks the new incarnation, which finds the request running, and the entry reads on
    // from its offset. The engine got the request once.
    let engine = EngineStandIn::spawn(EngineSettings::default())
        .await
        .unwrap();
    let first = Agent::for_engine(&engine).await;
    let mut entry = Entry::connect(first.handle.address()).await;
    let (attempt, grant) = entry
        .dispatch(reservation(1, 0), completion(400, true))
        .await;
    let mut reader = AnswerReader::new(attempt);
    while reader.through_bytes() < 2_000 {
        if let Ok(frame) = AnswerFrame::try_from(entry.receive().await) {
            reader.read(frame);
        }
    }
    drop(first);
    let second = Agent::for_engine(&engine).await;
    let mut entry = Entry::connect(second.handle.address()).await;
    assert_ne!(entry.agent, grant.agent);
    assert_eq!(entry.settle(attempt, grant).await, Settlement::Running);
    entry
        .send(EntryMessage::Resume {
            attempt,
            from_bytes: reader.through_bytes(),
        })
        .await;
    let (_, end) = entry.read_answer(&mut reader).await;
    assert_eq!(end, ReadStep::Whole);
    let request = attempt.request.to_string();
    let whole = direct_answer(400, true, &request).await;
    assert_eq!(reader.through_bytes(), whole.len() as u64);
    assert_eq!(engine.dispatches(&request), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engine_restarted_ends_the_attempt_as_broken_and_rejects_it() {
    let engine = EngineStandIn::spawn(EngineSettings::default())
        .await
        .unwrap();
    let agent = Agent::for_engine(&engine).await;
    let mut entry = Entry::connect(agent.handle.address()).await;
    let (attempt, _) = entry
        .dispatch(reservation(1, 0), completion(200, true))
        .await;
    wait_until(|| engine.counts().dispatches == 1).await;
    engine.restart();
    let mut reader = AnswerReader::new(attempt);
    let (_, end) = entry.read_answer(&mut reader).await;
    assert!(
        matches!(end, ReadStep::Cut(AnswerEnd::Broken { .. })),
        "{end:?}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancel_is_confirmed_by_the_engine() {
    let engine = EngineStandIn::spawn(EngineSettings::default())
        .await
        .unwrap();
    let agent = Agent::for_engine(&engine).await;
    let mut entry = Entry::connect(agent.handle.address()).await;
    let (attempt, _) = entry
        .dispatch(reservation(1, 0), completion(5_000, true))
        .await;
    wait_until(|| engine.counts().dispatches == 1).await;
    entry.send(EntryMessage::Cancel { attempt }).await;
    let mut reader = AnswerReader::new(attempt);
    let (_, end) = entry.read_answer(&mut reader).await;
    assert_eq!(end, ReadStep::Cut(AnswerEnd::Cancelled));
    assert_eq!(engine.counts().cancelled, 1);
    assert_eq!(engine.load().running, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn service_answer_lost_is_in_doubt_and_sent_once() {
    // The service runs the call, and its connection closes before the answer. No library may
    // send the call again, and the call must not be reported as not run.
    let service = ServiceStandIn::spawn().await.unwrap();
    let agent = Agent::for_upstream(Upstream {
        url: service.url().into(),
        serves: Serves::Service("refunds".into()),
        ..upstream(2)
    })
    .await;
    let mut entry = Entry::connect(agent.handle.address()).await;
    let refund = |id| Reservation {
        target: Target::Service("refunds".into()),
        non_idempotent: true,
        ..reservation(id, 0)
    };
    let call = || Call {
        method: "PUT".into(),
        path: "/refunds/7?day=2".into(),
        headers: vec![("x-own".into(), Bytes::from_static(b"kept"))],
        body: "credit 5".into(),
    };
    let (attempt, _) = entry.dispatch(refund(1), call()).await;
    let (body, end) = entry.read_answer(&mut AnswerReader::new(attempt)).await;
    assert_eq!((body, end), (b"credit 5".to_vec(), ReadStep::Whole));

    service.lose_next_answers(1);
    let (attempt, grant) = entry.dispatch(refund(2), call()).await;
    let (_, end) = entry.read_answer(&mut AnswerReader::new(attempt)).await;
    assert!(
        matches!(end, ReadStep::Cut(AnswerEnd::InDoubt { .. })),
        "{end:?}"
    );
    assert_eq!(entry.settle(attempt, grant).await, Settlement::InDoubt);
    assert_eq!(service.calls_of(&attempt.request.to_string()), 1);
    assert_eq!(service.calls()[0].path, "/refunds/7?day=2");
    assert_eq!(service.calls()[0].headers["x-own"], "kept");
}

/// Starts a service that sends so many bytes of an answer to each call, and closes. Returns its URL.
async fn spawn_cut_service(answer: &'static str, bytes: Arc<AtomicUsize>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let bytes = Arc::clone(&bytes);
            tokio::spawn(async move {
                let mut received = vec![0; 4_096];
                let length = stream.read(&mut received).await.unwrap_or_default();
                let is_call = received[..length].starts_with(b"PUT");
                let sent = if is_call {
                    bytes.load(Ordering::SeqCst)
                } else {
                    answer.len()
                };
                let _closed = stream.write_all(&answer.as_bytes()[..sent]).await;
            });
        }
    });
    url
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn service_answer_cut_in_its_head_is_in_doubt() {
    // Guards against an answer whose head is not over, passed on as a success with an empty or short body.
    const ANSWER: &str = "HTTP/1.1 200 OK\r\nX-Own: kept\r\nContent-Length: 8\r\n\r\ncredit 5";
    let bytes = Arc::new(AtomicUsize::new(0));
    let agent = Agent::for_upstream(Upstream {
        url: spawn_cut_service(ANSWER, Arc::clone(&bytes)).await.into(),
        serves: Serves::Service("refunds".into()),
        ..upstream(2)
    })
    .await;
    let mut entry = Entry::connect(agent.handle.address()).await;
    for (id, cut) in (0..ANSWER.len()).step_by(3).enumerate() {
        bytes.store(cut, Ordering::SeqCst);
        let refund = Reservation {
            target: Target::Service("refunds".into()),
            non_idempotent: true,
            ..reservation(id as u128 + 1, 0)
        };
        let call = Call {
            method: "PUT".into(),
            path: "/refunds/7".into(),
            headers: Vec::new(),
            body: "credit 5".into(),
        };
        let (attempt, grant) = entry.dispatch(refund, call).await;
        let (_, end) = entry.read_answer(&mut AnswerReader::new(attempt)).await;
        assert!(
            matches!(end, ReadStep::Cut(AnswerEnd::InDoubt { .. })),
            "after {cut} bytes: {end:?}"
        );
        assert_eq!(entry.settle(attempt, grant).await, Settlement::InDoubt);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn upstream_gone_is_not_sent() {
    let service = ServiceStandIn::spawn().await.unwrap();
    let agent = Agent::for_upstream(Upstream {
        url: service.url().into(),
        serves: Serves::Service("refunds".into()),
        ..upstream(2)
    })
    .await;
    let mut entry = Entry::connect(agent.handle.address()).await;
    let refund = Reservation {
        target: Target::Service("refunds".into()),
        ..reservation(1, 0)
    };
    let grant = entry.granted(refund).await;
    let address = service.address();
    drop(service);
    // The listener closes a moment later; until then it accepts and resets connections.
    while TcpStream::connect(address).await.is_ok() {
        tokio::task::yield_now().await;
    }
    entry
        .send(EntryMessage::Dispatch {
            grant,
            attempt: attempt(1),
            retain: false,
            call: completion(1, false),
        })
        .await;
    let (_, end) = entry.read_answer(&mut AnswerReader::new(attempt(1))).await;
    assert_eq!(end, ReadStep::Cut(AnswerEnd::NotSent));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_and_shut_down_cut_off_nothing_in_flight() {
    let engine = EngineStandIn::spawn(EngineSettings::default())
        .await
        .unwrap();
    let Agent { handle, catalog } = Agent::for_engine(&engine).await;
    let mut entry = Entry::connect(handle.address()).await;
    let (attempt, _) = entry
        .dispatch(reservation(1, 0), completion(100, true))
        .await;
    wait_until(|| engine.counts().dispatches == 1).await;
    let draining = Upstream {
        url: engine.url().into(),
        activity: Activity::Draining,
        ..upstream(4)
    };
    catalog.send_replace(catalog_of(draining));
    let ending = tokio::spawn(handle.shut_down());
    let mut reader = AnswerReader::new(attempt);
    let (_, end) = entry.read_answer(&mut reader).await;
    assert_eq!(end, ReadStep::Whole);
    assert!(!ending.is_finished(), "the answer is not acknowledged yet");
    entry.send(EntryMessage::Reserve(reservation(2, 0))).await;
    let AgentMessage::Refuse { reason, .. } = entry.receive().await else {
        panic!("a leaving agent refuses");
    };
    assert_eq!(reason, RefusalReason::Leaving);
    let through_bytes = reader.through_bytes();
    entry
        .send(EntryMessage::Acknowledge {
            attempt,
            through_bytes,
        })
        .await;
    timeout(CAP, ending).await.unwrap().unwrap();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engine_that_refuses_returns_only_idempotent_requests() {
    // The engine answers 503. An idempotent request is cancelled by its id and reported as
    // broken, so that its entry can try another engine. For any other request the caller gets
    // the 503, since "broken" would make its outcome unknown.
    let engine = EngineStandIn::spawn(EngineSettings::default())
        .await
        .unwrap();
    let agent = Agent::for_engine(&engine).await;
    let mut entry = Entry::connect(agent.handle.address()).await;
    engine.refuse_with(Some(503));
    let (attempt, _) = entry.dispatch(reservation(1, 0), completion(5, true)).await;
    let (_, end) = entry.read_answer(&mut AnswerReader::new(attempt)).await;
    assert!(
        matches!(end, ReadStep::Cut(AnswerEnd::Broken { .. })),
        "{end:?}"
    );
    let letter = Reservation {
        non_idempotent: true,
        ..reservation(2, 0)
    };
    let (attempt, _) = entry.dispatch(letter, completion(5, true)).await;
    let (_, end) = entry.read_answer(&mut AnswerReader::new(attempt)).await;
    assert_eq!(end, ReadStep::Whole);
}
