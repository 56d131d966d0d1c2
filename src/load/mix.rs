//! A mix of work: streams of arrivals with rates, bursts and service times.

use compact_str::CompactString;
use schemars::JsonSchema;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    findings,
    ids::ProfileName,
    resources::Resources, //
};

/// What is sent, and when.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Seed of all that is drawn; the same seed gives the same arrivals.
    #[serde(default)]
    pub seed: u64,
    /// How long arrivals go on, in milliseconds.
    #[schemars(range(min = 1))]
    pub duration: u64,
    /// The streams.
    pub streams: Vec<Stream>,
}

/// Arrivals of one kind of work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// The profile that the work names.
    pub profile: ProfileName,
    /// Arrivals a second outside bursts, as a Poisson process.
    #[schemars(range(min = 0.0))]
    pub rate: f64,
    /// Times of higher rate.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// How long the work takes.
    #[serde(default)]
    pub time: Time,
    /// From the intended time to the end, in milliseconds; absent for the profile's deadline.
    #[serde(default)]
    pub deadline: Option<u64>,
    /// The share that is sent with an idempotency key, 0 to 1.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub keyed: f64,
    /// The share of the keyed that is sent a second time with the same key, 0 to 1.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub repeated: f64,
    /// Bytes of padding in the body of a request.
    #[serde(default)]
    pub padding: u32,
    /// Set when the work is jobs instead of requests.
    #[serde(default)]
    pub job: Option<Job>,
}

/// A time of higher rate.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// When the rate begins to rise, in milliseconds from the start.
    pub at: u64,
    /// How long it rises, and falls afterwards, in milliseconds.
    #[serde(default)]
    pub rise: u64,
    /// How long it stays high, in milliseconds.
    pub hold: u64,
    /// How many times the normal rate it reaches.
    #[schemars(range(min = 1.0))]
    pub factor: f64,
}

/// A distribution of run times: log-normal, with some work that takes many times longer.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Time {
    /// The median, in milliseconds.
    #[schemars(range(min = 0.0))]
    pub median: f64,
    /// The standard deviation of the logarithm.
    #[schemars(range(min = 0.0, max = 5.0))]
    pub spread: f64,
    /// The share of stragglers, 0 to 1.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub stragglers: f64,
    /// How many times longer a straggler takes.
    #[schemars(range(min = 1.0))]
    pub stretch: f64,
}

impl Default for Time {
    fn default() -> Self {
        Self {
            median: 5.0,
            spread: 0.0,
            stragglers: 0.0,
            stretch: 1.0,
        }
    }
}

/// The form of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// How many tasks.
    #[schemars(range(min = 1, max = 10_000))]
    pub tasks: u32,
    /// What each takes; absent for the profile's demand.
    #[serde(default)]
    pub demand: Option<Resources>,
    /// The declared run time as a share of the real one; 0 declares nothing.
    #[serde(default)]
    #[schemars(range(min = 0.0))]
    pub declared: f64,
    /// Words for the tasks beside their run time, for instance `{"fail_until_attempt": 2}`.
    #[serde(default)]
    #[schemars(with = "serde_json::Map<String, serde_json::Value>")]
    pub payload: serde_json::Map<String, serde_json::Value>,
    /// A name that the tasks are given.
    #[serde(default)]
    #[schemars(with = "String")]
    pub label: CompactString,
}

impl findings::Check for Mix {
    fn check(&self, source: &str, findings: &mut findings::Findings) {
        if self.streams.is_empty() {
            findings.add(
                source,
                "/streams",
                "found none, at least one is needed".to_owned(),
                "a mix without streams sends nothing",
            );
        }
        for (i, stream) in self.streams.iter().enumerate() {
            stream.check(i, source, findings);
        }
    }
}

impl Stream {
    /// The rate at a time in milliseconds from the start, in arrivals a second.
    #[must_use]
    pub fn rate_at(&self, at: f64) -> f64 {
        self.rate * self.factor_at(at)
    }

    /// The highest rate, in arrivals a second.
    #[must_use]
    pub fn peak_rate(&self) -> f64 {
        let factors = self.bursts.iter().map(|b| b.factor);
        self.rate * factors.fold(1.0, f64::max)
    }

    /// Whether a time in milliseconds from the start lies in the high part of a burst.
    #[must_use]
    pub fn at_peak(&self, at: f64) -> bool {
        self.bursts.iter().any(|b| b.at_peak(at))
    }

    fn factor_at(&self, at: f64) -> f64 {
        let factors = self.bursts.iter().map(|b| b.factor_at(at));
        factors.fold(1.0, f64::max)
    }

    fn check(&self, at: usize, source: &str, findings: &mut findings::Findings) {
        if self.repeated > 0.0 && self.keyed <= 0.0 {
            findings.add(
                source,
                &format!("/streams/{at}/repeated"),
                "work without a key is not repeated".to_owned(),
                "set keyed",
            );
        }
        if self.job.is_some() && self.padding > 0 {
            findings.add(
                source,
                &format!("/streams/{at}/padding"),
                "a job has no padding".to_owned(),
                "put it into the job's payload",
            );
        }
    }
}

impl Burst {
    fn factor_at(&self, at: f64) -> f64 {
        let (start, rise, hold) = (self.at as f64, self.rise as f64, self.hold as f64);
        let past = at - start;
        let share = if past < 0.0 || past > 2.0 * rise + hold {
            0.0
        } else if past < rise {
            past / rise
        } else if past <= rise + hold {
            1.0
        } else {
            (2.0 * rise + hold - past) / rise
        };
        1.0 + (self.factor - 1.0) * share
    }

    fn at_peak(&self, at: f64) -> bool {
        let start = (self.at + self.rise) as f64;
        at >= start && at <= start + self.hold as f64
    }
}
