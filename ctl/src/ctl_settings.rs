//! Settings of `sardinewoodctl`.

use std::path::PathBuf;
use std::sync::Arc;

use sardinewood::findings::Findings;
use sardinewood::secrets::Secret;
use sardinewood::settings::Program;
use sardinewood::settings::Setting;
use sardinewood::settings::Words;
use sardinewood::store::position::StorePosition;

use crate::action::kind_of;
use crate::action::read_action;

/// Largest number of milliseconds that a setting takes: an hour.
const MAX_MS: u64 = 3_600_000;

const USAGE: &str = "\
Usage: sardinewoodctl WORDS [--SETTING VALUE]...

Commands, each of which changes one object:
  KIND set NAME FIELD=VALUE...   Change fields of an object, or create it.
  KIND set NAME --from-file F    Replace an object by a JSON file (`-`: standard input).
  KIND delete NAME               Remove an object.
  upstream add NAME FIELD=VALUE...  Create an upstream; a conflict if it exists.
  upstream drain NAME            Let it finish what runs and take no new work.
  upstream stop NAME             Take no new work; cancel what runs where that is safe.
  upstream resume NAME           Take new work again.

Queries:
  KIND list                      Objects of a kind.
  KIND show NAME                 One object and its last change.
  status                         Processes, upstreams and why one gets no work.
  explain REQUEST_ID             What was decided about a request, and why.
  explain REQUEST_ID LOG_FILE... The same from log files, also after its processes have ended.
  audit                          Changes, newest first.
  watch                          Changes as they come, until Ctrl-C.
  hash                           Hash of the key or token on standard input.

KIND is profile, upstream, customer or operator. FIELD may be nested: limits.concurrent=3.
A VALUE is JSON, or else text.
";

/// Settings of one run.
///
/// ```
/// use sardinewoodctl::ctl_settings::CtlSettings;
///
/// assert!(!CtlSettings::default().dry_run);
/// ```
#[derive(Clone, Debug)]
pub struct CtlSettings {
    /// The command or query.
    pub words: Vec<String>,
    /// The operators' port of an entry.
    pub entry_url: Arc<str>,
    /// Certificates in PEM that are trusted besides the system's own.
    pub ca_file: Option<PathBuf>,
    /// Who asks.
    pub operator_token: Secret,
    /// `table` or `json`.
    pub output: Arc<str>,
    /// Why a change is made.
    pub reason: Arc<str>,
    /// Whether a change is only checked.
    pub dry_run: bool,
    /// The version that a change replaces; 0 if the object must not exist.
    pub expect_version: Option<StorePosition>,
    /// The id of an earlier run whose outcome is to be settled.
    pub change_id: Arc<str>,
    /// The object, in place of fields.
    pub from_file: Option<PathBuf>,
    /// Whether to wait until the change is in force everywhere.
    pub wait: bool,
    /// How long to wait for that.
    pub wait_timeout_ms: u64,
    /// How long to try for an answer to one call.
    pub timeout_ms: u64,
    /// Only changes of objects of this kind.
    pub kind: Arc<str>,
    /// Only changes of objects of this name.
    pub name: Arc<str>,
    /// Only changes by this operator.
    pub who: Arc<str>,
    /// Only changes of the last minutes.
    pub since_min: Option<u64>,
    /// How many changes to print.
    pub limit: Option<u64>,
}

impl Default for CtlSettings {
    fn default() -> Self {
        Self {
            words: Vec::new(),
            entry_url: "http://127.0.0.1:8081".into(),
            ca_file: None,
            operator_token: Secret::default(),
            output: "table".into(),
            reason: "".into(),
            dry_run: false,
            expect_version: None,
            change_id: "".into(),
            from_file: None,
            wait: false,
            wait_timeout_ms: 30_000,
            timeout_ms: 10_000,
            kind: "".into(),
            name: "".into(),
            who: "".into(),
            since_min: None,
            limit: None,
        }
    }
}

