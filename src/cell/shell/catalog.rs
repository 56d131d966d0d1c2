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
const WAIT: Duration = Duration::from_millis(1_200);

/// Limit of an exchange beyond the wait.
const LIMIT: Duration = Duration::from_millis(500);

/// Limit for a read of everything; a slow store takes some hundred milliseconds.
const NEWEST: Duration = Duration::from_millis(1_500);

/// Pause after a failure.
const PAUSE: Duration = Duration::from_millis(100);

/// Keeps the configuration up to date.
pub async fn follow(shared: Rc<Shared>) {
    let mut from = None;
    let mut lost = false;
    loop {
        let step = match from {
            None => newest(&shared).await,
            Some(from) => tail(&shared, from).await,
        };
        match step {
            Ok(next) => {
                shared.store_answered();
                if lost {
                    info!("store answers again");
                }
                lost = false;
                from = Some(next);
            }
            Err(e) => {
                if !lost {
                    warn!(version = version(&shared); "store does not answer: {e}");
                }
                lost = true;
                if e == store::Error::Expired {
                    from = None;
                }
                time::sleep(PAUSE).await;
            }
        }
    }
}

fn version(shared: &Shared) -> u64 {
    shared.catalog.borrow().as_ref().map_or(0, |c| c.version)
}

async fn newest(shared: &Shared) -> Result<u64, store::Error> {
    let newest = store::newest(&shared.waits, store::OPERATOR, NEWEST).await?;
    newest
        .records
        .iter()
        .for_each(|record| apply(shared, record));
    Ok(newest.end)
}

async fn tail(shared: &Shared, from: u64) -> Result<u64, store::Error> {
    let tail = store::read(&shared.waits, store::OPERATOR, from, WAIT, LIMIT).await?;
    tail.records.iter().for_each(|record| apply(shared, record));
    Ok(tail.next)
}

fn apply(shared: &Shared, record: &store::Record) {
    let Some(value) = record.value.as_ref().filter(|_| record.key == catalog::KEY) else {
        return;
    };
    let fresh = match catalog::decode(value) {
        Ok(fresh) => fresh,
        Err(e) => {
            error!(kept = version(shared); "a configuration cannot be read: {e}");
            return;
        }
    };
    let before = version(shared);
    if shared.catalog.borrow().is_some() && fresh.version <= before {
        return;
    }
    info!(version = fresh.version, before, queues = fresh.queues.len(); "configuration in force");
    shared.catalog.replace(Some(Rc::new(fresh)));
}
