//! Roster of the instances that send heartbeats to the owner.
//!
//! Handles cells of hundreds of instances: heartbeats are many, and a roster in each reply would
//! fill the owner's link. A reply carries the roster only if the instance has an older version, and
//! in full only for the first candidates for ownership, which announce a new owner to all others.

use std::rc::Rc;

use compact_str::CompactString;

use super::peer::{
    Heartbeat,
    Member, //
};

/// Silence after which an instance leaves the roster, in milliseconds: some lost heartbeats do not
/// change it.
const MEMBER_TIMEOUT_MS: u64 = 3_000;

/// Shortest time between two versions of the roster, in milliseconds.
const VERSION_INTERVAL_MS: u64 = 1_000;

/// Number of candidates that receive the full roster.
const FULL_RANKS: usize = 8;

/// Number of instances in the roster that all others receive.
const SHORT_ROSTER: usize = 16;

/// Number of versions reserved for each term.
const VERSIONS_A_TERM: u64 = 1 << 20;

/// What a reply to a heartbeat says about the roster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Excerpt {
    /// Version of the roster.
    pub version: u64,
    /// Place of the instance among the candidates for ownership; `None` if it is not listed yet.
    pub rank: Option<u64>,
    /// The roster, or its beginning; `None` if the instance has this version.
    pub members: Option<Vec<Member>>,
}

/// Instances that send heartbeats, each with the local time of the newest one in milliseconds.
#[derive(Debug, Default)]
pub struct Roster {
    heard: Vec<(Member, u64)>,
    listed: Rc<Vec<Member>>,
    version: u64,
    published: u64,
}

impl Roster {
    /// Creates an empty roster for a term.
    #[must_use]
    pub fn new(term: u64) -> Self {
        Self {
            version: term.saturating_mul(VERSIONS_A_TERM),
            ..Self::default()
        }
    }

    /// Records a heartbeat that arrived at local time `now`, in milliseconds.
    pub fn record(&mut self, beat: &Heartbeat, now: u64) {
        let member = Member {
            instance: beat.instance.clone(),
            address: beat.address.clone(),
            strength: beat.strength,
        };
        let at = self
            .heard
            .binary_search_by(|(m, _)| m.instance.cmp(&beat.instance));
        match at {
            Ok(at) => self.heard[at] = (member, now),
            Err(at) => self.heard.insert(at, (member, now)),
        }
    }

    /// Address of an instance that has sent a heartbeat.
    #[must_use]
    pub fn address(&self, instance: &str) -> Option<CompactString> {
        let at = self
            .heard
            .binary_search_by(|(m, _)| m.instance.as_str().cmp(instance));
        at.ok().map(|at| self.heard[at].0.address.clone())
    }

    /// Instances in descending order of their strength; a change shows after a short time.
    pub fn members(&mut self, now: u64) -> Rc<Vec<Member>> {
        if now < self.published + VERSION_INTERVAL_MS && !self.listed.is_empty() {
            return self.listed.clone();
        }
        self.published = now;
        self.heard.retain(|(_, at)| at + MEMBER_TIMEOUT_MS > now);
        let mut listed: Vec<Member> = self.heard.iter().map(|(m, _)| m.clone()).collect();
        listed.sort_by_key(|m| std::cmp::Reverse(m.strength));
        if listed != *self.listed {
            self.listed = Rc::new(listed);
            self.version += 1;
        }
        self.listed.clone()
    }

    /// The part of the roster for `instance`, which has version `known`.
    pub fn excerpt(&mut self, instance: &str, known: u64, now: u64) -> Excerpt {
        let members = self.members(now);
        let rank = members.iter().position(|m| m.instance == instance);
        let len = match rank {
            Some(rank) if rank < FULL_RANKS => members.len(),
            _ => members.len().min(SHORT_ROSTER),
        };
        Excerpt {
            version: self.version,
            rank: rank.map(|rank| rank as u64),
            members: (known != self.version).then(|| members[..len].to_vec()),
        }
    }
}
