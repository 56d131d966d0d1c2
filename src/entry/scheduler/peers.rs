//! Heartbeats between entry instances, and log entries from peers while the log is unavailable.

use std::{
    rc::Rc,
    time::Duration, //
};

use actix::{
    Context,
    StreamHandler, //
};
use compact_str::CompactString;
use jsonrpsee::http_client::{
    HttpClient,
    HttpClientBuilder, //
};
use tokio::sync::mpsc;

use super::Scheduler;
use crate::{
    entry::rpc::{
        Call,
        PeerClient, //
    },
    ids::{
        InstanceId,
        Offset, //
    },
    ledger::replica,
    wire::peer, //
};

/// How long a peer may take to answer a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a peer may take to send log entries.
const TAIL_TIMEOUT: Duration = Duration::from_secs(3);

/// Stream of the calls that peers make.
pub type Calls = mpsc::UnboundedReceiver<Call>;

/// RPC client of one peer.
#[derive(Debug, Clone)]
pub(super) struct Client {
    address: CompactString,
    client: Rc<HttpClient>,
}

impl Scheduler {
    /// Sends the heartbeats that are due.
    pub(super) fn send_heartbeats(&mut self, ctx: &mut Context<Self>) {
        let now = self.now();
        for target in self.members.due_heartbeats(now) {
            self.count_remote_bytes(&target.id);
            self.send_heartbeat(&target.peer_address, ctx);
        }
    }

    /// Counts the bytes of a heartbeat that is sent to another region.
    fn count_remote_bytes(&self, id: &InstanceId) {
        let peers = self.members.peers().iter();
        let mut remote = peers.filter(|p| p.id == *id && p.region != self.settings.region);
        if remote.next().is_none() {
            return;
        }
        let bytes = serde_json::to_vec(&self.heartbeat()).map_or(0, |text| text.len());
        self.metrics.remote_bytes.inc_by(bytes as u64);
    }

    fn send_heartbeat(&mut self, address: &CompactString, ctx: &mut Context<Self>) {
        let Some(client) = self.peer_client(address) else {
            return;
        };
        let own = self.heartbeat();
        let address = address.clone();
        let call = async move {
            let sent = client.heartbeat(own);
            tokio::time::timeout(HEARTBEAT_TIMEOUT, sent).await
        };
        self.spawn_then(ctx, call, move |actor, answer, ctx| match answer {
            Ok(Ok(heartbeat)) => actor.on_heartbeat(&heartbeat, ctx),
            // The connection may have stalled without an error; the next heartbeat opens a new one.
            _ => actor.peer_clients.retain(|peer| peer.address != address),
        });
    }

    /// Processes a heartbeat; fetches entries from the peer if the peer is ahead and the log is
    /// unavailable.
    fn on_heartbeat(&mut self, heartbeat: &peer::Heartbeat, ctx: &mut Context<Self>) {
        let now = self.now();
        self.members.record_heartbeat(now, heartbeat);
        for capacity in &heartbeat.shapes {
            super::insert_capacity(&mut self.peer_capacities, *capacity);
        }
        self.ledger.addr.do_send(replica::PeerOffset {
            next: heartbeat.next,
        });
        let next = self.ledger.read(|state| state.next());
        if heartbeat.next > next {
            self.catch_up(heartbeat.peer.clone(), ctx);
        }
    }

    /// Fetches committed entries from a peer if the log does not answer.
    fn catch_up(&mut self, address: CompactString, ctx: &mut Context<Self>) {
        let Some(client) = self.peer_client(&address) else {
            return;
        };
        let ledger = self.ledger.addr.clone();
        let fetched = async move {
            let status = ledger.send(replica::GetStatus).await.ok()?;
            if status.silent.is_none() && status.loaded {
                return None;
            }
            let call = client.tail(status.next);
            let tail = tokio::time::timeout(TAIL_TIMEOUT, call).await;
            let tail = tail.ok()?.ok()?;
            ledger.send(replica::ApplyTail(tail)).await.ok()
        };
        self.spawn_then(ctx, fetched, |_, _: Option<Offset>, _| {});
    }

    fn peer_client(&mut self, address: &CompactString) -> Option<Rc<HttpClient>> {
        if let Some(known) = self
            .peer_clients
            .iter()
            .find(|peer| peer.address == *address)
        {
            return Some(known.client.clone());
        }
        let built = HttpClientBuilder::default().build(format!("http://{address}"));
        let client = Rc::new(built.ok()?);
        self.peer_clients.push(Client {
            address: address.clone(),
            client: client.clone(),
        });
        Some(client)
    }

    /// Sends heartbeats to the seeds, so that a new instance finds its peers while the platform is
    /// unavailable.
    pub(super) fn contact_seeds(&mut self, ctx: &mut Context<Self>) {
        for seed in self.settings.seeds.clone() {
            let address = compact_str::ToCompactString::to_compact_string(&seed);
            self.send_heartbeat(&address, ctx);
        }
    }
}

impl StreamHandler<Call> for Scheduler {
    fn handle(&mut self, call: Call, ctx: &mut Context<Self>) {
        match call {
            Call::Heartbeat(heartbeat, reply) => {
                self.on_heartbeat(&heartbeat, ctx);
                // The receiver is closed if the peer has timed out.
                let _ = reply.send(self.heartbeat());
            }
            Call::Tail(from, reply) => {
                let ledger = self.ledger.addr.clone();
                actix_rt::spawn(async move {
                    if let Ok(tail) = ledger.send(replica::GetTail { from }).await {
                        let _ = reply.send(tail);
                    }
                });
            }
        }
    }

    fn finished(&mut self, _: &mut Context<Self>) {}
}
