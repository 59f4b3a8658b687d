//! The text that a stand-in engine generates, and the events that carry it.
//!
//! Both follow from the prompt alone, so that a test can compute the whole answer that it
//! expects and an engine can repeat any event without having kept it.

use std::fmt::Write as _;

use serde_json::Value;
use serde_json::json;
use twox_hash::XxHash64;

/// The creation time of every answer; a constant, so that a repeated event is equal.
const CREATED_S: u64 = 1_700_000_000;

/// Bytes of prompt text counted as one token.
pub const BYTES_PER_TOKEN: usize = 4;

const WORDS: [&str; 16] = [
    " keg",
    " deposit",
    " refund",
    " account",
    " letter",
    " budget",
    " review",
    " family",
    " depot",
    " driver",
    " brewer",
    " household",
    " counsel",
    " summary",
    " ledger",
    " claim",
];

/// The prompt of a request body: `prompt`, or each message's content and a line break.
///
/// ```
/// use serde_json::json;
/// use testutils::engine_text::prompt_text;
///
/// let body = json!({"messages": [{"role": "user", "content": "hello"}]});
/// assert_eq!(prompt_text(&body), "hello\n");
/// ```
#[must_use]
pub fn prompt_text(body: &Value) -> String {
    if let Some(prompt) = body["prompt"].as_str() {
        return prompt.to_owned();
    }
    let messages = body["messages"].as_array().map_or(&[][..], Vec::as_slice);
    let mut text = String::new();
    for message in messages {
        text.push_str(message["content"].as_str().unwrap_or_default());
        text.push('\n');
    }
    text
}

/// The seed of the answer to a prompt.
///
/// ```
/// use testutils::engine_text::seed;
///
/// assert_ne!(seed("one"), seed("two"));
/// ```
#[must_use]
pub fn seed(prompt: &str) -> u64 {
    XxHash64::oneshot(0, prompt.as_bytes())
}

/// The tokens of a prompt.
///
/// ```
/// assert_eq!(testutils::engine_text::prompt_tokens("twelve bytes"), 3);
/// ```
#[must_use]
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(BYTES_PER_TOKEN).max(1) as u64
}

/// The text of one output token.
///
/// ```
/// use testutils::engine_text::{answer_text, seed, token_text};
///
/// assert!(answer_text("hello", 3).starts_with(token_text(seed("hello"), 0)));
/// ```
#[must_use]
pub fn token_text(seed: u64, index: u64) -> &'static str {
    // Multiplying by an odd constant and taking the top bits spreads neighbouring indices.
    let mixed =
        (seed ^ index.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    WORDS[(mixed >> 60) as usize]
}

/// The whole answer to a prompt.
///
/// ```
/// use testutils::engine_text::answer_text;
///
/// assert_eq!(answer_text("hello\n", 5).split_whitespace().count(), 5);
/// assert_ne!(answer_text("hello\n", 20), answer_text("other\n", 20));
/// ```
#[must_use]
pub fn answer_text(prompt: &str, output_tokens: u64) -> String {
    let seed = seed(prompt);
    (0..output_tokens)
        .map(|index| token_text(seed, index))
        .collect()
}

