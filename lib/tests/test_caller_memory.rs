//! The account of what callers hold.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sardinewood::caller::memory::CallerMemory;
use sardinewood::caller::memory_account::MemoryAccount;
use sardinewood::caller::memory_account::MemoryError;
use sardinewood::caller::memory_account::Stage;
use sardinewood::caller::memory_limits::CONNECTION_BYTES;
use sardinewood::caller::memory_limits::DEFAULT_DESCRIPTORS;
use sardinewood::caller::memory_limits::DEFAULT_MEMORY_BYTES;
use sardinewood::caller::memory_limits::FILE_DESCRIPTORS;
use sardinewood::caller::memory_limits::HTTP_STATE_BYTES;
use sardinewood::caller::memory_limits::MemoryLimits;
use sardinewood::direct::replication::peer_pull::MAX_PULLS;
use sardinewood::direct::request::held_bytes::MAX_HELD_BYTES;
use sardinewood::direct::request::held_bytes::MAX_SHORT_BYTES;
use sardinewood::direct::request::listeners::MAX_PAGE_CONNECTIONS;
use sardinewood::direct::request::listeners::PAGE_BUFFER_BYTES;
use sardinewood::direct::server::CALLERS_BACKLOG;
use sardinewood::direct::server::PAGES_BACKLOG;
use sardinewood::direct::server::PEERS_BACKLOG;
use sardinewood::listener::MAX_UNREAD_BYTES;

/// Longest body of a request in these tests.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Bytes of a body that arrive at a time.
const PART: [u8; 16 << 10] = [b'x'; 16 << 10];
/// Long bodies of one customer that fit into the smallest host.
const CUSTOMER_BODIES: usize = 7;
/// A time after which a connection that stood still counts as such.
const LATER_MS: u64 = 2_000;

fn account() -> MemoryAccount {
    MemoryAccount::new(MemoryLimits::default())
}

/// Opens a connection of a customer, with its HTTP state.
fn open(account: &mut MemoryAccount, customer: &str, now_ms: u64) -> Result<u64, MemoryError> {
    let connection = account.open(now_ms)?;
    account.reserve(connection, HTTP_STATE_BYTES, now_ms)?;
    account.set_stage(connection, Stage::Receiving, now_ms);
    account.set_customer(connection, Some(&customer.into()));
    Ok(connection)
}

/// Receives so many bytes of a body.
fn receive(
    account: &mut MemoryAccount,
    connection: u64,
    bytes: usize,
    now_ms: u64,
) -> Result<(), MemoryError> {
    let mut left = bytes;
    while left > 0 {
        let part = &PART[..left.min(PART.len())];
        account.receive(connection, part.len() as u64, now_ms);
        account.push_body(connection, part, MAX_BODY_BYTES, now_ms)?;
        left -= part.len();
    }
    Ok(())
}

fn is_evicted(account: &MemoryAccount, connection: u64) -> bool {
    account.evicted(connection).is_cancelled()
}

#[test]
fn bounds_of_all_parts_within_the_smallest_host() {
    // Guards against a bound that is raised without regard to the others.
    /// The program and its state at the size to design for; see docs/CAPACITY.md.
    const PROGRAM_BYTES: u64 = 36_000_000;
    let page_bytes = MAX_UNREAD_BYTES + 2 * PAGE_BUFFER_BYTES as u64;
    let backlog = CALLERS_BACKLOG + PEERS_BACKLOG + 2 * PAGES_BACKLOG;
    let parts = [
        MemoryLimits::default().max_bytes,
        MAX_HELD_BYTES + MAX_SHORT_BYTES,
        u64::from(backlog) * MAX_UNREAD_BYTES,
        2 * MAX_PAGE_CONNECTIONS as u64 * page_bytes,
        MAX_PULLS as u64 * 2 * MAX_UNREAD_BYTES,
        PROGRAM_BYTES,
    ];
    let all_bytes: u64 = parts.iter().sum();
    assert!(all_bytes <= DEFAULT_MEMORY_BYTES, "{parts:?}: {all_bytes}");
}

