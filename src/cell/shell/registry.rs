//! Keeps the engine's workers in line with their registrations in the store.

use std::{
    rc::Rc,
    time::Duration, //
};

use compact_str::CompactString;
use log::debug;
use tokio::time;

use crate::{
    cell::engine::Engine,
    malformed::{
        self,
        List, //
    },
    platform::{
        registration,
        store, //
    }, //
};

use super::owner::{
    LOAD_TIMEOUT,
    Owner, //
};

/// Interval at which registrations are read: a fraction of the time allowed for a drain.
const POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Timeout of a read of the registrations.
const POLL_TIMEOUT: Duration = Duration::from_millis(800);

/// Applies a record of the registrations to the engine.
pub fn apply(engine: &mut Engine, record: &store::Record) {
    let id = record.key.as_str();
    let entry = record.value.as_ref();
    match entry.map(|value| registration::decode(id, value)) {
        Some(Ok(entry)) => {
            malformed::forget(List::Registrations, id);
            engine.register(entry);
        }
        Some(Err(e)) => {
            malformed::note(List::Registrations, id, &e);
            // The entry names no worker to use, but the one that it named before may have runs.
            engine.unregister(id);
        }
        None => {
            malformed::forget(List::Registrations, id);
            engine.unregister(id);
        }
    }
}

/// Follows the registrations from offset `end` on.
pub(super) async fn follow(owner: Rc<Owner>, end: u64) {
    let shared = owner.shared.clone();
    let mut from = Some(end);
    loop {
        let asked = owner.now();
        let read = match from {
            Some(at) => {
                store::read(
                    &shared.store,
                    store::REGISTRATIONS,
                    at,
                    Duration::ZERO,
                    POLL_TIMEOUT,
                )
                .await
            }
            None => reload(&owner).await,
        };
        let mut behind = false;
        match read {
            Ok(tail) => {
                shared.note_store_answer();
                from = Some(tail.next);
                let mut engine = owner.engine.borrow_mut();
                tail.records
                    .iter()
                    .for_each(|record| apply(&mut engine, record));
                behind = tail.next < tail.end;
                if !behind {
                    engine.registrations_read(asked);
                }
                behind &= !tail.records.is_empty();
            }
            Err(store::Error::Expired) => from = None,
            Err(e) => debug!("registrations not read: {e}"),
        }
        owner.run_actions();
        if !behind {
            time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Reads all registrations again; workers without one are removed.
async fn reload(owner: &Owner) -> Result<store::Tail, store::Error> {
    let snapshot = store::snapshot(&owner.shared.store, store::REGISTRATIONS, LOAD_TIMEOUT).await?;
    let known: Vec<CompactString> = {
        let engine = owner.engine.borrow();
        engine
            .cluster
            .index
            .iter()
            .map(|(id, _)| id.clone())
            .collect()
    };
    let mut records = snapshot.records;
    let missing: Vec<_> = known
        .into_iter()
        .filter(|id| records.iter().all(|r| r.key != *id))
        .collect();
    records.extend(
        missing
            .into_iter()
            .map(|key| store::Record { key, value: None }),
    );
    Ok(store::Tail {
        records,
        next: snapshot.end,
        end: snapshot.end,
    })
}
