//! Settings of `sardinewood-local`.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use sardinewood::findings::Findings;
use sardinewood::logging::LEVEL_WORDS;
use sardinewood::settings::Program;
use sardinewood::settings::Setting;

/// Settings of the local fleet.
///
/// ```
/// use sardinewood_local::local_settings::LocalSettings;
///
/// assert_eq!(LocalSettings::default().entries, 2);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalSettings {
    /// Whether it ends after the sample requests.
    pub once: bool,
    /// How many entries there are.
    pub entries: usize,
    /// Where callers reach the first entry; the others take free ports.
    pub listen: SocketAddr,
    /// How many sample requests are under way at one time.
    pub concurrent: usize,
    /// How long the shutdown waits for what is in flight.
    pub shutdown_grace_ms: u64,
    /// The least important level that is logged.
    pub log_level: Arc<str>,
}

impl Default for LocalSettings {
    fn default() -> Self {
        Self {
            once: false,
            entries: 2,
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            concurrent: 8,
            shutdown_grace_ms: 30_000,
            log_level: "error".into(),
        }
    }
}

/// The table of the local fleet's settings.
///
/// ```
/// assert_eq!(sardinewood_local::local_settings::program().name, "sardinewood-local");
/// ```
#[must_use]
pub fn program() -> Program<LocalSettings> {
    Program {
        name: "sardinewood-local",
        about: "runs the whole system with stand-ins on loopback, in one process",
        words: None,
        settings: vec![
            Setting::switch(
                "once",
                "Send the sample requests, print what became of them, and exit.",
                |s: &mut LocalSettings| &mut s.once,
            ),
            Setting::number(
                "entries",
                1..=8,
                "How many entries there are.",
                |s: &mut LocalSettings| &mut s.entries,
            ),
            Setting::address(
                "listen",
                "Where callers reach the first entry; port 0 takes a free one.",
                |s: &mut LocalSettings| &mut s.listen,
            ),
            Setting::number(
                "concurrent",
                1..=256,
                "How many sample requests are under way at one time.",
                |s: &mut LocalSettings| &mut s.concurrent,
            ),
            Setting::number(
                "shutdown-grace-ms",
                0..=3_600_000,
                "How long the shutdown waits for what is in flight.",
                |s: &mut LocalSettings| &mut s.shutdown_grace_ms,
            ),
            Setting::choice(
                "log-level",
                &LEVEL_WORDS,
                "The least important level that is logged.",
                |s: &mut LocalSettings| &mut s.log_level,
            ),
        ],
        check: |_: &LocalSettings, _: &mut Findings| {},
    }
}
