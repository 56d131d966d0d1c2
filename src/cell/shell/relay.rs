//! Start commands that travel through the instance that received the job.
//!
//! Handles an owner whose link is full of start commands, most of whose bytes are the job's
//! specification: the instance that received the job from its caller still has the specification and
//! sends it to the worker over its own link. The owner decides and books as before. The command
//! carries the owner's fencing token and expires by the worker's clock. The next incarnation of the
//! worker has another clock, so a relay that was paused sends nothing that it received before.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::VecDeque,
    rc::Rc,
    time::Duration, //
};

use compact_str::CompactString;
use log::debug;
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3;

use crate::{
    cell::{
        engine::commands::Start,
        fencing,
        model, //
    },
    platform::worker,
    remote::{
        link,
        uplink, //
    }, //
};

use super::{
    Shared,
    owner::Owner,
    peer, //
};

/// Backlog of the owner's link from which start commands are relayed.
const RELAY_BACKLOG: Duration = Duration::from_millis(30);

/// Size of a relayed command, in bytes.
pub(super) const RELAY_BYTES: usize = 250;

/// Time that a relay may need for an exchange with the worker.
const WORKER_TIMEOUT: Duration = Duration::from_millis(350);

/// Timeout of an exchange with a relay: that of the worker, and the way to the relay.
const TIMEOUT: Duration = Duration::from_millis(700);

/// Size of an entry without its specification, in bytes.
const ENTRY_BYTES: usize = 96;

/// A specification with the job that it was submitted for.
#[derive(Debug)]
struct Known {
    job: CompactString,
    hash: u64,
    spec: Rc<str>,
}

/// Specifications that this instance received from callers, oldest first. The jobs may have been
/// rejected, and submitted again with other specifications.
#[derive(Debug)]
pub struct Specs {
    list: RefCell<VecDeque<Known>>,
    /// Size of all entries, in bytes.
    size: Cell<usize>,
    limit: usize,
}

impl Specs {
    /// Creates a list of up to `limit` bytes; the oldest entries are dropped first.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            list: RefCell::default(),
            size: Cell::new(0),
            limit,
        }
    }

    /// Keeps a specification that was submitted for a job.
    pub fn insert(&self, job: &str, spec: &str) {
        let hash = hash(spec);
        if self.get(job, hash).is_some() {
            return;
        }
        let mut list = self.list.borrow_mut();
        list.push_back(Known {
            job: job.into(),
            hash,
            spec: spec.into(),
        });
        let mut size = self.size.get() + ENTRY_BYTES + spec.len();
        while size > self.limit
            && let Some(oldest) = list.pop_front()
        {
            size -= ENTRY_BYTES + oldest.spec.len();
        }
        self.size.set(size);
    }

    /// Returns the specification of a job with the given hash.
    #[must_use]
    pub fn get(&self, job: &str, hash: u64) -> Option<Rc<str>> {
        let list = self.list.borrow();
        let mut newest = list.iter().rev();
        let known = newest.find(|known| known.hash == hash && known.job == job)?;
        Some(known.spec.clone())
    }
}

/// Hash by which the owner and a relay tell specifications apart.
fn hash(spec: &str) -> u64 {
    xxh3::xxh3_64(spec.as_bytes())
}

/// A start command to be sent on, without the job's specification.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedStart {
    /// Fencing token of the owner.
    pub token: fencing::Token,
    /// Id of the worker.
    pub worker: CompactString,
    /// Address of the worker, as `IP:port`.
    pub address: CompactString,
    /// Task to run.
    pub task: model::TaskName,
    /// Hash of the specification of the accepted job.
    pub spec_hash: u64,
    /// Number of the run.
    pub run: u32,
    /// Expiry of the command on the worker's clock, in milliseconds.
    pub expires: u64,
    /// Checkpoint to resume from; empty for none.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub checkpoint: CompactString,
    /// Permit of the placement policy; empty for none.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub permit: CompactString,
}

/// What became of a relayed command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Relayed {
    /// The worker replied.
    Replied(model::Reply),
    /// Nothing was sent to the worker.
    Unsent,
    /// The worker may have received the command.
    Unknown,
}

/// Chooses the instance that relays the start commands of a job; `None` if the owner's own link has
/// room, or if that instance does not send heartbeats.
pub(super) fn choose(owner: &Owner, origin: Option<CompactString>) -> Option<CompactString> {
    let origin = origin?;
    if owner.shared.uplink.backlog() < RELAY_BACKLOG || origin == owner.shared.settings.instance {
        return None;
    }
    let live = owner
        .engine
        .borrow()
        .proxies
        .live(owner.now())
        .any(|instance| *instance == origin);
    live.then(|| owner.address(&origin)).flatten()
}

/// Sends a start command through the instance at `address`.
pub(super) async fn start(owner: &Owner, address: &str, order: &Start) -> Relayed {
    let message = RelayedStart {
        token: order.token,
        worker: order.to.worker.clone(),
        address: order.to.address.clone(),
        task: order.task.clone(),
        spec_hash: hash(&order.spec),
        run: order.run,
        expires: order.expires_at,
        checkpoint: order.checkpoint.clone(),
        permit: order.permit.clone(),
    };
    match peer::send(&owner.shared, address, peer::RELAY, &message, TIMEOUT).await {
        Ok(relayed) => relayed,
        Err(e) => {
            debug!(relay = address, worker = order.to.worker.as_str(); "relayed start command not answered: {e}");
            // An instance of an earlier version does not know the call.
            let refused = matches!(e, link::Error::Status(404));
            match e.may_have_applied() && !refused {
                true => Relayed::Unknown,
                false => Relayed::Unsent,
            }
        }
    }
}

/// Sends a relayed command to its worker.
pub(super) async fn serve(shared: &Rc<Shared>, order: RelayedStart) -> Relayed {
    let Some(spec) = shared.specs.get(&order.task.job, order.spec_hash) else {
        return Relayed::Unsent;
    };
    // This clock goes on while the machine is suspended. The command may have waited in the socket
    // while this process stood still.
    let now = shared.now();
    let arrived = now.saturating_sub(shared.stalls.age(now));
    shared.uplink.turn(uplink::Kind::Start, spec.len()).await;
    // The wait for the link may have taken long, and there may be another owner by now.
    let waited = Duration::from_millis(shared.now().saturating_sub(arrived));
    if waited > WORKER_TIMEOUT || shared.ownership.borrow().term() > order.token.term() {
        return Relayed::Unsent;
    }
    let request = worker::StartRequest {
        task: &order.task,
        run: order.run,
        spec: &spec,
        expires: order.expires,
        token: order.token,
        checkpoint: &order.checkpoint,
        permit: &order.permit,
    };
    let link = shared.workers.get(&order.address);
    match worker::start(&link, &order.worker, &request, WORKER_TIMEOUT).await {
        Ok(reply) => Relayed::Replied(reply),
        Err(e) if e.may_have_applied() => Relayed::Unknown,
        Err(_) => Relayed::Unsent,
    }
}
