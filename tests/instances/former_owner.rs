//! A former owner that does not know of its successor, and a worker that only the former owner
//! reaches.

use std::{
    thread,
    time::Duration, //
};

use serde_json::json;

use super::{
    processes,
    takeover::{
        self,
        Cell, //
    },
    workers::JobSpec, //
};

const JOB: &str = "000000000000f0f0";

/// Longest time that a successor waits for runs of its predecessor on a worker that it cannot
/// reach, and some time for the run that it starts then.
const SUCCESSOR_WAIT: Duration = Duration::from_millis(15_500);

/// Runs one long task, and replaces the owner while it is paused; the worker of the task is
/// reached by the former owner only. Returns the cell and the index of the former owner.
fn replaced_owner() -> (Cell, usize) {
    let cell = Cell::start(3);
    let owner = cell.owner();
    let task = JobSpec {
        steps: vec![(1, 1_000, false, Vec::new())],
        accepted: true,
        cancelled: None,
    };
    {
        let mut state = cell.platform.lock().unwrap();
        state.duration = Some(60_000);
        state.judge.jobs.insert(JOB.to_owned(), task);
    }
    let body = json!({"spec": "x", "steps": [{"count": 1, "cpu": 1_000, "mem_mb": 64, "estimated_ms": 300}]});
    let answer = processes::exchange(
        cell.instances[owner].front,
        "POST",
        &format!("/q/{JOB}"),
        &body.to_string(),
    );
    assert_eq!(answer.map(|(status, _)| status), Some(200));
    takeover::wait_until("the task runs", || {
        let mut state = cell.platform.lock().unwrap();
        let busy = state.machines.iter().find(|m| m.is_busy());
        let Some(worker) = busy.map(|m| m.id.clone()) else {
            return false;
        };
        state.partition = Some((worker, 1));
        true
    });
    // The owner stores the start of the job and notices its renewed lease.
    thread::sleep(Duration::from_millis(500));
    cell.instances[owner].signal("STOP");
    takeover::wait_until("another instance owns the cell", || cell.owner() != owner);
    (cell, owner)
}

fn assert_ran_once(cell: &Cell) {
    let (violations, starts) = {
        let state = cell.platform.lock().unwrap();
        (state.judge.violations.clone(), state.judge.starts)
    };
    assert_eq!(violations, Vec::<String>::new());
    assert_eq!(starts, 2, "the successor has started the task again");
}

#[test]
fn an_owner_that_only_reads_from_the_store_learns_that_it_was_replaced() {
    let (cell, former) = replaced_owner();
    cell.instances[former].signal("CONT");
    thread::sleep(SUCCESSOR_WAIT);
    assert_ran_once(&cell);
}

#[test]
fn a_heartbeat_from_before_its_term_does_not_shorten_a_successors_wait() {
    let (cell, former) = replaced_owner();
    let next = cell.owner();
    // The former owner renews leases for as long as its last proof of ownership holds.
    cell.platform.lock().unwrap().silent_epoch = 1;
    cell.instances[former].signal("CONT");
    // The former owner sent it as a follower of an earlier owner at the same instance.
    let beat = json!({
        "instance": cell.instances[former].name, "address": cell.instances[former].peer.to_string(),
        "term": 1, "strength": 1_000,
    });
    let peer = cell.instances[next].peer;
    for _ in 0..10 {
        let answer = processes::exchange(peer, "POST", "/ping", &beat.to_string());
        assert_eq!(answer.map(|(status, _)| status), Some(200));
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(SUCCESSOR_WAIT);
    assert_ran_once(&cell);
}
