//! Round-robin load balancer over the entry instances, in the place of the platform's balancer.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
    time::Duration, //
};

use awc::http::StatusCode;
use futures_util::future::join_all;
use tokio::time;

/// How long an instance that refused a connection is skipped.
const DOWN_DURATION: Duration = Duration::from_millis(1_000);

/// Time between two readiness probes of an instance.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of a readiness probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Chooses entry instances in round-robin order, skipping those that are down or not ready.
#[derive(Debug)]
pub struct Balancer {
    entries: Vec<SocketAddr>,
    next_index: Cell<usize>,
    /// Time until which each instance is skipped; none when it is not marked as down.
    down: RefCell<Vec<Option<time::Instant>>>,
    /// Result of the last readiness probe of each instance; true before the first one.
    ready: RefCell<Vec<bool>>,
}

impl Balancer {
    /// Creates a balancer over the given instances.
    #[must_use]
    pub fn new(entries: Vec<SocketAddr>) -> Self {
        Self {
            next_index: Cell::new(0),
            down: RefCell::new(vec![None; entries.len()]),
            ready: RefCell::new(vec![true; entries.len()]),
            entries,
        }
    }

    /// Returns the number of instances.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the balancer has no instances.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the next instance that is ready and not marked as down, or the next one in turn when
    /// every instance is skipped. Returns none only if the balancer is empty.
    pub fn next(&self) -> Option<SocketAddr> {
        let count = self.entries.len();
        let first = self.next_index.get().checked_rem(count)?;
        self.next_index.set(first + 1);
        let now = time::Instant::now();
        let down = self.down.borrow();
        let ready = self.ready.borrow();
        let up = |i: &usize| ready[*i] && down[*i].is_none_or(|until| until <= now);
        let order = (0..count).map(|i| (first + i) % count);
        let chosen = order.clone().find(up).unwrap_or(first);
        Some(self.entries[chosen])
    }

    /// Probes the readiness of every instance at a fixed interval; never returns.
    pub async fn watch_readiness(&self, client: &awc::Client) {
        loop {
            let probes = self.entries.iter().map(|entry| is_ready(client, *entry));
            let ready = join_all(probes).await;
            self.ready.replace(ready);
            time::sleep(PROBE_INTERVAL).await;
        }
    }

    /// Skips an instance for `DOWN_DURATION`.
    pub fn mark_down(&self, entry: SocketAddr) {
        let until = time::Instant::now() + DOWN_DURATION;
        let pairs = self.entries.iter().enumerate();
        for (i, _) in pairs.filter(|(_, e)| **e == entry) {
            self.down.borrow_mut()[i] = Some(until);
        }
    }
}

/// Probes whether an instance is ready. An instance without a readiness endpoint (404) counts as
/// ready.
async fn is_ready(client: &awc::Client, entry: SocketAddr) -> bool {
    let sent = client.get(format!("http://{entry}/readyz")).send();
    match time::timeout(PROBE_TIMEOUT, sent).await {
        Ok(Ok(reply)) => reply.status().is_success() || reply.status() == StatusCode::NOT_FOUND,
        Ok(Err(_)) | Err(_) => false,
    }
}
