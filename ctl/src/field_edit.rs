//! `FIELD=VALUE` words.

use serde_json::Map;
use serde_json::Value;

/// Sets one field of an object, which may be nested.
///
/// ```
/// use sardinewoodctl::field_edit::FieldEdit;
/// use serde_json::json;
///
/// let mut profile = json!({"tier": 2});
/// FieldEdit::read("limits.concurrent=3").unwrap().apply(&mut profile);
/// assert_eq!(profile, json!({"tier": 2, "limits": {"concurrent": 3}}));
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct FieldEdit {
    path: Vec<String>,
    value: Value,
}

impl FieldEdit {
    /// Reads `FIELD=VALUE`; a value that is not JSON is text.
    ///
    /// ```
    /// use sardinewoodctl::field_edit::FieldEdit;
    ///
    /// assert_eq!(FieldEdit::read("model=small"), FieldEdit::read("model=\"small\""));
    /// assert!(FieldEdit::read("model").is_err());
    /// ```
    ///
    /// # Errors
    ///
    /// Says what such a word looks like.
    pub fn read(word: &str) -> Result<Self, String> {
        let problem = || "is not FIELD=VALUE".to_owned();
        let (path, text) = word.split_once('=').ok_or_else(problem)?;
        let path: Vec<_> = path.split('.').map(str::to_owned).collect();
        if path.iter().any(String::is_empty) {
            return Err(problem());
        }
        let as_text = |_| Value::String(text.to_owned());
        let value = serde_json::from_str(text).unwrap_or_else(as_text);
        Ok(Self { path, value })
    }

    /// Sets the field; `null` removes it.
    ///
    /// ```
    /// use sardinewoodctl::field_edit::FieldEdit;
    /// use serde_json::json;
    ///
    /// let mut profile = json!({"model": "small"});
    /// FieldEdit::read("model=null").unwrap().apply(&mut profile);
    /// assert_eq!(profile, json!({}));
    /// ```
    pub fn apply(&self, object: &mut Value) {
        let Some((last, parents)) = self.path.split_last() else {
            return;
        };
        let mut map = as_map(object);
        for parent in parents {
            map = as_map(map.entry(parent).or_insert(Value::Null));
        }
        if self.value.is_null() {
            map.remove(last);
        } else {
            map.insert(last.clone(), self.value.clone());
        }
    }
}

/// The value as an object; what else it was is replaced, as the operator named fields in it.
fn as_map(value: &mut Value) -> &mut Map<String, Value> {
    if !value.is_object() {
        *value = Value::Object(Map::new());
    }
    value.as_object_mut().expect("was just made an object")
}
