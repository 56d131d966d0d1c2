//! Rules by which an instance claims ownership of the cell.
//!
//! The store decides ownership: the record that names the owner is replaced only on condition that
//! it has not changed. An unnecessary claim costs time but is safe, since the store and the workers
//! refuse the former owner from then on. The rules here keep such claims rare.

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

/// Delay between the claims of two candidates, in milliseconds: a claim takes a few round trips.
const STAGGER_MS: u64 = 150;

/// Shortest silence of the owner after which other instances are asked to probe it, in milliseconds:
/// one unanswered heartbeat of the first candidates. The probe tells a slow owner from a dead one.
const SILENCE_MS: u64 = 350;

/// Silence beyond the timeout of a heartbeat after which other instances are asked, in milliseconds:
/// the pause between two heartbeats.
const SILENCE_SLACK_MS: u64 = 100;

/// Silence after which an instance that reaches no other instance claims, in milliseconds. The
/// instance may be the last one, but is more likely to be partitioned itself.
const ISOLATION_MS: u64 = 3_000;

/// Delay of a claim once the owner denies its ownership, or other instances confirm that it refuses
/// connections, in milliseconds. No delay is needed, since its process has exited or claims again
/// itself.
const CONFIRMED_DELAY_MS: u64 = 0;

/// Delay of a claim when the owner steps down or has lost the store, in milliseconds.
const STEP_DOWN_DELAY_MS: u64 = 0;

/// Stored record that names the owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Term of the owner, from which its fencing tokens follow.
    pub term: u64,
    /// Name of the owner's instance.
    pub instance: CompactString,
    /// Address for other instances, as `IP:port`.
    pub address: CompactString,
    /// Incarnation of the instance's process.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// Status of the owner as given by its last reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum OwnerStatus {
    /// The instance owns the cell and is healthy.
    #[default]
    Well,
    /// The owner stops soon, or the store refuses it.
    StepsDown,
    /// The instance does not own the cell.
    Denies,
}

/// What other instances report about the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Witness {
    /// No other instance was asked.
    Unasked,
    /// No other instance answers.
    Nobody,
    /// Another instance has a recent reply of the owner.
    Alive,
    /// No instance that answers has a recent reply of the owner.
    Silent,
}

/// An instance's view of the owner. Times are local, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct View {
    /// Current time.
    pub now: u64,
    /// Whether the stored record names an owner.
    pub has_owner: bool,
    /// Whether the record names this instance, though it does not own the cell.
    pub is_self: bool,
    /// Start of the situation that may lead to a claim: time of the owner's last reply, or of
    /// reading the record.
    pub since: u64,
    /// Time after which a response of the owner is late on this path, in milliseconds.
    pub timeout: u64,
    /// Status from the owner's last reply.
    pub status: OwnerStatus,
    /// Whether the owner refuses connections: its process has exited, or the path to it is broken.
    pub refused: bool,
    /// Whether no connection to the owner can be opened: its machine is gone, or the path to it is
    /// broken.
    pub unreachable: bool,
    /// Whether the store answers this instance.
    pub store_reachable: bool,
    /// Rank of this instance among the candidates, from 0.
    pub rank: u64,
    /// Report of the other instances.
    pub witness: Witness,
}

/// Decision of an instance about a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Do nothing.
    Wait,
    /// Ask other instances to probe the owner.
    AskWitnesses,
    /// Claim ownership at the store.
    Claim,
}

/// Decides whether to claim ownership.
///
/// Handles an owner that is killed (refused connections), loses power or is partitioned (silence),
/// each confirmed by other instances that probe it; an owner that shuts down in order or loses only
/// the store; and a partition of this instance alone, while others still reach the owner.
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
    let silence = SILENCE_MS.max(view.timeout + SILENCE_SLACK_MS);
    if passed < silence && !view.unreachable {
        return Decision::Wait;
    }
    match view.witness {
        Witness::Unasked => Decision::AskWitnesses,
        Witness::Silent if passed >= silence + turn => Decision::Claim,
        Witness::Nobody if passed >= ISOLATION_MS + turn => Decision::Claim,
        _ => Decision::Wait,
    }
}
