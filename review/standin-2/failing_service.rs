//! A long-running service whose tasks fail soon after each start, beside jobs of other callers.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{Verdict, World, ask_all, cancel_all, check_idle, id, record::Record};

/// Tasks of the service.
const TASKS: u64 = 300;
/// Failures of the whole service until it is looked at.
const FAILURES: u64 = 80_000;
/// Longest time for that.
const LIMIT: Duration = Duration::from_secs(55);
/// Jobs of other callers, to be cancelled.
const OTHERS: u64 = 10;

fn duty(spec: &str, _: u64) -> u64 {
    if spec == "fails" { 60 } else { 1_000_000 }
}

fn job(spec: &str, count: u64, lasting: &str) -> String {
    format!("{{\"spec\":\"{spec}\",\"steps\":[{{\"count\":{count},\"cpu\":100,\"mem_mb\":8,\"estimated_ms\":60000{lasting}}}]}}")
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let mut world = World::start(record, 4, duty)?;
    let mut caller = world.caller();
    let others: Vec<String> = (0..OTHERS).map(id).collect();
    if !others.iter().all(|other| caller.submit(other, &job("others", 1, ""))) {
        return Err("the jobs of other callers are not accepted".to_owned());
    }
    let (service, lasting) = (id(100), ",\"long_running\":true");
    let spec = if trouble { "fails" } else { "lasts" };
    if !caller.submit(&service, &job(spec, TASKS, lasting)) {
        return Err("the service is not accepted".to_owned());
    }
    let began = Instant::now();
    let limit = if trouble { LIMIT } else { Duration::from_secs(10) };
    while (world.started() as u64) < FAILURES && world.store.refused().large == 0 && began.elapsed() < limit {
        thread::sleep(Duration::from_millis(50));
    }
    record.say(&format!("{} tasks have started after {:.1} s", world.started(), began.elapsed().as_secs_f64()));
    thread::sleep(Duration::from_secs(3));
    let mut broken = Vec::new();
    cancel_all(&world, &others, Duration::ZERO, &mut broken);
    let mut new = world.caller();
    let accepted = (200..203).filter(|n| new.send("POST", &id(*n), &job("others", 1, "")) == Some(200)).count();
    record.say(&format!("new jobs accepted at the first attempt: {accepted} of 3"));
    let mut accepted = others.clone();
    accepted.push(service.clone());
    ask_all(&world, &accepted, &mut broken);
    check_idle(&world, &service, &mut broken);
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
