//! Settings of a program, from flags and environment variables of the same names.
//!
//! A program lists its settings in a table; reading the table gives either the filled
//! struct or one report of everything that is wrong, each with its place.

use std::ffi::OsString;
use std::fmt::Display;
use std::fmt::Write;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::str::FromStr;
use std::sync::Arc;

use lexopt::Arg;
use lexopt::Parser;

use crate::findings::Findings;
use crate::secrets::REDACTED;
use crate::secrets::Secret;

/// Prefix of every environment variable.
const ENV_PREFIX: &str = "SARDINEWOOD_";
/// Ending of the flag that names the file of a secret.
const FILE_SUFFIX: &str = "-file";
/// Longest name of a host, data centre, upstream, profile or customer.
pub const NAME_MAX_BYTES: usize = 63;

type SetFn<S> = Box<dyn Fn(&mut S, &str) -> Result<(), String>>;
type ShowFn<S> = Box<dyn Fn(&mut S) -> String>;

/// Where the text of a setting may come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// The flag, or else the variable.
    Plain,
    /// The variable, or else the file that the flag with [`FILE_SUFFIX`] names; never a
    /// flag, because other users of the host can read a process's command line.
    Secret,
}

/// One row of a program's table of settings.
pub struct Setting<S> {
    flag: &'static str,
    help: &'static str,
    required: bool,
    source: Source,
    set: SetFn<S>,
    show: ShowFn<S>,
}

