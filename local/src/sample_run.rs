//! Sends sample requests and notes what became of each.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::StreamExt;
use futures_util::stream;
use reqwest::Client;
use reqwest::Response;

use crate::answer_check::AnswerContent;
use crate::answer_check::read_plain;
use crate::answer_check::read_stream;
use crate::samples::Sample;
use crate::samples::SampleCall;

/// Names the request in an entry's answer.
const REQUEST_ID_HEADER: &str = "x-sardinewood-request-id";

/// Longer than any sample's deadline; after it a sample counts as not answered.
const SAMPLE_TIMEOUT: Duration = Duration::from_secs(90);

/// What became of one sample.
#[derive(Clone, Debug)]
pub struct SampleResult {
    /// The sample.
    pub sample: Sample,
    /// The request's id, when an answer named it.
    pub request_id: Option<Arc<str>>,
    /// Why there was no whole answer.
    pub fault: Option<String>,
    /// Time to the first bytes of a streamed answer.
    pub first_token_ms: Option<u64>,
    /// Tokens of the answer.
    pub tokens: u64,
}

/// Sends all samples, `concurrent` at a time, to the entries in turn.
///
/// ```no_run
/// # async fn run(entry_urls: &[String]) {
/// use sardinewood_local::{sample_run, samples};
///
/// let results = sample_run::run(entry_urls, samples::all(), 8).await;
/// assert!(results.iter().all(|result| result.fault.is_none()));
/// # }
/// ```
pub async fn run(
    entry_urls: &[String],
    samples: Vec<Sample>,
    concurrent: usize,
) -> Vec<SampleResult> {
    let client = Client::new();
    let calls = samples.into_iter().enumerate().map(|(number, sample)| {
        let url = entry_urls[number % entry_urls.len()].clone();
        send(client.clone(), url, sample)
    });
    stream::iter(calls)
        .buffer_unordered(concurrent)
        .collect()
        .await
}

async fn send(client: Client, entry_url: String, sample: Sample) -> SampleResult {
    let mut result = SampleResult {
        sample,
        request_id: None,
        fault: None,
        first_token_ms: None,
        tokens: 0,
    };
    let answered = tokio::time::timeout(SAMPLE_TIMEOUT, exchange(&client, &entry_url, &mut result));
    let fault = match answered.await {
        Ok(Ok(body)) => check(&mut result, &body),
        Ok(Err(fault)) => Some(fault),
        Err(_) => Some("no answer in time".to_owned()),
    };
    result.fault = fault;
    result
}

/// Makes the call and answers the body, or why there is none.
async fn exchange(
    client: &Client,
    entry_url: &str,
    result: &mut SampleResult,
) -> Result<String, String> {
    let sample = &result.sample;
    let started = Instant::now();
    let response = client
        .request(
            sample.call.method(),
            format!("{entry_url}{}", sample.call.path()),
        )
        .bearer_auth(sample.customer.key)
        .header("X-Sardinewood-Profile", sample.profile)
        .header("Content-Type", "application/json")
        .body(sample.call.body())
        .send()
        .await
        .map_err(|error| error.to_string())?;
    result.request_id = request_id(&response);
    let status = response.status();
    let (body, first_bytes_ms) = read_body(response, started).await?;
    if sample.call.is_streamed() {
        result.first_token_ms = first_bytes_ms;
    }
    if status.is_success() {
        Ok(body)
    } else {
        Err(format!("{status}: {body}"))
    }
}

fn request_id(response: &Response) -> Option<Arc<str>> {
    let id = response.headers().get(REQUEST_ID_HEADER)?;
    id.to_str().ok().map(Arc::from)
}

/// Reads the whole body, and when its first bytes came.
async fn read_body(
    mut response: Response,
    started: Instant,
) -> Result<(String, Option<u64>), String> {
    let mut body = Vec::new();
    let mut first_bytes_ms = None;
    while let Some(chunk) = response.chunk().await.map_err(|error| error.to_string())? {
        if body.is_empty() {
            first_bytes_ms = u64::try_from(started.elapsed().as_millis()).ok();
        }
        body.extend_from_slice(&chunk);
    }
    let text = String::from_utf8(body).map_err(|error| error.to_string())?;
    Ok((text, first_bytes_ms))
}

/// What keeps the answer from being whole.
fn check(result: &mut SampleResult, body: &str) -> Option<String> {
    let content = match &result.sample.call {
        SampleCall::Chat { stream: true, .. } => read_stream(body),
        SampleCall::Chat { stream: false, .. } => read_plain(body),
        SampleCall::Service { .. } => AnswerContent {
            text: body.to_owned(),
            tokens: 0,
            ended: true,
        },
    };
    result.tokens = content.tokens;
    if !content.ended {
        return Some("the answer has no end".to_owned());
    }
    let whole = content.text == result.sample.call.expected_content();
    (!whole).then(|| "the answer is not the one to this request".to_owned())
}
