//! Claims ownership of the cell: replaces the owner's record in the store, begins the term and
//! announces it to the other instances.

use std::{
    rc::Rc,
    time::Duration, //
};

use futures_util::future;
use log::{
    info,
    warn, //
};
use tokio::time;

use crate::{
    cell::election::{
        self,
        OwnerStatus, //
    },
    platform::store,
    remote::link, //
};

use super::{
    Shared,
    owner,
    owner_record,
    peer,
    watch, //
};

/// Time for the owner to recover after the store becomes reachable again: one repetition of an
/// append.
const RECOVERY_TIME: Duration = Duration::from_millis(300);

/// Claims ownership at the store, and begins the term if the claim succeeds.
///
/// The stored jobs are read concurrently with the claim if the owner is gone, and before the claim
/// if the owner still works, to keep the time without an owner short.
pub(super) async fn run(shared: &Rc<Shared>) {
    let (before, end, word) = {
        let ownership = shared.ownership.borrow();
        (ownership.owner.clone(), ownership.end, ownership.word)
    };
    // Each claim adds a record, so that the term rises even if the former record cannot be read.
    let last = before.as_ref().map_or(0, |o| o.term).max(end);
    let mine = owner_record(shared, last.saturating_add(1));
    let (jobs, granted) = if word == OwnerStatus::StepsDown {
        let jobs = owner::Preloaded::read(shared).await;
        if let Err(e) = &jobs {
            warn!("no claim: stored jobs cannot be read: {e}");
            return;
        }
        // If the store was unreachable for all instances, the owner has recovered by now.
        time::sleep(RECOVERY_TIME).await;
        if watch::heartbeat(shared).await {
            info!("no claim: the owner has recovered");
            return;
        }
        (
            jobs,
            replace_record(shared, &mine, before.as_ref(), end).await,
        )
    } else {
        let jobs = owner::Preloaded::read(shared);
        future::join(jobs, replace_record(shared, &mine, before.as_ref(), end)).await
    };
    if !granted {
        return;
    }
    let begun = match jobs {
        Ok(jobs) => owner::Owner::begin(shared, mine.term, before, jobs).await,
        Err(e) => Err(e),
    };
    shared.starting_term.set(false);
    match begun {
        Ok(owner) => {
            if shared.ownership.borrow().term() > mine.term {
                owner.end("replaced: a later term was announced while this one began");
            }
            shared.owner.replace(Some(owner));
            shared.uplink.favour_messages(true);
            shared.owner_changed.notify_waiters();
            announce(shared, &mine).await;
        }
        Err(e) => {
            warn!(term = mine.term; "term failed to begin: {e}");
            shared.ownership.borrow_mut().stale = true;
        }
    }
}

/// Replaces the owner's record on condition that the topic still ends at `end`; returns whether
/// this instance is the owner now.
async fn replace_record(
    shared: &Rc<Shared>,
    mine: &election::Owner,
    before: Option<&election::Owner>,
    end: u64,
) -> bool {
    let value = serde_json::to_vec(mine).unwrap_or_default();
    let records = store::encode(&[store::Record {
        key: owner::RECORD_KEY.into(),
        value: Some(value.into()),
    }]);
    let condition = store::Condition::At(end);
    let answer = store::append(
        &shared.store,
        store::OWNER,
        condition,
        records,
        watch::STORE_TIMEOUT,
    )
    .await;
    info!(term = mine.term, before = before.map_or("", |o| o.instance.as_str()), granted = answer.is_ok(),
        error = answer.as_ref().err().map(ToString::to_string).unwrap_or_default(); "ownership claimed");
    if answer.is_ok() {
        // Heartbeats must not be denied while the stored jobs are still being read.
        shared.starting_term.set(true);
        shared.note_store_answer();
        let now = shared.now();
        let mut ownership = shared.ownership.borrow_mut();
        ownership.set_owner(Some(mine.clone()), end + 1, now);
        return true;
    }
    // The response may be lost, or another instance may have won: the record tells.
    shared.ownership.borrow_mut().stale = true;
    let granted =
        watch::read_record(shared).await && shared.ownership.borrow().owner.as_ref() == Some(mine);
    shared.starting_term.set(granted);
    granted
}

/// Announces the new owner to the other instances; those that are not reached find the record in
/// the store.
async fn announce(shared: &Rc<Shared>, mine: &election::Owner) {
    let members = shared.ownership.borrow().members.clone();
    let others = members.iter().filter(|m| m.instance != mine.instance);
    let sent = others.map(|m| peer::send(shared, &m.address, peer::OWNER, mine, watch::TIMEOUT));
    let answers: Vec<Result<(), link::Error>> = future::join_all(sent).await;
    let heard = answers.iter().filter(|answer| answer.is_ok()).count();
    info!(term = mine.term, told = answers.len(), heard; "term announced to other instances");
}