/// Which of the two completion calls a request came by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerShape {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// Writes the answer of one request, whole or as events.
///
/// ```
/// use serde_json::json;
/// use testutils::engine_text::{AnswerShape, AnswerWriter, answer_text};
///
/// let body = json!({"model": "small", "prompt": "hello", "max_tokens": 2});
/// let writer = AnswerWriter::new("r1", AnswerShape::Text, &body, 2);
/// assert_eq!(writer.whole()["choices"][0]["text"], answer_text("hello", 2));
/// let mut event = String::new();
/// writer.write_event(2, &mut event);
/// assert!(event.starts_with("id: 2\n") && event.contains("finish_reason"));
/// assert_eq!(writer.event_count(), 3);
/// ```
#[derive(Clone, Debug)]
pub struct AnswerWriter {
    shape: AnswerShape,
    head: Value,
    seed: u64,
    prompt_tokens: u64,
    output_tokens: u64,
    finish_reason: &'static str,
    include_usage: bool,
    /// The parts of an event before and after a token's text, written once for a request.
    frame: (String, &'static str),
}

impl AnswerWriter {
    /// The writer for a request body.
    #[must_use]
    pub fn new(id: &str, shape: AnswerShape, body: &Value, output_tokens: u64) -> Self {
        let prompt = prompt_text(body);
        let chunk = match shape {
            AnswerShape::Chat => "chat.completion.chunk",
            AnswerShape::Text => "text_completion",
        };
        let model = &body["model"];
        let opening = format!(
            r#"{{"id":{},"object":"{chunk}","created":{CREATED_S},"model":{model},"choices":[{{"index":0,"#,
            Value::from(id)
        );
        let frame = match shape {
            AnswerShape::Chat => (
                format!(r#"{opening}"delta":{{"content":""#),
                r#""},"finish_reason":null}]}"#,
            ),
            AnswerShape::Text => (
                format!(r#"{opening}"text":""#),
                r#"","finish_reason":null}]}"#,
            ),
        };
        Self {
            shape,
            head: json!({"id": id, "created": CREATED_S, "model": model}),
            seed: seed(&prompt),
            prompt_tokens: prompt_tokens(&prompt),
            output_tokens,
            finish_reason: if max_tokens(body).is_some() {
                "length"
            } else {
                "stop"
            },
            include_usage: body["stream_options"]["include_usage"] == true,
            frame,
        }
    }

    /// How many numbered events the whole stream has; `[DONE]` follows without a number.
    #[must_use]
    pub fn event_count(&self) -> u64 {
        self.output_tokens + 1 + u64::from(self.include_usage)
    }

    /// Appends the event of this number.
    pub fn write_event(&self, number: u64, out: &mut String) {
        // Writing to a string never fails.
        let _ = write!(out, "id: {number}\ndata: ");
        if number < self.output_tokens {
            out.push_str(&self.frame.0);
            out.push_str(token_text(self.seed, number));
            out.push_str(self.frame.1);
        } else {
            let _ = write!(out, "{}", self.closing_chunk(number == self.output_tokens));
        }
        out.push_str("\n\n");
    }

    /// The whole answer as one JSON body.
    #[must_use]
    pub fn whole(&self) -> Value {
        let text: String = (0..self.output_tokens)
            .map(|index| token_text(self.seed, index))
            .collect();
        let reason = self.finish_reason;
        let (object, choice) = match self.shape {
            AnswerShape::Chat => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": reason,
                }),
            ),
            AnswerShape::Text => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": reason}),
            ),
        };
        let mut answer = self.head.clone();
        answer["object"] = object.into();
        answer["choices"] = json!([choice]);
        answer["usage"] = self.usage();
        answer
    }

    fn closing_chunk(&self, finish: bool) -> Value {
        let mut chunk = self.head.clone();
        let (object, choice) = match self.shape {
            AnswerShape::Chat => ("chat.completion.chunk", json!({"index": 0, "delta": {}})),
            AnswerShape::Text => ("text_completion", json!({"index": 0, "text": ""})),
        };
        chunk["object"] = object.into();
        if finish {
            chunk["choices"] = json!([choice]);
            chunk["choices"][0]["finish_reason"] = self.finish_reason.into();
        } else {
            chunk["choices"] = json!([]);
            chunk["usage"] = self.usage();
        }
        chunk
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.output_tokens,
            "total_tokens": self.prompt_tokens + self.output_tokens,
        })
    }
}

/// The output limit that a body asks for.
///
/// ```
/// let body = serde_json::json!({"max_tokens": 5});
/// assert_eq!(testutils::engine_text::max_tokens(&body), Some(5));
/// ```
#[must_use]
pub fn max_tokens(body: &Value) -> Option<u64> {
    body["max_completion_tokens"]
        .as_u64()
        .or_else(|| body["max_tokens"].as_u64())
}
