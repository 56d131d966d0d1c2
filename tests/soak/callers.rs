//! Callers that submit jobs, query them, cancel some of them, and check the answers.

use std::{
    collections::BTreeMap,
    io::{
        ErrorKind,
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    sync::{
        Arc,
        Mutex,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        }, //
    },
    thread,
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
use serde_json::{
    Value,
    json, //
};

use super::{
    disruptions::Disruptions,
    run::FINISH_TIMEOUT,
    standin,
    workers::{
        Deadly,
        JobSpec, //
    },
};

/// Timeout of a caller for one exchange.
const TIMEOUT: Duration = Duration::from_millis(3_000);

/// Time after its acceptance from which every instance must know a job, by the platform's
/// description.
const VISIBILITY_DELAY: Duration = Duration::from_millis(3_000);

/// Time after its last byte in which a request may be lost with a connection that the instance
/// closes.
const CLOSE_GRACE: Duration = Duration::from_millis(200);

/// Number of attempts to submit or cancel a job.
const ATTEMPTS: usize = 6;

/// Longest pause before a retry, whatever `retry-after` says, in seconds.
const MAX_RETRY_S: u64 = 2;

/// Pause between two jobs of a caller.
const JOB_INTERVAL: Duration = Duration::from_millis(250);

/// State of a job, as the callers know it.
#[derive(Debug, Clone, Default)]
struct JobRecord {
    accepted: Option<Instant>,
    cancelled: bool,
    outcome: Option<String>,
}

/// Counts and violations of all callers.
#[derive(Debug, Default)]
pub(super) struct Results {
    jobs: BTreeMap<String, JobRecord>,
    pub(super) violations: Vec<String>,
    pub(super) accepted: u32,
    pub(super) refused: u32,
    pub(super) unknown: u32,
    /// Number of answers that were checked.
    pub(super) checked: u32,
}

impl Results {
    /// Whether a caller has asked to cancel the job.
    fn is_cancelled(&self, id: &str) -> bool {
        self.jobs.get(id).is_some_and(|record| record.cancelled)
    }
}

/// State that all callers of a cell share.
pub(super) struct Callers {
    pub(super) frontends: Vec<SocketAddr>,
    pub(super) platform: standin::Shared,
    pub(super) disruptions: Arc<Disruptions>,
    pub(super) results: Mutex<Results>,
    pub(super) stop: AtomicBool,
    pub(super) next: AtomicU64,
    /// Jobs of which a task crashes its workers, in thousandths.
    pub(super) deadly: u32,
}

/// Failure of an exchange without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Failure {
    /// No connection could be made, or the request could not be written to it.
    Unsent,
    /// The connection closed this long after the last byte was sent.
    Closed(Duration),
    /// No answer arrived in time.
    TimedOut,
}

/// Answer: status, `retry-after` in seconds, body.
pub(super) type Answer = (u16, Option<u64>, String);

/// Client whose connection stays open until the other side closes it.
pub(super) struct Client {
    to: SocketAddr,
    stream: Option<TcpStream>,
}

impl Client {
    pub(super) fn new(to: SocketAddr) -> Self {
        Self { to, stream: None }
    }

    /// Makes one exchange on the open connection, or on a new one.
    pub(super) fn call(&mut self, method: &str, path: &str, body: &str) -> Result<Answer, Failure> {
        let stream = match self.stream.take() {
            Some(stream) => stream,
            None => TcpStream::connect_timeout(&self.to, TIMEOUT).map_err(|_| Failure::Unsent)?,
        };
        let len = body.len();
        let timeout_ms = TIMEOUT.as_millis();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: h\r\nx-deadline-ms: {timeout_ms}\r\ncontent-length: {len}\r\n\r\n{body}"
        );
        let mut stream = stream;
        stream
            .set_read_timeout(Some(TIMEOUT))
            .map_err(|_| Failure::Unsent)?;
        stream
            .write_all(head.as_bytes())
            .map_err(|_| Failure::Unsent)?;
        let answer = read(&mut stream, Instant::now())?;
        self.stream = Some(stream);
        Ok(answer)
    }
}

