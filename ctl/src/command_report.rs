//! What a command prints.

use std::sync::Arc;

use sardinewood::operator::messages::ChangeAnswer;
use sardinewood::operator::messages::InForce;
use sardinewood::operator::messages::ObjectView;
use serde::Serialize;

use crate::difference::difference;
use crate::table::time_utc;
use crate::waiting::progress;

/// What a command prints.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CommandReport {
    /// The object, as `kind/name`.
    pub object: String,
    /// The id with which the outcome can be settled later.
    pub change_id: Arc<str>,
    /// What became of the change.
    #[serde(flatten)]
    pub answer: ChangeAnswer,
    /// What the change alters, field by field.
    pub alters: Vec<String>,
    /// How far it has got, if that was waited for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_force: Option<InForce>,
}

impl CommandReport {
    /// The report as text; `seen` is the object that the command was based on.
    ///
    /// ```
    /// use sardinewood::operator::messages::ChangeAnswer;
    /// use sardinewood::store::position::StorePosition;
    /// use sardinewoodctl::command_report::CommandReport;
    ///
    /// let report = CommandReport {
    ///     object: "profiles/lookup".to_owned(),
    ///     change_id: "c1".into(),
    ///     answer: ChangeAnswer::Accepted { version: StorePosition::new(0, 7) },
    ///     alters: vec!["tier: 2 -> 1".to_owned()],
    ///     in_force: None,
    /// };
    /// let text = "accepted: profiles/lookup is version 7\n  tier: 2 -> 1\n";
    /// assert_eq!(report.shown(None), text);
    /// ```
    #[must_use]
    pub fn shown(&self, seen: Option<&ObjectView>) -> String {
        let object = &self.object;
        let mut lines = match &self.answer {
            ChangeAnswer::Accepted { version } => paragraph(
                format!("accepted: {object} is version {version}"),
                &self.alters,
            ),
            ChangeAnswer::Checked { effects } => {
                let mut lines =
                    paragraph(format!("dry run: {object} can be changed so"), &self.alters);
                lines.extend(effects.iter().map(|effect| format!("  {effect}")));
                lines
            }
            ChangeAnswer::Refused { findings } => {
                let findings: Vec<_> = findings.iter().map(ToString::to_string).collect();
                paragraph(format!("refused: {object} is not changed"), &findings)
            }
            ChangeAnswer::Conflict { current } => conflict_lines(object, seen, current.as_ref()),
            ChangeAnswer::NotKnownYet => self.not_known_lines(),
        };
        lines.extend(self.in_force.as_ref().map(progress));
        lines.join("\n") + "\n"
    }

    fn not_known_lines(&self) -> Vec<String> {
        let object = &self.object;
        let id = &self.change_id;
        vec![
            format!("not known yet: the change of {object} may be in force or come into force"),
            format!("  settle it: the same command with --change-id {id}"),
        ]
    }
}

fn paragraph(head: String, lines: &[String]) -> Vec<String> {
    let mut all = vec![head];
    all.extend(lines.iter().map(|line| format!("  {line}")));
    all
}

fn conflict_lines(
    object: &str,
    seen: Option<&ObjectView>,
    current: Option<&ObjectView>,
) -> Vec<String> {
    let Some(current) = current else {
        return vec![format!(
            "conflict: {object} does not exist; nothing is changed"
        )];
    };
    let mut lines = vec![format!(
        "conflict: {object} is version {} now; nothing is changed",
        current.version
    )];
    if let Some(change) = &current.change {
        let (time, who, why) = (time_utc(change.at_ms), &change.who, &change.why);
        lines.push(format!("  changed {time} by {who}: {why}"));
    }
    let before = seen.and_then(|view| view.spec.clone()).unwrap_or_default();
    let after = current.spec.clone().unwrap_or_default();
    let altered = difference(&before, &after);
    lines.extend(altered.iter().map(|line| format!("  {line}")));
    lines
}
