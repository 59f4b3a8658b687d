//! The kinds of configuration objects, and the check that each object passes before it
//! is in force.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;

use crate::catalog::ObjectFinding;
use crate::objects::Customer;
use crate::objects::Operator;
use crate::objects::Profile;
use crate::objects::TIER_COUNT;
use crate::objects::Upstream;

/// Length of a SHA-256 in hexadecimal.
const SHA256_HEX_DIGITS: usize = 64;

/// The longest name of an object.
const MAX_NAME_BYTES: usize = 100;

/// A kind of configuration object.
///
/// ```
/// use sardinewood::config_object::Kind;
///
/// assert_eq!(Kind::parse("profiles"), Some(Kind::Profiles));
/// assert_eq!(Kind::Upstreams.as_str(), "upstreams");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Classes of work.
    Profiles,
    /// Engines and plain services.
    Upstreams,
    /// Senders of requests.
    Customers,
    /// People who run the system.
    Operators,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 4] = [
        Self::Profiles,
        Self::Upstreams,
        Self::Customers,
        Self::Operators,
    ];

    /// The name of the kind in the store.
    ///
    /// ```
    /// assert_eq!(sardinewood::config_object::Kind::Customers.as_str(), "customers");
    /// ```
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Profiles => "profiles",
            Self::Upstreams => "upstreams",
            Self::Customers => "customers",
            Self::Operators => "operators",
        }
    }

    /// The kind of this name.
    ///
    /// ```
    /// assert_eq!(sardinewood::config_object::Kind::parse("pods"), None);
    /// ```
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == text)
    }

    /// A valid object of the kind with only the fields that have no default.
    fn template(self) -> Map<String, Value> {
        let text = match self {
            Self::Profiles => r#"{"name": "a", "tier": 0, "deadline_ms": 1}"#,
            Self::Upstreams => {
                r#"{"name": "a", "data_centre": "a", "url": "http://127.0.0.1:1",
                    "agent_address": "127.0.0.1:1", "serves": {"service": "a"}, "slots": 1}"#
            }
            Self::Customers => {
                r#"{"name": "a", "weight": 1, "default_profile": "a", "key_sha256": []}"#
            }
            Self::Operators => r#"{"name": "a", "role": "read", "token_sha256": []}"#,
        };
        serde_json::from_str(text).unwrap_or_default()
    }
}

/// What names an object.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ObjectKey {
    /// Its kind.
    pub kind: Kind,
    /// Its name within the kind.
    pub name: Arc<str>,
}

/// A checked object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Spec {
    /// A class of work.
    Profile(Arc<Profile>),
    /// An engine or plain service.
    Upstream(Arc<Upstream>),
    /// A sender of requests.
    Customer(Arc<Customer>),
    /// Somebody who runs the system.
    Operator(Arc<Operator>),
}

/// Checks an object on its own and collects all that is wrong with it.
///
/// # Errors
///
/// Everything that keeps the object out of force.
///
/// ```
/// use sardinewood::config_object::{Kind, ObjectKey, check};
///
/// let key = ObjectKey { kind: Kind::Profiles, name: "lookup".into() };
/// let findings = check(&key, &serde_json::json!({"name": "lookup", "tier": 9, "colour": 1}));
/// let places: Vec<_> = findings.unwrap_err().into_iter().map(|f| f.place).collect();
/// assert_eq!(places, ["colour".into(), "tier".into(), "deadline_ms".into()]);
/// ```
pub fn check(key: &ObjectKey, value: &Value) -> Result<Spec, Vec<ObjectFinding>> {
    let mut findings = Findings::new(key);
    findings.check_name(&key.name);
    let spec = match key.kind {
        Kind::Profiles => parse(value, check_profile, &mut findings).map(Spec::Profile),
        Kind::Upstreams => parse(value, check_upstream, &mut findings).map(Spec::Upstream),
        Kind::Customers => parse(value, check_customer, &mut findings).map(Spec::Customer),
        Kind::Operators => parse(value, check_operator, &mut findings).map(Spec::Operator),
    };
    match spec {
        Some(spec) if findings.list.is_empty() => Ok(spec),
        _ => Err(findings.list),
    }
}

/// Collects what is wrong with one object.
struct Findings<'a> {
    key: &'a ObjectKey,
    list: Vec<ObjectFinding>,
}

