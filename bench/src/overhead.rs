//! `overhead`: what an entry and its agents add to a call, and what they can carry.

use std::time::Duration;

use eyre::bail;
use hdrhistogram::Histogram;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use reqwest::Client;
use sardinewood::numbers::as_f64;
use serde::Serialize;
use testutils::engine_settings::EngineSettings;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::command::print_line;
use crate::cpu_time;
use crate::cpu_time::CpuByRole;
use crate::load_client;
use crate::load_client::Chat;
use crate::load_client::ChatTimes;
use crate::loopback_fleet;
use crate::loopback_fleet::FleetSize;
use crate::loopback_fleet::LoopbackFleet;

/// What `overhead --help` prints.
const HELP: &str = "\
Usage: sardinewood-bench overhead [OPTIONS]

Prints JSON lines: time added to the first token and to each further one beside a
direct call to the same engine, then what one entry carries at a steady rate.

Options:
  --requests N        calls of each kind for the added time [default: 2000]
  --rate N            requests a second of the steady load [default: 850]
  --output-tokens N   tokens of each answer of the steady load [default: 424]
  --seconds N         length of the steady load [default: 10]
  --entry-threads N   threads for the entry's traffic [default: 4]
";

/// Callers that call one after another while added time is measured.
const LATENCY_CALLERS: usize = 4;

/// Tokens of an answer while added time is measured.
const LATENCY_TOKENS: u32 = 16;

/// Step of the engine while added time is measured.
const LATENCY_STEP_US: u64 = 2_000;

/// Longest pause before a call. Answers end on a step of the engine, and a caller that goes
/// on at once would stay in phase with the steps: the wait for the next step would then hide
/// whatever the entry adds. A pause of random length up to some steps breaks the phase.
const LATENCY_PAUSE_US: u64 = 10_000;

/// Engines under the steady load.
const LOAD_ENGINES: usize = 24;

/// Step of the engines under the steady load.
const LOAD_STEP_US: u64 = 10_000;

/// How long the fleet is watched while nobody calls.
const IDLE_TIME: Duration = Duration::from_secs(4);

/// A long answer and a short one, to tell the cost of a token from that of a request.
const SHORT_ANSWER_TOKENS: u32 = 8;

/// Largest time that the histograms hold.
const LONGEST_US: u64 = 120_000_000;

/// What the user asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Calls of each kind for the added time.
    pub requests: usize,
    /// Requests a second of the steady load.
    pub rate: u64,
    /// Tokens of each answer of the steady load.
    pub output_tokens: u32,
    /// Length of the steady load.
    pub seconds: u64,
    /// Threads for the entry's traffic.
    pub entry_threads: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            requests: 2_000,
            rate: 850,
            output_tokens: 424,
            seconds: 10,
            entry_threads: 4,
        }
    }
}

/// Times of many chats.
struct Times {
    first_token_us: Histogram<u64>,
    gap_us: Histogram<u64>,
    answered: u64,
    failed: u64,
    tokens: u64,
}

/// The time that is added to a call.
#[derive(Debug, Serialize)]
struct TimeBeside {
    figure: &'static str,
    requests: u64,
    direct_first_token_p50_us: u64,
    direct_first_token_p99_us: u64,
    entry_first_token_p50_us: u64,
    entry_first_token_p99_us: u64,
    added_first_token_p50_us: i64,
    added_first_token_p99_us: i64,
    added_gap_p50_us: i64,
    added_gap_p99_us: i64,
}

/// What was carried, and at which cost.
#[derive(Debug, Serialize)]
struct Carried {
    figure: &'static str,
    offered_per_s: u64,
    output_tokens: u32,
    seconds: f64,
    answered: u64,
    failed: u64,
    requests_per_s: f64,
    tokens_per_s: f64,
    first_token_p50_us: u64,
    first_token_p95_us: u64,
    gap_p50_us: u64,
    gap_p95_us: u64,
    cpu_us: CpuByRole,
    resident_bytes: u64,
}

/// What the fleet costs while nobody calls.
#[derive(Debug, Serialize)]
struct Idle {
    figure: &'static str,
    agents: usize,
    entry_cpu_us_per_s: f64,
    cpu_us_per_s_of_an_agent: f64,
}

/// The cost of one more request and of one more token.
#[derive(Debug, Serialize)]
struct UnitCost {
    figure: &'static str,
    role: &'static str,
    cpu_us_per_request: f64,
    cpu_us_per_token: f64,
}

/// Measures and prints.
///
/// # Errors
///
/// The arguments are not understood, or the fleet can't start.
pub fn run(parser: Parser) -> eyre::Result<()> {
    let Some(options) = parse(parser)? else {
        print!("{HELP}");
        return Ok(());
    };
    print_line(&added_time(&options)?)?;
    print_line(&idle(&options)?)?;
    let short = carried(&options, SHORT_ANSWER_TOKENS)?;
    print_line(&short)?;
    let long = carried(&options, options.output_tokens)?;
    print_line(&long)?;
    for role in ["entry", "agent"] {
        print_line(&unit_cost(role, &short, &long))?;
    }
    Ok(())
}

