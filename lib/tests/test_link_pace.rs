//! The pace of heartbeats, and when a silent link is given up.

use sardinewood::link::pace::LinkPace;
use sardinewood::link::pace::LinkView;
use sardinewood::link::pace::PaceRules;
use sardinewood::link::pace::PaceStep;
use sardinewood::link::pace::Watch;
use sardinewood::store::position::StorePosition;

const RULES: PaceRules = PaceRules {
    heartbeat_ms: 500,
    silent_ms: 2_000,
};

/// Links of an entry at the size of two years on.
const MANY_LINKS: usize = 180;

fn view(watch: Watch, heard_at_ms: u64) -> LinkView {
    LinkView {
        tell: watch,
        hear: watch,
        heard_at_ms,
        links: MANY_LINKS,
        revision: StorePosition::new(0, 7),
    }
}

/// Beats in a minute of looks, one each heartbeat, on a link that is heard all along.
fn beats_in_a_minute(watch: Watch) -> usize {
    let mut pace = LinkPace::default();
    (0..60_000)
        .step_by(500)
        .filter(|now_ms| pace.next(*now_ms, view(watch, *now_ms), RULES) == PaceStep::Beat)
        .count()
}

#[test]
fn next_idle_links_stay_within_the_budget() {
    let sent_bytes = beats_in_a_minute(Watch::Idly) * MANY_LINKS * 240;
    assert!(sent_bytes <= 60 * 2_400, "{sent_bytes} bytes in a minute");
    assert!(
        beats_in_a_minute(Watch::Idly) >= 3,
        "an idle link is still alive"
    );
}

#[test]
fn next_busy_link_is_beaten_each_heartbeat() {
    assert_eq!(beats_in_a_minute(Watch::Closely), 120);
}

#[test]
fn next_loosely_watched_link_is_beaten_each_four_seconds() {
    assert_eq!(beats_in_a_minute(Watch::Loosely), 15);
}

#[test]
fn next_link_that_comes_to_be_watched_is_beaten_at_once() {
    let mut pace = LinkPace::default();
    assert_eq!(pace.next(0, view(Watch::Idly, 0), RULES), PaceStep::Beat);
    assert_eq!(
        pace.next(10, view(Watch::Loosely, 0), RULES),
        PaceStep::Beat
    );
    assert_eq!(
        pace.next(20, view(Watch::Closely, 0), RULES),
        PaceStep::Beat
    );
    assert_eq!(
        pace.next(30, view(Watch::Loosely, 0), RULES),
        PaceStep::Rest
    );
}

#[test]
fn next_link_that_died_idle_is_given_up_once_it_has_work() {
    // A switch has forgotten an idle connection: what is sent on it arrives nowhere. The caller
    // would wait for a grant that never comes. The link was last heard long ago, as idle links
    // are, so its silence counts from when work was placed on it.
    let mut pace = LinkPace::default();
    assert_eq!(pace.next(0, view(Watch::Idly, 0), RULES), PaceStep::Beat);
    assert_eq!(
        pace.next(10_000, view(Watch::Idly, 0), RULES),
        PaceStep::Rest
    );
    assert_eq!(
        pace.next(10_500, view(Watch::Closely, 0), RULES),
        PaceStep::Beat
    );
    assert_eq!(
        pace.next(12_000, view(Watch::Closely, 0), RULES),
        PaceStep::Beat
    );
    assert_eq!(
        pace.next(12_500, view(Watch::Closely, 0), RULES),
        PaceStep::GiveUp
    );
}

#[test]
fn next_link_that_is_heard_lives() {
    let mut pace = LinkPace::default();
    for now_ms in (0_u64..100_000).step_by(500) {
        let heard_at_ms = now_ms.saturating_sub(1_999);
        assert_ne!(
            pace.next(now_ms, view(Watch::Closely, heard_at_ms), RULES),
            PaceStep::GiveUp
        );
    }
}

#[test]
fn next_idle_link_that_is_never_heard_is_given_up_at_last() {
    let mut pace = LinkPace::default();
    assert_ne!(
        pace.next(59_999, view(Watch::Idly, 0), RULES),
        PaceStep::GiveUp
    );
    assert_eq!(
        pace.next(60_000, view(Watch::Idly, 0), RULES),
        PaceStep::GiveUp
    );
}

#[test]
fn next_new_revision_is_told_within_a_heartbeat_on_idle_links() {
    let mut pace = LinkPace::default();
    let newer = LinkView {
        revision: StorePosition::new(0, 8),
        ..view(Watch::Idly, 1_000)
    };
    assert_eq!(pace.next(0, view(Watch::Idly, 0), RULES), PaceStep::Beat);
    assert_eq!(pace.next(100, newer, RULES), PaceStep::Rest);
    assert_eq!(pace.next(500, newer, RULES), PaceStep::Beat);
    assert_eq!(pace.next(1_000, newer, RULES), PaceStep::Rest);
}
