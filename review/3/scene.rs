//! Workers of one service read slowly, and an entry holds the bodies of all requests that wait for them.

#![allow(dead_code)]

#[path = "../standins/common.rs"]
mod common;

use std::collections::BTreeSet;
use std::io;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
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
/// The longest deadline and timeout of the sheet.
const DEADLINE_MS: u64 = 10_000;
/// `maxBodyBytes` of the config is 4,194,304.
const BODY_BYTES: usize = 4_000_000;
/// How often a requester sends such a body.
const UPLOAD_INTERVAL: Duration = Duration::from_millis(100);
/// A slow worker reads so much at a time, at this interval: 500 kB a second.
const PART_BYTES: usize = 50_000;
const PART_INTERVAL: Duration = Duration::from_millis(100);
/// Requesters of the sound service, one request at a time each, and the work of a request.
const REQUESTERS: usize = 10;
const WORK: Duration = Duration::from_millis(400);
const LENGTH: Duration = Duration::from_secs(25);
/// `memoryMb` of the settings, above which the platform kills a process.
const MEMORY_KB: u64 = 260 << 10;
/// After which it starts the process again.
const RESTART: Duration = Duration::from_secs(1);
/// More than so many channels that are closed without an answer break the rule.
const MOST_LOST: usize = 3;

/// Ids that the sound worker has begun to work on.
type Started = Arc<Mutex<BTreeSet<String>>>;

fn answer(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: 3e1b.1\r\nContent-Length: 2\r\n\r\nok"
    )
}

/// Serves a channel of the sound service.
fn serve_sound(stream: TcpStream, started: &Started) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader).ok()? {
        started.lock().expect("the set").insert(request.id().to_owned());
        thread::sleep(WORK);
        writer.write_all(answer(request.id()).as_bytes()).ok()?;
    }
    Some(())
}

/// Serves a channel of the service whose workers may read slowly.
fn serve_upload(stream: TcpStream, number: u8, record: &Record) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_head(&mut reader).ok()? {
        record.line(&format!("worker {number} begins to read {}", head.id()));
        let mut left: usize = head.header("content-length")?.parse().ok()?;
        let mut part = vec![0; PART_BYTES];
        while left > 0 {
            let most = left.min(part.len());
            reader.read_exact(&mut part[..most]).ok()?;
            left -= most;
            if common::has_trouble() {
                thread::sleep(PART_INTERVAL);
            }
        }
        writer.write_all(answer(head.id()).as_bytes()).ok()?;
        record.line(&format!("worker {number} has run {}", head.id()));
    }
    Some(())
}

fn upload(number: usize, callers: SocketAddr, body: &[u8], record: &Record) {
    let id = format!("0b{number:06x}");
    let exchange = || -> io::Result<u16> {
        let mut stream = TcpStream::connect(callers)?;
        stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
        let path = format!("/upload/{number}");
        stream.write_all(&common::request("POST", &path, &id, DEADLINE_MS, body))?;
        let answer = read_message(&mut BufReader::new(stream))?;
        Ok(answer.ok_or(io::ErrorKind::UnexpectedEof)?.status())
    };
    record.line(&format!("upload {id} is sent"));
    let result = exchange();
    record.line(&format!("upload {id} gets {result:?}"));
}

/// A request that ended without an answer on a channel that had carried others.
struct Lost {
    id: String,
}

