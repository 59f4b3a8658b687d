//! One setting of a program: its flag and variable, how its text is read and shown.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::str::FromStr;
use std::sync::Arc;

use crate::secrets::REDACTED;
use crate::secrets::Secret;
use crate::store::position::PositionError;
use crate::store::position::StorePosition;
use crate::value_check::check_base_url;
use crate::value_check::check_name;

/// Prefix of every environment variable.
const ENV_PREFIX: &str = "SARDINEWOOD_";
/// Ending of the flag that names the file of a secret.
const FILE_SUFFIX: &str = "-file";

pub(crate) type SetFn<S> = Box<dyn Fn(&mut S, &str) -> Result<(), String>>;
pub(crate) type ShowFn<S> = Box<dyn Fn(&mut S) -> String>;

/// Where the text of a setting may come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// The flag, or else the variable.
    Plain,
    /// The variable, or else the file that the flag with [`FILE_SUFFIX`] names; never a
    /// flag, because other users of the host can read a process's command line.
    Secret,
}

/// One row of a program's table of settings.
pub struct Setting<S> {
    pub(crate) flag: &'static str,
    pub(crate) help: &'static str,
    pub(crate) required: bool,
    pub(crate) takes_value: bool,
    pub(crate) source: Source,
    pub(crate) set: SetFn<S>,
    pub(crate) show: ShowFn<S>,
}

impl<S: 'static> Setting<S> {
    fn new(flag: &'static str, help: &'static str, set: SetFn<S>, show: ShowFn<S>) -> Self {
        Self {
            flag,
            help,
            required: false,
            takes_value: true,
            source: Source::Plain,
            set,
            show,
        }
    }

    /// A number within a range; the flag carries its unit as suffix.
    ///
    /// ```
    /// use sardinewood::settings::setting::Setting;
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
            *field(settings) = parse_number(text, &range)?;
            Ok(())
        };
        let show = move |settings: &mut S| field(settings).to_string();
        Self::new(flag, help, Box::new(set), Box::new(show))
    }

    /// A name as [`check_name`] allows it.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use sardinewood::settings::setting::Setting;
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
    /// use sardinewood::settings::setting::Setting;
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
    /// use sardinewood::settings::setting::Setting;
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
    /// use sardinewood::settings::setting::Setting;
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
    /// use sardinewood::settings::setting::Setting;
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
    /// use sardinewood::settings::setting::Setting;
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

    /// Something that is on when the flag is given, or its variable is `true`.
    ///
    /// ```
    /// use sardinewood::settings::setting::Setting;
    ///
    /// let setting = Setting::switch("dry-run", "Change nothing.", |own: &mut bool| own);
    /// assert_eq!(setting.variable(), "SARDINEWOOD_DRY_RUN");
    /// ```
    pub fn switch(flag: &'static str, help: &'static str, field: fn(&mut S) -> &mut bool) -> Self {
        let set = move |settings: &mut S, text: &str| {
            let problem = |_| "is neither true nor false".to_owned();
            *field(settings) = text.parse().map_err(problem)?;
            Ok(())
        };
        let show = move |settings: &mut S| field(settings).to_string();
        let mut setting = Self::new(flag, help, Box::new(set), Box::new(show));
        setting.takes_value = false;
        setting
    }

    /// Text in the operator's own words.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use sardinewood::settings::setting::Setting;
    ///
    /// let setting = Setting::text("reason", "Why.", |own: &mut Arc<str>| own);
    /// assert_eq!(setting.variable(), "SARDINEWOOD_REASON");
    /// ```
    pub fn text(
        flag: &'static str,
        help: &'static str,
        field: fn(&mut S) -> &mut Arc<str>,
    ) -> Self {
        let set = move |settings: &mut S, text: &str| {
            *field(settings) = text.into();
            Ok(())
        };
        let show = move |settings: &mut S| show_text(field(settings));
        Self::new(flag, help, Box::new(set), Box::new(show))
    }

    /// A number within a range that may be left out.
    ///
    /// ```
    /// use sardinewood::settings::setting::Setting;
    ///
    /// let setting =
    ///     Setting::optional_number("limit", 1..=9, "Limit.", |own: &mut Option<u64>| own);
    /// assert_eq!(setting.variable(), "SARDINEWOOD_LIMIT");
    /// ```
    pub fn optional_number(
        flag: &'static str,
        range: RangeInclusive<u64>,
        help: &'static str,
        field: fn(&mut S) -> &mut Option<u64>,
    ) -> Self {
        let set = move |settings: &mut S, text: &str| {
            *field(settings) = Some(parse_number(text, &range)?);
            Ok(())
        };
        let show = move |settings: &mut S| show_optional(field(settings).as_ref());
        Self::new(flag, help, Box::new(set), Box::new(show))
    }

    /// A position of a store that may be left out.
    ///
    /// ```
    /// use sardinewood::settings::setting::Setting;
    /// use sardinewood::store::position::StorePosition;
    ///
    /// let setting = Setting::optional_position(
    ///     "expect-version",
    ///     "Version.",
    ///     |own: &mut Option<StorePosition>| own,
    /// );
    /// assert_eq!(setting.variable(), "SARDINEWOOD_EXPECT_VERSION");
    /// ```
    pub fn optional_position(
        flag: &'static str,
        help: &'static str,
        field: fn(&mut S) -> &mut Option<StorePosition>,
    ) -> Self {
        let set = move |settings: &mut S, text: &str| {
            let position = text
                .parse()
                .map_err(|error: PositionError| error.to_string())?;
            *field(settings) = Some(position);
            Ok(())
        };
        let show = move |settings: &mut S| show_optional(field(settings).as_ref());
        Self::new(flag, help, Box::new(set), Box::new(show))
    }

    /// A secret: from the variable, or from the file that `--FLAG-file` names.
    ///
    /// ```
    /// use sardinewood::secrets::Secret;
    /// use sardinewood::settings::setting::Setting;
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
    /// use sardinewood::settings::setting::Setting;
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
    /// use sardinewood::settings::setting::Setting;
    ///
    /// let setting = Setting::number("slots", 1..=9, "Slots.", |own: &mut u64| own);
    /// assert_eq!(setting.variable(), "SARDINEWOOD_SLOTS");
    /// ```
    #[must_use]
    pub fn variable(&self) -> String {
        variable_of(self.flag)
    }

    /// The flag on the command line, without dashes.
    pub(crate) fn command_flag(&self) -> String {
        match self.source {
            Source::Plain => self.flag.to_owned(),
            Source::Secret => format!("{}{FILE_SUFFIX}", self.flag),
        }
    }
}

pub(crate) fn variable_of(flag: &str) -> String {
    let upper = flag.replace('-', "_").to_ascii_uppercase();
    format!("{ENV_PREFIX}{upper}")
}

fn show_optional(value: Option<impl Display>) -> String {
    value.map_or_else(|| "(none)".to_owned(), |value| value.to_string())
}

fn show_text(text: &str) -> String {
    let given = !text.is_empty();
    show_optional(given.then_some(text))
}

fn parse_number<T>(text: &str, range: &RangeInclusive<T>) -> Result<T, String>
where
    T: FromStr + Display + PartialOrd,
{
    let number = text.parse::<T>().ok();
    number
        .filter(|number| range.contains(number))
        .ok_or_else(|| format!("is not a number from {} to {}", range.start(), range.end()))
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| "is not an IP address with a port, such as 127.0.0.1:8080".to_owned())
}
