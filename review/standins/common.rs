//! Stand-ins for the platform's store, and helpers for workers, requesters and processes.
//!
//! Only the standard library is used, so that `rustc` builds the cases without a network.

use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::os::fd::AsRawFd;
use std::os::fd::FromRawFd;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
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
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// The rule was kept.
pub const HELD: i32 = 0;
/// The rule was broken.
pub const BROKEN: i32 = 1;
/// The case could not run.
pub const NOT_RUN: i32 = 2;
/// A case ends by itself before the limit of 120 s.
const WATCHDOG: Duration = Duration::from_secs(110);
/// Where the deploy file has the metrics.
const METRICS_PORT: u16 = 9_464;
/// `contactMs` of the settings.
const CONTACT: Duration = Duration::from_secs(3);
/// The host name of the routes.
pub const HOST: &str = "returns.example";
/// The key of the one tenant.
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// Writes `record.txt`: one line for each thing that was sent, answered or run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            began: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let at_ms = self.began.elapsed().as_millis();
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{at_ms:>6} ms  {text}");
    }
}

/// Whether the disruption is to take place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A loopback network of this run: 127.A.B.0/24.
#[derive(Clone, Copy)]
pub struct Net {
    a: u8,
    b: u8,
}

impl Net {
    /// A network that nobody else seems to use.
    pub fn free() -> io::Result<Self> {
        const TRIES: u32 = 100;
        let nanos = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_err(io::Error::other)?;
        let mut seed = nanos.subsec_nanos() ^ std::process::id().wrapping_mul(2_654_435_761);
        for _ in 0..TRIES {
            seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let net = Self {
                a: 16 + (seed >> 8 & 0x7f) as u8,
                b: (seed >> 16 & 0xff) as u8,
            };
            // The program's metrics have a fixed port, so each entry needs an address of its own.
            let is_free =
                (1..=9).all(|host| TcpListener::bind((net.ip(host), METRICS_PORT)).is_ok());
            if is_free {
                return Ok(net);
            }
        }
        Err(io::Error::other(
            "the port of the metrics is taken at all addresses",
        ))
    }

    pub fn ip(self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.a, self.b, host)
    }
}

/// The head and body of an HTTP message.
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn id(&self) -> &str {
        self.header("attempt-id").unwrap_or("none")
    }
}

fn line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut text = String::new();
    if reader.read_line(&mut text)? == 0 {
        return Ok(None);
    }
    Ok(Some(text.trim_end().to_owned()))
}

/// Reads a head; none if the connection ended before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(first) = line(reader)? else {
        return Ok(None);
    };
    let mut headers = Vec::new();
    loop {
        let Some(text) = line(reader)? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    Ok(Some(Message {
        first,
        headers,
        body: Vec::new(),
        is_whole: false,
    }))
}

/// Reads a message with a length or in chunks. An error within the body leaves `is_whole` false.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    let result = if is_chunked {
        read_chunks(reader, &mut message.body)
    } else {
        let length = message.header("content-length");
        let length: u64 = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        let read = reader.take(length).read_to_end(&mut message.body);
        read.map(|read| read as u64 == length)
    };
    message.is_whole = result.unwrap_or(false);
    Ok(Some(message))
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<bool> {
    loop {
        let Some(size) = line(reader)? else {
            return Ok(false);
        };
        let Ok(size) = u64::from_str_radix(size.trim(), 16) else {
            return Ok(false);
        };
        let read = reader.take(size).read_to_end(body)?;
        if (read as u64) < size {
            return Ok(false);
        }
        if line(reader)?.is_none() {
            return Ok(false);
        }
        if size == 0 {
            return Ok(true);
        }
    }
}

#[derive(Default)]
struct Objects {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    changes: Vec<(u64, String, String)>,
}

