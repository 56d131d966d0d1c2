//! Messages between instances, and their answers.

use std::{
    rc::Rc,
    time::Duration, //
};

use compact_str::CompactString;
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
    remote::link, //
};

use super::{
    Shared,
    handler,
    monitor, //
    server::Answer,
};

/// Added to the time that a question to the policy takes, before it is given up: two round trips
/// with a slow machine between.
pub(super) const ADVICE_MARGIN: Duration = Duration::from_millis(400);

/// Path of heartbeats.
pub const PING: &str = "/ping";

/// Path of the question whether an instance hears from the owner.
pub const SEEN: &str = "/seen";

/// Path of the word that an instance owns the cell from now on.
pub const OWNER: &str = "/owner";

/// Path of callers' requests that are passed on to the owner.
pub const ASK: &str = "/ask";

/// Path of questions to the policy that the owner spreads over the instances.
pub const ADVISE: &str = "/advise";

/// A heartbeat to the owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who sends it.
    pub instance: CompactString,
    /// Its address for other instances.
    pub address: CompactString,
    /// The owner's term that it knows.
    pub term: u64,
    /// Its processor share, in thousandths of a core.
    pub strength: u32,
}

/// An instance that sends heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub instance: CompactString,
    /// Its address for other instances.
    pub address: CompactString,
    /// Its processor share, in thousandths of a core.
    pub strength: u32,
}

/// The answer to a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The highest term that the answering instance knows.
    pub term: u64,
    /// Whether it owns the cell in that term.
    pub owner: bool,
    /// Whether it stops soon or the store refuses it.
    pub leaving: bool,
    /// Those that send heartbeats, in the order in which they should take over.
    pub members: Vec<Member>,
}

/// When an instance heard from the owner last.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LastHeard {
    /// The owner's term that it knows.
    pub term: u64,
    /// Milliseconds since the owner's last answer.
    pub age: u64,
}

/// A question to the policy.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AdviceRequest {
    /// The step's name.
    pub step: CompactString,
    /// The workers.
    pub workers: Vec<CompactString>,
    /// Milliseconds that the answer takes.
    pub cost: u64,
}

/// A caller's request for the owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// Take a job in.
    Submit {
        /// Its id.
        id: CompactString,
        /// Its queue.
        queue: Box<model::Queue>,
        /// What it consists of.
        work: Box<model::Submission>,
        /// Milliseconds that the caller waits.
        #[serde(rename = "patience")]
        timeout: u64,
    },
    /// Tell a job's state.
    State {
        /// Its id.
        id: CompactString,
    },
    /// Cancel a job.
    Cancel {
        /// Its id.
        id: CompactString,
        /// Milliseconds that the caller waits.
        #[serde(rename = "patience")]
        timeout: u64,
    },
    /// Tell how many jobs of a queue wait.
    Waiting {
        /// The queue.
        queue: CompactString,
    },
}

/// The owner's answer to a caller's request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The job is stored.
    Accepted,
    /// The job was not taken and never runs; come back after so many seconds.
    Refused(u64),
    /// The job is wrong.
    Invalid(String),
    /// It is not known whether the job is stored.
    Unknown,
    /// The job's state.
    State(model::State),
    /// No such job.
    Gone,
    /// Number of jobs that wait.
    Waiting(usize),
    /// The asked instance does not own the cell.
    Elsewhere,
}

/// Answers another instance.
pub async fn serve(shared: &Rc<Shared>, path: &str, body: &[u8]) -> Answer {
    match path {
        PING => reply(body, |b: Heartbeat| async move { Ok(respond(shared, &b)) }).await,
        SEEN => reply(body, |(): ()| async move { Ok(monitor::age(shared).await) }).await,
        OWNER => {
            let announced = |owner: election::Owner| async move {
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
            let forwarded =
                |request: Request| async move { Ok(answer_caller(shared, request).await) };
            reply(body, forwarded).await
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

fn respond(shared: &Shared, beat: &Heartbeat) -> HeartbeatReply {
    let owner = shared.owner.borrow().clone();
    let term = shared.ownership.borrow().term();
    if let Some(owner) = &owner {
        owner.heard(beat, shared.now());
    }
    if beat.term > term {
        shared.ownership.borrow_mut().mark_stale();
    }
    HeartbeatReply {
        term,
        owner: owner.is_some() || shared.starting_term.get(),
        leaving: shared.stopping.get() || owner.as_ref().is_some_and(|o| o.should_step_down()),
        members: owner.map_or_else(Vec::new, |o| o.members(shared.now())),
    }
}

/// Answers a caller's request as the owner.
pub async fn answer_caller(shared: &Shared, request: Request) -> Outcome {
    let Some(owner) = shared.owner.borrow().clone() else {
        return Outcome::Elsewhere;
    };
    handler::answer(&owner, request).await
}

/// Asks the policy on the owner's behalf.
///
/// # Errors
///
/// Returns why no permits came.
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
/// Returns why no answer came.
pub async fn send<A: Serialize, B: DeserializeOwned>(
    shared: &Shared,
    address: &str,
    path: &str,
    message: &A,
    limit: Duration,
) -> Result<B, link::Error> {
    let link = shared.peers.get(address, &shared.zone);
    link.post(path, message, limit).await
}

/// The owner that an instance knows.
#[must_use]
pub fn known_owner(shared: &Shared) -> Option<election::Owner> {
    shared.ownership.borrow().owner.clone()
}
