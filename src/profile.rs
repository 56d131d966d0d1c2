//! Scheduling profiles of work. Operators publish profiles; callers refer to them by name.

use compact_str::CompactString;
use schemars::JsonSchema;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    findings,
    ids,
    modules,
    resources::Resources, //
};

/// Kind of work that a profile describes.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A short request that a backend server answers.
    Request,
    /// A batch job of independent tasks.
    Run,
    /// A job whose tasks must all run at the same time.
    Gang,
    /// A job whose tasks run without end and are replaced when they stop.
    Service,
}

/// How far from its home zone work may be placed.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Spill {
    /// Only inside the availability zone where the work arrived.
    Zone,
    /// Inside the region.
    Region,
    /// Also in other regions, when the gain exceeds the cost of the traffic.
    Anywhere,
}

/// How the tasks of one job are distributed over racks.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Racks {
    /// No preference.
    Any,
    /// On as many racks as possible.
    Spread,
    /// On as few racks as possible.
    Together,
}

/// Service level objective of a profile.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Objective {
    /// Target share of work that is placed, runs once and finishes in time, 0 to 1.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub share: f64,
    /// Maximum time from acceptance to completion, in milliseconds. A caller may ask for less.
    #[schemars(range(min = 1))]
    pub deadline: u64,
    /// Maximum time from acceptance to the start, in milliseconds.
    #[schemars(range(min = 1))]
    pub wait: u64,
}

impl Default for Objective {
    fn default() -> Self {
        Self {
            share: 0.99,
            deadline: 10_000,
            wait: 2_000,
        }
    }
}

/// Retries of failed requests.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Retry {
    /// Retry budget as a share of first attempts, 0 to 1.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub budget: f64,
    /// Maximum number of attempts of one request, the first included, 1 to 10. Two broken
    /// connections end them sooner.
    #[schemars(range(min = 1, max = 10))]
    pub attempts: u8,
    /// First backoff, in milliseconds. It doubles with each retry, with jitter.
    pub backoff: u64,
}

impl Default for Retry {
    fn default() -> Self {
        Self {
            budget: 0.1,
            attempts: 3,
            backoff: 20,
        }
    }
}

/// Hedging: a second copy of an idempotent request is sent before the first has been answered.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Hedge {
    /// Hedging budget as a share of first attempts, 0 to 1. Zero disables hedging.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub budget: f64,
    /// Quantile of the response time after which a copy is sent, 0 to 1.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub quantile: f64,
}

impl Default for Hedge {
    fn default() -> Self {
        Self {
            budget: 0.0,
            quantile: 0.95,
        }
    }
}

/// Limits of a profile at one entry instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of requests that wait for a slot.
    #[schemars(range(min = 1))]
    pub queue: u32,
    /// Maximum number of requests in progress.
    #[schemars(range(min = 1))]
    pub concurrency: u32,
    /// Maximum size of a request body, in bytes.
    #[schemars(range(min = 1))]
    pub body: u32,
    /// Slots of each worker that this profile leaves to other profiles.
    pub reserve: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            queue: 256,
            concurrency: 256,
            body: 65_536,
            reserve: 0,
        }
    }
}

/// Names of the plug-ins that make the scheduling decisions of a profile.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Policies {
    /// Chooses the worker of a request.
    #[schemars(with = "String")]
    pub route: CompactString,
    /// Orders the waiting work.
    #[schemars(with = "String")]
    pub order: CompactString,
    /// Refuses requests at admission that cannot be served.
    #[schemars(with = "String")]
    pub shed: CompactString,
    /// Chooses the workers of tasks.
    #[schemars(with = "String")]
    pub pack: CompactString,
}

impl Default for Policies {
    fn default() -> Self {
        Self {
            route: "least_loaded".into(),
            order: "deadline".into(),
            shed: "deadline".into(),
            pack: "best_fit".into(),
        }
    }
}

