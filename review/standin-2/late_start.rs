//! A start command that is carried out late, by the next life of its worker behind a cut.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{Verdict, World, id, record::Record, worker};

const WORKERS: usize = 8;
/// Jobs of one task each; the first start command is left unanswered.
const JOBS: u64 = 24;
/// Time from the command to the cut and the crash of its worker.
const CRASH_AT: Duration = Duration::from_millis(4_000);
/// Time for which the worker is down.
const DOWN: Duration = Duration::from_millis(500);
/// Time after which the command is carried out: 2 to 12 s.
const LATE: Duration = Duration::from_millis(7_000);
/// Length of the cut.
const CUT: Duration = Duration::from_millis(5_000);

fn duty(_: &str, _: u64) -> u64 {
    1_000
}

fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let world = World::start(record, WORKERS, duty)?;
    let mut caller = world.caller();
    if trouble {
        worker::hold_next_start();
    }
    let sent = Instant::now();
    let job =
        r#"{"spec":"short","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimated_ms":1000}]}"#;
    let ids: Vec<String> = (0..JOBS).map(id).collect();
    if !ids.iter().all(|id| caller.submit(id, job)) {
        return Err("the jobs are not accepted".to_owned());
    }
    sleep_until(sent + Duration::from_millis(3_500));
    let states: Vec<Option<String>> = ids.iter().map(|id| caller.state(id)).collect();
    if states
        .iter()
        .any(|state| state.as_deref() != Some("completed"))
    {
        return Err(format!("the jobs are not completed: {states:?}"));
    }
    if trouble {
        let held = world.workers.iter().find(|worker| worker.holds_start());
        let worker = held.ok_or("no start command was left unanswered")?;
        sleep_until(sent + CRASH_AT);
        worker.cut(true);
        worker.crash();
        thread::sleep(DOWN);
        worker.restart();
        sleep_until(sent + LATE);
        worker.carry_out();
        sleep_until(sent + CRASH_AT + CUT);
        worker.cut(false);
    }
    sleep_until(sent + Duration::from_secs(13));
    let mut twice = Vec::new();
    let noted: Vec<(String, Instant)> = world
        .workers
        .iter()
        .flat_map(|worker| worker.noted_done())
        .collect();
    for (task, at) in &noted {
        let again = world
            .workers
            .iter()
            .flat_map(|worker| worker.started_after(*at));
        twice.extend(again.filter(|other| other == task));
    }
    record.say(&format!(
        "tasks whose end `done` was taken note of: {}, of these started again: {twice:?}",
        noted.len()
    ));
    match twice.is_empty() {
        true => Ok(Vec::new()),
        false => Ok(vec![format!(
            "TWICE: {twice:?} started after an end `done` that was taken note of, and that the job was shown as completed"
        )]),
    }
}
