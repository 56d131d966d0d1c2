//! A worker, as PROTOCOL.md describes it: runs, leases, fencing tokens, ends, checkpoints.
//!
//! The spec of a job says what its tasks do: `work=MS` is their mean duration, `spread=PERCENT` by how much
//! it differs from task to task, `saves=1` that they save checkpoints, and `fails=PERCENT` how many of the
//! first runs fail, 5 to 20 s after their start.

use std::{
    collections::BTreeMap,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Answer, Request, Server},
    json::{Json, quote},
    record::Record,
    store::Store,
};

/// Bounds of the settings, in milliseconds.
pub const HOLD_MAX_MS: u64 = 6_000;
pub const STOP_TIMEOUT_MS: u64 = 200;
pub const CHECKPOINT_MS: u64 = 1_000;
pub const HEARTBEAT_MS: u64 = 1_500;

/// Ended runs in one report.
const ENDED_PAGE: usize = 500;

#[derive(Debug, Clone)]
struct Run {
    task: String,
    run: u64,
    from: Instant,
    duration: Duration,
    /// Outcome at the end of the duration.
    fate: &'static str,
    saves: bool,
    saved: String,
    stop_at: Option<Instant>,
}

#[derive(Debug, Clone)]
struct Ended {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    saved: String,
}

struct Life {
    id: String,
    born: u64,
    began: Instant,
    up: bool,
    fence: u64,
    lease: u64,
    running: Vec<Run>,
    ended: Vec<Ended>,
    last_end: u64,
    /// Highest number of a run that was stopped or has ended, by task.
    highest: BTreeMap<String, u64>,
    seen: u64,
}

impl Life {
    fn new(id: String) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            id,
            born: born.map_or(0, |d| d.as_millis() as u64),
            began: Instant::now(),
            up: true,
            fence: 0,
            lease: 0,
            running: Vec::new(),
            ended: Vec::new(),
            last_end: 0,
            highest: BTreeMap::new(),
            seen: 0,
        }
    }

    /// The worker's own steady clock.
    fn clock(&self) -> u64 {
        500 + self.began.elapsed().as_millis() as u64
    }

    fn extend(&mut self, expires: u64) {
        self.lease = self.lease.max(expires.min(self.clock() + HOLD_MAX_MS));
    }
}

