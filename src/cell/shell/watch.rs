//! Monitors the owner by heartbeats, and claims ownership according to the rules of [`election`].

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
        Decision,
        OwnerStatus, //
        View,
        Witness,
    },
    platform::store,
    remote::{
        link,
        round_trips, //
    }, //
};

use super::{
    Shared,
    claim,
    owner,
    peer::{
        self,
        Heartbeat,
        HeartbeatReply,
        LastHeard,
        Member, //
    }, //
};

/// Interval of heartbeats to the owner.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Heartbeat interval of the first candidates, which must detect a failure of the owner before
/// short jobs miss their objective.
const CANDIDATE_INTERVAL: Duration = Duration::from_millis(150);

/// Number of candidates with the shorter heartbeat interval: the first one, and a second one in
/// case the first fails together with the owner.
const CANDIDATE_RANKS: u64 = 2;

/// Heartbeat interval while the owner is unhealthy.
const UNANSWERED_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest timeout of a heartbeat: a few round trips between regions and a margin for a busy owner.
/// Other instances check the owner before a missed heartbeat has any effect.
pub(super) const TIMEOUT: Duration = Duration::from_millis(250);

/// Longest timeout of a heartbeat, which bounds the time to notice that an owner behind a busy path
/// is gone.
const MAX_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout of a question to a witness: its own heartbeat to the owner, and the round trip to the
/// witness.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(400);

/// Age of the owner's last response from which a witness sends a new heartbeat, in milliseconds.
const RECHECK_AGE_MS: u64 = 200;

/// Age of the owner's last response up to which a witness counts it as alive, in milliseconds.
const VOUCH_AGE_MS: u64 = 300;

/// How long the result stays valid that no witness hears from the owner, in milliseconds: until the
/// last of the first candidates has had its turn.
const SILENT_VALID_MS: u64 = 1_300;

/// How long the result stays valid that a witness hears from the owner, in milliseconds: short,
/// because the owner may have failed just afterwards.
const ALIVE_VALID_MS: u64 = 300;

/// Timeout of a request to the store about ownership.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Age of the store's last response from which an instance does not claim ownership, in
/// milliseconds.
const STORE_AGE_MS: u64 = 2_000;

/// Strength from which an instance can own a large cell, in thousandths of a core: twice the
/// measured need at 350 workers.
const LARGE_CELL_MILLICORES: u32 = 450;

/// Strength from which an instance can own a small cell, in thousandths of a core.
const SMALL_CELL_MILLICORES: u32 = 200;

/// Maximum number of witnesses: enough to distinguish a network partition from a failure of the
/// owner.
const MAX_WITNESSES: usize = 5;

/// What an instance knows about the owner.
#[derive(Debug)]
pub struct Ownership {
    /// Newest record of the owner.
    pub owner: Option<election::Owner>,
    /// End offset of the topic, on which a claim is conditional.
    pub end: u64,
    /// Local time of the owner's last positive response, in milliseconds.
    pub heard: u64,
    /// Whether the record has to be read again.
    pub stale: bool,
    /// Local time at which the present condition of the owner began, in milliseconds.
    since: u64,
    /// What the owner's last response says about its condition.
    pub(super) word: OwnerStatus,
    /// Whether the owner refused the last connection.
    refused: bool,
    /// Whether no connection to the owner could be opened for the last heartbeat.
    unreachable: bool,
    /// Instances that send heartbeats, as the owner listed them last.
    pub(super) members: Vec<Member>,
    /// Version of that list; 0 for none.
    roster: u64,
    /// Rank of this instance among the candidates, as the owner told it last.
    rank: Option<u64>,
    /// Round trips of heartbeats to the owner.
    path: round_trips::RoundTrips,
    /// Result of the last question to witnesses, with its local time in milliseconds.
    witness: Option<(u64, Witness)>,
}

impl Default for Ownership {
    fn default() -> Self {
        Self {
            owner: None,
            end: 0,
            heard: 0,
            stale: false,
            since: 0,
            word: OwnerStatus::Well,
            refused: false,
            unreachable: false,
            members: Vec::new(),
            roster: 0,
            rank: None,
            path: round_trips::RoundTrips::new(TIMEOUT, MAX_TIMEOUT),
            witness: None,
        }
    }
}

impl Ownership {
    /// Returns the owner's term; 0 if no owner is known.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.owner.as_ref().map_or(0, |owner| owner.term)
    }

    /// Marks the record as stale because another instance knows a higher term.
    pub fn mark_stale(&mut self) {
        self.stale = true;
    }

    /// Replaces the known owner and the end offset of the topic; a new owner counts as healthy.
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
        self.word = OwnerStatus::Well;
        self.refused = false;
        self.unreachable = false;
        self.path = round_trips::RoundTrips::new(TIMEOUT, MAX_TIMEOUT);
        self.witness = None;
    }

    /// Adopts an owner that another instance announced, until the record is read from the store.
    pub fn note_announcement(&mut self, owner: election::Owner, now: u64) {
        if owner.term > self.term() {
            self.set_owner(Some(owner), self.end, now);
            self.stale = true;
        }
    }
}

