//! Stand-ins of the second review: the platform's store, a settings file, a client, and helpers to
//! start, stop and signal processes. Only the standard library is used, so that `rustc` alone builds
//! each case.

#![allow(dead_code, reason = "each case uses a part of this")]

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// The key of the one tenant.
pub const KEY: &str = "key-of-the-review";
/// The tenant's name.
pub const TENANT: &str = "tenant-1";
/// Host name of all routes.
pub const HOST: &str = "review.example";

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    safe fn kill(process: i32, signal: i32) -> i32;
    safe fn listen(socket: i32, backlog: i32) -> i32;
}

/// Sends a signal to a process that the case has started.
pub fn signal(child: &Child, signal: i32) {
    let id = i32::try_from(child.id()).expect("a process id");
    kill(id, signal);
}

/// Whether the case brings the disruption about.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run, line by line with the time since the start.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    path: PathBuf,
    lines: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = fs::File::create(path).expect("record.txt can be written");
        let path = PathBuf::from(path);
        Self { started_at: Instant::now(), path, lines: Arc::new(Mutex::new(file)) }
    }

    /// What was recorded so far.
    pub fn text(&self) -> String {
        fs::read_to_string(&self.path).expect("the record")
    }

    pub fn line(&self, text: &str) {
        let at_ms = self.started_at.elapsed().as_millis();
        let mut file = self.lines.lock().expect("the record");
        writeln!(file, "{at_ms:>6} ms  {text}").expect("a line");
    }
}

/// A request or answer as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Headers by lower-case name.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }
}

fn read_line(from: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

/// Reads a head; none if the peer has closed before its first byte.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let first_line = match read_line(from) {
        Ok(line) => line,
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
        Err(error) => return Err(error),
    };
    let mut message = Message { first_line, ..Message::default() };
    loop {
        let line = read_line(from)?;
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.insert(name.to_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads a whole request; none at the end of the connection.
pub fn read_request(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(from)? else {
        return Ok(None);
    };
    read_body(from, &mut message, false)?;
    Ok(Some(message))
}

/// Reads an answer as a client does. One that breaks off is returned as not whole.
pub fn read_answer(from: &mut impl BufRead) -> io::Result<Message> {
    let mut message = read_head(from)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    message.is_whole = read_body(from, &mut message, true).is_ok();
    Ok(message)
}

fn read_body(from: &mut impl BufRead, message: &mut Message, is_answer: bool) -> io::Result<()> {
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let line = read_line(from)?;
            let length = line.split(';').next().unwrap_or_default();
            let length = usize::from_str_radix(length.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut part = vec![0; length];
            from.read_exact(&mut part)?;
            message.body.extend(part);
            read_line(from)?;
            if length == 0 {
                message.is_whole = true;
                return Ok(());
            }
        }
    }
    if let Ok(length) = message.header("content-length").parse::<usize>() {
        let mut left = length;
        let mut part = [0; 4096];
        while left > 0 {
            let most = left.min(part.len());
            let read = from.read(&mut part[..most])?;
            if read == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            message.body.extend(&part[..read]);
            left -= read;
        }
    } else if is_answer {
        from.read_to_end(&mut message.body)?;
    }
    message.is_whole = true;
    Ok(())
}

/// An object of the store.
#[derive(Clone, Debug)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

#[derive(Clone, Debug)]
struct Event {
    revision: u64,
    kind: String,
    text: String,
}

#[derive(Debug, Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

/// The platform's store: lists, watches and the operator's writes. It answers at once.
#[derive(Clone, Debug)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{},\"status\":null}}",
        object.revision, object.created, object.spec
    )
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let address = listener.local_addr().expect("its address");
        let store = Self { address, state: Arc::default() };
        store.state.0.lock().expect("the store").revision = 100;
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object, as the operator or a worker does. Returning is the confirmation.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.0.lock().expect("the store");
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let created = state.objects.get(&key).map_or(revision, |object| object.created);
        let object = Object { revision, created, spec: spec.to_owned() };
        let text = format!("{{\"deleted\":false,\"object\":{}}}", object_text(name, &object));
        state.objects.insert(key, object);
        state.events.push(Event { revision, kind: kind.to_owned(), text });
        self.state.1.notify_all();
    }

    /// Removes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.state.0.lock().expect("the store");
        let Some(mut object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        state.revision += 1;
        object.revision = state.revision;
        let text = format!("{{\"deleted\":true,\"object\":{}}}", object_text(name, &object));
        let revision = object.revision;
        state.events.push(Event { revision, kind: kind.to_owned(), text });
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let target = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let mut parts = path.trim_start_matches("/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or_default();
        let name = parts.next();
        if request.method() != "GET" {
            return ("404 Not Found", "{}".to_owned());
        }
        if let Some(after) = query.get("watch").and_then(|word| word.parse::<u64>().ok()) {
            let wait_ms = query.get("waitMs").and_then(|word| word.parse().ok()).unwrap_or(0);
            return ("200 OK", self.watch(kind, after, Duration::from_millis(wait_ms)));
        }
        let state = self.state.0.lock().expect("the store");
        if let Some(name) = name {
            return match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                Some(object) => ("200 OK", object_text(name, object)),
                None => ("404 Not Found", "{}".to_owned()),
            };
        }
        let items: Vec<String> = state
            .objects
            .iter()
            .filter(|((of, _), _)| of == kind)
            .map(|((_, name), object)| object_text(name, object))
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"hasMore\":false,\"at\":{}}}",
            items.join(","),
            state.revision
        );
        ("200 OK", body)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().expect("the store");
        loop {
            let events: Vec<&str> = state
                .events
                .iter()
                .filter(|event| event.kind == kind && event.revision > after)
                .map(|event| event.text.as_str())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision);
            }
            state = self.state.1.wait_timeout(state, left).expect("the store").0;
        }
    }
}

