//! Heartbeats, and committed log entries from peers while the log is out.

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
const HEARTBEAT_LIMIT: Duration = Duration::from_millis(500);

/// How long a peer may take to send entries.
const TAIL_LIMIT: Duration = Duration::from_secs(3);

/// Calls of peers, as a stream for the scheduler.
pub type Calls = mpsc::UnboundedReceiver<Call>;

/// Connections to one peer.
#[derive(Debug, Clone)]
pub(super) struct Client {
    address: CompactString,
    client: Rc<HttpClient>,
}

impl Scheduler {
    /// Sends the heartbeats that are due.
    pub(super) fn greet(&mut self, ctx: &mut Context<Self>) {
        let now = self.now();
        for target in self.members.due(now) {
            self.meter(&target.id);
            self.greet_one(&target.peer, ctx);
        }
    }

    /// Counts the bytes of a heartbeat that goes to another region.
    fn meter(&self, id: &InstanceId) {
        let peers = self.members.peers().iter();
        let mut far = peers.filter(|p| p.id == *id && p.region != self.settings.region);
        if far.next().is_none() {
            return;
        }
        let bytes = serde_json::to_vec(&self.heartbeat()).map_or(0, |text| text.len());
        self.metrics.remote.inc_by(bytes as u64);
    }

    fn greet_one(&mut self, address: &CompactString, ctx: &mut Context<Self>) {
        let Some(client) = self.client(address) else {
            return;
        };
        let own = self.heartbeat();
        let address = address.clone();
        let asked = async move {
            let sent = client.heartbeat(own);
            tokio::time::timeout(HEARTBEAT_LIMIT, sent).await
        };
        self.then(ctx, asked, move |actor, answer, ctx| match answer {
            Ok(Ok(beat)) => actor.heard(&beat, ctx),
            // A connection may have gone silent: the next heartbeat opens a new one.
            _ => actor.peers.retain(|peer| peer.address != address),
        });
    }

    /// Takes in a heartbeat; asks the peer for entries when it is ahead and the log is out.
    fn heard(&mut self, beat: &peer::Heartbeat, ctx: &mut Context<Self>) {
        let now = self.now();
        self.members.heard(now, beat);
        for shape in &beat.shapes {
            super::learn(&mut self.heard, *shape);
        }
        self.ledger
            .addr
            .do_send(replica::PeerOffset { next: beat.next });
        let next = self.ledger.read(|state| state.next());
        if beat.next > next {
            self.catch_up(beat.peer.clone(), ctx);
        }
    }

    /// Fetches committed entries from a peer if the log does not answer.
    fn catch_up(&mut self, address: CompactString, ctx: &mut Context<Self>) {
        let Some(client) = self.client(&address) else {
            return;
        };
        let ledger = self.ledger.addr.clone();
        let fetched = async move {
            let status = ledger.send(replica::GetStatus).await.ok()?;
            if status.silent.is_none() && status.loaded {
                return None;
            }
            let asked = client.tail(status.next);
            let tail = tokio::time::timeout(TAIL_LIMIT, asked).await;
            let tail = tail.ok()?.ok()?;
            ledger.send(replica::ApplyTail(tail)).await.ok()
        };
        self.then(ctx, fetched, |_, _: Option<Offset>, _| {});
    }

    fn client(&mut self, address: &CompactString) -> Option<Rc<HttpClient>> {
        if let Some(known) = self.peers.iter().find(|peer| peer.address == *address) {
            return Some(known.client.clone());
        }
        let built = HttpClientBuilder::default().build(format!("http://{address}"));
        let client = Rc::new(built.ok()?);
        self.peers.push(Client {
            address: address.clone(),
            client: client.clone(),
        });
        Some(client)
    }

    /// Greets the seeds, so that a fresh instance finds its peers while the platform is out.
    pub(super) fn greet_seeds(&mut self, ctx: &mut Context<Self>) {
        for seed in self.settings.seeds.clone() {
            let address = compact_str::ToCompactString::to_compact_string(&seed);
            self.greet_one(&address, ctx);
        }
    }
}

impl StreamHandler<Call> for Scheduler {
    fn handle(&mut self, call: Call, ctx: &mut Context<Self>) {
        match call {
            Call::Heartbeat(beat, answer) => {
                self.heard(&beat, ctx);
                // The peer may have given up.
                let _ = answer.send(self.heartbeat());
            }
            Call::Tail(from, answer) => {
                let ledger = self.ledger.addr.clone();
                actix_rt::spawn(async move {
                    if let Ok(tail) = ledger.send(replica::GetTail { from }).await {
                        let _ = answer.send(tail);
                    }
                });
            }
        }
    }

    fn finished(&mut self, _: &mut Context<Self>) {}
}
