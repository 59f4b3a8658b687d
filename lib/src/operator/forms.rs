//! The forms of the phone page, and what they mean when they come back.

use std::sync::Arc;

use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::config::object::Kind;
use crate::config::objects::Activity;
use crate::config::objects::TIER_COUNT;
use crate::operator::html::field;
use crate::operator::html::hidden;
use crate::operator::messages::Action;
use crate::operator::messages::ChangeRequest;
use crate::operator::messages::Expected;
use crate::operator::messages::ObjectView;

/// The reason of a change that is only tried out.
const DRY_RUN_REASON: &str = "dry run";

/// The limits of a profile that the form offers.
const LIMITS: [&str; 4] = [
    "requests_per_min",
    "tokens_per_min",
    "concurrent",
    "max_output_tokens",
];

/// A change as a form carries it from page to page.
///
/// ```
/// use sardinewood::operator::forms::ChangeForm;
///
/// let form = ChangeForm { kind: "profiles".into(), version: "7".into(), ..Default::default() };
/// assert!(form.request(false).is_some());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct ChangeForm {
    /// Shows that the form comes from a page made for this operator.
    pub key: String,
    /// The id of the change, drawn with the first page; a form that is sent twice is one change.
    pub id: String,
    /// The kind of the object.
    pub kind: String,
    /// Its name.
    pub name: String,
    /// The version that the operator looked at; empty if there was no object.
    pub version: String,
    /// The object that the operator looked at, as JSON.
    pub seen: String,
    /// The object as it is to be, as JSON; empty to remove it.
    pub spec: String,
    /// The operator's own words.
    pub reason: String,
    /// Whether an answer to this change was lost before.
    pub is_asked_again: bool,
}

impl ChangeForm {
    /// A new change of an object that the operator looks at; `None` stands for no object.
    ///
    /// ```
    /// use sardinewood::config::object::Kind;
    /// use sardinewood::operator::forms::ChangeForm;
    ///
    /// let form = ChangeForm::new(Kind::Profiles, "lookup", None, "c1".into());
    /// assert_eq!(form.version, "");
    /// ```
    #[must_use]
    pub fn new(kind: Kind, name: &str, view: Option<&ObjectView>, id: String) -> Self {
        let seen = view.and_then(|view| view.spec.as_ref());
        Self {
            id,
            kind: kind.as_str().to_owned(),
            name: name.to_owned(),
            version: view.map_or_else(String::new, |view| view.version.to_string()),
            seen: seen.map_or_else(String::new, Value::to_string),
            ..Self::default()
        }
    }

    /// What it asks for; `None` if it is not a form of ours.
    ///
    /// ```
    /// assert!(sardinewood::operator::forms::ChangeForm::default().request(true).is_none());
    /// ```
    #[must_use]
    pub fn request(&self, dry_run: bool) -> Option<ChangeRequest> {
        let expected = match self.version.as_str() {
            "" => Expected::Absent,
            version => Expected::Version(version.parse().ok()?),
        };
        let action = match self.spec.trim() {
            "" => Action::Delete,
            // What is not JSON is text, which the check of the object refuses with its place.
            spec => Action::Put(serde_json::from_str(spec).unwrap_or_else(|_| json!(spec))),
        };
        let reason = if dry_run {
            DRY_RUN_REASON
        } else {
            &self.reason
        };
        Some(ChangeRequest {
            id: self.id.as_str().into(),
            kind: Kind::parse(&self.kind)?,
            name: self.name.trim().into(),
            expected,
            action,
            reason: reason.into(),
            dry_run,
        })
    }

    /// The object that the operator looked at.
    ///
    /// ```
    /// assert!(sardinewood::operator::forms::ChangeForm::default().seen_spec().is_null());
    /// ```
    #[must_use]
    pub fn seen_spec(&self) -> Value {
        serde_json::from_str(&self.seen).unwrap_or_default()
    }

    /// Its hidden fields, all but the reason.
    ///
    /// ```
    /// let html = sardinewood::operator::forms::ChangeForm::default().hidden_fields();
    /// assert!(html.contains(r#"name="version""#));
    /// ```
    #[must_use]
    pub fn hidden_fields(&self) -> String {
        let fields = [
            ("key", &self.key),
            ("id", &self.id),
            ("kind", &self.kind),
            ("name", &self.name),
            ("version", &self.version),
            ("seen", &self.seen),
            ("spec", &self.spec),
        ];
        fields
            .iter()
            .map(|(name, value)| hidden(name, value))
            .collect()
    }

