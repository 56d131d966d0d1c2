//! The interface between entry instances, by JSON-RPC over HTTP.

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

/// What entry instances ask of each other.
#[rpc(server, client)]
pub trait Peer {
    /// Tells the sender's state; answers with the receiver's.
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, from: peer::Heartbeat) -> RpcResult<peer::Heartbeat>;

    /// Committed log entries from an offset on, or the whole state.
    #[method(name = "tail")]
    async fn tail(&self, from: Offset) -> RpcResult<peer::Tail>;
}

/// A call of a peer, passed to the scheduler's thread.
#[derive(Debug)]
pub enum Call {
    /// A heartbeat.
    Heartbeat(peer::Heartbeat, oneshot::Sender<peer::Heartbeat>),
    /// A wish for committed entries.
    Tail(Offset, oneshot::Sender<peer::Tail>),
}

/// Serves peers by passing their calls on.
#[derive(Debug, Clone)]
pub struct Service {
    calls: mpsc::UnboundedSender<Call>,
}

impl Service {
    /// A service that passes calls to `calls`.
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

/// The error of an instance that is shutting down.
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
