//! A worker that goes down and up by turns, and a job that finds room only there.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    world::{Handed, World, events_of},
    worker::Event,
};

const INSTANCES: usize = 3;
const CPU: u64 = 16_000;

/// One worker in ten goes down and up: `share` 0.1, `gap_s` 1.4 and `for_s` 6.5 of the site file.
const WORKERS: usize = 10;
const PERIOD: Duration = Duration::from_millis(1_400);
const SPAN: Duration = Duration::from_millis(6_500);

/// Time between two such spans, and their number.
const PAUSE: Duration = Duration::from_millis(2_500);
const SPANS: usize = 3;

/// Time after the last span in which the job may still complete.
const REST: Duration = Duration::from_secs(30);

/// Fills nine workers for longer than the case takes.
const FILLING: &str = r#"{"spec":"work=110000","steps":[{"count":9,"cpu":16000,"mem_mb":1024,"estimated_ms":110000,"anti_affinity":1}]}"#;

/// A task of four seconds.
const WAITING: &str = r#"{"spec":"work=4000","steps":[{"count":1,"cpu":4000,"mem_mb":1024,"estimated_ms":4000}]}"#;

pub fn run(record: &str, trouble: bool) -> Verdict {
    let Some(world) = World::start(record, INSTANCES, WORKERS, CPU) else {
        return Verdict::NotRun;
    };
    let client = world.client();
    if client.hand_in(0, "/bulk/c000000000000001", FILLING) != Handed::Accepted {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(3));
    let idle: Vec<usize> = (0..WORKERS).filter(|n| world.workers[*n].is_idle()).collect();
    let [free] = idle[..] else {
        world.record.line(&format!("{} workers are idle", idle.len()));
        return Verdict::NotRun;
    };
    world.record.line(&format!("worker {free} is idle"));
    let path = "/plain/c000000000000002";
    let job = path.rsplit('/').next().unwrap_or_default();
    if client.hand_in(1, path, WAITING) != Handed::Accepted {
        return Verdict::NotRun;
    }
    for _ in 0..SPANS {
        let began = Instant::now();
        while trouble && began.elapsed() < SPAN {
            thread::sleep(PERIOD / 2);
            world.workers[free].crash();
            thread::sleep(PERIOD / 2);
            world.workers[free].come_back();
        }
        thread::sleep(SPAN.saturating_sub(began.elapsed()) + PAUSE);
    }
    let began = Instant::now();
    let mut last = None;
    while began.elapsed() < REST {
        last = client.state(0, path).and_then(|(_, state)| state);
        if matches!(last.as_deref(), Some("completed" | "failed" | "cancelled")) {
            break;
        }
        thread::sleep(Duration::from_secs(1));
    }
    let events = events_of(&world.record, job);
    let count = |how: &str| events.iter().filter(|(_, e)| matches!(e, Event::End { how: h, .. } if *h == how)).count();
    let starts = events.iter().filter(|(_, e)| matches!(e, Event::Start { .. })).count();
    world.record.line(&format!(
        "job {job}: state {last:?}, {starts} starts, {} ends failed, {} with the crash of the worker",
        count("failed"), count("crashed")
    ));
    let lines = world.cell.log_lines("crashes the workers that start it");
    lines.iter().for_each(|line| world.record.line(line));
    match last.as_deref() {
        Some("completed") => Verdict::Held,
        Some("failed") if count("failed") == 0 => {
            world.record.line(&format!("BROKEN: job {job} is shown as failed, and no run of it has failed"));
            Verdict::Broken
        }
        other => {
            world.record.line(&format!("the job is neither completed nor failed: {other:?}"));
            Verdict::Held
        }
    }
}