impl<S: 'static> Setting<S> {
    fn new(flag: &'static str, help: &'static str, set: SetFn<S>, show: ShowFn<S>) -> Self {
        Self {
            flag,
            help,
            required: false,
            source: Source::Plain,
            set,
            show,
        }
    }

    /// A number within a range; the flag carries its unit as suffix.
    ///
    /// ```
    /// use sardinewood::settings::Setting;
    ///
    /// let setting = Setting::number("heartbeat-ms", 10..=60_000, "Pause.", |own: &mut u64| own);
    /// assert_eq!(setting.variable(), "SARDINEWOOD_HEARTBEAT_MS");
    /// ```
    pub fn number<T>(
        flag: &'static str,
        range: RangeInclusive<T>,
        help: &'static str,
        field: fn(&mut S) -> &mut T,
    ) -> Self
    where
        T: FromStr + Display + PartialOrd + 'static,
    {
        let set = move |settings: &mut S, text: &str| {
            let (low, high) = (range.start(), range.end());
            let problem = || format!("is not a number from {low} to {high}");
            let value = text.parse::<T>().map_err(|_| problem())?;
            if !range.contains(&value) {
                return Err(problem());
            }
            *field(settings) = value;
            Ok(())
        };
        let show = move |settings: &mut S| field(settings).to_string();
        Self::new(flag, help, Box::new(set), Box::new(show))
    }

    /// A name as [`check_name`] allows it.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use sardinewood::settings::Setting;
    ///
    /// let setting = Setting::name("host", "Name of this host.", |own: &mut Arc<str>| own);
    /// assert_eq!(setting.variable(), "SARDINEWOOD_HOST");
    /// ```
    pub fn name(
        flag: &'static str,
        help: &'static str,
        field: fn(&mut S) -> &mut Arc<str>,
    ) -> Self {
        let set = move |settings: &mut S, text: &str| {
            check_name(text)?;
            *field(settings) = text.into();
            Ok(())
        };
        let show = move |settings: &mut S| field(settings).to_string();
        Self::new(flag, help, Box::new(set), Box::new(show))
    }

    /// The base URL of an outside system.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use sardinewood::settings::Setting;
    ///
    /// let setting = Setting::url("store-url", "The store.", |own: &mut Arc<str>| own);
    /// assert_eq!(setting.variable(), "SARDINEWOOD_STORE_URL");
    /// ```
    pub fn url(flag: &'static str, help: &'static str, field: fn(&mut S) -> &mut Arc<str>) -> Self {
        let set = move |settings: &mut S, text: &str| {
            check_base_url(text)?;
            *field(settings) = text.trim_end_matches('/').into();
            Ok(())
        };
        let show = move |settings: &mut S| field(settings).to_string();
        Self::new(flag, help, Box::new(set), Box::new(show))
    }

    /// An IP address with a port.
    ///
    /// ```
    /// use std::net::SocketAddr;
    /// use sardinewood::settings::Setting;
    ///
    /// let setting = Setting::address("listen", "Callers' port.", |own: &mut SocketAddr| own);
    /// assert_eq!(setting.variable(), "SARDINEWOOD_LISTEN");
    /// ```
    pub fn address(
        flag: &'static str,
        help: &'static str,
        field: fn(&mut S) -> &mut SocketAddr,
    ) -> Self {
        let set = move |settings: &mut S, text: &str| {
            *field(settings) = parse_address(text)?;
            Ok(())
        };
        let show = move |settings: &mut S| field(settings).to_string();
        Self::new(flag, help, Box::new(set), Box::new(show))
    }

    /// An IP address with a port that may be left out.
    ///
    /// ```
    /// use std::net::SocketAddr;
    /// use sardinewood::settings::Setting;
    ///
    /// let setting =
    ///     Setting::optional_address("metrics", "Metrics.", |own: &mut Option<SocketAddr>| own);
    /// assert_eq!(setting.variable(), "SARDINEWOOD_METRICS");
    /// ```
    pub fn optional_address(
        flag: &'static str,
        help: &'static str,
        field: fn(&mut S) -> &mut Option<SocketAddr>,
    ) -> Self {
        let set = move |settings: &mut S, text: &str| {
            *field(settings) = Some(parse_address(text)?);
            Ok(())
        };
        let show = move |settings: &mut S| show_optional(field(settings).as_ref());
        Self::new(flag, help, Box::new(set), Box::new(show))
    }

    /// A file that may be left out.
    ///
    /// ```
    /// use std::path::PathBuf;
    /// use sardinewood::settings::Setting;
    ///
    /// let setting =
    ///     Setting::optional_path("tls-key-file", "Key.", |own: &mut Option<PathBuf>| own);
    /// assert_eq!(setting.variable(), "SARDINEWOOD_TLS_KEY_FILE");
    /// ```
    pub fn optional_path(
        flag: &'static str,
        help: &'static str,
        field: fn(&mut S) -> &mut Option<PathBuf>,
    ) -> Self {
        let set = move |settings: &mut S, text: &str| {
            *field(settings) = Some(text.into());
            Ok(())
        };
        let show = move |settings: &mut S| {
            let path = field(settings).as_ref();
            show_optional(path.map(|path| path.display()))
        };
        Self::new(flag, help, Box::new(set), Box::new(show))
    }

    /// One of a few words.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use sardinewood::settings::Setting;
    ///
    /// let words = &["table", "json"];
    /// let setting = Setting::choice("output", words, "Form.", |own: &mut Arc<str>| own);
    /// assert_eq!(setting.variable(), "SARDINEWOOD_OUTPUT");
    /// ```
    pub fn choice(
        flag: &'static str,
        words: &'static [&'static str],
        help: &'static str,
        field: fn(&mut S) -> &mut Arc<str>,
    ) -> Self {
        let set = move |settings: &mut S, text: &str| {
            if !words.contains(&text) {
                return Err(format!("is none of {}", words.join(", ")));
            }
            *field(settings) = text.into();
            Ok(())
        };
        let show = move |settings: &mut S| field(settings).to_string();
        Self::new(flag, help, Box::new(set), Box::new(show))
    }

    /// A secret: from the variable, or from the file that `--FLAG-file` names.
    ///
    /// ```
    /// use sardinewood::secrets::Secret;
    /// use sardinewood::settings::Setting;
    ///
    /// let setting = Setting::secret("peer-key", "Key.", |own: &mut Secret| own);
    /// assert_eq!(setting.variable(), "SARDINEWOOD_PEER_KEY");
    /// ```
    pub fn secret(
        flag: &'static str,
        help: &'static str,
        field: fn(&mut S) -> &mut Secret,
    ) -> Self {
        let set = move |settings: &mut S, text: &str| {
            let text = text.trim();
            if text.is_empty() {
                return Err("is empty".to_owned());
            }
            *field(settings) = Secret::new(text);
            Ok(())
        };
        let show = move |settings: &mut S| {
            let given = !field(settings).is_empty();
            show_optional(given.then_some(REDACTED))
        };
        let mut setting = Self::new(flag, help, Box::new(set), Box::new(show));
        setting.source = Source::Secret;
        setting
    }

    /// The same setting, but one that must be given.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use sardinewood::settings::Setting;
    ///
    /// let _ = Setting::name("host", "Name of this host.", |own: &mut Arc<str>| own).required();
    /// ```
    #[must_use]
    pub fn required(mut self) -> Self {
        self.required = true;
        self
    }

    /// The environment variable of this setting.
    ///
    /// ```
    /// use sardinewood::settings::Setting;
    ///
    /// let setting = Setting::number("slots", 1..=9, "Slots.", |own: &mut u64| own);
    /// assert_eq!(setting.variable(), "SARDINEWOOD_SLOTS");
    /// ```
    #[must_use]
    pub fn variable(&self) -> String {
        variable_of(self.flag)
    }

    /// The flag on the command line, without dashes.
    fn command_flag(&self) -> String {
        match self.source {
            Source::Plain => self.flag.to_owned(),
            Source::Secret => format!("{}{FILE_SUFFIX}", self.flag),
        }
    }
}

