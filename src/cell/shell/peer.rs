//! Protocol between instances: messages, their handlers and the client.

use std::{
    rc::Rc,
    time::Duration, //
};

use compact_str::CompactString;
use log::info;
use serde::{
    Deserialize,
    Serialize,
    de::DeserializeOwned, //
};

use crate::{
    cell::{
        election,
        model, //
    },
    platform::advice,
    remote::{
        link,
        uplink, //
    }, //
};

use super::{
    Shared,
    handler,
    relay,
    server::Answer,
    watch, //
};

/// Margin of the timeout for a question to the placement policy, beyond its estimated duration: two
/// round trips through a slow machine.
pub(super) const ADVICE_MARGIN: Duration = Duration::from_millis(400);

/// Path of heartbeats.
pub const PING: &str = "/ping";

/// Path of questions to a witness about when it last heard from the owner.
pub const SEEN: &str = "/seen";

/// Path of announcements of a new owner.
pub const OWNER: &str = "/owner";

/// Path of callers' requests that are forwarded to the owner.
pub const ASK: &str = "/ask";

/// Path of questions to the placement policy, which the owner distributes over the instances.
pub const ADVISE: &str = "/advise";

/// Path of start commands that another instance sends on to a worker.
pub const RELAY: &str = "/relay";

/// A heartbeat to the owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Instance that sends the heartbeat.
    pub instance: CompactString,
    /// Address of the instance for other instances.
    pub address: CompactString,
    /// Highest term of an owner that the instance knows.
    pub term: u64,
    /// Capacity of the instance to own the cell; see [`strength`](crate::cell::settings::Cell::strength).
    pub strength: u32,
    /// Version of the roster that the instance has; 0 for none.
    #[serde(default)]
    pub roster: u64,
}

/// An instance that sends heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub instance: CompactString,
    /// Address of the instance for other instances.
    pub address: CompactString,
    /// Capacity of the instance to own the cell; see [`strength`](crate::cell::settings::Cell::strength).
    pub strength: u32,
}

/// The response to a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Highest term that the responding instance knows.
    pub term: u64,
    /// Whether the responding instance owns the cell in that term.
    pub owner: bool,
    /// Whether another instance should take over, because this one is stopping, cannot store
    /// batches or is too weak.
    pub leaving: bool,
    /// Version of the roster; 0 if the responding instance has none.
    #[serde(default)]
    pub roster: u64,
    /// Rank of the asking instance among the candidates for ownership.
    #[serde(default)]
    pub rank: Option<u64>,
    /// Instances that send heartbeats, in the order in which they should take over; `None` if the
    /// asking instance has this version of the roster.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub members: Option<Vec<Member>>,
}

/// When a witness last heard from the owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LastHeard {
    /// Highest term of an owner that the instance knows.
    pub term: u64,
    /// Time since the owner's last response, in milliseconds.
    pub age: u64,
    /// Time within which the instance expects a response of the owner, in milliseconds.
    #[serde(default)]
    pub patience: u64,
}

/// A question to the placement policy.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AdviceRequest {
    /// Name of the step.
    pub step: CompactString,
    /// Workers for which permits are requested.
    pub workers: Vec<CompactString>,
    /// Estimated time that the policy takes, in milliseconds.
    pub cost: u64,
}

/// A caller's request for the owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// Submits a job.
    Submit {
        /// Id of the job.
        id: CompactString,
        /// Queue of the job.
        queue: Box<model::Queue>,
        /// Specification and steps of the job.
        work: Box<model::Submission>,
        /// Instance that received the job from its caller.
        #[serde(default)]
        origin: CompactString,
        /// Organisation on whose behalf the job is submitted; empty for none.
        #[serde(default, skip_serializing_if = "CompactString::is_empty")]
        organisation: CompactString,
        /// Incarnation of the instance that received the job; 0 from an earlier build.
        #[serde(default)]
        incarnation: u64,
        /// Number of the caller's request among those of that incarnation, which all copies of the request
        /// share; 0 from an earlier build.
        #[serde(default)]
        number: u64,
        /// Term of the owner for which the copy is meant; 0 from an earlier build.
        #[serde(default)]
        term: u64,
        /// Caller's timeout in milliseconds.
        #[serde(rename = "patience")]
        timeout: u64,
    },
    /// Reads the state of a job.
    State {
        /// Id of the job.
        id: CompactString,
    },
    /// Cancels a job.
    Cancel {
        /// Id of the job.
        id: CompactString,
        /// Caller's timeout in milliseconds.
        #[serde(rename = "patience")]
        timeout: u64,
    },
    /// Counts the waiting jobs of a queue.
    Waiting {
        /// Name of the queue.
        queue: CompactString,
    },
}

impl Request {
    /// Sets the time for which the caller still waits, in milliseconds.
    pub fn set_timeout(&mut self, left: u64) {
        if let Request::Submit { timeout, .. } | Request::Cancel { timeout, .. } = self {
            *timeout = left;
        }
    }

    /// Sets the term of the owner that the next copy is sent to.
    pub fn set_term(&mut self, owner: u64) {
        if let Request::Submit { term, .. } = self {
            *term = owner;
        }
    }
}

/// Outcome of a caller's request, as the owner reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The job is stored.
    Accepted,
    /// The job was rejected and never runs; holds the delay before a retry in seconds.
    Refused(u64),
    /// The job was rejected and never runs, since its organisation has too much work waiting; holds the
    /// delay before a retry in seconds.
    Overloaded(u64),
    /// The job is invalid; holds the reason.
    Invalid(String),
    /// Whether the job is stored is unknown.
    Unknown,
    /// State of the job.
    State(model::State),
    /// The job does not exist.
    Gone,
    /// Number of waiting jobs.
    Waiting(usize),
    /// The responding instance does not own the cell.
    Elsewhere,
    /// The term ended while the job was on its way to the store; the next owner knows it if it is
    /// stored.
    Interrupted,
}

