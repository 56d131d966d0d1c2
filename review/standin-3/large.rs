//! A large job among ordinary ones.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    world::{Client, Handed, Jobs, World, events_of},
    worker::Event,
};

const INSTANCES: usize = 7;
const WORKERS: usize = 48;
const CPU: u64 = 16_000;

/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(14);

/// A job with three steps of two tasks, one after the other.
const ORDINARY: &str = r#"{"spec":"work=600","steps":[{"count":2,"cpu":500,"mem_mb":256,"estimated_ms":600},{"count":2,"cpu":500,"mem_mb":256,"estimated_ms":600,"depends_on":[0]},{"count":2,"cpu":500,"mem_mb":256,"estimated_ms":600,"depends_on":[1]}]}"#;

/// `ack_ms` of the settings.
const ACK: Duration = Duration::from_millis(5_000);

/// Hands an ordinary job in every `gap`, for `span`; waits for all answers.
fn traffic(client: &Client, jobs: &Jobs, gap: Duration, span: Duration) {
    let began = Instant::now();
    let mut number = 0_usize;
    let mut callers = Vec::new();
    while began.elapsed() < span {
        number += 1;
        let path = format!("/plain/{:016x}", 0xa000_0000_0000 + number);
        let (client, jobs) = (client.clone(), jobs.clone());
        callers.push(thread::spawn(move || {
            let handed = client.hand_in(number, &path, ORDINARY);
            jobs.lock().unwrap().insert(path, handed);
        }));
        thread::sleep(gap);
    }
    for caller in callers {
        let _ = caller.join();
    }
}

/// Asks for all accepted jobs `FINISH` after the end of the traffic, and counts those against the rule: not
/// known, no answer, or not completed with nothing running for 3 s, although the workers have room.
fn judge(world: &World, jobs: &Jobs) -> usize {
    let client = world.client();
    let jobs = jobs.lock().unwrap().clone();
    let mut broken = 0;
    let count = |handed: Handed| jobs.values().filter(|h| **h == handed).count();
    world.record.line(&format!(
        "jobs: {} accepted, {} refused, {} without an answer that says",
        count(Handed::Accepted), count(Handed::Refused), count(Handed::Unknown)
    ));
    let asked: Vec<_> = jobs
        .iter()
        .enumerate()
        .map(|(at, (path, handed))| {
            let (client, path, handed) = (client.clone(), path.clone(), *handed);
            thread::spawn(move || {
                let answer = (handed == Handed::Accepted).then(|| client.state(at, &path)).flatten();
                (path, handed, answer)
            })
        })
        .collect();
    for asked in asked {
        let Ok((path, handed, answer)) = asked.join() else {
            continue;
        };
        let job = path.rsplit('/').next().unwrap_or_default();
        let events = events_of(&world.record, job);
        let now = world.record.now();
        let fault = match (handed, &answer) {
            (Handed::Accepted, None) => Some("gets no answer".to_owned()),
            (Handed::Accepted, Some((200, Some(state)))) => match state.as_str() {
                "completed" => None,
                "failed" | "cancelled" => Some(format!("is shown as {state} without cause")),
                _ => {
                    let last = events.iter().map(|(at, _)| *at).max().unwrap_or(0);
                    let idle = now.saturating_sub(last);
                    (idle >= 3_000).then(|| format!("is {state}, and nothing has run for {idle} ms"))
                }
            },
            (Handed::Accepted, Some((status, _))) => Some(format!("is answered {status}")),
            (Handed::Refused, _) => {
                let started = events.iter().any(|(_, e)| matches!(e, Event::Start { .. }));
                started.then(|| "was refused and ran".to_owned())
            }
            (Handed::Unknown, _) => None,
        };
        if let Some(fault) = fault {
            broken += 1;
            world.record.line(&format!("BROKEN: job {job} {fault}"));
        }
    }
    broken
}

/// Whether more than a fifth of the ends that workers listed were not taken note of within `ACK`.
fn judge_ends(world: &World) -> bool {
    let events = world.record.events.lock().unwrap().clone();
    let limit = ACK.as_millis() as u64;
    let until = world.record.now().saturating_sub(limit);
    let mut noted: BTreeMap<(String, u64), u64> = BTreeMap::new();
    for (at, event) in &events {
        if let Event::Noted { task, run, .. } = event {
            noted.insert((task.clone(), *run), *at);
        }
    }
    let (mut listed, mut missed) = (0, 0);
    for (at, event) in &events {
        let Event::End { task, run, how, .. } = event else {
            continue;
        };
        if *how == "crashed" || *at > until {
            continue;
        }
        listed += 1;
        let taken = noted.get(&(task.clone(), *run)).is_some_and(|noted| *noted <= at + limit);
        missed += usize::from(!taken);
    }
    let broken = missed * 5 > listed;
    let verdict = if broken { "BROKEN: " } else { "" };
    world.record.line(&format!("{verdict}{missed} of {listed} ends that workers listed were not taken note of within {limit} ms"));
    broken
}

fn finish(mut world: World, jobs: &Jobs, least: usize) -> Verdict {
    thread::sleep(FINISH);
    let broken = judge(&world, jobs) + usize::from(judge_ends(&world));
    let accepted = jobs.lock().unwrap().values().filter(|h| **h == Handed::Accepted).count();
    let rejected = world.store.too_large.lock().unwrap().clone();
    let epochs: BTreeSet<u64> = rejected.iter().map(|(_, epoch, _)| *epoch).collect();
    let largest = rejected.iter().map(|(_, _, size)| *size).max().unwrap_or(0);
    world.record.line(&format!(
        "the store rejected {} appends with a record of over {} bytes, of {} terms; the largest had {largest}",
        rejected.len(), crate::store::RECORD_BYTES, epochs.len()
    ));
    let terms = world.cell.log_lines("term begins").len();
    let ended = world.cell.ended();
    world.record.line(&format!("{terms} terms began, {ended} instances ended, {broken} findings against the rules"));
    if accepted < least {
        world.record.line(&format!("only {accepted} jobs were accepted"));
        return Verdict::NotRun;
    }
    match broken {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// A job with many tasks that save checkpoints.
pub fn progress(record: &str, trouble: bool) -> Verdict {
    let Some(world) = World::start(record, INSTANCES, WORKERS, CPU) else {
        return Verdict::NotRun;
    };
    let jobs: Jobs = Arc::new(Mutex::new(BTreeMap::new()));
    let client = world.client();
    let count: usize = std::env::var("TASKS").ok().and_then(|t| t.parse().ok()).unwrap_or(6_000);
    let large = trouble.then(|| {
        let id = "b000000000000001";
        world.record.shorten(id);
        let body = format!(
            r#"{{"spec":"work=240000 saves=1 fails=2","steps":[{{"count":{count},"cpu":40,"mem_mb":64,"estimated_ms":240000,"checkpointing":true}}]}}"#
        );
        let client = client.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(5));
            client.hand_in(0, &format!("/bulk/{id}"), &body)
        })
    });
    traffic(&client, &jobs, Duration::from_millis(400), Duration::from_secs(50));
    if let Some(large) = large {
        let handed = large.join().unwrap_or(Handed::Unknown);
        world.record.line(&format!("the large job: {handed:?}"));
        let starts = events_of(&world.record, "b000000000000001");
        let starts = starts.iter().filter(|(_, e)| matches!(e, Event::Start { .. })).count();
        world.record.line(&format!("{starts} starts of its tasks"));
    }
    finish(world, &jobs, 20)
}
