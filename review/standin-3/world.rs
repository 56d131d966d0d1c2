//! The platform, the workers and the instances of one case, and clients that follow PROTOCOL.md.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::{
    cell::Cell,
    http::{self, Server},
    json::Json,
    record::Record,
    store::Store,
    worker::{Event, Worker},
};

/// `X-Deadline-Ms` of the clients, and how often they try again.
pub const DEADLINE: Duration = Duration::from_millis(3_000);
const RETRIES: usize = 4;

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub workers: Vec<Arc<Worker>>,
    pub cell: Cell,
    pub fronts: Vec<SocketAddr>,
}

/// What became of the attempts to hand in a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Handed {
    Accepted,
    /// All attempts were refused.
    Refused,
    /// The last attempt had no answer, or one that does not say.
    Unknown,
}

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"r-plain","host":"desk.example","path_prefix":"/plain/","type":"unsafe","timeout_ms":3000,"target_latency_ms":3000,"priority":1,"service":"desk","max_attempts":4,"stretch":4.0},
{"name":"r-bulk","host":"desk.example","path_prefix":"/bulk/","type":"unsafe","timeout_ms":3000,"target_latency_ms":3000,"priority":2,"service":"desk","max_attempts":4,"stretch":4.0}],
"services":[{"name":"desk","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"admission_control":false,"standby":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

impl World {
    /// Starts all of it; `None` if the case cannot run.
    pub fn start(record_path: &str, instances: usize, workers: usize, cpu: u64) -> Option<World> {
        Self::start_with(record_path, instances, workers, cpu, |n| ["a", "b"][n % 2])
    }

    /// The same with workers whose kinds are given by their numbers.
    pub fn start_with(
        record_path: &str,
        instances: usize,
        workers: usize,
        cpu: u64,
        kind: fn(usize) -> &'static str,
    ) -> Option<World> {
        let record = Arc::new(Record::create(record_path).ok()?);
        let store = Arc::new(Store::default());
        store.put("keyed.op", "config", CONFIG.as_bytes());
        let shared = store.clone();
        let platform = Server::start(Arc::new(move |request| shared.serve(&request))).ok()?;
        let racks = ["r1", "r2", "r3", "r4"];
        let start = |n: usize| Worker::start(n, cpu, [kind(n), racks[n / 8 % 4]], &store, &record);
        let workers: Vec<Arc<Worker>> = (0..workers).map(start).collect();
        let cell = Cell::start(instances, platform.address)?;
        let fronts = cell.instances.iter().map(|i| i.front).collect();
        let world = World { record, store, workers, cell, fronts };
        if !world.cell.wait_ready(Duration::from_secs(10)) {
            world.record.line("the instances are not ready");
            return None;
        }
        // Traffic starts some seconds after the machines.
        std::thread::sleep(Duration::from_secs(2));
        Some(world)
    }

    pub fn client(&self) -> Client {
        Client { record: self.record.clone(), fronts: self.fronts.clone() }
    }
}

#[derive(Clone)]
pub struct Client {
    record: Arc<Record>,
    fronts: Vec<SocketAddr>,
}

impl Client {
    pub fn call(&self, at: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let front = self.fronts[at % self.fronts.len()];
        let began = Instant::now();
        let answer = http::exchange(front, (method, path), "desk.example", body.as_bytes(), DEADLINE);
        let said = match &answer {
            Some((status, text)) => format!("{status} {}", text.trim()),
            None => "no answer".to_owned(),
        };
        self.record.line(&format!(
            "client {method} {path} ({} bytes) at front {}: {said} after {} ms",
            body.len(), at % self.fronts.len() + 1, began.elapsed().as_millis()
        ));
        answer
    }

    /// Hands a job in: the same id again, at another node, after a refusal or no answer.
    pub fn hand_in(&self, at: usize, path: &str, body: &str) -> Handed {
        let mut last = Handed::Refused;
        for attempt in 0..=RETRIES {
            match self.call(at + attempt, "POST", path, body) {
                Some((200..=299, _)) => return Handed::Accepted,
                Some((429 | 503, _)) => std::thread::sleep(Duration::from_millis(1_000)),
                Some((400 | 413, _)) => return Handed::Refused,
                _ => {
                    last = Handed::Unknown;
                    std::thread::sleep(Duration::from_millis(100));
                }
            }
        }
        last
    }

    /// State of a job, asked for at several nodes until one answers with it.
    pub fn state(&self, at: usize, path: &str) -> Option<(u16, Option<String>)> {
        let mut last = None;
        for attempt in 0..3 {
            let Some((status, text)) = self.call(at + attempt, "GET", path, "") else {
                continue;
            };
            let state = Json::parse(text.as_bytes()).and_then(|body| Some(body.text("state")?.to_owned()));
            last = Some((status, state));
            if status == 200 || status == 410 {
                return last;
            }
        }
        last
    }
}

/// Events of the tasks of one job.
pub fn events_of(record: &Record, job: &str) -> Vec<(u64, Event)> {
    let events = record.events.lock().unwrap();
    let of_job = |event: &Event| match event {
        Event::Start { task, .. } | Event::End { task, .. } | Event::Noted { task, .. } => task.starts_with(job),
        Event::Crash { .. } => false,
    };
    events.iter().filter(|(_, event)| of_job(event)).cloned().collect()
}

/// Jobs that were handed in, by their paths, and what the client heard.
pub type Jobs = Arc<Mutex<BTreeMap<String, Handed>>>;