fn variable_of(flag: &str) -> String {
    let upper = flag.replace('-', "_").to_ascii_uppercase();
    format!("{ENV_PREFIX}{upper}")
}

fn show_optional(value: Option<impl Display>) -> String {
    value.map_or_else(|| "(none)".to_owned(), |value| value.to_string())
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| "is not an IP address with a port, such as 127.0.0.1:8080".to_owned())
}

/// Checks the name of a host, data centre, upstream, profile, service or customer: it is
/// part of paths and log lines, so it holds no separators and nothing to escape.
///
/// ```
/// use sardinewood::settings::check_name;
///
/// assert_eq!(check_name("wdh-1"), Ok(()));
/// assert!(check_name("a/b").is_err());
/// ```
///
/// # Errors
///
/// Says what a name may hold.
pub fn check_name(text: &str) -> Result<(), String> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let starts_well = text.starts_with(|first: char| first.is_ascii_alphanumeric());
    if starts_well && text.len() <= NAME_MAX_BYTES && text.bytes().all(allowed) {
        return Ok(());
    }
    Err(format!(
        "is not a name: 1 to {NAME_MAX_BYTES} letters, digits, `-`, `_` and `.`, \
         beginning with a letter or digit"
    ))
}

/// Checks the base URL of an outside system.
///
/// ```
/// use sardinewood::settings::check_base_url;
///
/// assert_eq!(check_base_url("http://127.0.0.1:9000"), Ok(()));
/// assert!(check_base_url("127.0.0.1:9000").is_err());
/// ```
///
/// # Errors
///
/// Says what a base URL looks like.
pub fn check_base_url(text: &str) -> Result<(), String> {
    let problem = || "is not a base URL, such as http://127.0.0.1:7070".to_owned();
    let url = reqwest::Url::parse(text).map_err(|_| problem())?;
    let known_scheme = matches!(url.scheme(), "http" | "https");
    if known_scheme && url.has_host() && url.query().is_none() && url.fragment().is_none() {
        return Ok(());
    }
    Err(problem())
}

/// A program and its table of settings.
pub struct Program<S> {
    /// The program's name, as it is started.
    pub name: &'static str,
    /// What it is, in one sentence.
    pub about: &'static str,
    /// Its settings, in the order of the help.
    pub settings: Vec<Setting<S>>,
    /// Checks that concern several settings together.
    pub check: fn(&S, &mut Findings),
}

/// What a program has to do after its command line was read.
#[derive(Debug, PartialEq, Eq)]
pub enum Start<S> {
    /// Run with these settings.
    Run(S),
    /// Print this text to standard output and exit with 0.
    Print(String),
    /// Print this report to standard error and exit with [`EXIT_USAGE`].
    Refuse(String),
}

/// Exit code for wrong settings.
pub const EXIT_USAGE: u8 = 2;

/// What the settings are read from; passed in, so that reading them is the same in tests.
pub struct Sources<'a> {
    /// The command line without the program's name.
    pub args: Vec<OsString>,
    /// Looks up an environment variable.
    pub env: &'a dyn Fn(&str) -> Option<OsString>,
    /// Reads a file that holds a secret.
    pub read_file: &'a dyn Fn(&str) -> std::io::Result<String>,
}

impl Sources<'_> {
    /// The process's own command line, environment and files.
    ///
    /// ```
    /// let sources = sardinewood::settings::Sources::of_process();
    /// assert!((sources.env)("SARDINEWOOD_NOT_SET").is_none());
    /// ```
    #[must_use]
    pub fn of_process() -> Self {
        Self {
            args: std::env::args_os().skip(1).collect(),
            env: &|name| std::env::var_os(name),
            read_file: &|path| std::fs::read_to_string(path),
        }
    }
}

