//! Tests when requests leave their data centre, how many do, and where they go, in virtual time.

use std::sync::Arc;

use sardinewood::direct::placement::data_centres::data_centre_hash;
use sardinewood::direct::placement::dispatch::Dispatcher;
use sardinewood::direct::placement::health::AttemptOutcome;
use sardinewood::direct::placement::job::Job;
use sardinewood::direct::placement::shared_prefix::CachedPrefix;
use sardinewood::direct::placement::slot_search::SearchStep;
use sardinewood::direct::placement::slot_search::SlotSearch;
use sardinewood::direct::sharing::late_start::NOT_IN_TIME_WAIT_MS;
use sardinewood::direct::store_view::directory::Upstream;

use crate::data_centre_model::Model;
use crate::data_centre_model::Site;
use crate::direct_fixture::job;
use crate::direct_fixture::random_numbers;
use crate::direct_fixture::upstream;

const PRICE: Option<u64> = Some(25);

fn four() -> Vec<Site> {
    vec![Site::USUAL; 4]
}

/// Returns a model that has run for two seconds under a load.
fn settled(sites: &[Site], load: impl Fn(usize, u64) -> f64) -> Model {
    let mut model = Model::new(sites, PRICE);
    model.run(2_000, load);
    model.take();
    model
}

fn engine(name: &str, data_centre: &str) -> Arc<Upstream> {
    Arc::new(Upstream {
        data_centre: data_centre.into(),
        ..Upstream::clone(&upstream(name, 2))
    })
}

fn draws() -> impl FnMut() -> usize {
    let mut random = random_numbers();
    move || usize::try_from(random()).expect("a number of 31 bits")
}

#[test]
fn balanced_load_stays() {
    // Guards against requests that leave although their data centre has slots for them.
    let mut model = settled(&four(), |_, _| 0.7);
    model.run(4_000, |_, _| 0.7);
    for (site, tally) in model.take().iter().enumerate() {
        assert!(tally.left(site) < 0.03, "{site}: {}", tally.left(site));
        assert_eq!(tally.in_time, tally.count(), "{site}");
    }
}

#[test]
fn overload_everywhere_is_not_exchanged() {
    // Guards against data centres that are all full and send each other their requests, at the price
    // of bytes and without a gain.
    let load = |_, _| 1.2;
    let mut model = settled(&four(), load);
    let (mut exchanged, mut left, mut all) = (0, 0, 0);
    for _ in 0..8 {
        model.run(500, load);
        let tallies = model.take();
        let flow = |from: usize, to: usize| {
            let started = &tallies[from].started;
            started.get(&to).copied().unwrap_or_default()
        };
        for (one, tally) in tallies.iter().enumerate() {
            all += tally.count();
            for other in 0..one {
                left += flow(one, other) + flow(other, one);
                exchanged += 2 * flow(one, other).min(flow(other, one));
            }
        }
    }
    assert!(exchanged * 100 < all * 5, "exchanged {exchanged} of {all}");
    assert!(left * 100 < all * 20, "left {left} of {all}");
}

#[test]
fn one_of_four_with_twice_the_demand_is_served_by_all() {
    // Guards against a data centre that refuses requests while others have free slots, and against
    // others that send theirs there in return.
    let load = |site: usize, _| if site == 0 { 1.4 } else { 0.7 };
    let mut model = settled(&four(), load);
    model.run(5_000, load);
    let tallies = model.take();
    assert!(
        (0.2..0.5).contains(&tallies[0].left(0)),
        "{}",
        tallies[0].left(0)
    );
    assert_eq!(tallies[0].refused, 0);
    assert_eq!(tallies[0].in_time, tallies[0].count());
    assert!(tallies[0].wait_ms(99) < 250, "{}", tallies[0].wait_ms(99));
    for (site, tally) in tallies.iter().enumerate().skip(1) {
        assert!(tally.left(site) < 0.04, "{site}: {}", tally.left(site));
        assert_eq!(tally.refused, 0);
    }
}

