//! Jobs during faults of workers and instances.

use std::time::Duration;

use bamboolock::{
    ledger::record,
    standin::command::{
        Command,
        Select, //
    },
    wire::caller::JobState, //
};
use serde_json::json;
use tokio::time::sleep;

use crate::cell::{
    self,
    Cell,
    client, //
};

async fn wait_until_done(cell: &Cell, id: &str) {
    cell.wait_until("the job is done", async || {
        cell.job_status(id)
            .await
            .is_some_and(|s| s.state == JobState::Done)
    })
    .await;
}

#[actix_web::test]
async fn run_survives_its_instance_and_is_not_restarted() {
    let mut cell = Cell::start(cell::ONE_ZONE).await;
    let job = json!({"profile": "run", "tasks": 6, "payload": {"run_ms": 4_000}});
    let id = cell.submit(0, &job).await;
    cell.wait_until("all tasks run", async || {
        cell.job_status(&id).await.is_some_and(|s| s.running == 6)
    })
    .await;
    cell.kill(0);
    wait_until_done(&cell, &id).await;
    assert_eq!(cell.verdict().counters.starts, 6);
}

#[actix_web::test]
async fn tasks_of_a_restarted_worker_run_again_without_overlap() {
    let cell = Cell::start(cell::ONE_ZONE).await;
    let job = json!({"profile": "run", "tasks": 12, "payload": {"run_ms": 2_500}});
    let id = cell.submit(0, &job).await;
    cell.wait_until("all tasks run", async || {
        cell.job_status(&id).await.is_some_and(|s| s.running == 12)
    })
    .await;
    let target = Select {
        workers: vec![cell.standin.workers[0].0.clone()],
        ..Select::default()
    };
    cell.send_command(&Command::Restart { target }).await;
    wait_until_done(&cell, &id).await;
    let starts = cell.verdict().counters.starts;
    assert!((12..=20).contains(&starts), "{starts}");
}

#[actix_web::test]
async fn gangs_that_do_not_fit_together_all_complete() {
    let cell = Cell::start(cell::ONE_ZONE).await;
    // The cell has 32 slots: each gang fits alone, but no two gangs fit together.
    let job = json!({"profile": "gang", "tasks": 8, "payload": {"run_ms": 1_000}});
    let mut ids = Vec::new();
    for index in [0, 1, 0, 1] {
        ids.push(cell.submit(index, &job).await);
    }
    for id in &ids {
        wait_until_done(&cell, id).await;
    }
    assert_eq!(cell.verdict().counters.starts, 32);
}

#[actix_web::test]
async fn mass_cancellation_stops_running_and_waiting_tasks() {
    let cell = Cell::start(cell::ONE_ZONE).await;
    let job = json!({"profile": "run", "tasks": 20, "payload": {"run_ms": 600_000}});
    let mut ids = Vec::new();
    for number in 0..40 {
        ids.push(cell.submit(number % 2, &job).await);
    }
    let cancels = ids.iter().map(|id| {
        let url = format!("http://{}/v1/jobs/{id}", cell.instances[0].address);
        async move { client().delete(url).send().await.unwrap().status() }
    });
    for status in futures_util::future::join_all(cancels).await {
        assert_eq!(status, 202);
    }
    for id in &ids {
        cell.wait_until("the job is cancelled", async || {
            let status = cell.job_status(id).await;
            status.is_some_and(|s| s.state == JobState::Cancelled && s.running == 0)
        })
        .await;
    }
    let before = cell.verdict().counters.starts;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(cell.verdict().counters.starts, before);
}

#[actix_web::test]
async fn infeasible_job_is_refused_with_a_reason() {
    let cell = Cell::start(cell::ONE_ZONE).await;
    let url = format!("http://{}/v1/jobs", cell.instances[0].address);
    let job = json!({"profile": "run", "demand": {"memory": 1_000_000, "slots": 1}});
    let mut answer = client().post(url).send_json(&job).await.unwrap();
    assert_eq!(answer.status(), 422);
    let body: serde_json::Value = answer.json().await.unwrap();
    assert_eq!(body["code"], "impossible");
    assert!(
        body["message"].as_str().unwrap().contains("memory"),
        "{body}"
    );
}

#[actix_web::test]
async fn an_instance_that_skipped_entries_of_a_newer_release_starts_no_tasks() {
    let cell = Cell::start(cell::ONE_ZONE).await;
    cell.append(&json!({"format": record::FORMAT + 1})).await;
    let id = "job-of-another-instance";
    let accepted = json!({"type": "accepted", "run": id, "profile": "run", "version": 1,
        "zone": cell::ONE_ZONE[0].name, "tasks": 4, "demand": {"slots": 1}, "estimate": 100,
        "deadline": 60_000, "key": null, "payload": {"run_ms": 100}});
    let by = json!({"instance": "test", "incarnation": 1});
    let batch = json!({"format": record::FORMAT, "id": "b1", "by": by, "records": [accepted]});
    cell.append(&batch).await;
    cell.wait_until("the job is known", async || {
        cell.job_status(id).await.is_some()
    })
    .await;
    sleep(Duration::from_secs(1)).await;
    // A skipped entry may have claimed the tasks.
    assert_eq!(cell.verdict().counters.starts, 0);
    let url = format!("http://{}/v1/jobs", cell.instances[0].address);
    let job = json!({"profile": "run", "tasks": 1});
    let answer = client().post(url).send_json(&job).await.unwrap();
    assert_eq!(answer.status(), 503);
}

#[actix_web::test]
async fn a_task_that_crashes_each_worker_that_runs_it_is_given_up() {
    // Two crashes are free; the profile allows five failed attempts.
    const MOST: u32 = 7;
    let mut cell = Cell::start(cell::ONE_ZONE).await;
    let job = json!({"profile": "run", "tasks": 1, "payload": {"run_ms": 600_000}});
    let id = cell.submit(0, &job).await;
    let mut crashes = 0;
    while crashes < MOST {
        cell.wait_until("the task runs", async || {
            cell.standin.verdict().counters.starts > u64::from(crashes)
        })
        .await;
        // Each worker goes down, since the test cannot tell which one runs the task.
        let target = Select::default();
        cell.send_command(&Command::Restart { target }).await;
        crashes += 1;
        if crashes == 3 {
            cell.kill(0);
        }
    }
    let mut last = None;
    cell.wait_until("the job has failed", async || {
        last = cell.job_status(&id).await;
        last.as_ref().is_some_and(|s| s.state == JobState::Failed)
    })
    .await;
    assert_eq!(last.unwrap().reason, record::CRASHED);
    let counted = cell.metrics(1).await;
    let expected = format!("bamboolock_entry_crashes_total{{profile=\"run\"}} {MOST}");
    assert!(counted.lines().any(|l| l == expected), "{counted}");
    assert_eq!(cell.verdict().counters.starts, u64::from(MOST));
}
