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
        Heartbeat,
        HeartbeatReply,
        LastHeard, //
        Member,
    }, //
};

/// Time between heartbeats to the owner.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Time between heartbeats of the first candidates, who have to notice the owner's end before
/// short jobs miss their objective.
const CANDIDATE_INTERVAL: Duration = Duration::from_millis(150);

/// Number of candidates that send heartbeats so often: one, and one in case both are lost.
const CANDIDATE_RANKS: u64 = 2;

/// Time between looks while the owner does not answer.
const UNANSWERED_INTERVAL: Duration = Duration::from_millis(50);

/// Limit of a heartbeat: some round trips between regions, and a busy owner. A longer silence is
/// looked at by others before it leads to anything.
pub(super) const TIMEOUT: Duration = Duration::from_millis(250);

/// Limit of the question to other instances: a heartbeat of theirs and the way there.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(400);

/// Age of an answer from which an instance that is asked looks at the owner anew, in milliseconds.
const RECHECK_AGE_MS: u64 = 200;

/// Age of an answer up to which another instance vouches for the owner, in milliseconds.
const VOUCH_AGE_MS: u64 = 300;

/// Time for which it valid_ms that others have no answer of the owner, in milliseconds: until the last
/// of the first candidates has had its turn.
const SILENT_VALID_MS: u64 = 1_300;

/// Time for which it valid_ms that others have an answer of the owner, in milliseconds: it may have
/// ended just after.
const ALIVE_VALID_MS: u64 = 300;

/// Limit of an exchange with the store about ownership.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time without any answer of the store after which an instance does not claim, in milliseconds.
const STORE_AGE_MS: u64 = 2_000;

/// Processor share from which an instance can own a large cell, in thousandths of a core: the
/// measured need at 350 workers, doubled.
const LARGE_CELL_MILLICORES: u32 = 450;

/// Processor share from which an instance can own a small cell, in thousandths of a core.
const SMALL_CELL_MILLICORES: u32 = 200;

/// Members asked about the owner at most: enough to tell a cut from a death.
const MAX_WITNESSES: usize = 5;

/// What an instance knows of the owner.
#[derive(Debug, Default)]
pub struct Ownership {
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
    unreachable: bool,
    /// Other instances, as the owner listed them last.
    pub(super) members: Vec<Member>,
    witness: Option<(u64, Witness)>,
}

impl Ownership {
    /// The owner's term; 0 when none is known.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.owner.as_ref().map_or(0, |owner| owner.term)
    }

    /// Takes note that another instance knows a higher term.
    pub fn mark_stale(&mut self) {
        self.stale = true;
    }

    pub(super) fn set_owner(&mut self, owner: Option<election::Owner>, end: u64, now: u64) {
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
        self.unreachable = false;
        self.witness = None;
    }

    /// Takes note of an owner that another instance tells of; the store has the last word.
    pub fn note_announcement(&mut self, owner: election::Owner, now: u64) {
        if owner.term > self.term() {
            self.set_owner(Some(owner), self.end, now);
            self.stale = true;
        }
    }
}

