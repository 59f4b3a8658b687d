//! What operators can see and change, by HTTP API and on the phone page.
//!
//! Each change goes through [`change`], which writes it with its [`audit`] record. It calls the
//! configuration and the store, and knows nothing of requests.

pub mod api;
pub mod auth;
pub mod change;
pub mod effects;
pub mod forms;
pub mod html;
pub mod messages;
pub mod page;
pub(crate) mod page_changes;
pub(crate) mod page_parts;
pub(crate) mod page_views;
pub mod queries;
pub mod retention;
pub mod routes;
pub mod server;
pub mod session;
