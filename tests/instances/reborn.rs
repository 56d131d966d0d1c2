//! A worker starts again under its id, and commands that were meant for its former life are carried
//! out in the next one: id and fencing token are valid there, and their expiry is a time on the
//! clock of the former life.

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use serde_json::json;

use super::{
    delivery::{
        ALL_INSTANCES,
        PathCut, //
    },
    processes,
    standin,
    takeover::{
        self,
        Cell, //
    }, //
};

const JOB: u32 = 0xB0B0;

/// Paths of commands.
const START_RUN: &str = "/bamboolock/run-start";
const POLL: &str = "/bamboolock/hold";

/// Number of workers; the first is the one that starts again.
const WORKERS: usize = 4;

const CAPACITY: u32 = 8_000;

/// Age of the first life of each worker at the start of a test, in milliseconds: the expiries of its
/// commands lie far beyond what the clock of the next life reaches within the test.
const AGE_MS: u64 = 60_000;

/// Time for which a worker that starts again is down.
const DOWN: Duration = Duration::from_millis(600);

/// Time after a start in which the owner has learned of it and renews the lease.
const SETTLED: Duration = Duration::from_millis(700);

/// Time from the cut to the late command: most of the lease as the owner knows it.
const CUT_BEFORE: Duration = Duration::from_millis(3_000);

/// Time by which a task that was started elsewhere overlaps with its former run, if that is still
/// there.
const OVERLAP: Duration = Duration::from_millis(1_000);

/// Starts a cell in which only the first worker has room, and late commands reach whichever life
/// answers under the id of their worker.
fn start_cell() -> Cell {
    let (address, platform) = standin::start(WORKERS, CAPACITY);
    {
        let mut state = platform.lock().unwrap();
        state.astray = true;
        state.judge.traced = std::env::var_os("BAMBOOLOCK_TRACE").is_some();
        state.age(AGE_MS);
    }
    let cell = Cell::start_at(address, platform, 3, 0.0);
    resize_others(&cell, 0);
    // The owner learns of it.
    thread::sleep(SETTLED);
    cell
}

/// Sets the capacity of all workers but the first.
fn resize_others(cell: &Cell, capacity: u32) {
    let mut state = cell.platform.lock().unwrap();
    let now = state.now();
    let others = state.machines.iter_mut().skip(1);
    others.for_each(|machine| machine.resize(capacity, now));
    state.register();
}

/// Submits a job of one task that runs for `duration`, in milliseconds.
fn submit(cell: &mut Cell, duration: u64) {
    cell.platform.lock().unwrap().duration = Some(duration);
    let step = json!({"count": 1, "cpu": 1_000, "mem_mb": 64, "estimated_ms": 300});
    let body = json!({"spec": "x", "steps": [step]}).to_string();
    cell.submit_at(0, JOB, &body, (1, 1_000));
}

/// Holds the worker's commands at a path back from now on.
fn hold_back(cell: &Cell, path: &'static str) {
    cell.platform.lock().unwrap().delivery.held = Some((0, path));
}

/// Waits until a start, or a poll that renews leases, is held back.
fn wait_for_held(cell: &Cell) {
    takeover::wait_until("a command is held back", || {
        cell.platform.lock().unwrap().delivery.expiries_held > 0
    });
}

/// Lets the worker crash and start again under its id.
fn restart(cell: &Cell) {
    cell.platform.lock().unwrap().crash(0);
    thread::sleep(DOWN);
    cell.platform.lock().unwrap().restart(0);
}

/// Lets all commands be answered again.
fn answer_all(cell: &Cell) {
    cell.platform.lock().unwrap().delivery.held = None;
}

fn is_busy(cell: &Cell, at: usize) -> bool {
    cell.platform.lock().unwrap().machines[at].is_busy()
}

/// Lets the task run in the second life of its worker, cuts the worker off, carries the commands out
/// that were held back, and waits until the task runs elsewhere.
fn cut_off_and_release(cell: &Cell) {
    takeover::wait_until("the task runs in the second life", || is_busy(cell, 0));
    thread::sleep(SETTLED);
    cell.platform.lock().unwrap().delivery.cuts.push(PathCut {
        instances: ALL_INSTANCES,
        workers: 1,
        answers: false,
    });
    resize_others(cell, CAPACITY);
    thread::sleep(CUT_BEFORE);
    cell.platform.lock().unwrap().delivery.released = true;
    takeover::wait_until("the task runs elsewhere", || {
        (1..WORKERS).any(|at| is_busy(cell, at))
    });
    thread::sleep(OVERLAP);
}

fn assert_kept(cell: &Cell) {
    let violations = cell.platform.lock().unwrap().judge.violations.clone();
    assert_eq!(violations, Vec::<String>::new());
}

/// A poll that renews leases has no answer, and the next life gets it while nobody reaches it: it
/// renews the lease of a run that the owner then gives up.
#[test]
fn a_renewal_meant_for_the_former_life_does_not_prolong_a_run_of_the_next_one() {
    let mut cell = start_cell();
    submit(&mut cell, 60_000);
    takeover::wait_until("the task runs", || is_busy(&cell, 0));
    thread::sleep(SETTLED);
    hold_back(&cell, POLL);
    wait_for_held(&cell);
    restart(&cell);
    answer_all(&cell);
    cut_off_and_release(&cell);
    assert_kept(&cell);
}

/// The same with a start command, whose expiry counts although the run is refused as an old one.
#[test]
fn a_start_meant_for_the_former_life_does_not_prolong_a_run_of_the_next_one() {
    let mut cell = start_cell();
    hold_back(&cell, START_RUN);
    submit(&mut cell, 60_000);
    wait_for_held(&cell);
    restart(&cell);
    // The owner learns of the next life before a copy of the command is answered there.
    thread::sleep(SETTLED);
    answer_all(&cell);
    cut_off_and_release(&cell);
    assert_kept(&cell);
}

/// Time from the first copy of a start command to the next life of its worker, and from there to the
/// copy's arrival: the copy arrives 6 s after it was sent, as in review/2.
const UNTIL_RESTART: Duration = Duration::from_millis(5_100);
const UNTIL_COPY: Duration = Duration::from_millis(300);

/// The first copy of a start command has no answer, the second one is carried out and the success of
/// its run is acknowledged: the next life gets the first copy, and must not start the run again.
#[test]
fn a_copy_of_a_start_does_not_repeat_a_run_in_the_next_life() {
    let mut cell = start_cell();
    hold_back(&cell, START_RUN);
    submit(&mut cell, 300);
    wait_for_held(&cell);
    answer_all(&cell);
    let path = format!("/q/{JOB:016x}");
    let is_shown = || {
        let answer = processes::exchange(cell.instances[0].front, "GET", &path, "");
        answer.is_some_and(|(_, body)| body.contains("completed"))
    };
    let held = Instant::now();
    takeover::wait_until("the job is shown as completed", is_shown);
    thread::sleep(UNTIL_RESTART.saturating_sub(held.elapsed()));
    restart(&cell);
    thread::sleep(UNTIL_COPY);
    cell.platform.lock().unwrap().delivery.released = true;
    thread::sleep(OVERLAP);
    assert_kept(&cell);
    let starts = cell.platform.lock().unwrap().judge.starts;
    assert_eq!(starts, 1);
}
