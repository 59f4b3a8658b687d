//! Reads the body of an answer and tells whether it is whole.

use serde_json::Value;

/// The end of a stream.
const DONE: &str = "[DONE]";

/// What a body holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerContent {
    /// The text of the answer.
    pub text: String,
    /// How many tokens it came in.
    pub tokens: u64,
    /// Whether its end is there.
    pub ended: bool,
}

/// Reads a plain chat answer.
///
/// ```
/// use sardinewood_local::answer_check::read_plain;
///
/// let body = r#"{"choices": [{"message": {"content": "hi"}, "finish_reason": "stop"}],
///                "usage": {"completion_tokens": 1}}"#;
/// assert_eq!(read_plain(body).text, "hi");
/// assert!(!read_plain(&body[..20]).ended);
/// ```
#[must_use]
pub fn read_plain(body: &str) -> AnswerContent {
    let Ok(answer) = serde_json::from_str::<Value>(body) else {
        return AnswerContent::default();
    };
    let choice = &answer["choices"][0];
    AnswerContent {
        text: choice["message"]["content"]
            .as_str()
            .unwrap_or_default()
            .to_owned(),
        tokens: answer["usage"]["completion_tokens"]
            .as_u64()
            .unwrap_or_default(),
        ended: choice["finish_reason"].is_string(),
    }
}

/// Reads a streamed chat answer.
///
/// ```
/// use sardinewood_local::answer_check::read_stream;
///
/// let body = "id: 0\ndata: {\"choices\": [{\"delta\": {\"content\": \"hi\"}}]}\n\ndata: [DONE]\n\n";
/// let content = read_stream(body);
/// assert_eq!((content.text.as_str(), content.tokens, content.ended), ("hi", 1, true));
/// ```
#[must_use]
pub fn read_stream(body: &str) -> AnswerContent {
    let mut content = AnswerContent::default();
    for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == DONE {
            content.ended = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(text) = event["choices"][0]["delta"]["content"].as_str() {
            content.text.push_str(text);
            content.tokens += 1;
        }
    }
    content
}
