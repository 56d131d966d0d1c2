//! A long-running service on all workers, of which one goes down and up by turns.

use std::{sync::Arc, thread, time::Duration};

use crate::{Verdict, World, id, record::Record};

/// Workers, of which one goes down and up, each with one task of the service.
const WORKERS: usize = 10;
/// Spells, of up to 6.5 s each, in which it does so, and the pause after them.
const SPELLS: usize = 4;
const PAUSE: Duration = Duration::from_millis(1_000);
/// Times that it crashes in a spell.
const CRASHES: usize = 4;
/// Time for which it is up, and down: a period of 1.4 s.
const UP: Duration = Duration::from_millis(900);
const DOWN: Duration = Duration::from_millis(500);
/// Time after the last crash until the service is looked at.
const CALM: Duration = Duration::from_secs(14);

fn duty(_: &str, _: u64) -> u64 {
    1_000_000
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let world = World::start(record, WORKERS, duty)?;
    let mut caller = world.caller();
    let service = id(1);
    let job = format!(
        "{{\"spec\":\"service\",\"steps\":[{{\"count\":{WORKERS},\"cpu\":9000,\"mem_mb\":100,\"estimated_ms\":1000,\"long_running\":true,\"may_miss\":1}}]}}"
    );
    if !caller.submit(&service, &job) {
        return Err("the service is not accepted".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    let at_work = |world: &World| world.workers.iter().map(|worker| worker.running().len()).sum::<usize>();
    if at_work(&world) != WORKERS {
        return Err(format!("only {} tasks of the service are at work", at_work(&world)));
    }
    let worker = &world.workers[0];
    for _ in 0..SPELLS {
        for _ in 0..CRASHES {
            thread::sleep(UP);
            if trouble {
                worker.crash();
            }
            thread::sleep(DOWN);
            if trouble {
                worker.restart();
            }
        }
        thread::sleep(PAUSE);
    }
    thread::sleep(CALM);
    let state = (0..3).find_map(|_| caller.state(&service));
    let ends = world.workers.iter().flat_map(|worker| worker.ends_as("failed")).count();
    record.say(&format!(
        "the service is shown as {state:?}, {} of its {WORKERS} tasks are at work, {ends} runs have ended as failed",
        at_work(&world)
    ));
    let sound = world.workers.iter().skip(1);
    let stopped = sound.flat_map(|worker| worker.ends_as("stopped")).count();
    record.say(&format!("tasks at work that were stopped on the other workers: {stopped}, may_miss is 1"));
    let mut broken = Vec::new();
    if matches!(state.as_deref(), Some("failed" | "cancelled")) {
        broken.push("LOST: a service that nobody has cancelled is shown as ended, and no run has ended as failed".to_owned());
    }
    if stopped > 1 {
        broken.push(format!("AVAIL: {stopped} tasks of a step with may_miss 1 were stopped at work on sound workers"));
    }
    if at_work(&world) == 0 {
        broken.push(format!("LOST: none of the {WORKERS} tasks of the service is at work, in calm and with room for all"));
    }
    Ok(broken)
}
