//! Idempotency keys of non-idempotent requests: the holder of each key and its response.
//!
//! The first request that records a key holds it for [`RETENTION_MS`] of log time. Another request
//! can take the key over only after a response which states that the holder's request did not run,
//! so an instance records such a response only when it will not send the request again.

use std::collections::VecDeque;

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3;

use crate::{
    findings,
    ids::{
        IdempotencyKey,
        Millis,
        ProfileName,
        RequestId, //
    },
    ledger::{
        effect::Effect,
        record, //
    },
    wire::caller::Ran, //
};

/// Retention of a key after its first record, in milliseconds of log time.
pub const RETENTION_MS: u64 = 24 * 3_600 * 1_000;

/// Number of sorted vectors over which keys are hashed, so that an insertion moves few elements.
const SHARDS: usize = 1_024;

/// A recorded key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The profile to which the key belongs.
    pub profile: ProfileName,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// The request that holds the key.
    pub holder: RequestId,
    /// Time of the first record, on the log's clock.
    pub at: Millis,
    /// The response to the holder's request.
    pub answer: Option<record::Answer>,
}

/// All keys within their retention.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<Entry>", into = "Vec<Entry>")]
pub struct Keys {
    /// The keys by hash, each shard sorted by profile and key.
    shards: Vec<Vec<Entry>>,
    /// The keys from the oldest to the newest, in the order of their expiry.
    ages: VecDeque<(Millis, ProfileName, IdempotencyKey)>,
}

impl Default for Keys {
    fn default() -> Self {
        Self {
            shards: vec![Vec::new(); SHARDS],
            ages: VecDeque::new(),
        }
    }
}

impl From<Vec<Entry>> for Keys {
    fn from(list: Vec<Entry>) -> Self {
        let mut keys = Self::default();
        for entry in list {
            keys.insert(entry);
        }
        keys
    }
}

impl From<Keys> for Vec<Entry> {
    fn from(keys: Keys) -> Self {
        let ages = keys.ages.iter();
        ages.filter_map(|(_, profile, key)| keys.get(profile, key).cloned())
            .collect()
    }
}

impl Keys {
    /// The number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ages.len()
    }

    /// Whether there are no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ages.is_empty()
    }

    /// The record of a key, with its holder and response.
    #[must_use]
    pub fn get(&self, profile: &ProfileName, key: &IdempotencyKey) -> Option<&Entry> {
        let shard = &self.shards[shard(profile, key)];
        shard.get(position(shard, profile, key).ok()?)
    }

    /// Determines the holder of a key: the first request, or this one if the key was released.
    pub fn acquire(&mut self, claim: &record::Key, at: Millis) -> Effect {
        self.expire(at);
        let entry = match self.get_mut(&claim.profile, &claim.key) {
            Some(entry) => entry,
            None => return self.insert_new(claim, at),
        };
        if released(entry) && entry.holder != claim.request {
            entry.holder = claim.request.clone();
            entry.answer = None;
        }
        effect(claim, entry.holder.clone())
    }

    /// Stores the response to the holder's request; the first with a known outcome is kept.
    pub fn answer(&mut self, answer: &record::Answer, at: Millis) -> Option<Effect> {
        self.expire(at);
        let Some(entry) = self.get_mut(&answer.profile, &answer.key) else {
            return Some(skipped(answer, "the key has no record or has expired"));
        };
        if entry.holder != answer.request {
            return Some(skipped(answer, "the key is held by another request"));
        }
        if entry.answer.as_ref() == Some(answer) {
            return None;
        }
        if entry.answer.as_ref().is_some_and(|a| a.ran != Ran::Unknown) {
            return Some(skipped(
                answer,
                "a response is already recorded for the key",
            ));
        }
        entry.answer = Some(answer.clone());
        Some(Effect::Answer(answer.clone()))
    }

    fn insert_new(&mut self, claim: &record::Key, at: Millis) -> Effect {
        self.insert(Entry {
            profile: claim.profile.clone(),
            key: claim.key.clone(),
            holder: claim.request.clone(),
            at,
            answer: None,
        });
        effect(claim, claim.request.clone())
    }

    fn insert(&mut self, entry: Entry) {
        let shard = &mut self.shards[shard(&entry.profile, &entry.key)];
        let Err(at) = position(shard, &entry.profile, &entry.key) else {
            return;
        };
        let age = (entry.at, entry.profile.clone(), entry.key.clone());
        shard.insert(at, entry);
        self.ages.push_back(age);
    }

    fn get_mut(&mut self, profile: &ProfileName, key: &IdempotencyKey) -> Option<&mut Entry> {
        let shard = &mut self.shards[shard(profile, key)];
        let at = position(shard, profile, key).ok()?;
        shard.get_mut(at)
    }

    fn expire(&mut self, now: Millis) {
        while let Some((at, profile, key)) = self.ages.front() {
            if now.since(*at) < RETENTION_MS {
                return;
            }
            let shard = &mut self.shards[shard(profile, key)];
            if let Ok(at) = position(shard, profile, key) {
                shard.remove(at);
            }
            self.ages.pop_front();
        }
    }
}

fn released(entry: &Entry) -> bool {
    entry.answer.as_ref().is_some_and(|a| a.ran == Ran::No)
}

fn position(shard: &[Entry], profile: &ProfileName, key: &IdempotencyKey) -> Result<usize, usize> {
    shard.binary_search_by(|h| (&h.profile, &h.key).cmp(&(profile, key)))
}

fn shard(profile: &ProfileName, key: &IdempotencyKey) -> usize {
    let seed = xxh3::xxh3_64(profile.as_str().as_bytes());
    let hash = xxh3::xxh3_64_with_seed(key.as_str().as_bytes(), seed);
    (hash % SHARDS as u64) as usize
}

fn effect(claim: &record::Key, holder: RequestId) -> Effect {
    Effect::Key {
        profile: claim.profile.clone(),
        key: claim.key.clone(),
        request: claim.request.clone(),
        holder,
    }
}

fn skipped(answer: &record::Answer, problem: &str) -> Effect {
    Effect::Skipped(findings::Finding {
        source: answer.request.as_str().into(),
        place: "/key".to_owned(),
        problem: problem.to_owned(),
        hint: String::new(),
    })
}
