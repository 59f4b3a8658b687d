//! One test program for the tests of the real programs.

mod programs;
mod swallowing_proxy;
mod test_killed_programs;
