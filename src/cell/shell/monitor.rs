//! Watches the owner, and claims the cell when the rules of [`election`] say so.

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
    claim,
    owner,
    peer::{
        self,
        Member,
        Ping,
        Pong,
        Seen, //
    }, //
};

/// Time between heartbeats to the owner.
const HEARTBEAT: Duration = Duration::from_millis(400);

/// Time between heartbeats of the first candidates, who have to notice the owner's end before
/// short jobs miss their objective.
const EAGER: Duration = Duration::from_millis(150);

/// Number of candidates that send heartbeats so often: one, and one in case both are lost.
const EAGER_RANKS: u64 = 2;

/// Time between looks while the owner does not answer.
const ALERT: Duration = Duration::from_millis(50);

/// Limit of a heartbeat: some round trips between regions, and a busy owner. A longer silence is
/// looked at by others before it leads to anything.
pub(super) const PING: Duration = Duration::from_millis(250);

/// Limit of the question to other instances: a heartbeat of theirs and the way there.
const SEEN: Duration = Duration::from_millis(400);

/// Age of an answer from which an instance that is asked looks at the owner anew, in milliseconds.
const LOOK_AGE: u64 = 200;

/// Age of an answer up to which another instance vouches for the owner, in milliseconds.
const FRESH: u64 = 300;

/// Time for which it holds that others have no answer of the owner, in milliseconds: until the last
/// of the first candidates has had its turn.
const WITNESS: u64 = 1_300;

/// Time for which it holds that others have an answer of the owner, in milliseconds: it may have
/// ended just after.
const VOUCHED: u64 = 300;

/// Limit of an exchange with the store about ownership.
pub(super) const STORE: Duration = Duration::from_millis(1_200);

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
    pub(super) word: Word,
    refused: bool,
    dark: bool,
    /// Other instances, as the owner listed them last.
    pub(super) members: Vec<Member>,
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

    pub(super) fn adopt(&mut self, owner: Option<election::Owner>, end: u64, now: u64) {
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
        self.dark = false;
        self.witness = None;
    }

    /// Takes note of an owner that another instance tells of; the store has the last word.
    pub fn announced(&mut self, owner: election::Owner, now: u64) {
        if owner.term > self.term() {
            self.adopt(Some(owner), self.end, now);
            self.stale = true;
        }
    }
}

/// Watches until the process ends.
pub async fn run(shared: Rc<Shared>) {
    shared.seat.borrow_mut().stale = true;
    loop {
        refresh(&shared).await;
        let own = shared.owner.borrow().clone();
        if let Some(owner) = own {
            guard(&shared, &owner).await;
            continue;
        }
        let well = ping(&shared).await;
        refresh(&shared).await;
        match election::decide(&view(&shared)) {
            Step::Wait => {}
            Step::Ask => {
                ask(&shared).await;
                refresh(&shared).await;
                // What was said is acted upon before the next heartbeat times out.
                if election::decide(&view(&shared)) == Step::Claim {
                    claim::run(&shared).await;
                }
            }
            Step::Claim => claim::run(&shared).await,
        }
        time::sleep(pause(&shared, well)).await;
    }
}

/// Reads the record of the owner if something spoke against what is known of it.
async fn refresh(shared: &Rc<Shared>) {
    let stale = shared.seat.borrow().stale;
    if stale && shared.owner.borrow().is_none() {
        read(shared).await;
    }
}

/// Time until the next heartbeat.
fn pause(shared: &Shared, well: bool) -> Duration {
    match well {
        false => ALERT,
        true if view(shared).rank < EAGER_RANKS => EAGER,
        true => HEARTBEAT,
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
pub(super) async fn read(shared: &Rc<Shared>) -> bool {
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
pub(super) async fn ping(shared: &Rc<Shared>) -> bool {
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
    if seat.term() != owner.term {
        // Another owner was found meanwhile; the answer says nothing of it.
        return false;
    }
    let before = (seat.word, seat.refused, seat.dark);
    seat.refused = matches!(answer, Err(link::Error::Refused));
    seat.dark = matches!(answer, Err(link::Error::Unreachable));
    if let Ok(pong) = answer {
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
    let well = seat.word == Word::Well && seat.heard == now;
    if well {
        seat.since = now;
        seat.witness = None;
    } else if before != (seat.word, seat.refused, seat.dark) {
        info!(owner = owner.instance.as_str(), word:? = seat.word, refused = seat.refused, dark = seat.dark,
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
    let holds = |witness: Witness| match witness {
        Witness::Alive => VOUCHED,
        _ => WITNESS,
    };
    let fresh = seat.witness.filter(|(at, w)| at + holds(*w) > now);
    View {
        now,
        known: owner.is_some(),
        mine: owner.is_some_and(|o| o.instance == me),
        since: seat.since,
        word: seat.word,
        refused: seat.refused,
        dark: seat.dark,
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

/// Answers another instance that asks when this one heard from the owner; looks at the owner first
/// when that is some time ago.
pub async fn seen(shared: &Rc<Shared>) -> Seen {
    let age = |shared: &Shared| shared.now().saturating_sub(shared.seat.borrow().heard);
    let mine = shared.owner.borrow().is_some();
    if !mine && age(shared) > LOOK_AGE {
        ping(shared).await;
    }
    Seen {
        term: shared.seat.borrow().term(),
        age: if mine { 0 } else { age(shared) },
    }
}
