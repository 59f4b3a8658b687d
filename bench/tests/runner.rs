//! One test program for all integration tests, so that it is linked once.

mod fixtures;
mod test_baseline;
mod test_bound;
mod test_command;
mod test_control;
mod test_decisions;
mod test_direct;
mod test_direct_hard_load;
mod test_engine_model;
mod test_fault_matrix;
mod test_limits;
mod test_overhead;
mod test_promises;
mod test_scenario;
mod test_scenarios;
mod test_simulation;
mod test_slopes;
