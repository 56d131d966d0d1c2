//! Callers: they hand jobs in, ask for them, cancel some, and judge the answers.

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
    standin,
    touch::Touch,
    workers::JobSpec, //
};

/// Patience of a caller with one exchange.
const PATIENCE: Duration = Duration::from_millis(3_000);

/// Time from which an accepted job must be known everywhere, by the platform's description.
const VISIBLE: Duration = Duration::from_millis(3_000);

/// Time after its last byte in which a request may still be lost with its connection.
const SLACK: Duration = Duration::from_millis(200);

/// Attempts to hand a job in.
const ATTEMPTS: usize = 6;

/// Longest pause that a caller makes when it is asked to come back later.
const LONGEST_PAUSE: u64 = 2;

/// Pause between two jobs of a caller.
const PACE: Duration = Duration::from_millis(250);

/// What callers know of a job.
#[derive(Debug, Clone, Default)]
struct Seen {
    accepted: Option<Instant>,
    cancelled: bool,
    end: Option<String>,
}

/// What callers count, and what they saw broken.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    jobs: BTreeMap<String, Seen>,
    pub(super) broken: Vec<String>,
    pub(super) accepted: u32,
    pub(super) refused: u32,
    pub(super) unknown: u32,
    /// Answers that were held against a promise.
    pub(super) judged: u32,
}

/// What all callers of a cell share.
pub(super) struct Callers {
    pub(super) fronts: Vec<SocketAddr>,
    pub(super) platform: standin::Shared,
    pub(super) touch: Arc<Touch>,
    pub(super) ledger: Mutex<Ledger>,
    pub(super) stop: AtomicBool,
    pub(super) next: AtomicU64,
}

/// How an exchange ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Lost {
    /// No connection, or none that took the request.
    Unsent,
    /// It was closed so long after the last byte was sent.
    Closed(Duration),
    /// No answer in time.
    Silent,
}

/// An answer: status, seconds after which to come back, body.
pub(super) type Answer = (u16, Option<u64>, String);

/// A connection that is kept open until the other side closes it.
pub(super) struct Client {
    to: SocketAddr,
    stream: Option<TcpStream>,
}

impl Client {
    pub(super) fn new(to: SocketAddr) -> Self {
        Self { to, stream: None }
    }

    /// One exchange on the open connection, or on a new one.
    pub(super) fn call(&mut self, method: &str, path: &str, body: &str) -> Result<Answer, Lost> {
        let stream = match self.stream.take() {
            Some(stream) => stream,
            None => TcpStream::connect_timeout(&self.to, PATIENCE).map_err(|_| Lost::Unsent)?,
        };
        let len = body.len();
        let patience = PATIENCE.as_millis();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: h\r\nx-deadline-ms: {patience}\r\ncontent-length: {len}\r\n\r\n{body}"
        );
        let mut stream = stream;
        stream
            .set_read_timeout(Some(PATIENCE))
            .map_err(|_| Lost::Unsent)?;
        stream
            .write_all(head.as_bytes())
            .map_err(|_| Lost::Unsent)?;
        let answer = read(&mut stream, Instant::now())?;
        self.stream = Some(stream);
        Ok(answer)
    }
}

fn read(stream: &mut TcpStream, sent: Instant) -> Result<Answer, Lost> {
    let mut text = Vec::new();
    let mut chunk = [0; 4_096];
    loop {
        if let Some(answer) = parse(&text) {
            return Ok(answer);
        }
        match stream.read(&mut chunk) {
            Ok(0) => return Err(Lost::Closed(sent.elapsed())),
            Ok(len) => text.extend_from_slice(&chunk[..len]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Err(Lost::Silent);
            }
            Err(_) => return Err(Lost::Closed(sent.elapsed())),
        }
    }
}