impl Ownership {
    /// Applies the owner's response to a heartbeat; returns whether the owner is healthy.
    fn apply_reply(&mut self, owner: &election::Owner, reply: HeartbeatReply, now: u64) -> bool {
        let word = match (reply.owner, reply.leaving) {
            (true, false) => OwnerStatus::Well,
            (true, true) => OwnerStatus::StepsDown,
            (false, _) => OwnerStatus::Denies,
        };
        if reply.term > owner.term || !reply.owner {
            self.stale = true;
        }
        if reply.owner {
            self.heard = now;
            self.rank = reply.rank;
            if let Some(members) = reply.members.filter(|members| !members.is_empty()) {
                self.members = members;
                self.roster = reply.roster;
            }
        }
        if word == OwnerStatus::Well {
            (self.word, self.refused, self.unreachable) = (word, false, false);
            self.since = now;
            self.witness = None;
            return true;
        }
        self.note_unhealthy(owner, word, (false, false), now);
        false
    }

    /// Records that the owner is not healthy: what its last response says, and whether it refused a
    /// connection or none could be opened.
    fn note_unhealthy(
        &mut self,
        owner: &election::Owner,
        word: OwnerStatus,
        (refused, unreachable): (bool, bool),
        now: u64,
    ) {
        let before = (self.word, self.refused, self.unreachable);
        (self.word, self.refused, self.unreachable) = (word, refused, unreachable);
        if before == (word, refused, unreachable) {
            return;
        }
        info!(owner = owner.instance.as_str(), word:? = self.word, refused = self.refused, dark = self.unreachable,
            heard = now.saturating_sub(self.heard), timeout = self.path.timeout().as_millis() as u64; "owner is unhealthy");
        self.since = match self.word {
            OwnerStatus::Well if !self.refused => self.heard,
            _ => now,
        };
        self.stale = true;
    }

    /// Records another sign of life of the owner of `term`, such as its answer to a caller.
    pub(super) fn note_sign_of_life(&mut self, term: u64, now: u64) {
        if self.term() != term || self.word != OwnerStatus::Well {
            return;
        }
        (self.refused, self.unreachable) = (false, false);
        (self.heard, self.since) = (now, now);
        self.witness = None;
    }
}

/// Monitors the owner until the process ends.
pub async fn run(shared: Rc<Shared>) {
    shared.ownership.borrow_mut().stale = true;
    loop {
        refresh(&shared).await;
        let own = shared.owner.borrow().clone();
        if let Some(owner) = own {
            watch_term(&shared, &owner).await;
            continue;
        }
        let healthy = heartbeat(&shared).await;
        refresh(&shared).await;
        match election::decide(&view(&shared)) {
            Decision::Wait => {}
            Decision::AskWitnesses => {
                ask_witnesses(&shared).await;
                refresh(&shared).await;
                // Acts on the witnesses' answers at once, not only after the next heartbeat has
                // timed out.
                if election::decide(&view(&shared)) == Decision::Claim {
                    claim::run(&shared).await;
                }
            }
            Decision::Claim => claim::run(&shared).await,
        }
        time::sleep(pause(&shared, healthy)).await;
    }
}

/// Reads the record of the owner again if it is stale.
async fn refresh(shared: &Rc<Shared>) {
    let stale = shared.ownership.borrow().stale;
    if stale && shared.owner.borrow().is_none() {
        read_record(shared).await;
    }
}

/// Returns the time until the next heartbeat.
fn pause(shared: &Shared, healthy: bool) -> Duration {
    match healthy {
        false => UNANSWERED_INTERVAL,
        true if view(shared).rank < CANDIDATE_RANKS => CANDIDATE_INTERVAL,
        true => HEARTBEAT_INTERVAL,
    }
}

/// Waits for a heartbeat interval, or for the end of this instance's term, which ends once the
/// store or a worker has seen a higher one.
async fn watch_term(shared: &Rc<Shared>, owner: &Rc<owner::Owner>) {
    let over = owner.ended();
    tokio::select! {
        () = over => {
            warn!(term = owner.term(); "ownership of the cell lost");
            shared.owner.replace(None);
            shared.uplink.favour_messages(false);
            shared.metrics.silent_workers.set(0);
            shared.metrics.unanswered_workers.set(0);
            shared.metrics.cordoned_workers.set(0);
            shared.metrics.waiting_trials.set(0);
            shared.metrics.careful_queues.set(0);
            shared.ownership.borrow_mut().stale = true;
            shared.owner_changed.notify_waiters();
        }
        () = time::sleep(HEARTBEAT_INTERVAL) => {}
    }
}

