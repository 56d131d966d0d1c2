//! Follows the workers' registrations.

use std::{
    rc::Rc,
    time::Duration, //
};

use compact_str::CompactString;
use log::debug;
use tokio::time;

use crate::{
    cell::engine::Engine,
    platform::{
        registration,
        store, //
    }, //
};

use super::owner::{
    LOAD,
    Owner, //
};

/// Time between two reads of the workers' registrations: a fraction of what a drain allows.
const ROSTER: Duration = Duration::from_millis(400);

/// Limit of a read of the workers' registrations.
const ROSTER_LIMIT: Duration = Duration::from_millis(800);

pub(super) fn apply(engine: &mut Engine, record: &store::Record) {
    let Some(value) = &record.value else {
        engine.unregister(&record.key);
        return;
    };
    match registration::decode(&record.key, value) {
        Ok(entry) => engine.register(entry),
        Err(e) => debug!(worker = record.key.as_str(); "a registration cannot be used: {e}"),
    }
}

/// Follows the workers' registrations.
pub(super) async fn follow(owner: Rc<Owner>, end: u64) {
    let shared = owner.shared.clone();
    let mut from = Some(end);
    loop {
        time::sleep(ROSTER).await;
        let read = match from {
            Some(at) => {
                store::read(
                    &shared.store,
                    store::ROSTER,
                    at,
                    Duration::ZERO,
                    ROSTER_LIMIT,
                )
                .await
            }
            None => reread(&owner).await,
        };
        match read {
            Ok(tail) => {
                shared.store_answered();
                from = Some(tail.next);
                let mut engine = owner.engine.borrow_mut();
                tail.records
                    .iter()
                    .for_each(|record| apply(&mut engine, record));
            }
            Err(store::Error::Expired) => from = None,
            Err(e) => debug!("registrations cannot be read: {e}"),
        }
        owner.pump();
    }
}

/// Reads all registrations again; those that are missing are gone.
async fn reread(owner: &Owner) -> Result<store::Tail, store::Error> {
    let newest = store::newest(&owner.shared.store, store::ROSTER, LOAD).await?;
    let known: Vec<CompactString> = {
        let engine = owner.engine.borrow();
        engine
            .books
            .names
            .iter()
            .map(|(id, _)| id.clone())
            .collect()
    };
    let mut records = newest.records;
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
        next: newest.end,
        end: newest.end,
    })
}
