//! A profile: how one kind of work is treated. Operators publish profiles; callers name them.

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

/// The form of work that a profile describes.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A short exchange with a backend server.
    Request,
    /// A job of independent tasks that ends.
    Run,
    /// A job that needs all its tasks at once.
    Gang,
    /// Tasks that are kept running and replaced.
    Service,
}

/// How far from its home work may be placed.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Spill {
    /// Only inside the availability zone where it arrived.
    Zone,
    /// Inside the region.
    Region,
    /// Across regions too, when the gain exceeds the cost of the traffic.
    Anywhere,
}

/// How the tasks of one job are laid over racks.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Racks {
    /// No preference.
    Any,
    /// Over as many racks as possible.
    Spread,
    /// On as few racks as possible.
    Together,
}

/// What the operators promise for a profile.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Objective {
    /// The share of work that is to be placed, run once and finish in time, 0 to 1.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub share: f64,
    /// From acceptance to the end, in milliseconds. A caller may ask for less.
    #[schemars(range(min = 1))]
    pub deadline: u64,
    /// From acceptance to the start, in milliseconds.
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

/// When a failed request is sent again.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Retry {
    /// Retries allowed as a share of first sends, 0 to 1.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub budget: f64,
    /// Sends of one request in all, 1 to 10.
    #[schemars(range(min = 1, max = 10))]
    pub attempts: u8,
    /// First backoff, in milliseconds; doubles, with jitter.
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

/// When a second copy of an idempotent request is sent before the first has answered.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Hedge {
    /// Hedged copies allowed as a share of first sends, 0 to 1. Zero turns hedging off.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub budget: f64,
    /// The quantile of answer times after which a copy is sent, 0 to 1.
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

/// Bounds on what one entry instance holds for a profile.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests that wait for a slot.
    #[schemars(range(min = 1))]
    pub queue: u32,
    /// Requests in progress.
    #[schemars(range(min = 1))]
    pub concurrency: u32,
    /// Size of a request body, in bytes.
    #[schemars(range(min = 1))]
    pub body: u32,
    /// Slots of each worker that this profile's work leaves to others.
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

/// The names of the plug-ins that decide for a profile.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Policies {
    /// Chooses the worker of a request.
    #[schemars(with = "String")]
    pub route: CompactString,
    /// Orders what waits.
    #[schemars(with = "String")]
    pub order: CompactString,
    /// Refuses early what cannot be served.
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

/// How one kind of work is treated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// The form of work.
    pub kind: Kind,
    /// The team whose quota it counts against.
    pub team: ids::TeamId,
    /// 0 to 9; a higher value goes first.
    #[serde(default)]
    #[schemars(range(max = 9))]
    pub priority: u8,
    /// What is promised.
    #[serde(default)]
    pub objective: Objective,
    /// What one request or task takes, unless the caller says otherwise.
    #[serde(default = "default_demand")]
    pub demand: Resources,
    /// The most that all work of this profile may hold at once; absent means no bound.
    #[serde(default)]
    pub quota: Option<Resources>,
    /// Whether the work may run twice without harm.
    #[serde(default)]
    pub idempotent: bool,
    /// When a request is sent again.
    #[serde(default)]
    pub retry: Retry,
    /// When a request is sent twice.
    #[serde(default)]
    pub hedge: Hedge,
    /// Bounds at one entry instance.
    #[serde(default)]
    pub limits: Limits,
    /// How far from home work may go.
    #[serde(default = "default_spill")]
    pub spill: Spill,
    /// How tasks are laid over racks.
    #[serde(default = "default_racks")]
    pub racks: Racks,
    /// Attempts of a task before its job has failed, 1 to 100.
    #[serde(default = "default_attempts")]
    #[schemars(range(min = 1, max = 100))]
    pub attempts: u32,
    /// Which plug-ins decide.
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
                "a hedged request runs twice; set idempotent or drop the hedge",
            );
        }
        if let Some(quota) = &self.quota
            && !self.demand.fits(quota)
        {
            findings.add(
                source,
                "/quota",
                format!(
                    "the demand exceeds it in {}",
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
