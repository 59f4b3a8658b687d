//! Hashes of keys.

use std::sync::Arc;

use sardinewood::secrets::matches_any;
use sardinewood::secrets::sha256_hex;

#[test]
fn sha256_hex_known_vector() {
    let expected = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(sha256_hex("abc"), expected);
}

#[test]
fn matches_any_needs_the_whole_hash() {
    let whole: Arc<str> = sha256_hex("abc").into();
    let cut: Arc<str> = whole[..63].into();
    assert!(matches_any("abc", &["".into(), cut.clone(), whole.clone()]));
    assert!(!matches_any("abc", &["".into(), cut]));
    assert!(!matches_any("abd", &[whole]));
    assert!(!matches_any("", &[]));
}
