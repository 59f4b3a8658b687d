//! The faults of a run, drawn from its seed.

use std::time::Duration;

use platform_testkit::endless_answer::Endless;
use platform_testkit::fault_proxy::Link;
use platform_testkit::store_stand_in::Mood;
use platform_testkit::worker_stand_in::Manner;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::checker::EVENTS;

/// What strikes, and whom: numbers are taken modulo how many there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An entry is killed, and started again after a pause.
    Kill(usize, Duration),
    /// All entries are killed at once.
    KillAll,
    /// An entry stands still.
    Pause(usize, Duration),
    /// An entry is told to stop, and started again when it has ended.
    Terminate(usize),
    /// An entry's settings file is said to have changed.
    HangUp(usize),
    /// A worker behaves otherwise for a time.
    Worker(usize, Manner, Duration),
    /// All workers behave otherwise for a time.
    AllWorkers(Manner, Duration),
    /// The way to a worker changes for a time.
    WayToWorker(usize, Link, Duration),
    /// The way of an entry to the store changes for a time.
    WayToStore(usize, Link, Duration),
    /// The store behaves otherwise for a time.
    Store(Mood, Duration),
    /// The store forgets its history.
    Forget,
    /// The store is away for a time and returns from a copy some seconds old. Workers and the operator
    /// write again what it has lost.
    Lose(Duration),
    /// A worker leaves with notice, and another one comes.
    Replace(usize),
    /// A worker ends with all that it runs and starts again under its name.
    Restart(usize),
    /// A worker's entry in the list is overwritten by another writer for a time.
    Spoil(usize, Duration),
    /// The configuration changes.
    Configure,
    /// A worker says something of itself in its answers for a time.
    Say(usize, &'static str, Duration),
    /// A worker declines everything and asks for rest for a time.
    Rest(usize, Duration),
    /// A worker says in its answers that it leaves, and another one comes. The list says nothing.
    LeaveUnlisted(usize),
    /// A worker's entry is removed without a word, and another one comes.
    Remove(usize),
    /// The same of the next worker that stays.
    RemoveNext(usize),
    /// The way of an entry to the store is cut for a time. What hangs on it when it opens goes on hanging.
    CutFromStore(usize, Link, Duration),
    /// Datagrams to and from an entry are lost or late for a time: percentages lost of those to it and of
    /// those from it, and how late all are.
    Datagrams(usize, [u8; 2], Duration, Duration),
    /// Connections of other entries to one change for a time.
    PeerConnections(usize, Link, Duration),
}

/// A fault and the pause before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// How long after the one before it strikes; less than most last, so that they overlap.
    pub after: Duration,
    /// What strikes.
    pub fault: Fault,
}

/// Time between two faults.
const PAUSE_MS: std::ops::Range<u64> = 50..600;
/// How long a fault lasts.
const LASTING_MS: std::ops::Range<u64> = 200..2_500;

/// The first seed whose runs also restart workers and spoil entries. Seeds below keep the plans
/// that they had before those faults came, or a kept seed would no longer play what it once found.
pub const FIRST_SEED_WITH_RESTARTS: u64 = 10_000;
/// The first seed whose runs also have requests that end the workers that run them.
pub const FIRST_SEED_WITH_DEADLY: u64 = 20_000;
/// The first seed whose runs also move the service to another version, which is bad at every other
/// seed.
pub const FIRST_SEED_WITH_ROLLOUT: u64 = 30_000;
/// The first seed whose runs also have workers that limit their requests, ask for rest, and say in
/// their answers that they leave.
pub const FIRST_SEED_WITH_NOTICES: u64 = 40_000;
/// The first seed whose runs also have a store that returns from older copies.
pub const FIRST_SEED_WITH_COPIES: u64 = 50_000;
/// The first seed whose runs also have workers of two versions side by side, callers that take up
/// streams elsewhere, and writes of leaving workers that are carried out late. Its store does not
/// return from copies.
pub const FIRST_SEED_WITH_VERSIONS: u64 = 60_000;
/// From this seed on, one part of prompts crashes each worker that begins to answer it, with the faults
/// of the seeds before those with notices.
pub const FIRST_SEED_WITH_PARTS: u64 = 70_000;
/// From this seed on, only streams are begun without length or chunks before such a crash. Behind a proxy
/// that accepts connections for a crashed worker, nothing tells the first part of a plain answer from all
/// of it.
pub const FIRST_SEED_WITH_TORN_STREAMS: u64 = 80_000;
/// From this seed on, entries are linked by a switch that loses, delays and cuts what they tell each other,
/// workers leave often, and each leaving is held against its bound. Neither requests nor parts crash
/// workers.
pub const FIRST_SEED_WITH_LINKS: u64 = 90_000;
/// From this seed on, the ways of entries to the store are cut for seconds, one after the other and at the
/// same time, while workers leave, and each leaving is held against its bound from the moment at which a way
/// is open.
pub const FIRST_SEED_WITH_CUT_WAYS: u64 = 100_000;
/// From this seed on, workers send bytes without end in place of answers, with the faults of the seeds
/// before those with notices.
pub const FIRST_SEED_WITH_ENDLESS: u64 = 110_000;
/// From this seed on, all workers fail for seconds while entries are killed, stopped, suspended and told of
/// settings, and the retries that reach workers are held against what the settings allow.
pub const FIRST_SEED_WITH_FAILURES: u64 = 120_000;
/// How long all workers fail, and the time between two faults of these seeds: entries live long enough to
/// save up retries.
const FAILING_MS: std::ops::Range<u64> = 2_000..6_000;
const PAUSE_WITH_FAILURES_MS: std::ops::Range<u64> = 300..2_500;
/// How long such a cut lasts.
const CUT_MS: std::ops::Range<u64> = 2_500..4_500;
/// Time between two faults of these seeds: some workers leave within the time that a return takes.
const PAUSE_WITH_CUT_WAYS_MS: std::ops::Range<u64> = 30..200;
/// Weight of bytes without end among the faults of the seeds with restarts.
const ENDLESS_KINDS: u32 = 10;
/// Weights of the faults between entries and of leavings, among those of the seeds with restarts.
const LINK_KINDS: u32 = 14;
/// Weights of the faults of all seeds, of those with restarts and notices as well, and of all.
const OLDER_KINDS: u32 = 20;
const KINDS_WITH_RESTARTS: u32 = 23;
const KINDS_WITH_NOTICES: u32 = 28;
const ALL_KINDS: u32 = 31;

