//! The measures, and the workloads and simulations that they share.

use std::sync::Arc;

use quick_error::quick_error;

use crate::{
    bench::{
        arrivals::{
            Request,
            RunTimes,
            Work, //
        },
        early_binding::{
            EarlyBinding, //
            Route,
        },
        late_binding::LateBinding,
        report::Line,
        sim::{
            self,
            Outage, //
        },
        tally::Tally,
    },
    configs,
    ids,
    profile::Profile,
    resources::Resources, //
};

pub mod blocking;
pub mod crest;
pub mod decide;
pub mod pack;
pub mod place;
pub mod replay;
pub mod storm;
pub mod wait;

/// Number of workers.
pub const WORKERS: usize = 48;

/// Simulated time after the last arrival, in which open requests end.
pub const DRAIN_MS: u64 = 70_000;

/// Number of entry instances, all in one availability zone.
pub const INSTANCES: usize = 7;

/// Number of slots of each worker.
pub const SLOTS: u32 = 8;

/// Number of slots of all workers.
pub const ALL_SLOTS: u32 = WORKERS as u32 * SLOTS;

/// Capacity of each worker.
pub const CAPACITY: Resources = Resources {
    millicores: 16_000,
    memory: 65_536,
    accelerators: 0,
    slots: SLOTS,
    connections: 64,
};

/// Options of a measure.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Seed of the random number generators.
    pub seed: u64,
    /// Whether to run a shorter version.
    pub quick: bool,
}

impl Options {
    /// Returns `quick` in quick runs and `full` otherwise.
    #[must_use]
    pub fn choose(&self, full: u64, quick: u64) -> u64 {
        if self.quick { quick } else { full }
    }
}

quick_error! {
    /// Errors in the setup of a measure.
    #[derive(Debug)]
    pub enum Error {
        /// A name in the benchmark is invalid.
        Name(e: ids::Error) {
            from()
            display("invalid name in the benchmark: {e}")
            source(e)
        }
        /// A profile in the benchmark is invalid, or a value could not be serialised.
        Profile(e: serde_json::Error) {
            from()
            display("invalid profile or value in the benchmark: {e}")
            source(e)
        }
    }
}

/// A measure: its name and the function that runs it.
pub type Measure = (&'static str, fn(&Options) -> Result<Vec<Line>, Error>);

/// All measures, sorted by name.
pub const MEASURES: [Measure; 8] = [
    ("blocking", blocking::run),
    ("crest", crest::run),
    ("decide", decide::run),
    ("pack", pack::run),
    ("place", place::run),
    ("replay", replay::run),
    ("storm", storm::run),
    ("wait", wait::run),
];

/// Creates a kind of work. The fields in `json` override those of a minimal request profile.
fn work(name: &str, load: f64, times: RunTimes, json: &serde_json::Value) -> Result<Work, Error> {
    let mut merged = serde_json::json!({"kind": "request", "team": "bench"});
    let fields = json.as_object().into_iter().flatten();
    for (field, value) in fields {
        merged[field] = value.clone();
    }
    let profile: Profile = serde_json::from_value(merged)?;
    Ok(Work {
        name: name.parse()?,
        profile: Arc::new(profile),
        times,
        load,
    })
}

/// Creates the short checks, the work with the highest priority.
fn checks(load: f64) -> Result<Work, Error> {
    let times = RunTimes::LogNormal {
        mean: 20.0,
        sigma: 0.5,
    };
    let json = serde_json::json!({
        "priority": 8,
        "idempotent": true,
        "objective": {"deadline": 250, "wait": 100},
        "limits": {"queue": 2_000, "concurrency": 10_000},
        "policies": {"route": "two_choices"},
    });
    work("check", load, times, &json)
}

/// Creates the notices, which must not run twice and tolerate a short wait.
fn notices(load: f64) -> Result<Work, Error> {
    let times = RunTimes::LogNormal {
        mean: 120.0,
        sigma: 1.0,
    };
    let json = serde_json::json!({
        "priority": 4,
        "objective": {"deadline": 2_000, "wait": 1_000},
        "limits": {"queue": 2_000, "concurrency": 10_000},
        "policies": {"route": "two_choices"},
    });
    work("notice", load, times, &json)
}

/// Creates the plans, which run many times longer than the rest.
fn plans(load: f64) -> Result<Work, Error> {
    let times = RunTimes::Pareto {
        least: 2_000.0,
        most: 60_000.0,
        alpha: 1.5,
    };
    let json = serde_json::json!({
        "priority": 2,
        "objective": {"deadline": 300_000, "wait": 60_000},
        "limits": {"queue": 2_000, "concurrency": 10_000, "reserve": 2},
        "policies": {"route": "two_choices"},
    });
    work("plan", load, times, &json)
}

/// Simulates the requests kernel on `instances` entry instances.
fn late(
    instances: usize,
    cfg: &configs::requests::Requests,
    works: &[Work],
    requests: &[Request],
    outage: Option<Outage>,
    end: u64,
) -> Result<Tally, Error> {
    let id = "bench".parse()?;
    let mut scheduler = LateBinding::new(cfg, works, id, instances, WORKERS, CAPACITY);
    let tally = Tally::new(works, requests);
    Ok(sim::run(
        &mut scheduler,
        requests,
        outage,
        end + DRAIN_MS,
        tally,
    ))
}

/// Simulates an early-binding baseline.
fn early(route: Route, works: &[Work], requests: &[Request], end: u64) -> Tally {
    let mut scheduler = EarlyBinding::new(route, works, INSTANCES, WORKERS, SLOTS);
    let tally = Tally::new(works, requests);
    sim::run(&mut scheduler, requests, None, end + DRAIN_MS, tally)
}

/// Returns the same work with the given policies, without priorities, reserved slots and hedging.
fn plain(works: &[Work], policies: &serde_json::Value) -> Result<Vec<Work>, Error> {
    let mut plain = works.to_vec();
    for work in &mut plain {
        let mut profile = Profile::clone(&work.profile);
        profile.policies = serde_json::from_value(policies.clone())?;
        profile.priority = 0;
        profile.limits.reserve = 0;
        profile.hedge.budget = 0.0;
        work.profile = Arc::new(profile);
    }
    Ok(plain)
}
