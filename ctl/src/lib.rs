//! The operators' command line: commands change one object, queries only read.

pub mod action;
pub mod command;
pub mod command_report;
pub mod ctl_settings;
pub mod difference;
pub mod exit_code;
pub mod field_edit;
pub mod operator_client;
pub mod output;
pub mod query;
pub mod run;
mod shown;
pub mod story;
pub mod table;
pub mod waiting;