/// The platform's store: lists and watches.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<Objects>, Condvar)>,
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.0.lock().expect("the objects");
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        state.objects.insert(key, (revision, spec.to_owned()));
        let event = format!(
            "{{\"deleted\":false,\"object\":{}}}",
            object(name, revision, spec)
        );
        state.changes.push((revision, kind.to_owned(), event));
        self.state.1.notify_all();
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.state.0.lock().expect("the objects");
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let Some((_, spec)) = state.objects.remove(&key) else {
            return;
        };
        let event = format!(
            "{{\"deleted\":true,\"object\":{}}}",
            object(name, revision, &spec)
        );
        state.changes.push((revision, kind.to_owned(), event));
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(call)) = read_message(&mut reader) {
            let body = self.answer(&call);
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer
                .write_all(&[head.as_bytes(), body.as_bytes()].concat())
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> String {
        let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
        let kind = path.trim_start_matches("/objects/");
        let number = |name: &str| {
            let mut parts = query.split('&');
            let value = parts.find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
            value.and_then(|value| value.parse::<u64>().ok())
        };
        let mut state = self.state.0.lock().expect("the objects");
        let Some(after) = number("watch") else {
            let items: Vec<String> = state
                .objects
                .iter()
                .filter(|((of, _), _)| of == kind)
                .map(|((_, name), (revision, spec))| object(name, *revision, spec))
                .collect();
            return format!(
                "{{\"items\":[{}],\"hasMore\":false,\"at\":{}}}",
                items.join(","),
                state.revision
            );
        };
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        loop {
            let events: Vec<&str> = state
                .changes
                .iter()
                .filter(|(revision, of, _)| of == kind && *revision > after)
                .map(|(_, _, event)| event.as_str())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"at\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            state = self
                .state
                .1
                .wait_timeout(state, left)
                .expect("the objects")
                .0;
        }
    }
}

/// A worker's entry in the store.
pub fn worker_entry(service: &str, address: SocketAddr, slots: u32, state: &str) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"whk-hall-a\",\
         \"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"coldLeftMs\":0,\"sequence\":4}}"
    )
}

/// A route of the config.
pub fn route(name: &str, kind: &str, timeout_ms: u64, priority: u8, attempts: u32) -> String {
    format!(
        "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\
         \"routeType\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"sloMs\":150,\"priority\":{priority},\
         \"service\":\"returns-app\",\"maxAttempts\":{attempts},\"anonymous\":false,\
         \"resumable\":false}}"
    )
}

/// A config with these routes, the limits of the pages, and one tenant without an allotment.
pub fn config(version: u64, routes: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"returns-app\",\
         \"healthPath\":\"/healthz\",\"maxConns\":96,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"rundu\",\"apiKeys\":[\"{KEY}\"],\
         \"priority\":0,\"unit\":\"token\",\"uncachedTokens\":200,\"ratePerS\":0,\"burst\":0}}]}}",
        routes.join(",")
    )
}

const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddress, length: u32) -> i32;
}

/// `struct sockaddr_in`.
#[repr(C)]
struct SocketAddress {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

/// Connects like a requester on a common network: with packets of Ethernet's size in place of the
/// loopback's 64 KiB, and a receive buffer of this size in place of one that grows to megabytes.
pub fn connect_with_small_window(to: SocketAddr, receive_bytes: i32) -> io::Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    const ETHERNET_SEGMENT_BYTES: i32 = 1_448;
    let SocketAddr::V4(to) = to else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let address = SocketAddress {
        family: AF_INET as u16,
        port: to.port().to_be_bytes(),
        ip: to.ip().octets(),
        zero: [0; 8],
    };
    let check = |result: i32| match result {
        -1 => Err(io::Error::last_os_error()),
        result => Ok(result),
    };
    // SAFETY: the socket is owned by the stream from its creation on; all pointers are to values that
    // outlive the calls, with their sizes.
    unsafe {
        let stream = TcpStream::from_raw_fd(check(socket(AF_INET, SOCK_STREAM, 0))?);
        let fd = stream.as_raw_fd();
        check(setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, 4))?;
        check(setsockopt(
            fd,
            IPPROTO_TCP,
            TCP_MAXSEG,
            &ETHERNET_SEGMENT_BYTES,
            4,
        ))?;
        check(connect(fd, &address, size_of::<SocketAddress>() as u32))?;
        Ok(stream)
    }
}

/// Processes that were started here and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Notes a process that is to be ended with this one.
pub fn note_started(pid: u32) {
    STARTED.lock().expect("the processes").push(pid);
}

/// Notes that a process was waited for.
pub fn note_ended(pid: u32) {
    STARTED
        .lock()
        .expect("the processes")
        .retain(|started| *started != pid);
}

/// Sends a signal to a process that was started here.
fn signal(pid: u32, number: i32) {
    // SAFETY: the call takes two numbers, and touches no memory of this process.
    unsafe { kill(pid as i32, number) };
}

/// One of the project's entries, started as the deploy file says.
pub struct Entry {
    child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
}

/// Reads the command of the deploy file's one role.
fn deployed_command() -> io::Result<Vec<String>> {
    let deploy = std::fs::read_to_string("deploy/system.toml")?;
    let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
    let run = run.ok_or_else(|| io::Error::other("deploy/system.toml has no command"))?;
    let words = run.trim().trim_matches('"').split(' ');
    Ok(words.map(str::to_owned).collect())
}

/// A port that is free for TCP and UDP. Nobody else uses the addresses of this run's network.
fn free_port(ip: Ipv4Addr) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    UdpSocket::bind(address)?;
    Ok(address)
}

