//! Stand-ins of the users' platform, and the scenarios of the cases that are scripts.
//!
//!     standin CASE FOLDER
//!
//! Exits with 1 if the rule of the case was broken, 0 if it held, 2 if the case could not run.

use std::{
    net::{SocketAddr, TcpListener},
    path::Path,
    process::exit,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

mod cell;
mod http;
mod json;
mod large_submission;
mod late_start;
mod long_schedule;
mod record;
mod store;
mod worker;

use cell::Cell;
use record::Record;
use store::Store;
use worker::{Duty, Worker};

pub const HOST: &str = "jobs.example";
pub const PREFIX: &str = "/q1/";
/// Bounds of the settings, in milliseconds.
pub const ACK_MS: u64 = 5_000;
pub const CANCEL_MS: u64 = 3_000;
pub const STOP_MS: u64 = 200;
pub const FINISH_MS: u64 = 14_000;
/// How long callers wait for an answer.
pub const DEADLINE: Duration = Duration::from_millis(3_000);

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"q1","host":"jobs.example","path_prefix":"/q1/","service":"svc","priority":0,"max_attempts":4,"stretch":3.0,"target_latency_ms":2000}],"services":[{"name":"svc","admission_control":false}],"limits":{"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// What a scenario runs against.
pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub workers: Vec<Arc<Worker>>,
    pub cell: Cell,
    fronts: Vec<SocketAddr>,
}

/// Starts three instances; on other ports if one of them is taken meanwhile.
fn start_cell(store: SocketAddr) -> Result<Cell, String> {
    let mut last = String::new();
    for _ in 0..3 {
        let cell = Cell::start(3, store)?;
        match cell.await_ready(Duration::from_secs(6)) {
            Ok(()) => return Ok(cell),
            Err(e) => last = e,
        }
    }
    Err(last)
}

/// Verdict of a scenario: the rules that were broken.
pub type Verdict = Result<Vec<String>, String>;

impl World {
    /// Starts the platform, workers of 16 cores and three instances.
    pub fn start(record: &Arc<Record>, workers: usize, duty: Duty) -> Result<Self, String> {
        let store = Arc::new(Store::new());
        store.put("keyed.op", "config", CONFIG);
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let served = store.clone();
        http::serve(listener, Arc::new(move |request| served.serve(&request)));
        let workers = (0..workers).map(|n| Worker::start(n, 16_000, 65_536, duty, &store, record));
        let workers = workers.collect();
        let cell = start_cell(address)?;
        let fronts = cell
            .instances
            .iter()
            .map(|instance| instance.front)
            .collect();
        let world = Self {
            record: record.clone(),
            store,
            workers,
            cell,
            fronts,
        };
        // The first owner hears all workers.
        thread::sleep(Duration::from_secs(2));
        Ok(world)
    }

    pub fn caller(&self) -> Caller {
        Caller {
            fronts: self.fronts.clone(),
            record: self.record.clone(),
            turn: 0,
        }
    }

    pub fn started(&self) -> usize {
        self.workers.iter().map(|worker| worker.started()).sum()
    }

    /// Number of ends that were listed before a span from now, and of those that were not taken
    /// note of within it.
    pub fn unnoted(&self, span: u64) -> (usize, usize) {
        let (mut all, mut unnoted) = (0, 0);
        for worker in &self.workers {
            let now = worker.clock();
            for end in worker.ends().iter().filter(|end| end.listed + span <= now) {
                all += 1;
                unnoted += usize::from(end.at.is_none_or(|at| at > end.listed + span));
            }
        }
        (all, unnoted)
    }
}

/// A caller that sends each attempt to the next instance.
#[derive(Clone)]
pub struct Caller {
    fronts: Vec<SocketAddr>,
    record: Arc<Record>,
    pub turn: usize,
}

