//! Membership of entry instances, from heartbeats and from the platform's instance list.
//!
//! Only heartbeats decide whether a peer is alive. The list lags: it only adds addresses and
//! shortens the time until an instance that the platform ended counts as dead. Membership works
//! without the list. All times are on the local monotonic clock.

use compact_str::CompactString;
use xxhash_rust::xxh3;

use crate::{
    configs::membership,
    ids::{
        Incarnation,
        InstanceId,
        Millis,
        RegionId,
        ZoneId, //
    },
    wire::{
        list,
        peer::Heartbeat, //
    }, //
};

pub mod peer;

use peer::Contact;
pub use peer::{
    Liveness,
    Peer, //
};

/// Number of instances in each other availability zone that this instance sends heartbeats to.
const REMOTE_FANOUT: usize = 2;

/// Identity of the local instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Id of the instance.
    pub id: InstanceId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Region of the instance.
    pub region: RegionId,
}

/// Recipient of a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Id of the recipient.
    pub id: InstanceId,
    /// `IP:port` at which the recipient serves peers.
    pub peer_address: CompactString,
}

/// Membership as seen by one instance.
#[derive(Debug, Clone)]
pub struct Members {
    cfg: membership::Membership,
    identity: Identity,
    started: Option<Millis>,
    leaving: bool,
    peers: Vec<Peer>,
    regions: Vec<(ZoneId, RegionId)>,
}

impl Members {
    /// Creates a membership that contains only the local instance.
    #[must_use]
    pub fn new(cfg: membership::Membership, identity: Identity) -> Self {
        let regions = vec![(identity.zone.clone(), identity.region.clone())];
        Self {
            cfg,
            identity,
            started: None,
            leaving: false,
            peers: Vec::new(),
            regions,
        }
    }

    /// Identity of the local instance.
    #[must_use]
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Marks the local instance as shutting down; from then on it is not preferred for any key.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns whether the local instance is shutting down.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Applies the platform's instance list.
    pub fn apply_listing(&mut self, now: Millis, listing: &list::Listing) {
        self.started.get_or_insert(now);
        for instance in &listing.instances {
            self.record_region(&instance.zone, &instance.region);
            if instance.role != list::Role::Entry {
                continue;
            }
            let Ok(id) = InstanceId::try_from(instance.id.clone()) else {
                continue;
            };
            self.record_listed(id, instance);
        }
        self.drop_unlisted(now, listing);
    }

    /// Records a heartbeat or a peer's answer to one. A message from an earlier incarnation is
    /// ignored, unless the later one is dead: the wall clock, which numbers incarnations, may have
    /// been set back before the peer started again.
    pub fn record_heartbeat(&mut self, now: Millis, beat: &Heartbeat) {
        self.started.get_or_insert(now);
        if beat.id == self.identity.id {
            return;
        }
        self.record_region(&beat.zone, &beat.region);
        let at = self.peer_index(&beat.id, || Peer::from_heartbeat(beat));
        let local = self.peers[at].zone == self.identity.zone;
        let dead = self.silence_limit(self.cfg.dead, local);
        let peer = &mut self.peers[at];
        let contact = match peer.contact {
            Some(old) if now.since(old.last_heard) < dead && old.incarnation > beat.incarnation => {
                return;
            }
            Some(old)
                if now.since(old.last_heard) < dead && old.incarnation == beat.incarnation =>
            {
                Contact {
                    last_heard: now,
                    ..old
                }
            }
            _ => Contact {
                incarnation: beat.incarnation,
                first_heard: now,
                last_heard: now,
            },
        };
        peer.contact = Some(contact);
        peer.zone = beat.zone.clone();
        peer.region = beat.region.clone();
        peer.caller_address = beat.address.clone();
        peer.peer_address = beat.peer.clone();
        peer.leaving = beat.leaving;
        peer.free = beat.free;
    }

