//! Bodies of the model API: what is read of them, and what a profile adds.

use bytes::Bytes;
use sardinewood::caller::body::ModelCall;
use sardinewood::caller::body::ModelRequest;
use sardinewood::caller::body::read_model_request;
use sardinewood::config::objects::Profile;
use serde_json::Value;
use serde_json::json;

/// A profile that names a model and limits the output.
fn profile() -> Profile {
    let profile = json!({
        "name": "lookup", "tier": 3, "deadline_ms": 1000, "model": "small",
        "limits": {"max_output_tokens": 50},
    });
    serde_json::from_value(profile).expect("a profile")
}

fn read(body: &str) -> ModelRequest {
    let body = Bytes::copy_from_slice(body.as_bytes());
    read_model_request(ModelCall::Chat, body, &profile()).expect("a request")
}

fn sent(body: &str) -> Value {
    serde_json::from_slice(&read(body).body).expect("an object")
}

#[test]
fn body_with_all_fields_passed_on_byte_for_byte() {
    let body = r#" {"max_tokens" : 7, "model":"big","messages":[ "a" ]}"#;
    assert_eq!(&read(body).body[..], body.as_bytes());
}

#[test]
fn missing_fields_added() {
    let sent = sent(r#" { "messages": ["a"], "user": {"model": "x"}}"#);
    let expected = json!({
        "model": "small", "max_tokens": 50, "messages": ["a"], "user": {"model": "x"},
    });
    assert_eq!(sent, expected);
}

#[test]
fn null_fields_replaced() {
    // Guards against a field that is there twice, of which the upstream may take the null.
    let body = r#"{"max_tokens": null, "messages": ["a"], "model": null }"#;
    let request = read(body);
    let expected = r#"{"max_tokens": 50, "messages": ["a"], "model": "small" }"#;
    assert_eq!(&request.body[..], expected.as_bytes());
    assert_eq!(&*request.model, "small");
}

#[test]
fn wrong_types_rejected() {
    for (body, code) in [
        (r#"{"messages": 7}"#, "invalid_field"),
        (r#"{"messages": {"a": "b"}}"#, "invalid_field"),
        (r#"{"messages": null}"#, "field_missing"),
        (r#"{"model": 7, "messages": []}"#, "invalid_json"),
        (r#"{"max_tokens": "many", "messages": []}"#, "invalid_json"),
        (r#"{"messages": [}"#, "invalid_json"),
    ] {
        let body = Bytes::copy_from_slice(body.as_bytes());
        let error = read_model_request(ModelCall::Chat, body, &profile()).expect_err("an error");
        assert_eq!(error.code, code, "{}", error.message);
    }
}

#[test]
fn prompt_texts_counted_at_any_depth() {
    let body = json!({"messages": [
        {"role": "user", "content": [{"type": "text", "text": "w".repeat(40_000)}, 7, null, true]},
    ]});
    let request = read(&body.to_string());
    assert_eq!(request.estimate.prompt_tokens, 40_010 / 4 + 1);
    assert_eq!(request.estimate.prefix.len(), 16);
    let other = json!({"messages": [{"role": "user", "content": "w".repeat(3_000)}]});
    let other = read(&other.to_string());
    assert_eq!(other.estimate.prefix.len(), 2);
}
