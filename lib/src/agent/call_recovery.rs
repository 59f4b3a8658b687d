//! Recovery of a call to an engine whose connection broke or fell silent.

use std::time::Duration;

use crate::agent::events::CancelCause;
use crate::ids::RequestId;
use crate::link::wire::AnswerEnd;
use crate::upstream::engine::Engine;
use crate::upstream::engine::EngineError;
use crate::upstream::engine::EngineState;
use crate::upstream::engine::EngineStatus;

/// Number of queries to the engine before the outcome counts as unknown.
const MAX_TRIES: u32 = 5;

/// Delay between two queries.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Reason for the recovery of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// The connection broke, or the stream ended too early.
    Broken,
    /// Nothing was received for a while; the connection may be dead without a notice.
    Silent,
}

/// How much of the answer this process has read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadPosition {
    /// Number of tokens read.
    pub tokens: u64,
    /// Whether the answer is known to be a stream. A plain answer is sent only when it is
    /// whole, so nothing can be missing before.
    pub is_stream: bool,
}

/// Result of a recovery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// The engine has nothing that this process has not read; the current connection
    /// stays.
    KeepReading,
    /// The rest of the answer must be read on a new connection.
    Reopen,
    /// The call has ended without a whole answer.
    Ended(AnswerEnd),
}

/// Queries the engine and returns how to go on with the call. The request itself is never
/// sent again.
pub async fn recover(
    engine: Engine,
    request: RequestId,
    fault: CallFault,
    read: ReadPosition,
) -> Recovery {
    let mut last_error = None;
    for _ in 0..MAX_TRIES {
        match recover_once(&engine, request, fault, read).await {
            Ok(recovery) => return recovery,
            // The call's own connection was closed and the same host refuses a new one: the
            // engine's process is gone, and its work with it.
            Err(EngineError::Refused) if fault == CallFault::Broken => {
                return Recovery::Ended(broken("the engine's process is gone"));
            }
            Err(error) => last_error = Some(error),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    let reason = last_error.map_or_else(String::new, |error| error.to_string());
    Recovery::Ended(in_doubt(&reason))
}

async fn recover_once(
    engine: &Engine,
    request: RequestId,
    fault: CallFault,
    read: ReadPosition,
) -> Result<Recovery, EngineError> {
    let status = engine.status(request).await?;
    let EngineStatus::Known {
        state,
        output_tokens,
    } = status
    else {
        // The call may still be in transit to the engine: cancelling its id makes the
        // engine reject it.
        engine.cancel(request).await?;
        return Ok(Recovery::Ended(broken("the engine has lost the request")));
    };
    let has_more = match state {
        EngineState::Waiting | EngineState::Prefill => false,
        EngineState::Decode => read.is_stream && output_tokens > read.tokens,
        EngineState::Finished => true,
        EngineState::Cancelled => {
            return Ok(Recovery::Ended(broken(
                "the engine has dropped the request",
            )));
        }
    };
    if fault == CallFault::Silent && !has_more {
        return Ok(Recovery::KeepReading);
    }
    Ok(Recovery::Reopen)
}

/// Cancels a call at its engine and returns how it ended.
pub async fn cancel(engine: Engine, request: RequestId, cause: CancelCause) -> AnswerEnd {
    for _ in 0..MAX_TRIES {
        if engine.cancel(request).await.is_ok() {
            return match cause {
                CancelCause::Unwanted => AnswerEnd::Cancelled,
                CancelCause::Preempt => AnswerEnd::Preempted,
            };
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    in_doubt("the engine does not confirm the cancellation")
}

/// Returns the end of an answer that broke off.
#[must_use]
pub fn broken(reason: &str) -> AnswerEnd {
    AnswerEnd::Broken {
        reason: reason.into(),
    }
}

/// Returns the end of an answer whose outcome is unknown.
#[must_use]
pub fn in_doubt(reason: &str) -> AnswerEnd {
    AnswerEnd::InDoubt {
        reason: reason.into(),
    }
}
