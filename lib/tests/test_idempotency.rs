//! Names of requests: whose they are, and what is refused.

use sardinewood::claims::idempotency::IdempotencyKey;
use sardinewood::claims::idempotency::IdempotencyTable;
use sardinewood::claims::idempotency::KeyError;
use sardinewood::claims::idempotency::KeyLookup;
use sardinewood::claims::idempotency::RequestDigest;
use sardinewood::ids::RequestId;

fn name(customer: &str, key: &str) -> IdempotencyKey {
    IdempotencyKey::new(customer, key).expect("a valid key")
}

#[test]
fn request_name_new_keeps_customers_apart() {
    // The caller of one customer guesses another's key, or moves bytes between the two
    // parts; it must come to another name, or it would read a foreign answer.
    assert_ne!(name("rundu", "refund-7"), name("walvis", "refund-7"));
    assert_ne!(name("rundu", "x-1"), name("rundux", "-1"));
    assert_eq!(name("rundu", "refund-7"), name("rundu", "refund-7"));
}

#[test]
fn request_name_new_refuses_bad_keys() {
    assert_eq!(IdempotencyKey::new("rundu", ""), Err(KeyError::Empty));
    assert_eq!(
        IdempotencyKey::new("rundu", &"k".repeat(256)),
        Err(KeyError::TooLong { length: 256 })
    );
    assert_eq!(
        IdempotencyKey::new("rundu", "a b"),
        Err(KeyError::NotVisibleAscii)
    );
}

#[test]
fn known_names_admission_tells_repetition_from_misuse() {
    let first = RequestDigest::new("POST", "/v1/refunds", b"100");
    let second = RequestDigest::new("POST", "/v1/refunds", b"900");
    let mut names = IdempotencyTable::new(1, 1_000);
    names.insert(name("rundu", "a"), first, RequestId(1));
    assert_eq!(
        names.lookup(name("rundu", "a"), first),
        KeyLookup::Join(RequestId(1))
    );
    assert_eq!(
        names.lookup(name("rundu", "a"), second),
        KeyLookup::KeyReused
    );
    assert_eq!(names.lookup(name("rundu", "b"), first), KeyLookup::Full);
}

#[test]
fn known_names_expire_keeps_unfinished() {
    let digest = RequestDigest::new("POST", "/", b"");
    let mut names = IdempotencyTable::new(10, 1_000);
    names.insert(name("rundu", "done"), digest, RequestId(1));
    names.insert(name("rundu", "open"), digest, RequestId(2));
    names.finish(name("rundu", "done"), 500);
    names.expire(1_499);
    assert_eq!(names.len(), 2);
    names.expire(1_500);
    assert_eq!(names.request(name("rundu", "done")), None);
    assert_eq!(names.request(name("rundu", "open")), Some(RequestId(2)));
}
