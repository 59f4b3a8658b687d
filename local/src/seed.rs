//! The configuration of the local fleet: profiles and customers of both users, and what each
//! stand-in is like.

use std::sync::Arc;

use sardinewood::config::objects::Customer;
use sardinewood::config::objects::Operator;
use sardinewood::config::objects::OperatorRole;
use sardinewood::config::objects::Profile;
use sardinewood::config::objects::ProfileLimits;
use sardinewood::config::objects::Tier;
use sardinewood::secrets::sha256_hex;
use testutils::engine_settings::EngineSettings;

/// The model of the keg office's engines.
pub const LANGUAGE_MODEL: &str = "language";

/// The model of the counsel practice's engines.
pub const DRAFT_MODEL: &str = "draft";

/// The plain service that credits refunds.
pub const REFUND_SERVICE: &str = "refunds";

/// Where the keg office's upstreams stand.
const KEG_DATA_CENTRES: [&str; 2] = ["windhoek", "walvis-bay"];

/// Where the counsel practice's upstreams stand.
const COUNSEL_DATA_CENTRES: [&str; 2] = ["toledo", "duluth"];

/// Calls of the plain service at one time.
pub const SERVICE_SLOTS: u32 = 8;

/// A stand-in engine of the fleet.
#[derive(Clone, Debug)]
pub struct EngineSeed {
    /// The upstream's name.
    pub name: &'static str,
    /// Where it stands.
    pub data_centre: &'static str,
    /// What it can do.
    pub settings: EngineSettings,
}

/// The engines: for each user one of the newer generation and one of the older.
///
/// ```
/// let engines = sardinewood_local::seed::engines();
/// assert!(engines[0].settings.step_us < engines[1].settings.step_us);
/// ```
#[must_use]
pub fn engines() -> Vec<EngineSeed> {
    let language = KEG_DATA_CENTRES;
    let draft = COUNSEL_DATA_CENTRES;
    vec![
        engine("language-1", language[0], LANGUAGE_MODEL, newer(4_000)),
        engine("language-2", language[1], LANGUAGE_MODEL, older(9_000)),
        engine("draft-1", draft[0], DRAFT_MODEL, newer(6_000)),
        engine("draft-2", draft[1], DRAFT_MODEL, older(13_000)),
    ]
}

/// Where the plain service stands.
#[must_use]
pub fn service_data_centre() -> &'static str {
    KEG_DATA_CENTRES[0]
}

fn engine(
    name: &'static str,
    data_centre: &'static str,
    model: &str,
    mut settings: EngineSettings,
) -> EngineSeed {
    settings.models = vec![model.into()];
    EngineSeed {
        name,
        data_centre,
        settings,
    }
}

fn newer(step_us: u64) -> EngineSettings {
    EngineSettings {
        step_us,
        batch_slots: 8,
        kv_capacity_tokens: 65_536,
        prefill_tokens_per_s: 20_000,
        ..EngineSettings::default()
    }
}

fn older(step_us: u64) -> EngineSettings {
    EngineSettings {
        step_us,
        batch_slots: 4,
        kv_capacity_tokens: 16_384,
        prefill_tokens_per_s: 6_000,
        ..EngineSettings::default()
    }
}

/// A sender of requests, with the key that its services use here.
///
/// ```
/// let customer = sardinewood_local::seed::RUNDU.object();
/// assert_eq!(&*customer.name, "rundu-depot");
/// ```
#[derive(Clone, Debug)]
pub struct CustomerSeed {
    /// The customer's name.
    pub name: &'static str,
    /// The share within a tier.
    pub weight: u32,
    /// The profile of a request that names none.
    pub default_profile: &'static str,
    /// A key that is good for this fleet alone.
    pub key: &'static str,
}

impl CustomerSeed {
    /// The customer as the store holds it.
    #[must_use]
    pub fn object(&self) -> Customer {
        Customer {
            name: self.name.into(),
            weight: self.weight,
            default_profile: self.default_profile.into(),
            key_sha256: vec![Arc::from(sha256_hex(self.key))],
        }
    }
}

/// The depot of the keg office.
pub const RUNDU: CustomerSeed = CustomerSeed {
    name: "rundu-depot",
    weight: 3,
    default_profile: "lookup",
    key: "local-rundu",
};

/// The drivers of the keg office.
pub const KEETMANSHOOP: CustomerSeed = CustomerSeed {
    name: "keetmanshoop-drivers",
    weight: 1,
    default_profile: "driver-check-in",
    key: "local-keetmanshoop",
};

/// A counsellor of the counsel practice.
pub const COUNSELLOR: CustomerSeed = CustomerSeed {
    name: "kowalczyk-toledo",
    weight: 2,
    default_profile: "budget-review",
    key: "local-counsellor",
};

/// All senders.
pub const CUSTOMERS: [CustomerSeed; 3] = [RUNDU, KEETMANSHOOP, COUNSELLOR];

/// The token of the operator; good for this fleet alone.
pub const OPERATOR_TOKEN: &str = "local-operator";

/// Somebody who may change the configuration.
#[must_use]
pub fn operator() -> Operator {
    Operator {
        name: "operator".into(),
        role: OperatorRole::Write,
        token_sha256: vec![Arc::from(sha256_hex(OPERATOR_TOKEN))],
    }
}

/// The classes of work of both users.
///
/// ```
/// let profiles = sardinewood_local::seed::profiles();
/// let letter = profiles.iter().find(|profile| &*profile.name == "creditor-letter").unwrap();
/// assert!(letter.non_idempotent);
/// ```
#[must_use]
pub fn profiles() -> Vec<Profile> {
    let keg = Some(LANGUAGE_MODEL);
    let counsel = Some(DRAFT_MODEL);
    vec![
        profile("dispute-summary", 0, 15_000, keg),
        at_most_once(profile("refund-credit", 0, 15_000, None)),
        profile("reconciliation", 1, 60_000, keg),
        profile("lookup", 2, 15_000, keg),
        profile("driver-check-in", 3, 30_000, keg),
        profile("waiting-household-draft", 0, 20_000, counsel),
        profile("budget-review", 1, 60_000, counsel),
        at_most_once(profile("creditor-letter", 2, 60_000, counsel)),
        profile("appointment-summary", 3, 60_000, counsel),
    ]
}

fn profile(name: &str, tier: u8, deadline_ms: u64, model: Option<&str>) -> Profile {
    Profile {
        name: name.into(),
        tier: Tier(tier),
        deadline_ms,
        model: model.map(Arc::from),
        non_idempotent: false,
        limits: ProfileLimits::default(),
    }
}

fn at_most_once(profile: Profile) -> Profile {
    Profile {
        non_idempotent: true,
        ..profile
    }
}
