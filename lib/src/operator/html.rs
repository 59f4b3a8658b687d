//! The parts of the phone page: plain HTML that needs no script and little of a bad line.

use std::fmt::Write;

use serde_json::Map;
use serde_json::Value;

use crate::config::audit::Change;
use crate::operator::messages::ObjectView;

/// Big targets, one column, the system's own fonts and colours; nothing is loaded besides.
const STYLE: &str = "\
body{font:18px/1.4 system-ui,sans-serif;margin:0 auto;padding:12px;max-width:40em;color:#111;\
background:#fff;overflow-wrap:anywhere}\
h1{font-size:1.3em;margin:.3em 0}h2{font-size:1.1em;margin:1em 0 .3em}\
a.b,button{display:block;box-sizing:border-box;width:100%;min-height:52px;padding:14px;\
margin:10px 0;font:inherit;text-align:center;border:2px solid #235;border-radius:8px;\
background:#e8eef8;color:#123;text-decoration:none}\
button.danger{background:#a01818;border-color:#700;color:#fff}\
label{display:block;margin:12px 0 4px}\
input,select,textarea{box-sizing:border-box;width:100%;min-height:48px;padding:10px;font:inherit}\
input[type=checkbox]{width:32px;min-height:32px;vertical-align:middle}\
textarea{min-height:12em;font:15px monospace}\
ul{list-style:none;padding:0;margin:0}li{border-top:1px solid #bbb;padding:8px 0}\
.bad{border-left:6px solid #a01818;padding:6px 10px;background:#fdeeee}\
.good{border-left:6px solid #186a18;padding:6px 10px;background:#eefaee}\
.wait{border-left:6px solid #a06a00;padding:6px 10px;background:#fff6e0}\
.s{color:#444;font-size:.85em}nav a{display:inline-block;padding:12px 14px 12px 0}";

/// Makes text safe between tags and in quoted attributes.
///
/// ```
/// use sardinewood::operator::html::escape;
///
/// assert_eq!(escape("<a href='x'>&\"</a>"), "&lt;a href=&#39;x&#39;&gt;&amp;&quot;&lt;/a&gt;");
/// ```
#[must_use]
pub fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        match character {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            '\'' => escaped.push_str("&#39;"),
            _ => escaped.push(character),
        }
    }
    escaped
}

/// A whole page around its body, which is HTML already.
///
/// ```
/// use sardinewood::operator::html::page;
///
/// assert!(page("Upstreams", "<p>none</p>").contains("<h1>Upstreams</h1>"));
/// ```
#[must_use]
pub fn page(title: &str, body: &str) -> String {
    let title = escape(title);
    format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width,initial-scale=1\">\
         <title>{title}</title><style>{STYLE}</style>\
         <nav><a href=\"/\">Upstreams</a><a href=\"/profiles\">Profiles</a>\
         <a href=\"/audit\">Changes</a></nav><h1>{title}</h1>{body}</html>"
    )
}

/// A list of sentences.
///
/// ```
/// use sardinewood::operator::html::list;
///
/// assert_eq!(list(["a&b"]), "<ul><li>a&amp;b</li></ul>");
/// ```
#[must_use]
pub fn list<'a>(sentences: impl IntoIterator<Item = &'a str>) -> String {
    let mut html = "<ul>".to_owned();
    for sentence in sentences {
        // Writing to a string cannot fail.
        let _ = write!(html, "<li>{}</li>", escape(sentence));
    }
    html.push_str("</ul>");
    html
}

/// A hidden field of a form.
///
/// ```
/// use sardinewood::operator::html::hidden;
///
/// let field = hidden("version", "7");
/// assert_eq!(field, r#"<input type="hidden" name="version" value="7">"#);
/// ```
#[must_use]
pub fn hidden(name: &str, value: &str) -> String {
    format!(
        "<input type=\"hidden\" name=\"{name}\" value=\"{}\">",
        escape(value)
    )
}

/// A labelled field of a form.
///
/// ```
/// use sardinewood::operator::html::field;
///
/// assert!(field("Tier", "tier", "2").contains(r#"name="tier" value="2""#));
/// ```
#[must_use]
pub fn field(label: &str, name: &str, value: &str) -> String {
    format!(
        "<label for=\"{name}\">{}</label><input id=\"{name}\" name=\"{name}\" value=\"{}\">",
        escape(label),
        escape(value)
    )
}

/// Who made a change and why, in a sentence.
///
/// ```
/// use sardinewood::operator::html::change_sentence;
///
/// assert_eq!(change_sentence(None), "It was written without a record.");
/// ```
#[must_use]
pub fn change_sentence(change: Option<&Change>) -> String {
    match change {
        None => "It was written without a record.".to_owned(),
        Some(change) => format!("{} changed it: {}", change.who, change.why),
    }
}

/// What another operator changed: each field that differs from what this one looked at.
///
/// ```
/// use sardinewood::operator::html::differences;
/// use serde_json::json;
///
/// let seen = json!({"tier": 1, "deadline_ms": 8000});
/// let now = json!({"tier": 1, "deadline_ms": 4000});
/// assert_eq!(differences(&seen, &now), ["deadline_ms: 8000 is now 4000"]);
/// ```
#[must_use]
pub fn differences(seen: &Value, now: &Value) -> Vec<String> {
    let empty = Map::new();
    let seen = seen.as_object().unwrap_or(&empty);
    let now = now.as_object().unwrap_or(&empty);
    let mut names: Vec<_> = seen.keys().chain(now.keys()).collect();
    names.sort();
    names.dedup();
    let text = |value: Option<&Value>| value.map_or("nothing".to_owned(), Value::to_string);
    names
        .into_iter()
        .filter(|name| seen.get(*name) != now.get(*name))
        .map(|name| {
            format!(
                "{name}: {} is now {}",
                text(seen.get(name)),
                text(now.get(name))
            )
        })
        .collect()
}

/// The part of a page that shows a conflict.
///
/// ```
/// use sardinewood::operator::html::conflict;
///
/// assert!(conflict(&serde_json::json!({}), None).contains("does not exist"));
/// ```
#[must_use]
pub fn conflict(seen: &Value, current: Option<&ObjectView>) -> String {
    let mut html = "<div class=\"bad\"><p><b>Nothing was changed by you.</b> \
                    Another operator was first.</p>"
        .to_owned();
    match current {
        None => html.push_str("<p>The object does not exist.</p>"),
        Some(view) => {
            let sentence = escape(&change_sentence(view.change.as_ref()));
            // Writing to a string cannot fail.
            let _ = write!(html, "<p>{sentence}</p>");
            match &view.spec {
                None => html.push_str("<p>It is removed now.</p>"),
                Some(spec) => {
                    let differences = differences(seen, spec);
                    html.push_str(&list(differences.iter().map(String::as_str)));
                }
            }
        }
    }
    html.push_str("</div>");
    html
}
