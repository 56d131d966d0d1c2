//! A worker that crashes twice, the only one of its kind, with a task that lasts.

use std::{thread, time::Duration};

use crate::{
    Verdict,
    world::{Handed, World, events_of},
    worker::Event,
};

const INSTANCES: usize = 3;
const CPU: u64 = 16_000;
const WORKERS: usize = 10;

/// The only worker of kind b.
const LONE: usize = 9;

/// Time after a start at which the worker crashes, and time until it is back.
const AGE: Duration = Duration::from_millis(1_000);
const DOWN: Duration = Duration::from_millis(2_000);

/// Time after the crashes in which the task may start again: several times what the rule allows.
const REST: Duration = Duration::from_secs(50);

/// Time without a run that breaks the rule.
const IDLE_MS: u64 = 3_000;

/// A task that lasts until its job is cancelled; the stand-in lets it run for longer than the case takes.
const LASTING: &str = r#"{"spec":"work=200000","steps":[{"count":1,"cpu":1000,"mem_mb":1024,"estimated_ms":120000,"requirements":"b","long_running":true}]}"#;

/// A task of six seconds.
const WAITING: &str = r#"{"spec":"work=6000","steps":[{"count":1,"cpu":2000,"mem_mb":1024,"estimated_ms":6000,"requirements":"b"}]}"#;

fn starts(world: &World, job: &str) -> usize {
    let events = events_of(&world.record, job);
    events.iter().filter(|(_, e)| matches!(e, Event::Start { .. })).count()
}

/// Waits until both jobs have `count` starts.
fn wait_starts(world: &World, jobs: [&str; 2], count: usize) -> bool {
    for _ in 0..1_000 {
        if jobs.iter().all(|job| starts(world, job) >= count) {
            return true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    false
}

pub fn run(record: &str, trouble: bool) -> Verdict {
    let kind = |n: usize| if n == LONE { "b" } else { "a" };
    let Some(world) = World::start_with(record, INSTANCES, WORKERS, CPU, kind) else {
        return Verdict::NotRun;
    };
    let client = world.client();
    let (lasting, waiting) = ("d000000000000001", "d000000000000002");
    let path = format!("/bulk/{waiting}");
    if client.hand_in(0, &format!("/plain/{lasting}"), LASTING) != Handed::Accepted
        || client.hand_in(1, &path, WAITING) != Handed::Accepted
    {
        return Verdict::NotRun;
    }
    for crash in 1..=2 {
        if !wait_starts(&world, [lasting, waiting], crash) {
            world.record.line("a task has not started in 10 s");
            return Verdict::NotRun;
        }
        thread::sleep(AGE);
        if trouble {
            world.workers[LONE].crash();
            thread::sleep(DOWN);
            world.workers[LONE].come_back();
        } else {
            break;
        }
    }
    let calm = world.record.now();
    thread::sleep(REST);
    let state = client.state(2, &path).and_then(|(_, state)| state);
    let events = events_of(&world.record, waiting);
    let now = world.record.now();
    // The last moment at which the task ran, or the end of the crashes.
    let running = matches!(events.last(), Some((_, Event::Start { .. })));
    let last = events.last().map_or(0, |(at, _)| *at).max(calm);
    let idle = if running { 0 } else { now.saturating_sub(last) };
    world.record.line(&format!(
        "job {waiting}: state {state:?}, {} starts, nothing has run for {idle} ms; the worker of its kind has {} of {CPU} cpu free",
        starts(&world, waiting), CPU - 1_000
    ));
    match state.as_deref() {
        Some("completed") => Verdict::Held,
        Some("pending" | "running") if idle >= IDLE_MS => {
            world.record.line(&format!("BROKEN: job {waiting} has nothing running for {idle} ms, though there is room for it"));
            Verdict::Broken
        }
        Some("failed") if !events.iter().any(|(_, e)| matches!(e, Event::End { how: "failed", .. })) => {
            world.record.line(&format!("BROKEN: job {waiting} is shown as failed, and no run of it has failed"));
            Verdict::Broken
        }
        _ => Verdict::Held,
    }
}
