//! What all entries share without a counter in the middle: room at upstreams, customers'
//! allotments, second attempts. All of it decides and knows no socket.

pub mod admission;
pub mod quota;
pub mod rate;
pub mod retry_budget;
pub mod size_fairness;
pub mod size_stats;
pub mod spending_window;
