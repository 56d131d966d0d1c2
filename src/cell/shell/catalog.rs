//! Keeps the operator's configuration up to date by long polls of the store.

use std::{
    rc::Rc,
    time::Duration, //
};

use log::{
    error,
    info,
    warn, //
};
use tokio::time;

use crate::{
    malformed,
    platform::{
        catalog,
        store, //
    },
};

use super::Shared;

/// Longest wait of a poll for a change. Together with [`POLL_TIMEOUT`] it bounds the time to detect
/// a dead connection, well before a new configuration must be in force.
const POLL_WAIT: Duration = Duration::from_millis(1_200);

/// Number of polls within the time in which withdrawn keys must be refused.
const REVOCATION_POLLS: u64 = 8;

/// Timeout of a poll in addition to its wait.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for reading the whole topic; a slow store takes a few hundred milliseconds.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time to receive a configuration during which others are likely to have followed.
const SLOW_TRANSFER: Duration = Duration::from_millis(500);

/// Size of a response from which a configuration is being received, in bytes; an empty poll is
/// smaller.
const MIN_CONFIGURATION: usize = 64;

/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Follows the configuration until the process ends.
pub async fn follow(shared: Rc<Shared>) {
    let mut from = None;
    let mut failing = false;
    loop {
        let before = version(&shared);
        let asked_at = shared.now();
        let step = match from {
            None => snapshot(&shared).await,
            Some(from) => tail(&shared, from).await,
        };
        match step {
            Ok(next) => {
                shared.note_store_answer();
                if failing {
                    info!("store reachable again");
                }
                failing = false;
                let slow = shared.store_polls.transfer_time() > SLOW_TRANSFER;
                let skips = slow && version(&shared) > before && is_outdated(&shared, next).await;
                from = (!skips).then_some(next);
                if !skips {
                    shared.catalog_proven_at.set(asked_at);
                }
            }
            Err(e) => {
                if !failing {
                    warn!(version = version(&shared); "configuration not read, keeping the current one: {e}");
                }
                failing = true;
                if e == store::Error::Expired {
                    from = None;
                }
                time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Whether several records follow offset `next`, so that reading the newest alone is faster.
///
/// Handles large configurations that follow each other faster than they can be received.
async fn is_outdated(shared: &Shared, next: u64) -> bool {
    match store::end(&shared.store_polls, store::OPERATOR, POLL_TIMEOUT).await {
        Ok(end) => end > next + 1,
        Err(e) => {
            warn!("end of the configuration's topic cannot be read: {e}");
            false
        }
    }
}

/// Whether a configuration is being received that is not in force yet.
#[must_use]
pub fn is_behind(shared: &Shared) -> bool {
    shared.store_polls.receiving() > MIN_CONFIGURATION
}

/// Longest wait of a poll. A poll proves that the configuration was the newest when the poll was
/// sent; where withdrawn keys must be refused in time, several polls fit into that time.
fn poll_wait(shared: &Shared) -> Duration {
    let revocation = shared.settings.access.revocation;
    revocation.map_or(POLL_WAIT, |time| {
        POLL_WAIT.min(Duration::from_millis(time / REVOCATION_POLLS))
    })
}

fn version(shared: &Shared) -> u64 {
    shared.catalog.borrow().as_ref().map_or(0, |c| c.version)
}

async fn snapshot(shared: &Shared) -> Result<u64, store::Error> {
    let snapshot = store::snapshot(&shared.store_polls, store::OPERATOR, SNAPSHOT_TIMEOUT).await?;
    snapshot
        .records
        .iter()
        .for_each(|record| apply(shared, record));
    Ok(snapshot.end)
}

async fn tail(shared: &Shared, from: u64) -> Result<u64, store::Error> {
    let tail = store::read(
        &shared.store_polls,
        store::OPERATOR,
        from,
        poll_wait(shared),
        POLL_TIMEOUT,
    )
    .await?;
    tail.records.iter().for_each(|record| apply(shared, record));
    if tail.end > tail.next {
        // Only the newest configuration is worth its transfer.
        return snapshot(shared).await;
    }
    Ok(tail.next)
}

fn apply(shared: &Shared, record: &store::Record) {
    let Some(value) = record.value.as_ref().filter(|_| record.key == catalog::KEY) else {
        return;
    };
    let fresh = match catalog::decode(value) {
        Ok(fresh) => fresh,
        Err(e) => {
            malformed::note(malformed::List::Configuration, &record.key, &e);
            error!(kept = version(shared); "malformed configuration ignored: {e}");
            return;
        }
    };
    malformed::forget(malformed::List::Configuration, &record.key);
    let before = version(shared);
    if shared.catalog.borrow().is_some() && fresh.version <= before {
        return;
    }
    info!(version = fresh.version, before, queues = fresh.queues.len(); "configuration in force");
    shared.catalog.replace(Some(Rc::new(fresh)));
}