/// Reads the record of the owner from the store; returns whether it was read.
pub(super) async fn read_record(shared: &Rc<Shared>) -> bool {
    let snapshot = match store::snapshot(&shared.store, store::OWNER, STORE_TIMEOUT).await {
        Ok(snapshot) => snapshot,
        Err(e) => {
            warn!("owner record cannot be read: {e}");
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
            warn!("owner record is malformed: {e}");
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

/// Sends a heartbeat to the owner; returns whether the owner is healthy.
///
/// A response that is late still counts when it arrives: it shows that the owner lives and how slow
/// the path is.
pub(super) async fn heartbeat(shared: &Rc<Shared>) -> bool {
    let Some(owner) = peer::known_owner(shared) else {
        return false;
    };
    // A heartbeat tells the owner that this instance sends no commands.
    if owner.instance == shared.settings.instance || shared.starting_term.get() {
        return false;
    }
    let limit = shared.ownership.borrow().path.timeout();
    let exchange = actix_rt::spawn(exchange_heartbeat(shared.clone(), owner.clone()));
    if let Ok(healthy) = time::timeout(limit, exchange).await {
        return healthy.unwrap_or(false);
    }
    let mut ownership = shared.ownership.borrow_mut();
    if ownership.term() == owner.term {
        let word = ownership.word;
        ownership.note_unhealthy(&owner, word, (false, false), shared.now());
    }
    false
}

async fn exchange_heartbeat(shared: Rc<Shared>, owner: election::Owner) -> bool {
    let message = Heartbeat {
        instance: shared.settings.instance.clone(),
        address: compact_str::format_compact!("{}", shared.settings.peer),
        term: owner.term,
        strength: shared.settings.strength(),
        roster: shared.ownership.borrow().roster,
    };
    let sent = shared.now();
    let answer: Result<HeartbeatReply, _> =
        peer::send(&shared, &owner.address, peer::PING, &message, MAX_TIMEOUT).await;
    let now = shared.now();
    let mut ownership = shared.ownership.borrow_mut();
    if ownership.term() != owner.term {
        // The owner has changed meanwhile; this response is not about the new one.
        return false;
    }
    match answer {
        Ok(reply) => {
            ownership.path.observe(Duration::from_millis(now - sent));
            ownership.apply_reply(&owner, reply, now)
        }
        Err(e) => {
            let refused = matches!(e, link::Error::Refused);
            let unreachable = matches!(e, link::Error::Unreachable);
            // An exchange that ends without a response was reported when it became late.
            if refused || unreachable || now - sent < MAX_TIMEOUT.as_millis() as u64 {
                let word = ownership.word;
                ownership.note_unhealthy(&owner, word, (refused, unreachable), now);
            }
            false
        }
    }
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
    let rank = rank.map(|rank| rank as u64).or(ownership.rank);
    let valid_ms = |witness: Witness| match witness {
        Witness::Alive => ALIVE_VALID_MS,
        _ => SILENT_VALID_MS,
    };
    let fresh = ownership.witness.filter(|(at, w)| at + valid_ms(*w) > now);
    View {
        now,
        has_owner: owner.is_some(),
        is_self: owner.is_some_and(|o| o.instance == me),
        since: ownership.since,
        timeout: ownership.path.timeout().as_millis() as u64,
        status: ownership.word,
        refused: ownership.refused,
        unreachable: ownership.unreachable,
        store_reachable: shared.store_is_reachable(STORE_AGE_MS)
            && !ownership.stale
            && !shared.stopping.get(),
        rank: rank.unwrap_or_else(|| unlisted_rank(shared)),
        witness: fresh.map_or(Witness::Unasked, |(_, witness)| witness),
    }
}

/// Returns the rank of an instance that no owner has listed: by strength, with a random choice
/// between equal ones.
fn unlisted_rank(shared: &Shared) -> u64 {
    let class = match shared.settings.strength() {
        LARGE_CELL_MILLICORES.. => 0,
        SMALL_CELL_MILLICORES.. => 1,
        _ => 3,
    };
    class + shared.incarnation % 2
}

/// Asks other instances, as witnesses, whether they hear from the owner.
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
        let recent = reply
            .patience
            .clamp(VOUCH_AGE_MS, MAX_TIMEOUT.as_millis() as u64);
        if reply.term >= term && reply.age < recent {
            witness = Witness::Alive;
            break;
        }
        witness = Witness::Silent;
    }
    info!(asked = answers.len(), answered = answers.iter().flatten().count(), witness:? = witness; "witnesses asked about the owner");
    shared.ownership.borrow_mut().witness = Some((shared.now(), witness));
}

/// Returns the age of the owner's last response for an instance that asks this one as a witness.
/// Sends a heartbeat first if that response is not recent.
pub async fn age(shared: &Rc<Shared>) -> LastHeard {
    let since_heard =
        |shared: &Shared| shared.now().saturating_sub(shared.ownership.borrow().heard);
    let mine = shared.owner.borrow().is_some();
    if !mine && since_heard(shared) > RECHECK_AGE_MS {
        heartbeat(shared).await;
    }
    LastHeard {
        term: shared.ownership.borrow().term(),
        patience: shared.ownership.borrow().path.timeout().as_millis() as u64,
        age: if mine { 0 } else { since_heard(shared) },
    }
}