#[test]
fn full_data_centre_spills_at_once_and_returns() {
    // Guards against a decision that is slower than the wave of load it is made for, and against one
    // that goes on when the wave has passed.
    let mut model = settled(&four(), |_, _| 0.5);
    let wave = |site: usize, _| if site == 0 { 2.0 } else { 0.5 };
    // The slots that were free are in use after about 250 ms.
    model.run(300, wave);
    model.take();
    model.run(300, wave);
    let left = model.take()[0].left(0);
    assert!(left > 0.15, "within 300 ms of being full: {left}");
    model.run(1_500, wave);
    model.take();
    model.run(1_000, |_, _| 0.5);
    model.take();
    model.run(1_000, |_, _| 0.5);
    let left = model.take()[0].left(0);
    assert!(left < 0.02, "a second after the wave: {left}");
    for other in 1..4 {
        assert!(model.share(0, other) < 0.01);
    }
}

#[test]
fn waves_out_of_phase_flow_one_way() {
    // Guards against a share that lags behind: requests would leave for a data centre whose own wave
    // has begun.
    let load = |site: usize, at_ms: u64| {
        let is_high = (at_ms / 1_500) % 2 == u64::from(site == 0);
        if is_high { 1.3 } else { 0.5 }
    };
    let sites = [Site::USUAL; 2];
    let mut model = settled(&sites, |_, _| 0.5);
    model.run(9_000, load);
    let tallies = model.take();
    for (site, tally) in tallies.iter().enumerate() {
        assert!(
            (0.05..0.4).contains(&tally.left(site)),
            "{}",
            tally.left(site)
        );
        assert_eq!(tally.refused, 0);
    }
}

#[test]
fn data_centre_without_engines_is_served_by_others() {
    // Guards against callers that are refused because their data centre has no engine, or whose
    // requests all go to the same other one.
    let mut sites = four();
    sites[0].engines = 0;
    let load = |site: usize, _| if site == 0 { 0.6 } else { 0.5 };
    let mut model = settled(&sites, load);
    model.run(3_000, load);
    let tally = &model.take()[0];
    assert_eq!((tally.refused, tally.in_time), (0, tally.count()));
    for other in 1..4 {
        let share = tally.started[&other] * 100 / tally.count();
        assert!((20..47).contains(&share), "{other}: {share}");
    }
    assert!(model.share(0, 1) > 0.99, "the gauge shows it");
}

#[test]
fn one_engine_of_the_version_left_here() {
    // Guards against a roll-out that leaves one engine of the version in a data centre: its callers
    // would all wait for that engine.
    let load = |_, _| 0.6;
    let mut model = settled(&four(), load);
    model
        .set_upstreams(|upstream| !upstream.name.starts_with("e-0-") || &*upstream.name == "e-0-0");
    model.run(1_000, load);
    model.take();
    model.run(3_000, load);
    let tally = &model.take()[0];
    assert!(tally.left(0) > 0.5, "{}", tally.left(0));
    assert_eq!((tally.refused, tally.in_time), (0, tally.count()));
}

#[test]
fn half_of_the_engines_slow() {
    // Guards against requests that are late at slow engines here while usual ones elsewhere are free.
    let mut sites = four();
    sites[0].slow = 3;
    let load = |_, _| 0.6;
    let mut model = settled(&sites, load);
    model.run(5_000, load);
    let tallies = model.take();
    let tally = &tallies[0];
    assert!(tally.in_time * 100 >= tally.count() * 97);
    assert_eq!(tally.refused, 0);
    for (site, tally) in tallies.iter().enumerate().skip(1) {
        assert!(tally.left(site) < 0.03, "{site}: {}", tally.left(site));
    }
}

#[test]
fn cut_off_data_centre_gets_only_probes() {
    // Guards against requests that are sent to a data centre by what was known before it was cut off:
    // its slots look free as soon as its entries' reports have lapsed.
    let load = |site: usize, _| if site == 0 { 1.5 } else { 0.5 };
    let mut model = settled(&four(), load);
    model.cut_off = vec![1];
    model.run(2_000, load);
    model.take();
    model.run(3_000, load);
    let tallies = model.take();
    let to_cut = tallies[0].started.get(&1).copied().unwrap_or_default();
    assert_eq!(to_cut, 0);
    assert!(tallies[0].failed <= 8, "{}", tallies[0].failed);
    assert_eq!(tallies[0].refused, 0, "the others help");
    assert_eq!(tallies[1].refused, 0, "it serves its own callers");
    model.cut_off.clear();
    model.run(1_500, load);
    model.take();
    model.run(2_000, load);
    assert!(model.take()[0].started[&1] > 10, "it helps again");
}

