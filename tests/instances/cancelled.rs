//! A job that its caller cancels before any owner knows it.

use std::{
    io::Write,
    net::TcpStream,
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
    let body = json!({"spec": "x", "steps": [{"count": 1, "cpu": 1_000, "mem_mb": 64, "estimated_ms": 300}]});
    let body = body.to_string();
    cell.instances[front].signal("STOP");
    let mut caller = TcpStream::connect(cell.instances[front].front).unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    caller.write_all(head.as_bytes()).unwrap();
    drop(caller);
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
