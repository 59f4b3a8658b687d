//! One test program for all tests of the stand-ins.

mod test_connections;
mod test_engine_core;
mod test_engine_stand_in;
mod test_prefix_cache;
mod test_service_stand_in;
mod test_store_stand_in;