/// Scheduling profile of one kind of work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Kind of work.
    pub kind: Kind,
    /// Team whose quota the work counts against.
    pub team: ids::TeamId,
    /// Priority, 0 to 9; a higher value goes first.
    #[serde(default)]
    #[schemars(range(max = 9))]
    pub priority: u8,
    /// Service level objective.
    #[serde(default)]
    pub objective: Objective,
    /// Resources that one request or task takes, unless the caller specifies them.
    #[serde(default = "default_demand")]
    pub demand: Resources,
    /// Maximum resources that all work of this profile may hold at the same time; absent for no
    /// limit.
    #[serde(default)]
    pub quota: Option<Resources>,
    /// Whether the work may run twice without harm.
    #[serde(default)]
    pub idempotent: bool,
    /// Retries of failed requests.
    #[serde(default)]
    pub retry: Retry,
    /// Hedging of slow requests.
    #[serde(default)]
    pub hedge: Hedge,
    /// Limits at one entry instance.
    #[serde(default)]
    pub limits: Limits,
    /// How far from its home zone work may be placed.
    #[serde(default = "default_spill")]
    pub spill: Spill,
    /// How the tasks of a job are distributed over racks.
    #[serde(default = "default_racks")]
    pub racks: Racks,
    /// Maximum number of attempts of a task before its job fails, 1 to 100. A crash of the worker
    /// counts from the task's third on.
    #[serde(default = "default_attempts")]
    #[schemars(range(min = 1, max = 100))]
    pub attempts: u32,
    /// Plug-ins that make the scheduling decisions.
    #[serde(default)]
    pub policies: Policies,
}

fn default_demand() -> Resources {
    Resources {
        millicores: 0,
        memory: 0,
        accelerators: 0,
        slots: 1,
        connections: 1,
    }
}

fn default_spill() -> Spill {
    Spill::Region
}

fn default_racks() -> Racks {
    Racks::Any
}

fn default_attempts() -> u32 {
    5
}

impl findings::Check for Profile {
    fn check(&self, source: &str, findings: &mut findings::Findings) {
        self.check_rules(source, findings);
        self.check_policies(source, findings);
    }
}

impl Profile {
    fn check_rules(&self, source: &str, findings: &mut findings::Findings) {
        if self.demand.slots == 0 {
            findings.add(
                source,
                "/demand/slots",
                "found 0, at least 1 is needed".to_owned(),
                "every request and task takes a slot",
            );
        }
        if self.objective.wait > self.objective.deadline {
            findings.add(
                source,
                "/objective/wait",
                format!(
                    "{} ms is longer than the deadline of {} ms",
                    self.objective.wait, self.objective.deadline
                ),
                "work that starts after its deadline cannot finish in time",
            );
        }
        if !self.idempotent && self.hedge.budget > 0.0 {
            findings.add(
                source,
                "/hedge/budget",
                format!(
                    "found {}, a non-idempotent profile allows 0",
                    self.hedge.budget
                ),
                "a hedged request may run twice; set idempotent or remove the hedge",
            );
        }
        if let Some(quota) = &self.quota
            && !self.demand.fits(quota)
        {
            findings.add(
                source,
                "/quota",
                format!(
                    "the demand exceeds the quota in {}",
                    self.demand.excess(quota).join(", ")
                ),
                "raise the quota or lower the demand",
            );
        }
    }

    fn check_policies(&self, source: &str, findings: &mut findings::Findings) {
        let chosen = [
            ("route", &self.policies.route),
            ("order", &self.policies.order),
            ("shed", &self.policies.shed),
            ("pack", &self.policies.pack),
        ];
        for (point, name) in chosen {
            if modules::find(point, name).is_some() {
                continue;
            }
            findings.add(
                source,
                &format!("/policies/{point}"),
                format!("no {point} plug-in is named {name:?}"),
                &format!("known: {}", modules::names(point).join(", ")),
            );
        }
    }
}
