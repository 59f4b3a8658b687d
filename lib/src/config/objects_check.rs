//! Checks of profiles, upstreams, customers and operators: every finding at once, with its place.
//!
//! A place reads `customers/rundu: key_sha256[1]`. What a key field holds is never part of
//! a finding, since an operator may have put the key itself there in place of its hash.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;

use crate::config::catalog::Catalog;
use crate::config::objects::Activity;
use crate::config::objects::Customer;
use crate::config::objects::Operator;
use crate::config::objects::Profile;
use crate::config::objects::ProfileLimits;
use crate::config::objects::Serves;
use crate::config::objects::TIER_COUNT;
use crate::config::objects::Tier;
use crate::config::objects::Upstream;
use crate::findings::Findings;
use crate::secrets::SHA256_HEX_DIGITS;
use crate::settings::check_base_url;
use crate::settings::check_name;

/// Longest deadline of a profile: a day.
pub const DEADLINE_MAX_MS: u64 = 86_400_000;
/// Largest weight of a customer.
pub const WEIGHT_MAX: u32 = 1_000_000;
/// Most slots of an upstream.
pub const SLOTS_MAX: u32 = 65_536;

/// The fields of one object that have not been read yet.
struct Fields<'a> {
    place: String,
    map: Map<String, Value>,
    findings: &'a mut Findings,
}

impl<'a> Fields<'a> {
    fn new(place: String, value: &Value, findings: &'a mut Findings) -> Option<Self> {
        let Value::Object(map) = value else {
            findings.add(place, "is not a JSON object");
            return None;
        };
        Some(Self {
            place,
            map: map.clone(),
            findings,
        })
    }

    fn problem(&mut self, field: &str, problem: impl Into<String>) {
        self.findings
            .add(format!("{}: {field}", self.place), problem);
    }

    /// Takes a field that may be left out.
    fn optional<T: DeserializeOwned>(&mut self, field: &str) -> Option<T> {
        let value = self.map.remove(field).filter(|value| !value.is_null())?;
        match serde_json::from_value(value) {
            Ok(value) => Some(value),
            Err(error) => {
                self.problem(field, error.to_string());
                None
            }
        }
    }

    /// Takes a field that must be there.
    fn required<T: DeserializeOwned>(&mut self, field: &str) -> Option<T> {
        if self.map.get(field).is_none_or(Value::is_null) {
            self.map.remove(field);
            self.problem(field, "is missing");
            return None;
        }
        self.optional(field)
    }

    /// Takes a field that holds a name.
    fn name(&mut self, field: &str) -> Option<Arc<str>> {
        let name: Arc<str> = self.required(field)?;
        self.checked(field, name, |name| check_name(name))
    }

    /// Takes a number within a range.
    fn number(&mut self, field: &str, low: u64, high: u64) -> Option<u64> {
        let number: u64 = self.required(field)?;
        self.checked(field, number, |number| check_range(*number, low, high))
    }

    /// Takes a number of at least one that may be left out.
    fn optional_number(&mut self, field: &str, high: u64) -> Option<u64> {
        let number: u64 = self.optional(field)?;
        self.checked(field, number, |number| check_range(*number, 1, high))
    }

    fn checked<T>(
        &mut self,
        field: &str,
        value: T,
        check: impl Fn(&T) -> Result<(), String>,
    ) -> Option<T> {
        if let Err(problem) = check(&value) {
            self.problem(field, problem);
            return None;
        }
        Some(value)
    }

    /// Takes the object's own name, which is also the name it is stored under.
    fn own_name(&mut self, stored: &str) -> Option<Arc<str>> {
        let name = self.name("name")?;
        self.checked("name", name, |name| {
            if **name == *stored {
                return Ok(());
            }
            Err(format!("differs from the object's name `{stored}`"))
        })
    }

    /// Reports the fields that nothing has taken.
    fn finish(self) {
        for field in self.map.keys() {
            self.findings.add(
                format!("{}: {field}", self.place),
                "is no field of this object",
            );
        }
    }
}

fn check_range(number: u64, low: u64, high: u64) -> Result<(), String> {
    if (low..=high).contains(&number) {
        return Ok(());
    }
    Err(format!("is not from {low} to {high}"))
}

fn as_u32(number: Option<u64>) -> Option<u32> {
    number.and_then(|number| u32::try_from(number).ok())
}

