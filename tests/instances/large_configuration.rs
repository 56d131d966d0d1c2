//! Configurations that take seconds to reach an instance.

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use serde_json::{
    Value,
    json, //
};

use super::{
    processes,
    takeover::{
        self,
        Cell, //
    }, //
};

/// Bytes per second at which each instance receives configurations.
const RATE: usize = 30_000;

/// Longest time until an acknowledged configuration is in force, from the platform's description.
const APPLY_TIME: Duration = Duration::from_millis(4_000);

/// A configuration with `routes` queues beside the usual one.
fn configuration(version: u32, routes: u32) -> Value {
    let route = |name: &str, prefix: &str| {
        json!({"name": name, "host": "h", "path_prefix": prefix, "service": "s",
            "target_latency_ms": 1_000, "max_attempts": 9, "stretch": 2.0})
    };
    let more = (0..routes).map(|n| route(&format!("m{n}"), &format!("/m{n}/")));
    let mut list = vec![route("q", "/q/")];
    list.extend(more);
    json!({"version": version, "routes": list, "services": [{"name": "s"}]})
}

/// Number of queues that make a configuration of about 45 kB: one and a half seconds.
const ROUTES: u32 = 330;

fn post(cell: &Cell, path: &str) -> Option<u16> {
    let body = json!({"spec": "x", "steps": [{"count": 1, "cpu": 1}]}).to_string();
    let answer = processes::exchange(cell.instances[0].front, "POST", path, &body);
    answer.map(|(status, _)| status)
}

#[test]
fn a_queue_whose_configuration_is_being_received_is_waited_for() {
    let cell = Cell::start(1);
    {
        let mut state = cell.platform.lock().unwrap();
        state.fault.config_rate = RATE;
        state.publish("keyed.op", "config", &configuration(4, ROUTES));
    }
    thread::sleep(Duration::from_millis(400));
    assert_eq!(post(&cell, "/m7/00000000000000a7"), Some(200));
    let began = Instant::now();
    assert_eq!(post(&cell, "/none/00000000000000a8"), Some(404));
    assert!(
        began.elapsed() < Duration::from_millis(500),
        "rejected at once"
    );
}

#[test]
fn only_the_newest_of_many_large_configurations_is_received() {
    let cell = Cell::start(1);
    cell.platform.lock().unwrap().fault.config_rate = RATE;
    for version in 4..14 {
        let mut state = cell.platform.lock().unwrap();
        state.publish("keyed.op", "config", &configuration(version, ROUTES));
        drop(state);
        thread::sleep(Duration::from_millis(200));
    }
    let published = Instant::now();
    takeover::wait_until("the newest configuration is in force", || {
        cell.instances[0]
            .log()
            .contains("\"configuration in force\" version=13")
    });
    assert!(
        published.elapsed() < APPLY_TIME,
        "{:?}",
        published.elapsed()
    );
}

/// Time after the stop signal at which a configuration is sent to an instance, so that it arrives
/// after the instance begins to close its connections, at 4,500 ms.
const PUBLISH_AFTER: Duration = Duration::from_millis(3_700);

/// A request that waits for a configuration must get its answer also while the instance stops: a
/// caller whose connection ends without one does not know whether its job runs.
#[test]
fn a_request_that_waits_for_a_configuration_is_answered_at_a_stop() {
    let cell = Cell::start(1);
    cell.instances[0].signal("TERM");
    thread::sleep(PUBLISH_AFTER);
    {
        let mut state = cell.platform.lock().unwrap();
        state.fault.config_rate = RATE;
        state.publish("keyed.op", "config", &configuration(4, ROUTES));
    }
    thread::sleep(Duration::from_millis(300));
    assert_eq!(post(&cell, "/none/00000000000000a9"), Some(404));
}