#[test]
fn engines_whose_entries_are_lost_are_used() {
    // Guards against engines that stay idle because no entry of their data centre is heard.
    let load = |site: usize, _| match site {
        0 => 1.8,
        1 => 0.0,
        _ => 0.9,
    };
    let mut model = Model::new(&four(), PRICE);
    model.silent = vec![1];
    model.run(3_000, load);
    model.take();
    model.run(3_000, load);
    let tallies = model.take();
    assert!(tallies[0].started[&1] > 60, "{:?}", tallies[0].started);
}

#[test]
fn plain_services_with_one_upstream_each() {
    // Guards against a wait that is taken for a third of what it is, as each request asks one queue
    // here and not three.
    let site = Site {
        engines: 1,
        slots: 6,
        ..Site::USUAL
    };
    let load = |site: usize, _| if site == 0 { 1.6 } else { 0.6 };
    let mut model = settled(&[site; 4], load);
    model.run(5_000, load);
    let tallies = model.take();
    assert!(
        (0.1..0.6).contains(&tallies[0].left(0)),
        "{}",
        tallies[0].left(0)
    );
    assert_eq!(tallies[0].refused, 0);
}

#[test]
fn least_tier_leaves_before_it_is_refused() {
    // Guards against requests that are refused here, as they may wait for a short time only, while
    // another data centre would start them at once.
    let load = |site: usize, _| if site == 0 { 1.8 } else { 0.3 };
    let mut model = Model::new(&four(), PRICE);
    model.tier = 2;
    model.run(2_000, load);
    model.take();
    model.run(4_000, load);
    let tally = &model.take()[0];
    assert!(
        tally.refused * 100 <= tally.count(),
        "{} of {}",
        tally.refused,
        tally.count()
    );
}

#[test]
fn entries_of_a_data_centre_decide_alike() {
    // Guards against many entries that all see the same free slots and fill them at once.
    for (entries, heartbeat_ms) in [(1, 50), (8, 310)] {
        let site = Site {
            entries,
            ..Site::USUAL
        };
        let load = |site: usize, _| if site == 0 { 1.4 } else { 0.7 };
        let mut model = Model::new(&[site; 4], PRICE);
        model.heartbeat_ms = heartbeat_ms;
        model.run(2_000, load);
        model.take();
        model.run(3_000, load);
        let tallies = model.take();
        assert!(
            (0.15..0.55).contains(&tallies[0].left(0)),
            "{}",
            tallies[0].left(0)
        );
        for (site, tally) in tallies.iter().enumerate().skip(1) {
            assert!(tally.left(site) < 0.06, "{site}: {}", tally.left(site));
            assert_eq!(tally.refused, 0);
        }
    }
}

/// Plays the searches of some requests with replies of all kinds. Returns all steps.
fn played(data_centres: &[&str], price_ms: Option<u64>) -> Vec<String> {
    let engines: Vec<Arc<Upstream>> = (0..9)
        .map(|number| {
            let data_centre = data_centres[number % data_centres.len()];
            engine(&format!("i-{number}"), data_centre)
        })
        .collect();
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_upstreams(&engines);
    let own = data_centre_hash(data_centres[0]);
    dispatcher.data_centres_mut().set_policy(own, price_ms);
    let mut random = random_numbers();
    let mut all = Vec::new();
    for id in 0..60 {
        let at_ms = id * 300;
        let request = Job {
            arrived_ms: at_ms,
            read_at_ms: at_ms,
            objective_at_ms: at_ms + 500,
            deadline_at_ms: at_ms + 10_000,
            caller_leaves_at_ms: at_ms + 2_400,
            ..job(id, 0)
        };
        let mut search = SlotSearch::new(request);
        let mut steps = search.start(&dispatcher, at_ms, &mut random);
        for turn in 0..6 {
            let now_ms = at_ms + turn * 40;
            all.push(format!("{steps:?}"));
            let asked = steps.iter().find_map(|step| match step {
                SearchStep::RequestSlot { id, .. } => Some(*id),
                _ => None,
            });
            steps = match asked {
                Some(ask) if turn != 3 => {
                    let wait_ms = u32::try_from(id * 7 % 400).expect("a short wait");
                    search.record_queued(ask, wait_ms, &mut dispatcher, now_ms);
                    search.handle_queued(ask, wait_ms, &dispatcher, now_ms, &mut random)
                }
                _ => search.handle_timeout(&dispatcher, now_ms, &mut random),
            };
        }
    }
    all
}

