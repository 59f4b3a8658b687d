//! One test program for all integration tests, so that it is linked once.

mod agent_fixture;
mod operator_fixture;
mod spread_fixture;
mod test_agent_attempts;
mod test_agent_reservations;
mod test_agent_server;
mod test_answer_reader;
mod test_caller_api;
mod test_claims;
mod test_config_follow;
mod test_config_spread;
mod test_config_state;
mod test_config_watch;
mod test_entry_state;
mod test_frames;
mod test_ids;
mod test_logging;
mod test_metrics;
mod test_objects_check;
mod test_operator_api;
mod test_operator_change;
mod test_ordering;
mod test_request_names;
mod test_secrets;
mod test_settings;
mod test_whole_path;