fn read(stream: &mut TcpStream, sent: Instant) -> Result<Answer, Failure> {
    let mut text = Vec::new();
    let mut chunk = [0; 4_096];
    loop {
        if let Some(answer) = parse(&text) {
            return Ok(answer);
        }
        match stream.read(&mut chunk) {
            Ok(0) => return Err(Failure::Closed(sent.elapsed())),
            Ok(len) => text.extend_from_slice(&chunk[..len]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Err(Failure::TimedOut);
            }
            Err(_) => return Err(Failure::Closed(sent.elapsed())),
        }
    }
}

/// Parses an answer; `None` if the text is incomplete.
fn parse(text: &[u8]) -> Option<Answer> {
    let text = std::str::from_utf8(text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(':'));
        let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.and_then(|(_, value)| value.trim().parse::<u64>().ok())
    };
    let len = header("content-length").unwrap_or(0) as usize;
    (body.len() >= len).then(|| (status, header("retry-after"), body[..len].to_owned()))
}

impl Callers {
    /// Submits and queries jobs until told to stop.
    pub(super) fn run(&self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let clients = self.frontends.iter().map(|front| Client::new(*front));
        let mut clients: Vec<Client> = clients.collect();
        while !self.stop.load(Ordering::Relaxed) {
            let id = format!("{:016x}", self.next.fetch_add(1, Ordering::Relaxed));
            let accepted = self.submit(&mut rng, &mut clients, &id);
            if accepted && rng.random_range(0..20) == 0 {
                self.cancel(&mut rng, &mut clients, &id);
            }
            let known: Vec<String> = self.results.lock().unwrap().jobs.keys().cloned().collect();
            let asked = known[rng.random_range(0..known.len())].clone();
            let at = rng.random_range(0..clients.len());
            self.query(&mut clients[at], at, &asked);
            thread::sleep(JOB_INTERVAL);
        }
    }

    fn exchange(
        &self,
        client: &mut Client,
        at: usize,
        what: (&str, &str, &str),
    ) -> Result<Answer, Failure> {
        let (method, id, body) = what;
        let answer = client.call(method, &format!("/q/{id}"), body);
        if let Err(Failure::Closed(age)) = answer
            && age > CLOSE_GRACE
            && self.disruptions.all_stable()
        {
            self.report(format!(
                "{method} {id}: instance {at} closed the connection {age:?} after the request"
            ));
        }
        answer
    }

    fn report(&self, text: String) {
        self.results.lock().unwrap().violations.push(text);
    }

    /// Submits a job until it is accepted or the attempts run out. Returns whether it was accepted.
    fn submit(&self, rng: &mut SmallRng, clients: &mut [Client], id: &str) -> bool {
        let body = self.generate_job(rng, id);
        self.submit_job(rng, clients, id, &body)
    }

    fn submit_job(&self, rng: &mut SmallRng, clients: &mut [Client], id: &str, body: &str) -> bool {
        let mut rejected = true;
        let mut accepted = false;
        for _ in 0..ATTEMPTS {
            let at = rng.random_range(0..clients.len());
            let pause = match self.exchange(&mut clients[at], at, ("POST", id, body)) {
                Ok((200, ..)) => {
                    self.accepted(id);
                    accepted = true;
                    // Some requests are repeated after their answer.
                    if rng.random_range(0..20) == 0 {
                        continue;
                    }
                    return true;
                }
                Ok((503 | 429, retry, _)) => {
                    self.results.lock().unwrap().refused += 1;
                    retry.unwrap_or(1).min(MAX_RETRY_S) * 1_000
                }
                Ok((504, ..)) | Err(_) => {
                    self.results.lock().unwrap().unknown += 1;
                    rejected = false;
                    100
                }
                Ok((status, _, text)) => {
                    self.report(format!("POST {id} was answered {status}: {text}"));
                    return accepted;
                }
            };
            if accepted {
                return true;
            }
            thread::sleep(Duration::from_millis(pause));
        }
        if rejected && !accepted {
            let mut world = self.platform.lock().unwrap();
            let now = world.now();
            world.judge.reject(id, now);
        }
        accepted
    }

