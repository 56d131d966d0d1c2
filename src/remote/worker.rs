//! Client of one worker of the platform.

use std::time::Duration;

use crate::{
    remote::link::{
        Error,
        Link, //
    },
    wire::worker, //
};

/// Takes, renews or gives up the placement lease.
///
/// # Errors
///
/// Returns why no answer came; the lease may have been granted unless the worker is unreachable.
pub async fn lease(
    link: &Link,
    request: &worker::Lease,
    limit: Duration,
) -> Result<worker::Grant, Error> {
    link.post("/v1/lease", request, limit).await
}

/// Starts tasks. Repeating a start is harmless.
///
/// # Errors
///
/// Returns why no answer came; the tasks may run unless the worker is unreachable.
pub async fn start(
    link: &Link,
    request: &worker::Start,
    limit: Duration,
) -> Result<worker::StartAnswer, Error> {
    link.post("/v1/tasks/start", request, limit).await
}

/// Signals tasks.
///
/// # Errors
///
/// Returns why no answer came.
pub async fn signal(
    link: &Link,
    request: &worker::SignalTasks,
    limit: Duration,
) -> Result<worker::Ack, Error> {
    link.post("/v1/tasks/signal", request, limit).await
}

/// Lets the worker drop ended tasks.
///
/// # Errors
///
/// Returns why no answer came.
pub async fn forget(
    link: &Link,
    request: &worker::Forget,
    limit: Duration,
) -> Result<worker::Ack, Error> {
    link.post("/v1/tasks/forget", request, limit).await
}