/// Reads the options; `None` where help was asked for.
///
/// # Errors
///
/// The arguments are not understood.
///
/// ```
/// use sardinewood_bench::overhead::parse;
///
/// let options = parse(lexopt::Parser::from_args(["--rate", "100"])).unwrap().unwrap();
/// assert_eq!(options.rate, 100);
/// ```
pub fn parse(mut parser: Parser) -> eyre::Result<Option<Options>> {
    let mut options = Options::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Long("requests") => options.requests = parser.value()?.parse()?,
            Arg::Long("rate") => options.rate = parser.value()?.parse()?,
            Arg::Long("output-tokens") => options.output_tokens = parser.value()?.parse()?,
            Arg::Long("seconds") => options.seconds = parser.value()?.parse()?,
            Arg::Long("entry-threads") => options.entry_threads = parser.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    if options.rate == 0 || options.seconds == 0 || options.entry_threads == 0 {
        bail!("--rate, --seconds and --entry-threads are at least 1");
    }
    if options.output_tokens <= SHORT_ANSWER_TOKENS {
        bail!("--output-tokens is more than {SHORT_ANSWER_TOKENS}, to tell tokens from requests");
    }
    Ok(Some(options))
}

/// Direct calls and calls through an entry take turns, so that both see the same machine.
fn added_time(options: &Options) -> eyre::Result<TimeBeside> {
    let fleet = LoopbackFleet::start(&FleetSize {
        engines: 1,
        engine: EngineSettings {
            step_us: LATENCY_STEP_US,
            batch_slots: 64,
            ..EngineSettings::default()
        },
        entry_threads: options.entry_threads,
        agent_threads: 2,
        engine_threads: 2,
    })?;
    let direct_url = fleet.engines[0].url();
    let entry_url = fleet.entry_url();
    let load = loopback_fleet::runtime("load", 2)?;
    let (direct, through) = load.block_on(async {
        let client = load_client::client()?;
        let mut callers = JoinSet::new();
        for caller in 0..LATENCY_CALLERS {
            let client = client.clone();
            let urls = [direct_url.clone(), entry_url.clone()];
            let calls = options.requests / LATENCY_CALLERS;
            callers.spawn(call_in_turns(client, urls, caller, calls));
        }
        let mut direct = Times::new()?;
        let mut through = Times::new()?;
        while let Some(done) = callers.join_next().await {
            let [to_direct, to_entry] = done??;
            direct.add_all(&to_direct);
            through.add_all(&to_entry);
        }
        eyre::Ok((direct, through))
    })?;
    Ok(compare(&direct, &through))
}

async fn call_in_turns(
    client: Client,
    urls: [String; 2],
    caller: usize,
    calls: usize,
) -> eyre::Result<[Vec<ChatTimes>; 2]> {
    let mut times = [Vec::new(), Vec::new()];
    for call in 0..calls {
        for (url, times) in urls.iter().zip(&mut times) {
            let pause_us = rand::random_range(0..LATENCY_PAUSE_US);
            tokio::time::sleep(Duration::from_micros(pause_us)).await;
            let prompt = format!("caller {caller} asks {call}");
            let chat = chat(url.clone(), prompt, LATENCY_TOKENS);
            times.push(load_client::stream_chat(&client, &chat).await?);
        }
    }
    Ok(times)
}

fn compare(direct: &Times, through: &Times) -> TimeBeside {
    let added = |histogram: fn(&Times) -> &Histogram<u64>, quantile: f64| {
        let with = histogram(through).value_at_quantile(quantile);
        let without = histogram(direct).value_at_quantile(quantile);
        with.cast_signed() - without.cast_signed()
    };
    TimeBeside {
        figure: "added_time",
        requests: through.answered,
        direct_first_token_p50_us: direct.first_token_us.value_at_quantile(0.5),
        direct_first_token_p99_us: direct.first_token_us.value_at_quantile(0.99),
        entry_first_token_p50_us: through.first_token_us.value_at_quantile(0.5),
        entry_first_token_p99_us: through.first_token_us.value_at_quantile(0.99),
        added_first_token_p50_us: added(|times| &times.first_token_us, 0.5),
        added_first_token_p99_us: added(|times| &times.first_token_us, 0.99),
        added_gap_p50_us: added(|times| &times.gap_us, 0.5),
        added_gap_p99_us: added(|times| &times.gap_us, 0.99),
    }
}

/// What heartbeats, probes and timers alone cost.
fn idle(options: &Options) -> eyre::Result<Idle> {
    let fleet = LoopbackFleet::start(&load_size(options, SHORT_ANSWER_TOKENS))?;
    let agents = fleet.engines.len();
    let before = cpu_time::by_role();
    std::thread::sleep(IDLE_TIME);
    let used = cpu_time::since(&before);
    let per_s = |role: &str| {
        let used_us = used.get(role).copied().unwrap_or(0);
        as_f64(used_us) / IDLE_TIME.as_secs_f64()
    };
    Ok(Idle {
        figure: "idle",
        agents,
        entry_cpu_us_per_s: per_s("entry"),
        cpu_us_per_s_of_an_agent: per_s("agent") / as_f64(agents as u64),
    })
}