    pub(super) fn accepted(&self, id: &str) {
        let mut results = self.results.lock().unwrap();
        let record = results.jobs.entry(id.to_owned()).or_default();
        if record.accepted.is_none() {
            record.accepted = Some(Instant::now());
            results.accepted += 1;
        }
    }

    /// Generates a random job and registers it with the judge.
    fn generate_job(&self, rng: &mut SmallRng, id: &str) -> String {
        let mut steps = Vec::new();
        let mut known = Vec::new();
        for s in 0..rng.random_range(1..=2_u32) {
            let (count, cpu) = (
                rng.random_range(1..=5_u32),
                rng.random_range(1..=5_u32) * 400,
            );
            let gang = rng.random_range(0..5) == 0;
            let after: Vec<u32> = (s > 0).then_some(0).into_iter().collect();
            steps.push(
                json!({"count": count, "cpu": cpu, "mem_mb": 64, "estimated_ms": 300, "gang": gang,
                "depends_on": after}),
            );
            known.push((count, cpu, gang, after));
        }
        self.register(id, known);
        if self.deadly > 0 && rng.random_range(0..1_000) < self.deadly {
            self.make_deadly(rng, id);
        }
        json!({"spec": "x", "steps": steps}).to_string()
    }

    /// Lets a task of a job, or all tasks of a step, crash the workers that start them.
    fn make_deadly(&self, rng: &mut SmallRng, id: &str) {
        let judge = &mut self.platform.lock().unwrap().judge;
        let steps = &judge.jobs[id].steps;
        let step = rng.random_range(0..steps.len());
        let (count, _, gang, _) = steps[step];
        let one = gang || rng.random();
        let deadly = Deadly {
            step: step as u32,
            index: one.then(|| rng.random_range(0..count)),
            delay: if rng.random_range(0..5) == 0 { 400 } else { 10 },
        };
        judge.deadly.insert(id.to_owned(), deadly);
    }

    /// Registers the steps of a job with the judge.
    pub(super) fn register(&self, id: &str, steps: Vec<(u32, u32, bool, Vec<u32>)>) {
        let known = JobSpec {
            steps,
            accepted: true,
            cancelled: None,
        };
        let mut world = self.platform.lock().unwrap();
        world.judge.jobs.insert(id.to_owned(), known);
    }

    fn cancel(&self, rng: &mut SmallRng, clients: &mut [Client], id: &str) {
        let mark =
            |results: &mut Results| results.jobs.entry(id.to_owned()).or_default().cancelled = true;
        mark(&mut self.results.lock().unwrap());
        for _ in 0..ATTEMPTS {
            let at = rng.random_range(0..clients.len());
            let answer = self.exchange(&mut clients[at], at, ("DELETE", id, ""));
            if let Ok((200 | 410, ..)) = answer {
                let mut world = self.platform.lock().unwrap();
                let now = world.now();
                if let Some(job) = world.judge.jobs.get_mut(id) {
                    job.cancelled = Some(now);
                }
                return;
            }
            thread::sleep(Duration::from_millis(200));
        }
    }

