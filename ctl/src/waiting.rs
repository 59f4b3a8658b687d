//! Waits until a change is in force everywhere, and says how far it has got.

use std::time::Duration;

use sardinewood::config::object::Kind;
use sardinewood::operator::messages::InForce;
use sardinewood::store::position::StorePosition;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::operator_client::OperatorClient;
use crate::output::Output;

/// Pause between two questions.
const PAUSE: Duration = Duration::from_millis(250);
/// Names that a line of progress spells out.
const NAMES_SHOWN: usize = 5;

/// How the waiting ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Waiting {
    /// Every known process has it.
    Everywhere(InForce),
    /// Time is up; with what was last known.
    TimeUp(Option<InForce>),
}

/// How far a change has got, in a line.
///
/// ```
/// use sardinewood::operator::messages::InForce;
/// use sardinewoodctl::waiting::progress;
///
/// let in_force = InForce { processes: 35, missing: vec!["lang-1".into()] };
/// assert_eq!(progress(&in_force), "in force on 34 of 35, missing: lang-1");
/// ```
#[must_use]
pub fn progress(in_force: &InForce) -> String {
    let (count, processes) = (in_force.count(), in_force.processes);
    let line = format!("in force on {count} of {processes}");
    let missing = &in_force.missing;
    if missing.is_empty() {
        return line;
    }
    let names: Vec<&str> = missing
        .iter()
        .take(NAMES_SHOWN)
        .map(|name| &**name)
        .collect();
    let names = names.join(", ");
    match missing.len().saturating_sub(NAMES_SHOWN) {
        0 => format!("{line}, missing: {names}"),
        more => format!("{line}, missing: {names} and {more} more"),
    }
}

/// Asks until a version is in force everywhere or time is up. An entry that does not answer
/// meanwhile is asked again: the change is accepted already and only the news are late.
pub async fn wait_in_force(
    client: &OperatorClient,
    kind: Kind,
    name: &str,
    version: StorePosition,
    timeout_ms: u64,
    output: &mut Output,
) -> Waiting {
    let until = Instant::now() + Duration::from_millis(timeout_ms);
    let mut last = None;
    let mut last_line = String::new();
    loop {
        let line = match client.in_force(kind, name, version).await {
            Ok(in_force) if in_force.processes > 0 && in_force.missing.is_empty() => {
                return Waiting::Everywhere(in_force);
            }
            Ok(in_force) => {
                let line = progress(&in_force);
                last = Some(in_force);
                line
            }
            Err(error) => error.to_string(),
        };
        if line != last_line {
            output.note(&line);
            last_line = line;
        }
        if Instant::now() + PAUSE >= until {
            return Waiting::TimeUp(last);
        }
        sleep(PAUSE).await;
    }
}
