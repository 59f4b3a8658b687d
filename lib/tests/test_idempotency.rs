//! Idempotency keys: their scope, validation, lookup and expiry.

use sardinewood::claims::idempotency::IdempotencyKey;
use sardinewood::claims::idempotency::IdempotencyTable;
use sardinewood::claims::idempotency::KeyError;
use sardinewood::claims::idempotency::KeyLookup;
use sardinewood::claims::idempotency::RequestDigest;
use sardinewood::ids::RequestId;

fn key(customer: &str, key: &str) -> IdempotencyKey {
    IdempotencyKey::new(customer, key).expect("a valid key")
}

#[test]
fn idempotency_key_new_keeps_customers_apart() {
    // A caller guesses the key of another customer, or moves bytes between the customer's name
    // and the key. The digest must differ, or the caller would read another customer's answer.
    assert_ne!(key("rundu", "refund-7"), key("walvis", "refund-7"));
    assert_ne!(key("rundu", "x-1"), key("rundux", "-1"));
    assert_eq!(key("rundu", "refund-7"), key("rundu", "refund-7"));
}

#[test]
fn idempotency_key_new_refuses_bad_keys() {
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
fn idempotency_table_lookup_tells_repetition_from_misuse() {
    let first = RequestDigest::new("POST", "/v1/refunds", b"100");
    let second = RequestDigest::new("POST", "/v1/refunds", b"900");
    let mut table = IdempotencyTable::new(1, 1_000);
    table.insert(key("rundu", "a"), first, RequestId(1));
    assert_eq!(
        table.lookup(key("rundu", "a"), first),
        KeyLookup::Join(RequestId(1))
    );
    assert_eq!(
        table.lookup(key("rundu", "a"), second),
        KeyLookup::KeyReused
    );
    assert_eq!(table.lookup(key("rundu", "b"), first), KeyLookup::Full);
}

#[test]
fn idempotency_table_expire_keeps_unfinished() {
    let digest = RequestDigest::new("POST", "/", b"");
    let mut table = IdempotencyTable::new(10, 1_000);
    table.insert(key("rundu", "done"), digest, RequestId(1));
    table.insert(key("rundu", "open"), digest, RequestId(2));
    table.finish(key("rundu", "done"), 500);
    table.expire(1_499);
    assert_eq!(table.len(), 2);
    table.expire(1_500);
    assert_eq!(table.request(key("rundu", "done")), None);
    assert_eq!(table.request(key("rundu", "open")), Some(RequestId(2)));
}
