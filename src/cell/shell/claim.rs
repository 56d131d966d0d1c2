//! Claims the cell: replaces the owner's record in the store, begins the term, and sent the others.

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
        Word, //
    },
    platform::store,
    remote::link, //
};

use super::{
    Shared,
    monitor, //
    owner,
    owner_record,
    peer,
};

/// Time that an owner gets to recover when the store answers again: one repetition of an append.
const RECOVERY_TIME: Duration = Duration::from_millis(300);

/// Asks the store for ownership, and begins the term when it was granted.
///
/// What is stored is read beside the claim when the owner is gone, and before it when the owner
/// still works, so that the cell has none for as short as possible.
pub(super) async fn run(shared: &Rc<Shared>) {
    let (before, end, word) = {
        let ownership = shared.ownership.borrow();
        (ownership.owner.clone(), ownership.end, ownership.word)
    };
    let mine = owner_record(shared, before.as_ref().map_or(0, |o| o.term) + 1);
    let (jobs, granted) = if word == Word::StepsDown {
        let jobs = owner::Preloaded::read(shared).await;
        if let Err(e) = &jobs {
            warn!("no claim, stored jobs cannot be read: {e}");
            return;
        }
        // When the store was away for all, the owner is well again by now.
        time::sleep(RECOVERY_TIME).await;
        if monitor::heartbeat(shared).await {
            info!("no claim, the owner is well again");
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
    shared.starting_term.set(true);
    let begun = match jobs {
        Ok(jobs) => owner::Owner::begin(shared, mine.term, predecessor(before, &mine), jobs).await,
        Err(e) => Err(e),
    };
    shared.starting_term.set(false);
    match begun {
        Ok(owner) => {
            shared.owner.replace(Some(owner));
            shared.owner_changed.notify_waiters();
            announce(shared, &mine).await;
        }
        Err(e) => {
            warn!(term = mine.term; "the term could not begin: {e}");
            shared.ownership.borrow_mut().stale = true;
        }
    }
}

/// The owner before `mine`. Its process is gone for sure when it was an earlier life of this one; a
/// refused connection may come from the path to it.
fn predecessor(before: Option<election::Owner>, mine: &election::Owner) -> owner::Predecessor {
    let Some(before) = before else {
        return owner::Predecessor::default();
    };
    let own = before.instance == mine.instance;
    owner::Predecessor {
        gone: own && before.life != mine.life,
        instance: before.instance,
    }
}

/// Replaces the owner's record, which ends at `end` as far as is known; returns whether it was done.
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
        monitor::STORE_TIMEOUT,
    )
    .await;
    info!(term = mine.term, before = before.map_or("", |o| o.instance.as_str()), granted = answer.is_ok(),
        error = answer.as_ref().err().map(ToString::to_string).unwrap_or_default(); "ownership claimed");
    if answer.is_ok() {
        shared.note_store_answer();
        let now = shared.now();
        let mut ownership = shared.ownership.borrow_mut();
        ownership.set_owner(Some(mine.clone()), end + 1, now);
        return true;
    }
    // An answer that was lost is read back; so is who won.
    shared.ownership.borrow_mut().stale = true;
    monitor::read_record(shared).await && shared.ownership.borrow().owner.as_ref() == Some(mine)
}

/// Tells the other instances who owns the cell; those that are missed find it in the store.
async fn announce(shared: &Rc<Shared>, mine: &election::Owner) {
    let members = shared.ownership.borrow().members.clone();
    let others = members.iter().filter(|m| m.instance != mine.instance);
    let sent = others.map(|m| peer::send(shared, &m.address, peer::OWNER, mine, monitor::TIMEOUT));
    let answers: Vec<Result<(), link::Error>> = future::join_all(sent).await;
    let heard = answers.iter().filter(|answer| answer.is_ok()).count();
    info!(term = mine.term, told = answers.len(), heard; "others told of the term");
}
