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

/// Timeout of a poll in addition to its wait.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for reading the whole topic; a slow store takes a few hundred milliseconds.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time of a read, with its wait for a change, after which more changes are likely to have followed.
const SLOW_READ: Duration = Duration::from_millis(1_700);

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
        let (before, began) = (version(&shared), time::Instant::now());
        let step = match from {
            None => snapshot(&shared).await,
            Some(from) => tail(&shared, from).await,
        };
        match step {
            // While large configurations follow each other, only the newest is worth its transfer.
            Ok(_) if began.elapsed() > SLOW_READ && version(&shared) > before => {
                shared.note_store_answer();
                from = None;
            }
            Ok(next) => {
                shared.note_store_answer();
                if failing {
                    info!("store reachable again");
                }
                failing = false;
                from = Some(next);
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

/// Whether a configuration is being received that is not in force yet.
#[must_use]
pub fn is_behind(shared: &Shared) -> bool {
    shared.store_polls.receiving() > MIN_CONFIGURATION
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
        POLL_WAIT,
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
