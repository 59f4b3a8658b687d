//! Parts of prompts that several requests share.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::digest::digest_parts;

/// Longest id that is kept as it is, in hexadecimal digits.
const MAX_DIGITS: usize = 32;

/// Id of a part of a prompt.
///
/// It is a hexadecimal number, so case and leading zeros make no difference. A longer id is hashed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PromptPart(u128);

impl PromptPart {
    /// Parses the id of a part. Returns none if it isn't a hexadecimal number.
    ///
    /// ```
    /// use sardinewood::direct::quarantine::prompt_part::PromptPart;
    ///
    /// assert_eq!(PromptPart::parse("5c1e07a2"), PromptPart::parse("5C1E07A2"));
    /// assert!(PromptPart::parse("5c1e:07").is_none());
    /// ```
    #[must_use]
    pub fn parse(id: &str) -> Option<Self> {
        let is_hex = !id.is_empty() && id.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_hex {
            return None;
        }
        if id.len() <= MAX_DIGITS {
            return u128::from_str_radix(id, 16).ok().map(Self);
        }
        let digest = digest_parts(&[id.to_ascii_lowercase().as_bytes()]);
        let (start, _) = digest.split_first_chunk()?;
        Some(Self(u128::from_be_bytes(*start)))
    }

    /// Returns the id as a number.
    ///
    /// ```
    /// use sardinewood::direct::quarantine::prompt_part::PromptPart;
    ///
    /// assert_eq!(PromptPart::parse("1f").unwrap().number(), 31);
    /// ```
    #[must_use]
    pub fn number(self) -> u128 {
        self.0
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:08x}", self.0)
    }
}

impl fmt::Debug for PromptPart {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}
