//! Contents of the headers that the entry reads and writes, and the functions by which a platform
//! reads and writes them.

use std::sync::Arc;

use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;

use crate::direct::notices::notice::UpstreamNotice;
use crate::direct::placement::shared_prefix::SharedPrefix;
use crate::direct::quarantine::prompt_part::PromptPart;

/// Contents of the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerHeaders {
    /// Id of this attempt of the caller; a retry by the caller has another id.
    pub request_id: Option<HeaderValue>,
    /// How long the caller will wait.
    pub remaining_ms: Option<u64>,
    /// API key of the caller's customer.
    pub api_key: Option<HeaderValue>,
    /// Number of tokens in the prompt; 0 if not given.
    pub prompt_tokens: u32,
    /// Largest number of output tokens; 0 if not given.
    pub max_output_tokens: u32,
    /// Number of output tokens that the caller expects. It is right at the median, but often far
    /// off.
    pub expected_output_tokens: Option<u32>,
    /// Prefix of the prompt that other requests may share.
    pub shared_prefix: Option<SharedPrefix>,
    /// Parts of the prompt that other requests may share.
    pub shared_parts: Arc<[PromptPart]>,
    /// Whether the parts of the prompt were given but are invalid.
    pub has_invalid_prompt_parts: bool,
    /// Whether the counts of prompt tokens and output tokens were given.
    pub has_token_counts: bool,
    /// Id of the last event that the caller has received, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// Id of the caller's attempt that brought the first event of the stream that it resumes.
    pub resumes: Option<HeaderValue>,
}

impl CallerHeaders {
    /// Returns the amount of work for the request in prompt tokens; none if the counts of tokens
    /// were not given. An output token takes about ten times as long as a prompt token.
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

    /// Returns the expected hold time of an engine's slot, in units of one output token. Reading a
    /// prompt token takes about a hundredth of that.
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

    /// Returns the tokens that the request is charged against a quota; none if the counts of tokens
    /// were not given.
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

/// Headers that the entry adds to a request to an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamHeaders {
    /// How long the upstream may work on the request.
    pub remaining_ms: u64,
    /// Listed name of the upstream that the request is for; another one must not run it.
    pub upstream_name: Arc<str>,
    /// Customer that the API key belongs to.
    pub customer: Option<Arc<str>>,
    /// Id of the last event that the caller has.
    pub last_event_id: Option<u64>,
}

/// Contents of the headers of an upstream's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHeaders {
    /// Id of the request that the response belongs to.
    pub request_id: Option<HeaderValue>,
    /// Whether the upstream confirms that the response is its own.
    pub is_authentic: bool,
    /// Whether the upstream says that it has not run the request and never will.
    pub is_not_run: bool,
    /// Whether the response comes from another process than the upstream that the request was for.
    pub is_misdirected: bool,
    /// Idle timeout of the connection.
    pub keep_alive_ms: Option<u64>,
    /// Limit, backoff or leave notice that the upstream announces.
    pub notice: UpstreamNotice,
}

impl ResponseHeaders {
    /// Returns whether the response names another request than this one. Some rejections name none.
    ///
    /// ```
    /// use http::HeaderValue;
    /// use sardinewood::direct::request::headers::ResponseHeaders;
    ///
    /// let request_id = Some(HeaderValue::from_static("try-1"));
    /// let headers = ResponseHeaders { request_id, ..Default::default() };
    /// assert!(!headers.names_other_request(Some(&HeaderValue::from_static("try-1"))));
    /// assert!(headers.names_other_request(Some(&HeaderValue::from_static("try-2"))));
    /// assert!(!ResponseHeaders::default().names_other_request(headers.request_id.as_ref()));
    /// ```
    #[must_use]
    pub fn names_other_request(&self, request_id: Option<&HeaderValue>) -> bool {
        self.request_id.is_some() && self.request_id.as_ref() != request_id
    }
}

/// Functions that read and write headers. Each platform provides its own, since the entry knows no
/// header names.
#[derive(Clone, Copy, Debug)]
pub struct HeaderCodec {
    /// Reads the headers of a caller's request.
    pub read_request: fn(&HeaderMap) -> CallerHeaders,
    /// Removes the headers that a caller may not set, and adds those of the entry.
    pub write_upstream_request: fn(&mut HeaderMap, &UpstreamHeaders),
    /// Reads the headers of an upstream's response.
    pub read_response: fn(StatusCode, &HeaderMap) -> ResponseHeaders,
    /// Writes the delay in milliseconds after which a refused caller should retry.
    pub write_retry_after: fn(&mut HeaderMap, u64),
    /// Writes the request id to a response.
    pub write_request_id: fn(&mut HeaderMap, &HeaderValue),
}
