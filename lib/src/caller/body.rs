//! Bodies of the model API: which model, how much work, and which prompt.

use std::hash::Hasher;
use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;
use twox_hash::XxHash64;

use crate::caller::openai_error::ApiError;
use crate::caller::submission::WorkEstimate;
use crate::config::objects::Profile;

/// Characters that make a token, in the mean; the engine alone can count tokens.
const BYTES_PER_TOKEN: usize = 4;
/// Bytes of the prompt under one fingerprint.
const BLOCK_BYTES: usize = 1_024;
/// Blocks of the prompt that have a fingerprint.
const MAX_BLOCKS: usize = 16;
/// Taken where neither request nor profile bounds the output.
const DEFAULT_OUTPUT_TOKENS: u32 = 1_024;
/// Output that a request is expected to take when nothing was learned of its profile.
const EXPECTED_OUTPUT_TOKENS: u32 = 128;

/// Which call of the model API it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ModelCall {
    /// `POST /v1/chat/completions`
    Chat,
    /// `POST /v1/completions`
    Completion,
}

/// What a body of the model API asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelRequest {
    /// The model.
    pub model: Arc<str>,
    /// What it is expected to cost.
    pub estimate: WorkEstimate,
    /// The body as it goes to the engine.
    pub body: Bytes,
}

/// The fields that matter here; all others go to the engine as they are.
#[derive(Deserialize)]
struct Fields {
    model: Option<Arc<str>>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    messages: Option<Value>,
    #[serde(default)]
    prompt: Option<Value>,
}

/// Reads a body of the model API.
///
/// # Errors
///
/// It is not JSON, a field is missing or not of its kind, or it asks for more than its
/// profile allows.
///
/// ```
/// use sardinewood::caller::body::{ModelCall, read_model_request};
/// # let profile = serde_json::from_str(
/// #     r#"{"name": "lookup", "tier": 3, "deadline_ms": 1000, "model": "small"}"#).unwrap();
/// let body = br#"{"messages": [{"role": "user", "content": "hello"}], "max_tokens": 7}"#;
/// let request = read_model_request(ModelCall::Chat, body.to_vec().into(), &profile).unwrap();
/// assert_eq!(&*request.model, "small");
/// assert_eq!(request.estimate.max_output_tokens, 7);
/// let error = read_model_request(ModelCall::Chat, "{".into(), &profile).unwrap_err();
/// assert_eq!(error.code, "invalid_json");
/// ```
pub fn read_model_request(
    call: ModelCall,
    body: Bytes,
    profile: &Profile,
) -> Result<ModelRequest, ApiError> {
    // The JSON library also reads a list as the fields in their order.
    if body.trim_ascii_start().first() == Some(&b'[') {
        return Err(ApiError::bad_request(
            "invalid_json",
            "the body is a list, not an object",
        ));
    }
    let fields: Fields = serde_json::from_slice(&body)
        .map_err(|error| ApiError::bad_request("invalid_json", format!("the body: {error}")))?;
    let prompt = match call {
        ModelCall::Chat => required(fields.messages.as_ref(), "messages")?,
        ModelCall::Completion => required(fields.prompt.as_ref(), "prompt")?,
    };
    let Some(model) = fields.model.clone().or_else(|| profile.model.clone()) else {
        return Err(ApiError::bad_request(
            "model_missing",
            "the body names no `model`, and the profile has none",
        ));
    };
    let asked = fields.max_completion_tokens.or(fields.max_tokens);
    let allowed = profile.limits.max_output_tokens;
    check_output(asked, allowed)?;
    let max_output_tokens = asked.or(allowed).unwrap_or(DEFAULT_OUTPUT_TOKENS);
    let mut text = Vec::new();
    collect_text(prompt, &mut text);
    let estimate = WorkEstimate {
        prompt_tokens: u32::try_from(text.len() / BYTES_PER_TOKEN + 1).unwrap_or(u32::MAX),
        expected_output_tokens: EXPECTED_OUTPUT_TOKENS.min(max_output_tokens),
        max_output_tokens,
        prefix: prefix(&text),
    };
    let added_limit = allowed.filter(|_| asked.is_none());
    let added_model = fields.model.is_none().then(|| model.clone());
    let body = completed(body, added_model, added_limit)?;
    Ok(ModelRequest {
        model,
        estimate,
        body,
    })
}

fn required<'a>(field: Option<&'a Value>, name: &str) -> Result<&'a Value, ApiError> {
    match field {
        Some(value @ (Value::String(_) | Value::Array(_))) => Ok(value),
        Some(_) => Err(ApiError::bad_request(
            "invalid_field",
            format!("`{name}` is neither a text nor a list"),
        )),
        None => Err(ApiError::bad_request(
            "field_missing",
            format!("the body has no `{name}`"),
        )),
    }
}

fn check_output(asked: Option<u32>, allowed: Option<u32>) -> Result<(), ApiError> {
    match (asked, allowed) {
        (Some(asked), Some(allowed)) if asked > allowed => Err(ApiError::bad_request(
            "max_tokens_over_limit",
            format!("{asked} output tokens are over the profile's limit of {allowed}"),
        )),
        _ => Ok(()),
    }
}

/// Collects the texts of a prompt in their order, with what keeps two of them apart.
fn collect_text(value: &Value, text: &mut Vec<u8>) {
    match value {
        Value::String(part) => {
            text.extend_from_slice(part.as_bytes());
            text.push(0);
        }
        Value::Array(parts) => parts.iter().for_each(|part| collect_text(part, text)),
        Value::Object(fields) => fields.values().for_each(|part| collect_text(part, text)),
        Value::Null | Value::Bool(_) | Value::Number(_) => {}
    }
}

/// Fingerprints of the prompt's leading whole blocks; each covers all blocks before it.
fn prefix(text: &[u8]) -> Vec<u64> {
    let mut hasher = XxHash64::with_seed(0);
    text.chunks_exact(BLOCK_BYTES)
        .take(MAX_BLOCKS)
        .map(|block| {
            hasher.write(block);
            hasher.finish()
        })
        .collect()
}

/// The body with what the profile adds. It is passed on byte for byte if nothing is added.
fn completed(
    body: Bytes,
    model: Option<Arc<str>>,
    max_tokens: Option<u32>,
) -> Result<Bytes, ApiError> {
    if model.is_none() && max_tokens.is_none() {
        return Ok(body);
    }
    let invalid = |error: serde_json::Error| {
        ApiError::bad_request("invalid_json", format!("the body: {error}"))
    };
    let mut fields: serde_json::Map<String, Value> =
        serde_json::from_slice(&body).map_err(invalid)?;
    if let Some(model) = model {
        fields.insert("model".into(), Value::from(&*model));
    }
    if let Some(max_tokens) = max_tokens {
        fields.insert("max_tokens".into(), max_tokens.into());
    }
    let body = serde_json::to_vec(&fields).map_err(invalid)?;
    Ok(body.into())
}
