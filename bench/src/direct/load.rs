//! What callers offer: three kinds of streams as on the users' sheets, by patterns of load.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::Distribution;
use rand_distr::Exp;
use rand_distr::LogNormal;

/// Prompt tokens that an engine of speed 1 reads in a millisecond, from the users' sheets.
pub const PREFILL_TOKENS_PER_MS: f64 = 63.9;
/// Time of an output token at speed 1, likewise.
pub const STEP_MS: f64 = 3.7;
/// Part of a request's worth that does not depend on its size, likewise.
const FIXED_WORTH: f64 = 0.3;
/// The most that a large request is worth, in relation to a usual one of its kind, likewise.
const MOST_WORTH: f64 = 4.0;
/// Weight of an output token in a request's size, likewise.
const OUTPUT_WEIGHT: f64 = 10.0;
/// Spread of prompts, and of answers of usual kinds, as the sigma of a lognormal distribution.
const SPREAD: f64 = 0.8;
/// Spread of answers most of which are short and a few very long.
const SKEWED_SPREAD: f64 = 1.38;
/// The longest of these in relation to a usual one, likewise.
const SKEWED_MOST: f64 = 10.0;
/// Spread of what callers guess of an answer's length around the truth, likewise.
const HINT_SPREAD: f64 = 0.5;

/// One kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// What it is called in reports.
    pub name: &'static str,
    /// Its tier.
    pub tier: u8,
    /// What one of usual size is worth in time.
    pub worth: f64,
    /// What it is worth late.
    pub late_worth: f64,
    /// Part of all requests.
    pub part: f64,
    /// Usual prompt.
    pub prompt_tokens: f64,
    /// Usual answer.
    pub output_tokens: f64,
    /// Spread of answers, as the sigma of a lognormal distribution.
    pub output_spread: f64,
    /// The longest answer in relation to the usual one.
    pub most_output: f64,
    /// Until when it is worth most.
    pub objective_ms: u64,
    /// When its caller leaves in any case.
    pub deadline_ms: u64,
}

/// How many kinds come together.
pub const KINDS: usize = 3;

/// Kinds of streams that come together.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// What it is called in reports.
    pub name: &'static str,
    /// Its kinds, the most important first.
    pub kinds: [Kind; KINDS],
}

/// All mixes and their names.
pub const MIXES: [(&str, &Mix); 3] = [
    (DISPUTES.name, &DISPUTES),
    (REPORTS.name, &REPORTS),
    (SKEWED_REPORTS.name, &SKEWED_REPORTS),
];

/// Streams that last for a second or more, whose objectives leave time for reading.
pub const DISPUTES: Mix = Mix {
    name: "disputes",
    kinds: [
        Kind {
            name: "dispute",
            tier: 0,
            worth: 5.8,
            late_worth: 1.7,
            part: 0.29,
            prompt_tokens: 3_720.0,
            output_tokens: 120.0,
            output_spread: SPREAD,
            most_output: f64::INFINITY,
            objective_ms: 600,
            deadline_ms: 10_000,
        },
        Kind {
            name: "recon",
            tier: 1,
            worth: 2.7,
            late_worth: 0.8,
            part: 0.22,
            prompt_tokens: 2_890.0,
            output_tokens: 52.0,
            output_spread: SPREAD,
            most_output: f64::INFINITY,
            objective_ms: 500,
            deadline_ms: 5_000,
        },
        Kind {
            name: "note",
            tier: 2,
            worth: 0.26,
            late_worth: 0.078,
            part: 0.49,
            prompt_tokens: 1_110.0,
            output_tokens: 172.0,
            output_spread: SPREAD,
            most_output: f64::INFINITY,
            objective_ms: 400,
            deadline_ms: 10_000,
        },
    ],
};

