//! A large job whose tasks save their progress, beside jobs of other callers.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{Verdict, World, ask_all, cancel_all, id, record::Record};

/// Tasks that run at once.
const TASKS: u64 = 6_000;
/// Jobs of other callers, to be cancelled.
const OTHERS: u64 = 10;

fn duty(spec: &str, index: u64) -> u64 {
    match (spec, index % 60) {
        ("saves", 0) => 6_000,
        _ => 90_000,
    }
}

fn job(spec: &str, count: u64, checkpointing: bool) -> String {
    let saves = if checkpointing { ",\"checkpointing\":true" } else { "" };
    format!("{{\"spec\":\"{spec}\",\"steps\":[{{\"count\":{count},\"cpu\":10,\"mem_mb\":8,\"estimated_ms\":60000{saves}}}]}}")
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let mut world = World::start(record, 4, duty)?;
    let mut caller = world.caller();
    let others: Vec<String> = (0..OTHERS).map(id).collect();
    if !others.iter().all(|other| caller.submit(other, &job("others", 1, false))) {
        return Err("the jobs of other callers are not accepted".to_owned());
    }
    // The same tasks in one job, or in twelve.
    let parts = if trouble { 1 } else { 12 };
    for n in 0..parts {
        if !caller.submit(&id(100 + n), &job("saves", TASKS / parts, true)) {
            return Err("the tasks are not accepted".to_owned());
        }
    }
    let began = Instant::now();
    while (world.started() as u64) < OTHERS + TASKS {
        if began.elapsed() > Duration::from_secs(30) {
            return Err(format!("only {} tasks have started", world.started()));
        }
        thread::sleep(Duration::from_millis(50));
    }
    record.say(&format!("{} tasks have started after {:.1} s", world.started(), began.elapsed().as_secs_f64()));
    // Every task has saved its progress, and one in sixty has ended.
    thread::sleep(Duration::from_secs(10));
    let mut broken = Vec::new();
    let accepted_ids: Vec<String> = others.iter().cloned().chain((0..parts).map(|n| id(100 + n))).collect();
    cancel_all(&world, &others, Duration::ZERO, &mut broken);
    let mut new = world.caller();
    let accepted = (200..203).filter(|n| new.send("POST", &id(*n), &job("others", 1, false)) == Some(200)).count();
    record.say(&format!("new jobs accepted at the first attempt: {accepted} of 3"));
    ask_all(&world, &accepted_ids, &mut broken);
    let refused = world.store.refused();
    record.say(&format!(
        "appends that the store refused for a record over {} bytes: {}, the largest of {} bytes",
        world.store.record_bytes, refused.large, refused.largest
    ));
    let ended = world.cell.ended();
    if !ended.is_empty() {
        return Err(format!("processes have ended: {ended:?}"));
    }
    Ok(broken)
}