/// Watches until the process ends.
pub async fn run(shared: Rc<Shared>) {
    shared.ownership.borrow_mut().stale = true;
    loop {
        refresh(&shared).await;
        let own = shared.owner.borrow().clone();
        if let Some(owner) = own {
            watch_term(&shared, &owner).await;
            continue;
        }
        let well = heartbeat(&shared).await;
        refresh(&shared).await;
        match election::decide(&view(&shared)) {
            Step::Wait => {}
            Step::Ask => {
                ask_witnesses(&shared).await;
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
    let stale = shared.ownership.borrow().stale;
    if stale && shared.owner.borrow().is_none() {
        read_record(shared).await;
    }
}

/// Time until the next heartbeat.
fn pause(shared: &Shared, well: bool) -> Duration {
    match well {
        false => UNANSWERED_INTERVAL,
        true if view(shared).rank < CANDIDATE_RANKS => CANDIDATE_INTERVAL,
        true => HEARTBEAT_INTERVAL,
    }
}

/// Watches over the own term: it ends when the store or a worker has seen a later one.
async fn watch_term(shared: &Rc<Shared>, owner: &Rc<owner::Owner>) {
    let over = owner.ended();
    tokio::select! {
        () = over => {
            warn!(term = owner.term(); "another instance owns the cell");
            shared.owner.replace(None);
            shared.ownership.borrow_mut().stale = true;
            shared.owner_changed.notify_waiters();
        }
        () = time::sleep(HEARTBEAT_INTERVAL) => {}
    }
}

/// Reads the record of the owner.
pub(super) async fn read_record(shared: &Rc<Shared>) -> bool {
    let snapshot = match store::snapshot(&shared.store, store::OWNER, STORE_TIMEOUT).await {
        Ok(snapshot) => snapshot,
        Err(e) => {
            warn!("the owner's record cannot be read: {e}");
            return false;
        }
    };
    shared.note_store_answer();
    let record = snapshot
        .records
        .into_iter()
        .find(|r| r.key == owner::RECORD_KEY);
    let value = record.and_then(|r| r.value);
    let owner = value.and_then(|value| match serde_json::from_slice(&value) {
        Ok(owner) => Some(owner),
        Err(e) => {
            warn!("the owner's record is malformed: {e}");
            None
        }
    });
    shared
        .ownership
        .borrow_mut()
        .set_owner(owner, snapshot.end, shared.now());
    shared.owner_changed.notify_waiters();
    true
}

/// Sends a heartbeat; returns whether the owner is well.
pub(super) async fn heartbeat(shared: &Rc<Shared>) -> bool {
    let Some(owner) = peer::known_owner(shared) else {
        return false;
    };
    if owner.instance == shared.settings.instance {
        return false;
    }
    let message = Heartbeat {
        instance: shared.settings.instance.clone(),
        address: compact_str::format_compact!("{}", shared.settings.peer),
        term: owner.term,
        strength: shared.settings.strength,
    };
    let answer: Result<HeartbeatReply, _> =
        peer::send(shared, &owner.address, peer::PING, &message, TIMEOUT).await;
    let now = shared.now();
    let mut ownership = shared.ownership.borrow_mut();
    if ownership.term() != owner.term {
        // Another owner was found meanwhile; the answer says nothing of it.
        return false;
    }
    let before = (ownership.word, ownership.refused, ownership.unreachable);
    ownership.refused = matches!(answer, Err(link::Error::Refused));
    ownership.unreachable = matches!(answer, Err(link::Error::Unreachable));
    if let Ok(reply) = answer {
        ownership.word = match (reply.owner, reply.leaving) {
            (true, false) => Word::Well,
            (true, true) => Word::StepsDown,
            (false, _) => Word::Denies,
        };
        if reply.term > owner.term || !reply.owner {
            ownership.stale = true;
        }
        if reply.owner {
            ownership.heard = now;
            ownership.members = reply.members;
        }
    }
    let well = ownership.word == Word::Well && ownership.heard == now;
    if well {
        ownership.since = now;
        ownership.witness = None;
    } else if before != (ownership.word, ownership.refused, ownership.unreachable) {
        info!(owner = owner.instance.as_str(), word:? = ownership.word, refused = ownership.refused, dark = ownership.unreachable,
            heard = now.saturating_sub(ownership.heard); "owner is not well");
        ownership.since = match ownership.word {
            Word::Well if !ownership.refused => ownership.heard,
            _ => now,
        };
        ownership.stale = true;
    }
    well
}

fn view(shared: &Shared) -> View {
    let ownership = shared.ownership.borrow();
    let now = shared.now();
    let owner = ownership.owner.as_ref();
    let me = shared.settings.instance.as_str();
    let others = ownership
        .members
        .iter()
        .filter(|m| owner.is_none_or(|o| o.instance != m.instance));
    let rank = others.into_iter().position(|m| m.instance == me);
    let valid_ms = |witness: Witness| match witness {
        Witness::Alive => ALIVE_VALID_MS,
        _ => SILENT_VALID_MS,
    };
    let fresh = ownership.witness.filter(|(at, w)| at + valid_ms(*w) > now);
    View {
        now,
        known: owner.is_some(),
        mine: owner.is_some_and(|o| o.instance == me),
        since: ownership.since,
        word: ownership.word,
        refused: ownership.refused,
        dark: ownership.unreachable,
        store: shared.store_is_reachable(STORE_AGE_MS)
            && !ownership.stale
            && !shared.stopping.get(),
        rank: rank.map_or_else(|| unlisted_rank(shared), |rank| rank as u64),
        witness: fresh.map_or(Witness::Unasked, |(_, witness)| witness),
    }
}

/// Rank of an instance that no owner has listed: strong ones first, with some chance between equal
/// ones.
fn unlisted_rank(shared: &Shared) -> u64 {
    let class = match shared.settings.strength {
        LARGE_CELL_MILLICORES.. => 0,
        SMALL_CELL_MILLICORES.. => 1,
        _ => 3,
    };
    class + shared.incarnation % 2
}

/// Asks other instances whether they hear from the owner.
async fn ask_witnesses(shared: &Rc<Shared>) {
    let (members, owner) = {
        let ownership = shared.ownership.borrow();
        (ownership.members.clone(), ownership.owner.clone())
    };
    let me = &shared.settings.instance;
    let others = members
        .iter()
        .filter(|m| m.instance != *me && owner.as_ref().is_none_or(|o| o.instance != m.instance));
    let requests = others
        .take(MAX_WITNESSES)
        .map(|m| peer::send(shared, &m.address, peer::SEEN, &(), WITNESS_TIMEOUT));
    let answers: Vec<Result<LastHeard, link::Error>> = future::join_all(requests).await;
    let term = owner.map_or(0, |o| o.term);
    let mut witness = Witness::Nobody;
    for reply in answers.iter().flatten() {
        if reply.term > term {
            shared.ownership.borrow_mut().stale = true;
        }
        if reply.term >= term && reply.age < VOUCH_AGE_MS {
            witness = Witness::Alive;
            break;
        }
        witness = Witness::Silent;
    }
    info!(asked = answers.len(), answered = answers.iter().flatten().count(), witness:? = witness; "others asked about the owner");
    shared.ownership.borrow_mut().witness = Some((shared.now(), witness));
}

/// Answers another instance that asks when this one heard from the owner; looks at the owner first
/// when that is some time ago.
pub async fn age(shared: &Rc<Shared>) -> LastHeard {
    let since_heard =
        |shared: &Shared| shared.now().saturating_sub(shared.ownership.borrow().heard);
    let mine = shared.owner.borrow().is_some();
    if !mine && since_heard(shared) > RECHECK_AGE_MS {
        heartbeat(shared).await;
    }
    LastHeard {
        term: shared.ownership.borrow().term(),
        age: if mine { 0 } else { since_heard(shared) },
    }
}
