//! Plays the platform's balancer: picks an entry instance for each exchange.

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

/// How long an instance that refused a connection is passed over.
const DOWN_DURATION: Duration = Duration::from_millis(1_000);

/// How often every instance is probes whether it is ready.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// How long an instance may take to say so.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The entry instances, taken in next_index.
#[derive(Debug)]
pub struct Balancer {
    entries: Vec<SocketAddr>,
    next_index: Cell<usize>,
    /// Until when each is passed over.
    down: RefCell<Vec<Option<time::Instant>>>,
    /// Whether each was ready when it was probes last.
    ready: RefCell<Vec<bool>>,
}

impl Balancer {
    /// A balancer over these instances.
    #[must_use]
    pub fn new(entries: Vec<SocketAddr>) -> Self {
        Self {
            next_index: Cell::new(0),
            down: RefCell::new(vec![None; entries.len()]),
            ready: RefCell::new(vec![true; entries.len()]),
            entries,
        }
    }

    /// How many instances there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The next instance that is not passed over, or the next one when all are.
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

    /// Asks every instance again and again whether it is ready; never ends.
    pub async fn watch_readiness(&self, client: &awc::Client) {
        loop {
            let probes = self.entries.iter().map(|entry| is_ready(client, *entry));
            let ready = join_all(probes).await;
            self.ready.replace(ready);
            time::sleep(PROBE_INTERVAL).await;
        }
    }

    /// Passes an instance over for a while.
    pub fn mark_down(&self, entry: SocketAddr) {
        let until = time::Instant::now() + DOWN_DURATION;
        let pairs = self.entries.iter().enumerate();
        for (i, _) in pairs.filter(|(_, e)| **e == entry) {
            self.down.borrow_mut()[i] = Some(until);
        }
    }
}

/// Whether an instance is ready. One that knows no readiness counts as ready.
async fn is_ready(client: &awc::Client, entry: SocketAddr) -> bool {
    let sent = client.get(format!("http://{entry}/readyz")).send();
    match time::timeout(PROBE_TIMEOUT, sent).await {
        Ok(Ok(reply)) => reply.status().is_success() || reply.status() == StatusCode::NOT_FOUND,
        Ok(Err(_)) | Err(_) => false,
    }
}
