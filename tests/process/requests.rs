//! Requests under faults of workers, connections and instances.

use std::time::Duration;

use bamboolock::standin::command::{
    Command,
    Select, //
};
use serde_json::json;
use tokio::time::{
    Instant,
    sleep, //
};

use crate::{
    cell::{
        self,
        Cell, //
    },
    load, //
};

#[actix_web::test]
async fn a_key_runs_once_though_its_instance_dies_and_another_is_asked() {
    let mut cell = Cell::start(cell::SMALL).await;
    let addresses: Vec<_> = cell.instances.iter().map(|i| i.address).collect();
    let body = json!({"service_ms": 2_000, "mark": "bridge"});
    let first = {
        let body = body.clone();
        let address = addresses[0];
        actix_rt::spawn(async move { load::once(address, "once", Some("bridge"), &body).await })
    };
    cell.until("the request executes", async || {
        cell.standin.verdict().counters.nonidempotent == 1
    })
    .await;
    cell.kill(0);
    assert!(first.await.unwrap().is_err());
    // Again and again, through the instance that is left.
    for _ in 0..5 {
        let repeat = load::once(addresses[1], "once", Some("bridge"), &body).await;
        let (not_run, reason) = repeat.unwrap_err();
        assert!(!not_run, "the request did run: {reason}");
        sleep(Duration::from_millis(300)).await;
    }
    assert_eq!(cell.verdict().counters.nonidempotent, 1);
}

#[actix_web::test]
async fn a_repeated_key_gets_the_first_answer_through_any_instance() {
    let cell = Cell::start(cell::SMALL).await;
    let addresses: Vec<_> = cell.instances.iter().map(|i| i.address).collect();
    let body = json!({"mark": "letter"});
    let first = load::request(&addresses, 0, "once", Some("letter"), &body).await;
    let first = first.unwrap();
    for address in addresses {
        cell.until("the answer stands in the log", async || {
            load::once(address, "once", Some("letter"), &body).await == Ok(first.clone())
        })
        .await;
    }
    assert_eq!(cell.verdict().counters.nonidempotent, 1);
}

#[actix_web::test]
async fn silent_connections_are_replaced_and_hold_up_no_other() {
    let cell = Cell::start(cell::SMALL).await;
    let addresses: Vec<_> = cell.instances.iter().map(|i| i.address).collect();
    let end = Instant::now() + Duration::from_secs(7);
    let load = load::run(addresses, "check", 8, Duration::from_millis(10), end);
    let faults = async {
        sleep(Duration::from_secs(2)).await;
        let target = Select::default();
        cell.command(&Command::Silence { target }).await;
        cell.command(&Command::SilencePlatform).await;
    };
    let (seen, ()) = futures_util::join!(load, faults);
    assert!(seen.bad.is_empty(), "{:?}", seen.bad);
    assert!(seen.good > 300, "{}", seen.good);
    cell.settle().await;
    cell.verdict();
}

#[actix_web::test]
async fn answers_that_are_cut_late_or_wrong_never_reach_a_caller_as_whole() {
    let cell = Cell::start(cell::SMALL).await;
    let addresses: Vec<_> = cell.instances.iter().map(|i| i.address).collect();
    let ids: Vec<_> = cell.standin.workers.iter().map(|w| w.0.clone()).collect();
    let only = |at: usize| Select {
        workers: vec![ids[at].clone()],
        ..Select::default()
    };
    cell.command(&Command::CutAnswers {
        target: only(0),
        on: true,
    })
    .await;
    cell.command(&Command::Errors {
        target: only(1),
        on: true,
    })
    .await;
    cell.command(&Command::Late {
        target: only(2),
        delay: 700,
    })
    .await;
    let end = Instant::now() + Duration::from_secs(5);
    let checks = load::run(
        addresses.clone(),
        "check",
        8,
        Duration::from_millis(10),
        end,
    );
    let once = load::run(addresses, "once", 4, Duration::from_millis(10), end);
    let (checks, once) = futures_util::join!(checks, once);
    assert!(checks.good > 100, "{checks:?}");
    for bad in checks.bad.iter().chain(&once.bad) {
        assert!(!bad.contains(" got "), "another's answer: {bad}");
        assert!(!bad.contains("ran=no"), "it may have run: {bad}");
    }
    cell.verdict();
}

#[actix_web::test]
async fn a_leaving_worker_gets_no_new_work_after_3_s() {
    let cell = Cell::start(cell::SMALL).await;
    let addresses: Vec<_> = cell.instances.iter().map(|i| i.address).collect();
    let target = Select {
        workers: vec![cell.standin.workers[0].0.clone()],
        ..Select::default()
    };
    let end = Instant::now() + Duration::from_secs(7);
    let load = load::run(addresses, "check", 8, Duration::from_millis(5), end);
    let faults = async {
        sleep(Duration::from_secs(1)).await;
        cell.command(&Command::Leaving { target, on: true }).await;
    };
    let (seen, ()) = futures_util::join!(load, faults);
    assert!(seen.bad.is_empty(), "{:?}", seen.bad);
    let before = cell.verdict().counters.leaving;
    sleep(Duration::from_millis(500)).await;
    assert_eq!(cell.verdict().counters.leaving, before);
}

#[actix_web::test]
async fn a_request_in_progress_at_a_worker_that_crashes_is_unknown_and_not_sent_again() {
    let cell = Cell::start(cell::SMALL).await;
    let body = json!({"service_ms": 1_500, "mark": "bridge"});
    let sent = {
        let body = body.clone();
        let address = cell.instances[0].address;
        actix_rt::spawn(async move { load::once(address, "once", None, &body).await })
    };
    cell.until("the request executes", async || {
        cell.standin.verdict().counters.nonidempotent == 1
    })
    .await;
    let target = Select::default();
    cell.command(&Command::Restart { target }).await;
    let (not_run, reason) = sent.await.unwrap().unwrap_err();
    assert!(!not_run, "it may have run: {reason}");
    sleep(Duration::from_secs(2)).await;
    assert_eq!(cell.verdict().counters.nonidempotent, 1);
}
