//! Resources that all entries share without a central counter: slots at upstreams, customers'
//! quotas, and retries. The modules make decisions and do no I/O.

pub mod admission;
pub mod late_start;
pub mod part_counts;
mod peer_usage;
pub mod quota;
pub mod rate;
pub mod retry_budget;
pub mod return_order;
pub mod size_fairness;
pub mod size_stats;