    /// Liveness of a peer, from the time since its last heartbeat.
    #[must_use]
    pub fn liveness(&self, now: Millis, peer: &Peer) -> Liveness {
        let Some(contact) = peer.contact else {
            return Liveness::Unknown;
        };
        let local = peer.zone == self.identity.zone;
        let silent = now.since(contact.last_heard);
        if silent < self.silence_limit(self.cfg.suspect, local) {
            return Liveness::Alive;
        }
        let ended = peer.list_state == list::State::Gone;
        if ended || silent >= self.silence_limit(self.cfg.dead, local) {
            return Liveness::Dead;
        }
        Liveness::Suspect
    }

    /// Live peers of an availability zone, without the local instance.
    pub fn alive<'a>(&'a self, now: Millis, zone: &'a ZoneId) -> impl Iterator<Item = &'a Peer> {
        let peers = self.peers.iter().filter(move |p| p.zone == *zone);
        peers.filter(move |p| self.liveness(now, p) == Liveness::Alive)
    }

    /// All peers, sorted by id.
    #[must_use]
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// Region of an availability zone, if known.
    #[must_use]
    pub fn region(&self, zone: &ZoneId) -> Option<&RegionId> {
        let at = self.regions.binary_search_by(|r| r.0.cmp(zone)).ok()?;
        self.regions.get(at).map(|r| &r.1)
    }

    /// Returns whether the local instance ranks first for `key` within `zone`.
    #[must_use]
    pub fn preferred(&self, now: Millis, key: &str, zone: &ZoneId) -> bool {
        self.rank(now, key, zone) == Some(0)
    }

    /// Rank of the local instance for `key`, from zero; `None` if it is outside the availability
    /// zone or shutting down.
    ///
    /// The rank comes from rendezvous hashing over the settled members that are neither dead nor
    /// leaving, or over all such members if none has settled.
    #[must_use]
    pub fn rank(&self, now: Millis, key: &str, zone: &ZoneId) -> Option<usize> {
        if self.leaving || *zone != self.identity.zone {
            return None;
        }
        let settled = self.settled(now);
        let mine = weight(key, &self.identity.id);
        let ahead = |p: &&Peer| (weight(key, &p.id), &p.id) > (mine, &self.identity.id);
        let candidates = self.candidates(now, settled);
        Some(candidates.filter(ahead).count())
    }

    /// Number of members that [`Members::rank`] orders, including the local instance.
    #[must_use]
    pub fn group_size(&self, now: Millis) -> usize {
        self.candidates(now, self.settled(now)).count() + 1
    }

    /// Returns whether the local instance ranks first among all live members for a key that belongs
    /// to no availability zone.
    #[must_use]
    pub fn responsible(&self, now: Millis, key: &str) -> bool {
        let mine = weight(key, &self.identity.id);
        let alive = self
            .peers
            .iter()
            .filter(|p| self.liveness(now, p) == Liveness::Alive && !p.leaving);
        !self.leaving && alive.into_iter().all(|p| weight(key, &p.id) <= mine)
    }

    /// Returns the recipients of the heartbeats that are due, and records these as sent. Peers of
    /// the same availability zone get them often; of each other zone, a few peers get them rarely.
    pub fn due_heartbeats(&mut self, now: Millis) -> Vec<Target> {
        self.started.get_or_insert(now);
        let every = duration_ms(self.cfg.heartbeat);
        let rare = every.saturating_mul(u64::from(self.cfg.remote));
        let chosen = self.heartbeat_targets();
        let mut targets = Vec::new();
        for at in chosen {
            let peer = &mut self.peers[at];
            let span = if peer.zone == self.identity.zone {
                every
            } else {
                rare
            };
            if peer.last_sent.is_some_and(|sent| now.since(sent) < span) {
                continue;
            }
            peer.last_sent = Some(now);
            targets.push(Target {
                id: peer.id.clone(),
                peer_address: peer.peer_address.clone(),
            });
        }
        targets
    }

