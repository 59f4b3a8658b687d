//! What to do when the connection of a call to an engine breaks or falls silent.

use std::time::Duration;

use crate::agent::events::CancelCause;
use crate::ids::RequestId;
use crate::link::wire::AnswerEnd;
use crate::upstream::engine::Engine;
use crate::upstream::engine::EngineError;
use crate::upstream::engine::EngineState;
use crate::upstream::engine::EngineStatus;

/// How often the engine is asked before its silence is taken for an answer.
const TRIES: u32 = 5;

/// The pause before the next try.
const PAUSE: Duration = Duration::from_millis(200);

/// Why a call needs to be looked after.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Its connection broke, or its stream ended too early.
    Broken,
    /// Nothing came for a while; the connection may have been lost track of.
    Silent,
}

/// How far this process has read the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadSoFar {
    /// Tokens counted.
    pub tokens: u64,
    /// Whether the answer is known to be a stream. A plain answer comes when it is whole,
    /// and nothing is missed before.
    pub is_stream: bool,
}

/// What came of looking after it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// The engine has nothing that this process has not read; the connection is good.
    Wait,
    /// The rest of the answer is to be read on a new connection.
    Reopen,
    /// There is no whole answer.
    Over(AnswerEnd),
}

/// Asks the engine and reads on where that is possible. The request itself is never sent
/// again.
pub async fn recover(
    engine: Engine,
    request: RequestId,
    trouble: Trouble,
    read: ReadSoFar,
) -> Recovery {
    let mut last_error = None;
    for _ in 0..TRIES {
        match recover_once(&engine, request, trouble, read).await {
            Ok(recovery) => return recovery,
            // The call's own connection was closed and a new one is refused on the same
            // host: the engine's process is gone, and its work with it.
            Err(EngineError::Refused) if trouble == Trouble::Broken => {
                return Recovery::Over(broken("the engine's process is gone"));
            }
            Err(error) => last_error = Some(error),
        }
        tokio::time::sleep(PAUSE).await;
    }
    let reason = last_error.map_or_else(String::new, |error| error.to_string());
    Recovery::Over(in_doubt(&reason))
}

async fn recover_once(
    engine: &Engine,
    request: RequestId,
    trouble: Trouble,
    read: ReadSoFar,
) -> Result<Recovery, EngineError> {
    let status = engine.status(request).await?;
    let EngineStatus::Known {
        state,
        output_tokens,
    } = status
    else {
        // The call may still be on its way to the engine: cancelling its id bars it.
        engine.cancel(request).await?;
        return Ok(Recovery::Over(broken("the engine has lost the request")));
    };
    let has_more = match state {
        EngineState::Waiting | EngineState::Prefill => false,
        EngineState::Decode => read.is_stream && output_tokens > read.tokens,
        EngineState::Finished => true,
        EngineState::Cancelled => {
            return Ok(Recovery::Over(broken("the engine has dropped the request")));
        }
    };
    if trouble == Trouble::Silent && !has_more {
        return Ok(Recovery::Wait);
    }
    Ok(Recovery::Reopen)
}

/// Cancels a call at its engine and says how it ended.
pub async fn cancel(engine: Engine, request: RequestId, cause: CancelCause) -> AnswerEnd {
    for _ in 0..TRIES {
        if engine.cancel(request).await.is_ok() {
            return match cause {
                CancelCause::Unwanted => AnswerEnd::Cancelled,
                CancelCause::Preempt => AnswerEnd::Preempted,
            };
        }
        tokio::time::sleep(PAUSE).await;
    }
    in_doubt("the engine does not confirm the cancellation")
}

/// The end of an answer that broke off.
#[must_use]
pub fn broken(reason: &str) -> AnswerEnd {
    AnswerEnd::Broken {
        reason: reason.into(),
    }
}

/// The end of an answer whose outcome nobody can tell.
#[must_use]
pub fn in_doubt(reason: &str) -> AnswerEnd {
    AnswerEnd::InDoubt {
        reason: reason.into(),
    }
}