impl Caller {
    /// State of a job as a caller sees it, from the next instance.
    pub fn state(&mut self, id: &str) -> Option<String> {
        let at = self.turn % self.fronts.len();
        self.turn += 1;
        let path = format!("{PREFIX}{id}");
        let answer = http::call(self.fronts[at], "GET", &path, HOST, b"", DEADLINE).ok()?;
        let text = match answer.0 {
            200 => json::parse(&answer.1)?.text("state")?.to_owned(),
            status => status.to_string(),
        };
        self.record
            .line(&format!("caller GET {path} at instance {at}: {text}"));
        Some(text)
    }

    /// One attempt; the status of the answer, or `None` without one.
    pub fn send(&mut self, method: &str, id: &str, body: &str) -> Option<u16> {
        let at = self.turn % self.fronts.len();
        self.turn += 1;
        let path = format!("{PREFIX}{id}");
        let began = Instant::now();
        let answer = http::call(
            self.fronts[at],
            method,
            &path,
            HOST,
            body.as_bytes(),
            DEADLINE,
        );
        let text = match &answer {
            Ok((status, body)) => format!("{status} {:.90}", String::from_utf8_lossy(body).trim()),
            Err(e) => format!("no answer: {e}"),
        };
        let took = began.elapsed().as_millis();
        self.record.line(&format!(
            "caller {method} {path} ({} bytes) at instance {at}: {text} after {took} ms",
            body.len()
        ));
        answer.ok().map(|(status, _)| status)
    }

    /// Hands a job in, with up to four further attempts; whether it was accepted.
    ///
    /// After no answer, a 502 or a 504 the same request arrives again; after a 429 or a 503 as well,
    /// since the job doesn't run.
    pub fn submit(&mut self, id: &str, body: &str) -> bool {
        for _ in 0..5 {
            match self.send("POST", id, body) {
                Some(200..=299) => return true,
                Some(400..=428 | 430..=499) => return false,
                _ => thread::sleep(Duration::from_millis(200)),
            }
        }
        false
    }

    /// Cancels a job; the time until a 2xx or 410, if there was one within `limit`.
    pub fn cancel(&mut self, id: &str, limit: Duration) -> Option<Duration> {
        let began = Instant::now();
        while began.elapsed() < limit {
            if let Some(200..=299 | 410) = self.send("DELETE", id, "") {
                return Some(began.elapsed());
            }
            thread::sleep(Duration::from_millis(200));
        }
        None
    }
}

pub fn id(n: u64) -> String {
    format!("{:016x}", 0x5c0e_7a21_0000_0000 + n)
}

/// Cancels jobs, one in each interval, whose callers give up after `ack_ms`. Breaks of the rules on
/// acknowledgements and on cancelled jobs.
pub fn cancel_all(world: &World, ids: &[String], interval: Duration, broken: &mut Vec<String>) {
    let bound = Duration::from_millis(ACK_MS);
    let began = Instant::now();
    let callers: Vec<_> = ids
        .iter()
        .enumerate()
        .map(|(n, id)| {
            let (mut caller, id) = (world.caller(), id.clone());
            caller.turn = n;
            thread::spawn(move || {
                thread::sleep(interval * n as u32);
                caller.cancel(&id, bound).is_some_and(|time| time <= bound)
            })
        })
        .collect();
    let acknowledged: Vec<bool> = callers
        .into_iter()
        .map(|caller| caller.join().unwrap())
        .collect();
    let late = acknowledged
        .iter()
        .filter(|acknowledged| !**acknowledged)
        .count();
    world.record.say(&format!(
        "cancels of accepted jobs: {}, without 2xx or 410 after {ACK_MS} ms: {late}",
        ids.len()
    ));
    if late >= 3 && late * 10 > ids.len() {
        broken.push(format!(
            "Acks: {late} of {} cancels have no 2xx or 410 after {ACK_MS} ms",
            ids.len()
        ));
    }
    check_ends(world, broken);
    let last = interval * ids.len().saturating_sub(1) as u32;
    let due = began + last + bound + Duration::from_millis(CANCEL_MS);
    thread::sleep((due + Duration::from_millis(STOP_MS)).saturating_duration_since(Instant::now()));
    let of_cancelled = |task: &String| ids.iter().any(|id| task.starts_with(id.as_str()));
    let running = |worker: &Arc<Worker>| worker.running();
    let running: Vec<String> = world
        .workers
        .iter()
        .flat_map(running)
        .filter(of_cancelled)
        .collect();
    thread::sleep(Duration::from_secs(4));
    let started = |worker: &Arc<Worker>| worker.started_after(due);
    let started: Vec<String> = world
        .workers
        .iter()
        .flat_map(started)
        .filter(of_cancelled)
        .collect();
    let text = format!(
        "tasks of cancelled jobs that run on {} ms after the cancel: {}, started later: {}",
        ACK_MS + CANCEL_MS + STOP_MS,
        running.len(),
        started.len()
    );
    world.record.say(&text);
    if !running.is_empty() || !started.is_empty() {
        broken.push(format!("UNASKED: {text}"));
    }
}

