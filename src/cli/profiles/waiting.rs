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
    wire::admin::{
        InForce,
        Progress, //
    }, //
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
                let count = state.instances.len();
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
    !state.instances.is_empty() && state.applied().count() == state.instances.len()
}

fn describe(state: &InForce) -> String {
    let (applied, all) = (state.applied().count(), state.instances.len());
    let mut line = format!("in force on {applied} of {all} instances");
    for (what, list) in [
        ("behind", names(state.behind())),
        ("cut off", names(state.cut_off())),
    ] {
        if !list.is_empty() {
            line.push_str(&format!("; {what}: {list}"));
        }
    }
    line
}

fn names<'a>(instances: impl Iterator<Item = &'a Progress>) -> String {
    let names = instances.map(|p| p.id.to_string());
    names.collect::<Vec<_>>().join(", ")
}
