//! A task that crashes its workers, while owners change.

use std::{
    thread,
    time::Duration, //
};

use serde_json::json;

use super::{
    make,
    processes,
    takeover::{
        self,
        Cell, //
    },
    workers::Deadly, //
};

const JOB: u32 = 0xDEAD;

/// Most starts of a task that crashes its workers: the platform's bound.
const MOST_STARTS: usize = 5;

#[test]
fn a_task_that_crashes_its_workers_is_given_up_although_the_owner_is_killed() {
    let mut cell = Cell::start(3);
    let id = format!("{JOB:016x}");
    let task = make::task(&id, 0, 0);
    let deadly = Deadly {
        step: 0,
        index: None,
        delay: 10,
    };
    {
        let mut state = cell.platform.lock().unwrap();
        state.judge.deadly.insert(id.clone(), deadly);
    }
    let step = json!({"count": 1, "cpu": 1_000, "mem_mb": 64, "estimated_ms": 300});
    let body = json!({"spec": "x", "steps": [step]}).to_string();
    cell.submit_at(0, JOB, &body, (1, 1_000));
    let crashes = |cell: &Cell| cell.platform.lock().unwrap().judge.crashes_under(&task);
    takeover::wait_until("a second worker has crashed", || crashes(&cell) == 2);
    // The owner knows the first crash; the second one may be news to the next owner.
    thread::sleep(Duration::from_millis(500));
    let owner = cell.owner();
    cell.instances[owner].kill();
    cell.instances[owner].launch();
    let path = format!("/q/{id}");
    let is_failed = || {
        let fronts = cell.instances.iter().map(|i| i.front);
        let answers = fronts.map(|front| processes::exchange(front, "GET", &path, ""));
        let mut known = answers.flatten().filter(|(status, _)| *status == 200);
        known.any(|(_, body)| body.contains("failed"))
    };
    takeover::wait_until("the job is shown as failed", is_failed);
    let state = cell.platform.lock().unwrap();
    assert_eq!(state.judge.violations.first(), None);
    let starts = state.judge.starts_of(&task);
    assert!(starts <= MOST_STARTS, "{starts} starts");
}