impl<'a> Findings<'a> {
    fn new(key: &'a ObjectKey) -> Self {
        Self {
            key,
            list: Vec::new(),
        }
    }

    fn add(&mut self, place: &str, message: impl Into<Arc<str>>) {
        self.list.push(ObjectFinding {
            kind: self.key.kind.as_str().into(),
            name: Arc::clone(&self.key.name),
            place: place.into(),
            message: message.into(),
        });
    }

    /// Names are part of paths and pages, so they hold nothing that needs an escape there.
    fn check_name(&mut self, name: &str) {
        let known = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(known) {
            self.add("name", "is not 1 to 100 letters, digits, `-`, `_` or `.`");
        }
    }

    fn check_hashes(&mut self, place: &str, hashes: &[Arc<str>]) {
        for (index, hash) in hashes.iter().enumerate() {
            let hexadecimal = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
            if hash.len() != SHA256_HEX_DIGITS || !hash.bytes().all(hexadecimal) {
                self.add(
                    &format!("{place}[{index}]"),
                    "is not a SHA-256 in lower-case hexadecimal",
                );
            }
        }
    }

    fn check_not_zero(&mut self, place: &str, number: u64) {
        if number == 0 {
            self.add(place, "is zero");
        }
    }
}

/// Reads and checks the object, or adds a finding for each field that is wrong.
fn parse<T: DeserializeOwned>(
    value: &Value,
    check_fields: fn(&T, &mut Findings<'_>),
    findings: &mut Findings<'_>,
) -> Option<Arc<T>> {
    let own_name = value.get("name").and_then(Value::as_str);
    if own_name.is_some_and(|own_name| own_name != &*findings.key.name) {
        findings.add("name", "differs from the name of the object");
    }
    match T::deserialize(value) {
        Ok(parsed) => {
            check_fields(&parsed, findings);
            Some(Arc::new(parsed))
        }
        Err(error) => {
            let before = findings.list.len();
            check_each_field(value, check_fields, findings);
            if findings.list.len() == before {
                findings.add("object", error.to_string());
            }
            None
        }
    }
}

/// A parser stops at the first wrong field. So each field is tried by itself in an object
/// that is otherwise valid, and all wrong ones are reported.
fn check_each_field<T: DeserializeOwned>(
    value: &Value,
    check_fields: fn(&T, &mut Findings<'_>),
    findings: &mut Findings<'_>,
) {
    let Value::Object(fields) = value else {
        findings.add("object", "is not a JSON object");
        return;
    };
    let template = findings.key.kind.template();
    for (field, content) in fields {
        let mut candidate = template.clone();
        candidate.insert(field.clone(), content.clone());
        match T::deserialize(Value::Object(candidate)) {
            Ok(parsed) => check_fields(&parsed, findings),
            Err(error) => findings.add(field, error.to_string()),
        }
    }
    for field in template.keys() {
        if !fields.contains_key(field) {
            findings.add(field, "is missing");
        }
    }
}

fn check_profile(profile: &Profile, findings: &mut Findings<'_>) {
    if usize::from(profile.tier.0) >= TIER_COUNT {
        findings.add("tier", format!("is above {}", TIER_COUNT - 1));
    }
    findings.check_not_zero("deadline_ms", profile.deadline_ms);
    if profile.limits.max_output_tokens == Some(0) {
        findings.add("limits.max_output_tokens", "is zero");
    }
}

fn check_upstream(upstream: &Upstream, findings: &mut Findings<'_>) {
    if upstream.data_centre.is_empty() {
        findings.add("data_centre", "is empty");
    }
    if reqwest::Url::parse(&upstream.url).is_err() {
        findings.add("url", "is not a URL");
    }
    findings.check_not_zero("slots", u64::from(upstream.slots));
    findings.check_not_zero(
        "kv_capacity_tokens",
        upstream.kv_capacity_tokens.unwrap_or(1),
    );
}

fn check_customer(customer: &Customer, findings: &mut Findings<'_>) {
    findings.check_not_zero("weight", u64::from(customer.weight));
    findings.check_hashes("key_sha256", &customer.key_sha256);
}

fn check_operator(operator: &Operator, findings: &mut Findings<'_>) {
    findings.check_hashes("token_sha256", &operator.token_sha256);
}
