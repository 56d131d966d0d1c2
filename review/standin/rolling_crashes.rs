//! A service that lasts, on workers of which the busiest crashes now and then and comes back.

use std::{path::Path, sync::Arc, time::Duration};

use crate::{
    Verdict,
    fleet::{Fleet, SERVICE},
};

const INSTANCES: usize = 3;
const WORKERS: usize = 8;
const WORKER_CPU: u64 = 16_000;

/// Tasks of the service.
const TASKS: u32 = 8;

/// Time between two crashes, and time for which a worker is down.
const CRASH_INTERVAL: Duration = Duration::from_millis(6_000);
const DOWN: Duration = Duration::from_millis(4_500);
const CRASHES: usize = 12;

const ID: &str = "c000000000000001";

/// The worker with the most runs.
fn busiest(fleet: &Fleet) -> usize {
    let runs = fleet.runs.lock().unwrap();
    let count = |n: usize| {
        runs.live
            .values()
            .filter(|w| **w == format!("i-{n:04x}"))
            .count()
    };
    (0..WORKERS).rev().max_by_key(|n| count(*n)).unwrap_or(0)
}

pub fn play(folder: &Path, trouble: bool) -> Verdict {
    let fleet = Fleet::start(folder, INSTANCES, WORKERS, WORKER_CPU);
    let verdict = run(&fleet, trouble);
    fleet.stop();
    verdict
}

fn run(fleet: &Arc<Fleet>, trouble: bool) -> Verdict {
    let config = format!(
        r#"{{"version":7,"routes":[{{"name":"lasting","host":"{}","path_prefix":"/lasting/","service":"{SERVICE}","type":"unsafe","target_latency_ms":3000,"priority":1,"max_attempts":4,"stretch":4.0}}],"services":[{{"name":"{SERVICE}","admission_control":false}}],"limits":{{"max_body_bytes":262144,"max_header_bytes":16384,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        crate::fleet::HOST
    );
    fleet.store.put("keyed.op", "config", &config);
    if !fleet.wait_ready(Duration::from_secs(15)) {
        return None;
    }
    std::thread::sleep(Duration::from_secs(2));
    let work = format!(
        r#"{{"spec":"last","steps":[{{"count":{TASKS},"cpu":2000,"mem_mb":1024,"estimated_ms":1000,"long_running":true}}]}}"#
    );
    if fleet.submit(ID, "/lasting/", &work, 0) != Some(200) {
        return None;
    }
    std::thread::sleep(Duration::from_secs(1));
    let mut last = String::new();
    for n in 0..CRASHES {
        let victim = busiest(fleet);
        if trouble {
            fleet.crash_worker(victim);
        }
        std::thread::sleep(DOWN);
        if trouble {
            fleet.start_worker(victim);
        }
        std::thread::sleep(CRASH_INTERVAL - DOWN);
        (_, last) = fleet.state(ID, "/lasting/", n);
        if last == "failed" || last == "completed" {
            break;
        }
    }
    let runs = fleet.runs.lock().unwrap();
    let failed: usize = runs
        .ends
        .values()
        .flatten()
        .filter(|end| end.3 == "failed")
        .count();
    fleet.record.note(&format!(
        "{} starts, {failed} runs ended failed, {} runs lost with their workers",
        runs.starts.values().map(Vec::len).sum::<usize>(),
        runs.lost.len()
    ));
    let broken = last == "failed" && failed == 0;
    fleet.record.note(&format!(
        "the service is shown as {last}: {}",
        if broken {
            "LOST, failed without cause"
        } else {
            "allowed"
        }
    ));
    Some(!broken)
}
