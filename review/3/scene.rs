//! An entry is stopped while requests wait for a place at a worker.

#![allow(dead_code)]

#[path = "../standins/common.rs"]
mod common;

use std::collections::BTreeSet;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::BROKEN;
use common::Entry;
use common::HELD;
use common::NOT_RUN;
use common::Net;
use common::Record;
use common::Store;
use common::read_message;

const WORKERS: u8 = 2;
const SLOTS: u32 = 6;
/// Twice as many as there are places.
const REQUESTERS: usize = 24;
/// The places stay taken until the process has ended.
const WORK: Duration = Duration::from_secs(9);
/// The longest deadline and timeout of the sheet.
const DEADLINE_MS: u64 = 10_000;
/// From the requests to the SIGTERM.
const STOPPED_AFTER: Duration = Duration::from_millis(300);
/// `graceS` of the settings, after which the platform kills the process.
const GRACE: Duration = Duration::from_secs(8);
/// `lossSlackMs` of the settings.
const LOSS_SLACK: Duration = Duration::from_millis(200);

type Started = Arc<Mutex<BTreeSet<String>>>;

fn start_worker(number: u8, listener: TcpListener, record: &Record, started: &Started) {
    let (record, started) = (record.clone(), Arc::clone(started));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, started) = (record.clone(), Arc::clone(&started));
            thread::spawn(move || serve(number, stream, &record, &started));
        }
    });
}

fn serve(number: u8, stream: TcpStream, record: &Record, started: &Started) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader).ok()? {
        let id = request.id().to_owned();
        record.line(&format!("worker {number} runs {id}"));
        started.lock().expect("the set").insert(id.clone());
        thread::sleep(WORK);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: 3e1b.{number}\r\n\
             Content-Length: 2\r\n\r\nok"
        );
        writer.write_all(answer.as_bytes()).ok()?;
        record.line(&format!("worker {number} has answered {id}"));
    }
    Some(())
}

/// How a request ended for its requester.
struct Outcome {
    id: String,
    /// Status of a whole answer; none if the channel ended without one.
    status: Option<u16>,
    after: Duration,
}

fn requester(number: usize, callers: SocketAddr, record: &Record) -> Outcome {
    let id = format!("5a{number:06x}");
    let began = Instant::now();
    let exchange = || -> io::Result<Option<u16>> {
        let mut stream = TcpStream::connect(callers)?;
        stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
        record.line(&format!("requester {number} sends {id}"));
        let path = format!("/checkin/{number}");
        stream.write_all(&common::request("POST", &path, &id, DEADLINE_MS, b"{}"))?;
        let answer = read_message(&mut BufReader::new(stream))?;
        Ok(answer
            .filter(|answer| answer.is_whole)
            .map(|answer| answer.status()))
    };
    let result = exchange();
    let status = *result.as_ref().unwrap_or(&None);
    let shown = match &result {
        Ok(Some(status)) => status.to_string(),
        Ok(None) => "the end of the channel".to_owned(),
        Err(error) => error.to_string(),
    };
    record.line(&format!("requester {number} gets {shown} for {id}"));
    Outcome {
        id,
        status,
        after: began.elapsed(),
    }
}

fn case(record: &Record, folder: &Path, net: Net) -> io::Result<i32> {
    let store = Store::start(net.ip(1))?;
    let routes = [common::route("checkin", "unsafe", DEADLINE_MS, 0, 1)];
    store.put("config", "main", &common::config(7, &routes));
    let started = Started::default();
    for number in 1..=WORKERS {
        let listener = TcpListener::bind((net.ip(10 + number), 0))?;
        let entry = common::worker_entry("returns-app", listener.local_addr()?, SLOTS, "ready");
        store.put("servers", &format!("i-{number}"), &entry);
        start_worker(number, listener, record, &started);
    }
    let mut entry = Entry::start(folder, net.ip(2), store.address, &[])?;
    if !entry.wait_in_touch() {
        record.line("the entry is not ready");
        return Ok(NOT_RUN);
    }
    let requesters: Vec<_> = (0..REQUESTERS)
        .map(|number| {
            let (callers, record) = (entry.callers, record.clone());
            thread::spawn(move || requester(number, callers, &record))
        })
        .collect();
    thread::sleep(STOPPED_AFTER);
    if common::has_trouble() {
        record.line("SIGTERM");
        entry.terminate();
        let until = Instant::now() + GRACE;
        while !entry.has_ended() && Instant::now() < until {
            thread::sleep(Duration::from_millis(10));
        }
        record.line(&format!(
            "the process has ended by itself: {}",
            entry.has_ended()
        ));
        entry.kill();
    }
    let outcomes: Vec<Outcome> = requesters
        .into_iter()
        .map(|requester| requester.join().expect("a requester"))
        .collect();
    let started = started.lock().expect("the set").clone();
    let mut is_broken = false;
    for outcome in &outcomes {
        // What a worker had is excused by the rule: it was still at work at the end.
        let is_lost = outcome.status.is_none()
            && !started.contains(&outcome.id)
            && outcome.after > LOSS_SLACK;
        if is_lost {
            is_broken = true;
            record.line(&format!(
                "LOST: {} was read, passed on to nobody, and had no answer after {} ms",
                outcome.id,
                outcome.after.as_millis()
            ));
        }
    }
    Ok(if is_broken { BROKEN } else { HELD })
}

fn main() {
    common::run(case);
}
