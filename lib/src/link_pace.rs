//! When a heartbeat is due on a link, and when a silent link is given up.
//!
//! A link with work on it is watched closely, since a caller waits for what may be lost
//! there. A link without work only has to be there when it is needed: its heartbeats are so
//! far apart that those of all links together stay within a budget of bytes, however many
//! links there are. Work that is placed on a link makes it a watched one, so that one that
//! died while it was idle is found out as soon as it matters.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::time::Instant;

/// What a heartbeat each way and its acknowledgement take on the wire, headers included.
const BEAT_BYTES: u64 = 240;

/// Bytes a second for the heartbeats of all idle links of a process: half of what it may
/// spend on control.
const IDLE_BYTES_PER_S: u64 = 3_500;

/// An idle link is given up after so many times the silence that a watched one is allowed.
const IDLE_SILENCE_FACTOR: u64 = 30;

/// How many heartbeats fit into the silence that is allowed on an idle link, at least.
const IDLE_BEATS_IN_SILENCE: u64 = 4;

/// Timings of watched links; those of idle ones follow from them.
///
/// ```
/// use sardinewood::link_pace::PaceRules;
///
/// let rules = PaceRules { heartbeat_ms: 500, silent_ms: 2_000 };
/// assert_eq!(rules.idle_pause_ms(1), 500, "few links are all beaten at full pace");
/// assert!(rules.idle_pause_ms(100) > 5_000, "many are not");
/// assert!(rules.idle_pause_ms(100_000) < rules.idle_silent_ms());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceRules {
    /// The pause between two heartbeats on a watched link.
    pub heartbeat_ms: u64,
    /// How long a watched link may be silent.
    pub silent_ms: u64,
}

impl PaceRules {
    /// The pause between two heartbeats on an idle link, with so many links in all.
    #[must_use]
    pub fn idle_pause_ms(&self, links: usize) -> u64 {
        let round_bytes = (links as u64).saturating_mul(BEAT_BYTES);
        let within_budget_ms = round_bytes.saturating_mul(1_000) / IDLE_BYTES_PER_S;
        let longest_ms = self.idle_silent_ms() / IDLE_BEATS_IN_SILENCE;
        within_budget_ms.min(longest_ms).max(self.heartbeat_ms)
    }

    /// How long an idle link may be silent.
    #[must_use]
    pub fn idle_silent_ms(&self) -> u64 {
        self.silent_ms.saturating_mul(IDLE_SILENCE_FACTOR)
    }
}

/// What is known of a link when its pace is looked at.
///
/// ```
/// use sardinewood::link_pace::LinkView;
///
/// let view = LinkView { is_busy: true, heard_at_ms: 100, links: 1, revision: 7 };
/// assert!(view.is_busy);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkView {
    /// Whether there is work on it.
    pub is_busy: bool,
    /// When anything was last heard on it.
    pub heard_at_ms: u64,
    /// How many links this process has.
    pub links: usize,
    /// The newest configuration revision that this process has. The other side is told of
    /// each new one within a heartbeat, on idle links as well.
    pub revision: u64,
}

/// What to do about a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceStep {
    /// Nothing is due.
    Rest,
    /// Send a heartbeat.
    Beat,
    /// Close it; whatever is at its other end is not heard any more.
    GiveUp,
}

/// The pace of one link.
///
/// ```
/// use sardinewood::link_pace::{LinkPace, LinkView, PaceRules, PaceStep};
///
/// let rules = PaceRules { heartbeat_ms: 500, silent_ms: 2_000 };
/// let view = LinkView { is_busy: true, heard_at_ms: 0, links: 1, revision: 7 };
/// let mut pace = LinkPace::default();
/// assert_eq!(pace.next(0, view, rules), PaceStep::Beat);
/// assert_eq!(pace.next(100, view, rules), PaceStep::Rest);
/// assert_eq!(pace.next(2_000, view, rules), PaceStep::GiveUp);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkPace {
    busy_since_ms: Option<u64>,
    sent_at_ms: Option<u64>,
    sent_revision: u64,
}

impl LinkPace {
    /// Looks at the link and says what is due.
    pub fn next(&mut self, now_ms: u64, view: LinkView, rules: PaceRules) -> PaceStep {
        let became_busy = view.is_busy && self.busy_since_ms.is_none();
        self.note_work(now_ms, view.is_busy);
        if self.is_silent(now_ms, view, rules) {
            return PaceStep::GiveUp;
        }
        if became_busy || self.is_beat_due(now_ms, view, rules) {
            self.sent_at_ms = Some(now_ms);
            self.sent_revision = view.revision;
            return PaceStep::Beat;
        }
        PaceStep::Rest
    }

    fn note_work(&mut self, now_ms: u64, is_busy: bool) {
        if !is_busy {
            self.busy_since_ms = None;
        } else if self.busy_since_ms.is_none() {
            self.busy_since_ms = Some(now_ms);
        }
    }

    /// The silence of a watched link counts from when it became one: until then the other
    /// side was right to say little.
    fn is_silent(&self, now_ms: u64, view: LinkView, rules: PaceRules) -> bool {
        match self.busy_since_ms {
            Some(busy_since_ms) => {
                let since_ms = view.heard_at_ms.max(busy_since_ms);
                now_ms.saturating_sub(since_ms) >= rules.silent_ms
            }
            None => now_ms.saturating_sub(view.heard_at_ms) >= rules.idle_silent_ms(),
        }
    }

    /// Half a heartbeat early counts as due: the looks at a link come once a heartbeat, and
    /// one that comes a moment too early would otherwise skip a whole one.
    fn is_beat_due(&self, now_ms: u64, view: LinkView, rules: PaceRules) -> bool {
        let is_watched = view.is_busy || view.revision != self.sent_revision;
        let pause_ms = if is_watched {
            rules.heartbeat_ms
        } else {
            rules.idle_pause_ms(view.links)
        };
        self.sent_at_ms
            .is_none_or(|sent_at_ms| now_ms + rules.heartbeat_ms / 2 >= sent_at_ms + pause_ms)
    }
}

/// When a link was last heard: written by the thread that reads it, looked at by the one that
/// decides. Frames of answers count, and do not have to pass the deciding thread for it.
///
/// ```
/// use sardinewood::link_pace::Heard;
/// use tokio::time::Instant;
///
/// let heard = Heard::new(Instant::now());
/// heard.now();
/// assert!(heard.at_ms() < 60_000);
/// ```
#[derive(Clone, Debug)]
pub struct Heard {
    started: Instant,
    at_ms: Arc<AtomicU64>,
}

impl Heard {
    /// Heard just now; times count from `started`.
    #[must_use]
    pub fn new(started: Instant) -> Self {
        let heard = Self {
            started,
            at_ms: Arc::default(),
        };
        heard.now();
        heard
    }

    /// Something was heard.
    pub fn now(&self) {
        let elapsed_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.at_ms.store(elapsed_ms, Ordering::Relaxed);
    }

    /// When something was last heard.
    #[must_use]
    pub fn at_ms(&self) -> u64 {
        self.at_ms.load(Ordering::Relaxed)
    }
}