/// Kind of the messages at `path`.
pub(super) fn kind(path: &str) -> uplink::Kind {
    match path {
        PING => uplink::Kind::Heartbeat,
        SEEN | OWNER => uplink::Kind::Election,
        ASK => uplink::Kind::Forward,
        ADVISE => uplink::Kind::Policy,
        RELAY => uplink::Kind::Start,
        _ => uplink::Kind::Other,
    }
}

/// Whether there is a call at `path`.
pub(super) fn is_call(path: &str) -> bool {
    matches!(path, PING | SEEN | OWNER | ASK | ADVISE | RELAY)
}

/// Serves a request of another instance.
pub async fn serve(shared: &Rc<Shared>, path: &str, body: &[u8]) -> Answer {
    match path {
        PING => reply(body, |b: Heartbeat| async move { Ok(respond(shared, &b)) }).await,
        SEEN => reply(body, |(): ()| async move { Ok(watch::age(shared).await) }).await,
        OWNER => {
            let announced = |owner: election::Owner| async move {
                shared.yield_to(owner.term);
                shared
                    .ownership
                    .borrow_mut()
                    .note_announcement(owner, shared.now());
                shared.owner_changed.notify_waiters();
                Ok(())
            };
            reply(body, announced).await
        }
        ASK => {
            let forwarded = |request: Request| async move {
                Ok(match is_outdated(shared, &request) {
                    true => Outcome::Unknown,
                    false => answer_caller(shared, request).await,
                })
            };
            reply(body, forwarded).await
        }
        RELAY => {
            let relayed = |order| async move { Ok(relay::serve(shared, order).await) };
            reply(body, relayed).await
        }
        ADVISE => {
            reply(body, |question: AdviceRequest| async move {
                advise(shared, &question).await
            })
            .await
        }
        _ => Answer::text(404, "no such call\n"),
    }
}

/// Whether the instance that forwarded a submission may have given it up while this process stood
/// still.
fn is_outdated(shared: &Shared, request: &Request) -> bool {
    let age = shared.stalls.age(shared.now());
    let Request::Submit { id, timeout, .. } = request else {
        return false;
    };
    let outdated = age > 0 && age >= *timeout;
    if outdated {
        info!(job = id.as_str(), age, timeout; "forwarded submission not handled: it was read too late");
    }
    outdated
}

async fn reply<A, B, F>(body: &[u8], handler: impl FnOnce(A) -> F) -> Answer
where
    A: DeserializeOwned,
    B: Serialize,
    F: Future<Output = Result<B, link::Error>>,
{
    let message = match serde_json::from_slice(body) {
        Ok(message) => message,
        Err(e) => return Answer::text(400, &format!("{e}\n")),
    };
    match handler(message).await {
        Ok(answer) => Answer::json(200, serde_json::to_vec(&answer).unwrap_or_default()),
        Err(e) => Answer::text(503, &format!("{e}\n")),
    }
}

/// Records a heartbeat and responds to it.
fn respond(shared: &Shared, beat: &Heartbeat) -> HeartbeatReply {
    shared.yield_to(beat.term);
    let owner = shared.owner.borrow().clone();
    let owner = owner.filter(|owner| !owner.is_over());
    let term = shared.ownership.borrow().term();
    if let Some(owner) = &owner {
        owner.heard(beat, shared.now());
    }
    if beat.term > term {
        shared.ownership.borrow_mut().mark_stale();
    }
    let excerpt = owner
        .as_ref()
        .map(|o| o.excerpt(&beat.instance, beat.roster, shared.now()));
    let (roster, rank) = excerpt.as_ref().map_or((0, None), |e| (e.version, e.rank));
    HeartbeatReply {
        term,
        owner: owner.is_some() || shared.starting_term.get(),
        leaving: shared.stopping.get() || owner.as_ref().is_some_and(|o| o.should_step_down()),
        roster,
        rank,
        // Earlier builds expect a list in every reply.
        members: excerpt.map_or_else(|| Some(Vec::new()), |e| e.members),
    }
}

/// Handles a caller's request if this instance is the owner.
pub async fn answer_caller(shared: &Shared, request: Request) -> Outcome {
    let Some(owner) = shared.owner.borrow().clone() else {
        return Outcome::Elsewhere;
    };
    handler::handle(&owner, request).await
}

/// Asks the placement policy on behalf of the owner.
///
/// # Errors
///
/// Returns why the policy gave no permits.
pub async fn advise(
    shared: &Shared,
    question: &AdviceRequest,
) -> Result<Vec<model::Permit>, link::Error> {
    let Some(policy) = &shared.policy else {
        return Err(link::Error::Unreachable);
    };
    let limit = Duration::from_millis(question.cost) + ADVICE_MARGIN;
    advice::request_permits(policy, &question.step, &question.workers, limit).await
}

/// Sends a message to another instance.
///
/// # Errors
///
/// Returns why no response arrived.
pub async fn send<A: Serialize, B: DeserializeOwned>(
    shared: &Shared,
    address: &str,
    path: &str,
    message: &A,
    limit: Duration,
) -> Result<B, link::Error> {
    let link = shared.peers.get(address);
    link.post_kind(kind(path), path, message, limit).await
}

/// Returns the owner as far as this instance knows.
#[must_use]
pub fn known_owner(shared: &Shared) -> Option<election::Owner> {
    shared.ownership.borrow().owner.clone()
}
