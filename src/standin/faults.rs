//! The faults that can be switched.

use schemars::JsonSchema;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::ids::ZoneId;

/// How something that is out behaves towards its callers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// It works.
    #[default]
    Up,
    /// It answers 503 at once.
    Refuse,
    /// It never answers.
    Hang,
    /// It closes the connection.
    Drop,
}

/// Normal speed, in hundredths.
const NORMAL_SPEED: u64 = 100;

/// Faults of one worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// It takes messages and handles them only after this has ended, like a paused process.
    pub hang: bool,
    /// Every task and request fails at once.
    pub failing: bool,
    /// It does the work and answers with an error that says nothing of the outcome.
    pub errors: bool,
    /// It does the work and sends only half of the answer.
    pub cut: bool,
    /// It does the work and holds the answer back this long, in milliseconds.
    pub late: u64,
    /// How many times slower it runs, in hundredths.
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
    /// The log.
    pub log: Mode,
    /// The list.
    pub list: Mode,
    /// How many of the next appends take effect and get no answer.
    pub lose: u32,
    /// What the caller of such an append sees.
    pub loss: Mode,
    /// How long every append waits before it takes effect, in milliseconds.
    pub delay: u64,
}

/// Links that are cut. Callers are known by the zone that they declare.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cuts {
    /// Availability zones that cannot reach the platform, sorted.
    pub platform: Vec<ZoneId>,
    /// Pairs of availability zones that cannot reach each other; the lower comes first, sorted.
    pub pairs: Vec<(ZoneId, ZoneId)>,
}

impl Cuts {
    /// Whether a caller's zone cannot reach the platform.
    #[must_use]
    pub fn isolates(&self, caller: &str) -> bool {
        let found = self.platform.binary_search_by(|z| z.as_str().cmp(caller));
        found.is_ok()
    }

    /// Whether a caller's zone cannot reach a worker's zone.
    #[must_use]
    pub fn separates(&self, caller: &str, worker: &str) -> bool {
        let pair = (caller.min(worker), caller.max(worker));
        let order = |(a, b): &(ZoneId, ZoneId)| (a.as_str(), b.as_str()).cmp(&pair);
        self.pairs.binary_search_by(order).is_ok()
    }

    /// Cuts or mends the link of a zone to the platform.
    pub fn set_platform(&mut self, zone: &ZoneId, cut: bool) {
        set(&mut self.platform, zone.clone(), cut);
    }

    /// Cuts or mends the link between two zones.
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
