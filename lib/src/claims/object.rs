//! The stored claim on an idempotency key, and the calls to the store that concern it.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::AttemptId;
use crate::ids::GrantId;
use crate::ids::RequestId;
use crate::store::position::StorePosition;

/// The number of object kinds that claims are divided among, so that each list stays small.
pub const CLAIM_KINDS: u8 = 16;

/// Returns the object kind under which a claim is stored, which depends on the first digit of
/// its name.
///
/// ```
/// use sardinewood::claims::object::claim_kind;
/// use sardinewood::claims::idempotency::IdempotencyKey;
///
/// let name = IdempotencyKey::new("rundu", "refund-7")?;
/// assert!(claim_kind(&name.to_string()).starts_with("claims-"));
/// # Ok::<(), sardinewood::claims::idempotency::KeyError>(())
/// ```
#[must_use]
pub fn claim_kind(name: &str) -> String {
    format!("claims-{}", name.get(..1).unwrap_or("0"))
}

/// The one attempt that may run, and the agent that may run it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The attempt, stored as text.
    #[serde(with = "attempt_text")]
    pub attempt: AttemptId,
    /// The agent that granted the attempt.
    pub agent: Arc<str>,
    /// The grant, which contains the incarnation of that agent.
    pub grant: GrantId,
}

/// Which attempt of a request may run, if any.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// Only the attempt of this holder may run.
    Held(Holder),
    /// The request must not be dispatched: a successor in its order queue, or a check before
    /// a refusal, wrote this bar before the request was dispatched.
    Barred {
        /// The barred request; another request with the same key may replace the bar.
        #[serde(with = "request_text")]
        request: RequestId,
    },
}

/// The claim as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The [`crate::claims::idempotency::RequestDigest`] of the request, as text; absent in a bar.
    pub digest: Option<Arc<str>>,
    /// Which attempt may run.
    pub state: ClaimState,
}

/// Serializes a request id as text.
pub(crate) mod request_text {
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;
    use serde::de::Error;

    use crate::ids::RequestId;

    pub fn serialize<S: Serializer>(id: &RequestId, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(id)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<RequestId, D::Error> {
        String::deserialize(input)?
            .parse()
            .map_err(D::Error::custom)
    }
}

/// Serializes an attempt id as text: `req-…/number`.
mod attempt_text {
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;
    use serde::de::Error;

    use crate::ids::AttemptId;

    pub fn serialize<S: Serializer>(id: &AttemptId, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(id)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<AttemptId, D::Error> {
        let text = String::deserialize(input)?;
        let (request, number) = text
            .split_once('/')
            .ok_or_else(|| D::Error::custom("attempt id must have the form `req-…/number`"))?;
        Ok(AttemptId {
            request: request.parse().map_err(D::Error::custom)?,
            number: number.parse().map_err(D::Error::custom)?,
        })
    }
}

/// The result of a call to the store about a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreResponse {
    /// The write took effect.
    Written {
        /// The new version of the object.
        version: StorePosition,
    },
    /// The stored claim, if any: the call was a read, or a write that did not take effect.
    Current(Option<StoredClaim>),
    /// No usable response; a write may have taken effect, or may still do so.
    Lost,
    /// The store limits the rate of calls; the write did not take effect.
    Limited {
        /// The time after which the store accepts calls again.
        retry_after_ms: u64,
    },
}

/// A stored claim with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredClaim {
    /// The version of the object.
    pub version: StorePosition,
    /// The claim; absent if the object could not be decoded.
    pub claim: Option<Claim>,
}

/// A call to the store about a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Write the claim if the object is at version `expected`, or doesn't exist if that is
    /// `None`.
    Write {
        /// The version to replace.
        expected: Option<StorePosition>,
        /// The claim to write.
        claim: Claim,
    },
    /// Read the claim.
    Read,
    /// Remove the claim if it is at this version.
    Delete {
        /// The version to remove.
        version: StorePosition,
    },
}
