//! A client hands a job in at an instance that freezes, gets no answer, and cancels the job at another.

use std::{path::Path, sync::Arc, time::Duration};

use crate::{
    Verdict,
    fleet::{Fleet, SERVICE},
};

const INSTANCES: usize = 3;
const WORKERS: usize = 4;

/// Time for which the instance stands still.
const FREEZE: Duration = Duration::from_millis(4_000);

/// Time that the client waits for a response, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

const TASK_MS: u64 = 40_000;

/// Bounds of the rule, in milliseconds, and the calm after which it holds.
const CALM_MS: u64 = 4_000;
const CANCEL_MS: u64 = 3_000;
const STOP_MS: u64 = 200;

const ID: &str = "f000000000000001";

pub fn play(folder: &Path, trouble: bool) -> Verdict {
    let fleet = Fleet::start(folder, INSTANCES, WORKERS, 16_000);
    let verdict = run(&fleet, trouble);
    fleet.stop();
    verdict
}

fn run(fleet: &Arc<Fleet>, trouble: bool) -> Verdict {
    let config = format!(
        r#"{{"version":7,"routes":[{{"name":"long","host":"{}","path_prefix":"/long/","service":"{SERVICE}","type":"unsafe","target_latency_ms":3000,"priority":1,"max_attempts":4,"stretch":4.0}}],"services":[{{"name":"{SERVICE}","admission_control":false}}],"limits":{{"max_body_bytes":262144,"max_header_bytes":16384,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        crate::fleet::HOST
    );
    fleet.store.put("keyed.op", "config", &config);
    if !fleet.wait_ready(Duration::from_secs(15)) {
        return None;
    }
    std::thread::sleep(Duration::from_secs(6));
    let owner = fleet.owner()?;
    let (front, other) = ((owner + 1) % INSTANCES, (owner + 2) % INSTANCES);
    if trouble {
        fleet.signal(front, "STOP");
    }
    let thawing = fleet.clone();
    let thaw = std::thread::spawn(move || {
        std::thread::sleep(FREEZE);
        if trouble {
            thawing.signal(front, "CONT");
        }
    });
    let work = format!(
        r#"{{"spec":"done={TASK_MS}","steps":[{{"count":2,"cpu":1000,"mem_mb":256,"estimated_ms":{TASK_MS}}}]}}"#
    );
    let path = format!("/long/{ID}");
    let seen = fleet.ask(front, "POST", &path, &work, DEADLINE_MS);
    fleet.record.note(&format!(
        "client: POST {ID} at {front}: {:?}",
        seen.map(|s| s.status)
    ));
    let seen = fleet.ask(other, "DELETE", &path, "", DEADLINE_MS);
    let status = seen.map(|s| s.status);
    fleet
        .record
        .note(&format!("client: DELETE {ID} at {other}: {status:?}"));
    if !matches!(status, Some(200..=299 | 410)) {
        return None;
    }
    let acked = fleet.record.now();
    let _ = thaw.join();
    // Calm, and after it a stretch in which a task of a cancelled job has to be gone.
    let calm = fleet.record.now() + CALM_MS;
    let until = calm.max(acked) + CANCEL_MS + STOP_MS;
    while fleet.record.now() < until + 300 {
        std::thread::sleep(Duration::from_millis(50));
    }
    let live: Vec<String> = fleet
        .runs
        .lock()
        .unwrap()
        .live
        .keys()
        .map(|(task, _)| task.clone())
        .collect();
    let state = fleet.state(ID, "/long/", other);
    fleet.record.note(&format!("tasks at work {} ms after the cancel was acknowledged: {live:?}; the job is shown as {state:?}", fleet.record.now() - acked));
    Some(live.is_empty())
}
