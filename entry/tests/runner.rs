//! One test program for the tests of the real programs.

#[expect(dead_code, reason = "other tests use the rest")]
mod programs;
mod swallowing_proxy;
mod test_killed_programs;
