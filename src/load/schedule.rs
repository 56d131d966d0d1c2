//! Arrivals, generated from a mix or read from a file of JSON lines.

use std::{
    fs,
    path::Path, //
};

use compact_str::CompactString;
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::{
    Map,
    Value, //
};

use crate::{
    ids::{
        IdempotencyKey,
        ProfileName, //
    },
    load::{
        Error,
        mix::{
            self,
            Mix,
            Stream,
            Time, //
        }, //
    },
    resources::Resources,
    wire::caller, //
};

/// Microseconds per millisecond.
const MICROS_PER_MS: f64 = 1_000.0;

/// Range of the delay between an arrival and its repeat, in milliseconds.
const REPEAT_DELAY_MS: std::ops::Range<f64> = 1.0..500.0;

/// One request or job to send.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arrival {
    /// Intended send time, in microseconds from the start.
    pub at: u64,
    /// Profile of the request or job.
    pub profile: ProfileName,
    /// Name of the work; a repeat has the same name.
    pub work: CompactString,
    /// Run time, in milliseconds.
    pub time: u64,
    /// Deadline from the intended send time, in milliseconds; absent for the profile's deadline.
    #[serde(default)]
    pub deadline: Option<u64>,
    /// Idempotency key, if the arrival carries one.
    #[serde(default)]
    pub key: Option<IdempotencyKey>,
    /// Padding in the body of a request, in bytes.
    #[serde(default)]
    pub padding: u32,
    /// Whether the intended send time lies in the peak of a burst.
    #[serde(default)]
    pub crest: bool,
    /// Job-specific fields; absent for a request.
    #[serde(default)]
    pub job: Option<Job>,
}

/// Fields of an arrival that is a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources of each task; absent for the profile's demand.
    #[serde(default)]
    pub demand: Option<Resources>,
    /// Declared run time, in milliseconds; 0 for none.
    #[serde(default)]
    pub estimate: u64,
    /// Fields of the task payload besides the name of the work and the run time.
    #[serde(default)]
    pub payload: Map<String, Value>,
}

impl Arrival {
    /// Returns the body of the request.
    #[must_use]
    pub fn body(&self) -> Value {
        serde_json::json!({
            "work": self.work,
            "service_ms": self.time,
            "padding": "x".repeat(self.padding as usize),
        })
    }

    /// Returns the job to submit; none if the arrival is a request.
    #[must_use]
    pub fn submission(&self) -> Option<caller::Job> {
        let job = self.job.as_ref()?;
        let mut payload = job.payload.clone();
        payload.insert("work".to_owned(), self.work.as_str().into());
        payload.insert("run_ms".to_owned(), self.time.into());
        Some(caller::Job {
            profile: self.profile.clone(),
            tasks: job.tasks,
            demand: job.demand,
            estimate: job.estimate,
            deadline: self.deadline,
            key: self.key.clone(),
            payload: Value::Object(payload),
        })
    }
}

/// Generates the arrivals of a mix, sorted by time. `scale` multiplies all rates; `run` prefixes
/// the names of the work, so that they differ between runs.
#[must_use]
pub fn generate(mix: &Mix, scale: f64, run: &str) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (i, stream) in mix.streams.iter().enumerate() {
        let seed = mix.seed.wrapping_mul(1_000_003).wrapping_add(i as u64);
        let mut generator = Generator {
            rng: SmallRng::seed_from_u64(seed),
            prefix: format!("{run}-{i}"),
            stream,
        };
        generator.generate_into(mix.duration as f64, scale, &mut arrivals);
    }
    arrivals.sort_by(|a, b| (a.at, &a.work).cmp(&(b.at, &b.work)));
    arrivals
}

/// Reads recorded arrivals, one JSON object per line, and sorts them by time.
///
/// # Errors
///
/// Returns an error if the file cannot be read or a line is malformed.
pub fn read(path: &Path) -> Result<Vec<Arrival>, Error> {
    let text = fs::read_to_string(path).map_err(|e| Error::File(path.into(), e))?;
    let lines = text.lines().enumerate();
    let nonempty = lines.filter(|(_, line)| !line.trim().is_empty());
    let parse = |(i, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|e| Error::MalformedLine(path.into(), i + 1, e))
    };
    let mut arrivals: Vec<Arrival> = nonempty.map(parse).collect::<Result<_, _>>()?;
    arrivals.sort_by_key(|a| a.at);
    Ok(arrivals)
}

/// Writes arrivals, one JSON object per line.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn write(path: &Path, arrivals: &[Arrival]) -> Result<(), Error> {
    let mut text = String::new();
    for arrival in arrivals {
        text += &serde_json::to_string(arrival).map_err(Error::Json)?;
        text.push('\n');
    }
    fs::write(path, text).map_err(|e| Error::File(path.into(), e))
}

/// Generates the arrivals of one stream.
struct Generator<'a> {
    rng: SmallRng,
    prefix: String,
    stream: &'a Stream,
}

impl Generator<'_> {
    /// Generates a non-homogeneous Poisson process by thinning: candidates arrive at the peak rate
    /// and are kept with the ratio of the current rate to the peak rate.
    fn generate_into(&mut self, duration: f64, scale: f64, arrivals: &mut Vec<Arrival>) {
        let peak = self.stream.peak_rate() * scale;
        if peak <= 0.0 {
            return;
        }
        let mut at = 0.0;
        let mut number = 0;
        loop {
            at += -self.uniform().ln() / peak * 1_000.0;
            if at >= duration {
                return;
            }
            let kept = self.uniform() * peak <= self.stream.rate_at(at) * scale;
            if kept {
                self.push_arrival(at, number, arrivals);
                number += 1;
            }
        }
    }

    fn push_arrival(&mut self, at: f64, number: u64, arrivals: &mut Vec<Arrival>) {
        let stream = self.stream;
        let work = format!("{}-{number}", self.prefix);
        let keyed = self.uniform() < stream.keyed;
        let repeated = keyed && self.uniform() < stream.repeated;
        let time = self.run_time(&stream.time);
        let arrival = Arrival {
            at: (at * MICROS_PER_MS) as u64,
            profile: stream.profile.clone(),
            key: work.parse().ok().filter(|_| keyed),
            work: work.into(),
            time,
            deadline: stream.deadline,
            padding: stream.padding,
            crest: stream.at_peak(at),
            job: stream.job.as_ref().map(|job| job_spec(job, time)),
        };
        if repeated {
            let later = self.rng.random_range(REPEAT_DELAY_MS) * MICROS_PER_MS;
            arrivals.push(Arrival {
                at: arrival.at + later as u64,
                ..arrival.clone()
            });
        }
        arrivals.push(arrival);
    }

    fn run_time(&mut self, time: &Time) -> u64 {
        let radius = (-2.0 * self.uniform().ln()).sqrt();
        let angle = self.uniform() * std::f64::consts::TAU;
        let factor = (time.spread * radius * angle.cos()).exp();
        let stretch = match self.uniform() < time.stragglers {
            true => time.stretch,
            false => 1.0,
        };
        (time.median * factor * stretch).round() as u64
    }

    /// Draws a uniform number above 0 and below 1.
    fn uniform(&mut self) -> f64 {
        self.rng.random_range(f64::MIN_POSITIVE..1.0)
    }
}

fn job_spec(job: &mix::Job, time: u64) -> Job {
    let mut payload = job.payload.clone();
    if !job.label.is_empty() {
        payload.insert("label".to_owned(), job.label.as_str().into());
    }
    Job {
        tasks: job.tasks,
        demand: job.demand,
        estimate: (job.declared * time as f64) as u64,
        payload,
    }
}
