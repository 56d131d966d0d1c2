//! Watches the owner, and becomes it when the rules of [`election`] say so.

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
        Step,
        View,
        Witness,
        Word, //
    },
    platform::store,
    remote::link, //
};

use super::{
    Shared,
    owner,
    peer::{
        self,
        Member,
        Ping,
        Pong,
        Seen, //
    },
    record, //
};

/// Time between heartbeats to the owner.
const HEARTBEAT: Duration = Duration::from_millis(400);

/// Time between looks while the owner does not answer.
const ALERT: Duration = Duration::from_millis(100);

/// Limit of a heartbeat.
const PING: Duration = Duration::from_millis(450);

/// Limit of the question to other instances.
const SEEN: Duration = Duration::from_millis(300);

/// Age of an answer up to which another instance vouches for the owner, in milliseconds.
const FRESH: u64 = 800;

/// Time for which what others said holds, in milliseconds: longer than two heartbeats without an
/// answer take.
const WITNESS: u64 = 1_300;

/// Limit of an exchange with the store about ownership.
const STORE: Duration = Duration::from_millis(1_200);

/// Time that an owner gets to recover when the store answers again: one repetition of an append.
const SECOND_LOOK: Duration = Duration::from_millis(300);

/// Limit of a page of the jobs that are read before a claim.
const EARLY: Duration = Duration::from_millis(2_000);

/// Time without any answer of the store after which an instance does not claim, in milliseconds.
const STORE_AGE: u64 = 2_000;

/// Processor share from which an instance can own a large cell, in thousandths of a core: the
/// measured need at 350 workers, doubled.
const STRONG: u32 = 450;

/// Processor share from which an instance can own a small cell, in thousandths of a core.
const FAIR: u32 = 200;

/// Members asked about the owner at most: enough to tell a cut from a death.
const ASKED: usize = 5;

/// What an instance knows of the owner.
#[derive(Debug, Default)]
pub struct Seat {
    /// The newest record.
    pub owner: Option<election::Owner>,
    /// Offset after it, where a new record has to go.
    pub end: u64,
    /// Local time of the owner's last good answer, in milliseconds.
    pub heard: u64,
    /// Whether the record has to be read again.
    pub stale: bool,
    /// When the situation began that may call for a claim, in local milliseconds.
    since: u64,
    word: Word,
    refused: bool,
    /// Other instances, as the owner listed them last.
    members: Vec<Member>,
    witness: Option<(u64, Witness)>,
}

impl Seat {
    /// The owner's term; 0 when none is known.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.owner.as_ref().map_or(0, |owner| owner.term)
    }

    /// Takes note that another instance knows a higher term.
    pub fn outdated(&mut self) {
        self.stale = true;
    }

    fn adopt(&mut self, owner: Option<election::Owner>, end: u64, now: u64) {
        self.end = end;
        self.stale = false;
        if self.owner == owner {
            return;
        }
        if let Some(owner) = &owner {
            info!(owner = owner.instance.as_str(), term = owner.term, before = self.term(); "owner changed");
        }
        self.owner = owner;
        self.heard = now;
        self.since = now;
        self.word = Word::Well;
        self.refused = false;
        self.witness = None;
    }
}

/// Watches until the process ends.
pub async fn run(shared: Rc<Shared>) {
    shared.seat.borrow_mut().stale = true;
    loop {
        if shared.seat.borrow().stale {
            read(&shared).await;
        }
        let own = shared.owner.borrow().clone();
        if let Some(owner) = own {
            guard(&shared, &owner).await;
            continue;
        }
        let well = ping(&shared).await;
        match election::decide(&view(&shared)) {
            Step::Wait => {}
            Step::Ask => {
                ask(&shared).await;
                // What was said is acted upon before the next heartbeat times out.
                if election::decide(&view(&shared)) == Step::Claim {
                    claim(&shared).await;
                }
            }
            Step::Claim => claim(&shared).await,
        }
        time::sleep(if well { HEARTBEAT } else { ALERT }).await;
    }
}

