//! Positions in the history of a store.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error as _;

/// A position in the history of a store: the era, and the store's revision within it.
///
/// A store that returns from an older copy of itself gives its revisions out again, in a new era.
/// Positions are ordered by era first, so that whatever the store says in a later era is newer than
/// what it said in an earlier one.
///
/// In JSON, a position of a store that names no era is a bare number, and others are text.
///
/// ```
/// use sardinewood::store::position::StorePosition;
///
/// let before = StorePosition { era: 1, revision: 41 };
/// let after = StorePosition { era: 2, revision: 37 };
/// assert!(after > before);
/// assert_eq!(after.to_string(), "2:37");
/// assert_eq!(serde_json::from_str::<StorePosition>("\"2:37\"").unwrap(), after);
/// assert_eq!(serde_json::from_str::<StorePosition>("5").unwrap(), StorePosition::new(0, 5));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StorePosition {
    /// The era, or 0 if the store names none.
    pub era: u32,
    /// The store's revision.
    pub revision: u64,
}

/// A position in JSON and in queries.
#[derive(Clone, Serialize, Deserialize)]
#[serde(untagged)]
enum JsonPosition {
    Revision(u64),
    Text(String),
}

/// The text is no position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a position is REVISION or ERA:REVISION")]
pub struct PositionError;

impl FromStr for StorePosition {
    type Err = PositionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, revision) = text.split_once(':').unwrap_or(("0", text));
        let era = era.parse().map_err(|_| PositionError)?;
        let revision = revision.parse().map_err(|_| PositionError)?;
        Ok(Self { era, revision })
    }
}

impl StorePosition {
    /// Returns the position of a revision in an era.
    ///
    /// ```
    /// use sardinewood::store::position::StorePosition;
    ///
    /// assert_eq!(StorePosition::new(0, 0), StorePosition::default());
    /// ```
    #[must_use]
    pub const fn new(era: u32, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Returns the position of the next revision in the same era.
    ///
    /// ```
    /// use sardinewood::store::position::StorePosition;
    ///
    /// assert_eq!(StorePosition::new(2, 7).following(), StorePosition::new(2, 8));
    /// ```
    #[must_use]
    pub fn following(self) -> Self {
        Self {
            revision: self.revision + 1,
            ..self
        }
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(formatter, "{}", self.revision),
            era => write!(formatter, "{era}:{}", self.revision),
        }
    }
}

impl Serialize for StorePosition {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let Self { era, revision } = *self;
        if !serializer.is_human_readable() {
            return (era, revision).serialize(serializer);
        }
        match era {
            0 => JsonPosition::Revision(revision),
            _ => JsonPosition::Text(self.to_string()),
        }
        .serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for StorePosition {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            let (era, revision) = Deserialize::deserialize(deserializer)?;
            return Ok(Self { era, revision });
        }
        match JsonPosition::deserialize(deserializer)? {
            JsonPosition::Revision(revision) => Ok(Self { era: 0, revision }),
            JsonPosition::Text(text) => text.parse().map_err(D::Error::custom),
        }
    }
}

/// Encodes a position without its era, in messages that builds without eras read as well. The era
/// has to be sent beside the message.
pub mod revision_only {
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;

    use super::StorePosition;

    /// Serializes the revision.
    ///
    /// # Errors
    ///
    /// When the serializer fails.
    pub fn serialize<S: Serializer>(
        position: &StorePosition,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(position.revision)
    }

    /// Deserializes a position of era 0.
    ///
    /// # Errors
    ///
    /// When there is no revision.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<StorePosition, D::Error> {
        let revision = u64::deserialize(deserializer)?;
        Ok(StorePosition { era: 0, revision })
    }
}