impl Entry {
    /// Starts an entry at an address, with settings as `fleetbench wire` prints them.
    pub fn start(
        folder: &Path,
        ip: Ipv4Addr,
        store: SocketAddr,
        seeds: &[SocketAddr],
    ) -> io::Result<Self> {
        let (callers, ready, control) = (free_port(ip)?, free_port(ip)?, free_port(ip)?);
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let settings = format!(
            r#"{{
 "nodeName":"edge-{ip}","role":"entry","machineClass":"edge","serves":["edge","control"],
 "ip":"{ip}","zone":"whk-hall-a","region":"nam-central","zones":{{"whk-hall-a":"nam-central"}},
 "listen":{{"frontend":"{callers}","ready":"{ready}","controlPlane":"{control}"}},
 "portRange":[7600,7615],"seeds":[{}],"bootstrap":true,"faultCounted":false,
 "limits":{{"cpuQuota":0.19,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},
 "dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1200,
 "contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","platform"],
 "faultTolerance":{{"machines":1,"zones":0,"regions":0}},
 "bounds":{{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,
  "graceS":8,"lossSlackMs":200,"configMs":2000,"rollbackSlackMs":250,"outerMs":5000,
  "failClosed":false,"revokeMs":5000,"retryRatio":0.2,"retryWindowS":10,"retrySlack":52,
  "quotaWindowS":8,"quotaOverage":0.1,"quotaSlack":190000,"recoverS":12,"deliverySlackMs":120,
  "reuseWindowS":10}},
 "platform":{{"address":"{store}","form":"objects","writesPerS":400,"readsPerS":2000,"historyS":20,
  "valueBytes":1048576,"ttlMinMs":1000}}
}}"#,
            seeds.join(",")
        );
        let file = folder.join(format!("node-{ip}.json"));
        std::fs::write(&file, settings)?;
        let log = File::create(folder.join(format!("node-{ip}.log")))?;
        let words = deployed_command()?;
        let child = Command::new(&words[0])
            .args(&words[1..])
            .env_clear()
            .env("SARDINEWOOD_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        note_started(child.id());
        Ok(Self {
            child,
            callers,
            ready,
            control,
        })
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut stream = TcpStream::connect(self.ready)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")?;
            let answer = read_head(&mut BufReader::new(stream))?;
            Ok(answer.map_or(0, |answer| answer.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// Waits until the entry is ready, and then until its start is longer ago than `contactMs` of the
    /// settings; false if that takes too long.
    pub fn wait_in_touch(&self) -> bool {
        let is_ready = (0..200).any(|_| {
            let is_ready = self.is_ready();
            if !is_ready {
                thread::sleep(Duration::from_millis(50));
            }
            is_ready
        });
        thread::sleep(CONTACT + Duration::from_millis(500));
        is_ready
    }

    /// Sends SIGTERM, as the platform does to stop a process.
    pub fn terminate(&self) {
        signal(self.child.id(), SIGTERM);
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        note_ended(self.child.id());
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A folder of this run, removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> io::Result<Self> {
        let name = format!("sardinewood-review-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// A request of the tenant.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\nCredential: {KEY}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Ends the process if the case takes too long.
pub fn start_watchdog(record: &Record) {
    let record = record.clone();
    thread::spawn(move || {
        thread::sleep(WATCHDOG);
        record.line("the case took too long");
        for pid in STARTED.lock().expect("the processes").iter() {
            signal(*pid, SIGKILL);
        }
        std::process::exit(NOT_RUN);
    });
}

/// Runs a case in the folder that the first argument names, and exits with its result.
pub fn run(case: impl FnOnce(&Record, &Path, Net) -> io::Result<i32>) -> ! {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = match Record::create(&Path::new(&folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            let _ = writeln!(io::stderr(), "the record can't be written: {error}");
            std::process::exit(NOT_RUN);
        }
    };
    start_watchdog(&record);
    let result = catch_unwind(AssertUnwindSafe(|| {
        let temporary = Folder::create()?;
        case(&record, &temporary.0, Net::free()?)
    }));
    let result = result.unwrap_or_else(|_| Err(io::Error::other("a stand-in has panicked")));
    let code = result.unwrap_or_else(|error| {
        record.line(&format!("the case could not run: {error}"));
        NOT_RUN
    });
    let word = match code {
        HELD => "the rule held",
        BROKEN => "the rule was broken",
        _ => "not run",
    };
    record.line(word);
    // Whoever started the case may have closed its output.
    let _ = writeln!(io::stdout(), "{word}");
    std::process::exit(code);
}
