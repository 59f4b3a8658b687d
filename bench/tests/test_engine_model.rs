//! The engine model: what goes in comes out once, and times follow from the batch.

use std::rc::Rc;

use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sardinewood_bench::engine_model::EngineEvent;
use sardinewood_bench::engine_model::EngineModel;
use sardinewood_bench::engine_model::Job;
use sardinewood_bench::engine_model::PrefillCount;
use sardinewood_bench::engine_model::PrefixPart;

use crate::fixtures::engine_kind;

const FAR_US: u64 = 1_000_000_000;

fn job(id: u64, prompt_tokens: u32, output_tokens: u32) -> Job {
    Job {
        id,
        prompt_tokens,
        output_tokens,
        prefix: Rc::new([]),
    }
}

fn finished(events: &[EngineEvent]) -> Vec<(u64, u64)> {
    events
        .iter()
        .filter_map(|event| match event {
            EngineEvent::Finished { at_us, id, .. } => Some((*id, *at_us)),
            _ => None,
        })
        .collect()
}

#[test]
fn advance_alone_takes_prefill_and_steps() {
    let mut engine = EngineModel::new(engine_kind());
    engine.submit(0, job(1, 200, 11));
    engine.advance(FAR_US);
    // Two chunks of 100 ms and 8 ms each, of which the last yields the first token, then
    // ten steps of 10 ms.
    assert_eq!(finished(&engine.take_events()), [(1, 316_000)]);
}

#[test]
fn advance_slow_engine_takes_longer() {
    let mut engine = EngineModel::new(engine_kind());
    engine.set_slowness(0, 4.0);
    engine.submit(0, job(1, 200, 11));
    engine.advance(FAR_US);
    assert_eq!(finished(&engine.take_events()), [(1, 4 * 316_000)]);
}

#[test]
fn submit_beyond_slots_waits_first_come_first_served() {
    let mut engine = EngineModel::new(engine_kind());
    for id in 1..=4 {
        engine.submit(0, job(id, 10, 50));
    }
    assert_eq!((engine.running(), engine.waiting()), (1, 3));
    engine.advance(FAR_US);
    let order: Vec<u64> = finished(&engine.take_events())
        .into_iter()
        .map(|(id, _)| id)
        .collect();
    assert_eq!(order, [1, 2, 3, 4]);
}

#[test]
fn cancel_takes_effect_after_the_step() {
    let mut engine = EngineModel::new(engine_kind());
    engine.submit(0, job(1, 100, 100));
    engine.advance(108_000);
    engine.cancel(113_000, 1);
    engine.advance(FAR_US);
    let last = engine.take_events().pop();
    let prefill = PrefillCount {
        computed_tokens: 100,
        repeated_tokens: 0,
    };
    assert_eq!(
        last,
        Some(EngineEvent::Cancelled {
            at_us: 118_000,
            id: 1,
            prefill
        })
    );
    assert_eq!(engine.running(), 0);
}

#[test]
fn submit_cached_prefix_is_not_computed_again() {
    let mut engine = EngineModel::new(engine_kind());
    let prefix: Rc<[PrefixPart]> = Rc::new([PrefixPart {
        fingerprint: 7,
        tokens: 80,
    }]);
    for id in [1, 2] {
        engine.submit(
            id * 1_000_000,
            Job {
                prefix: Rc::clone(&prefix),
                ..job(id, 100, 1)
            },
        );
        engine.advance(id * 1_000_000 + 900_000);
    }
    let computed: Vec<u64> = engine
        .take_events()
        .iter()
        .filter_map(|event| match event {
            EngineEvent::Finished { prefill, .. } => Some(prefill.computed_tokens),
            _ => None,
        })
        .collect();
    assert_eq!(computed, [100, 20]);
}

#[test]
fn advance_full_kv_repeats_the_newest() {
    let mut engine = EngineModel::new(engine_kind());
    engine.submit(0, job(1, 400, 200));
    engine.submit(0, job(2, 400, 200));
    engine.advance(FAR_US);
    let repeated: IndexMap<u64, u64> = engine
        .take_events()
        .iter()
        .filter_map(|event| match event {
            EngineEvent::Finished { id, prefill, .. } => Some((*id, prefill.repeated_tokens)),
            _ => None,
        })
        .collect();
    assert_eq!(repeated[&1], 0);
    assert!(repeated[&2] >= 400, "{repeated:?}");
}

#[test]
fn advance_random_orders_conserve_requests_and_tokens() {
    for seed in 0..20 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut engine = EngineModel::new(engine_kind());
        let mut expected = IndexMap::new();
        let mut events = Vec::new();
        let mut now_us = 0;
        for id in 0..200 {
            now_us += random.random_range(0..100_000);
            engine.advance(now_us);
            events.append(&mut engine.take_events());
            let output_tokens = random.random_range(1..30);
            expected.insert(id, output_tokens);
            engine.submit(now_us, job(id, random.random_range(1..300), output_tokens));
            if random.random_bool(0.2) {
                engine.cancel(now_us, random.random_range(0..=id));
            }
        }
        engine.advance(FAR_US);
        events.append(&mut engine.take_events());
        assert_conserved(&expected, &events);
        assert_eq!((engine.running(), engine.waiting()), (0, 0));
    }
}

/// Each request ends once, and one that finished got exactly its tokens.
fn assert_conserved(expected: &IndexMap<u64, u32>, events: &[EngineEvent]) {
    let mut produced: IndexMap<u64, u32> = IndexMap::new();
    let mut over = IndexSet::new();
    for event in events {
        match event {
            EngineEvent::FirstToken { id, .. } => *produced.entry(*id).or_default() += 1,
            EngineEvent::Tokens { id, count, .. } => *produced.entry(*id).or_default() += count,
            EngineEvent::Finished { id, .. } => {
                assert!(over.insert(*id), "{id} ended twice");
                assert_eq!(produced[id], expected[id]);
            }
            EngineEvent::Cancelled { id, .. } => assert!(over.insert(*id), "{id} ended twice"),
            EngineEvent::Stored { .. } | EngineEvent::Evicted { .. } => {}
        }
    }
    assert_eq!(over.len(), expected.len());
}