#[test]
fn bounds_of_all_connections_within_the_descriptors() {
    // Guards against callers that leave no descriptors for upstreams, the store and peers.
    let callers = MemoryLimits::default().max_connections;
    let others = 2 * MAX_PAGE_CONNECTIONS + MAX_PULLS;
    let sockets = usize::try_from(DEFAULT_DESCRIPTORS - FILE_DESCRIPTORS).unwrap();
    assert!(callers + others <= sockets * 4 / 5, "{callers} + {others}");
}

#[test]
fn body_that_stands_still_gives_way() {
    // Guards against unfinished bodies that keep the memory from those that move.
    let mut account = account();
    let still: Vec<u64> = (0..CUSTOMER_BODIES)
        .map(|_| {
            let connection = open(&mut account, "a", 0).unwrap();
            receive(&mut account, connection, MAX_BODY_BYTES - 1, 0).unwrap();
            connection
        })
        .collect();
    let moving = open(&mut account, "a", LATER_MS).unwrap();
    receive(&mut account, moving, MAX_BODY_BYTES, LATER_MS).unwrap();
    let evicted = still.iter().filter(|id| is_evicted(&account, **id)).count();
    assert_eq!(evicted, 1);
    assert!(account.finish_body(moving, LATER_MS).is_ok());
}

#[test]
fn byte_now_and_then_is_no_progress() {
    // Guards against bodies that are kept alive by a byte at a time.
    let mut account = account();
    let dripping = open(&mut account, "a", 0).unwrap();
    receive(&mut account, dripping, MAX_BODY_BYTES / 2, 0).unwrap();
    let others: Vec<u64> = (0..CUSTOMER_BODIES)
        .map(|_| open(&mut account, "a", 0).unwrap())
        .collect();
    for now_ms in (0..LATER_MS).step_by(100) {
        receive(&mut account, dripping, 1, now_ms).unwrap();
        for other in &others {
            receive(&mut account, *other, 8 << 10, now_ms).unwrap();
        }
    }
    for other in &others {
        receive(&mut account, *other, MAX_BODY_BYTES / 16 * 15, LATER_MS).unwrap();
    }
    let next = open(&mut account, "a", LATER_MS).unwrap();
    receive(&mut account, next, MAX_BODY_BYTES / 2, LATER_MS).unwrap();
    assert!(is_evicted(&account, dripping));
    assert!(others.iter().all(|id| !is_evicted(&account, *id)));
}

#[test]
fn kept_connection_with_a_new_request_is_not_first() {
    // Guards against a request that gives way because its connection was idle before it.
    let limits = MemoryLimits {
        max_connections: 2,
        ..MemoryLimits::default()
    };
    let mut account = MemoryAccount::new(limits);
    let kept = open(&mut account, "a", 0).unwrap();
    account.set_stage(kept, Stage::Serving, 0);
    account.set_stage(kept, Stage::Idle, 0);
    let silent = account.open(LATER_MS - 100).unwrap();
    account.receive(kept, 10, LATER_MS);
    account.open(LATER_MS).unwrap();
    assert!(is_evicted(&account, silent) && !is_evicted(&account, kept));
}

#[test]
fn body_apart_from_its_connection_moves() {
    // Guards against bodies that count as standing still since their beginning, however fast they arrive.
    let mut account = account();
    let bodies: Vec<u64> = (0..CUSTOMER_BODIES)
        .map(|_| {
            let request = account.open_request(0);
            account.set_customer(request, Some(&"a".into()));
            request
        })
        .collect();
    for number in 0..(MAX_BODY_BYTES / PART.len() - 1) as u64 {
        for body in &bodies {
            account
                .push_body(*body, &PART, MAX_BODY_BYTES, number * 10)
                .unwrap();
        }
    }
    let next = account.open_request(LATER_MS);
    account.set_customer(next, Some(&"a".into()));
    let now_ms = (MAX_BODY_BYTES / PART.len()) as u64 * 10;
    let pushed = (0..256).try_for_each(|_| account.push_body(next, &PART, MAX_BODY_BYTES, now_ms));
    assert_eq!(pushed, Err(MemoryError::NoRoom));
    assert!(bodies.iter().all(|id| !is_evicted(&account, *id)));
}