/// The steps that fill a time.
#[must_use]
pub fn draw(seed: u64, length: Duration) -> Vec<Step> {
    let mut random = StdRng::seed_from_u64(seed);
    let kinds = if seed < FIRST_SEED_WITH_RESTARTS {
        OLDER_KINDS
    } else if !(FIRST_SEED_WITH_NOTICES..FIRST_SEED_WITH_PARTS).contains(&seed) {
        KINDS_WITH_RESTARTS
    } else if seed < FIRST_SEED_WITH_COPIES {
        KINDS_WITH_NOTICES
    } else if seed < FIRST_SEED_WITH_VERSIONS {
        ALL_KINDS
    } else {
        KINDS_WITH_NOTICES
    };
    let has_cut_ways = (FIRST_SEED_WITH_CUT_WAYS..FIRST_SEED_WITH_ENDLESS).contains(&seed);
    let pause_ms = if has_cut_ways {
        PAUSE_WITH_CUT_WAYS_MS
    } else if seed >= FIRST_SEED_WITH_FAILURES {
        PAUSE_WITH_FAILURES_MS
    } else {
        PAUSE_MS
    };
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        let after = Duration::from_millis(random.random_range(pause_ms.clone()));
        at += after;
        if at > length {
            return steps;
        }
        let is_link = (FIRST_SEED_WITH_LINKS..FIRST_SEED_WITH_CUT_WAYS).contains(&seed)
            && random.random_range(0..KINDS_WITH_RESTARTS + LINK_KINDS) < LINK_KINDS;
        let is_endless = (FIRST_SEED_WITH_ENDLESS..FIRST_SEED_WITH_FAILURES).contains(&seed)
            && random.random_range(0..KINDS_WITH_RESTARTS + ENDLESS_KINDS) < ENDLESS_KINDS;
        let fault = if is_endless {
            endless_fault(&mut random)
        } else if seed >= FIRST_SEED_WITH_FAILURES {
            failure_fault(&mut random)
        } else if has_cut_ways {
            cut_fault(&mut random)
        } else if is_link {
            link_fault(&mut random)
        } else {
            fault(&mut random, kinds)
        };
        steps.push(Step { after, fault });
    }
}

fn fault(random: &mut StdRng, kinds: u32) -> Fault {
    let whom = random.random_range(0..100);
    let lasting = Duration::from_millis(random.random_range(LASTING_MS));
    match random.random_range(0..kinds) {
        0 | 1 => Fault::Kill(whom, lasting / 4),
        2 => Fault::KillAll,
        3 | 4 => Fault::Pause(whom, lasting),
        5 | 6 => Fault::Terminate(whom),
        7 => Fault::HangUp(whom),
        8..=10 => Fault::Worker(whom, manner(random), lasting),
        11 | 12 => Fault::WayToWorker(whom, link(random), lasting),
        13 | 14 => Fault::WayToStore(whom, link(random), lasting),
        15 => Fault::Store(Mood::Busy, lasting),
        16 => Fault::Store(Mood::Silent, lasting),
        17 => Fault::Forget,
        18 => Fault::Replace(whom),
        20 | 21 => Fault::Restart(whom),
        22 => Fault::Spoil(whom, lasting),
        23 | 24 => Fault::Say(whom, said(random), lasting),
        25 | 26 => Fault::Rest(whom, lasting),
        27 => Fault::LeaveUnlisted(whom),
        28..=30 => Fault::Lose(lasting / 2),
        _ => Fault::Configure,
    }
}

