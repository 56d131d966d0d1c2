//! Waiting until a change is in force on every instance.

use std::time::Duration;

use actix_web::http::Method;
use tokio::time::Instant;

use crate::{
    cli::{
        client::{
            Call,
            Client, //
        },
        exit::Failure,
        output, //
    },
    ids::Offset,
    report::text,
    wire::admin::InForce, //
};

/// How often the instances are asked.
const POLL: Duration = Duration::from_millis(200);

/// Waits until every live instance has applied an offset, and shows progress.
///
/// # Errors
///
/// Returns which instances are behind or cut off when `within` milliseconds are over.
pub async fn in_force(client: &Client, offset: Offset, within: u64) -> Result<(), Failure> {
    let start = Instant::now();
    let end = start + Duration::from_millis(within);
    let mut last = String::new();
    loop {
        let line = match ask(client, offset).await {
            Ok(state) if everywhere(&state) => {
                let count = state.total;
                let took = start.elapsed().as_millis();
                output::progress(&format!(
                    "in force on all {count} instances after {took} ms"
                ));
                return Ok(());
            }
            Ok(state) => describe(&state),
            Err(Failure::Unreachable(address, reason)) => format!("{address}: {reason}"),
            Err(failure) => return Err(failure),
        };
        if Instant::now() + POLL > end {
            let within = text::span(within);
            return Err(Failure::NotYet(format!("after {within}: {line}")));
        }
        if line != last {
            output::progress(&line);
            last = line;
        }
        tokio::time::sleep(POLL).await;
    }
}

async fn ask(client: &Client, offset: Offset) -> Result<InForce, Failure> {
    let path = format!("/v1/instances/in-force?offset={offset}");
    client.call(Call::plain(Method::GET, path)).await
}

fn everywhere(state: &InForce) -> bool {
    state.total > 0 && state.missing.is_empty()
}

fn describe(state: &InForce) -> String {
    let InForce { reached, total, .. } = state;
    let mut line = format!("in force on {reached} of {total} instances");
    for (what, answers) in [("behind", true), ("cut off", false)] {
        let list = state.missing.iter().filter(|m| m.next.is_some() == answers);
        let names: Vec<_> = list.map(|m| m.id.as_str()).collect();
        if !names.is_empty() {
            line.push_str(&format!("; {what}: {}", names.join(", ")));
        }
    }
    line
}
