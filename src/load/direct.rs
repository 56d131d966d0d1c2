//! Worker pool for requests that are sent directly to the backend servers, which gives the baseline
//! for the latency that the system itself adds.
//!
//! One global FIFO queue feeds the worker with the fewest requests in progress, without an entry
//! instance in between: the best that a dispatcher with full knowledge can do.

use std::{
    cell::RefCell,
    net::SocketAddr,
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    }, //
};

use serde::de::DeserializeOwned;
use tokio::sync::{
    Semaphore,
    SemaphorePermit, //
};

use crate::{
    ids::{
        Incarnation,
        InstanceId,
        Token, //
    },
    load::Error,
    wire::{
        list::{
            Listing,
            Role,
            State, //
        },
        worker::{
            LeaseRequest, //
            LeaseResponse,
        }, //
    }, //
};

/// Duration of the leases: one day, longer than any run of the load generator.
const LEASE_TTL_MS: u64 = 86_400_000;

/// Timeout of a request to the platform or a worker.
const TIMEOUT: Duration = Duration::from_secs(5);

/// A worker whose placement lease the load generator holds.
#[derive(Debug, Clone)]
struct LeasedWorker {
    address: SocketAddr,
    token: Token,
    slots: u32,
    active: u32,
}

/// The leased workers and a semaphore over all their slots.
#[derive(Debug)]
pub struct Pool {
    workers: RefCell<Vec<LeasedWorker>>,
    free_slots: Semaphore,
}

/// A reserved slot on a worker, to be returned with [`Pool::release`].
#[derive(Debug)]
pub struct Slot<'a> {
    /// Address of the worker.
    pub address: SocketAddr,
    /// Fencing token to send with the request.
    pub token: Token,
    index: usize,
    _permit: SemaphorePermit<'a>,
}

impl Pool {
    /// Leases every live worker that the platform lists and that grants the lease.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform or a worker does not respond, or if no worker grants its
    /// lease.
    pub async fn lease_all(client: &awc::Client, platform: SocketAddr) -> Result<Self, Error> {
        let url = format!("http://{platform}/v1/instances");
        let sent = client.get(url).timeout(TIMEOUT).send();
        let listing: Listing = receive_json(sent).await?;
        let workers = listing.instances.into_iter();
        let live = workers.filter(|i| i.role == Role::Worker && i.state == State::Live);
        let mut leased = Vec::new();
        for worker in live {
            if let Ok(address) = worker.address.parse() {
                leased.extend(lease_worker(client, address).await?);
            }
        }
        if leased.is_empty() {
            return Err(Error::NoWorker);
        }
        let slots: usize = leased.iter().map(|w| w.slots as usize).sum();
        Ok(Self {
            workers: RefCell::new(leased),
            free_slots: Semaphore::new(slots),
        })
    }

    /// Waits for a free slot in FIFO order and reserves it on the worker with the fewest requests
    /// in progress.
    pub async fn acquire(&self) -> Option<Slot<'_>> {
        let permit = self.free_slots.acquire().await.ok()?;
        let mut workers = self.workers.borrow_mut();
        let free = |w: &(usize, &mut LeasedWorker)| w.1.active < w.1.slots;
        let available = workers.iter_mut().enumerate().filter(free);
        let (index, worker) = available.min_by_key(|w| w.1.active)?;
        worker.active += 1;
        Some(Slot {
            address: worker.address,
            token: worker.token,
            index,
            _permit: permit,
        })
    }

    /// Returns a slot to the pool.
    pub fn release(&self, slot: Slot<'_>) {
        let mut workers = self.workers.borrow_mut();
        workers[slot.index].active -= 1;
    }
}

async fn lease_worker(
    client: &awc::Client,
    address: SocketAddr,
) -> Result<Option<LeasedWorker>, Error> {
    let holder: Result<InstanceId, _> = "load".parse();
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let lease = LeaseRequest {
        holder: holder.map_err(|_| Error::NoWorker)?,
        incarnation: Incarnation(since.unwrap_or_default().as_secs()),
        token: None,
        ttl: LEASE_TTL_MS,
        task_ttl: LEASE_TTL_MS,
    };
    let url = format!("http://{address}/v1/lease");
    let sent = client.post(url).timeout(TIMEOUT).send_json(&lease);
    let grant: LeaseResponse = receive_json(sent).await?;
    let LeaseResponse::Granted(report) = grant else {
        log::warn!(worker:% = address; "placement lease not granted; leaving the worker out");
        return Ok(None);
    };
    Ok(Some(LeasedWorker {
        address,
        token: report.token,
        slots: report.capacity.slots.min(report.capacity.connections),
        active: 0,
    }))
}

async fn receive_json<T: DeserializeOwned>(sent: awc::SendClientRequest) -> Result<T, Error> {
    let mut response = sent.await.map_err(|e| Error::Platform(e.to_string()))?;
    let body = response.json::<T>().limit(64 << 20).await;
    body.map_err(|e| Error::Platform(e.to_string()))
}