/// A worker's entry in the list.
pub fn server_entry(service: &str, address: SocketAddr, state: &str, slots: u32) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"{state}\",\"coldLeftMs\":0,\"sequence\":1}}"
    )
}

/// A configuration with these routes and services, given as JSON.
pub fn configuration(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConns\":96,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\
         \"name\":\"{TENANT}\",\"apiKeys\":[\"{KEY}\"],\"priority\":1,\"unit\":\"token\",\
         \"uncachedTokens\":200,\"ratePerS\":0,\"burst\":0}}]}}",
        routes.join(","),
        services.join(",")
    )
}

/// A route of the configuration.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, timeout_ms: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\
         \"routeType\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"sloMs\":500,\"priority\":1,\
         \"service\":\"{service}\",\"maxAttempts\":2,\"anonymous\":false,\"affinity\":false,\
         \"resumable\":false,\"gapTargetMs\":300}}"
    )
}

/// A port that was free a moment ago. It lies below those that the system gives to outgoing connections.
fn free_port(taken: &mut Vec<u16>) -> u16 {
    let first = 13_000 + u16::try_from(std::process::id() % 7_000).expect("a small number");
    for port in first..first + 10_000 {
        let is_free = !taken.contains(&port) && TcpListener::bind(("127.0.0.1", port)).is_ok();
        if is_free {
            taken.push(port);
            return port;
        }
    }
    panic!("no free port");
}

/// The program under test, started by the command of the deploy file with a settings file like that of a
/// small deployment.
pub struct Entry {
    pub child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    command: EntryCommand,
}

#[derive(Clone)]
struct EntryCommand {
    program: String,
    settings: PathBuf,
    figures_port: u16,
    log: PathBuf,
}