/// What stood on the command line.
#[derive(Default)]
struct CommandLine {
    help: bool,
    version: bool,
    check: bool,
    /// Flag without dashes and its text, in order.
    values: Vec<(String, String)>,
}

impl<S: Default + 'static> Program<S> {
    /// Reads the settings; flags win over variables.
    ///
    /// ```
    /// use sardinewood::findings::Findings;
    /// use sardinewood::settings::{Program, Setting, Sources, Start};
    ///
    /// let program = Program {
    ///     name: "example",
    ///     about: "An example.",
    ///     settings: vec![Setting::number("slots", 1..=9, "Slots.", |own: &mut u64| own)],
    ///     check: |_: &u64, _: &mut Findings| {},
    /// };
    /// let sources = Sources {
    ///     args: vec!["--slots".into(), "3".into()],
    ///     env: &|_| Some("4".into()),
    ///     read_file: &|_| Ok(String::new()),
    /// };
    /// assert_eq!(program.read(sources), Start::Run(3));
    /// ```
    #[must_use]
    pub fn read(&self, sources: Sources<'_>) -> Start<S> {
        let mut findings = Findings::default();
        let line = self.parse_args(sources.args, &mut findings);
        if line.help {
            return Start::Print(self.help());
        }
        if line.version {
            let version = env!("CARGO_PKG_VERSION");
            return Start::Print(format!("{} {version}\n", self.name));
        }
        let mut settings = S::default();
        for setting in &self.settings {
            let text = text_of(setting, &line, &sources.env, &sources.read_file);
            apply(setting, text, &mut settings, &mut findings);
        }
        if findings.is_empty() {
            (self.check)(&settings, &mut findings);
        }
        self.conclude(&line, settings, &findings)
    }

    fn conclude(&self, line: &CommandLine, mut settings: S, findings: &Findings) -> Start<S> {
        match (line.check, findings.is_empty()) {
            (false, true) => Start::Run(settings),
            (true, true) => Start::Print(self.in_force(&mut settings)),
            (false, false) => Start::Refuse(self.report(findings)),
            (true, false) => {
                let in_force = self.in_force(&mut settings);
                Start::Refuse(format!("{in_force}\n{}", self.report(findings)))
            }
        }
    }

    fn report(&self, findings: &Findings) -> String {
        format!("{}: these settings are wrong:\n{findings}", self.name)
    }

    fn in_force(&self, settings: &mut S) -> String {
        let mut text = String::new();
        for setting in &self.settings {
            let shown = (setting.show)(settings);
            let _ = writeln!(text, "{} = {shown}", setting.flag);
        }
        text
    }

    fn help(&self) -> String {
        let mut text = format!("{}: {}\n\n", self.name, self.about);
        let _ = writeln!(text, "Usage: {} [--SETTING VALUE]...\n", self.name);
        let mut defaults = S::default();
        for setting in &self.settings {
            let (flag, variable) = (setting.command_flag(), setting.variable());
            let default = match (setting.required, setting.source) {
                (true, _) => "must be given".to_owned(),
                (false, Source::Secret) => "a secret: from the variable or the file".to_owned(),
                (false, Source::Plain) => format!("default {}", (setting.show)(&mut defaults)),
            };
            let _ = writeln!(
                text,
                "  --{flag}, {variable}\n      {} [{default}]",
                setting.help
            );
        }
        text.push_str(
            "\n  --check    Print the settings in force and everything wrong with them, and exit.\
             \n  --version  Print the version and exit.\
             \n  --help     Print this text and exit.\n",
        );
        text
    }

    fn parse_args(&self, args: Vec<OsString>, findings: &mut Findings) -> CommandLine {
        let mut parser = Parser::from_args(args);
        let mut line = CommandLine::default();
        loop {
            match parser.next() {
                Ok(None) => return line,
                Ok(Some(Arg::Long("help") | Arg::Short('h'))) => line.help = true,
                Ok(Some(Arg::Long("version") | Arg::Short('V'))) => line.version = true,
                Ok(Some(Arg::Long("check"))) => line.check = true,
                Ok(Some(Arg::Long(flag))) => {
                    let flag = flag.to_owned();
                    self.take_value(flag, &mut parser, &mut line, findings);
                }
                Ok(Some(Arg::Short(flag))) => findings.add(format!("-{flag}"), "is no setting"),
                Ok(Some(Arg::Value(text))) => {
                    findings.add(text.to_string_lossy(), "is not a flag");
                }
                Err(error) => findings.add("command line", error.to_string()),
            }
        }
    }

    fn take_value(
        &self,
        flag: String,
        parser: &mut Parser,
        line: &mut CommandLine,
        findings: &mut Findings,
    ) {
        let place = format!("--{flag}");
        let known = self
            .settings
            .iter()
            .any(|setting| setting.command_flag() == flag);
        if !known {
            findings.add(place, "is no setting");
            skip_value(parser);
            return;
        }
        match parser.value().map(OsString::into_string) {
            Ok(Ok(text)) => line.values.push((flag, text)),
            Ok(Err(_)) => findings.add(place, "is not UTF-8"),
            Err(_) => findings.add(place, "needs a value"),
        }
    }
}

