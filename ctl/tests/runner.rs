//! One test program for all integration tests, so that it is linked once.

mod captured_run;
mod fake_operator_api;
mod test_action;
mod test_command;
mod test_query;
mod test_story;
mod test_with_entry;
