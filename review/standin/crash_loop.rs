//! A service whose tasks fail right after their start, beside ordinary jobs of a few steps.

use std::{
    path::Path,
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{
    Verdict,
    fleet::{Fleet, SERVICE},
};

const INSTANCES: usize = 3;
const WORKERS: usize = 8;
const WORKER_CPU: u64 = 16_000;

/// Tasks of the service, and CPU of each: less than a third of the workers' in all.
const SERVICE_TASKS: u32 = 400;
const SERVICE_CPU: u64 = 100;

/// Time from the start of a task of the service to its failure, in milliseconds.
const FAIL_MS: u64 = 100;

/// Duration of the traffic, and interval of the jobs.
const TRAFFIC_MS: u64 = 62_000;
const INTERVAL: Duration = Duration::from_millis(400);

/// Duration of a task of an ordinary job, in milliseconds, and its CPU.
const TASK_MS: u64 = 12_000;
const TASK_CPU: u64 = 100;

/// Steps of an ordinary job, one after the other, of one task each.
const STEPS: u32 = 3;

/// Bounds of the rule, in milliseconds.
const FINISH_MS: u64 = 14_000;
const IDLE_MS: u64 = 3_000;

const STEP: Duration = Duration::from_millis(100);

/// Whether a task of an ordinary job has its turn: its steps follow one another, so the first that has
/// not ended `done`.
fn has_turn(fleet: &Fleet, id: &str) -> bool {
    let runs = fleet.runs.lock().unwrap();
    let done = |step: u32| {
        let ends = runs.ends.get(&format!("{id}.0.{step}.0"));
        ends.is_some_and(|ends| ends.iter().any(|end| end.3 == "done"))
    };
    (0..STEPS).any(|step| !done(step))
}

/// Millicores that runs take at the workers now, and whether a task of the job runs.
fn in_use(fleet: &Fleet, id: &str) -> (u64, bool) {
    let runs = fleet.runs.lock().unwrap();
    let cost = |task: &str| match task.starts_with("5e") {
        true => SERVICE_CPU,
        false => TASK_CPU,
    };
    let used = runs.live.keys().map(|(task, _)| cost(task)).sum();
    let runs_now = runs.live.keys().any(|(task, _)| task.starts_with(id));
    (used, runs_now)
}

pub fn play(folder: &Path, trouble: bool) -> Verdict {
    let fleet = Fleet::start(folder, INSTANCES, WORKERS, WORKER_CPU);
    let verdict = traffic(&fleet, trouble);
    fleet.stop();
    verdict
}

fn traffic(fleet: &Arc<Fleet>, trouble: bool) -> Verdict {
    let route = |name: &str, prefix: &str, priority: u32| {
        format!(
            r#"{{"name":"{name}","host":"{}","path_prefix":"{prefix}","service":"{SERVICE}","type":"unsafe","target_latency_ms":3000,"priority":{priority},"max_attempts":4,"stretch":4.0}}"#,
            crate::fleet::HOST
        )
    };
    let config = format!(
        r#"{{"version":7,"routes":[{},{}],"services":[{{"name":"{SERVICE}","admission_control":false}}],"limits":{{"max_body_bytes":262144,"max_header_bytes":16384,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        route("ordinary", "/ordinary/", 0),
        route("lasting", "/lasting/", 2)
    );
    fleet.store.put("keyed.op", "config", &config);
    if !fleet.wait_ready(Duration::from_secs(15)) {
        fleet.record.note("the instances are not ready");
        return None;
    }
    std::thread::sleep(Duration::from_secs(3));
    let fate = if trouble {
        format!("fail={FAIL_MS}")
    } else {
        "last".to_owned()
    };
    let service = format!(
        r#"{{"spec":"{fate}","steps":[{{"count":{SERVICE_TASKS},"cpu":{SERVICE_CPU},"mem_mb":64,"estimated_ms":1000,"long_running":true}}]}}"#
    );
    if fleet.submit("5e00000000000000", "/lasting/", &service, 0) != Some(200) {
        return None;
    }
    let step = |n: u32| {
        let after = if n == 0 {
            String::new()
        } else {
            format!(r#","depends_on":[{}]"#, n - 1)
        };
        format!(r#"{{"count":1,"cpu":{TASK_CPU},"mem_mb":256,"estimated_ms":{TASK_MS}{after}}}"#)
    };
    let steps: Vec<String> = (0..STEPS).map(step).collect();
    let work = format!(
        r#"{{"spec":"done={TASK_MS}","steps":[{}]}}"#,
        steps.join(",")
    );
    let answers: Arc<Mutex<Vec<(String, u64, Option<u16>)>>> = Arc::default();
    let begun = fleet.record.now();
    let mut clients = Vec::new();
    for n in 0.. {
        if fleet.record.now() > begun + TRAFFIC_MS {
            break;
        }
        let (fleet, answers, work) = (fleet.clone(), answers.clone(), work.clone());
        clients.push(std::thread::spawn(move || {
            let id = format!("{:016x}", 0x0a00_0000_0000_0000_u64 + n);
            let status = fleet.submit(&id, "/ordinary/", &work, n as usize);
            answers
                .lock()
                .unwrap()
                .push((id, fleet.record.now(), status));
        }));
        std::thread::sleep(INTERVAL);
    }
    let ended = fleet.record.now();
    fleet.record.note("the traffic ends");
    while fleet.record.now() < ended + FINISH_MS {
        std::thread::sleep(STEP);
    }
    let answers = answers.lock().unwrap().clone();
    let accepted: Vec<&str> = answers
        .iter()
        .filter(|a| a.2 == Some(200))
        .map(|a| a.0.as_str())
        .collect();
    let late = answers.iter().filter(|a| a.2 != Some(200)).count();
    fleet
        .record
        .note(&format!("{} jobs accepted, {late} not", accepted.len()));
    // Jobs that have work to do and nothing at work, watched for the time that the rule names.
    let mut idle: Vec<(&str, u64)> = accepted
        .iter()
        .map(|id| (*id, fleet.record.now()))
        .collect();
    let watched = fleet.record.now();
    let mut busiest = 0;
    while fleet.record.now() < watched + IDLE_MS + 300 {
        for (id, since) in &mut idle {
            let (used, runs_now) = in_use(fleet, id);
            busiest = busiest.max(used);
            let full = used * 2 >= WORKER_CPU * WORKERS as u64;
            if runs_now || full || !has_turn(fleet, id) {
                *since = fleet.record.now();
            }
        }
        std::thread::sleep(STEP);
    }
    let now = fleet.record.now();
    let lost: Vec<&str> = idle
        .iter()
        .filter(|(_, since)| now >= since + IDLE_MS)
        .map(|(id, _)| *id)
        .collect();
    let mut unanswered = 0;
    let mut open = 0;
    for (n, id) in accepted.iter().enumerate() {
        // A cell that answers nothing would hold the check up for too long.
        if unanswered >= 3 {
            break;
        }
        let (status, state) = fleet.state(id, "/ordinary/", n);
        unanswered += usize::from(status != Some(200));
        open += usize::from(state != "completed");
    }
    let refused = *fleet.store.too_large.lock().unwrap();
    fleet.record.note(&format!(
        "most millicores in use while watched: {busiest} of {}",
        WORKER_CPU * WORKERS as u64
    ));
    fleet.record.note(&format!(
        "the store refused {} appends with a record over its limit, the last of {} bytes",
        refused.0, refused.1
    ));
    fleet.record.note(&format!(
        "processes that ended by themselves: {:?}",
        fleet.ended_instances()
    ));
    fleet.record.note(&format!(
        "LOST: {} accepted jobs with a task whose turn has come had nothing running for 3 s: {:?}",
        lost.len(),
        &lost[..lost.len().min(10)]
    ));
    fleet.record.note(&format!(
        "{unanswered} accepted jobs not known or without an answer; {open} not shown as completed"
    ));
    if accepted.is_empty() {
        return None;
    }
    Some(lost.is_empty() && unanswered == 0)
}
