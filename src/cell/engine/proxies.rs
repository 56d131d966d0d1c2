//! Through which instance the placement policy is asked.
//!
//! The policy answers one question at a time for each instance that asks. Questions that queue up
//! there cannot be taken back, so each instance is given the next one only when it is nearly free;
//! all others wait here, where their order still follows what is urgent.
//!
//! Answers the load pattern of a new owner that finds a hundred steps waiting at once, and of bursts
//! of long questions beside a steady stream of short ones.

use compact_str::CompactString;

/// Questions that take longer than this are long, in milliseconds.
const LONG_QUERY_MS: f64 = 150.0;

/// Share of instances that may be busy with long questions: the others stay free for short ones.
const LONG_QUERY_SHARE: f64 = 0.6;

/// How much work may be ahead of a question at its instance, in milliseconds: the way of an answer
/// to the owner and of the next question back.
const MAX_BACKLOG_MS: f64 = 30.0;

/// Age of a heartbeat after which an instance is not asked, in milliseconds: three heartbeats.
const MAX_HEARTBEAT_AGE_MS: u64 = 1_300;

/// Time for which an instance is not asked after it gave no answer, in milliseconds: it may still
/// be busy with the question.
const UNANSWERED_PAUSE_MS: u64 = 800;

/// An instance that can ask the policy.
#[derive(Debug, Clone)]
struct Proxy {
    instance: CompactString,
    /// Local time of its newest heartbeat, in milliseconds.
    last_heartbeat: u64,
    /// Local time from which it is free, in milliseconds.
    free_at: f64,
    /// Questions that are out.
    in_flight: u32,
    /// Whether one of them is long.
    long_query: bool,
}

/// All instances that can ask the policy, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct Proxies {
    list: Vec<Proxy>,
}

impl Proxies {
    /// Takes note of a heartbeat; `u64::MAX / 2` stands for an instance that needs none.
    pub fn record_heartbeat(&mut self, instance: &str, now: u64) {
        match self.find(instance) {
            Ok(at) => self.list[at].last_heartbeat = now,
            Err(at) => {
                let adviser = Proxy {
                    instance: instance.into(),
                    last_heartbeat: now,
                    free_at: 0.0,
                    in_flight: 0,
                    long_query: false,
                };
                self.list.insert(at, adviser);
            }
        }
    }

    fn find(&self, instance: &str) -> Result<usize, usize> {
        self.list
            .binary_search_by(|a| a.instance.as_str().cmp(instance))
    }

    /// Gives a question of `cost` milliseconds to an instance, if one is free enough.
    pub fn assign(&mut self, cost: f64, now: u64) -> Option<CompactString> {
        let live = self
            .list
            .iter()
            .filter(|a| a.last_heartbeat + MAX_HEARTBEAT_AGE_MS > now)
            .count();
        let long = cost > LONG_QUERY_MS;
        let busy = self
            .list
            .iter()
            .filter(|a| a.long_query && a.in_flight > 0)
            .count();
        if long && busy >= ((live as f64 * LONG_QUERY_SHARE).ceil() as usize).max(1) {
            return None;
        }
        let start = now as f64;
        let open = |a: &&mut Proxy| {
            let ahead = a.free_at - start;
            let idle = a.in_flight == 0 && ahead <= 0.0;
            // An answer that is overdue says that the instance is not free.
            let next = !long && !a.long_query && ahead > 0.0 && ahead <= MAX_BACKLOG_MS;
            a.last_heartbeat + MAX_HEARTBEAT_AGE_MS > now && (idle || next)
        };
        let free = |a: &&mut Proxy| (a.free_at.max(start) * 16.0) as u64;
        let adviser = self.list.iter_mut().filter(open).min_by_key(free)?;
        adviser.free_at = adviser.free_at.max(start) + cost;
        adviser.in_flight += 1;
        adviser.long_query = long || adviser.long_query && adviser.in_flight > 1;
        Some(adviser.instance.clone())
    }

    /// Takes note that a question was answered, or that no answer came.
    pub fn record_answer(&mut self, instance: &str, answered: bool, now: u64) {
        let Ok(at) = self.find(instance) else {
            return;
        };
        let adviser = &mut self.list[at];
        adviser.in_flight = adviser.in_flight.saturating_sub(1);
        if adviser.in_flight == 0 {
            adviser.long_query = false;
            adviser.free_at = now as f64;
        }
        if !answered {
            adviser.free_at = (now + UNANSWERED_PAUSE_MS) as f64;
        }
    }

    /// Number of questions that are out.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.list.iter().map(|a| a.in_flight).sum()
    }

    /// The instances with a fresh heartbeat.
    pub fn live(&self, now: u64) -> impl Iterator<Item = &CompactString> {
        let live = move |a: &&Proxy| a.last_heartbeat + MAX_HEARTBEAT_AGE_MS > now;
        self.list.iter().filter(live).map(|a| &a.instance)
    }
}
