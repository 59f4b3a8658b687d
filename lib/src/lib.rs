//! The decisions and the narrow outside interfaces of sardinewood, a request
//! scheduler for unlike engines.
//!
//! Decision code is sans-IO: state, an event and the time go in, and an enum
//! that says what to do next comes out. Sockets, clocks and random numbers stay
//! in the programs and in the modules that speak to one outside system each.

pub mod admission;
pub mod agent_calls;
pub mod agent_control;
pub mod agent_events;
pub mod agent_link;
pub mod agent_server;
pub mod agent_settings;
pub mod agent_state;
pub mod answer_log;
pub mod answer_pump;
pub mod answer_reader;
pub mod answer_routes;
pub mod attempts;
pub mod audit;
pub mod backoff;
pub mod call_recovery;
pub mod caller_answer;
pub mod caller_api;
pub mod caller_body;
pub mod caller_connections;
pub mod caller_directory;
pub mod caller_headers;
pub mod caller_listener;
pub mod candidates;
pub mod catalog;
pub mod config;
pub mod config_object;
pub mod config_spread;
pub mod config_state;
pub mod config_watch;
pub mod engine;
pub mod entry_control;
pub mod entry_link;
pub mod entry_server;
pub mod entry_settings;
pub mod entry_state;
pub mod event_scan;
pub mod findings;
pub mod frames;
pub mod grants;
pub mod ids;
pub mod kept_answers;
pub mod logging;
pub mod metrics;
pub mod objects;
pub mod objects_check;
pub mod openai_error;
pub mod operator_change;
pub mod operator_effects;
pub mod operator_messages;
pub mod pump_registry;
pub mod reservation_queue;
pub mod retry_budget;
pub mod run;
pub mod secrets;
pub mod service;
pub mod setting;
pub mod settings;
pub mod speeds;
pub mod spread_link;
pub mod spread_message;
pub mod store;
pub mod submission;
pub mod timers;
pub mod upstream_client;
pub mod upstream_health;
pub mod upstream_http;
pub mod value_check;
pub mod verdict;
pub mod wire;