/// A steady rate of calls through one entry, whatever the answers do.
fn carried(options: &Options, output_tokens: u32) -> eyre::Result<Carried> {
    let fleet = LoopbackFleet::start(&load_size(options, output_tokens))?;
    let url = fleet.entry_url();
    let load = loopback_fleet::runtime("load", 4)?;
    let client = load_client::client()?;
    let before = cpu_time::by_role();
    let begin = Instant::now();
    let times = load.block_on(call_steadily(client, url, options, output_tokens))?;
    let seconds = begin.elapsed().as_secs_f64();
    Ok(Carried {
        figure: "carried",
        offered_per_s: options.rate,
        output_tokens,
        seconds,
        answered: times.answered,
        failed: times.failed,
        requests_per_s: as_f64(times.answered) / seconds,
        tokens_per_s: as_f64(times.tokens) / seconds,
        first_token_p50_us: times.first_token_us.value_at_quantile(0.5),
        first_token_p95_us: times.first_token_us.value_at_quantile(0.95),
        gap_p50_us: times.gap_us.value_at_quantile(0.5),
        gap_p95_us: times.gap_us.value_at_quantile(0.95),
        cpu_us: cpu_time::since(&before),
        resident_bytes: cpu_time::resident_bytes(),
    })
}

/// Engines with half as much room again as the load needs, so that they are not what is
/// measured.
fn load_size(options: &Options, output_tokens: u32) -> FleetSize {
    let answer_us = u64::from(output_tokens) * LOAD_STEP_US;
    let running = options.rate * answer_us / 1_000_000;
    let slots = (running * 3 / 2 / LOAD_ENGINES as u64).max(8);
    FleetSize {
        engines: LOAD_ENGINES,
        engine: EngineSettings {
            step_us: LOAD_STEP_US,
            batch_slots: usize::try_from(slots).unwrap_or(usize::MAX),
            kv_capacity_tokens: 10_000_000,
            prefill_tokens_per_s: 1_000_000,
            ..EngineSettings::default()
        },
        entry_threads: options.entry_threads,
        agent_threads: 4,
        engine_threads: 4,
    }
}

async fn call_steadily(
    client: Client,
    url: String,
    options: &Options,
    output_tokens: u32,
) -> eyre::Result<Times> {
    let pause = Duration::from_secs(1) / u32::try_from(options.rate)?;
    let mut ticks = tokio::time::interval(pause);
    let mut calls = JoinSet::new();
    for number in 0..options.rate * options.seconds {
        ticks.tick().await;
        let client = client.clone();
        let chat = chat(url.clone(), format!("call {number}"), output_tokens);
        calls.spawn(async move { load_client::stream_chat(&client, &chat).await });
    }
    let mut times = Times::new()?;
    while let Some(done) = calls.join_next().await {
        match done? {
            Ok(one) => times.add(&one),
            Err(_) => times.failed += 1,
        }
    }
    Ok(times)
}

fn unit_cost(role: &'static str, short: &Carried, long: &Carried) -> UnitCost {
    let used_us = |carried: &Carried| {
        let used_us = carried.cpu_us.get(role).copied().unwrap_or(0);
        as_f64(used_us) / as_f64(carried.answered.max(1))
    };
    let more_tokens = f64::from(long.output_tokens - short.output_tokens);
    let cpu_us_per_token = (used_us(long) - used_us(short)) / more_tokens;
    let short_tokens_us = cpu_us_per_token * f64::from(short.output_tokens);
    UnitCost {
        figure: "unit_cost",
        role,
        cpu_us_per_request: used_us(short) - short_tokens_us,
        cpu_us_per_token,
    }
}

fn chat(base_url: String, prompt: String, output_tokens: u32) -> Chat {
    Chat {
        base_url,
        key: loopback_fleet::KEY.to_owned(),
        model: loopback_fleet::MODEL.to_owned(),
        prompt,
        output_tokens,
    }
}

impl Times {
    fn new() -> eyre::Result<Self> {
        Ok(Self {
            first_token_us: Histogram::new_with_max(LONGEST_US, 3)?,
            gap_us: Histogram::new_with_max(LONGEST_US, 3)?,
            answered: 0,
            failed: 0,
            tokens: 0,
        })
    }

    fn add_all(&mut self, all: &[ChatTimes]) {
        for one in all {
            self.add(one);
        }
    }

    fn add(&mut self, one: &ChatTimes) {
        if !one.whole {
            self.failed += 1;
            return;
        }
        self.answered += 1;
        self.tokens += u64::from(one.output_tokens);
        self.first_token_us.saturating_record(one.first_token_us);
        for gap_us in &one.gaps_us {
            self.gap_us.saturating_record(*gap_us);
        }
    }
}
