//! A cell whose instances have slow links: more start commands than the owner's link carries.

use std::{
    net::TcpListener,
    thread,
    time::Duration, //
};

use bamboolock::cell::fencing::Token;
use serde_json::json;
use xxhash_rust::xxh3;

use super::{
    processes,
    takeover::{
        self,
        Cell, //
    }, //
};

/// Size of the specification of each job, in bytes.
const SPEC_BYTES: usize = 3_800;

/// Bandwidth of each instance's link in megabits per second: at the owner's alone, the specifications
/// of [`JOBS`] would take five seconds.
const LINK_MBPS: f64 = 1.0;

/// Number of jobs, with [`TASKS`] tasks each.
const JOBS: u32 = 20;

/// Number of tasks of each job.
const TASKS: u32 = 8;

/// Pause of a relay, longer than an owner waits for its answer.
const PAUSE: Duration = Duration::from_millis(1_500);

fn link_bytes(cell: &Cell, instance: usize, kind: &str) -> u64 {
    let name = format!("bamboolock_cell_link_bytes_total{{kind=\"{kind}\",direction=\"out\"}}");
    cell.instances[instance].metric(&name).unwrap_or(0)
}

#[test]
fn a_full_link_of_the_owner_ends_no_term_and_other_instances_send_its_starts() {
    let mut cell = Cell::start_with_links(3, LINK_MBPS);
    let owner = cell.owner();
    let spec = "s".repeat(SPEC_BYTES);
    for n in 0..JOBS {
        let front = (owner + 1 + n as usize % 2) % 3;
        let steps = json!([{"count": TASKS, "cpu": 100, "mem_mb": 64, "estimated_ms": 300}]);
        let body = json!({"spec": spec, "steps": steps}).to_string();
        cell.submit_at(front, 0xC000 + n, &body, (TASKS, 100));
    }
    cell.finish();
    let log = cell.instances[owner].log();
    assert!(!log.contains("start command not answered"));
    assert_eq!(cell.owner(), owner);
    for instance in &cell.instances {
        let terms = instance.log().matches("term begins").count();
        assert!(terms <= 1, "{} began {terms} terms", instance.name);
    }
    let relayed: u64 = (0..3)
        .filter(|n| *n != owner)
        .map(|n| link_bytes(&cell, n, "start"))
        .sum();
    assert!(
        relayed > (SPEC_BYTES * 10) as u64,
        "{relayed} bytes of start commands from other instances"
    );
}

#[test]
fn jobs_whose_starts_are_relayed_survive_kills_of_the_relay() {
    let mut cell = Cell::start_with_links(3, LINK_MBPS);
    let owner = cell.owner();
    let relay = (owner + 1) % 3;
    let spec = "s".repeat(SPEC_BYTES);
    for n in 0..JOBS {
        let steps = json!([{"count": TASKS, "cpu": 100, "mem_mb": 64, "estimated_ms": 300}]);
        let body = json!({"spec": spec, "steps": steps}).to_string();
        cell.submit_at(relay, 0xD000 + n, &body, (TASKS, 100));
        if n == JOBS / 2 {
            cell.instances[relay].signal("STOP");
            thread::sleep(PAUSE);
            cell.instances[relay].signal("CONT");
        }
    }
    cell.instances[relay].kill();
    cell.instances[relay].launch();
    takeover::wait_until("the relay is back", || cell.instances[relay].is_ready());
    cell.finish();
}

#[test]
fn a_malformed_relayed_command_ends_no_process() {
    let cell = Cell::start(1);
    let peer = cell.instances[0].peer;
    for body in [
        "",
        "7",
        "{}",
        "{\"token\":-1}",
        "[[[[",
        "{\"token\":1,\"worker\":\"w\"}",
    ] {
        let answer = processes::exchange(peer, "POST", "/relay", body);
        assert_eq!(answer.map(|(status, _)| status), Some(400), "{body}");
    }
    let unknown = json!({"token": 1, "worker": "w", "address": "x", "run": 1, "expires": 1, "spec_hash": 1,
        "task": {"job": "none", "occurrence": 0, "step": 0, "index": 0}});
    let answer = processes::exchange(peer, "POST", "/relay", &unknown.to_string());
    assert_eq!(answer, Some((200, "\"unsent\"".to_owned())));
    assert!(cell.instances[0].is_ready());
}

/// Start command of the only task of a job, for a relay.
fn relayed(id: &str, spec: &str, worker: &TcpListener) -> String {
    let token = Token::first(9).value();
    let order = json!({"token": token, "worker": "w", "address": worker.local_addr().unwrap().to_string(),
        "run": 1, "expires": 1, "spec_hash": xxh3::xxh3_64(spec.as_bytes()),
        "task": {"job": id, "occurrence": 0, "step": 0, "index": 0}});
    order.to_string()
}

/// Lets an instance know the specification of a job that is rejected.
fn submit_rejected(cell: &Cell, id: &str) {
    let rejected = json!({"spec": "rejected", "steps": []}).to_string();
    let path = format!("/q/{id}");
    let answer = processes::exchange(cell.instances[0].front, "POST", &path, &rejected);
    assert_eq!(answer.map(|(status, _)| status), Some(400));
}

#[test]
fn a_relay_sends_no_specification_but_that_of_the_accepted_job() {
    let cell = Cell::start(1);
    let peer = cell.instances[0].peer;
    let id = "00000000000000f1";
    // The job is rejected, so that its id may be used again with another specification.
    submit_rejected(&cell, id);
    let worker = TcpListener::bind("127.0.0.1:0").unwrap();
    worker.set_nonblocking(true).unwrap();
    let relay = |spec: &str| {
        processes::exchange(peer, "POST", "/relay", &relayed(id, spec, &worker)).unwrap()
    };
    assert_eq!(relay("accepted"), (200, "\"unsent\"".to_owned()));
    assert!(worker.accept().is_err(), "nothing is sent to the worker");
    // The stand-in for the worker does not answer.
    assert_eq!(relay("rejected"), (200, "\"unknown\"".to_owned()));
    assert!(worker.accept().is_ok());
}

/// Guards against a start command that a relay sends seconds after its owner has written it off: the
/// worker may have restarted under its id, and the expiry is a time on the clock of the former
/// incarnation.
#[test]
fn a_relay_that_stood_still_does_not_send_what_it_received_meanwhile() {
    let cell = Cell::start(1);
    let (instance, id) = (&cell.instances[0], "00000000000000f3");
    submit_rejected(&cell, id);
    let worker = TcpListener::bind("127.0.0.1:0").unwrap();
    worker.set_nonblocking(true).unwrap();
    let (peer, order) = (instance.peer, relayed(id, "rejected", &worker));
    instance.signal("STOP");
    let relay = thread::spawn(move || processes::exchange(peer, "POST", "/relay", &order));
    thread::sleep(PAUSE);
    instance.signal("CONT");
    assert_eq!(relay.join().unwrap(), Some((200, "\"unsent\"".to_owned())));
    assert!(worker.accept().is_err(), "nothing is sent to the worker");
}
