//! What headers say, in the product's own words, and the functions that translate them.

use std::sync::Arc;

use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;

use crate::direct::notices::notice::UpstreamNotice;
use crate::direct::placement::shared_prefix::SharedPrefix;

/// What a caller's headers say of its request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerHeaders {
    /// Names this attempt of the caller; a retry has another name.
    pub request_id: Option<HeaderValue>,
    /// How long the caller will wait.
    pub remaining_ms: Option<u64>,
    /// The key that the caller shows.
    pub key: Option<HeaderValue>,
    /// Tokens of the prompt, 0 if nothing is said.
    pub prompt_tokens: u32,
    /// The most tokens that the answer may have, 0 if nothing is said.
    pub max_output_tokens: u32,
    /// Tokens that the caller expects of the answer; right at the median, often far off.
    pub expected_output_tokens: Option<u32>,
    /// The start of the prompt that other requests may have as well.
    pub shared_prefix: Option<SharedPrefix>,
    /// Whether the parts of the prompt were given and make no sense.
    pub has_invalid_prompt_parts: bool,
    /// Whether the two counts of tokens were given.
    pub has_token_counts: bool,
    /// The last event that the caller has, if it goes on with a stream.
    pub last_event_id: Option<u64>,
}

impl CallerHeaders {
    /// How much work the request is, in tokens of a prompt: a token of the answer takes about
    /// ten times as long as one of the prompt. None if nothing was said.
    ///
    /// ```
    /// let headers = sardinewood::direct::request::headers::CallerHeaders::default();
    /// assert_eq!(headers.size(), None);
    /// ```
    #[must_use]
    pub fn size(&self) -> Option<f64> {
        const OUTPUT_WEIGHT: f64 = 10.0;
        let output = self
            .expected_output_tokens
            .unwrap_or(self.max_output_tokens);
        self.has_token_counts
            .then(|| f64::from(self.prompt_tokens) + OUTPUT_WEIGHT * f64::from(output))
    }

    /// How long the request keeps an engine's slot, in tokens of the answer: reading a prompt
    /// takes about a hundredth of that for each token.
    ///
    /// ```
    /// let headers = sardinewood::direct::request::headers::CallerHeaders::default();
    /// assert_eq!(headers.hold(), None);
    /// ```
    #[must_use]
    pub fn hold(&self) -> Option<f64> {
        const PROMPT_WEIGHT: f64 = 0.01;
        let output = self.expected_output_tokens?;
        Some(f64::from(output) + PROMPT_WEIGHT * f64::from(self.prompt_tokens))
    }

    /// What the request counts against an allotment in tokens, if that was said.
    ///
    /// ```
    /// let headers = sardinewood::direct::request::headers::CallerHeaders::default();
    /// assert_eq!(headers.charged_tokens(), None);
    /// ```
    #[must_use]
    pub fn charged_tokens(&self) -> Option<u64> {
        self.has_token_counts
            .then(|| u64::from(self.prompt_tokens) + u64::from(self.max_output_tokens))
    }
}

/// What the entry itself tells an upstream with a request.
#[derive(Clone, Debug)]
pub struct UpstreamHeaders {
    /// How long the upstream may work.
    pub remaining_ms: u64,
    /// The listed name of the upstream that is meant; another one must not run the request.
    pub name: Arc<str>,
    /// The customer that the key belongs to.
    pub customer: Option<Arc<str>>,
    /// The last event that the caller has.
    pub last_event_id: Option<u64>,
}

/// What an upstream's headers say of its answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHeaders {
    /// The request that it answers.
    pub request_id: Option<HeaderValue>,
    /// Whether the upstream vouches for the answer.
    pub is_authentic: bool,
    /// Whether the upstream says that it has not run the request and never will.
    pub is_not_run: bool,
    /// Whether the answer comes from somebody else than the upstream that was meant.
    pub is_misdirected: bool,
    /// How long the connection may stay idle.
    pub keep_alive_ms: Option<u64>,
    /// What the upstream says of itself.
    pub notice: UpstreamNotice,
}

/// How headers are read and written. The platform brings its own; the entry knows no names.
#[derive(Clone, Copy, Debug)]
pub struct HeaderCodec {
    /// Reads a caller's request.
    pub read_request: fn(&HeaderMap) -> CallerHeaders,
    /// Takes out what a caller may not set, and adds what the entry says.
    pub write_upstream_request: fn(&mut HeaderMap, &UpstreamHeaders),
    /// Reads an upstream's answer.
    pub read_response: fn(StatusCode, &HeaderMap) -> ResponseHeaders,
    /// Writes when a refused caller should come back.
    pub write_retry_after: fn(&mut HeaderMap, u64),
    /// Names the request in an answer of our own.
    pub write_request_id: fn(&mut HeaderMap, &HeaderValue),
}