/// The most important has long prompts and long answers, the second long answers to short prompts,
/// the third answers of a few tokens to long prompts: reading is most of its time and nearly all of
/// its objective.
pub const REPORTS: Mix = Mix {
    name: "reports",
    kinds: [
        Kind {
            name: "report",
            tier: 0,
            worth: 7.8,
            late_worth: 2.4,
            part: 0.23,
            prompt_tokens: 6_610.0,
            output_tokens: 380.0,
            output_spread: SPREAD,
            most_output: f64::INFINITY,
            objective_ms: 500,
            deadline_ms: 12_000,
        },
        Kind {
            name: "summary",
            tier: 1,
            worth: 2.0,
            late_worth: 0.6,
            part: 0.36,
            prompt_tokens: 628.0,
            output_tokens: 290.0,
            output_spread: SPREAD,
            most_output: f64::INFINITY,
            objective_ms: 300,
            deadline_ms: 10_000,
        },
        Kind {
            name: "tag",
            tier: 2,
            worth: 0.34,
            late_worth: 0.1,
            part: 0.41,
            prompt_tokens: 1_800.0,
            output_tokens: 27.0,
            output_spread: SPREAD,
            most_output: f64::INFINITY,
            objective_ms: 300,
            deadline_ms: 2_500,
        },
    ],
};

/// The same kinds with answers most of which are short and a few very long. Only fast engines end the
/// longest before their callers leave.
pub const SKEWED_REPORTS: Mix = Mix {
    name: "skewed-reports",
    kinds: [
        skewed(REPORTS.kinds[0]),
        skewed(REPORTS.kinds[1]),
        skewed(REPORTS.kinds[2]),
    ],
};

const fn skewed(kind: Kind) -> Kind {
    Kind {
        output_spread: SKEWED_SPREAD,
        most_output: SKEWED_MOST,
        ..kind
    }
}

/// How load comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pattern {
    /// Evenly.
    Steady,
    /// Twice as much of all for a third of the run.
    Burst,
    /// Three times as many notes for a third of the run.
    BurstOfOneKind,
    /// Half of all callers at one entry.
    OneEntry,
    /// Half of the engines gone for a third of the run.
    HalfLost,
}

impl Pattern {
    /// All patterns and their names.
    pub const ALL: [(&'static str, Self); 5] = [
        ("steady", Self::Steady),
        ("burst", Self::Burst),
        ("burst-of-one-kind", Self::BurstOfOneKind),
        ("one-entry", Self::OneEntry),
        ("half-lost", Self::HalfLost),
    ];
}

/// One request that a caller sends.
#[derive(Clone, Copy, Debug)]
pub struct Offered {
    /// Index of its kind.
    pub kind: usize,
    /// The kinds that it comes with.
    pub mix: &'static Mix,
    /// When it is sent.
    pub at_ms: u64,
    /// The entry that its caller is led to.
    pub entry: usize,
    /// Its prompt.
    pub prompt_tokens: u32,
    /// Its answer.
    pub output_tokens: u32,
    /// What its caller guesses of that.
    pub hint_tokens: u32,
}

impl Offered {
    /// Its kind.
    #[must_use]
    pub fn kind(&self) -> &'static Kind {
        &self.mix.kinds[self.kind]
    }

    /// Its size in relation to a usual one of its kind.
    #[must_use]
    pub fn relative_size(&self) -> f64 {
        let size = |prompt: f64, output: f64| prompt + OUTPUT_WEIGHT * output;
        let kind = self.kind();
        size(self.prompt_tokens.into(), self.output_tokens.into())
            / size(kind.prompt_tokens, kind.output_tokens)
    }

    /// What it is worth in time; late, the same part of its kind's worth late.
    #[must_use]
    pub fn worth(&self, is_in_time: bool) -> f64 {
        let kind = self.kind();
        let usual = if is_in_time {
            kind.worth
        } else {
            kind.late_worth
        };
        usual * (FIXED_WORTH + (1.0 - FIXED_WORTH) * self.relative_size()).min(MOST_WORTH)
    }

    /// How long it holds a slot of an engine of speed 1.
    #[must_use]
    pub fn cost_ms(&self) -> f64 {
        self.prefill_ms() + f64::from(self.output_tokens) * STEP_MS
    }

    /// How long its prompt is read there.
    #[must_use]
    pub fn prefill_ms(&self) -> f64 {
        f64::from(self.prompt_tokens) / PREFILL_TOKENS_PER_MS
    }
}

/// How much is offered, and where.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// Which kinds come.
    pub mix: &'static Mix,
    /// Part of what the engines can do that is offered outside bursts.
    pub load: f64,
    /// What the engines can do: slot time of speed 1 in a millisecond.
    pub capacity: f64,
    /// When load begins.
    pub from_ms: u64,
    /// When it ends.
    pub to_ms: u64,
    /// Entries to which callers are led.
    pub entries: usize,
    /// How it comes.
    pub pattern: Pattern,
}

