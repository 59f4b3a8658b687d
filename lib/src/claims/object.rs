//! The claim on a request's name as the store has it, and the calls that are made about it.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::AttemptId;
use crate::ids::GrantId;
use crate::ids::RequestId;

/// Claims are spread over this many kinds, so that one list stays small.
pub const CLAIM_KINDS: u8 = 16;

/// The kind under which the claim on a name is stored.
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

/// The one attempt that may run, and where.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The attempt, with the request id as text.
    #[serde(with = "attempt_text")]
    pub attempt: AttemptId,
    /// The agent that granted it.
    pub agent: Arc<str>,
    /// The grant, which names the incarnation of that agent.
    pub grant: GrantId,
}

/// Who may run a named request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// This attempt, and no other.
    Held(Holder),
    /// Nobody yet: the request lost its place in the order before it was dispatched.
    Barred {
        /// The request that lost its place.
        #[serde(with = "request_text")]
        request: RequestId,
    },
}

/// The object in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The [`crate::claims::idempotency::RequestDigest`] of the call, as text; absent in a bar.
    pub digest: Option<Arc<str>>,
    /// Who may run it.
    pub state: ClaimState,
}

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
            .ok_or_else(|| D::Error::custom("an attempt is `req-…/number`"))?;
        Ok(AttemptId {
            request: request.parse().map_err(D::Error::custom)?,
            number: number.parse().map_err(D::Error::custom)?,
        })
    }
}

/// What is known after a call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreResponse {
    /// The write took effect.
    Written {
        /// The object's version from now on.
        version: u64,
    },
    /// The object as it is: the write did not take effect, or a read.
    Current(Option<StoredClaim>),
    /// No usable answer; a write may or may not have taken effect, now or later.
    Lost,
    /// The write did not take effect, and the store wants to be left alone.
    Limited {
        /// For how long.
        retry_after_ms: u64,
    },
}

/// A claim with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredClaim {
    /// The store's version of the object.
    pub version: u64,
    /// The claim; absent if the object could not be understood.
    pub claim: Option<Claim>,
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Write the claim if there is none (`expected` is `None`) or at that version.
    Write {
        /// The version to replace.
        expected: Option<u64>,
        /// What to write.
        claim: Claim,
    },
    /// Read it.
    Read,
    /// Remove it at this version.
    Delete {
        /// The version to remove.
        version: u64,
    },
}
