//! A job that its caller cancels before any owner knows it.

use std::{
    io::Write,
    net::{
        SocketAddr,
        TcpStream, //
    },
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

const JOB: &str = "000000000000f0f2";

/// Time in which a submission would have started its task.
const START_TIME: Duration = Duration::from_millis(2_500);

fn work() -> String {
    let body = json!({"spec": "x", "steps": [{"count": 1, "cpu": 1_000, "mem_mb": 64, "estimated_ms": 300}]});
    body.to_string()
}

/// Sends a submission, and returns its connection.
fn post(front: SocketAddr, timeout: u64) -> TcpStream {
    let body = work();
    let mut caller = TcpStream::connect(front).unwrap();
    let head = format!(
        "POST /q/{JOB} HTTP/1.1\r\nhost: h\r\nx-deadline-ms: {timeout}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    caller.write_all(head.as_bytes()).unwrap();
    caller
}

/// Pause of an instance in which its callers give up.
const PAUSE: Duration = Duration::from_millis(1_500);

/// Timeout of a caller that is shorter than the pause, in milliseconds.
const SHORT_TIMEOUT_MS: u64 = 1_000;

/// Timeout of a caller that outlasts the pause, in milliseconds.
const LONG_TIMEOUT_MS: u64 = 10_000;

/// Sends a submission to a paused instance, and checks whether the job exists after the pause.
fn submit_during_pause(timeout: u64, caller_leaves: bool, exists: bool) {
    let cell = Cell::start(3);
    let front = (cell.owner() + 1) % 3;
    cell.platform.lock().unwrap().judge.jobs.insert(
        JOB.to_owned(),
        JobSpec {
            steps: vec![(1, 1_000, false, Vec::new())],
            accepted: true,
            cancelled: None,
        },
    );
    cell.instances[front].signal("STOP");
    let caller = Some(post(cell.instances[front].front, timeout));
    let caller = caller.filter(|_| !caller_leaves);
    thread::sleep(PAUSE);
    cell.instances[front].signal("CONT");
    thread::sleep(START_TIME);
    drop(caller);
    let path = format!("/q/{JOB}");
    let shown = processes::exchange(cell.instances[front].front, "GET", &path, "");
    let expected = if exists { 200 } else { 410 };
    assert_eq!(shown.map(|(status, _)| status), Some(expected));
}

/// A submission that a paused instance reads after its caller's deadline must not be handed in:
/// nobody waits for the job, and its caller may have cancelled it elsewhere.
#[test]
fn a_submission_that_is_read_after_its_deadline_is_not_accepted() {
    submit_during_pause(SHORT_TIMEOUT_MS, false, false);
}

/// The same for a caller that has closed its connection meanwhile.
#[test]
fn a_submission_whose_caller_left_during_a_pause_is_not_accepted() {
    submit_during_pause(LONG_TIMEOUT_MS, true, false);
}

/// A caller that still waits after the pause is served.
#[test]
fn a_submission_whose_caller_waits_through_a_pause_is_accepted() {
    submit_during_pause(LONG_TIMEOUT_MS, false, true);
}

/// A paused instance must not hand in a job that was cancelled elsewhere meanwhile, also not after a
/// change of owner.
#[test]
fn a_submission_that_outlasts_its_cancellation_does_not_run() {
    let mut cell = Cell::start(3);
    let owner = cell.owner();
    let (front, other) = ((owner + 1) % 3, (owner + 2) % 3);
    let task = JobSpec {
        steps: vec![(1, 1_000, false, Vec::new())],
        accepted: true,
        cancelled: None,
    };
    {
        let mut state = cell.platform.lock().unwrap();
        state.judge.jobs.insert(JOB.to_owned(), task);
    }
    let path = format!("/q/{JOB}");
    let body = work();
    cell.instances[front].signal("STOP");
    drop(post(cell.instances[front].front, 3_000));
    let cancelled = processes::exchange(cell.instances[other].front, "DELETE", &path, "");
    assert_eq!(cancelled.map(|(status, _)| status), Some(410));
    cell.instances[front].signal("CONT");
    thread::sleep(START_TIME);
    assert_eq!(cell.platform.lock().unwrap().judge.starts, 0);
    cell.instances[owner].kill();
    takeover::wait_until("another instance owns the cell", || {
        let at = cell.owner();
        at != owner
    });
    let late = processes::exchange(cell.instances[other].front, "POST", &path, &body);
    assert_eq!(late.map(|(status, _)| status), Some(410));
    let shown = processes::exchange(cell.instances[other].front, "GET", &path, "");
    assert_eq!(shown.map(|(status, _)| status), Some(410));
    thread::sleep(START_TIME);
    assert_eq!(cell.platform.lock().unwrap().judge.starts, 0);
}
