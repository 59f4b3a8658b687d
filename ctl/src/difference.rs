//! What differs between two versions of an object, a line for each field.

use serde_json::Map;
use serde_json::Value;

/// The fields that differ, as `field: before -> after`.
///
/// ```
/// use sardinewoodctl::difference::difference;
/// use serde_json::json;
///
/// let lines = difference(&json!({"tier": 2, "a": 1}), &json!({"tier": 1, "a": 1}));
/// assert_eq!(lines, ["tier: 2 -> 1"]);
/// ```
#[must_use]
pub fn difference(before: &Value, after: &Value) -> Vec<String> {
    let mut lines = Vec::new();
    compare("", before, after, &mut lines);
    lines
}

fn compare(path: &str, before: &Value, after: &Value, lines: &mut Vec<String>) {
    if before == after {
        return;
    }
    let nested = before.is_object() || after.is_object();
    let both = fields(before).zip(fields(after)).filter(|_| nested);
    let Some((old, new)) = &both else {
        lines.push(format!("{path}: {} -> {}", shown(before), shown(after)));
        return;
    };
    let added = new.keys().filter(|key| !old.contains_key(*key));
    for key in old.keys().chain(added) {
        let path = match path {
            "" => key.clone(),
            path => format!("{path}.{key}"),
        };
        let field = |map: &Map<String, Value>| map.get(key).cloned();
        compare(
            &path,
            &field(old).unwrap_or_default(),
            &field(new).unwrap_or_default(),
            lines,
        );
    }
}

/// The fields of an object, none for one that is absent.
fn fields(value: &Value) -> Option<Map<String, Value>> {
    match value {
        Value::Object(map) => Some(map.clone()),
        Value::Null => Some(Map::new()),
        _ => None,
    }
}

fn shown(value: &Value) -> String {
    match value {
        Value::Null => "(none)".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
