//! Callers that press on all entries and keep using open connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use platform_testkit::node;
use reqwest::Client;
use reqwest::RequestBuilder;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::record::Ended;
use crate::record::Kind;
use crate::record::Request;

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(15);
/// How long callers wait for an answer, as they tell the entry.
const DEADLINE_MS: u64 = 3_000;

/// What ends a worker that runs it, where a run has such requests.
pub const DEADLY: &[u8] = b"a body that no worker survives";

/// What the requests that end workers have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deadly {
    /// The whole body.
    Body,
    /// One part of their prompts.
    Part,
}

/// The part of prompts that crashes workers, where a run has such requests.
pub const DEADLY_PART: &str = "dead0001";

/// How callers press on the entries.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Callers at each entry.
    pub callers_each: usize,
    /// What one more at each entry sends that ends workers, if there is such a caller.
    pub deadly: Option<Deadly>,
    /// Whether callers take up broken streams at another entry.
    pub takes_up_streams: bool,
}

/// Callers that run until they are told to stop.
#[derive(Debug)]
pub struct Callers {
    requests: Arc<Mutex<Vec<Request>>>,
    is_over: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts so many callers at each entry, and one more there if workers are to end.
    #[must_use]
    pub fn start(entries: &[SocketAddr], load: Load) -> Self {
        let requests = Arc::default();
        let is_over = Arc::new(AtomicBool::new(false));
        let numbers = Arc::new(AtomicU64::new(0));
        let tasks = entries
            .iter()
            .enumerate()
            .flat_map(|(number, entry)| {
                let next = entries[(number + 1) % entries.len()];
                let next = load.takes_up_streams.then_some(next);
                let ordinary = std::iter::repeat_n((*entry, next, None), load.callers_each);
                ordinary.chain(load.deadly.map(|deadly| (*entry, None, Some(deadly))))
            })
            .map(|(entry, next_entry, deadly)| {
                let caller = Caller {
                    entry,
                    next_entry,
                    deadly,
                    has_parts: load.deadly == Some(Deadly::Part),
                    requests: Arc::clone(&requests),
                    is_over: Arc::clone(&is_over),
                    numbers: Arc::clone(&numbers),
                };
                tokio::spawn(caller.run())
            })
            .collect();
        Self {
            requests,
            is_over,
            tasks,
        }
    }

    /// Stops them and waits for their last answers.
    ///
    /// # Panics
    ///
    /// When a caller panicked.
    pub async fn stop(self) -> Vec<Request> {
        self.is_over.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("a caller");
        }
        std::mem::take(&mut *self.requests.lock().expect("the records"))
    }
}

struct Caller {
    entry: SocketAddr,
    /// The entry at which it takes up broken streams, if it does.
    next_entry: Option<SocketAddr>,
    /// What its requests have that ends workers, if they do.
    deadly: Option<Deadly>,
    /// Whether its requests name the parts of their prompts.
    has_parts: bool,
    requests: Arc<Mutex<Vec<Request>>>,
    is_over: Arc<AtomicBool>,
    numbers: Arc<AtomicU64>,
}

impl Caller {
    async fn run(self) {
        // It never sends by itself again what it has sent: each try has its own name.
        let client = Client::builder()
            .retry(reqwest::retry::never())
            .timeout(2 * Duration::from_millis(DEADLINE_MS))
            .build()
            .expect("a client");
        while !self.is_over.load(Ordering::Relaxed) {
            let number = self.numbers.fetch_add(1, Ordering::Relaxed);
            let index = usize::try_from(number).unwrap_or(0) % Kind::ALL.len();
            let request = self
                .call(&client, Kind::ALL[index], self.name(number))
                .await;
            let taken_up = self.take_up(&client, &request).await;
            let sent = std::iter::once(request).chain(taken_up);
            self.requests.lock().expect("the records").extend(sent);
            sleep(PAUSE).await;
        }
    }

    /// A request's name, which begins with its entry's port.
    fn name(&self, number: u64) -> String {
        format!("{}-try-{number}", self.entry.port())
    }

    async fn call(&self, client: &Client, kind: Kind, id: String) -> Request {
        let body = if self.deadly == Some(Deadly::Body) {
            DEADLY
        } else {
            b""
        };
        let mut call = node::call(client, self.entry, kind.path(), &id, DEADLINE_MS).body(body);
        if self.has_parts {
            call = call.header("Prefix-Hash", self.parts());
        }
        self.send(call, kind, id, "").await
    }

    /// Parts of a prompt: everybody's, the deadly one if its requests have it, the entry's and its own.
    fn parts(&self) -> String {
        let deadly = match self.deadly {
            Some(Deadly::Part) => format!("{DEADLY_PART}:50,"),
            Some(Deadly::Body) | None => String::new(),
        };
        let own = rand::random::<u32>();
        format!("aa:60,{deadly}b{:x}:200,{own:x}:100", self.entry.port())
    }

    /// Takes a resumable stream up that has broken off after some events.
    async fn take_up(&self, client: &Client, broken: &Request) -> Option<Request> {
        let entry = self.next_entry.filter(|_| broken.kind == Kind::Resumable)?;
        let Ended::BrokeOff { body } = &broken.ended else {
            return None;
        };
        let whole = &body[..body.rfind("\n\n")? + 2];
        let id = format!("{}-again", broken.id);
        let call = node::call(client, entry, broken.kind.path(), &id, DEADLINE_MS)
            .header("Last-Event-Id", whole.matches("\n\n").count())
            .header("Resumes", &broken.id);
        Some(self.send(call, broken.kind, id, whole).await)
    }

    /// Sends a request, and returns it with what its caller has then, beside what it had before.
    async fn send(&self, call: RequestBuilder, kind: Kind, id: String, before: &str) -> Request {
        let sent = Instant::now();
        let ended = match call.send().await {
            Err(_) => Ended::NoAnswer,
            Ok(mut answer) => {
                let status = answer.status().as_u16();
                let mut body = Vec::new();
                let is_whole = loop {
                    match answer.chunk().await {
                        Ok(Some(chunk)) => body.extend_from_slice(&chunk),
                        Ok(None) => break true,
                        Err(_) => break false,
                    }
                };
                let body = format!("{before}{}", String::from_utf8_lossy(&body));
                if is_whole {
                    Ended::Answered { status, body }
                } else {
                    Ended::BrokeOff { body }
                }
            }
        };
        Request {
            id,
            kind,
            is_deadly: self.deadly.is_some(),
            sent,
            ended,
        }
    }
}
