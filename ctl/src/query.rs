//! Answers questions; nothing here changes anything.

use std::sync::Arc;

use crate::action::Query;
use crate::action::kind_of;
use crate::ctl_settings::CtlSettings;
use crate::exit_code::End;
use crate::operator_client::AuditFilter;
use crate::operator_client::CallError;
use crate::operator_client::OperatorClient;
use crate::output::Output;
use crate::shown::shown_change;
use crate::shown::shown_explanation;
use crate::shown::shown_list;
use crate::shown::shown_object;
use crate::shown::shown_status;
use crate::shown::shown_trail;
use sardinewood::store::position::StorePosition;

/// How long one call of `watch` waits for a change.
const WATCH_WAIT_MS: u64 = 25_000;
const MS_PER_MIN: u64 = 60_000;

/// Answers one query that needs an entry.
///
/// # Errors
///
/// When an entry gives no usable answer.
pub async fn run_query(
    query: &Query,
    now_ms: u64,
    settings: &CtlSettings,
    client: &OperatorClient,
    output: &mut Output,
) -> Result<End, CallError> {
    match query {
        Query::List(kind) => {
            let kind = *kind;
            let views = client.list(kind).await?;
            output.answer(&views, |views| shown_list(kind, views));
        }
        Query::Show(kind, name) => {
            let missing = || CallError::NotFound(format!("{}/{name}", kind.as_str()).into());
            let view = client.show(*kind, name).await?.ok_or_else(missing)?;
            output.answer(&view, shown_object);
            // Who removed it, when and why is shown; for a script it does not exist.
            if view.spec.is_none() {
                return Ok(End::NotFound);
            }
        }
        Query::Status => output.answer(&client.status().await?, shown_status),
        Query::Explain(request) => {
            output.answer(&client.explain(request).await?, shown_explanation);
        }
        Query::Audit => {
            let trail = client.audit(&audit_filter(settings, now_ms)).await?;
            output.answer(&trail, shown_trail);
        }
        Query::Watch => watch(settings, client, output).await?,
        // These two ask no entry, and are answered before one is dialled.
        Query::Hash | Query::Story(..) => {}
    }
    Ok(End::Done)
}

fn audit_filter(settings: &CtlSettings, now_ms: u64) -> AuditFilter {
    let ago_ms = |minutes: u64| minutes.saturating_mul(MS_PER_MIN);
    AuditFilter {
        kind: kind_of(&settings.kind),
        name: Arc::clone(&settings.name),
        who: Arc::clone(&settings.who),
        since_ms: settings
            .since_min
            .map(|minutes| now_ms.saturating_sub(ago_ms(minutes))),
        limit: settings.limit,
    }
}

/// Prints changes as they come, up to the limit.
async fn watch(
    settings: &CtlSettings,
    client: &OperatorClient,
    output: &mut Output,
) -> Result<(), CallError> {
    let mut left = settings.limit.unwrap_or(u64::MAX);
    let mut after = client.watch(StorePosition::default(), 0).await?.revision;
    loop {
        let views = client.watch(after, WATCH_WAIT_MS).await?;
        for view in &views.objects {
            output.answer(view, shown_change);
            left -= 1;
            if left == 0 {
                return Ok(());
            }
        }
        after = after.max(views.revision);
    }
}
