//! Scripted incidents. Each script under `scenarios/` reads like an incident report: what
//! was sent, what went wrong, and what callers and upstreams saw, with the time.
//!
//! `UPDATE_GOLDENFILES=1` writes the output anew; read the difference before you keep it.

use std::error::Error;
use std::fmt::Write;

use goldenscript::Command;
use goldenscript::Runner;
use sardinewood_bench::faults::checker::Heard;
use sardinewood_bench::faults::checker::Seen;
use sardinewood_bench::faults::plan::Fault;
use sardinewood_bench::faults::plan::FaultKind;
use sardinewood_bench::faults::plan::Plan;
use sardinewood_bench::faults::plan::Size;
use sardinewood_bench::faults::work::Path;
use sardinewood_bench::faults::work::Work;
use sardinewood_bench::faults::work::WorkId;
use sardinewood_bench::faults::world::World;

/// Before a script begins, links open and upstreams are looked at.
const WARM_UP_MS: u64 = 500;

struct Script {
    world: World,
    shown: usize,
}

impl Script {
    fn new(entries: usize, agents: usize) -> Self {
        let size = Size {
            entries,
            agents,
            requests: 0,
            fault_gap_ms: 0,
            ..Size::default()
        };
        let mut world = World::new(&Plan::draw(1, size));
        world.callers_give_up();
        world.advance(WARM_UP_MS);
        Self { world, shown: 0 }
    }

    fn send(&mut self, command: &Command) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let mut work = Work {
            id: WorkId(args.lookup_parse("work")?.ok_or("which work?")?),
            at_ms: self.world.now_ms(),
            tier: 0,
            deadline_ms: args.lookup_parse("deadline")?.unwrap_or(8_000),
            non_idempotent: false,
            path: Path::Model,
            parts: args.lookup_parse("parts")?.unwrap_or(10),
            is_named: false,
            order: args.lookup_parse("order")?,
        };
        let entry = args.lookup_parse("entry")?.unwrap_or(0);
        for arg in args.rest_pos() {
            match arg.value.as_str() {
                "once" => work.non_idempotent = true,
                "named" => work.is_named = true,
                "stream" => work.path = Path::Stream,
                "service" => work.path = Path::Service,
                other => return Err(format!("{other} is no property of work").into()),
            }
        }
        args.reject_rest()?;
        self.world.send(work, entry);
        Ok(self.news())
    }

    fn fault(&mut self, command: &Command) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let name = args.next_pos().ok_or("what goes wrong?")?.value.clone();
        let kind: FaultKind = serde_json::from_value(name.into())?;
        let fault = Fault {
            at_ms: self.world.now_ms(),
            kind,
            entry: args.lookup_parse("entry")?.unwrap_or(0),
            agent: args.lookup_parse("agent")?.unwrap_or(0),
            lasts_ms: args.lookup_parse("lasts")?.unwrap_or(1_000),
        };
        args.reject_rest()?;
        self.world.inject(fault);
        Ok(self.news())
    }

    fn wait(&mut self, command: &Command) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let for_ms = args.next_pos().ok_or("how long?")?.parse()?;
        args.reject_rest()?;
        self.world.advance(for_ms);
        Ok(self.news())
    }

    /// What was seen since the last command.
    fn news(&mut self) -> String {
        let seen = self.world.record().seen();
        let mut text = String::new();
        for (at_ms, one) in &seen[self.shown..] {
            // Writing to a string does not fail.
            let _written = writeln!(text, "{at_ms} ms: {}", describe(one));
        }
        self.shown = seen.len();
        text
    }

    fn verdict(&self) -> String {
        let verdict = self.world.record().verdict(self.world.works());
        format!(
            "requests {}, whole answers {}, promises broken {}\n",
            verdict.requests,
            verdict.answered_once,
            verdict.violations()
        )
    }
}

fn describe(seen: &Seen) -> String {
    match seen {
        Seen::Sent { request, work } => format!("caller sends work {} as {}", work.0, request.0),
        Seen::Heard { request, heard } => {
            let heard = match heard {
                Heard::Answer(_) => "the whole answer",
                Heard::NotRun => "not run",
                Heard::Unknown(_) => "outcome unknown",
                Heard::ConnectionLost => "a broken connection",
            };
            format!("caller of {} hears: {heard}", request.0)
        }
        Seen::Started {
            request,
            work,
            upstream,
        } => format!(
            "upstream {upstream} begins work {} for {}",
            work.0, request.0
        ),
        Seen::Stopped { request, upstream } => {
            format!("upstream {upstream} ends the work for {}", request.0)
        }
        Seen::CutOff { request } => format!("the shutdown cuts {} off", request.0),
        Seen::Leaving { upstream, leaving } => {
            format!("upstream {upstream} leaving: {leaving}")
        }
    }
}

impl Runner for Script {
    fn run(&mut self, command: &Command) -> Result<String, Box<dyn Error>> {
        match command.name.as_str() {
            "fleet" => {
                let mut args = command.consume_args();
                let entries = args.lookup_parse("entries")?.unwrap_or(2);
                let agents = args.lookup_parse("agents")?.unwrap_or(3);
                args.reject_rest()?;
                *self = Self::new(entries, agents);
                Ok(String::new())
            }
            "send" => self.send(command),
            "fault" => self.fault(command),
            "wait" => self.wait(command),
            "verdict" => Ok(self.verdict()),
            other => Err(format!("unknown command {other}").into()),
        }
    }
}

fn run(name: &str) {
    let path = format!("{}/tests/scenarios/{name}", env!("CARGO_MANIFEST_DIR"));
    goldenscript::run(&mut Script::new(2, 3), path).expect("a script that can be read");
}

macro_rules! scenarios {
    ($($test:ident: $file:literal,)*) => {
        $(#[test]
        fn $test() {
            run($file);
        })*
    };
}

scenarios! {
    scenario_agent_killed_while_running: "agent_killed_while_running",
    scenario_agent_paused_past_its_grant: "agent_paused_past_its_grant",
    scenario_entry_killed_and_retry_joins: "entry_killed_and_retry_joins",
    scenario_entry_paused_before_dispatch: "entry_paused_before_dispatch",
    scenario_host_gone_while_running: "host_gone_while_running",
    scenario_link_silent_while_streaming: "link_silent_while_streaming",
    scenario_order_across_entries: "order_across_entries",
    scenario_order_behind_a_dead_entry: "order_behind_a_dead_entry",
    scenario_refund_in_doubt: "refund_in_doubt",
    scenario_shutdown_in_flight: "shutdown_in_flight",
    scenario_store_down_for_a_refund: "store_down_for_a_refund",
    scenario_upstream_leaving: "upstream_leaving",
}