/// Checks one profile; an answer without new findings is complete.
///
/// ```
/// use sardinewood::findings::Findings;
/// use sardinewood::config::objects_check::check_profile;
///
/// let mut findings = Findings::default();
/// let value = serde_json::json!({"name": "lookup", "tier": 5, "deadline_ms": 8000});
/// assert!(check_profile("lookup", &value, &mut findings).is_none());
/// assert_eq!(findings.to_string(), "profiles/lookup: tier: is not from 0 to 4\n");
/// ```
#[must_use]
pub fn check_profile(name: &str, value: &Value, findings: &mut Findings) -> Option<Profile> {
    let mut fields = Fields::new(format!("profiles/{name}"), value, findings)?;
    let name = fields.own_name(name);
    let tier = fields.number("tier", 0, TIER_COUNT as u64 - 1);
    let deadline_ms = fields.number("deadline_ms", 1, DEADLINE_MAX_MS);
    let model = fields.optional("model");
    let non_idempotent = fields.optional("non_idempotent");
    let limits = check_limits(&mut fields);
    fields.finish();
    Some(Profile {
        name: name?,
        tier: Tier(u8::try_from(tier?).ok()?),
        deadline_ms: deadline_ms?,
        model,
        non_idempotent: non_idempotent.unwrap_or_default(),
        limits: limits?,
    })
}

fn check_limits(profile: &mut Fields<'_>) -> Option<ProfileLimits> {
    let Some(value) = profile.map.remove("limits") else {
        return Some(ProfileLimits::default());
    };
    let place = format!("{}: limits", profile.place);
    let mut fields = Fields::new(place, &value, profile.findings)?;
    let limits = ProfileLimits {
        requests_per_min: fields.optional_number("requests_per_min", u64::MAX),
        tokens_per_min: fields.optional_number("tokens_per_min", u64::MAX),
        concurrent: as_u32(fields.optional_number("concurrent", u32::MAX.into())),
        max_output_tokens: as_u32(fields.optional_number("max_output_tokens", u32::MAX.into())),
    };
    fields.finish();
    Some(limits)
}

/// Checks one upstream; an answer without new findings is complete.
///
/// ```
/// use sardinewood::findings::Findings;
/// use sardinewood::config::objects_check::check_upstream;
///
/// let mut findings = Findings::default();
/// let value = serde_json::json!({"name": "lang-1"});
/// assert!(check_upstream("lang-1", &value, &mut findings).is_none());
/// assert!(findings.to_string().contains("upstreams/lang-1: url: is missing\n"));
/// ```
#[must_use]
pub fn check_upstream(name: &str, value: &Value, findings: &mut Findings) -> Option<Upstream> {
    let mut fields = Fields::new(format!("upstreams/{name}"), value, findings)?;
    let name = fields.own_name(name);
    let data_centre = fields.name("data_centre");
    let url = fields.required::<Arc<str>>("url");
    let url = url.and_then(|url| fields.checked("url", url, |url| check_base_url(url)));
    let agent_address = fields.required::<SocketAddr>("agent_address");
    let agent_address = agent_address
        .and_then(|address| fields.checked("agent_address", address, check_agent_address));
    let serves = fields.required::<Serves>("serves");
    let serves = serves.and_then(|serves| check_serves(serves, &mut fields));
    let slots = as_u32(fields.number("slots", 1, SLOTS_MAX.into()));
    let kv_capacity_tokens = fields.optional_number("kv_capacity_tokens", u64::MAX);
    let activity = fields.optional::<Activity>("activity");
    let checks_fencing = fields.optional::<bool>("checks_fencing");
    fields.finish();
    Some(Upstream {
        name: name?,
        data_centre: data_centre?,
        url: url?,
        agent_address: agent_address?,
        serves: serves?,
        slots: slots?,
        kv_capacity_tokens,
        activity: activity.unwrap_or_default(),
        checks_fencing: checks_fencing.unwrap_or_default(),
    })
}

fn check_agent_address(address: &SocketAddr) -> Result<(), String> {
    if address.port() == 0 || address.ip().is_unspecified() {
        return Err("is no address that can be reached".to_owned());
    }
    Ok(())
}

fn check_serves(serves: Serves, fields: &mut Fields<'_>) -> Option<Serves> {
    match &serves {
        Serves::Service(service) => {
            let checked = check_name(service);
            if let Err(problem) = checked {
                fields.problem("serves.service", problem);
                return None;
            }
        }
        Serves::Models(models) if models.is_empty() => {
            fields.problem("serves.models", "names no model");
            return None;
        }
        Serves::Models(models) => {
            if !check_models(models, fields) {
                return None;
            }
        }
    }
    Some(serves)
}

fn check_models(models: &[Arc<str>], fields: &mut Fields<'_>) -> bool {
    let mut good = true;
    for (index, model) in models.iter().enumerate() {
        if model.is_empty() {
            fields.problem(&format!("serves.models[{index}]"), "is empty");
            good = false;
        }
        if models[..index].contains(model) {
            fields.problem(&format!("serves.models[{index}]"), "stands twice");
            good = false;
        }
    }
    good
}