/// A whole answer, if the text holds one.
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
    /// Hands jobs in and asks for them until told to stop.
    pub(super) fn work(&self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let clients = self.fronts.iter().map(|front| Client::new(*front));
        let mut clients: Vec<Client> = clients.collect();
        while !self.stop.load(Ordering::Relaxed) {
            let id = format!("{:016x}", self.next.fetch_add(1, Ordering::Relaxed));
            let accepted = self.submit(&mut rng, &mut clients, &id);
            if accepted && rng.random_range(0..20) == 0 {
                self.cancel(&mut rng, &mut clients, &id);
            }
            let known: Vec<String> = self.ledger.lock().unwrap().jobs.keys().cloned().collect();
            let asked = known[rng.random_range(0..known.len())].clone();
            let at = rng.random_range(0..clients.len());
            self.ask(&mut clients[at], at, &asked);
            thread::sleep(PACE);
        }
    }

    fn exchange(
        &self,
        client: &mut Client,
        at: usize,
        what: (&str, &str, &str),
    ) -> Result<Answer, Lost> {
        let (method, id, body) = what;
        let answer = client.call(method, &format!("/q/{id}"), body);
        if let Err(Lost::Closed(age)) = answer
            && age > SLACK
            && self.touch.is_calm()
        {
            self.say(format!(
                "{method} {id}: instance {at} closed the connection {age:?} after the request"
            ));
        }
        answer
    }

    fn say(&self, text: String) {
        self.ledger.lock().unwrap().broken.push(text);
    }

    /// Hands a job in until it is accepted; returns whether it was.
    fn submit(&self, rng: &mut SmallRng, clients: &mut [Client], id: &str) -> bool {
        let body = self.draw(rng, id);
        let mut rejected = true;
        let mut accepted = false;
        for _ in 0..ATTEMPTS {
            let at = rng.random_range(0..clients.len());
            let pause = match self.exchange(&mut clients[at], at, ("POST", id, &body)) {
                Ok((200, ..)) => {
                    self.accepted(id);
                    accepted = true;
                    // Some requests arrive once more after their answer.
                    if rng.random_range(0..20) == 0 {
                        continue;
                    }
                    return true;
                }
                Ok((503 | 429, retry, _)) => {
                    self.ledger.lock().unwrap().refused += 1;
                    retry.unwrap_or(1).min(LONGEST_PAUSE) * 1_000
                }
                Ok((504, ..)) | Err(_) => {
                    self.ledger.lock().unwrap().unknown += 1;
                    rejected = false;
                    100
                }
                Ok((status, _, text)) => {
                    self.say(format!("POST {id} was answered {status}: {text}"));
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

    fn accepted(&self, id: &str) {
        let mut ledger = self.ledger.lock().unwrap();
        let seen = ledger.jobs.entry(id.to_owned()).or_default();
        if seen.accepted.is_none() {
            seen.accepted = Some(Instant::now());
            ledger.accepted += 1;
        }
    }

    /// Draws a job and tells the judge of it.
    fn draw(&self, rng: &mut SmallRng, id: &str) -> String {
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
        let known = JobSpec {
            steps: known,
            accepted: true,
            cancelled: None,
        };
        let mut world = self.platform.lock().unwrap();
        world.judge.jobs.insert(id.to_owned(), known);
        json!({"spec": "x", "steps": steps}).to_string()
    }

    fn cancel(&self, rng: &mut SmallRng, clients: &mut [Client], id: &str) {
        let mark =
            |ledger: &mut Ledger| ledger.jobs.entry(id.to_owned()).or_default().cancelled = true;
        mark(&mut self.ledger.lock().unwrap());
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

    /// Asks for a job and holds the answer against what is known; returns whether the job has ended.
    fn ask(&self, client: &mut Client, at: usize, id: &str) -> bool {
        let asked = Instant::now();
        let answer = self.exchange(client, at, ("GET", id, ""));
        let Some(seen) = self.ledger.lock().unwrap().jobs.get(id).cloned() else {
            return false;
        };
        match answer {
            Ok((200, _, body)) => self.shown(id, &seen, &body),
            Ok((410, ..)) => {
                let due = seen.accepted.is_some_and(|since| asked > since + VISIBLE);
                if due && self.touch.has(at) {
                    self.say(format!(
                        "{id} was accepted and is not known at instance {at}"
                    ));
                }
                false
            }
            _ => false,
        }
    }

    /// Judges a state; returns whether it is final.
    fn shown(&self, id: &str, seen: &Seen, body: &str) -> bool {
        let value: Value = serde_json::from_str(body).unwrap();
        let state = value["state"].as_str().unwrap().to_owned();
        let true_state = {
            let world = self.platform.lock().unwrap();
            match state.as_str() {
                "completed" => world.judge.is_done(id),
                "failed" => world.judge.is_failed(id),
                "cancelled" => seen.cancelled,
                _ => true,
            }
        };
        let mut ledger = self.ledger.lock().unwrap();
        ledger.judged += 1;
        if !true_state {
            ledger
                .broken
                .push(format!("{id} is shown as {state} and is not"));
        }
        if seen.end.as_ref().is_some_and(|end| *end != state) {
            ledger
                .broken
                .push(format!("{id} was shown as {:?}, now as {state}", seen.end));
        }
        let end = matches!(state.as_str(), "completed" | "failed" | "cancelled");
        if end && let Some(seen) = ledger.jobs.get_mut(id) {
            seen.end = Some(state);
        }
        end
    }

    /// Accepted jobs that are not shown as ended, each asked for at every instance.
    pub(super) fn unfinished(&self) -> Vec<String> {
        let open = {
            let ledger = self.ledger.lock().unwrap();
            let open = ledger
                .jobs
                .iter()
                .filter(|(_, seen)| seen.accepted.is_some() && seen.end.is_none());
            open.map(|(id, _)| id.clone()).collect::<Vec<String>>()
        };
        let clients = self.fronts.iter().map(|front| Client::new(*front));
        let mut clients: Vec<Client> = clients.collect();
        let mut ended = |id: &String| {
            let mut each = clients.iter_mut().enumerate();
            each.any(|(at, client)| self.ask(client, at, id))
        };
        open.into_iter().filter(|id| !ended(id)).collect()
    }
}
