//! Reads the texts of a prompt while it is parsed, without storing the prompt.
//!
//! A parsed document can take many times as much memory as its text.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::DeserializeSeed;
use serde::de::IgnoredAny;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;

/// Bytes of a prompt's beginning that are kept.
pub const MAX_BEGINNING_BYTES: usize = 16 << 10;

/// What a prompt is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PromptKind {
    /// A text or a list.
    #[default]
    Valid,
    /// Anything else.
    Invalid,
}

/// The texts of a prompt in their order, each with a zero byte behind it.
///
/// ```
/// use sardinewood::caller::prompt_text::PromptText;
///
/// let prompt: PromptText = serde_json::from_str(r#"["ab", {"text": "c", "n": 1}]"#).unwrap();
/// assert_eq!((prompt.length_bytes, &prompt.beginning[..]), (5, &b"ab\0c\0"[..]));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptText {
    /// Whether it is a prompt at all.
    pub kind: PromptKind,
    /// Length of all texts.
    pub length_bytes: usize,
    /// The first texts, as far as they are kept.
    pub beginning: Vec<u8>,
}

impl PromptText {
    fn push(&mut self, text: &str) {
        self.length_bytes += text.len() + 1;
        let left = MAX_BEGINNING_BYTES - self.beginning.len();
        let kept = &text.as_bytes()[..text.len().min(left)];
        self.beginning.extend_from_slice(kept);
        if kept.len() < left {
            self.beginning.push(0);
        }
    }
}

impl<'de> Deserialize<'de> for PromptText {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let mut text = Self::default();
        let kind = Part(&mut text).deserialize(deserializer)?;
        text.kind = kind;
        Ok(text)
    }
}

/// Reads one value of a prompt. Its result says whether it could be a prompt by itself.
struct Part<'a>(&'a mut PromptText);

impl<'de> DeserializeSeed<'de> for Part<'_> {
    type Value = PromptKind;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<PromptKind, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Part<'_> {
    type Value = PromptKind;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a prompt")
    }

    fn visit_str<E>(self, text: &str) -> Result<PromptKind, E> {
        self.0.push(text);
        Ok(PromptKind::Valid)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut parts: A) -> Result<PromptKind, A::Error> {
        while parts.next_element_seed(Part(self.0))?.is_some() {}
        Ok(PromptKind::Valid)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<PromptKind, A::Error> {
        while fields.next_key::<IgnoredAny>()?.is_some() {
            fields.next_value_seed(Part(self.0))?;
        }
        Ok(PromptKind::Invalid)
    }

    fn visit_bool<E>(self, _: bool) -> Result<PromptKind, E> {
        Ok(PromptKind::Invalid)
    }

    fn visit_i64<E>(self, _: i64) -> Result<PromptKind, E> {
        Ok(PromptKind::Invalid)
    }

    fn visit_u64<E>(self, _: u64) -> Result<PromptKind, E> {
        Ok(PromptKind::Invalid)
    }

    fn visit_f64<E>(self, _: f64) -> Result<PromptKind, E> {
        Ok(PromptKind::Invalid)
    }

    fn visit_unit<E>(self) -> Result<PromptKind, E> {
        Ok(PromptKind::Invalid)
    }
}