    /// The form that makes the change, with a button that says so.
    ///
    /// ```
    /// use sardinewood::operator::forms::ChangeForm;
    ///
    /// let html = ChangeForm::default().commit("Drain lang-1", false);
    /// assert!(html.contains("Drain lang-1</button>"));
    /// ```
    #[must_use]
    pub fn commit(&self, button: &str, is_dangerous: bool) -> String {
        let class = if is_dangerous {
            " class=\"danger\""
        } else {
            ""
        };
        format!(
            "<form method=\"post\" action=\"/change\">{}{}<button{class}>{}</button></form>",
            self.hidden_fields(),
            field("Why", "reason", &self.reason),
            crate::operator::html::escape(button),
        )
    }

    /// The form that asks what became of the same change.
    ///
    /// ```
    /// use sardinewood::operator::forms::ChangeForm;
    ///
    /// assert!(ChangeForm::default().ask_again().contains("is_asked_again"));
    /// ```
    #[must_use]
    pub fn ask_again(&self) -> String {
        format!(
            "<form method=\"post\" action=\"/change\">{}{}{}<button>Ask again</button></form>",
            self.hidden_fields(),
            hidden("reason", &self.reason),
            hidden("is_asked_again", "true"),
        )
    }
}

/// An upstream's object with another activity.
///
/// ```
/// use sardinewood::config::objects::Activity;
/// use sardinewood::operator::forms::with_activity;
/// use serde_json::json;
///
/// let drained = with_activity(json!({"name": "lang-1"}), Activity::Draining);
/// assert_eq!(drained["activity"], "draining");
/// ```
#[must_use]
pub fn with_activity(mut spec: Value, activity: Activity) -> Value {
    if let Value::Object(fields) = &mut spec {
        fields.insert("activity".to_owned(), json!(activity));
    }
    spec
}

/// The fields of a profile as the form sends them.
pub type ProfileFields = indexmap::IndexMap<String, String>;

/// A profile's object from the fields of the form, on top of what the operator looked at.
///
/// ```
/// use sardinewood::operator::forms::{ProfileFields, profile_spec};
/// use serde_json::json;
///
/// let mut fields = ProfileFields::default();
/// fields.insert("tier".into(), "1".into());
/// fields.insert("concurrent".into(), "".into());
/// let seen = json!({"name": "lookup", "tier": 2, "limits": {"concurrent": 5}});
/// let spec = profile_spec("lookup", &seen, &fields);
/// assert_eq!(spec, json!({
///     "name": "lookup", "tier": 1, "non_idempotent": false, "limits": {},
/// }));
/// ```
#[must_use]
pub fn profile_spec(name: &str, seen: &Value, fields: &ProfileFields) -> Value {
    let mut spec = seen.as_object().cloned().unwrap_or_default();
    spec.insert("name".to_owned(), json!(name));
    for number in ["tier", "deadline_ms"] {
        set_number(&mut spec, number, fields);
    }
    match fields.get("model").map(|model| model.trim()) {
        Some("") => {
            spec.remove("model");
        }
        Some(model) => {
            spec.insert("model".to_owned(), json!(model));
        }
        None => {}
    }
    let non_idempotent = fields.contains_key("non_idempotent");
    spec.insert("non_idempotent".to_owned(), json!(non_idempotent));
    let limits = spec.get("limits").and_then(Value::as_object);
    let mut limits = limits.cloned().unwrap_or_default();
    for limit in LIMITS {
        set_number(&mut limits, limit, fields);
    }
    spec.insert("limits".to_owned(), Value::Object(limits));
    Value::Object(spec)
}

/// Sets or removes a field; what is no number stays text, which the check refuses.
fn set_number(object: &mut Map<String, Value>, name: &str, fields: &ProfileFields) {
    let Some(text) = fields.get(name).map(|text| text.trim()) else {
        return;
    };
    if text.is_empty() {
        object.remove(name);
        return;
    }
    let value = text
        .parse::<u64>()
        .map_or_else(|_| json!(text), |number| json!(number));
    object.insert(name.to_owned(), value);
}

