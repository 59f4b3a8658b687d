//! One test program for the soak's own tests.

mod test_checker;
mod test_kept;
mod test_leavings;
mod test_short_run;
