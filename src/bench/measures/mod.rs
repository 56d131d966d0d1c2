//! The measures.

use std::sync::Arc;

use quick_error::quick_error;

use crate::{
    bench::{
        arrivals::{
            Job,
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

/// Workers of an experiment.
pub const WORKERS: usize = 48;

/// Time after the last arrival in which what is open ends, in milliseconds.
pub const DRAIN_MS: u64 = 70_000;

/// Entry instances of an experiment, all in one availability zone.
pub const INSTANCES: usize = 7;

/// Slots of each.
pub const SLOTS: u32 = 8;

/// Slots of all.
pub const ALL_SLOTS: u32 = WORKERS as u32 * SLOTS;

/// What each worker has.
pub const CAPACITY: Resources = Resources {
    millicores: 16_000,
    memory: 65_536,
    accelerators: 0,
    slots: SLOTS,
    connections: 64,
};

/// How an experiment is run.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Decides the arrivals.
    pub seed: u64,
    /// Shorter runs.
    pub quick: bool,
}

impl Options {
    /// A span that is shorter in quick runs, in milliseconds.
    #[must_use]
    pub fn choose(&self, full: u64, quick: u64) -> u64 {
        if self.quick { quick } else { full }
    }
}

quick_error! {
    /// Why an experiment could not be set up.
    #[derive(Debug)]
    pub enum Error {
        /// A name of the experiment is not allowed.
        Name(e: ids::Error) {
            from()
            display("a name of the experiment is not allowed: {e}")
            source(e)
        }
        /// A profile of the experiment is not valid.
        Profile(e: serde_json::Error) {
            from()
            display("a profile of the experiment is not valid: {e}")
            source(e)
        }
    }
}

/// A measure: its name and its experiment.
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

/// A kind of work. `json` is merged over a request profile.
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

/// Short checks: the most urgent work.
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

/// Notices: work that must not run twice and can wait for a moment.
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

/// Plans: stragglers that run many times longer than the rest.
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

/// Runs the requests kernel on so many entry instances.
fn late(
    instances: usize,
    cfg: &configs::requests::Requests,
    works: &[Work],
    jobs: &[Job],
    outage: Option<Outage>,
    end: u64,
) -> Result<Tally, Error> {
    let id = "bench".parse()?;
    let mut scheduler = LateBinding::new(cfg, works, id, instances, WORKERS, CAPACITY);
    let tally = Tally::new(works, jobs);
    Ok(sim::run(
        &mut scheduler,
        jobs,
        outage,
        end + DRAIN_MS,
        tally,
    ))
}

/// Runs a baseline that binds on arrival.
fn early(choice: Route, works: &[Work], jobs: &[Job], end: u64) -> Tally {
    let mut scheduler = EarlyBinding::new(choice, works, INSTANCES, WORKERS, SLOTS);
    let tally = Tally::new(works, jobs);
    sim::run(&mut scheduler, jobs, None, end + DRAIN_MS, tally)
}

/// The same work with other policies, without priorities, reserves and budgets.
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
