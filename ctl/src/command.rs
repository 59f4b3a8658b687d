//! Carries out a change: reads the object, sends the change, settles a lost answer.

use std::sync::Arc;
use std::time::Duration;

use sardinewood::operator::messages::Action as ChangeAction;
use sardinewood::operator::messages::ChangeAnswer;
use sardinewood::operator::messages::ChangeRequest;
use sardinewood::operator::messages::Expected;
use sardinewood::operator::messages::ObjectView;
use serde_json::Value;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::action::Command;
use crate::action::Edit;
use crate::command_report::CommandReport;
use crate::ctl_settings::CtlSettings;
use crate::difference::difference;
use crate::exit_code::End;
use crate::operator_client::CallError;
use crate::operator_client::OperatorClient;
use crate::output::Output;
use crate::waiting::Waiting;
use crate::waiting::wait_in_force;

/// Pause before a change whose outcome is not known is sent again.
const SETTLE_PAUSE: Duration = Duration::from_millis(500);

/// Carries out one command.
///
/// # Errors
///
/// When an entry gives no usable answer. After a change was sent, that is reported as
/// [`End::NotKnownYet`], not as an error.
pub async fn run_command(
    command: &Command,
    file: Option<Value>,
    change_id: Arc<str>,
    settings: &CtlSettings,
    client: &OperatorClient,
    output: &mut Output,
) -> Result<End, CallError> {
    let current = client.show(command.kind, &command.name).await?;
    let current = current.filter(|view| view.spec.is_some());
    if current.is_none() && needs_object(command, settings) {
        let object = object_of(command);
        return Err(CallError::NotFound(object.into()));
    }
    let before = current.as_ref().and_then(|view| view.spec.clone());
    let after = command.apply(before.as_ref(), file);
    let alters = difference(
        &before.unwrap_or_default(),
        &after.clone().unwrap_or_default(),
    );
    let change = ChangeRequest {
        id: change_id,
        kind: command.kind,
        name: Arc::clone(&command.name),
        expected: expected(command, settings, current.as_ref()),
        action: after.map_or(ChangeAction::Delete, ChangeAction::Put),
        reason: Arc::clone(&settings.reason),
        dry_run: settings.dry_run,
    };
    let answer = settle(&change, settings, client, output).await?;
    let mut report = CommandReport {
        object: object_of(command),
        change_id: change.id,
        answer,
        alters,
        in_force: None,
    };
    let end = conclude(command, settings, client, &mut report, output).await;
    output.answer(&report, |report| report.shown(current.as_ref()));
    Ok(end)
}

fn object_of(command: &Command) -> String {
    format!("{}/{}", command.kind.as_str(), command.name)
}

/// Whether the command makes no sense for an object that does not exist. A change that is
/// sent again to settle it may have removed the object itself.
fn needs_object(command: &Command, settings: &CtlSettings) -> bool {
    let resent = !settings.change_id.is_empty();
    matches!(command.edit, Edit::Activity(_) | Edit::Delete) && !resent
}

fn expected(command: &Command, settings: &CtlSettings, current: Option<&ObjectView>) -> Expected {
    let seen = current.map(|view| view.version);
    let version = match command.edit {
        Edit::Add(_) => None,
        _ => settings.expect_version.or(seen),
    };
    match version.filter(|version| version.revision > 0) {
        None => Expected::Absent,
        Some(version) => Expected::Version(version),
    }
}

/// Sends a change until its outcome is known or time is up.
///
/// An answer that is lost after the entry has written leaves the operator not knowing
/// whether the profile is changed. Sending the same change id again is enough: the store's
/// object carries the id of its last change, so the entry tells a repetition from a new
/// change and does it once.
async fn settle(
    change: &ChangeRequest,
    settings: &CtlSettings,
    client: &OperatorClient,
    output: &mut Output,
) -> Result<ChangeAnswer, CallError> {
    let until = Instant::now() + Duration::from_millis(settings.timeout_ms);
    let mut may_have_begun = !settings.change_id.is_empty();
    loop {
        let problem = match judge(client.change(change).await, may_have_begun) {
            Next::Answer(answer) => return Ok(answer),
            Next::GiveUp(error) => return Err(error),
            Next::AskAgain { problem, in_doubt } => {
                may_have_begun |= in_doubt;
                problem
            }
        };
        if Instant::now() + SETTLE_PAUSE >= until {
            return if_over(problem, may_have_begun);
        }
        output.note(&format!("{problem}; asking again for change {}", change.id));
        sleep(SETTLE_PAUSE).await;
    }
}

/// What to do after one call.
enum Next {
    /// The outcome is known.
    Answer(ChangeAnswer),
    /// The same change is sent again.
    AskAgain {
        /// What kept the answer away.
        problem: CallError,
        /// Whether this call may have changed something.
        in_doubt: bool,
    },
    /// Asking again is of no use, and nothing was changed.
    GiveUp(CallError),
}

fn judge(result: Result<ChangeAnswer, CallError>, may_have_begun: bool) -> Next {
    let again = |problem, in_doubt| Next::AskAgain { problem, in_doubt };
    match result {
        Ok(ChangeAnswer::NotKnownYet) => again(
            CallError::AnswerLost("the store has not confirmed it".into()),
            true,
        ),
        Ok(answer) => Next::Answer(answer),
        Err(error @ CallError::AnswerLost(_)) => again(error, true),
        Err(error @ CallError::NotDone(_)) => again(error, false),
        Err(error @ CallError::NotReachable { .. }) if may_have_begun => again(error, false),
        Err(error) => Next::GiveUp(error),
    }
}

/// The outcome when time is up.
fn if_over(problem: CallError, may_have_begun: bool) -> Result<ChangeAnswer, CallError> {
    if may_have_begun {
        Ok(ChangeAnswer::NotKnownYet)
    } else {
        Err(problem)
    }
}

async fn conclude(
    command: &Command,
    settings: &CtlSettings,
    client: &OperatorClient,
    report: &mut CommandReport,
    output: &mut Output,
) -> End {
    let version = match &report.answer {
        ChangeAnswer::Checked { .. } => return End::Done,
        ChangeAnswer::Refused { .. } => return End::Refused,
        ChangeAnswer::Conflict { .. } => return End::Conflict,
        ChangeAnswer::NotKnownYet => return End::NotKnownYet,
        ChangeAnswer::Accepted { version } => *version,
    };
    if !settings.wait {
        return End::Done;
    }
    let timeout_ms = settings.wait_timeout_ms;
    let (kind, name) = (command.kind, &command.name);
    match wait_in_force(client, kind, name, version, timeout_ms, output).await {
        Waiting::Everywhere(in_force) => {
            report.in_force = Some(in_force);
            End::Done
        }
        Waiting::TimeUp(in_force) => {
            report.in_force = in_force;
            End::NotInForceYet
        }
    }
}