/// A worker that sends bytes without end in place of answers.
fn endless_fault(random: &mut StdRng) -> Fault {
    let whom = random.random_range(0..100);
    let lasting = Duration::from_millis(random.random_range(LASTING_MS));
    let endless = [
        Endless::BodyUntilClosed,
        Endless::ChunkedBody,
        Endless::LongBody,
        Endless::Comment,
        Endless::Event,
        Endless::InterimHeads,
        Endless::ChunkSize,
        Endless::ChunkExtension,
        Endless::Trailers,
        Endless::Garbage,
        Endless::StatusLine,
        Endless::HeaderLines,
        Endless::HeaderName,
    ];
    let endless = endless[random.random_range(0..endless.len())];
    Fault::Worker(whom, Manner::Endless(endless), lasting)
}

/// A fault between entries, or a leaving.
fn link_fault(random: &mut StdRng) -> Fault {
    let whom = random.random_range(0..100);
    let lasting = Duration::from_millis(random.random_range(LASTING_MS));
    let delay = Duration::from_millis(random.random_range(0..500));
    match random.random_range(0..10) {
        0 => Fault::Datagrams(whom, [100, 0], Duration::ZERO, lasting),
        1 => Fault::Datagrams(whom, [0, 100], Duration::ZERO, lasting),
        2 => Fault::Datagrams(whom, [100, 100], Duration::ZERO, lasting),
        3 => Fault::Datagrams(whom, [random.random_range(5..80); 2], delay, lasting),
        4 => Fault::Datagrams(whom, [0, 0], delay, lasting),
        5 => Fault::PeerConnections(whom, link(random), lasting),
        6 | 7 => Fault::Remove(whom),
        _ => Fault::Replace(whom),
    }
}

/// A cut of a way to the store, or a leaving.
fn cut_fault(random: &mut StdRng) -> Fault {
    let whom = random.random_range(0..100);
    let lasting = Duration::from_millis(random.random_range(CUT_MS));
    match random.random_range(0..32) {
        0 => Fault::CutFromStore(whom, Link::Silent, lasting),
        1 => Fault::CutFromStore(whom, Link::Reset, lasting),
        2 => Fault::CutFromStore(whom, Link::Refused, lasting),
        3..=20 => Fault::RemoveNext(whom),
        21..=28 => Fault::Replace(whom),
        29 => Fault::Forget,
        _ => Fault::Configure,
    }
}

/// A failure of all workers, or something that befalls entries.
fn failure_fault(random: &mut StdRng) -> Fault {
    let whom = random.random_range(0..100);
    let lasting = Duration::from_millis(random.random_range(LASTING_MS));
    let failing = Duration::from_millis(random.random_range(FAILING_MS));
    match random.random_range(0..16) {
        0..=3 => Fault::AllWorkers(Manner::Fail, failing),
        4 | 5 => Fault::AllWorkers(Manner::CloseUnanswered, failing),
        6 | 7 => Fault::Kill(whom, lasting / 4),
        8..=10 => Fault::KillAll,
        11 | 12 => Fault::Terminate(whom),
        13 => Fault::Pause(whom, lasting),
        14 => Fault::HangUp(whom),
        _ => Fault::Worker(whom, manner(random), lasting),
    }
}

fn manner(random: &mut StdRng) -> Manner {
    match random.random_range(0..6) {
        0 => Manner::AnswerTwice,
        1 => Manner::Fail,
        2 => Manner::Decline,
        3 => Manner::CloseUnanswered,
        4 => Manner::BreakOff {
            after_events: random.random_range(0..EVENTS),
        },
        _ => Manner::Hang,
    }
}

fn said(random: &mut StdRng) -> &'static str {
    const SAID: [&str; 6] = [
        "Server-Limit: 1.4",
        "Server-Limit: 20",
        "Server-Limit: 0",
        "Server-Limit: NaN",
        "Server-Limit: 1e9",
        "Server-Limit: -1\r\nServer-Limit: 3",
    ];
    SAID[random.random_range(0..SAID.len())]
}

fn link(random: &mut StdRng) -> Link {
    match random.random_range(0..5) {
        0 => Link::Delayed(Duration::from_millis(random.random_range(5..200))),
        1 => Link::CutForth,
        2 => Link::CutBack,
        3 => Link::Silent,
        _ => Link::Reset,
    }
}
