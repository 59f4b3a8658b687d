//! Text forms of identifiers.

use sardinewood::ids::ParseRequestIdError;
use sardinewood::ids::RequestId;

#[test]
fn request_id_parse_refuses_other_text() {
    for text in [
        "",
        "req-",
        "req-1",
        "req-+0000000000000000000000000000001",
        "00",
    ] {
        assert_eq!(
            text.parse::<RequestId>(),
            Err(ParseRequestIdError),
            "{text:?}"
        );
    }
}

#[test]
fn request_id_parse_round_trips() {
    let id = RequestId(u128::MAX);
    assert_eq!(id.to_string().parse(), Ok(id));
}
