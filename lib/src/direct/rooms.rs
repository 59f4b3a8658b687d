//! How a request gets room at an engine: it asks doors, and the first grant wins.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::direct::dispatch::short_name;
use crate::direct::door::ASKS_PER_REQUEST;
use crate::direct::door::Ask;
use crate::direct::door::AskId;
use crate::direct::door::Asker;
use crate::direct::job::Job;
use crate::direct::peer_message::Message;
use crate::direct::traffic::Lease;
use crate::direct::traffic::Traffic;
use crate::direct::traffic::Turn;
use crate::logging::Level;

/// Silence of a door after which another one is asked, and at last the engine itself. Doors
/// answer within a round trip of a few milliseconds; a lost datagram is rarer than this.
const ANSWER_WITHIN: Duration = Duration::from_millis(40);
/// Time after which a waiting question is sent again, in case its door has changed hands.
const ASK_AGAIN: Duration = Duration::from_millis(250);

/// What the doors have to say to a waiting request.
#[derive(Debug)]
pub enum Word {
    /// There is room.
    Granted(Lease),
    /// The question waits.
    Busy {
        /// The question.
        ask: AskId,
        /// How long it is expected to wait.
        wait_ms: u32,
    },
}

/// A question that has no grant yet.
#[derive(Debug)]
pub struct AskedDoor {
    words: UnboundedSender<Word>,
    instance: Arc<str>,
    owner: Asker,
}

/// A waiting request and its questions; dropping it takes them back.
struct Asking {
    traffic: Rc<Traffic>,
    job: Job,
    words: UnboundedSender<Word>,
    asks: Vec<Asked>,
}

struct Asked {
    id: AskId,
    instance: Arc<str>,
    at: Instant,
    wait_ms: Option<u32>,
}

impl Drop for Asking {
    fn drop(&mut self) {
        for asked in std::mem::take(&mut self.asks) {
            self.take_back(&asked);
        }
    }
}

impl Asking {
    fn instances(&self) -> Vec<Arc<str>> {
        self.asks
            .iter()
            .map(|asked| Arc::clone(&asked.instance))
            .collect()
    }

    /// Asks one more door; false if there is none to ask.
    fn ask_another(&mut self) -> bool {
        if self.asks.len() >= usize::from(ASKS_PER_REQUEST) {
            return false;
        }
        let now_ms = self.traffic.now_ms();
        let chosen =
            self.traffic
                .dispatcher
                .borrow()
                .choose(&self.job, &self.instances(), now_ms, || {
                    rand::random::<u16>().into()
                });
        let Some(upstream) = chosen else {
            return false;
        };
        let asked = Asked {
            id: AskId(self.traffic.next_id()),
            instance: Arc::clone(&upstream.instance),
            at: Instant::now(),
            wait_ms: None,
        };
        self.send(&asked);
        self.asks.push(asked);
        true
    }

    fn send(&self, asked: &Asked) {
        let traffic = &self.traffic;
        let upstream = short_name(&asked.instance);
        let now_ms = traffic.now_ms();
        let owner = traffic.owner(upstream);
        let ask = Ask {
            id: asked.id,
            upstream,
            worth_micros: self.job.worth_micros(),
            in_time_for_ms: signed(self.job.objective_at_ms)
                - signed(now_ms)
                - signed(
                    traffic
                        .dispatcher
                        .borrow()
                        .lead_ms(&asked.instance, &self.job),
                ),
            waited_ms: now_ms - self.job.arrived_ms,
        };
        let open = AskedDoor {
            words: self.words.clone(),
            instance: Arc::clone(&asked.instance),
            owner,
        };
        traffic.asks.borrow_mut().insert(asked.id, open);
        match owner {
            Asker::Own => traffic.asked(Asker::Own, ask),
            Asker::Peer(address) => traffic.tell(address, &Message::Ask(ask)),
        }
    }

    fn take_back(&self, asked: &Asked) {
        let traffic = &self.traffic;
        let Some(open) = traffic.asks.borrow_mut().swap_remove(&asked.id) else {
            return;
        };
        let upstream = short_name(&asked.instance);
        match open.owner {
            Asker::Own => traffic
                .doors
                .borrow_mut()
                .cancel(Asker::Own, upstream, asked.id),
            Asker::Peer(address) => {
                let cancel = Message::Cancel {
                    upstream,
                    ask: asked.id,
                };
                traffic.tell(address, &cancel);
            }
        }
    }

    /// What the time that has passed asks for: other doors, the same again, or no door at all.
    fn after_silence(&mut self) -> Option<Lease> {
        self.drop_unlisted();
        let now = Instant::now();
        let silent: Vec<usize> = (0..self.asks.len())
            .filter(|index| {
                let asked = &self.asks[*index];
                asked.wait_ms.is_none() && now >= asked.at + ANSWER_WITHIN
            })
            .collect();
        if !silent.is_empty() && silent.len() == self.asks.len() && !self.ask_another() {
            return self.go_unasked(silent[0]);
        }
        for index in 0..self.asks.len() {
            if now >= self.asks[index].at + ASK_AGAIN {
                self.asks[index].at = now;
                self.send(&self.asks[index]);
            }
        }
        if self.asks.is_empty() {
            self.ask_another();
        }
        None
    }

    /// Gives up questions about engines that have left, so that others are asked.
    fn drop_unlisted(&mut self) {
        let dispatcher = self.traffic.dispatcher.borrow();
        let (kept, dropped): (Vec<Asked>, Vec<Asked>) = std::mem::take(&mut self.asks)
            .into_iter()
            .partition(|asked| dispatcher.is_listed(&asked.instance));
        drop(dispatcher);
        self.asks = kept;
        for asked in dropped {
            self.take_back(&asked);
        }
    }

