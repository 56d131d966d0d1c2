//! When an instance asks for ownership of the cell.
//!
//! Ownership is decided by the store: the record of the owner is replaced only on condition that it
//! has not changed. A wrong claim costs time and breaks nothing, since the store and the workers
//! refuse the former owner from then on. The rules here keep such claims rare.

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

/// Time between the claims of two candidates, in milliseconds: a claim takes a few round trips.
const STAGGER_MS: u64 = 150;

/// Silence of the owner after which others are asked to look at it, in milliseconds: a heartbeat of
/// the first candidates that is not answered. The look tells a slow owner from a dead one.
const SILENCE_MS: u64 = 350;

/// Silence after which an instance that reaches no other claims, in milliseconds: it may be the
/// last one, but is more likely cut off itself.
const ISOLATION_MS: u64 = 3_000;

/// Time until a claim once the owner denies, or others confirm that it refuses connections, in
/// milliseconds: none, since its process is gone or claims anew itself.
const CONFIRMED_DELAY_MS: u64 = 0;

/// Time for which a successor waits when the owner steps down or has lost the store, in
/// milliseconds.
const STEP_DOWN_DELAY_MS: u64 = 0;

/// The record that names the owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Its ordinal, and its fencing token.
    pub term: u64,
    /// Its instance.
    pub instance: CompactString,
    /// `IP:port` for other instances.
    pub address: CompactString,
    /// Tells lives of the instance apart.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// What the owner's last answer said.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum OwnerStatus {
    /// It is the owner and well.
    #[default]
    Well,
    /// It stops soon, or the store refuses it.
    StepsDown,
    /// It does not take itself for the owner.
    Denies,
}

/// What other instances say of the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Witness {
    /// They were not asked.
    Unasked,
    /// None of them answers.
    Nobody,
    /// One has an answer of it.
    Alive,
    /// Those that answer get none from it either.
    Silent,
}

/// What an instance knows about the owner. Times are local, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct View {
    /// Now.
    pub now: u64,
    /// Whether a record names an owner.
    pub has_owner: bool,
    /// Whether the record names this instance, though it does not own the cell.
    pub is_self: bool,
    /// When the situation that calls for a claim began: the last answer, or the record's reading.
    pub since: u64,
    /// The owner's last word.
    pub status: OwnerStatus,
    /// Whether connections to the owner are refused: the process is gone, or the path to it is.
    pub refused: bool,
    /// Whether no connection to it can be opened: it is gone, or the path to it is.
    pub unreachable: bool,
    /// Whether the store answers this instance.
    pub store_reachable: bool,
    /// Position of this instance among the candidates.
    pub rank: u64,
    /// What others say.
    pub witness: Witness,
}

/// What to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Nothing.
    Wait,
    /// Ask other instances to look whether the owner answers them.
    AskWitnesses,
    /// Ask the store for ownership.
    Claim,
}

/// Decides about a claim.
///
/// Answers these patterns: the owner is killed (refused connections), loses power or is cut off
/// (silence), each confirmed by others that look; it stops in an orderly way, or loses the store
/// alone; this instance alone is cut off, and others vouch for the owner.
#[must_use]
pub fn decide(view: &View) -> Decision {
    if !view.store_reachable {
        return Decision::Wait;
    }
    let turn = view.rank * STAGGER_MS;
    let passed = view.now.saturating_sub(view.since);
    let after = |wait: u64| match passed >= wait + turn {
        true => Decision::Claim,
        false => Decision::Wait,
    };
    if view.is_self {
        return Decision::Claim;
    }
    if !view.has_owner {
        return after(0);
    }
    match (view.status, view.refused) {
        (OwnerStatus::Denies, _) => after(CONFIRMED_DELAY_MS),
        (_, true) => match view.witness {
            Witness::Unasked => Decision::AskWitnesses,
            Witness::Alive => Decision::Wait,
            Witness::Silent | Witness::Nobody => after(CONFIRMED_DELAY_MS),
        },
        (OwnerStatus::StepsDown, _) => after(STEP_DOWN_DELAY_MS),
        (OwnerStatus::Well, false) => silence(view, passed, turn),
    }
}

fn silence(view: &View, passed: u64, turn: u64) -> Decision {
    if passed < SILENCE_MS && !view.unreachable {
        return Decision::Wait;
    }
    match view.witness {
        Witness::Unasked => Decision::AskWitnesses,
        Witness::Silent if passed >= SILENCE_MS + turn => Decision::Claim,
        Witness::Nobody if passed >= ISOLATION_MS + turn => Decision::Claim,
        _ => Decision::Wait,
    }
}
