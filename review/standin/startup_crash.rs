//! Two services that last. The worker of the second crashes once, just after its tasks have started.

use std::{collections::BTreeMap, path::Path, sync::Arc, time::Duration};

use crate::{
    Verdict,
    fleet::{Fleet, SERVICE},
};

const INSTANCES: usize = 3;
const WORKERS: usize = 10;
const WORKER_CPU: u64 = 16_000;

/// Tasks of the large service: they fill all workers but one.
const LARGE_TASKS: u64 = 144;

/// Tasks of the small service: half of the last worker.
const SMALL_TASKS: u64 = 8;
const TASK_CPU: u64 = 1_000;

const LARGE: &str = "1a00000000000000";
const SMALL: &str = "5a00000000000000";

/// Time from the first start of the small service to the crash, and time for which the worker is down.
const CRASH_AFTER: Duration = Duration::from_millis(40);
const DOWN: Duration = Duration::from_millis(4_000);

/// Time for which the large service runs before, and both after.
const BEFORE: Duration = Duration::from_secs(8);
const AFTER_MS: u64 = 40_000;

/// Bounds of the rule, in milliseconds: calm before it holds, the time since a task's last run, and the
/// time for which it may not run.
const CALM_MS: u64 = 4_000;
const SETTLE_MS: u64 = 6_000;
const IDLE_MS: u64 = 3_000;

const STEP: Duration = Duration::from_millis(100);

pub fn play(folder: &Path, trouble: bool) -> Verdict {
    let fleet = Fleet::start(folder, INSTANCES, WORKERS, WORKER_CPU);
    let verdict = run(&fleet, trouble);
    fleet.stop();
    verdict
}

/// Tasks of the services, with the worker on which each runs now.
fn at_work(fleet: &Fleet) -> BTreeMap<String, String> {
    let runs = fleet.runs.lock().unwrap();
    runs.live
        .iter()
        .map(|((task, _), worker)| (task.clone(), worker.clone()))
        .collect()
}

fn names() -> Vec<String> {
    let of = |job: &'static str, count: u64| (0..count).map(move |n| format!("{job}.0.0.{n}"));
    of(LARGE, LARGE_TASKS)
        .chain(of(SMALL, SMALL_TASKS))
        .collect()
}

/// Most millicores that are free on one worker.
fn widest_gap(live: &BTreeMap<String, String>) -> u64 {
    let used = |worker: &str| live.values().filter(|w| *w == worker).count() as u64 * TASK_CPU;
    let free = (0..WORKERS).map(|n| WORKER_CPU.saturating_sub(used(&format!("i-{n:04x}"))));
    free.max().unwrap_or(0)
}

fn wait_for_all(fleet: &Fleet, tasks: usize, limit: Duration) -> bool {
    let until = fleet.record.now() + limit.as_millis() as u64;
    while at_work(fleet).len() < tasks {
        if fleet.record.now() > until {
            return false;
        }
        std::thread::sleep(STEP);
    }
    true
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
    let work = |count: u64| {
        format!(
            r#"{{"spec":"last","steps":[{{"count":{count},"cpu":{TASK_CPU},"mem_mb":256,"estimated_ms":1000,"long_running":true}}]}}"#
        )
    };
    if fleet.submit(LARGE, "/lasting/", &work(LARGE_TASKS), 0) != Some(200)
        || !wait_for_all(fleet, LARGE_TASKS as usize, Duration::from_secs(10))
    {
        fleet.record.note("the large service does not start");
        return None;
    }
    std::thread::sleep(BEFORE);
    let handing = fleet.clone();
    let body = work(SMALL_TASKS);
    let client = std::thread::spawn(move || handing.submit(SMALL, "/lasting/", &body, 0));
    // The other workers have no room for the small service.
    let worker = loop {
        let found = at_work(fleet)
            .into_iter()
            .find(|(task, _)| task.starts_with(SMALL));
        if let Some((_, worker)) = found {
            break worker;
        }
        if fleet.record.now() > 40_000 {
            fleet.record.note("the small service does not start");
            return None;
        }
        std::thread::sleep(Duration::from_millis(2));
    };
    let worker = Fleet::number(&worker)?;
    std::thread::sleep(CRASH_AFTER);
    if trouble {
        fleet.crash_worker(worker);
    }
    std::thread::sleep(DOWN);
    if trouble {
        fleet.start_worker(worker);
    }
    if client.join().ok()? != Some(200) {
        return None;
    }
    let calm = fleet.record.now();
    fleet.record.note("the disruption ends");
    let mut since: BTreeMap<String, u64> = names()
        .into_iter()
        .map(|name| (name, calm + CALM_MS))
        .collect();
    let mut lost: BTreeMap<String, u64> = BTreeMap::new();
    while fleet.record.now() < calm + AFTER_MS {
        std::thread::sleep(STEP);
        let now = fleet.record.now();
        let live = at_work(fleet);
        let room = widest_gap(&live) >= 2 * TASK_CPU;
        for (name, idle) in &mut since {
            if live.contains_key(name) || !room {
                *idle = now.max(calm + CALM_MS);
            }
            // Nothing has run since the disruption, so the last run ended before it was over.
            if now >= *idle + IDLE_MS && now >= calm + SETTLE_MS + IDLE_MS {
                lost.entry(name.clone()).or_insert(now - calm);
            }
        }
    }
    let live = at_work(fleet);
    fleet.record.note(&format!(
        "at the end {} of {} tasks run; {} millicores are free on one worker",
        live.len(),
        LARGE_TASKS + SMALL_TASKS,
        widest_gap(&live)
    ));
    let missing: Vec<String> = names()
        .into_iter()
        .filter(|name| !live.contains_key(name))
        .collect();
    fleet
        .record
        .note(&format!("not running at the end: {missing:?}"));
    fleet.record.note(&format!(
        "LOST: {} tasks did not run for 3 s (first seen, in ms after the disruption): {lost:?}",
        lost.len()
    ));
    for (id, name) in [(LARGE, "large"), (SMALL, "small")] {
        let state = fleet.state(id, "/lasting/", 0);
        fleet
            .record
            .note(&format!("the {name} service is shown as {state:?}"));
    }
    Some(lost.is_empty())
}