/// Watches over the own term: it ends when the store or a worker has seen a later one.
async fn guard(shared: &Rc<Shared>, owner: &Rc<owner::Owner>) {
    let over = owner.ended();
    tokio::select! {
        () = over => {
            warn!(term = owner.term(); "another instance owns the cell");
            shared.owner.replace(None);
            shared.seat.borrow_mut().stale = true;
            shared.changed.notify_waiters();
        }
        () = time::sleep(HEARTBEAT) => {}
    }
}

/// Reads the record of the owner.
async fn read(shared: &Rc<Shared>) -> bool {
    let newest = match store::newest(&shared.store, store::OWNER, STORE).await {
        Ok(newest) => newest,
        Err(e) => {
            warn!("the owner's record cannot be read: {e}");
            return false;
        }
    };
    shared.store_answered();
    let record = newest.records.into_iter().find(|r| r.key == owner::RECORD);
    let value = record.and_then(|r| r.value);
    let owner = value.and_then(|value| match serde_json::from_slice(&value) {
        Ok(owner) => Some(owner),
        Err(e) => {
            warn!("the owner's record is malformed: {e}");
            None
        }
    });
    shared
        .seat
        .borrow_mut()
        .adopt(owner, newest.end, shared.now());
    shared.changed.notify_waiters();
    true
}

/// Sends a heartbeat; returns whether the owner is well.
async fn ping(shared: &Rc<Shared>) -> bool {
    let Some(owner) = peer::owner(shared) else {
        return false;
    };
    if owner.instance == shared.settings.instance {
        return false;
    }
    let message = Ping {
        instance: shared.settings.instance.clone(),
        address: compact_str::format_compact!("{}", shared.settings.peer),
        term: owner.term,
        strength: shared.settings.strength,
    };
    let answer: Result<Pong, _> =
        peer::send(shared, &owner.address, peer::PING, &message, PING).await;
    let now = shared.now();
    let mut seat = shared.seat.borrow_mut();
    let before = (seat.word, seat.refused);
    match answer {
        Ok(pong) => {
            seat.refused = false;
            seat.word = match (pong.owner, pong.leaving) {
                (true, false) => Word::Well,
                (true, true) => Word::StepsDown,
                (false, _) => Word::Denies,
            };
            if pong.term > owner.term || !pong.owner {
                seat.stale = true;
            }
            if pong.owner {
                seat.heard = now;
                seat.members = pong.members;
            }
        }
        Err(link::Error::Unreachable) => seat.refused = true,
        Err(_) => seat.refused = false,
    }
    let well = seat.word == Word::Well && seat.heard == now;
    if well {
        seat.since = now;
        seat.witness = None;
    } else if before != (seat.word, seat.refused) {
        info!(owner = owner.instance.as_str(), word:? = seat.word, refused = seat.refused,
            heard = now.saturating_sub(seat.heard); "owner is not well");
        seat.since = match seat.word {
            Word::Well if !seat.refused => seat.heard,
            _ => now,
        };
        seat.stale = true;
    }
    well
}

fn view(shared: &Shared) -> View {
    let seat = shared.seat.borrow();
    let now = shared.now();
    let owner = seat.owner.as_ref();
    let me = shared.settings.instance.as_str();
    let others = seat
        .members
        .iter()
        .filter(|m| owner.is_none_or(|o| o.instance != m.instance));
    let rank = others.into_iter().position(|m| m.instance == me);
    let fresh = seat.witness.filter(|(at, _)| at + WITNESS > now);
    View {
        now,
        known: owner.is_some(),
        mine: owner.is_some_and(|o| o.instance == me),
        since: seat.since,
        word: seat.word,
        refused: seat.refused,
        store: shared.store_answers(STORE_AGE) && !seat.stale && !shared.stopping.get(),
        rank: rank.map_or_else(|| unlisted(shared), |rank| rank as u64),
        witness: fresh.map_or(Witness::Unasked, |(_, witness)| witness),
    }
}