#[test]
fn moving_bodies_do_not_push_each_other_out() {
    // Guards against bodies of which none becomes whole.
    let mut account = account();
    let bodies: Vec<u64> = (0..40)
        .map(|_| open(&mut account, "a", 0).unwrap())
        .collect();
    let mut unfinished = bodies.clone();
    let mut received = 0;
    while received < MAX_BODY_BYTES {
        unfinished.retain(|id| {
            let result = receive(&mut account, *id, PART.len(), 0);
            if result.is_err() {
                account.close(*id);
            }
            result.is_ok()
        });
        received += PART.len();
    }
    assert!(unfinished.len() >= CUSTOMER_BODIES - 1, "{unfinished:?}");
    assert_eq!(account.usage().evicted_bodies, 0);
}

#[test]
fn whole_request_never_gives_way() {
    // Guards against requests that are dropped after they were accepted.
    let mut account = account();
    let bodies: Vec<_> = (0..CUSTOMER_BODIES)
        .map(|_| {
            let connection = open(&mut account, "a", 0).unwrap();
            receive(&mut account, connection, MAX_BODY_BYTES, 0).unwrap();
            account.finish_body(connection, 0).unwrap()
        })
        .collect();
    let next = open(&mut account, "a", LATER_MS).unwrap();
    let result = receive(&mut account, next, MAX_BODY_BYTES, LATER_MS);
    assert_eq!(result, Err(MemoryError::NoRoom));
    assert_eq!(account.usage().evicted_connections, 0);
    for (body, customer) in &bodies {
        account.free_body(body.capacity(), customer);
    }
    account.discard_body(next);
    assert_eq!(account.usage().body_bytes, 0);
}

#[test]
fn other_customer_has_room_beside_a_customer_with_long_bodies() {
    // Guards against one customer that takes the memory from all others.
    let mut account = account();
    for _ in 0..40 {
        let connection = open(&mut account, "a", 0).unwrap();
        if receive(&mut account, connection, MAX_BODY_BYTES, 0).is_ok() {
            account.finish_body(connection, 0).unwrap();
        } else {
            account.close(connection);
        }
    }
    let other = open(&mut account, "b", 0).unwrap();
    receive(&mut account, other, MAX_BODY_BYTES, 0).unwrap();
}

#[test]
fn short_requests_have_room_beside_long_bodies() {
    // Guards against long bodies that leave no room for anything else.
    let mut account = account();
    for number in 0..40 {
        let connection = open(&mut account, &format!("c-{}", number % 4), 0).unwrap();
        if receive(&mut account, connection, MAX_BODY_BYTES, 0).is_ok() {
            account.finish_body(connection, 0).unwrap();
        } else {
            account.close(connection);
        }
    }
    for _ in 0..100 {
        let connection = open(&mut account, "d", 0).unwrap();
        receive(&mut account, connection, 1_000, 0).unwrap();
        account.finish_body(connection, 0).unwrap();
    }
    assert_eq!(account.usage().evicted_connections, 0);
}

#[test]
fn silent_connection_gives_way_before_a_kept_one() {
    // Guards against callers that lose their kept connections to those that never send a request.
    let limits = MemoryLimits {
        max_connections: 20,
        ..MemoryLimits::default()
    };
    let mut account = MemoryAccount::new(limits);
    let kept: Vec<u64> = (0..10)
        .map(|_| {
            let connection = open(&mut account, "a", 0).unwrap();
            account.set_stage(connection, Stage::Serving, 0);
            account.set_stage(connection, Stage::Idle, 0);
            connection
        })
        .collect();
    for _ in 0..10 {
        account.open(1_000).unwrap();
    }
    for _ in 0..10 {
        account.open(LATER_MS).unwrap();
    }
    assert_eq!(account.usage().evicted_connections, 10);
    assert!(kept.iter().all(|id| !is_evicted(&account, *id)));
}

#[test]
fn connections_bounded_by_memory() {
    // Guards against connections that hold more than the host has, whatever it has of descriptors.
    let mut account = account();
    for now_ms in 0..3_000 {
        open(&mut account, "a", now_ms).unwrap();
    }
    let usage = account.usage();
    assert!(usage.connection_bytes <= account.limits().max_bytes);
    let open_bytes = CONNECTION_BYTES + HTTP_STATE_BYTES;
    assert!(usage.connection_bytes + open_bytes > account.limits().max_bytes - open_bytes);
}

