//! Versions of workers side by side: which streams hold events of several.

use std::collections::BTreeMap;

use crate::record::Run;

/// Returns the streams that went on at another version than the one that began them, by their first
/// attempts.
///
/// A run without a last event begins the stream anew for its caller, who has no event yet, so the last
/// one of these before a run with a last event has begun it.
#[must_use]
pub fn mixed_streams(runs: &[Run]) -> Vec<String> {
    let mut streams: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in runs {
        streams.entry(&run.first_attempt).or_default().push(run);
    }
    let mut mixed = Vec::new();
    for (stream, mut runs) in streams {
        runs.sort_by_key(|run| run.at);
        let resumed = runs.iter().position(|run| run.after_event > 0);
        let Some((begun, resumed)) = resumed.and_then(|at| runs.split_at_checked(at)) else {
            continue;
        };
        let began_at = begun.last().map(|run| run.version);
        if resumed.iter().any(|run| Some(run.version) != began_at) {
            mixed.push(stream.to_owned());
        }
    }
    mixed
}
