//! Waits until a change is in force on every instance.

use std::time::Duration;

use actix_web::http::Method;
use tokio::time::Instant;

use crate::{
    cli::{
        client::{
            Client, //
            Request,
        },
        exit::Failure,
        output, //
    },
    ids::Offset,
    report::text,
    wire::admin::InForce, //
};

/// Interval between requests for the state of the instances.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Waits until every live instance has applied an offset of the log, and prints the progress.
///
/// # Errors
///
/// Returns the instances that are behind or unreachable after `timeout_ms`.
pub async fn wait(client: &Client, offset: Offset, timeout_ms: u64) -> Result<(), Failure> {
    let start = Instant::now();
    let deadline = start + Duration::from_millis(timeout_ms);
    let mut last = String::new();
    loop {
        let status = match fetch(client, offset).await {
            Ok(state) if is_complete(&state) => {
                let count = state.total;
                let elapsed_ms = start.elapsed().as_millis();
                output::progress(&format!(
                    "in force on all {count} instances after {elapsed_ms} ms"
                ));
                return Ok(());
            }
            Ok(state) => describe(&state),
            Err(Failure::Unreachable(address, reason)) => format!("{address}: {reason}"),
            Err(failure) => return Err(failure),
        };
        if Instant::now() + POLL_INTERVAL > deadline {
            let timeout = text::duration(timeout_ms);
            return Err(Failure::TimedOut(format!("after {timeout}: {status}")));
        }
        if status != last {
            output::progress(&status);
            last = status;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn fetch(client: &Client, offset: Offset) -> Result<InForce, Failure> {
    let path = format!("/v1/instances/in-force?offset={offset}");
    client.call(Request::empty(Method::GET, path)).await
}

fn is_complete(state: &InForce) -> bool {
    state.total > 0 && state.missing.is_empty()
}

fn describe(state: &InForce) -> String {
    let InForce { reached, total, .. } = state;
    let mut line = format!("in force on {reached} of {total} instances");
    for (label, responds) in [("behind", true), ("cut off", false)] {
        let list = state
            .missing
            .iter()
            .filter(|m| m.next.is_some() == responds);
        let names: Vec<_> = list.map(|m| m.id.as_str()).collect();
        if !names.is_empty() {
            line.push_str(&format!("; {label}: {}", names.join(", ")));
        }
    }
    line
}