impl EntryCommand {
    fn start(&self) -> Child {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).expect("a log");
        Command::new(&self.program)
            .args(["--figures-port", &self.figures_port.to_string()])
            .env("SARDINEWOOD_NODE_FILE", &self.settings)
            .stdout(Stdio::from(log.try_clone().expect("a log")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the program starts; build it by the deploy file")
    }
}

/// Starts entries that know each other.
pub fn start_entries(count: usize, store: &Store, folder: &Path) -> Vec<Entry> {
    let program = std::env::var("PROGRAM").unwrap_or("target/release/sardinewood-direct".to_owned());
    let mut taken = Vec::new();
    let ports: Vec<[u16; 4]> =
        (0..count).map(|_| std::array::from_fn(|_| free_port(&mut taken))).collect();
    let seeds: Vec<String> =
        ports.iter().take(3).map(|ports| format!("\"127.0.0.1:{}\"", ports[2])).collect();
    let mut entries = Vec::new();
    for (index, [callers, ready, control, figures]) in ports.into_iter().enumerate() {
        let settings = folder.join(format!("node-{index}.json"));
        let text = format!(
            "{{\"nodeName\":\"edge-zone-a-{index}\",\"role\":\"entry\",\"machineClass\":\"edge\",\
             \"serves\":[\"edge\",\"control\"],\"ip\":\"127.0.0.1\",\"zone\":\"zone-a\",\
             \"region\":\"region-1\",\"zones\":{{\"zone-a\":\"region-1\"}},\
             \"listen\":{{\"frontend\":\"127.0.0.1:{callers}\",\"ready\":\"127.0.0.1:{ready}\",\
             \"controlPlane\":\"127.0.0.1:{control}\"}},\"portRange\":[7600,7615],\"seeds\":[{}],\
             \"bootstrap\":true,\"faultCounted\":false,\"limits\":{{\"cpuQuota\":0.19,\"cores\":1,\
             \"memoryMb\":260,\"maxFds\":4100,\"linkMbps\":1000.0,\"diskMb\":0}},\"dataDir\":null,\
             \"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeatMs\":1200,\
             \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\
             \"stream\",\"tenants\",\"quota\",\"platform\"],\
             \"faultTolerance\":{{\"machines\":1,\"zones\":0,\"regions\":0}},\
             \"bounds\":{{\"seedLagS\":3,\"reuseAfterS\":2,\"contactMs\":3000,\"ackMs\":4000,\
             \"catchUpS\":4,\"drainMs\":2000,\"graceS\":8,\"lossSlackMs\":200,\"configMs\":2000,\
             \"rollbackSlackMs\":250,\"outerMs\":5000,\"failClosed\":false,\"revokeMs\":5000,\
             \"retryRatio\":0.2,\"retryWindowS\":10,\"retrySlack\":52,\"quotaWindowS\":8,\
             \"quotaOverage\":0.1,\"quotaSlack\":190000,\"recoverS\":12,\"deliverySlackMs\":120,\
             \"reuseWindowS\":10}},\"platform\":{{\"address\":\"{}\",\"form\":\"objects\",\
             \"writesPerS\":400,\"readsPerS\":2000,\"historyS\":20,\"valueBytes\":1048576,\
             \"ttlMinMs\":1000}}}}",
            seeds.join(","),
            store.address
        );
        fs::write(&settings, text).expect("a settings file");
        let command = EntryCommand {
            program: program.clone(),
            settings,
            figures_port: figures,
            log: folder.join(format!("entry-{index}.log")),
        };
        entries.push(Entry {
            child: command.start(),
            callers: SocketAddr::from(([127, 0, 0, 1], callers)),
            ready: SocketAddr::from(([127, 0, 0, 1], ready)),
            command,
        });
    }
    entries
}

impl Entry {
    pub fn is_ready(&self) -> bool {
        let get = || -> io::Result<u16> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            write!(stream, "GET /readyz HTTP/1.1\r\nHost: {HOST}\r\n\r\n")?;
            Ok(read_head(&mut BufReader::new(stream))?.map_or(0, |head| head.status()))
        };
        get().is_ok_and(|status| status == 200)
    }

    /// Waits until the readiness check succeeds.
    pub fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(20);
        while !self.is_ready() {
            if Instant::now() >= until {
                // Unwinding ends all processes; run.sh exits with 2 then.
                panic!("an entry is not ready after 20 s");
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// What the entry has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.command.log).unwrap_or_default()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The head of a request of the one tenant.
pub fn request_head(method: &str, path: &str, id: &str, deadline_ms: u64, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
         Credential: {KEY}\r\n{more}"
    )
}

/// Sends one request on a channel of its own and reads its answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    body: &[u8],
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(deadline_ms)))?;
    let length = format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = request_head(method, path, id, deadline_ms, &length).into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)?;
    read_answer(&mut BufReader::new(stream))
}

/// A worker in a process of its own, so that it ends as a process does.
pub struct WorkerProcess {
    pub child: Child,
    pub name: String,
    pub address: SocketAddr,
}

