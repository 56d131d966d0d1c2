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

/// Maximum number of entries in one read.
const MAX_PAGE_ENTRIES: u32 = 1_000;

/// Minimum transfer rate that is assumed for a large entry, in bytes per millisecond.
const BYTES_PER_MS: usize = 1_000;

/// How long an idle connection to the log is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of times that the backoff doubles and that the page size halves.
const MAX_DOUBLINGS: u32 = 5;

/// A client of the log, bound to the thread that created it.
pub struct Client {
    link: Link,
    cfg: configs::log::Log,
}

impl Client {
    /// Creates a client of the log at `platform` for an instance in `zone`.
    #[must_use]
    pub fn new(platform: SocketAddr, zone: &ZoneId, cfg: configs::log::Log) -> Self {
        Self {
            link: Link::new(&platform.to_string(), zone, IDLE_TIMEOUT),
            cfg,
        }
    }

    /// Appends one entry to the log.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrived. Unless nothing was sent, the entry may be in the log.
    pub async fn append(&self, payload: String) -> Result<log::Appended, link::Error> {
        let limit = self.limit(payload.len());
        let body = log::Append { payload };
        self.link.post("/v1/log/append", &body, limit).await
    }

    /// Returns the timeout of an append of `bytes` bytes, which grows with the size to allow for
    /// snapshots.
    #[must_use]
    pub fn limit(&self, bytes: usize) -> Duration {
        let transfer = u64::try_from(bytes / BYTES_PER_MS).unwrap_or(u64::MAX);
        self.cfg.timeout + Duration::from_millis(transfer)
    }

    /// Reads the entries from an offset on, by a long poll that waits for the first entry.
    /// Consecutive failures reduce the page size, in case the response was too large.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrived.
    pub async fn read(&self, from: Offset, failures: u32) -> Result<log::Page, link::Error> {
        let wait = self.cfg.poll.as_millis();
        let most = MAX_PAGE_ENTRIES >> failures.min(MAX_DOUBLINGS);
        let path = format!("/v1/log/read?from={from}&max={most}&wait={wait}");
        let limit = self.cfg.poll + self.cfg.timeout;
        self.link.get(&path, limit).await
    }
}

/// Returns the exponential backoff with jitter after the given number of consecutive failures.
#[must_use]
pub fn backoff(first: Duration, failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
    let ceiling = first * 2_u32.pow(doublings);
    ceiling.mul_f64(rand::rng().random_range(0.5..=1.0))
}