#[test]
fn discarding_bounded_and_first_to_give_way() {
    // Guards against refused requests that hold as much as accepted ones.
    let mut account = account();
    let refused: Vec<u64> = (0..300)
        .map(|_| open(&mut account, "a", 0).unwrap())
        .collect();
    let discarding = refused
        .iter()
        .filter(|id| account.start_discarding(**id, 0))
        .count();
    assert_eq!(discarding, 256);
    let still = open(&mut account, "a", 0).unwrap();
    while account.usage().evicted_connections == 0 {
        open(&mut account, "a", LATER_MS).unwrap();
    }
    assert!(!is_evicted(&account, still));
}

#[test]
fn longest_body_accepted_by_itself() {
    // Guards against a configuration whose longest body would never be accepted.
    let max_body_bytes = 48 << 20;
    let mut account = account();
    let connection = open(&mut account, "a", 0).unwrap();
    for _ in 0..(max_body_bytes / PART.len()) {
        account
            .push_body(connection, &PART, max_body_bytes, 0)
            .unwrap();
    }
}

#[test]
fn memory_given_back_whatever_ends_a_connection() {
    // Guards against an account that drifts from what is held.
    let memory = CallerMemory::default();
    let connection = memory.open().unwrap();
    connection.reserve(HTTP_STATE_BYTES).unwrap();
    connection.push_body(b"whole", 100).unwrap();
    let body = connection.finish_body().unwrap();
    connection.push_body(b"unfinished", 100).unwrap();
    drop(connection);
    assert_eq!(memory.usage().connection_bytes, 0);
    drop(body);
    assert_eq!(memory.usage().body_bytes, 0);
}

#[test]
fn random_callers_stay_within_the_limits() {
    // Guards against a series of events after which more is held than allowed, or the sums are wrong.
    for seed in 0..50 {
        play_random_callers(seed);
    }
}

fn play_random_callers(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let limits = MemoryLimits {
        max_bytes: 16 << 20,
        max_connections: 100,
    };
    let mut account = MemoryAccount::new(limits);
    let mut connections: Vec<u64> = Vec::new();
    let mut bodies = Vec::new();
    for now_ms in 0..4_000 {
        if random.random_ratio(1, 3) || connections.is_empty() {
            let customer = format!("c-{}", random.random_range(0..3));
            connections.extend(open(&mut account, &customer, now_ms));
        }
        let Some(index) =
            (!connections.is_empty()).then(|| random.random_range(0..connections.len()))
        else {
            continue;
        };
        let connection = connections[index];
        let ends = match random.random_range(0..8) {
            0..5 => {
                let bytes = random.random_range(0..1_000_000);
                receive(&mut account, connection, bytes, now_ms).is_err()
            }
            5 => {
                bodies.extend(account.finish_body(connection, now_ms));
                false
            }
            6 => {
                account.set_stage(connection, Stage::Idle, now_ms);
                false
            }
            _ => true,
        };
        if ends {
            account.close(connections.swap_remove(index));
        }
        if bodies.len() > 3 {
            let (body, customer): (Vec<u8>, std::sync::Arc<str>) = bodies.swap_remove(0);
            account.free_body(body.capacity(), &customer);
        }
        connections.retain(|id| {
            let has_given_way = is_evicted(&account, *id);
            if has_given_way {
                account.close(*id);
            }
            !has_given_way
        });
        let usage = account.usage();
        let held_bytes = usage.connection_bytes + usage.body_bytes;
        assert!(held_bytes <= limits.max_bytes, "seed {seed}: {usage:?}");
        assert!(usage.connections <= limits.max_connections, "seed {seed}");
    }
    for connection in connections {
        account.close(connection);
    }
    for (body, customer) in bodies {
        account.free_body(body.capacity(), &customer);
    }
    let usage = account.usage();
    assert_eq!(
        (usage.connection_bytes, usage.body_bytes),
        (0, 0),
        "seed {seed}"
    );
}