/// Checks one customer; an answer without new findings is complete. `profile_exists` tells
/// whether a profile of that name is known.
///
/// ```
/// use sardinewood::findings::Findings;
/// use sardinewood::config::objects_check::check_customer;
///
/// let mut findings = Findings::default();
/// let value = serde_json::json!({
///     "name": "rundu", "weight": 1, "default_profile": "gone", "key_sha256": [],
/// });
/// assert!(check_customer("rundu", &value, &|_| false, &mut findings).is_none());
/// assert_eq!(findings.to_string(), "customers/rundu: default_profile: no profile `gone` exists\n");
/// ```
#[must_use]
pub fn check_customer(
    name: &str,
    value: &Value,
    profile_exists: &dyn Fn(&str) -> bool,
    findings: &mut Findings,
) -> Option<Customer> {
    let mut fields = Fields::new(format!("customers/{name}"), value, findings)?;
    let name = fields.own_name(name);
    let weight = as_u32(fields.number("weight", 1, WEIGHT_MAX.into()));
    let default_profile = fields.name("default_profile");
    let default_profile = default_profile.and_then(|profile| {
        fields.checked("default_profile", profile, |profile| {
            if profile_exists(profile) {
                return Ok(());
            }
            Err(format!("no profile `{profile}` exists"))
        })
    });
    let key_sha256 = check_hashes("key_sha256", &mut fields);
    fields.finish();
    Some(Customer {
        name: name?,
        weight: weight?,
        default_profile: default_profile?,
        key_sha256: key_sha256?,
    })
}

/// Checks one operator; an answer without new findings is complete.
///
/// ```
/// use sardinewood::findings::Findings;
/// use sardinewood::config::objects_check::check_operator;
///
/// let mut findings = Findings::default();
/// let value = serde_json::json!({"name": "selma", "role": "write", "token_sha256": []});
/// assert!(check_operator("selma", &value, &mut findings).is_some());
/// ```
#[must_use]
pub fn check_operator(name: &str, value: &Value, findings: &mut Findings) -> Option<Operator> {
    let mut fields = Fields::new(format!("operators/{name}"), value, findings)?;
    let name = fields.own_name(name);
    let role = fields.required("role");
    let token_sha256 = check_hashes("token_sha256", &mut fields);
    fields.finish();
    Some(Operator {
        name: name?,
        role: role?,
        token_sha256: token_sha256?,
    })
}

fn check_hashes(list: &str, fields: &mut Fields<'_>) -> Option<Vec<Arc<str>>> {
    let Some(Value::Array(values)) = fields.map.remove(list) else {
        fields.problem(list, "is missing or no list");
        return None;
    };
    let mut hashes: Vec<Arc<str>> = Vec::new();
    for (index, value) in values.iter().enumerate() {
        let field = format!("{list}[{index}]");
        match value.as_str().filter(|text| is_sha256_hex(text)) {
            None => fields.problem(&field, "is no SHA-256 of 64 lower-case hexadecimal digits"),
            Some(hash) if hashes.iter().any(|other| **other == *hash) => {
                fields.problem(&field, "stands twice");
            }
            Some(hash) => hashes.push(hash.into()),
        }
    }
    (hashes.len() == values.len()).then_some(hashes)
}

fn is_sha256_hex(text: &str) -> bool {
    let lower_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == SHA256_HEX_DIGITS && text.bytes().all(lower_hex)
}

/// Checks what concerns several objects: keys of two customers, addresses of two
/// agents, and default profiles that do not exist.
///
/// ```
/// use sardinewood::config::catalog::Catalog;
/// use sardinewood::findings::Findings;
/// use sardinewood::config::objects_check::check_catalog;
///
/// let mut findings = Findings::default();
/// check_catalog(&Catalog::default(), &mut findings);
/// assert!(findings.is_empty());
/// ```
pub fn check_catalog(catalog: &Catalog, findings: &mut Findings) {
    check_addresses(catalog, findings);
    check_keys(catalog, findings);
    for (name, customer) in &catalog.customers {
        let profile = &customer.default_profile;
        if !catalog.profiles.contains_key(profile) {
            findings.add(
                format!("customers/{name}: default_profile"),
                format!("no profile `{profile}` exists"),
            );
        }
    }
}

fn check_addresses(catalog: &Catalog, findings: &mut Findings) {
    let mut seen = IndexMap::new();
    for (name, upstream) in &catalog.upstreams {
        if let Some(other) = seen.insert(upstream.agent_address, name) {
            findings.add(
                format!("upstreams/{name}: agent_address"),
                format!("is also the address of upstream `{other}`"),
            );
        }
    }
}

fn check_keys(catalog: &Catalog, findings: &mut Findings) {
    let mut seen = IndexMap::new();
    for (name, customer) in &catalog.customers {
        for (index, hash) in customer.key_sha256.iter().enumerate() {
            if let Some(other) = seen.insert(hash, name) {
                findings.add(
                    format!("customers/{name}: key_sha256[{index}]"),
                    format!("is also a key of customer `{other}`"),
                );
            }
        }
    }
}
