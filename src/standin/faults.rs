//! State of the faults that the control API switches.

use schemars::JsonSchema;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::ids::ZoneId;

/// Availability of a service, or what its callers see of an outage.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// The service works.
    #[default]
    Up,
    /// The service answers 503 immediately.
    Refuse,
    /// The service never answers.
    Hang,
    /// The service closes the connection.
    Drop,
}

/// Slowdown factor at normal speed, in hundredths.
const NORMAL_SPEED: u64 = 100;

/// Faults of one worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// The worker accepts messages and handles them once the fault ends, like a paused process.
    pub hang: bool,
    /// Every task and request fails immediately.
    pub failing: bool,
    /// The worker does the work and answers with an error that leaves the outcome unknown.
    pub errors: bool,
    /// The worker does the work and sends only half of the answer.
    pub cut: bool,
    /// Delay of an answer after the work is done, in milliseconds.
    pub late: u64,
    /// Slowdown factor, in hundredths; 100 is normal speed.
    pub slow: u64,
}

impl Default for Worker {
    fn default() -> Self {
        Self {
            hang: false,
            failing: false,
            errors: false,
            cut: false,
            late: 0,
            slow: NORMAL_SPEED,
        }
    }
}

/// Faults of the platform's log and list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Platform {
    /// Availability of the log.
    pub log: Mode,
    /// Availability of the list.
    pub list: Mode,
    /// Number of upcoming appends that take effect without an answer.
    pub lose: u32,
    /// What the caller of an append without an answer sees.
    pub loss: Mode,
    /// Delay of every append before it takes effect, in milliseconds.
    pub delay: u64,
}

/// Links that are cut. A caller is identified by the zone that it declares in a header.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cuts {
    /// Availability zones that cannot reach the platform, sorted.
    pub platform: Vec<ZoneId>,
    /// Sorted pairs of availability zones that cannot reach each other; the lower id comes first.
    pub pairs: Vec<(ZoneId, ZoneId)>,
}

impl Cuts {
    /// Whether the caller's zone is cut off from the platform.
    #[must_use]
    pub fn isolates(&self, caller: &str) -> bool {
        let found = self.platform.binary_search_by(|z| z.as_str().cmp(caller));
        found.is_ok()
    }

    /// Whether the caller's zone is cut off from the worker's zone.
    #[must_use]
    pub fn separates(&self, caller: &str, worker: &str) -> bool {
        let pair = (caller.min(worker), caller.max(worker));
        let order = |(a, b): &(ZoneId, ZoneId)| (a.as_str(), b.as_str()).cmp(&pair);
        self.pairs.binary_search_by(order).is_ok()
    }

    /// Cuts or restores the link of a zone to the platform.
    pub fn set_platform(&mut self, zone: &ZoneId, cut: bool) {
        set(&mut self.platform, zone.clone(), cut);
    }

    /// Cuts or restores the link between two zones.
    pub fn set_pair(&mut self, one: &ZoneId, other: &ZoneId, cut: bool) {
        let pair = (one.min(other).clone(), one.max(other).clone());
        set(&mut self.pairs, pair, cut);
    }
}

fn set<T: Ord>(sorted: &mut Vec<T>, value: T, present: bool) {
    match (sorted.binary_search(&value), present) {
        (Err(at), true) => sorted.insert(at, value),
        (Ok(at), false) => {
            sorted.remove(at);
        }
        _ => {}
    }
}