/// The table of the program's settings.
///
/// ```
/// assert_eq!(sardinewoodctl::ctl_settings::program().name, "sardinewoodctl");
/// ```
#[must_use]
pub fn program() -> Program<CtlSettings> {
    let mut settings = common();
    settings.extend(of_commands());
    settings.extend(of_queries());
    Program {
        name: "sardinewoodctl",
        about: "commands and queries of operators against an entry",
        settings,
        words: Some(Words {
            usage: USAGE,
            field: |s| &mut s.words,
        }),
        check,
    }
}

fn common() -> Vec<Setting<CtlSettings>> {
    vec![
        Setting::url(
            "entry-url",
            "Operators' port of an entry.",
            |s: &mut CtlSettings| &mut s.entry_url,
        ),
        Setting::optional_path(
            "ca-file",
            "Certificates in PEM to trust besides the system's own.",
            |s: &mut CtlSettings| &mut s.ca_file,
        ),
        Setting::secret(
            "operator-token",
            "Token of the operator.",
            |s: &mut CtlSettings| &mut s.operator_token,
        ),
        Setting::choice(
            "output",
            &["table", "json"],
            "Form of what is printed.",
            |s: &mut CtlSettings| &mut s.output,
        ),
        Setting::number(
            "timeout-ms",
            1..=MAX_MS,
            "How long to try for an answer to one call.",
            |s: &mut CtlSettings| &mut s.timeout_ms,
        ),
    ]
}

fn of_commands() -> Vec<Setting<CtlSettings>> {
    vec![
        Setting::text(
            "reason",
            "Why the change is made, for the audit trail.",
            |s: &mut CtlSettings| &mut s.reason,
        ),
        Setting::switch(
            "dry-run",
            "Change nothing; say what the change would do.",
            |s: &mut CtlSettings| &mut s.dry_run,
        ),
        Setting::optional_position(
            "expect-version",
            "Version that the change replaces; 0 if the object must not exist.",
            |s: &mut CtlSettings| &mut s.expect_version,
        ),
        Setting::text(
            "change-id",
            "Id of an earlier change whose outcome is not known yet.",
            |s: &mut CtlSettings| &mut s.change_id,
        ),
        Setting::optional_path(
            "from-file",
            "JSON file with the whole object; - is standard input.",
            |s: &mut CtlSettings| &mut s.from_file,
        ),
        Setting::switch(
            "wait",
            "Wait until the change is in force everywhere.",
            |s: &mut CtlSettings| &mut s.wait,
        ),
        Setting::number(
            "wait-timeout-ms",
            1..=MAX_MS,
            "How long to wait for that.",
            |s: &mut CtlSettings| &mut s.wait_timeout_ms,
        ),
    ]
}

fn of_queries() -> Vec<Setting<CtlSettings>> {
    vec![
        Setting::text(
            "kind",
            "audit: only of this kind.",
            |s: &mut CtlSettings| &mut s.kind,
        ),
        Setting::text(
            "name",
            "audit: only of this name.",
            |s: &mut CtlSettings| &mut s.name,
        ),
        Setting::text(
            "who",
            "audit: only by this operator.",
            |s: &mut CtlSettings| &mut s.who,
        ),
        Setting::optional_number(
            "since-min",
            1..=u64::from(u32::MAX),
            "audit: only of the last minutes.",
            |s: &mut CtlSettings| &mut s.since_min,
        ),
        Setting::optional_number(
            "limit",
            1..=10_000,
            "audit, watch: how many changes to print.",
            |s: &mut CtlSettings| &mut s.limit,
        ),
    ]
}

fn check(settings: &CtlSettings, findings: &mut Findings) {
    if !settings.kind.is_empty() && kind_of(&settings.kind).is_none() {
        findings.add("--kind", "is none of profile, upstream, customer, operator");
    }
    // Its problems are collected with those of the flags, so that one report names all.
    let _ = read_action(settings, findings);
}