    /// Indices of the peers that get heartbeats.
    fn heartbeat_targets(&self) -> Vec<usize> {
        let mut chosen = Vec::new();
        let mut remote = Vec::new();
        for (at, peer) in self.peers.iter().enumerate() {
            if peer.list_state == list::State::Gone {
                continue;
            }
            if peer.zone == self.identity.zone {
                chosen.push(at);
                continue;
            }
            let weight = weight(self.identity.id.as_str(), &peer.id);
            remote.push((&peer.zone, weight, at));
        }
        remote.sort_unstable();
        for zone in remote.chunk_by(|a, b| a.0 == b.0) {
            chosen.extend(zone.iter().take(REMOTE_FANOUT).map(|r| r.2));
        }
        chosen
    }

    /// Peers of the local availability zone that take part in rendezvous hashing.
    fn candidates(&self, now: Millis, settled: bool) -> impl Iterator<Item = &Peer> {
        let settle = duration_ms(self.cfg.settle);
        self.peers.iter().filter(move |p| {
            let Some(contact) = p.contact else {
                return false;
            };
            p.zone == self.identity.zone
                && !p.leaving
                && self.liveness(now, p) != Liveness::Dead
                && (!settled || now.since(contact.first_heard) >= settle)
        })
    }

    /// Returns whether to rank only settled members: the local instance or one of its peers has
    /// settled.
    fn settled(&self, now: Millis) -> bool {
        let settle = duration_ms(self.cfg.settle);
        let own = self
            .started
            .is_some_and(|started| now.since(started) >= settle);
        own || self.candidates(now, true).next().is_some()
    }

    fn record_listed(&mut self, id: InstanceId, instance: &list::Instance) {
        if id == self.identity.id {
            return;
        }
        let at = self.peer_index(&id, || Peer::from_list(id.clone(), instance));
        let peer = &mut self.peers[at];
        peer.list_state = instance.state;
        if peer.contact.is_none() {
            peer.caller_address = instance.address.clone();
            peer.peer_address = instance.peer.clone();
        }
    }

    /// Removes peers that are dead or were never heard, and that the list does not name.
    fn drop_unlisted(&mut self, now: Millis, listing: &list::Listing) {
        let named = |id: &InstanceId| {
            let found = listing
                .instances
                .binary_search_by(|i| i.id.as_str().cmp(id.as_str()));
            found.is_ok()
        };
        let gone: Vec<_> = self
            .peers
            .iter()
            .filter(|p| !named(&p.id))
            .filter(|p| matches!(self.liveness(now, p), Liveness::Dead | Liveness::Unknown))
            .map(|p| p.id.clone())
            .collect();
        self.peers.retain(|p| gone.binary_search(&p.id).is_err());
    }

    fn record_region(&mut self, zone: &ZoneId, region: &RegionId) {
        if let Err(at) = self.regions.binary_search_by(|r| r.0.cmp(zone)) {
            self.regions.insert(at, (zone.clone(), region.clone()));
        }
    }

    fn peer_index(&mut self, id: &InstanceId, new: impl FnOnce() -> Peer) -> usize {
        match self.peers.binary_search_by(|p| p.id.cmp(id)) {
            Ok(at) => at,
            Err(at) => {
                self.peers.insert(at, new());
                at
            }
        }
    }

    /// Time without a heartbeat, in milliseconds, that corresponds to the setting `base`. It is
    /// longer for peers outside the availability zone because their heartbeats are rarer.
    fn silence_limit(&self, base: std::time::Duration, local: bool) -> u64 {
        let factor = if local { 1 } else { self.cfg.remote };
        duration_ms(base).saturating_mul(u64::from(factor))
    }
}

/// Rendezvous weight of a member for a key; the member with the highest weight ranks first.
fn weight(key: &str, member: &InstanceId) -> u64 {
    let seed = xxh3::xxh3_64(member.as_str().as_bytes());
    xxh3::xxh3_64_with_seed(key.as_bytes(), seed)
}

fn duration_ms(span: std::time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
