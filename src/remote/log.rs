//! Client of the platform's append-only log.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use rand::Rng;

use crate::{
    configs,
    ids::{
        Offset,
        ZoneId, //
    },
    remote::link::{
        self,
        Link, //
    },
    wire::log, //
};

/// Most entries asked for in one read.
const MAX_PAGE_ENTRIES: u32 = 1_000;

/// Bytes a millisecond at which a large entry must get through.
const BYTES_PER_MS: usize = 1_000;

/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// How often the backoff doubles, and the size of a page is halved, at most.
const MAX_DOUBLINGS: u32 = 5;

/// A client of the log. It stays on the thread that made it.
pub struct Client {
    link: Link,
    cfg: configs::log::Log,
}

impl Client {
    /// A client of the log at an address, for an instance in `zone`.
    #[must_use]
    pub fn new(platform: SocketAddr, zone: &ZoneId, cfg: configs::log::Log) -> Self {
        Self {
            link: Link::new(&platform.to_string(), zone, IDLE_TIMEOUT),
            cfg,
        }
    }

    /// Appends one entry.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer came. Unless nothing was sent, the entry may stand in the log.
    pub async fn append(&self, payload: String) -> Result<log::Appended, link::Error> {
        let limit = self.limit(payload.len());
        let body = log::Append { payload };
        self.link.post("/v1/log/append", &body, limit).await
    }

    /// How long an append of so many bytes may take: longer for snapshots.
    #[must_use]
    pub fn limit(&self, bytes: usize) -> Duration {
        let transfer = u64::try_from(bytes / BYTES_PER_MS).unwrap_or(u64::MAX);
        self.cfg.timeout + Duration::from_millis(transfer)
    }

    /// Reads the entries from an offset on; waits at the log for a first one. After failures in a
    /// row it asks for fewer, in case they were too large for one answer.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer came.
    pub async fn read(&self, from: Offset, failures: u32) -> Result<log::Page, link::Error> {
        let wait = self.cfg.poll.as_millis();
        let most = MAX_PAGE_ENTRIES >> failures.min(MAX_DOUBLINGS);
        let path = format!("/v1/log/read?from={from}&max={most}&wait={wait}");
        let limit = self.cfg.poll + self.cfg.timeout;
        self.link.get(&path, limit).await
    }
}

/// How long to wait after the `failures`th failure in a row: doubles, with jitter.
#[must_use]
pub fn backoff(first: Duration, failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
    let ceiling = first * 2_u32.pow(doublings);
    ceiling.mul_f64(rand::rng().random_range(0.5..=1.0))
}
