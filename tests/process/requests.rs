//! Requests during faults of workers, connections and instances.

use std::time::Duration;

use bamboolock::{
    ledger::record,
    standin::command::{
        Command,
        Select, //
    }, //
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
async fn idempotency_key_runs_once_although_its_instance_is_killed() {
    let mut cell = Cell::start(cell::ONE_ZONE).await;
    let addresses: Vec<_> = cell.instances.iter().map(|i| i.address).collect();
    let body = json!({"service_ms": 2_000, "mark": "bridge"});
    let first = {
        let body = body.clone();
        let address = addresses[0];
        actix_rt::spawn(
            async move { load::send_once(address, "once", Some("bridge"), &body).await },
        )
    };
    cell.wait_until("the request executes", async || {
        cell.standin.verdict().counters.nonidempotent == 1
    })
    .await;
    cell.kill(0);
    assert!(first.await.unwrap().is_err());
    // Repeats through the remaining instance do not run the request again.
    for _ in 0..5 {
        let repeat = load::send_once(addresses[1], "once", Some("bridge"), &body).await;
        let (not_run, reason) = repeat.unwrap_err();
        assert!(!not_run, "the request did run: {reason}");
        sleep(Duration::from_millis(300)).await;
    }
    assert_eq!(cell.verdict().counters.nonidempotent, 1);
}

#[actix_web::test]
async fn repeated_idempotency_key_gets_the_stored_response_from_any_instance() {
    let cell = Cell::start(cell::ONE_ZONE).await;
    let addresses: Vec<_> = cell.instances.iter().map(|i| i.address).collect();
    let body = json!({"mark": "letter"});
    let first = load::send(&addresses, 0, "once", Some("letter"), &body).await;
    let first = first.unwrap();
    for address in addresses {
        cell.wait_until("the response is stored in the log", async || {
            load::send_once(address, "once", Some("letter"), &body).await == Ok(first.clone())
        })
        .await;
    }
    assert_eq!(cell.verdict().counters.nonidempotent, 1);
}

#[actix_web::test]
async fn an_idempotency_key_that_a_skipped_entry_may_hold_is_not_claimed() {
    let cell = Cell::start(cell::ONE_ZONE).await;
    let offset = cell.next_offsets().await;
    cell.append(&json!({"format": record::FORMAT + 1})).await;
    cell.wait_until("the entry is read", async || {
        cell.next_offsets()
            .await
            .iter()
            .zip(&offset)
            .all(|(new, old)| new > old)
    })
    .await;
    let body = json!({"mark": "parcel"});
    let sent = load::send_once(cell.instances[0].address, "once", Some("parcel"), &body).await;
    let (not_run, reason) = sent.unwrap_err();
    assert!(not_run, "{reason}");
    assert_eq!(cell.verdict().counters.nonidempotent, 0);
}

#[actix_web::test]
async fn stalled_connections_are_replaced_without_failing_requests() {
    let cell = Cell::start(cell::ONE_ZONE).await;
    let addresses: Vec<_> = cell.instances.iter().map(|i| i.address).collect();
    let end = Instant::now() + Duration::from_secs(7);
    let load = load::generate(addresses, "check", 8, Duration::from_millis(10), end);
    let faults = async {
        sleep(Duration::from_secs(2)).await;
        let target = Select::default();
        cell.send_command(&Command::Silence { target }).await;
        cell.send_command(&Command::SilencePlatform).await;
    };
    let (results, ()) = futures_util::join!(load, faults);
    assert!(results.failures.is_empty(), "{:?}", results.failures);
    assert!(results.succeeded > 300, "{}", results.succeeded);
    cell.wait_until_ready().await;
    cell.verdict();
}

#[actix_web::test]
async fn truncated_late_or_wrong_responses_are_never_returned_as_complete() {
    let cell = Cell::start(cell::ONE_ZONE).await;
    let addresses: Vec<_> = cell.instances.iter().map(|i| i.address).collect();
    let ids: Vec<_> = cell.standin.workers.iter().map(|w| w.0.clone()).collect();
    let only = |index: usize| Select {
        workers: vec![ids[index].clone()],
        ..Select::default()
    };
    cell.send_command(&Command::CutAnswers {
        target: only(0),
        on: true,
    })
    .await;
    cell.send_command(&Command::Errors {
        target: only(1),
        on: true,
    })
    .await;
    cell.send_command(&Command::Late {
        target: only(2),
        delay: 700,
    })
    .await;
    let end = Instant::now() + Duration::from_secs(5);
    let checks = load::generate(
        addresses.clone(),
        "check",
        8,
        Duration::from_millis(10),
        end,
    );
    let once = load::generate(addresses, "once", 4, Duration::from_millis(10), end);
    let (checks, once) = futures_util::join!(checks, once);
    assert!(checks.succeeded > 100, "{checks:?}");
    for failure in checks.failures.iter().chain(&once.failures) {
        assert!(
            !failure.contains(" got "),
            "response to another request: {failure}"
        );
        assert!(!failure.contains("ran=no"), "it may have run: {failure}");
    }
    cell.verdict();
}

#[actix_web::test]
async fn leaving_worker_gets_no_new_work_after_3_s() {
    let cell = Cell::start(cell::ONE_ZONE).await;
    let addresses: Vec<_> = cell.instances.iter().map(|i| i.address).collect();
    let target = Select {
        workers: vec![cell.standin.workers[0].0.clone()],
        ..Select::default()
    };
    let end = Instant::now() + Duration::from_secs(7);
    let load = load::generate(addresses, "check", 8, Duration::from_millis(5), end);
    let faults = async {
        sleep(Duration::from_secs(1)).await;
        cell.send_command(&Command::Leaving { target, on: true })
            .await;
    };
    let (results, ()) = futures_util::join!(load, faults);
    assert!(results.failures.is_empty(), "{:?}", results.failures);
    let before = cell.verdict().counters.leaving;
    sleep(Duration::from_millis(500)).await;
    assert_eq!(cell.verdict().counters.leaving, before);
}

#[actix_web::test]
async fn request_on_a_crashed_worker_is_unknown_and_not_resent() {
    let cell = Cell::start(cell::ONE_ZONE).await;
    let body = json!({"service_ms": 1_500, "mark": "bridge"});
    let sent = {
        let body = body.clone();
        let address = cell.instances[0].address;
        actix_rt::spawn(async move { load::send_once(address, "once", None, &body).await })
    };
    cell.wait_until("the request executes", async || {
        cell.standin.verdict().counters.nonidempotent == 1
    })
    .await;
    let target = Select::default();
    cell.send_command(&Command::Restart { target }).await;
    let (not_run, reason) = sent.await.unwrap().unwrap_err();
    assert!(!not_run, "it may have run: {reason}");
    sleep(Duration::from_secs(2)).await;
    assert_eq!(cell.verdict().counters.nonidempotent, 1);
}

#[actix_web::test]
async fn a_request_that_crashes_its_backend_servers_is_unknown_after_two() {
    /// Requests that fill the retry budget.
    const FIRST: u64 = 12;
    let cell = Cell::start(cell::ONE_ZONE).await;
    let address = cell.instances[0].address;
    let before = cell.next_offsets().await;
    let body = json!({"kind": "request", "team": "gates", "idempotent": true,
        "objective": {"deadline": 12_000, "wait": 1_000},
        "retry": {"attempts": 10, "budget": 1.0, "backoff": 50}});
    cell.publish("first-deadly", "deadly", 0, &body).await;
    cell.wait_until("the profile is in force", async || {
        let offsets = cell.next_offsets().await;
        offsets.iter().zip(&before).all(|(new, old)| new > old)
    })
    .await;
    for _ in 0..FIRST {
        let body = json!({"service_ms": 1_000, "mark": "first"});
        let answer = load::send_once(address, "deadly", None, &body).await;
        answer.unwrap();
    }
    let sent = actix_rt::spawn(async move {
        let body = json!({"service_ms": 1_000, "mark": "deadly"});
        load::send_once(address, "deadly", None, &body).await
    });
    for count in 1..=2 {
        cell.wait_until("the request executes", async || {
            cell.standin.verdict().counters.requests == FIRST + count
        })
        .await;
        let target = Select::default();
        cell.send_command(&Command::Restart { target }).await;
    }
    let (not_run, reason) = sent.await.unwrap().unwrap_err();
    assert!(!not_run, "it did run: {reason}");
    sleep(Duration::from_secs(2)).await;
    assert_eq!(cell.verdict().counters.requests, FIRST + 2);
    let counted = cell.metrics(0).await;
    let expected = "bamboolock_entry_broken_total{profile=\"deadly\"} 2";
    assert!(counted.lines().any(|l| l == expected), "{counted}");
}
