//! One test program for all tests of the local fleet.

mod test_program;
mod test_report;
mod test_sample_run;
