//! Features of requests, by which those that crash upstreams are recognized.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::direct::quarantine::fingerprint::Fingerprint;
use crate::direct::quarantine::prompt_part::PromptPart;

/// Prefix of the text form of a part, which tells it from a fingerprint.
const PART_PREFIX: &str = "part-";
/// How long a success exempts a request's content from suspicion.
pub const CONTENT_EXEMPT_MS: u64 = 10_000;
/// How long the survival of a run exempts a part from suspicion. Runs with a sound part survive all
/// the time, since requests share it, and a part that starts to crash upstreams must be suspected
/// within seconds.
pub const PART_EXEMPT_MS: u64 = 2_000;

/// What requests that crash upstreams may have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Feature {
    /// The whole content, which the retries of one request share.
    Content(Fingerprint),
    /// One part of the prompt, whatever stands beside it.
    Part(PromptPart),
}

impl Feature {
    /// Parses a feature from the form used in logs.
    ///
    /// ```
    /// use sardinewood::direct::quarantine::feature::Feature;
    ///
    /// for text in ["part-5c1e07a2", "00112233445566778899aabbccddeeff"] {
    ///     assert_eq!(Feature::parse(text).unwrap().to_string(), text);
    /// }
    /// assert!(Feature::parse("5c1e07a2").is_none());
    /// ```
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text.strip_prefix(PART_PREFIX) {
            Some(id) => PromptPart::parse(id).map(Self::Part),
            None => Fingerprint::parse(text).map(Self::Content),
        }
    }

    /// Returns the kind of feature, as logs and metrics name it.
    ///
    /// ```
    /// use sardinewood::direct::quarantine::feature::Feature;
    ///
    /// assert_eq!(Feature::parse("part-5c1e07a2").unwrap().kind(), "part");
    /// ```
    #[must_use]
    pub fn kind(self) -> &'static str {
        match self {
            Self::Content(_) => "content",
            Self::Part(_) => "part",
        }
    }

    /// Returns how recently a run with this feature must have survived for the feature to be exempt
    /// from suspicion.
    ///
    /// ```
    /// use sardinewood::direct::quarantine::feature::{Feature, PART_EXEMPT_MS};
    ///
    /// assert_eq!(Feature::parse("part-5c1e07a2").unwrap().exempt_for_ms(), PART_EXEMPT_MS);
    /// ```
    #[must_use]
    pub fn exempt_for_ms(self) -> u64 {
        match self {
            Self::Content(_) => CONTENT_EXEMPT_MS,
            Self::Part(_) => PART_EXEMPT_MS,
        }
    }

    /// Returns a number below `bound` that is the same at every entry and evenly distributed over
    /// features.
    ///
    /// ```
    /// use sardinewood::direct::quarantine::feature::Feature;
    ///
    /// assert_eq!(Feature::parse("part-0000000c").unwrap().hash_below(10), 2);
    /// ```
    #[must_use]
    pub fn hash_below(self, bound: i64) -> i64 {
        match self {
            Self::Content(fingerprint) => fingerprint.hash_below(bound),
            Self::Part(part) => {
                let number = u64::try_from(part.number() & u128::from(u32::MAX)).unwrap_or(0);
                i64::try_from(number).unwrap_or(0) % bound.max(1)
            }
        }
    }
}

impl fmt::Display for Feature {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Content(fingerprint) => fingerprint.fmt(formatter),
            Self::Part(part) => write!(formatter, "{PART_PREFIX}{part}"),
        }
    }
}
