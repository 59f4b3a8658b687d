//! Settings of a program, from flags and environment variables of the same names.
//!
//! A program lists its settings in a table; reading the table gives either the filled
//! struct or one report of everything that is wrong, each with its place.

pub mod setting;

use std::ffi::OsString;
use std::fmt::Write;
use std::process::ExitCode;

use lexopt::Arg;
use lexopt::Parser;

use crate::findings::Findings;
pub use crate::settings::setting::Setting;
use crate::settings::setting::Source;
use crate::settings::setting::variable_of;
pub use crate::value_check::check_base_url;
pub use crate::value_check::check_name;
pub use crate::value_check::check_silence;

/// A program and its table of settings.
pub struct Program<S> {
    /// The program's name, as it is started.
    pub name: &'static str,
    /// What it is, in one sentence.
    pub about: &'static str,
    /// Its settings, in the order of the help.
    pub settings: Vec<Setting<S>>,
    /// The words it takes besides flags, such as a command; absent if it takes none.
    pub words: Option<Words<S>>,
    /// Checks that concern several settings together.
    pub check: fn(&S, &mut Findings),
}

/// The words that a program takes besides flags.
pub struct Words<S> {
    /// The lines of the help that describe them.
    pub usage: &'static str,
    /// Where they are put.
    pub field: fn(&mut S) -> &mut Vec<String>,
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

impl<S> Start<S> {
    /// Runs the program with its settings, or prints what was asked for or is wrong.
    ///
    /// # Errors
    ///
    /// What `run` fails with.
    ///
    /// ```
    /// use std::process::ExitCode;
    /// use sardinewood::settings::Start;
    ///
    /// let start = Start::Run(3);
    /// let mut seen = 0;
    /// let ended = start.carry_out(|settings| -> Result<ExitCode, String> {
    ///     seen = settings;
    ///     Ok(ExitCode::SUCCESS)
    /// });
    /// assert!(ended.is_ok());
    /// assert_eq!(seen, 3);
    /// ```
    pub fn carry_out<E>(self, run: impl FnOnce(S) -> Result<ExitCode, E>) -> Result<ExitCode, E> {
        match self {
            Self::Run(settings) => run(settings),
            Self::Print(text) => {
                print!("{text}");
                Ok(ExitCode::SUCCESS)
            }
            Self::Refuse(report) => {
                eprint!("{report}");
                Ok(ExitCode::from(EXIT_USAGE))
            }
        }
    }
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
    /// What is neither a flag nor the value of one.
    words: Vec<String>,
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
    ///     words: None,
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
        if let Some(words) = &self.words {
            (words.field)(&mut settings).clone_from(&line.words);
        }
        for setting in &self.settings {
            let text = text_of(setting, &line, &sources.env, &sources.read_file);
            apply(setting, text, &mut settings, &mut findings);
        }
        if findings.is_empty() {
            (self.check)(&settings, &mut findings);
        }
        self.conclude(&line, settings, &findings)
    }

    fn take_word(&self, word: String, line: &mut CommandLine, findings: &mut Findings) {
        if self.words.is_some() {
            line.words.push(word);
        } else {
            findings.add(word, "is not a flag");
        }
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
        match &self.words {
            Some(words) => text.push_str(words.usage),
            None => {
                let _ = writeln!(text, "Usage: {} [--SETTING VALUE]...", self.name);
            }
        }
        text.push('\n');
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
                    let word = text.to_string_lossy().into_owned();
                    self.take_word(word, &mut line, findings);
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
        let mut settings = self.settings.iter();
        let Some(setting) = settings.find(|setting| setting.command_flag() == flag) else {
            findings.add(place, "is no setting");
            skip_value(parser);
            return;
        };
        if !setting.takes_value {
            line.values.push((flag, true.to_string()));
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
