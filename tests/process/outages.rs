//! Outages of the platform and isolation of an availability zone.

use std::time::Duration;

use bamboolock::{
    standin::{
        command::Command,
        faults::Mode,
        settings::Settings, //
    },
    wire::caller::JobState, //
};
use serde_json::json;
use tokio::time::Instant;

use crate::{
    cell::{
        self,
        Cell,
        get, //
    },
    load, //
};

#[actix_web::test]
async fn requests_are_served_during_a_platform_outage_of_60_s() {
    let cell = Cell::start(cell::ONE_ZONE).await;
    let addresses: Vec<_> = cell.instances.iter().map(|i| i.address).collect();
    cell.send_command(&Command::Log { mode: Mode::Hang }).await;
    cell.send_command(&Command::List { mode: Mode::Hang }).await;
    let end = Instant::now() + Duration::from_secs(60);
    let results = load::generate(
        addresses.clone(),
        "check",
        4,
        Duration::from_millis(40),
        end,
    )
    .await;
    assert!(results.failures.is_empty(), "{:?}", results.failures);
    assert!(results.succeeded > 1_000, "{}", results.succeeded);
    assert_eq!(results.late, 0, "longest {:?}", results.longest);
    // A request that needs the log is refused as not run.
    let keyed = load::send_once(addresses[0], "once", Some("k"), &json!({"mark": "k"})).await;
    let (not_run, reason) = keyed.unwrap_err();
    assert!(not_run, "{reason}");
    let before = cell.verdict().counters.nonidempotent;
    assert_eq!(before, 0);
    cell.send_command(&Command::Log { mode: Mode::Up }).await;
    cell.send_command(&Command::List { mode: Mode::Up }).await;
    let keyed = load::send(&addresses, 0, "once", Some("k2"), &json!({"mark": "k"})).await;
    assert!(keyed.is_ok(), "{keyed:?}");
    cell.verdict();
}

#[actix_web::test]
async fn isolated_zone_serves_requests_and_duplicates_no_job() {
    let cell = Cell::start(cell::TWO_ZONES).await;
    let north = [cell.instances[0].address, cell.instances[1].address];
    // A job of the north zone is running when the zone is isolated.
    let job = json!({"profile": "run", "tasks": 4, "payload": {"run_ms": 3_000}});
    let id = cell.submit(0, &job).await;
    cell.wait_until("the job runs", async || {
        cell.job_status(&id).await.is_some_and(|s| s.running > 0)
    })
    .await;
    let zone = "north-a".parse().unwrap();
    cell.send_command(&Command::CutZone { zone, on: true })
        .await;
    let end = Instant::now() + Duration::from_secs(8);
    let results = load::generate(north.to_vec(), "check", 4, Duration::from_millis(20), end).await;
    assert!(results.failures.is_empty(), "{:?}", results.failures);
    assert_eq!(results.late, 0, "longest {:?}", results.longest);
    let zone = "north-a".parse().unwrap();
    cell.send_command(&Command::CutZone { zone, on: false })
        .await;
    cell.wait_until("the job is done", async || {
        cell.job_status(&id)
            .await
            .is_some_and(|s| s.state == JobState::Done)
    })
    .await;
    let verdict = cell.verdict();
    assert_eq!(verdict.counters.starts, 4);
}

#[actix_web::test]
async fn new_instance_starts_from_its_peers_during_a_log_outage() {
    let host = json!({});
    let mut cell = Cell::start_with(cell::ONE_ZONE, |_| {}, host).await;
    cell.kill(0);
    cell.wait_until_ready().await;
    cell.send_command(&Command::Log { mode: Mode::Refuse })
        .await;
    cell.spawn(0);
    cell.wait_until_ready().await;
    let address = [cell.instances[0].address];
    let answer = load::send(&address, 0, "check", None, &json!({"mark": "x"})).await;
    assert!(answer.is_ok(), "{answer:?}");
    cell.verdict();
}

#[actix_web::test]
async fn accepted_profile_change_is_in_force_within_8_s_and_never_reverts() {
    let fast = |settings: &mut Settings| settings.log.rate = 100_000;
    let mut cell = Cell::start_with(cell::TWO_ZONES, fast, json!({})).await;
    for number in 0..3_000 {
        let padding = json!({"kind": "request", "team": "gates", "idempotent": true});
        cell.publish(&format!("pad-{number}"), "padding", number, &padding)
            .await;
    }
    let tight = json!({"kind": "request", "team": "gates", "idempotent": true,
        "limits": {"body": 4}});
    let start = Instant::now();
    cell.publish("tight", "check", 1, &tight).await;
    // A conflicting change that loses has no effect on any instance.
    let wide = json!({"kind": "request", "team": "gates", "idempotent": true,
        "limits": {"body": 1000}});
    cell.publish("wide", "check", 1, &wide).await;
    let body = json!({"mark": "longer than four bytes"});
    for instance in &cell.instances {
        let address = instance.address;
        cell.wait_until("the change is in force", async || {
            refuses(address, &body).await
        })
        .await;
    }
    assert!(start.elapsed() < Duration::from_secs(8));
    // Neither a restart nor a log outage brings the old version back, although many records
    // separate the two versions and the replay passes through the old one.
    let address = cell.instances[0].address;
    for mode in [Mode::Up, Mode::Refuse] {
        cell.kill(0);
        cell.send_command(&Command::Log { mode }).await;
        cell.spawn(0);
        let end = Instant::now() + Duration::from_secs(4);
        while Instant::now() < end {
            let answer = load::send_once(address, "check", None, &body).await;
            assert!(answer.is_err(), "{answer:?}");
        }
    }
    cell.send_command(&Command::Log { mode: Mode::Up }).await;
    cell.wait_until_ready().await;
    assert!(refuses(address, &body).await);
    assert!(
        get(address, "/healthz").await.is_none(),
        "health is no JSON"
    );
    cell.verdict();
}

async fn refuses(address: std::net::SocketAddr, body: &serde_json::Value) -> bool {
    let answer = load::send_once(address, "check", None, body).await;
    matches!(answer, Err((true, reason)) if reason.contains("too_large"))
}