/// Sends small requests one after the other on a kept channel.
fn requester(number: usize, callers: SocketAddr, ended: &AtomicBool) -> (usize, Vec<Lost>) {
    let (mut count, mut answered, mut lost) = (0, 0, Vec::new());
    let mut channel: Option<(BufReader<TcpStream>, TcpStream)> = None;
    let mut on_channel = 0;
    while !ended.load(Ordering::Relaxed) {
        count += 1;
        let id = format!("{number:02x}{count:06x}");
        let mut exchange = || -> io::Result<()> {
            if channel.is_none() {
                let stream = TcpStream::connect(callers)?;
                stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
                channel = Some((BufReader::new(stream.try_clone()?), stream));
                on_channel = 0;
            }
            let (reader, writer) = channel.as_mut().expect("a channel");
            let path = format!("/checkin/{count}");
            writer.write_all(&common::request("POST", &path, &id, DEADLINE_MS, b"{}"))?;
            let answer = read_message(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if answer.header("connection").is_some_and(|value| value == "close") {
                channel = None;
            }
            Ok(())
        };
        if exchange().is_ok() {
            answered += 1;
            on_channel += 1;
        } else {
            channel = None;
            if on_channel > 0 {
                lost.push(Lost { id });
            }
            on_channel = 0;
            thread::sleep(Duration::from_millis(100));
        }
    }
    (answered, lost)
}

/// Resident memory of a process.
fn resident_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

fn case(record: &Record, folder: &Path, net: Net) -> io::Result<i32> {
    let store = Store::start(net.ip(1))?;
    let upload_route =
        common::route("upload", "unsafe", DEADLINE_MS, 0, 1).replace("returns-app", "archive-app");
    let routes = [common::route("checkin", "unsafe", DEADLINE_MS, 0, 1), upload_route];
    store.put("config", "main", &common::config(7, &routes));
    let started = Started::default();
    for number in 1..=4 {
        let listener = TcpListener::bind((net.ip(10 + number), 0))?;
        let is_sound = number <= 2;
        let service = if is_sound { "returns-app" } else { "archive-app" };
        let entry = common::worker_entry(service, listener.local_addr()?, SLOTS, "ready");
        store.put("servers", &format!("i-{number}"), &entry);
        let (record, started) = (record.clone(), Arc::clone(&started));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, started) = (record.clone(), Arc::clone(&started));
                thread::spawn(move || {
                    if is_sound {
                        serve_sound(stream, &started)
                    } else {
                        serve_upload(stream, number, &record)
                    }
                });
            }
        });
    }
    let mut entry = Entry::start(folder, net.ip(2), store.address, &[])?;
    if !entry.wait_in_touch() {
        record.line("the entry is not ready");
        return Ok(NOT_RUN);
    }
    let callers = entry.callers;
    let ended = Arc::new(AtomicBool::new(false));
    let requesters: Vec<_> = (0..REQUESTERS)
        .map(|number| {
            let ended = Arc::clone(&ended);
            thread::spawn(move || requester(number, callers, &ended))
        })
        .collect();
    let uploading = {
        let (ended, record) = (Arc::clone(&ended), record.clone());
        thread::spawn(move || {
            let mut uploads = Vec::new();
            let body: Arc<[u8]> = vec![b'k'; BODY_BYTES].into();
            while !ended.load(Ordering::Relaxed) {
                let (number, record, body) = (uploads.len(), record.clone(), Arc::clone(&body));
                uploads.push(thread::spawn(move || upload(number, callers, &body, &record)));
                thread::sleep(UPLOAD_INTERVAL);
            }
            uploads
        })
    };
    let until = Instant::now() + LENGTH;
    let (mut most_kb, mut kills) = (0, 0);
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(20));
        let kb = resident_kb(entry.pid());
        most_kb = most_kb.max(kb);
        if kb > MEMORY_KB {
            kills += 1;
            record.line(&format!("the process has {kb} kB; the platform kills it"));
            entry.kill();
            thread::sleep(RESTART);
            entry = Entry::start(folder, net.ip(2), store.address, &[])?;
        }
    }
    ended.store(true, Ordering::Relaxed);
    let started_ids = |lost: &Lost| started.lock().expect("the set").contains(&lost.id);
    let (mut answered, mut lost_count) = (0, 0);
    for requester in requesters {
        let (count, lost) = requester.join().expect("a requester");
        answered += count;
        for lost in lost.iter().filter(|lost| started_ids(lost)) {
            lost_count += 1;
            record.line(&format!(
                "LOST: {} was passed on to a sound worker, and its kept channel was closed",
                lost.id
            ));
        }
    }
    for upload in uploading.join().expect("the uploads") {
        let _ = upload.join();
    }
    record.line(&format!(
        "{answered} small requests answered; {most_kb} kB at most of {MEMORY_KB} kB; {kills} kills"
    ));
    if answered == 0 {
        return Ok(NOT_RUN);
    }
    Ok(if lost_count > MOST_LOST { BROKEN } else { HELD })
}

fn main() {
    common::run(case);
}
