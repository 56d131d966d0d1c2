//! Workload definition: streams of arrivals with rates, bursts and run times.

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

/// A workload: the streams of requests and jobs to generate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Seed of the random number generators; the same seed gives the same arrivals.
    #[serde(default)]
    pub seed: u64,
    /// Time over which arrivals are generated, in milliseconds.
    #[schemars(range(min = 1))]
    pub duration: u64,
    /// Streams of arrivals, generated independently of each other.
    pub streams: Vec<Stream>,
}

/// Arrivals of one kind of request or job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Profile of the requests or jobs.
    pub profile: ProfileName,
    /// Rate of the Poisson process outside bursts, in arrivals per second.
    #[schemars(range(min = 0.0))]
    pub rate: f64,
    /// Bursts; where several overlap, the highest factor counts.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// Distribution of run times.
    #[serde(default)]
    pub time: Time,
    /// Deadline from the intended send time, in milliseconds; absent for the profile's deadline.
    #[serde(default)]
    pub deadline: Option<u64>,
    /// Share of arrivals that carry an idempotency key, 0 to 1.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub keyed: f64,
    /// Share of the arrivals with an idempotency key that are sent a second time with the same key,
    /// 0 to 1.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub repeated: f64,
    /// Padding in the body of a request, in bytes.
    #[serde(default)]
    pub padding: u32,
    /// Form of the jobs; absent when the stream consists of requests.
    #[serde(default)]
    pub job: Option<Job>,
}

/// A burst: the rate ramps up linearly, stays high and ramps down.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Time at which the rate begins to rise, in milliseconds from the start.
    pub at: u64,
    /// Duration of the ramp up and of the ramp down, in milliseconds each.
    #[serde(default)]
    pub rise: u64,
    /// Duration of the peak between the ramps, in milliseconds.
    pub hold: u64,
    /// Rate at the peak, as a multiple of the normal rate.
    #[schemars(range(min = 1.0))]
    pub factor: f64,
}

/// A distribution of run times: log-normal, with a share of stragglers that take many times longer.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Time {
    /// Median run time, in milliseconds.
    #[schemars(range(min = 0.0))]
    pub median: f64,
    /// Standard deviation of the natural logarithm of the run time.
    #[schemars(range(min = 0.0, max = 5.0))]
    pub spread: f64,
    /// Share of stragglers, 0 to 1.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub stragglers: f64,
    /// Run time of a straggler, as a multiple of what it would take otherwise.
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

/// Form of the jobs of a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// Number of tasks of each job.
    #[schemars(range(min = 1, max = 10_000))]
    pub tasks: u32,
    /// Resources of each task; absent for the profile's demand.
    #[serde(default)]
    pub demand: Option<Resources>,
    /// Declared run time as a share of the actual one; 0 declares none.
    #[serde(default)]
    #[schemars(range(min = 0.0))]
    pub declared: f64,
    /// Fields of the task payload besides the run time, for instance `{"fail_until_attempt": 2}`.
    #[serde(default)]
    #[schemars(with = "serde_json::Map<String, serde_json::Value>")]
    pub payload: serde_json::Map<String, serde_json::Value>,
    /// Label that is added to the task payload; empty for none.
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
                "the list is empty".to_owned(),
                "add at least one stream",
            );
        }
        for (i, stream) in self.streams.iter().enumerate() {
            stream.check(i, source, findings);
        }
    }
}

impl Stream {
    /// Returns the rate at a time in milliseconds from the start, in arrivals per second.
    #[must_use]
    pub fn rate_at(&self, at: f64) -> f64 {
        self.rate * self.factor_at(at)
    }

    /// Returns the highest rate, in arrivals per second.
    #[must_use]
    pub fn peak_rate(&self) -> f64 {
        let factors = self.bursts.iter().map(|b| b.factor);
        self.rate * factors.fold(1.0, f64::max)
    }

    /// Returns whether a time in milliseconds from the start lies in the peak of a burst, between
    /// its ramps.
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
                "only arrivals with an idempotency key are repeated".to_owned(),
                "set keyed above 0",
            );
        }
        if self.job.is_some() && self.padding > 0 {
            findings.add(
                source,
                &format!("/streams/{at}/padding"),
                "padding applies to requests only".to_owned(),
                "use the payload of the job",
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
