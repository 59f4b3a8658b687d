//! Bodies of the model API: which model, how much work, and which prompt.

use std::hash::Hasher;
use std::ops::Range;
use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Deserializer;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;
use serde_json::value::RawValue;
use twox_hash::XxHash64;

use crate::caller::openai_error::ApiError;
use crate::caller::prompt_text::MAX_BEGINNING_BYTES;
use crate::caller::prompt_text::PromptKind;
use crate::caller::prompt_text::PromptText;
use crate::caller::submission::WorkEstimate;
use crate::config::objects::Profile;

/// Characters that make a token, in the mean; the engine alone can count tokens.
const BYTES_PER_TOKEN: usize = 4;
/// Bytes of the prompt under one fingerprint.
const BLOCK_BYTES: usize = 1_024;
/// Blocks of the prompt that have a fingerprint.
const MAX_BLOCKS: usize = MAX_BEGINNING_BYTES / BLOCK_BYTES;
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
struct Fields<'a> {
    #[serde(borrow, default, deserialize_with = "present")]
    model: Option<&'a RawValue>,
    #[serde(borrow, default, deserialize_with = "present")]
    max_tokens: Option<&'a RawValue>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    messages: Option<PromptText>,
    #[serde(default)]
    prompt: Option<PromptText>,
}

/// Reads a field that is present, also if it is null.
fn present<'de: 'a, 'a, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<&'a RawValue>, D::Error> {
    <&RawValue>::deserialize(deserializer).map(Some)
}

/// Parses the value of a field; none if it is absent or null.
fn parse<T: DeserializeOwned>(field: Option<&RawValue>) -> Result<Option<T>, ApiError> {
    let parsed = field.map(|field| serde_json::from_str::<Option<T>>(field.get()));
    parsed
        .transpose()
        .map(Option::flatten)
        .map_err(|error| invalid_json(&error))
}

fn invalid_json(error: &serde_json::Error) -> ApiError {
    ApiError::bad_request("invalid_json", format!("the body: {error}"))
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
    let fields: Fields<'_> = serde_json::from_slice(&body).map_err(|error| invalid_json(&error))?;
    let prompt = match call {
        ModelCall::Chat => required(fields.messages.as_ref(), "messages")?,
        ModelCall::Completion => required(fields.prompt.as_ref(), "prompt")?,
    };
    let own_model: Option<Arc<str>> = parse(fields.model)?;
    let Some(model) = own_model.clone().or_else(|| profile.model.clone()) else {
        return Err(ApiError::bad_request(
            "model_missing",
            "the body names no `model`, and the profile has none",
        ));
    };
    let max_tokens: Option<u32> = parse(fields.max_tokens)?;
    let asked = fields.max_completion_tokens.or(max_tokens);
    let allowed = profile.limits.max_output_tokens;
    check_output(asked, allowed)?;
    let max_output_tokens = asked.or(allowed).unwrap_or(DEFAULT_OUTPUT_TOKENS);
    let estimate = WorkEstimate {
        prompt_tokens: u32::try_from(prompt.length_bytes / BYTES_PER_TOKEN + 1).unwrap_or(u32::MAX),
        expected_output_tokens: EXPECTED_OUTPUT_TOKENS.min(max_output_tokens),
        max_output_tokens,
        prefix: prefix(&prompt.beginning),
    };
    let mut changes = Vec::new();
    if own_model.is_none() {
        changes.push(FieldChange::new(
            &body,
            "model",
            fields.model,
            &json!(model),
        ));
    }
    if let Some(allowed) = allowed.filter(|_| asked.is_none()) {
        changes.push(FieldChange::new(
            &body,
            "max_tokens",
            fields.max_tokens,
            &json!(allowed),
        ));
    }
    let body = completed(body, changes);
    Ok(ModelRequest {
        model,
        estimate,
        body,
    })
}

fn required<'a>(field: Option<&'a PromptText>, name: &str) -> Result<&'a PromptText, ApiError> {
    match field {
        Some(prompt) if prompt.kind == PromptKind::Valid => Ok(prompt),
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

/// A field of the body that is set to a value of the profile.
struct FieldChange {
    /// Which bytes of the body it replaces: those of a null, or none behind the opening brace.
    replaced: Range<usize>,
    text: String,
}

impl FieldChange {
    fn new(body: &Bytes, name: &str, null: Option<&RawValue>, value: &Value) -> Self {
        if let Some(null) = null {
            let start = null.get().as_ptr().addr() - body.as_ptr().addr();
            return Self {
                replaced: start..start + null.get().len(),
                text: value.to_string(),
            };
        }
        let brace = body.iter().position(|byte| *byte == b'{');
        let start = brace.map_or(0, |brace| brace + 1);
        Self {
            replaced: start..start,
            text: format!("\"{name}\":{value},"),
        }
    }
}

/// The body with what the profile adds. It is passed on byte for byte if nothing is added. It has a field, the
/// prompt, so that others may stand before it.
fn completed(body: Bytes, mut changes: Vec<FieldChange>) -> Bytes {
    if changes.is_empty() {
        return body;
    }
    changes.sort_by_key(|change| change.replaced.start);
    let added_bytes: usize = changes.iter().map(|change| change.text.len()).sum();
    let mut completed = Vec::with_capacity(body.len() + added_bytes);
    let mut copied = 0;
    for change in changes {
        completed.extend_from_slice(&body[copied..change.replaced.start]);
        completed.extend_from_slice(change.text.as_bytes());
        copied = change.replaced.end;
    }
    completed.extend_from_slice(&body[copied..]);
    completed.into()
}
