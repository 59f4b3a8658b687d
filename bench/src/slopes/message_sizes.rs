//! Bytes on the wire of the messages between entries and agents.

use std::sync::Arc;

use sardinewood::config::objects::Target;
use sardinewood::config::objects::Tier;
use sardinewood::ids::AttemptId;
use sardinewood::ids::GrantId;
use sardinewood::ids::Incarnation;
use sardinewood::ids::RequestId;
use sardinewood::link::wire::AgentMessage;
use sardinewood::link::wire::EntryMessage;
use sardinewood::link::wire::Load;
use sardinewood::link::wire::RefusalReason;
use sardinewood::link::wire::Reservation;
use sardinewood::store::position::StorePosition;
use serde::Serialize;

use super::Slope;
use super::as_f64;

/// The length in front of each frame.
const FRAME_HEADER_BYTES: usize = 4;

/// IPv4 and TCP headers with the time stamp option, of a segment that holds one frame.
const SEGMENT_HEADER_BYTES: usize = 52;

/// Blocks of the prompt that a reservation names.
const PREFIX_BLOCKS: u64 = 4;

/// Large enough that the encoding has its usual width.
const LARGE_REQUEST: RequestId = RequestId(u128::MAX / 3);
const LARGE_GRANT: GrantId = GrantId {
    agent: Incarnation(u64::MAX / 3),
    sequence: 1 << 20,
};

pub(super) fn measure() -> Vec<Slope> {
    let request = LARGE_REQUEST;
    let attempt = AttemptId { request, number: 1 };
    let grant = LARGE_GRANT;
    let reason = RefusalReason::Crowded;
    vec![
        size(
            "entry",
            "heartbeat",
            &EntryMessage::Heartbeat {
                sequence: 1 << 20,
                revision: StorePosition::new(0, 1 << 20),
            },
        ),
        size("entry", "reserve", &EntryMessage::Reserve(reservation())),
        size("entry", "withdraw", &EntryMessage::Withdraw { request }),
        size("entry", "decline", &EntryMessage::Decline { grant }),
        size(
            "entry",
            "acknowledge",
            &EntryMessage::Acknowledge {
                attempt,
                through_bytes: 1 << 20,
            },
        ),
        size("agent", "heartbeat", &agent_heartbeat()),
        size(
            "agent",
            "grant",
            &AgentMessage::Grant {
                request,
                grant,
                valid_ms: 1_000,
            },
        ),
        size(
            "agent",
            "refuse",
            &AgentMessage::Refuse {
                request,
                reason,
                retry_after_ms: 1_000,
            },
        ),
    ]
}

fn size(role: &'static str, per: &'static str, message: &impl Serialize) -> Slope {
    let encoded_bytes = postcard::to_stdvec(message).map_or(0, |bytes| bytes.len());
    let wire_bytes = encoded_bytes + FRAME_HEADER_BYTES + SEGMENT_HEADER_BYTES;
    Slope {
        role,
        per,
        cost: "sent_bytes",
        value: as_f64(wire_bytes as u64),
        count: 1,
    }
}

fn agent_heartbeat() -> AgentMessage {
    let load = Load {
        free_slots: 8,
        waiting: 100,
        backlog_ms: 4_000,
        prefill_tokens_per_s: 20_000,
        step_us: 30_000,
        entries: 350,
    };
    AgentMessage::Heartbeat {
        sequence: 1 << 20,
        revision: StorePosition::new(0, 1 << 20),
        load,
    }
}

/// A reservation of the usual size.
pub(super) fn reservation() -> Reservation {
    Reservation {
        request: LARGE_REQUEST,
        target: Target::Model(Arc::from("language-small")),
        tier: Tier(2),
        customer: Arc::from("customer-0817"),
        weight: 4,
        waited_ms: 40,
        deadline_in_ms: 8_000,
        prompt_tokens: 1_200,
        expected_output_tokens: 424,
        max_output_tokens: 1_024,
        prefix: (0..PREFIX_BLOCKS)
            .map(|block| u64::MAX / 3 + block)
            .collect(),
        non_idempotent: false,
        started_appointment: false,
    }
}
