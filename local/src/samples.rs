//! The sample requests of both users.

use reqwest::Method;
use serde_json::Value;
use serde_json::json;
use testutils::engine_text::answer_text;
use testutils::engine_text::prompt_text;

use crate::seed::COUNSELLOR;
use crate::seed::CustomerSeed;
use crate::seed::DRAFT_MODEL;
use crate::seed::KEETMANSHOOP;
use crate::seed::LANGUAGE_MODEL;
use crate::seed::REFUND_SERVICE;
use crate::seed::RUNDU;

/// How a sample calls the system, and what a whole answer to it is.
///
/// ```
/// use sardinewood_local::samples::SampleCall;
///
/// let call = SampleCall::Service {
///     method: reqwest::Method::PUT,
///     path: "/credits/7",
///     body: "12 kegs".into(),
/// };
/// assert_eq!(call.path(), "/services/refunds/credits/7");
/// assert_eq!(call.expected_content(), call.body());
/// ```
#[derive(Clone, Debug)]
pub enum SampleCall {
    /// A chat with a model.
    Chat {
        /// The model.
        model: &'static str,
        /// What the caller says.
        prompt: String,
        /// Output tokens asked for.
        max_tokens: u64,
        /// Whether the answer is a stream of events.
        stream: bool,
    },
    /// A call of a plain service, which answers with what it was sent.
    Service {
        /// The HTTP method.
        method: Method,
        /// Path and query below the service.
        path: &'static str,
        /// The body.
        body: String,
    },
}

/// One sample request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The class of work.
    pub profile: &'static str,
    /// Who asks.
    pub customer: CustomerSeed,
    /// How it is called.
    pub call: SampleCall,
}

impl SampleCall {
    /// Path and query below an entry.
    #[must_use]
    pub fn path(&self) -> String {
        match self {
            Self::Chat { .. } => "/v1/chat/completions".to_owned(),
            Self::Service { path, .. } => format!("/services/{REFUND_SERVICE}{path}"),
        }
    }

    /// The HTTP method.
    #[must_use]
    pub fn method(&self) -> Method {
        match self {
            Self::Chat { .. } => Method::POST,
            Self::Service { method, .. } => method.clone(),
        }
    }

    /// The body of the call.
    #[must_use]
    pub fn body(&self) -> String {
        match self {
            Self::Chat { .. } => self.chat_body().to_string(),
            Self::Service { body, .. } => body.clone(),
        }
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_streamed(&self) -> bool {
        matches!(self, Self::Chat { stream: true, .. })
    }

    /// The content of a whole answer.
    #[must_use]
    pub fn expected_content(&self) -> String {
        match self {
            Self::Chat { max_tokens, .. } => {
                answer_text(&prompt_text(&self.chat_body()), *max_tokens)
            }
            Self::Service { body, .. } => body.clone(),
        }
    }

    fn chat_body(&self) -> Value {
        let Self::Chat {
            model,
            prompt,
            max_tokens,
            stream,
        } = self
        else {
            return Value::Null;
        };
        json!({
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": stream,
        })
    }
}

/// All sample requests: every tier of both users, plain and streamed, and the plain service.
///
/// ```
/// let samples = sardinewood_local::samples::all();
/// assert!(samples.iter().any(|sample| sample.profile == "creditor-letter"));
/// ```
#[must_use]
pub fn all() -> Vec<Sample> {
    let mut samples = keg_office();
    samples.extend(refund_credits());
    samples.extend(counsel_practice());
    samples
}

fn keg_office() -> Vec<Sample> {
    let works = [
        ("dispute-summary", RUNDU, 6, 100, 120),
        ("reconciliation", RUNDU, 4, 300, 200),
        ("lookup", RUNDU, 6, 20, 24),
        ("driver-check-in", KEETMANSHOOP, 6, 30, 32),
    ];
    chats(&works, LANGUAGE_MODEL)
}

fn counsel_practice() -> Vec<Sample> {
    let works = [
        ("waiting-household-draft", COUNSELLOR, 4, 120, 160),
        ("budget-review", COUNSELLOR, 3, 250, 200),
        ("creditor-letter", COUNSELLOR, 3, 80, 120),
        ("appointment-summary", COUNSELLOR, 3, 150, 80),
    ];
    chats(&works, DRAFT_MODEL)
}

/// Profile, customer, how many, words of the prompt, output tokens.
type Work = (&'static str, CustomerSeed, usize, usize, u64);

fn chats(works: &[Work], model: &'static str) -> Vec<Sample> {
    let mut samples = Vec::new();
    for (profile, customer, count, prompt_words, max_tokens) in works {
        for number in 0..*count {
            let call = SampleCall::Chat {
                model,
                prompt: prompt(profile, number, *prompt_words),
                max_tokens: *max_tokens,
                stream: number % 2 == 0,
            };
            samples.push(Sample {
                profile,
                customer: customer.clone(),
                call,
            });
        }
    }
    samples
}

/// The instructions that all prompts of a profile begin with, then what tells them apart.
fn prompt(profile: &str, number: usize, words: usize) -> String {
    let instructions = format!("{profile} ").repeat(words);
    format!("{instructions}case {number}")
}

fn refund_credits() -> Vec<Sample> {
    (0..3)
        .map(|number| Sample {
            profile: "refund-credit",
            customer: RUNDU,
            call: SampleCall::Service {
                method: Method::POST,
                path: "/credits?currency=NAD",
                body: format!("credit {number}: 12 kegs"),
            },
        })
        .collect()
}
