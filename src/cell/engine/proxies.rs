//! Selection of the instance through which the placement policy is queried.
//!
//! The policy processes one query at a time for each querying instance. Queries queued there cannot
//! be cancelled, so each instance gets its next query only when it is nearly idle. All other
//! queries wait at the owner, where their order still follows the current priorities.
//!
//! Handles a new owner that finds a hundred steps waiting at once, and bursts of long queries
//! beside a steady stream of short ones.

use compact_str::CompactString;

/// Duration above which a query counts as long, in milliseconds.
const LONG_QUERY_MS: f64 = 150.0;

/// Maximum share of instances that may be busy with long queries; the rest stay available for short
/// ones.
const LONG_QUERY_SHARE: f64 = 0.6;

/// Maximum remaining work at an instance when another query is sent to it, in milliseconds: the
/// time that an answer takes to the owner and the next query takes back.
const MAX_BACKLOG_MS: f64 = 30.0;

/// Age of a heartbeat above which an instance is not used, in milliseconds: three heartbeats.
const MAX_HEARTBEAT_AGE_MS: u64 = 1_300;

/// Time for which an instance is not used after an unanswered query, in milliseconds: it may still
/// be busy with that query.
const UNANSWERED_PAUSE_MS: u64 = 800;

/// Instance that can query the policy.
#[derive(Debug, Clone)]
struct Proxy {
    instance: CompactString,
    /// Local time of its newest heartbeat, in milliseconds.
    last_heartbeat: u64,
    /// Local time at which the instance is expected to be idle, in milliseconds.
    free_at: f64,
    /// Number of queries in flight.
    in_flight: u32,
    /// Whether one of the queries in flight is long.
    long_query: bool,
}

/// All instances that can query the policy, sorted by name.
#[derive(Debug, Clone, Default)]
pub struct Proxies {
    list: Vec<Proxy>,
}

impl Proxies {
    /// Records a heartbeat at local time `now`, in milliseconds; `u64::MAX / 2` marks an instance
    /// that needs no heartbeats.
    pub fn record_heartbeat(&mut self, instance: &str, now: u64) {
        match self.find(instance) {
            Ok(at) => self.list[at].last_heartbeat = now,
            Err(at) => {
                let proxy = Proxy {
                    instance: instance.into(),
                    last_heartbeat: now,
                    free_at: 0.0,
                    in_flight: 0,
                    long_query: false,
                };
                self.list.insert(at, proxy);
            }
        }
    }

    fn find(&self, instance: &str) -> Result<usize, usize> {
        self.list
            .binary_search_by(|a| a.instance.as_str().cmp(instance))
    }

    /// Assigns a query that takes `cost` milliseconds to an instance, if one is available.
    pub fn assign(&mut self, cost: f64, now: u64) -> Option<CompactString> {
        let live = self
            .list
            .iter()
            .filter(|a| a.last_heartbeat + MAX_HEARTBEAT_AGE_MS > now)
            .count();
        let is_long = cost > LONG_QUERY_MS;
        let busy = self
            .list
            .iter()
            .filter(|a| a.long_query && a.in_flight > 0)
            .count();
        if is_long && busy >= ((live as f64 * LONG_QUERY_SHARE).ceil() as usize).max(1) {
            return None;
        }
        let start = now as f64;
        let available = |a: &&mut Proxy| {
            let ahead = a.free_at - start;
            let idle = a.in_flight == 0 && ahead <= 0.0;
            // An overdue answer means that the instance is still busy.
            let next = !is_long && !a.long_query && ahead > 0.0 && ahead <= MAX_BACKLOG_MS;
            a.last_heartbeat + MAX_HEARTBEAT_AGE_MS > now && (idle || next)
        };
        let free = |a: &&mut Proxy| (a.free_at.max(start) * 16.0) as u64;
        let proxy = self.list.iter_mut().filter(available).min_by_key(free)?;
        proxy.free_at = proxy.free_at.max(start) + cost;
        proxy.in_flight += 1;
        proxy.long_query = is_long || proxy.long_query && proxy.in_flight > 1;
        Some(proxy.instance.clone())
    }

    /// Records that a query was answered or has failed.
    pub fn record_answer(&mut self, instance: &str, answered: bool, now: u64) {
        let Ok(at) = self.find(instance) else {
            return;
        };
        let proxy = &mut self.list[at];
        proxy.in_flight = proxy.in_flight.saturating_sub(1);
        if proxy.in_flight == 0 {
            proxy.long_query = false;
            proxy.free_at = now as f64;
        }
        if !answered {
            proxy.free_at = (now + UNANSWERED_PAUSE_MS) as f64;
        }
    }

    /// Number of queries in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.list.iter().map(|a| a.in_flight).sum()
    }

    /// Instances with a recent heartbeat.
    pub fn live(&self, now: u64) -> impl Iterator<Item = &CompactString> {
        let live = move |a: &&Proxy| a.last_heartbeat + MAX_HEARTBEAT_AGE_MS > now;
        self.list.iter().filter(live).map(|a| &a.instance)
    }
}