/// Asks for jobs `finish_s` after the end of the traffic, each at all instances in turn.
pub fn ask_all(world: &World, ids: &[String], broken: &mut Vec<String>) {
    thread::sleep(Duration::from_millis(FINISH_MS));
    let callers: Vec<_> = ids
        .iter()
        .enumerate()
        .map(|(n, id)| {
            let (mut caller, id) = (world.caller(), id.clone());
            caller.turn = n;
            thread::spawn(move || (0..3).find_map(|_| caller.state(&id)))
        })
        .collect();
    let states: Vec<Option<String>> = callers
        .into_iter()
        .map(|caller| caller.join().unwrap())
        .collect();
    let answered = |state: &&Option<String>| {
        matches!(
            state.as_deref(),
            Some("pending" | "running" | "completed" | "failed" | "cancelled")
        )
    };
    let unknown = states.len() - states.iter().filter(answered).count();
    world.record.say(&format!(
        "states of {} accepted jobs at the end: {unknown} without an answer: {states:?}",
        states.len()
    ));
    if unknown > 0 {
        broken.push(format!(
            "LOST: {unknown} of {} accepted jobs are not known or get no answer at the end",
            states.len()
        ));
    }
}

/// Whether a job with tasks whose turn has come has nothing running for 3 s, while the workers are
/// mostly free.
pub fn check_idle(world: &World, id: &str, broken: &mut Vec<String>) {
    let span = Duration::from_secs(3);
    let began = Instant::now();
    let mut running = 0;
    while began.elapsed() < span {
        let tasks = world.workers.iter().flat_map(|worker| worker.running());
        running = running.max(tasks.filter(|task| task.starts_with(id)).count());
        thread::sleep(Duration::from_millis(5));
    }
    let last = world
        .workers
        .iter()
        .map(|worker| worker.started_after(began).len());
    let started: usize = last.sum();
    let text = format!(
        "job {id}, whose tasks are due, had at most {running} tasks running and {started} started in 3 s"
    );
    world.record.say(&text);
    if running == 0 && started == 0 {
        broken.push(format!("LOST: {text}"));
    }
}

/// Whether more than a fifth of the ends were not taken note of.
pub fn check_ends(world: &World, broken: &mut Vec<String>) {
    let (all, unnoted) = world.unnoted(ACK_MS);
    world.record.say(&format!(
        "ends listed over {ACK_MS} ms ago: {all}, not taken note of in that time: {unnoted}"
    ));
    if unnoted * 5 > all {
        broken.push(format!(
            "Acks: {unnoted} of {all} ends are not taken note of"
        ));
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("standin CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create(&Path::new(folder).join("record.txt")));
    record.say(&format!(
        "{case}, {} the disruption",
        if trouble { "with" } else { "without" }
    ));
    let verdict = match case.as_str() {
        "large-submission" => large_submission::run(&record, trouble),
        "late-start" => late_start::run(&record, trouble),
        "long-schedule" => long_schedule::run(&record, trouble),
        _ => Err("no such case".to_owned()),
    };
    match verdict {
        Err(e) => {
            record.say(&format!("the case could not run: {e}"));
            exit(2);
        }
        Ok(broken) if broken.is_empty() => record.say("the rules held"),
        Ok(broken) => {
            broken
                .iter()
                .for_each(|text| record.say(&format!("BROKEN {text}")));
            exit(1);
        }
    }
}