    /// Takes room at an engine whose door does not answer, if there seems to be any.
    fn go_unasked(&mut self, index: usize) -> Option<Lease> {
        let traffic = &self.traffic;
        let instance = Arc::clone(&self.asks[index].instance);
        let mut dispatcher = traffic.dispatcher.borrow_mut();
        if !dispatcher.has_room(&instance, traffic.now_ms()) {
            return None;
        }
        let upstream = dispatcher.began(&instance)?;
        drop(dispatcher);
        traffic.log(
            Level::Warn,
            "door is silent, engine called unasked",
            |line| line.field("upstream", &instance),
        );
        Some(Lease::new(traffic, upstream, false))
    }

    /// Whether all doors expect the request to wait for too long.
    fn is_hopeless(&self) -> bool {
        if self.asks.len() < usize::from(ASKS_PER_REQUEST) {
            return false;
        }
        let left_ms = self
            .job
            .waits_until_ms()
            .saturating_sub(self.traffic.now_ms());
        let is_too_long = |wait_ms: u32| u64::from(wait_ms) > left_ms;
        self.asks
            .iter()
            .all(|asked| asked.wait_ms.is_some_and(is_too_long))
    }

    fn refused(&self) -> Turn {
        Turn::Refused {
            retry_after_ms: self.job.retry_after_ms(self.traffic.now_ms()),
        }
    }

    fn note_busy(&mut self, ask: AskId, wait_ms: u32) {
        if let Some(asked) = self.asks.iter_mut().find(|asked| asked.id == ask) {
            asked.wait_ms = Some(wait_ms);
        }
    }
}

/// Waits for room at an engine until the request's time is up.
pub async fn turn(traffic: &Rc<Traffic>, job: Job) -> Turn {
    let until = traffic.instant_at(job.waits_until_ms());
    let (sender, mut words) = mpsc::unbounded_channel();
    let mut asking = Asking {
        traffic: Rc::clone(traffic),
        job,
        words: sender,
        asks: Vec::new(),
    };
    if !traffic.dispatcher.borrow().has_untried(&asking.job) {
        return asking.refused();
    }
    asking.ask_another();
    match wait(&mut asking, &mut words, until).await {
        Some(lease) => Turn::Start(lease),
        None => asking.refused(),
    }
}

async fn wait(
    asking: &mut Asking,
    words: &mut UnboundedReceiver<Word>,
    until: Instant,
) -> Option<Lease> {
    while Instant::now() < until {
        let pause = (Instant::now() + ANSWER_WITHIN).min(until);
        match timeout_at(pause, words.recv()).await {
            Ok(Some(Word::Granted(lease))) => return Some(lease),
            Ok(Some(Word::Busy { ask, wait_ms })) => {
                asking.note_busy(ask, wait_ms);
                asking.ask_another();
                if asking.is_hopeless() {
                    return None;
                }
            }
            Ok(None) => return None,
            Err(_) => {
                if let Some(lease) = asking.after_silence() {
                    return Some(lease);
                }
            }
        }
    }
    None
}

fn signed(time_ms: u64) -> i64 {
    i64::try_from(time_ms).unwrap_or(i64::MAX)
}

impl Traffic {
    /// Takes a question to a door of ours.
    pub fn asked(self: &Rc<Self>, from: Asker, ask: Ask) {
        let now_ms = self.now_ms();
        self.doors.borrow_mut().ask(from, ask, now_ms);
        self.grant_rooms();
        let wait_ms = self
            .doors
            .borrow()
            .wait_ms(from, ask.upstream, ask.id, now_ms);
        let Some(wait_ms) = wait_ms else {
            return;
        };
        match from {
            Asker::Own => self.busy(ask.id, wait_ms),
            Asker::Peer(peer) => self.tell(
                peer,
                &Message::Busy {
                    ask: ask.id,
                    wait_ms,
                },
            ),
        }
    }

    /// Gives out what room the doors have.
    pub fn grant_rooms(self: &Rc<Self>) {
        loop {
            let grant = self.doors.borrow_mut().next_grant(self.now_ms());
            let Some(grant) = grant else {
                return;
            };
            match grant.to {
                Asker::Own => self.granted(grant.ask, grant.upstream),
                Asker::Peer(peer) => self.tell(
                    peer,
                    &Message::Grant {
                        ask: grant.ask,
                        upstream: grant.upstream,
                    },
                ),
            }
        }
    }

    /// Takes a grant in, or gives it back if nobody waits for it any more.
    pub fn granted(self: &Rc<Self>, ask: AskId, upstream: u32) {
        let asked = self.asks.borrow_mut().swap_remove(&ask);
        let started = asked.and_then(|asked| {
            let upstream = self.dispatcher.borrow_mut().began(&asked.instance)?;
            Some((asked.words, upstream))
        });
        match started {
            // A request that has just ended drops the lease, which gives the room back.
            Some((words, upstream)) => {
                let _ = words.send(Word::Granted(Lease::new(self, upstream, true)));
            }
            None => self.give_back(upstream, None),
        }
    }

    /// Takes a door's word that a question waits.
    pub fn busy(&self, ask: AskId, wait_ms: u32) {
        if let Some(asked) = self.asks.borrow().get(&ask) {
            // The receiver lives as long as the question is open.
            let _ = asked.words.send(Word::Busy { ask, wait_ms });
        }
    }

    /// Gives room back to its door.
    pub fn give_back(self: &Rc<Self>, upstream: u32, held_ms: Option<u32>) {
        match self.owner(upstream) {
            Asker::Own => {
                self.doors.borrow_mut().done(Asker::Own, upstream, held_ms);
                self.grant_rooms();
            }
            Asker::Peer(peer) => self.tell(peer, &Message::Done { upstream, held_ms }),
        }
    }
}
