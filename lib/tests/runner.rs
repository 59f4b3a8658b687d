//! One test program for all integration tests, so that it is linked once.

mod test_frames;
mod test_ids;