/// The form of a profile.
///
/// ```
/// use sardinewood::config::object::Kind;
/// use sardinewood::operator::forms::{ChangeForm, profile};
///
/// let form = ChangeForm::new(Kind::Profiles, "lookup", None, "c1".into());
/// assert!(profile(&form).contains("Deadline"));
/// ```
#[must_use]
pub fn profile(form: &ChangeForm) -> String {
    let seen = form.seen_spec();
    let text = |value: &Value| match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let tiers = (0..TIER_COUNT).map(|tier| {
        let selected = if seen["tier"] == json!(tier) {
            " selected"
        } else {
            ""
        };
        let note = if tier == 0 { " (first)" } else { "" };
        format!("<option value=\"{tier}\"{selected}>{tier}{note}</option>")
    });
    let checked = if seen["non_idempotent"] == json!(true) {
        " checked"
    } else {
        ""
    };
    let limits = LIMITS.map(|limit| {
        let label = format!("Limit: {}", limit.replace('_', " "));
        field(&label, limit, &text(&seen["limits"][limit]))
    });
    format!(
        "<form method=\"post\" action=\"/check-profile\">{}\
         <label for=\"tier\">Tier</label><select id=\"tier\" name=\"tier\">{}</select>{}{}\
         <label><input type=\"checkbox\" name=\"non_idempotent\" value=\"1\"{checked}> \
         runs at most once, whatever happens</label>{}\
         <button>Check this change</button></form>",
        form.hidden_fields(),
        tiers.collect::<String>(),
        field("Deadline in ms", "deadline_ms", &text(&seen["deadline_ms"])),
        field(
            "Model where a request names none",
            "model",
            &text(&seen["model"])
        ),
        limits.concat(),
    )
}

/// The form of a new upstream: its object as JSON.
///
/// ```
/// use sardinewood::config::object::Kind;
/// use sardinewood::operator::forms::{ChangeForm, new_upstream};
///
/// let form = ChangeForm::new(Kind::Upstreams, "", None, "c1".into());
/// assert!(new_upstream(&form).contains("textarea"));
/// ```
#[must_use]
pub fn new_upstream(form: &ChangeForm) -> String {
    let example = json!({
        "name": "", "data_centre": "", "url": "http://", "agent_address": "",
        "serves": {"models": [""]}, "slots": 8,
    });
    let example = serde_json::to_string_pretty(&example).unwrap_or_default();
    format!(
        "<form method=\"post\" action=\"/check\">{}{}{}{}\
         <label for=\"spec\">The upstream</label><textarea id=\"spec\" name=\"spec\">{}</textarea>\
         <button>Check this change</button></form>",
        hidden("key", &form.key),
        hidden("id", &form.id),
        hidden("kind", &form.kind),
        field("Name", "name", ""),
        crate::operator::html::escape(&example),
    )
}

/// The form to sign in.
///
/// ```
/// assert!(sardinewood::operator::forms::login().contains(r#"type="password""#));
/// ```
#[must_use]
pub fn login() -> String {
    "<form method=\"post\" action=\"/login\"><label for=\"token\">Token</label>\
     <input id=\"token\" name=\"token\" type=\"password\" autocomplete=\"current-password\">\
     <button>Sign in</button></form>"
        .to_owned()
}

/// The name of an activity in a link, and what a button for it says.
///
/// ```
/// use sardinewood::config::objects::Activity;
/// use sardinewood::operator::forms::activity_of;
///
/// assert_eq!(activity_of("drain"), Some((Activity::Draining, "Drain")));
/// assert_eq!(activity_of("sleep"), None);
/// ```
#[must_use]
pub fn activity_of(word: &str) -> Option<(Activity, &'static str)> {
    match word {
        "drain" => Some((Activity::Draining, "Drain")),
        "stop" => Some((Activity::Stopped, "Stop")),
        "resume" => Some((Activity::Active, "Resume")),
        _ => None,
    }
}

/// A fresh id for a change.
///
/// ```
/// use sardinewood::operator::forms::fresh_id;
///
/// assert_ne!(fresh_id(), fresh_id());
/// ```
#[must_use]
pub fn fresh_id() -> String {
    format!("page-{:032x}", rand::random::<u128>())
}

/// A shared name for a form's text.
#[must_use]
pub(crate) fn name_of(text: &str) -> Arc<str> {
    text.trim().into()
}
