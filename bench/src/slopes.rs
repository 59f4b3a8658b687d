//! `slopes`: what one more object, request, link or change costs a role.
//!
//! The states are the ones that ship, driven without sockets. Memory is the growth of this
//! process's resident memory over many of the same thing; time is the mean over many.

pub mod agent_slopes;
mod config_slopes;
pub mod entry_slopes;
mod idle_slopes;
mod message_sizes;

use std::any::Any;
use std::time::Instant;

use lexopt::Parser;
use sardinewood::numbers::as_f64;
use serde::Serialize;

use crate::command::asks_for_help;
use crate::command::print_line;
use crate::cpu_time::resident_bytes;

/// What `slopes --help` prints.
const HELP: &str = "\
Usage: sardinewood-bench slopes

Prints one JSON line for each slope: what one more of something costs a role in
memory, processor time or bytes on the wire.
";

/// One measured slope.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Slope {
    /// The role that pays.
    pub role: &'static str,
    /// What there is one more of.
    pub per: &'static str,
    /// What it costs, with its unit.
    pub cost: &'static str,
    /// The figure.
    pub value: f64,
    /// Over how many it was measured.
    pub count: usize,
}

/// Measures and prints all slopes.
///
/// # Errors
///
/// The arguments are not understood.
pub fn run(mut parser: Parser) -> eyre::Result<()> {
    if asks_for_help(&mut parser, HELP)? {
        return Ok(());
    }
    for slope in measure_all().into_iter().chain(idle_slopes::measure()?) {
        print_line(&slope)?;
    }
    Ok(())
}

/// All slopes of states and messages, in a fixed order; those that need sockets and some
/// seconds are measured by [`run`] besides.
#[must_use]
pub fn measure_all() -> Vec<Slope> {
    let mut slopes = message_sizes::measure();
    slopes.extend(measure_memory());
    slopes.extend(entry_slopes::measure_time());
    slopes.extend(agent_slopes::measure_time());
    slopes.extend(config_slopes::measure_time());
    slopes
}

fn measure_memory() -> Vec<Slope> {
    let mut memory = Memory::default();
    entry_slopes::measure_memory(&mut memory);
    agent_slopes::measure_memory(&mut memory);
    config_slopes::measure_memory(&mut memory);
    memory.slopes
}

/// Measures growth of resident memory. What was built is kept until the end: memory that an
/// earlier measurement frees would be used again by a later one, which would then seem to
/// need none.
#[derive(Default)]
struct Memory {
    slopes: Vec<Slope>,
    built: Vec<Box<dyn Any>>,
}

impl Memory {
    /// The memory that `build` adds for each of `count` things.
    fn measure<T: 'static>(
        &mut self,
        role: &'static str,
        per: &'static str,
        count: usize,
        build: impl FnOnce() -> T,
    ) {
        let before_bytes = resident_bytes();
        let thing = build();
        let grown_bytes = resident_bytes().saturating_sub(before_bytes);
        self.built.push(Box::new(thing));
        self.slopes.push(Slope {
            role,
            per,
            cost: "memory_bytes",
            value: as_f64(grown_bytes) / as_f64(count as u64),
            count,
        });
    }
}

/// The time that `work` takes for each of the `count` things that it does.
fn time_slope(role: &'static str, per: &'static str, count: usize, work: impl FnOnce()) -> Slope {
    let begin = Instant::now();
    work();
    Slope {
        role,
        per,
        cost: "cpu_us",
        value: begin.elapsed().as_secs_f64() * 1e6 / as_f64(count as u64),
        count,
    }
}
