//! Instances of the test that submit jobs to the owner, whose path holds back the first copy of each
//! submission and delivers it after the answer to the second one.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::Ordering, //
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};
use serde_json::json;

use super::{
    callers::Callers,
    processes::{
        self,
        Instance, //
    }, //
};

/// Pause between two submissions.
const INTERVAL: Duration = Duration::from_millis(150);

/// Time by which a first copy is late, in milliseconds.
const LATE_MS: std::ops::Range<u64> = 100..4_000;

/// Time that the submitting instance gives the owner, in milliseconds.
const TIMEOUT_MS: u64 = 2_500;

/// CPU of a job, in millicores.
const CPU: u32 = 400;

/// Copy of a submission that is held back.
struct Held {
    due: Instant,
    owner: SocketAddr,
    copy: String,
}

impl Held {
    /// Delivers the copy; its sender does not wait for the answer any more.
    fn deliver(self) {
        let _ = processes::exchange(self.owner, "POST", "/ask", &self.copy);
    }
}

/// Starts `count` such instances, until the callers stop. Each returns the number of copies that arrived
/// after a refusal.
pub(super) fn spawn(
    callers: &Arc<Callers>,
    instances: &[Instance],
    seed: u64,
    count: usize,
) -> Vec<JoinHandle<u32>> {
    let peers: Vec<SocketAddr> = instances.iter().map(|instance| instance.peer).collect();
    let front = |n: usize| {
        let (callers, peers) = (callers.clone(), peers.clone());
        thread::spawn(move || run(&callers, &peers, seed * 1_000 + 500 + n as u64))
    };
    (0..count).map(front).collect()
}

fn run(callers: &Callers, peers: &[SocketAddr], seed: u64) -> u32 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut held: Vec<Held> = Vec::new();
    let mut late = 0;
    for number in 1.. {
        if callers.stop.load(Ordering::Relaxed) {
            break;
        }
        let due = held.extract_if(.., |copy| copy.due <= Instant::now());
        for copy in due.collect::<Vec<_>>() {
            late += 1;
            copy.deliver();
        }
        held.extend(submit(callers, peers, &mut rng, (seed, number)));
        thread::sleep(INTERVAL);
    }
    late += held.len() as u32;
    held.into_iter().for_each(Held::deliver);
    late
}

/// Sends the second copy of a submission to the owner. Returns the first one if that was refused.
fn submit(
    callers: &Callers,
    peers: &[SocketAddr],
    rng: &mut SmallRng,
    (incarnation, number): (u64, u64),
) -> Option<Held> {
    let (term, owner) = callers.platform.lock().unwrap().owner()?;
    let id = format!("{:016x}", callers.next.fetch_add(1, Ordering::Relaxed));
    callers.register(&id, vec![(1, CPU, false, Vec::new())]);
    let queue = json!({"name": "q", "host": "h", "prefix": "/q/", "service": "s", "priority": 0,
        "attempts": 9, "stretch": 2.0, "target": 1_000, "policy_cost": null});
    let demand =
        json!({"millicores": CPU, "memory": 64, "accelerators": 0, "slots": 0, "connections": 0});
    let step = json!({"count": 1, "demand": demand, "estimate": 300});
    let copy = json!({"submit": {"id": id, "queue": queue, "work": {"spec": "x", "steps": [step]},
        "patience": TIMEOUT_MS, "incarnation": incarnation, "number": number, "term": term}})
    .to_string();
    let (_, answer) = processes::exchange(peers[owner], "POST", "/ask", &copy)?;
    if answer == "\"accepted\"" {
        callers.accepted(&id);
    }
    if !answer.starts_with("{\"refused\"") {
        return None;
    }
    {
        let mut world = callers.platform.lock().unwrap();
        let now = world.now();
        world.judge.reject(&id, now);
    }
    let due = Instant::now() + Duration::from_millis(rng.random_range(LATE_MS));
    Some(Held {
        due,
        owner: peers[owner],
        copy,
    })
}
