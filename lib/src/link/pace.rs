//! When a heartbeat is due on a link, and when a silent link is given up.
//!
//! A link on which a caller may be waiting for something is watched closely. A link without
//! work only has to be there when it is needed: its heartbeats are so far apart that those of
//! all links together stay within a budget of bytes, however many links there are. Work that
//! is placed on a link makes it a watched one, so that one that died while it was idle is
//! found out as soon as it matters.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::time::Instant;

use crate::store::position::StorePosition;

/// What a heartbeat each way and its acknowledgement take on the wire, headers included.
const BEAT_BYTES: u64 = 240;

/// Bytes a second for the heartbeats of all idle links of a process.
const IDLE_BYTES_PER_S: u64 = 2_000;

/// A loosely watched link is beaten once in so many of the silences of a closely watched one,
const LOOSE_PAUSE_FACTOR: u64 = 2;

/// and given up after so many of them.
const LOOSE_SILENCE_FACTOR: u64 = 8;

/// An idle link is given up after so many of them.
const IDLE_SILENCE_FACTOR: u64 = 30;

/// How many heartbeats fit into the silence that is allowed on an idle link, at least.
const IDLE_BEATS_IN_SILENCE: u64 = 3;

/// How closely one direction of a link is watched.
///
/// ```
/// use sardinewood::link::pace::Watch;
///
/// assert!(Watch::Closely > Watch::Loosely);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Watch {
    /// Nothing depends on it now.
    #[default]
    Idly,
    /// What is lost there costs work, but nobody's time.
    Loosely,
    /// A caller may be waiting for what is lost there.
    Closely,
}

/// Timings of closely watched links; the others follow from them.
///
/// ```
/// use sardinewood::link::pace::{PaceRules, Watch};
///
/// let rules = PaceRules { heartbeat_ms: 500, silent_ms: 2_000 };
/// assert_eq!(rules.pause_ms(Watch::Closely, 100), 500);
/// assert_eq!(rules.pause_ms(Watch::Idly, 1), 500, "few links are all beaten at full pace");
/// assert!(rules.pause_ms(Watch::Idly, 100) > 5_000, "many are not");
/// assert!(rules.pause_ms(Watch::Idly, 100_000) < rules.longest_silence_ms(Watch::Idly));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceRules {
    /// The pause between two heartbeats on a closely watched link.
    pub heartbeat_ms: u64,
    /// How long a closely watched link may be silent.
    pub silent_ms: u64,
}

impl PaceRules {
    /// The pause between two heartbeats on a link, with so many links in all.
    #[must_use]
    pub fn pause_ms(&self, watch: Watch, links: usize) -> u64 {
        match watch {
            Watch::Closely => self.heartbeat_ms,
            Watch::Loosely => self.silent_ms.saturating_mul(LOOSE_PAUSE_FACTOR),
            Watch::Idly => self.idle_pause_ms(links),
        }
    }

    /// How long a link may be silent.
    #[must_use]
    pub fn longest_silence_ms(&self, watch: Watch) -> u64 {
        let factor = match watch {
            Watch::Closely => 1,
            Watch::Loosely => LOOSE_SILENCE_FACTOR,
            Watch::Idly => IDLE_SILENCE_FACTOR,
        };
        self.silent_ms.saturating_mul(factor)
    }

    fn idle_pause_ms(&self, links: usize) -> u64 {
        let round_bytes = (links as u64).saturating_mul(BEAT_BYTES);
        let within_budget_ms = round_bytes.saturating_mul(1_000) / IDLE_BYTES_PER_S;
        let longest_ms = self.longest_silence_ms(Watch::Idly) / IDLE_BEATS_IN_SILENCE;
        within_budget_ms.min(longest_ms).max(self.heartbeat_ms)
    }
}

/// What is known of a link when its pace is looked at.
///
/// ```
/// # use sardinewood::store::position::StorePosition;
/// use sardinewood::link::pace::{LinkView, Watch};
///
/// let view = LinkView {
///     tell: Watch::Loosely, hear: Watch::Closely, heard_at_ms: 100, links: 1,
///     revision: StorePosition::new(0, 7),
/// };
/// assert!(view.hear > view.tell);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkView {
    /// How closely the other side watches what this one says.
    pub tell: Watch,
    /// How closely this side watches what the other says.
    pub hear: Watch,
    /// When anything was last heard on it.
    pub heard_at_ms: u64,
    /// How many links this process has.
    pub links: usize,
    /// The newest configuration revision that this process has. The other side is told of
    /// each new one within a heartbeat, on idle links as well.
    pub revision: StorePosition,
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
/// # use sardinewood::store::position::StorePosition;
/// use sardinewood::link::pace::{LinkPace, LinkView, PaceRules, PaceStep, Watch};
///
/// let rules = PaceRules { heartbeat_ms: 500, silent_ms: 2_000 };
/// let view = LinkView {
///     tell: Watch::Closely, hear: Watch::Closely, heard_at_ms: 0, links: 1,
///     revision: StorePosition::new(0, 7),
/// };
/// let mut pace = LinkPace::default();
/// assert_eq!(pace.next(0, view, rules), PaceStep::Beat);
/// assert_eq!(pace.next(100, view, rules), PaceStep::Rest);
/// assert_eq!(pace.next(2_000, view, rules), PaceStep::GiveUp);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkPace {
    heard_as: Watch,
    heard_as_since_ms: u64,
    told_as: Watch,
    told_at_ms: Option<u64>,
    told_revision: StorePosition,
}

impl LinkPace {
    /// Looks at the link and says what is due.
    pub fn next(&mut self, now_ms: u64, view: LinkView, rules: PaceRules) -> PaceStep {
        if view.hear != self.heard_as {
            self.heard_as = view.hear;
            self.heard_as_since_ms = now_ms;
        }
        if self.is_silent(now_ms, view, rules) {
            return PaceStep::GiveUp;
        }
        // The other side may have begun to count a shorter silence already.
        let is_watched_more = view.tell > self.told_as;
        self.told_as = view.tell;
        if is_watched_more || self.is_beat_due(now_ms, view, rules) {
            self.told_at_ms = Some(now_ms);
            self.told_revision = view.revision;
            return PaceStep::Beat;
        }
        PaceStep::Rest
    }

    /// The silence counts from when the link came to be watched as it is: until then the
    /// other side was right to say less.
    fn is_silent(&self, now_ms: u64, view: LinkView, rules: PaceRules) -> bool {
        let since_ms = view.heard_at_ms.max(self.heard_as_since_ms);
        now_ms.saturating_sub(since_ms) >= rules.longest_silence_ms(view.hear)
    }

    /// Half a heartbeat early counts as due: the looks at a link come once a heartbeat, and
    /// one that comes a moment too early would otherwise skip a whole one.
    fn is_beat_due(&self, now_ms: u64, view: LinkView, rules: PaceRules) -> bool {
        let pause_ms = if view.revision == self.told_revision {
            rules.pause_ms(view.tell, view.links)
        } else {
            rules.heartbeat_ms
        };
        self.told_at_ms
            .is_none_or(|told_at_ms| now_ms + rules.heartbeat_ms / 2 >= told_at_ms + pause_ms)
    }
}

/// When a link was last heard: written by the thread that reads it, looked at by the one that
/// decides. Frames of answers count, and do not have to pass the deciding thread for it.
///
/// ```
/// use sardinewood::link::pace::Heard;
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
