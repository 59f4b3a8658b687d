//! One test program for the tests of the agent's program.

mod test_program;