/// What the judge is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    Start { task: String, run: u64, worker: String },
    End { task: String, run: u64, worker: String, how: &'static str },
    /// An end was taken note of.
    Noted { task: String, run: u64, how: &'static str },
    Crash { worker: String, runs: usize },
}

pub struct Worker {
    pub number: usize,
    labels: [String; 2],
    cpu: u64,
    service: String,
    life: Mutex<Life>,
    changed: Condvar,
    server: Mutex<Option<Arc<Server>>>,
    store: Arc<Store>,
    pub record: Arc<Record>,
}

impl Worker {
    /// Starts a worker of `cpu` thousandths of a core, and registers it.
    pub fn start(number: usize, cpu: u64, labels: [&str; 2], store: &Arc<Store>, record: &Arc<Record>) -> Arc<Worker> {
        let worker = Arc::new(Worker {
            number,
            labels: labels.map(str::to_owned),
            cpu,
            service: "desk".to_owned(),
            life: Mutex::new(Life::new(format!("i-{number:02}-0"))),
            changed: Condvar::new(),
            server: Mutex::new(None),
            store: store.clone(),
            record: record.clone(),
        });
        let shared = worker.clone();
        let server = Server::start(Arc::new(move |request| shared.serve(&request)));
        *worker.server.lock().unwrap() = Some(server.expect("a free port"));
        let shared = worker.clone();
        thread::spawn(move || shared.advance());
        let shared = worker.clone();
        thread::spawn(move || shared.heartbeats());
        worker
    }

    /// Crashes the worker: its process ends, and all that runs there with it.
    pub fn crash(&self) {
        let mut life = self.life.lock().unwrap();
        life.up = false;
        let worker = life.id.clone();
        let runs = life.running.len();
        for run in life.running.drain(..) {
            let (task, run) = (run.task, run.run);
            self.record.event(Event::End { task, run, worker: worker.clone(), how: "crashed" });
        }
        self.record.event(Event::Crash { worker, runs });
        drop(life);
        if let Some(server) = &*self.server.lock().unwrap() {
            server.set_up(false);
        }
    }

    /// Starts the worker again, as another one at the same address.
    pub fn come_back(&self) {
        let mut life = self.life.lock().unwrap();
        let former = life.id.clone();
        let lives = former.rsplit('-').next().and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        *life = Life::new(format!("i-{:02}-{}", self.number, lives + 1));
        drop(life);
        if let Some(server) = &*self.server.lock().unwrap() {
            server.set_up(true);
        }
        self.register();
        // The registration of the former life is removed after three heartbeat intervals.
        let store = self.store.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(3 * HEARTBEAT_MS - 1_400));
            store.put("keyed.servers", &former, &[]);
        });
    }

    pub fn is_idle(&self) -> bool {
        self.life.lock().unwrap().running.is_empty()
    }

    fn register(&self) {
        let life = self.life.lock().unwrap();
        if !life.up {
            return;
        }
        let Some(address) = self.server.lock().unwrap().as_ref().map(|s| s.address) else {
            return;
        };
        let entry = format!(
            r#"{{"service":"{}","address":"{address}","zone":"zone-a","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"capacity":{{"cpu":{},"mem_mb":65536,"gpu":0}},"labels":["{}","{}"],"clock_ms":{},"sequence":{},"born":{}}}"#,
            self.service, self.cpu, self.labels[0], self.labels[1], life.clock(), life.clock() / HEARTBEAT_MS, life.born
        );
        let id = life.id.clone();
        drop(life);
        self.store.put("keyed.servers", &id, entry.as_bytes());
    }

    fn heartbeats(&self) {
        loop {
            self.register();
            thread::sleep(Duration::from_millis(HEARTBEAT_MS));
        }
    }

    fn advance(&self) {
        loop {
            thread::sleep(Duration::from_millis(5));
            let mut life = self.life.lock().unwrap();
            if !life.up || life.running.is_empty() {
                continue;
            }
            let lapsed = life.clock() > life.lease;
            let now = Instant::now();
            let mut over: Vec<(Run, &'static str)> = Vec::new();
            let mut left = Vec::new();
            for mut run in std::mem::take(&mut life.running) {
                let worked = now - run.from;
                if run.saves {
                    let steps = worked.min(run.duration).as_millis() as u64 / CHECKPOINT_MS;
                    if steps > 0 {
                        run.saved = format!("{:08x}{:08x}", run.run, steps);
                    }
                }
                let how = match run.stop_at {
                    _ if lapsed => Some("lapsed"),
                    _ if worked >= run.duration => Some(run.fate),
                    Some(at) if now >= at => Some("stopped"),
                    _ => None,
                };
                match how {
                    Some(how) => over.push((run, how)),
                    None => left.push(run),
                }
            }
            life.running = left;
            let any = !over.is_empty();
            for (run, how) in over {
                end(&mut life, run, how, &self.record);
            }
            drop(life);
            if any {
                self.changed.notify_all();
            }
        }
    }

    fn serve(&self, request: &Request) -> Answer {
        let named = request.headers.get("x-expect-instance")?.clone();
        let body = Json::parse(&request.body)?;
        let mut life = self.life.lock().unwrap();
        if !life.up {
            return None;
        }
        if named != life.id {
            return Some((421, b"{}".to_vec()));
        }
        let token = body.number("fencing_token").unwrap_or(0);
        if token < life.fence {
            return refuse(&life, "fence");
        }
        life.fence = token;
        match request.path.as_str() {
            "/bamboolock/run-start" => self.start_run(&mut life, &body),
            "/bamboolock/run-stop" => {
                let (task, run) = (body.text("task")?.to_owned(), body.number("run_id")?);
                let highest = life.highest.entry(task.clone()).or_default();
                *highest = run.max(*highest);
                let at = Instant::now() + Duration::from_millis(STOP_TIMEOUT_MS / 2);
                for other in life.running.iter_mut().filter(|r| r.task == task && r.run == run) {
                    other.stop_at.get_or_insert(at);
                }
                accept(&life)
            }
            "/bamboolock/hold" => {
                let seen = body.number("last_seen").unwrap_or(0);
                self.note(&mut life, seen);
                if let Some(expires) = body.number("expires_ms") {
                    life.extend(expires);
                }
                let wait = body.number("wait_ms").unwrap_or(0).min(2_000);
                let until = Instant::now() + Duration::from_millis(wait);
                let id = life.id.clone();
                while life.ended.is_empty() && Instant::now() < until {
                    let left = until - Instant::now();
                    life = self.changed.wait_timeout(life, left).unwrap().0;
                    if !life.up || life.id != id {
                        return None;
                    }
                }
                Some((200, report(&life).into_bytes()))
            }
            _ => Some((404, b"{}".to_vec())),
        }
    }

    fn start_run(&self, life: &mut Life, body: &Json) -> Answer {
        let (task, run) = (body.text("task")?.to_owned(), body.number("run_id")?);
        let spec = body.text("spec").unwrap_or("").to_owned();
        let expires = body.number("expires_ms")?;
        if life.running.iter().any(|r| r.task == task && r.run == run) {
            life.extend(expires);
            return accept(life);
        }
        if expires < life.clock() {
            return refuse(life, "late");
        }
        life.extend(expires);
        if life.highest.get(&task).is_some_and(|highest| run <= *highest) {
            return refuse(life, "old");
        }
        let field = |name: &str| {
            let mut words = spec.split(' ');
            words.find_map(|word| word.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
        };
        let mean = field("work").unwrap_or(500);
        let spread = mean * field("spread").unwrap_or(0) / 100;
        let draw = task.bytes().fold(2_166_136_261_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(16_777_619) & 0xffff_ffff);
        let duration = mean - spread + (draw >> 7) % (2 * spread + 1);
        let fails = run == 1 && draw % 100 < field("fails").unwrap_or(0);
        let (duration, fate) = match fails {
            true => (duration.min(5_000 + (draw >> 7) % 15_000), "failed"),
            false => (duration, "done"),
        };
        life.running.push(Run {
            task: task.clone(),
            run,
            from: Instant::now(),
            duration: Duration::from_millis(duration),
            fate,
            saves: field("saves") == Some(1),
            saved: body.text("checkpoint").unwrap_or("").to_owned(),
            stop_at: None,
        });
        self.record.event(Event::Start { task, run, worker: life.id.clone() });
        accept(life)
    }

    fn note(&self, life: &mut Life, seen: u64) {
        life.seen = life.seen.max(seen);
        for end in life.ended.extract_if_compat(|end| end.number <= seen) {
            self.record.event(Event::Noted { task: end.task, run: end.run, how: end.how });
        }
    }
}

trait ExtractIf<T> {
    fn extract_if_compat(&mut self, test: impl Fn(&T) -> bool) -> Vec<T>;
}

impl<T> ExtractIf<T> for Vec<T> {
    fn extract_if_compat(&mut self, test: impl Fn(&T) -> bool) -> Vec<T> {
        let (out, left) = std::mem::take(self).into_iter().partition(|item| test(item));
        *self = left;
        out
    }
}

fn end(life: &mut Life, run: Run, how: &'static str, record: &Record) {
    life.last_end += 1;
    let highest = life.highest.entry(run.task.clone()).or_default();
    *highest = run.run.max(*highest);
    let worker = life.id.clone();
    record.event(Event::End { task: run.task.clone(), run: run.run, worker, how });
    life.ended.push(Ended {
        number: life.last_end,
        task: run.task,
        run: run.run,
        how,
        saved: if how == "done" { String::new() } else { run.saved },
    });
}

fn accept(life: &Life) -> Answer {
    Some((200, format!(r#"{{"clock_ms":{}}}"#, life.clock()).into_bytes()))
}

fn refuse(life: &Life, reason: &str) -> Answer {
    let body = format!(r#"{{"clock_ms":{},"reason":"{reason}"}}"#, life.clock());
    Some((409, body.into_bytes()))
}

fn report(life: &Life) -> String {
    let running: Vec<String> = life
        .running
        .iter()
        .map(|r| {
            let share = r.from.elapsed().as_millis() * 100 / r.duration.as_millis().max(1);
            format!("[{},{},{},{},10]", quote(&r.task), r.run, quote(&r.saved), share.min(100))
        })
        .collect();
    let ended: Vec<String> = life
        .ended
        .iter()
        .take(ENDED_PAGE)
        .map(|e| format!("[{},{},{},\"{}\",{}]", e.number, quote(&e.task), e.run, e.how, quote(&e.saved)))
        .collect();
    format!(
        r#"{{"clock_ms":{},"born":{},"running":[{}],"ended":[{}]}}"#,
        life.clock(), life.born, running.join(","), ended.join(",")
    )
}
