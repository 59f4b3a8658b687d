//! The entry's direct mode: requests go straight to upstreams that have no agent.
//!
//! The entry knows the upstreams from the platform's list, holds what waits, and keeps one
//! request at a time on each connection. Entries tell each other by datagram what they have
//! running and what customers have spent, so that no process in the middle is needed.
//!
//! These decide and know no socket: [`allotment`], [`asking`], [`attempt_budget`], [`catalog`],
//! [`directory`], [`dispatch`], [`door`], [`health`], [`job`], [`peer_table`], [`place`], [`replica`],
//! [`report`], [`spending_window`], [`usual`]. [`connections`], [`exchange`], [`front`] and [`peers`] carry bytes
//! and decide nothing. It uses the library's store client, headers and logs, and no claims, agents
//! or operators.

pub mod allotment;
pub mod answer_body;
pub mod asking;
pub mod attempt_budget;
pub mod call;
pub mod caller;
pub mod catalog;
pub mod charging;
pub mod connections;
pub mod directory;
pub mod dispatch;
pub mod door;
pub mod exchange;
pub mod figures;
pub mod follow;
pub mod front;
pub mod health;
pub mod job;
pub mod log_budget;
pub mod peer_message;
pub mod peer_table;
pub mod peers;
pub mod place;
pub mod pull;
pub mod refusal;
pub mod relay;
pub mod replica;
pub mod report;
pub mod rooms;
pub mod server;
pub mod shared_start;
pub mod spending_window;
pub mod traffic;
pub mod usual;