/// Rank of an instance that no owner has listed: strong ones first, with some chance between equal
/// ones.
fn unlisted(shared: &Shared) -> u64 {
    let class = match shared.settings.strength {
        STRONG.. => 0,
        FAIR.. => 1,
        _ => 3,
    };
    class + shared.life % 2
}

/// Asks other instances whether they hear from the owner.
async fn ask(shared: &Rc<Shared>) {
    let (members, owner) = {
        let seat = shared.seat.borrow();
        (seat.members.clone(), seat.owner.clone())
    };
    let me = &shared.settings.instance;
    let others = members
        .iter()
        .filter(|m| m.instance != *me && owner.as_ref().is_none_or(|o| o.instance != m.instance));
    let asks = others
        .take(ASKED)
        .map(|m| peer::send(shared, &m.address, peer::SEEN, &(), SEEN));
    let answers: Vec<Result<Seen, link::Error>> = future::join_all(asks).await;
    let term = owner.map_or(0, |o| o.term);
    let mut witness = Witness::Nobody;
    for seen in answers.iter().flatten() {
        if seen.term > term {
            shared.seat.borrow_mut().stale = true;
        }
        if seen.term >= term && seen.age < FRESH {
            witness = Witness::Alive;
            break;
        }
        witness = Witness::Silent;
    }
    info!(asked = answers.len(), answered = answers.iter().flatten().count(), witness:? = witness; "others asked about the owner");
    shared.seat.borrow_mut().witness = Some((shared.now(), witness));
}

/// Asks the store for ownership, and begins the term when it was granted.
async fn claim(shared: &Rc<Shared>) {
    let (before, end) = {
        let seat = shared.seat.borrow();
        (seat.owner.clone(), seat.end)
    };
    // What is stored is read before the owner is replaced, so that there is little left to read
    // while the cell has none.
    let early = match store::newest(&shared.store, store::JOBS, EARLY).await {
        Ok(early) => early,
        Err(e) => {
            warn!("no claim, stored jobs cannot be read: {e}");
            return;
        }
    };
    if shared.seat.borrow().word == Word::StepsDown {
        // When the store was away for all, the owner is well again by now.
        time::sleep(SECOND_LOOK).await;
        if ping(shared).await {
            info!("no claim, the owner is well again");
            return;
        }
    }
    if !read(shared).await || shared.seat.borrow().owner != before {
        return;
    }
    if shared.seat.borrow().end != end && before.is_some() {
        // The record was written anew meanwhile, with the same content: look again.
        return;
    }
    let end = shared.seat.borrow().end;
    let mine = record(shared, before.as_ref().map_or(0, |o| o.term) + 1);
    let value = serde_json::to_vec(&mine).unwrap_or_default();
    let records = store::encode(&[store::Record {
        key: owner::RECORD.into(),
        value: Some(value.into()),
    }]);
    let answer = store::append(
        &shared.store,
        store::OWNER,
        store::Guard::At(end),
        records,
        STORE,
    )
    .await;
    info!(term = mine.term, before = before.as_ref().map_or("", |o| o.instance.as_str()), granted = answer.is_ok(),
        error = answer.as_ref().err().map(ToString::to_string).unwrap_or_default(); "ownership claimed");
    // An answer that was lost is read back; so is who won.
    shared.seat.borrow_mut().stale = true;
    if !read(shared).await {
        return;
    }
    if shared.seat.borrow().owner.as_ref() != Some(&mine) {
        return;
    }
    shared.beginning.set(true);
    let begun = owner::Owner::begin(shared, mine.term, early).await;
    shared.beginning.set(false);
    match begun {
        Ok(owner) => {
            shared.owner.replace(Some(owner));
            shared.changed.notify_waiters();
        }
        Err(e) => {
            warn!(term = mine.term; "the term could not begin: {e}");
            shared.seat.borrow_mut().stale = true;
        }
    }
}
