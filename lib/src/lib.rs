//! The decisions and the narrow outside interfaces of sardinewood, a request
//! scheduler for unlike engines.
//!
//! Decision code is sans-IO: state, an event and the time go in, and an enum
//! that says what to do next comes out. Sockets, clocks and random numbers stay
//! in the programs and in the modules that speak to one outside system each.

pub mod catalog;
pub mod frames;
pub mod ids;
pub mod objects;
pub mod wire;
