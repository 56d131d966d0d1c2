//! HTTP client of a worker: placement leases, tasks and signals.

use std::time::Duration;

use crate::{
    remote::link::{
        Error,
        Link, //
    },
    wire::worker, //
};

/// Acquires, renews or releases the placement lease of a worker.
///
/// # Errors
///
/// Returns why no response arrived; unless the worker is unreachable, the lease may have been
/// granted.
pub async fn lease(
    link: &Link,
    request: &worker::Lease,
    limit: Duration,
) -> Result<worker::Grant, Error> {
    link.post("/v1/lease", request, limit).await
}

/// Starts tasks on a worker. The request is idempotent.
///
/// # Errors
///
/// Returns why no response arrived; unless the worker is unreachable, the tasks may run.
pub async fn start(
    link: &Link,
    request: &worker::Start,
    limit: Duration,
) -> Result<worker::StartAnswer, Error> {
    link.post("/v1/tasks/start", request, limit).await
}

/// Sends a signal to tasks.
///
/// # Errors
///
/// Returns why no response arrived.
pub async fn signal(
    link: &Link,
    request: &worker::SignalTasks,
    limit: Duration,
) -> Result<worker::Ack, Error> {
    link.post("/v1/tasks/signal", request, limit).await
}

/// Lets the worker discard the records of ended tasks.
///
/// # Errors
///
/// Returns why no response arrived.
pub async fn forget(
    link: &Link,
    request: &worker::Forget,
    limit: Duration,
) -> Result<worker::Ack, Error> {
    link.post("/v1/tasks/forget", request, limit).await
}