    /// Queries a job and checks the answer against its record. Returns whether the job has ended.
    fn query(&self, client: &mut Client, at: usize, id: &str) -> bool {
        let asked = Instant::now();
        // What other callers learn while this one waits does not bind its answer.
        let Some(record) = self.results.lock().unwrap().jobs.get(id).cloned() else {
            return false;
        };
        let answer = self.exchange(client, at, ("GET", id, ""));
        match answer {
            Ok((200, _, body)) => self.check_state(id, at, &record, &body),
            Ok((410, ..)) => {
                let due = record
                    .accepted
                    .is_some_and(|since| asked > since + VISIBILITY_DELAY);
                if due && self.disruptions.is_stable(at) {
                    self.report(format!(
                        "{id} was accepted but instance {at} does not know it"
                    ));
                }
                false
            }
            _ => false,
        }
    }

    /// Checks a state that an instance reports. Returns whether it is final.
    fn check_state(&self, id: &str, at: usize, record: &JobRecord, body: &str) -> bool {
        let value: Value = serde_json::from_str(body).unwrap();
        let state = value["state"].as_str().unwrap().to_owned();
        let cancelled = self.results.lock().unwrap().is_cancelled(id);
        let is_correct = {
            let mut world = self.platform.lock().unwrap();
            let now = world.now();
            match state.as_str() {
                "completed" => {
                    world.judge.shown.entry(id.to_owned()).or_insert(now);
                    world.judge.is_done(id)
                }
                "failed" => world.judge.is_failed(id) || world.judge.deadly.contains_key(id),
                "cancelled" => cancelled,
                _ => true,
            }
        };
        let mut results = self.results.lock().unwrap();
        results.checked += 1;
        if !is_correct {
            results
                .violations
                .push(format!("{id} is reported as {state} but is not"));
        }
        let end = matches!(state.as_str(), "completed" | "failed" | "cancelled");
        // An answer that was on its way may be older than a final state, but no other final state.
        let newest = results.jobs.get(id).filter(|_| end);
        let before = newest.unwrap_or(record).outcome.clone();
        if before.as_ref().is_some_and(|before| *before != state) {
            results.violations.push(format!(
                "{id} was reported as {before:?} and now as {state} by instance {at}"
            ));
        }
        if end && let Some(record) = results.jobs.get_mut(id) {
            record.outcome = Some(state);
        }
        end
    }

    /// Submits a gang that takes all of every worker at the same time, and waits for its end.
    /// Returns its id if it has not ended in time.
    pub(super) fn occupy_all(
        &self,
        rng: &mut SmallRng,
        workers: u32,
        capacity: u32,
    ) -> Option<String> {
        let started = Instant::now();
        let id = format!("{:016x}", self.next.fetch_add(1, Ordering::Relaxed));
        self.register(&id, vec![(workers, capacity, true, Vec::new())]);
        let step = json!({"count": workers, "cpu": capacity, "mem_mb": 64, "estimated_ms": 300, "gang": true});
        let body = json!({"spec": "x", "steps": [step]}).to_string();
        let clients = self.frontends.iter().map(|front| Client::new(*front));
        let mut clients: Vec<Client> = clients.collect();
        self.submit_job(rng, &mut clients, &id, &body);
        while started.elapsed() < FINISH_TIMEOUT {
            if self.query(&mut clients[0], 0, &id) {
                return None;
            }
            thread::sleep(JOB_INTERVAL);
        }
        Some(format!("{id}, a gang on all workers,"))
    }

    /// Returns the accepted jobs that no instance reports as ended.
    pub(super) fn unfinished(&self) -> Vec<String> {
        let open = {
            let results = self.results.lock().unwrap();
            let open = results
                .jobs
                .iter()
                .filter(|(_, record)| record.accepted.is_some() && record.outcome.is_none());
            open.map(|(id, _)| id.clone()).collect::<Vec<String>>()
        };
        let clients = self.frontends.iter().map(|front| Client::new(*front));
        let mut clients: Vec<Client> = clients.collect();
        let mut ended = |id: &String| {
            let mut each = clients.iter_mut().enumerate();
            each.any(|(at, client)| self.query(client, at, id))
        };
        open.into_iter().filter(|id| !ended(id)).collect()
    }
}
