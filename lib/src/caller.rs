//! What callers speak: requests in, answers out, each in the shape that callers expect.
//!
//! It turns a request into a [`submission`] and an answer into bytes, and knows nothing of
//! agents or of the order in which requests are served.

pub mod body;
pub mod body_buffer;
pub mod connections;
pub mod directory;
pub mod headers;
pub mod lingering_close;
pub mod listener;
pub mod memory;
pub mod memory_account;
pub mod memory_limits;
pub mod openai_error;
pub mod prompt_text;
pub mod service_path;
pub mod submission;