/// Passes over the value of an unknown flag, which would be a second finding for one fault.
fn skip_value(parser: &mut Parser) {
    if parser.optional_value().is_some() {
        return;
    }
    if let Ok(mut rest) = parser.raw_args() {
        rest.next_if(|text| !text.to_string_lossy().starts_with('-'));
    }
}

/// The text of a setting and its place, or the place and problem why there is none.
enum Text {
    Given { place: String, text: String },
    Absent,
    Wrong { place: String, problem: String },
}

fn text_of<S: 'static>(
    setting: &Setting<S>,
    line: &CommandLine,
    env: &dyn Fn(&str) -> Option<OsString>,
    read_file: &dyn Fn(&str) -> std::io::Result<String>,
) -> Text {
    let flag = setting.command_flag();
    let given = line.values.iter().rev().find(|(name, _)| *name == flag);
    match (setting.source, given) {
        (Source::Plain, Some((flag, text))) => Text::Given {
            place: format!("--{flag}"),
            text: text.clone(),
        },
        (Source::Plain, None) => text_of_variable(&setting.variable(), env),
        (Source::Secret, Some((flag, path))) => text_of_file(format!("--{flag}"), path, read_file),
        (Source::Secret, None) => secret_of_variables(setting, env, read_file),
    }
}

fn text_of_variable(variable: &str, env: &dyn Fn(&str) -> Option<OsString>) -> Text {
    let place = variable.to_owned();
    match env(variable).map(OsString::into_string) {
        None => Text::Absent,
        Some(Ok(text)) => Text::Given { place, text },
        Some(Err(_)) => Text::Wrong {
            place,
            problem: "is not UTF-8".to_owned(),
        },
    }
}

fn secret_of_variables<S: 'static>(
    setting: &Setting<S>,
    env: &dyn Fn(&str) -> Option<OsString>,
    read_file: &dyn Fn(&str) -> std::io::Result<String>,
) -> Text {
    let direct = text_of_variable(&setting.variable(), env);
    if !matches!(direct, Text::Absent) {
        return direct;
    }
    match text_of_variable(&variable_of(&setting.command_flag()), env) {
        Text::Given { place, text } => text_of_file(place, &text, read_file),
        other => other,
    }
}

fn text_of_file(
    place: String,
    path: &str,
    read_file: &dyn Fn(&str) -> std::io::Result<String>,
) -> Text {
    match read_file(path) {
        Ok(text) => Text::Given { place, text },
        Err(error) => Text::Wrong {
            place,
            problem: format!("cannot read {path}: {error}"),
        },
    }
}

fn apply<S: 'static>(setting: &Setting<S>, text: Text, settings: &mut S, findings: &mut Findings) {
    match text {
        Text::Given { place, text } => {
            if let Err(problem) = (setting.set)(settings, &text) {
                findings.add(place, problem);
            }
        }
        Text::Wrong { place, problem } => findings.add(place, problem),
        Text::Absent if setting.required => {
            let variable = setting.variable();
            findings.add(
                format!("--{}", setting.command_flag()),
                format!("is missing, and so is {variable}"),
            );
        }
        Text::Absent => {}
    }
}

/// Checks that a link is not taken for silent after a single late heartbeat.
///
/// ```
/// use sardinewood::findings::Findings;
/// use sardinewood::settings::check_silence;
///
/// let mut findings = Findings::default();
/// check_silence(500, 600, &mut findings);
/// assert!(!findings.is_empty());
/// ```
pub fn check_silence(heartbeat_ms: u64, silent_ms: u64, findings: &mut Findings) {
    let least_ms = heartbeat_ms.saturating_mul(2);
    if silent_ms < least_ms {
        findings.add(
            "--silent-ms",
            format!("is less than twice --heartbeat-ms ({least_ms})"),
        );
    }
}