/// Starts a worker: this program again, with `worker NAME ADDRESS` and the words that follow. It prints its
/// address as its first line, and then a line for each run, which goes into the record.
pub fn start_worker(name: &str, address: &str, words: &[&str], record: &Record) -> WorkerProcess {
    let own = std::env::current_exe().expect("our own path");
    let mut child = Command::new(own)
        .args(["worker", name, address])
        .args(words)
        .stdout(Stdio::piped())
        .spawn()
        .expect("a worker starts");
    let mut lines = BufReader::new(child.stdout.take().expect("its output"));
    let mut first = String::new();
    lines.read_line(&mut first).expect("its address");
    let address = first.trim().parse().expect("its address");
    let record = record.clone();
    let of = name.to_owned();
    thread::spawn(move || {
        for line in lines.lines().map_while(Result::ok) {
            record.line(&format!("worker {of}: {line}"));
        }
    });
    WorkerProcess { child, name: name.to_owned(), address }
}

impl Drop for WorkerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A temporary folder of the case, which is removed at its end.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    pub fn create(case: &str) -> Self {
        let name = format!("sardinewood-review-{case}-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).expect("a temporary folder");
        Self(folder)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// What a link lets pass.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cut {
    /// It isn't cut.
    #[default]
    None,
    /// Nothing passes in either direction.
    BothWays,
    /// Nothing passes to the worker, no new channels either; what the worker sends passes.
    ToWorker,
}

/// A link to a worker that can be cut. What a cut holds up, bytes and the ends of channels, isn't lost: it
/// passes when the cut has healed.
#[derive(Clone)]
pub struct Link {
    /// Where the worker is reached.
    pub address: SocketAddr,
    cut: Arc<(Mutex<Cut>, Condvar)>,
    listener: Arc<TcpListener>,
    /// Channels that keep the listener's queue full, so that the system drops the opening packets of others.
    fillers: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    pub fn start(to: SocketAddr) -> Self {
        let listener = Arc::new(TcpListener::bind("127.0.0.1:0").expect("a port for the link"));
        let address = listener.local_addr().expect("its address");
        let link = Self { address, cut: Arc::default(), listener, fillers: Arc::default() };
        let accepting = link.clone();
        thread::spawn(move || {
            for near in accepting.listener.incoming().flatten() {
                accepting.wait_while(|cut| cut != Cut::None);
                let link = accepting.clone();
                thread::spawn(move || link.carry(near, to));
            }
        });
        link
    }

    pub fn set_cut(&self, cut: Cut) {
        *self.cut.0.lock().expect("the link") = cut;
        self.cut.1.notify_all();
        if cut == Cut::ToWorker {
            self.drop_opening_packets();
        } else {
            self.fillers.lock().expect("the channels").clear();
            listen(self.listener.as_raw_fd(), 128);
        }
    }

    /// Fills the queue of channels that wait to be accepted.
    fn drop_opening_packets(&self) {
        listen(self.listener.as_raw_fd(), 0);
        let connect = || TcpStream::connect_timeout(&self.address, Duration::from_millis(100));
        // The thread that accepts takes one channel more from the queue, so it is filled twice.
        for _ in 0..2 {
            while let Ok(filler) = connect() {
                self.fillers.lock().expect("the channels").push(filler);
            }
        }
    }

    fn wait_while(&self, is_held: impl Fn(Cut) -> bool) {
        let cut = self.cut.0.lock().expect("the link");
        drop(self.cut.1.wait_while(cut, |cut| is_held(*cut)).expect("the link"));
    }

    fn carry(&self, near: TcpStream, to: SocketAddr) {
        // A worker that refuses the channel: the link closes it at once.
        let Ok(far) = TcpStream::connect(to) else { return };
        let streams = (near.try_clone(), far.try_clone());
        let (Ok(near_reader), Ok(far_reader)) = streams else { return };
        let link = self.clone();
        let back = thread::spawn(move || link.pass(far_reader, near, |cut| cut == Cut::BothWays));
        self.pass(near_reader, far, |cut| cut != Cut::None);
        let _ = back.join();
    }

    fn pass(&self, mut from: TcpStream, mut to: TcpStream, is_held: impl Fn(Cut) -> bool) {
        let _ = to.set_nodelay(true);
        let mut bytes = [0; 16_384];
        loop {
            let read = from.read(&mut bytes);
            self.wait_while(&is_held);
            match read {
                Ok(count) if count > 0 && to.write_all(&bytes[..count]).is_ok() => {}
                _ => {
                    let _ = to.shutdown(std::net::Shutdown::Write);
                    return;
                }
            }
        }
    }
}
