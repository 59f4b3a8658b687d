//! An entry is stopped while requesters read long answers slowly.

#![allow(dead_code)]

#[path = "../standins/common.rs"]
mod common;

use std::io;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
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
use common::read_head;
use common::read_message;

const SLOTS: u32 = 6;
const REQUESTERS: usize = 3;
const ANSWER_BYTES: usize = 4_000_000;
const DEADLINE_MS: u64 = 10_000;
/// A requester reads so much at a time, at this interval: the whole answer in some 7 s.
const PART_BYTES: usize = 58_000;
const PART_INTERVAL: Duration = Duration::from_millis(100);
const RECEIVE_BYTES: i32 = 64 << 10;
/// From the requests to the SIGTERM.
const STOPPED_AFTER: Duration = Duration::from_millis(500);
/// `graceS` of the settings, after which the platform kills the process.
const GRACE: Duration = Duration::from_secs(8);

fn start_worker(listener: TcpListener, record: &Record) {
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || serve(stream, &record));
        }
    });
}

fn serve(stream: TcpStream, record: &Record) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader).ok()? {
        let id = request.id().to_owned();
        record.line(&format!("the worker runs {id}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: 3e1b.1\r\n\
             Content-Length: {ANSWER_BYTES}\r\n\r\n"
        );
        writer.write_all(&[head.as_bytes(), &vec![b'k'; ANSWER_BYTES]].concat()).ok()?;
        record.line(&format!("the worker has answered {id}"));
    }
    Some(())
}

/// Returns whether the whole answer came.
fn requester(number: usize, callers: SocketAddr, record: &Record) -> bool {
    let id = format!("7c{number:06x}");
    let began = Instant::now();
    let mut bytes = 0;
    let mut exchange = || -> io::Result<u16> {
        let mut stream = common::connect_with_small_window(callers, RECEIVE_BYTES)?;
        stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
        record.line(&format!("requester {number} sends {id}"));
        let path = format!("/lookup/{number}");
        stream.write_all(&common::request("GET", &path, &id, DEADLINE_MS, b""))?;
        let mut reader = BufReader::new(stream);
        let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let mut part = vec![0; PART_BYTES];
        while bytes < ANSWER_BYTES {
            let most = PART_BYTES.min(ANSWER_BYTES - bytes);
            let mut read = 0;
            while read < most {
                let more = reader.read(&mut part[read..most])?;
                if more == 0 {
                    bytes += read;
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                read += more;
            }
            bytes += read;
            thread::sleep(PART_INTERVAL);
        }
        Ok(head.status())
    };
    let result = exchange();
    let after_ms = began.elapsed().as_millis();
    record.line(&format!(
        "requester {number} gets {result:?} for {id}: {bytes} of {ANSWER_BYTES} bytes, {after_ms} ms"
    ));
    result.is_ok()
}

fn case(record: &Record, folder: &Path, net: Net) -> io::Result<i32> {
    let store = Store::start(net.ip(1))?;
    let routes = [common::route("lookup", "safe", DEADLINE_MS, 0, 2)];
    store.put("config", "main", &common::config(7, &routes));
    let listener = TcpListener::bind((net.ip(11), 0))?;
    let worker = common::worker_entry("returns-app", listener.local_addr()?, SLOTS, "ready");
    store.put("servers", "i-1", &worker);
    start_worker(listener, record);
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
        record.line(&format!("the process has ended by itself: {}", entry.has_ended()));
        entry.kill();
    }
    let whole: Vec<bool> = requesters
        .into_iter()
        .map(|requester| requester.join().expect("a requester"))
        .collect();
    Ok(if whole.contains(&false) { BROKEN } else { HELD })
}

fn main() {
    common::run(case);
}
