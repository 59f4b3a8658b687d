//! A caller that streams one chat and notes when its tokens came.

use std::time::Duration;

use reqwest::Client;
use tokio::time::Instant;

/// What begins each event of a stream.
const EVENT_MARK: &[u8] = b"data: ";

/// What the last event of a whole stream holds.
const DONE_MARK: &[u8] = b"[DONE]";

/// One chat to send.
#[derive(Clone, Debug)]
pub struct Chat {
    /// Base URL of an engine or an entry.
    pub base_url: String,
    /// The caller's key.
    pub key: String,
    /// The model to ask for.
    pub model: String,
    /// The user's message.
    pub prompt: String,
    /// How many tokens to generate.
    pub output_tokens: u32,
}

/// What one chat took.
#[derive(Clone, Debug, Default)]
pub struct ChatTimes {
    /// From the call to the first token.
    pub first_token_us: u64,
    /// Between the arrivals of tokens that did not come together.
    pub gaps_us: Vec<u64>,
    /// Events that came.
    pub events: u64,
    /// Whether the end marker came.
    pub whole: bool,
    /// Tokens that were asked for.
    pub output_tokens: u32,
}

/// A client whose connections are kept.
///
/// # Errors
///
/// The client library can't be set up.
pub fn client() -> eyre::Result<Client> {
    let client = Client::builder()
        .no_proxy()
        .pool_max_idle_per_host(usize::MAX)
        .retry(reqwest::retry::never())
        .build()?;
    Ok(client)
}

/// Streams one chat to its end.
///
/// # Errors
///
/// The call failed, or its answer was not 200.
pub async fn stream_chat(client: &Client, chat: &Chat) -> eyre::Result<ChatTimes> {
    let body = serde_json::json!({
        "model": chat.model,
        "messages": [{"role": "user", "content": chat.prompt}],
        "max_tokens": chat.output_tokens,
        "stream": true,
    });
    let begin = Instant::now();
    let mut response = client
        .post(format!("{}/v1/chat/completions", chat.base_url))
        .bearer_auth(&chat.key)
        .json(&body)
        .send()
        .await?
        .error_for_status()?;
    let mut times = ChatTimes {
        output_tokens: chat.output_tokens,
        ..ChatTimes::default()
    };
    let mut scan = EventScan::default();
    let mut last = None;
    while let Some(chunk) = response.chunk().await? {
        let events = scan.count(&chunk);
        times.events += events;
        if events > 0 {
            note_arrival(&mut times, begin, &mut last);
        }
    }
    times.whole = scan.done;
    Ok(times)
}

fn note_arrival(times: &mut ChatTimes, begin: Instant, last: &mut Option<Instant>) {
    let now = Instant::now();
    match last.replace(now) {
        None => times.first_token_us = micros(now - begin),
        Some(earlier) => times.gaps_us.push(micros(now - earlier)),
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Counts events in the pieces of a stream; a mark that two pieces share is counted once.
///
/// ```
/// use sardinewood_bench::load_client::EventScan;
///
/// let mut scan = EventScan::default();
/// assert_eq!(scan.count(b"data: {}\n\nda"), 1);
/// assert_eq!(scan.count(b"ta: [DONE]\n\n"), 1);
/// assert!(scan.done);
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventScan {
    /// Whether the end marker was seen.
    pub done: bool,
    matched: usize,
    matched_done: usize,
}

impl EventScan {
    /// How many events begin in the next piece of the stream.
    pub fn count(&mut self, piece: &[u8]) -> u64 {
        let mut events = 0;
        for byte in piece {
            events += u64::from(advance(&mut self.matched, EVENT_MARK, *byte));
            self.done |= advance(&mut self.matched_done, DONE_MARK, *byte);
        }
        events
    }
}

/// Moves a match on by one byte; true when the whole mark was matched.
fn advance(matched: &mut usize, mark: &[u8], byte: u8) -> bool {
    if mark[*matched] == byte {
        *matched += 1;
    } else {
        *matched = usize::from(mark[0] == byte);
    }
    if *matched == mark.len() {
        *matched = 0;
        return true;
    }
    false
}
