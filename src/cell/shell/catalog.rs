//! Follows the operator's configuration.

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

use crate::platform::{
    catalog,
    store, //
};

use super::Shared;

/// Longest wait at the store for a change: a connection that went silent is found within it and
/// the limit, well before a configuration must be in force.
const POLL_WAIT: Duration = Duration::from_millis(1_200);

/// Limit of an exchange beyond the wait.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Limit for a read of everything; a slow store takes some hundred milliseconds.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Pause after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Keeps the configuration up to date.
pub async fn follow(shared: Rc<Shared>) {
    let mut from = None;
    let mut failing = false;
    loop {
        let step = match from {
            None => snapshot(&shared).await,
            Some(from) => tail(&shared, from).await,
        };
        match step {
            Ok(next) => {
                shared.note_store_answer();
                if failing {
                    info!("store answers again");
                }
                failing = false;
                from = Some(next);
            }
            Err(e) => {
                if !failing {
                    warn!(version = version(&shared); "store does not answer: {e}");
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
    Ok(tail.next)
}

fn apply(shared: &Shared, record: &store::Record) {
    let Some(value) = record.value.as_ref().filter(|_| record.key == catalog::KEY) else {
        return;
    };
    let decoded = match catalog::decode(value) {
        Ok(decoded) => decoded,
        Err(e) => {
            error!(kept = version(shared); "a configuration cannot be read: {e}");
            return;
        }
    };
    let before = version(shared);
    if shared.catalog.borrow().is_some() && decoded.version <= before {
        return;
    }
    info!(version = decoded.version, before, queues = decoded.queues.len(); "configuration in force");
    shared.catalog.replace(Some(Rc::new(decoded)));
}