#[test]
fn one_data_centre_or_no_price_change_nothing() {
    // Guards against a deployment that is served differently although it has one data centre, or has
    // not switched the choice on: the same random numbers have to give the same slot requests.
    let unpriced = played(&["hall"], None);
    assert_eq!(played(&["hall"], PRICE), unpriced);
    assert_eq!(played(&["hall", "yard"], None), unpriced);
    assert_ne!(played(&["hall", "yard"], PRICE), unpriced);
}

#[test]
fn reply_to_a_late_request_is_no_wait_of_its_data_centre() {
    // Guards against requests that all leave because one that could not be in time was told so: that reply is
    // the longest wait, but no estimate.
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_upstreams(&[engine("here", "hall"), engine("there", "yard")]);
    let own = data_centre_hash("hall");
    dispatcher.data_centres_mut().set_policy(own, PRICE);
    let mut random = random_numbers();
    for id in 0..20 {
        let mut search = SlotSearch::new(job(id, 2));
        let steps = search.start(&dispatcher, 0, &mut random);
        let Some(SearchStep::RequestSlot { id: ask, instance }) = steps.first().cloned() else {
            panic!("no slot request: {steps:?}");
        };
        assert_eq!(&*instance, "here");
        search.record_queued(ask, NOT_IN_TIME_WAIT_MS, &mut dispatcher, 1);
        let steps = search.handle_queued(ask, NOT_IN_TIME_WAIT_MS, &dispatcher, 1, &mut random);
        assert_eq!(steps, [], "asks nobody elsewhere");
    }
}

#[test]
fn long_cached_prefix_elsewhere_is_worth_the_way() {
    // Guards against a prompt that is read again here although sending it costs less, and against a
    // short prefix that draws requests away.
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_upstreams(&[engine("here", "hall"), engine("there", "yard")]);
    let own = data_centre_hash("hall");
    dispatcher.data_centres_mut().set_policy(own, PRICE);
    for instance in ["here", "there"] {
        dispatcher.learn(instance, |health| {
            health.first_event(1_000, 50.0);
            health.next_event(10.0, 0);
        });
    }
    let chosen = |tokens: u32| {
        let cached = CachedPrefix {
            instance: "there".into(),
            tokens,
        };
        let job = Job {
            prompt_tokens: 5_000,
            cached_at: vec![cached],
            ..job(1, 0)
        };
        let chosen = dispatcher.choose(&job, &[], 0, draws()).expect("one");
        chosen.name.to_string()
    };
    assert_eq!(chosen(4_800), "there");
    assert_eq!(chosen(200), "here");
}

#[test]
fn failing_engines_here_are_no_reason_to_stay() {
    // Guards against requests that fail one after the other at the only engine here.
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_upstreams(&[engine("here", "hall"), engine("there", "yard")]);
    let own = data_centre_hash("hall");
    dispatcher.data_centres_mut().set_policy(own, PRICE);
    assert_eq!(
        &*dispatcher
            .choose(&job(1, 0), &[], 0, draws())
            .expect("one")
            .name,
        "here"
    );
    for id in 0..8 {
        dispatcher.occupy_slot("here", 0).expect("a slot");
        dispatcher.finished("here", id, AttemptOutcome::Failed, 5, 0);
    }
    assert_eq!(
        &*dispatcher
            .choose(&job(1, 0), &[], 0, draws())
            .expect("one")
            .name,
        "there"
    );
}
