//! A start command stays unanswered and is carried out seconds later. Meanwhile the cell repeats it, the run
//! ends, its end is taken note of, and the worker crashes and starts again under its id.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{
    Verdict,
    fleet::{Fleet, SERVICE},
    http::{self, Request, Response},
    json::Json,
};

const INSTANCES: usize = 3;
const WORKERS: usize = 8;

/// Tasks of the job, and duration of each in milliseconds.
const TASKS: u32 = 24;
const TASK_MS: u64 = 1_000;

/// Of this many start commands one stays unanswered.
const SHARE: usize = 20;

/// Time after which that one is carried out.
const LATE: Duration = Duration::from_millis(6_000);

/// Time for which the worker holds the connection of an unanswered command.
const SILENCE: Duration = Duration::from_millis(1_000);

/// Time from the command to the crash of its worker at the earliest, and time for which it is down.
const CRASH_AFTER_MS: u64 = 2_000;
const DOWN: Duration = Duration::from_millis(2_500);

const ID: &str = "7a00000000000001";

/// The command that stays unanswered: worker and task.
type Late = Arc<Mutex<Option<(usize, String)>>>;

pub fn play(folder: &Path, trouble: bool) -> Verdict {
    let late: Late = Arc::default();
    let (chosen, count) = (late.clone(), Mutex::new(0_usize));
    let proxy = move |worker: usize, address: SocketAddr, request: Request| {
        if trouble && request.path == "/bamboolock/run-start" {
            let mut count = count.lock().unwrap();
            *count += 1;
            if *count == SHARE {
                drop(count);
                let task = Json::parse(&request.body)?.get("task").text()?.to_owned();
                *chosen.lock().unwrap() = Some((worker, task));
                std::thread::spawn(move || {
                    std::thread::sleep(LATE);
                    forward(address, &request)
                });
                std::thread::sleep(SILENCE);
                return None;
            }
        }
        forward(address, &request)
    };
    let fleet = Fleet::start_behind(folder, INSTANCES, WORKERS, 16_000, Some(Arc::new(proxy)));
    let verdict = run(&fleet, &late, trouble);
    fleet.stop();
    verdict
}

/// Sends a command on to the process at the worker's address.
fn forward(address: SocketAddr, request: &Request) -> Option<Response> {
    let mut headers = vec![("content-type", "application/json".to_owned())];
    if let Some(id) = request.headers.get("x-expect-instance") {
        headers.push(("x-expect-instance", id.clone()));
    }
    let limit = Duration::from_secs(4);
    let seen = http::call(
        address,
        "POST",
        &request.path,
        &headers,
        &request.body,
        limit,
    )?;
    Some(Response {
        status: seen.status,
        body: seen.body,
    })
}

fn run(fleet: &Arc<Fleet>, late: &Late, trouble: bool) -> Verdict {
    let config = format!(
        r#"{{"version":7,"routes":[{{"name":"short","host":"{}","path_prefix":"/short/","service":"{SERVICE}","type":"unsafe","target_latency_ms":3000,"priority":1,"max_attempts":4,"stretch":4.0}}],"services":[{{"name":"{SERVICE}","admission_control":false}}],"limits":{{"max_body_bytes":262144,"max_header_bytes":16384,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        crate::fleet::HOST
    );
    fleet.store.put("keyed.op", "config", &config);
    if !fleet.wait_ready(Duration::from_secs(15)) {
        return None;
    }
    std::thread::sleep(Duration::from_secs(6));
    let work = format!(
        r#"{{"spec":"done={TASK_MS}","steps":[{{"count":{TASKS},"cpu":1000,"mem_mb":256,"estimated_ms":{TASK_MS}}}]}}"#
    );
    if fleet.submit(ID, "/short/", &work, 0) != Some(200) {
        return None;
    }
    let begun = fleet.record.now();
    if trouble {
        let Some((worker, task)) = chosen(fleet, late) else {
            fleet.record.note("no start command stayed unanswered");
            return None;
        };
        fleet
            .record
            .note(&format!("the command for {task} stays unanswered"));
        // The worker crashes once the end of the run is taken note of.
        while !fleet.runs.lock().unwrap().noted.contains_key(&task)
            || fleet.record.now() < begun + CRASH_AFTER_MS
        {
            if fleet.record.now() > begun + 5_000 {
                fleet
                    .record
                    .note("the end of the run is not taken note of in time");
                return None;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        fleet.crash_worker(worker);
        std::thread::sleep(DOWN);
        fleet.start_worker(worker);
    }
    while fleet.record.now() < begun + 12_000 {
        std::thread::sleep(Duration::from_millis(50));
    }
    let state = fleet.state(ID, "/short/", 0);
    let runs = fleet.runs.lock().unwrap();
    let mut again: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for (task, noted) in &runs.noted {
        let starts = runs.starts.get(task).into_iter().flatten();
        let after: Vec<u64> = starts.map(|s| s.0).filter(|at| at > noted).collect();
        if !after.is_empty() {
            again.insert(task, after);
        }
    }
    fleet.record.note(&format!(
        "TWICE: started after an end `done` that was taken note of: {again:?}; the job is shown as {state:?}"
    ));
    Some(again.is_empty())
}

fn chosen(fleet: &Fleet, late: &Late) -> Option<(usize, String)> {
    let until = fleet.record.now() + 3_000;
    while fleet.record.now() < until {
        if let Some(found) = late.lock().unwrap().clone() {
            return Some(found);
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    None
}