impl Offer {
    /// The third of the run in which a burst or a loss happens.
    #[must_use]
    pub fn middle_ms(&self) -> (u64, u64) {
        let third_ms = (self.to_ms - self.from_ms) / 3;
        (self.from_ms + third_ms, self.from_ms + 2 * third_ms)
    }

    /// Draws the requests of a run.
    #[must_use]
    pub fn draw(&self, seed: u64) -> Vec<Offered> {
        let mut random = StdRng::seed_from_u64(seed);
        let mean_cost_ms: f64 = self
            .mix
            .kinds
            .iter()
            .map(|kind| {
                kind.part
                    * (kind.prompt_tokens / PREFILL_TOKENS_PER_MS + kind.output_tokens * STEP_MS)
            })
            .sum();
        let per_ms = self.load * self.capacity / mean_cost_ms;
        let mut all = Vec::new();
        for kind in 0..KINDS {
            self.draw_kind(kind, per_ms, &mut random, &mut all);
        }
        all.sort_by_key(|offered: &Offered| offered.at_ms);
        all
    }

    fn draw_kind(&self, kind: usize, per_ms: f64, random: &mut StdRng, all: &mut Vec<Offered>) {
        let (begins_ms, ends_ms) = self.middle_ms();
        let most = match self.pattern {
            Pattern::Burst => 2.0,
            Pattern::BurstOfOneKind if kind == 2 => 3.0,
            _ => 1.0,
        };
        let Ok(gaps) = Exp::new(per_ms * self.mix.kinds[kind].part * most) else {
            return;
        };
        let mut at = sardinewood::numbers::as_f64(self.from_ms);
        loop {
            at += gaps.sample(random);
            let at_ms = sardinewood::numbers::whole_u64(at);
            if at_ms >= self.to_ms {
                return;
            }
            // Outside the burst the surplus is thinned out.
            let is_burst = (begins_ms..ends_ms).contains(&at_ms);
            if !is_burst && random.random::<f64>() * most > 1.0 {
                continue;
            }
            all.push(self.one(kind, at_ms, random));
        }
    }

    fn one(&self, kind: usize, at_ms: u64, random: &mut StdRng) -> Offered {
        let usual = &self.mix.kinds[kind];
        let output = spread(usual.output_tokens, usual.output_spread, random);
        let most = sardinewood::numbers::whole_u32(usual.output_tokens * usual.most_output);
        let output = output.min(most);
        let hint = spread(f64::from(output), HINT_SPREAD, random);
        let is_at_first = self.pattern == Pattern::OneEntry && random.random::<bool>();
        Offered {
            kind,
            mix: self.mix,
            at_ms,
            entry: if is_at_first {
                0
            } else {
                random.random_range(0..self.entries)
            },
            prompt_tokens: spread(usual.prompt_tokens, SPREAD, random),
            output_tokens: output,
            hint_tokens: hint,
        }
    }
}

/// A number around a mean, at least 1.
fn spread(mean: f64, sigma: f64, random: &mut StdRng) -> u32 {
    let mu = mean.max(1.0).ln() - sigma * sigma / 2.0;
    let drawn = LogNormal::new(mu, sigma).map_or(mean, |around| around.sample(random));
    sardinewood::numbers::whole_u32(drawn).max(1)
}

/// The most that could be earned by a scheduler that knows all requests beforehand, may cut
/// engines into pieces, and serves everything in time: the requests worth most for their time
/// go first, until the engines' time is used up.
#[must_use]
pub fn bound(offered: &[Offered], capacity_ms: f64) -> f64 {
    let mut order: Vec<&Offered> = offered.iter().collect();
    let density = |offered: &Offered| offered.worth(true) / offered.cost_ms();
    order.sort_by(|left, right| density(right).total_cmp(&density(left)));
    let mut left_ms = capacity_ms;
    let mut worth = 0.0;
    for offered in order {
        let part = (left_ms / offered.cost_ms()).clamp(0.0, 1.0);
        worth += offered.worth(true) * part;
        left_ms -= offered.cost_ms() * part;
    }
    worth
}
