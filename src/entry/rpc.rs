//! JSON-RPC interface between entry instances, over HTTP.

use jsonrpsee::{
    core::{
        RpcResult,
        async_trait, //
    },
    proc_macros::rpc, //
};
use tokio::sync::{
    mpsc,
    oneshot, //
};

use crate::{
    ids::Offset,
    wire::peer, //
};

/// Methods that entry instances call on each other.
#[rpc(server, client)]
pub trait Peer {
    /// Delivers the state of the sender and returns the state of the receiver.
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, from: peer::Heartbeat) -> RpcResult<peer::Heartbeat>;

    /// Returns the committed log entries from an offset on, or a snapshot of the whole state.
    #[method(name = "tail")]
    async fn tail(&self, from: Offset) -> RpcResult<peer::Tail>;
}

/// Call of a peer, passed to the scheduler's thread with the channel for the reply.
#[derive(Debug)]
pub enum Call {
    /// Heartbeat of a peer.
    Heartbeat(peer::Heartbeat, oneshot::Sender<peer::Heartbeat>),
    /// Request for the committed entries from an offset on.
    Tail(Offset, oneshot::Sender<peer::Tail>),
}

/// RPC server that passes the calls of peers on to the scheduler.
#[derive(Debug, Clone)]
pub struct Service {
    calls: mpsc::UnboundedSender<Call>,
}

impl Service {
    /// Creates a service that sends each call to `calls`.
    #[must_use]
    pub fn new(calls: mpsc::UnboundedSender<Call>) -> Self {
        Self { calls }
    }

    async fn forward<T>(&self, call: impl FnOnce(oneshot::Sender<T>) -> Call) -> RpcResult<T> {
        let (reply, response) = oneshot::channel();
        self.calls.send(call(reply)).map_err(|_| shutting_down())?;
        response.await.map_err(|_| shutting_down())
    }
}

/// Returns the error of an instance that is shutting down.
fn shutting_down() -> jsonrpsee::types::ErrorObjectOwned {
    jsonrpsee::types::ErrorObjectOwned::owned(-32_000, "the instance is shutting down", None::<()>)
}

#[async_trait]
impl PeerServer for Service {
    async fn heartbeat(&self, from: peer::Heartbeat) -> RpcResult<peer::Heartbeat> {
        self.forward(|reply| Call::Heartbeat(from, reply)).await
    }

    async fn tail(&self, from: Offset) -> RpcResult<peer::Tail> {
        self.forward(|reply| Call::Tail(from, reply)).await
    }
}
