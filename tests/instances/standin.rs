//! A stand-in of the users' platform, with the store and the workers behind one address.

use std::{
    collections::BTreeMap,
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::{
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use actix_web::{
    App,
    HttpRequest,
    HttpResponse,
    HttpServer,
    web, //
};
use bamboolock::cell::{
    fencing::Token,
    model::{
        Outcome,
        Reply,
        TaskName,
        Verdict, //
    }, //
};
use base64::Engine as _;
use futures_util::stream;
use serde_json::{
    Value,
    json, //
};

use super::{
    delivery::{
        Delivery,
        Faults, //
    },
    make::START,
    workers::{
        self,
        Behaviour,
        Oracle,
        SimWorker, //
    }, //
};

/// Interval at which workers register.
const HEARTBEAT: Duration = Duration::from_millis(300);

/// Maximum number of items in a page of the newest records.
const PAGE_ITEMS: usize = 500;

/// Interval between two parts of a response that is sent slowly.
const CHUNK_INTERVAL: Duration = Duration::from_millis(20);

/// Largest body of a request, in bytes: more than one append of an instance holds.
const MAX_BODY: usize = 4 << 20;

/// Interval at which the state advances and polls are checked.
const STEP: Duration = Duration::from_millis(5);

/// A topic: its records, and the epoch and next sequence number of its producer.
#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    epoch: u64,
    next: u64,
}

/// Fault of the store that is being simulated.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StoreFault {
    /// The store rejects all requests with status 503.
    pub(super) down: bool,
    /// Delay of each response, in milliseconds.
    pub(super) slow: u64,
    /// Bytes per second at which each instance receives the configuration; 0 for no limit.
    pub(super) config_rate: usize,
    /// Further delay of the pages of stored jobs, in milliseconds.
    pub(super) slow_jobs: u64,
    /// Number of appends per thousand that get no response: half of them take effect at once, and a
    /// quarter late.
    pub(super) lossy: u64,
    /// The registrations are not updated.
    pub(super) behind: bool,
}

/// Delay of an append that takes effect late and gets no response.
const LATE_DELAY: Duration = Duration::from_millis(1_500);

/// Age of a life before which no command for an earlier one is carried out there, in milliseconds: time
/// in which an owner may learn of it. What arrives sooner, no owner can prevent.
const MIN_LIFE_MS: u64 = 300;

/// Longest time until a command without an answer is carried out: the longest that the platform shows.
const LONGEST_HOLD: Duration = Duration::from_secs(12);

/// State of the stand-in.
pub(super) struct State {
    topics: BTreeMap<String, Topic>,
    pub(super) machines: Vec<SimWorker>,
    /// Usual capacity of a machine, in millicores.
    pub(super) capacity: u32,
    /// Address at which each machine accepts requests.
    addresses: Vec<SocketAddr>,
    pub(super) judge: Oracle,
    started: Instant,
    /// Current fault of the store.
    pub(super) fault: StoreFault,
    /// Faults of paths and workers.
    pub(super) delivery: Faults,
    /// Whether commands that are carried out late reach a later incarnation under the same id.
    pub(super) astray: bool,
    /// Names of the instances, by their numbers in cuts.
    pub(super) instances: Vec<String>,
    /// Range of the durations of runs, in milliseconds.
    pub(super) run_ms: u64,
    /// Duration that some runs have in addition, in milliseconds: up to twice this.
    pub(super) long_ms: u64,
    /// Runs of which one is such a long one.
    pub(super) long_share: u64,
    /// Epoch up to which the store does not respond to appends.
    pub(super) silent_epoch: u64,
    /// Whether these appends take effect all the same.
    pub(super) applied_silently: bool,
    /// Whether the store does not respond to claims.
    pub(super) silent_claims: bool,
    /// Worker that only owners up to a term reach.
    pub(super) partition: Option<(String, u64)>,
    /// Duration of every run that starts, in milliseconds; drawn if absent.
    pub(super) duration: Option<u64>,
    draws: u64,
    /// Crashes by tasks whose workers are not back, or still registered.
    crashes: Vec<Crash>,
}

/// Worker that a task has crashed; another one comes back at its address.
struct Crash {
    id: String,
    at: usize,
    /// Time at which the other worker is there, in milliseconds; `None` once it is.
    back: Option<u64>,
    /// Time until which the crashed worker stays registered, in milliseconds.
    listed: u64,
}

/// Time for which the registration of a crashed worker stays, in milliseconds: three heartbeats.
const LAPSE_MS: u64 = 900;

/// Time until another worker is back at the address of a crashed one, in milliseconds.
const BACK_MS: std::ops::Range<u64> = 2_000..4_000;

pub(super) type Shared = Arc<Mutex<State>>;

impl State {
    pub(super) fn now(&self) -> u64 {
        START + self.started.elapsed().as_millis() as u64
    }

    fn is_unreachable(&self, worker: &str, token: Token) -> bool {
        let cut = self.partition.as_ref();
        let mut crashes = self.crashes.iter();
        self.machines.iter().any(|m| m.id == worker && !m.up)
            || crashes.any(|c| c.id == worker && !self.machines[c.at].up)
            || cut.is_some_and(|(id, last)| id == worker && token.term() > *last)
    }

    /// Returns the newest value of a key.
    pub(super) fn newest(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let records = self.topics.get(topic)?.records.iter().rev();
        let found = records
            .map(|r| decode_record(r))
            .find(|(name, _)| name == key)?;
        Some(found.1)
    }

    /// Lets the store refuse the jobs' producers below `epoch`.
    pub(super) fn fence(&mut self, epoch: u64) {
        self.topics
            .entry("keyed.jobs".to_owned())
            .or_default()
            .epoch = epoch;
    }

    pub(super) fn publish(&mut self, topic: &str, key: &str, value: &Value) {
        self.append_record(topic, key, value.to_string().as_bytes());
    }

    /// Appends a record; an empty value deletes the key.
    pub(super) fn append_record(&mut self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value);
        let topic = self.topics.entry(topic.to_owned()).or_default();
        topic.records.push(record);
    }

    /// Returns the term and the instance of the newest owner.
    pub(super) fn owner(&self) -> Option<(u64, usize)> {
        let record: Value = serde_json::from_slice(&self.newest("keyed.owner", "owner")?).ok()?;
        let at = self
            .instances
            .iter()
            .position(|i| record["instance"] == **i)?;
        Some((record["term"].as_u64()?, at))
    }

    /// Returns the instance that owns the cell, or owned it, with this fencing token.
    fn sender(&self, token: Token) -> Option<usize> {
        let records = self.topics.get("keyed.owner")?.records.iter().rev();
        let mut records =
            records.filter_map(|r| serde_json::from_slice::<Value>(&decode_record(r).1).ok());
        let record = records.find(|record| record["term"] == token.term())?;
        self.instances
            .iter()
            .position(|i| record["instance"] == **i)
    }

    /// Registers the machines that are up and listed, and removes the registrations of the others.
    pub(super) fn register(&mut self) {
        if self.fault.behind {
            return;
        }
        let now = self.now();
        let stays = |m: &SimWorker| self.crashes.iter().any(|c| c.id == m.id && c.listed > now);
        let both = self.machines.iter().zip(&self.addresses);
        let entries: Vec<(bool, (String, Value))> = both
            .filter(|(m, _)| m.up || !stays(m))
            .map(|(m, at)| (m.up && !m.unregistered, registration(m, *at)))
            .collect();
        for (listed, (id, registration)) in entries {
            match listed {
                true => self.publish("keyed.servers", &id, &registration),
                false => self.append_record("keyed.servers", &id, &[]),
            }
        }
    }

    /// Crashes a worker for a cause of its own; it stays down.
    pub(super) fn crash(&mut self, at: usize) {
        let now = self.now();
        if self.machines[at].up {
            self.machines[at].crash(at, &mut self.judge, now);
        }
    }

    /// Lets all workers have started this much earlier, in milliseconds. Called before anybody has read
    /// their registrations.
    pub(super) fn age(&mut self, ms: u64) {
        for machine in &mut self.machines {
            machine.restart(machine.incarnation - ms);
        }
        self.register();
    }

    /// Starts a worker again under its id, and registers it at once.
    pub(super) fn restart(&mut self, at: usize) {
        let now = self.now();
        self.machines[at].restart(now);
        self.register();
    }

    /// Notes the workers that tasks have crashed, and lets others come back at their addresses.
    fn replace_crashed(&mut self) {
        let now = self.now();
        for at in std::mem::take(&mut self.judge.crashed) {
            self.draws += 1;
            let span = BACK_MS.end - BACK_MS.start;
            self.crashes.push(Crash {
                id: self.machines[at].id.clone(),
                at,
                back: Some(now + BACK_MS.start + self.draws * 397 % span),
                listed: now + LAPSE_MS,
            });
        }
        let mut crashes = std::mem::take(&mut self.crashes);
        for crash in &mut crashes {
            if crash.back.is_some_and(|back| back <= now) {
                crash.back = None;
                self.replace(crash.at, now);
            }
        }
        // A former id stays known: commands for it are still under way.
        self.crashes = crashes;
    }

    /// Lets another worker take the place of one that is down.
    fn replace(&mut self, at: usize, now: u64) {
        let machine = &mut self.machines[at];
        if machine.up {
            // A fault has restarted it meanwhile.
            return;
        }
        let former = std::mem::replace(&mut machine.id, format!("w{at}-{now}"));
        machine.restart(now);
        self.append_record("keyed.servers", &former, &[]);
        self.register();
    }

    /// Draws the duration and outcome of a run: a few hundred milliseconds, and one in twelve
    /// fails.
    fn next_fate(&mut self) -> Behaviour {
        self.draws += 1;
        let outcome = if self.draws.is_multiple_of(12) {
            Outcome::Failed
        } else {
            Outcome::Done
        };
        let long = match self.draws.is_multiple_of(self.long_share) {
            true => self.long_ms + self.draws * 53 % (self.long_ms + 1),
            false => 0,
        };
        Behaviour {
            duration: self
                .duration
                .unwrap_or(100 + self.draws * 37 % self.run_ms + long),
            outcome,
        }
    }
}

fn decode_record(record: &[u8]) -> (String, Vec<u8>) {
    let len = usize::from(record[0]);
    let key = String::from_utf8_lossy(&record[1..=len]).into_owned();
    (key, record[1 + len..].to_vec())
}

/// Starts the stand-in with `workers` machines; returns its address and state.
pub(super) fn start(workers: usize, capacity: u32) -> (SocketAddr, Shared) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let shared = serve_at(listener, &vec![address; workers], capacity);
    (address, shared)
}

/// Starts the stand-in at a listener, with one worker registered under each of `addresses`.
pub(super) fn serve_at(listener: TcpListener, addresses: &[SocketAddr], capacity: u32) -> Shared {
    let machine =
        |n: usize| SimWorker::new(format!("w{n}"), capacity, 1_000, START - 50 - n as u64);
    let state = State {
        topics: BTreeMap::new(),
        machines: (0..addresses.len()).map(machine).collect(),
        capacity,
        addresses: addresses.to_vec(),
        judge: Oracle::default(),
        started: Instant::now(),
        fault: StoreFault::default(),
        delivery: Faults::new(0),
        astray: false,
        instances: Vec::new(),
        run_ms: 600,
        long_ms: 0,
        long_share: 16,
        silent_epoch: 0,
        applied_silently: false,
        silent_claims: false,
        partition: None,
        duration: None,
        draws: 0,
        crashes: Vec::new(),
    };
    let shared: Shared = Arc::new(Mutex::new(state));
    let data = web::Data::new(shared.clone());
    std::thread::spawn(move || {
        let app = move || {
            App::new()
                .app_data(data.clone())
                .app_data(web::PayloadConfig::new(MAX_BODY))
                .default_service(web::to(serve))
        };
        let server = HttpServer::new(app).workers(2).disable_signals();
        let server = server.listen(listener).unwrap().run();
        actix_web::rt::System::new().block_on(server)
    });
    let background = shared.clone();
    std::thread::spawn(move || advance(&background));
    shared
}

/// Ends runs and registers workers until the test process exits.
fn advance(shared: &Shared) {
    let mut registered = Instant::now() - HEARTBEAT;
    loop {
        {
            let mut state = shared.lock().unwrap();
            let now = state.now();
            let State {
                machines, judge, ..
            } = &mut *state;
            workers::advance(machines, judge, now);
            state.replace_crashed();
            if registered.elapsed() >= HEARTBEAT && !state.fault.down {
                registered = Instant::now();
                state.register();
            }
        }
        std::thread::sleep(STEP);
    }
}

fn registration(machine: &SimWorker, address: SocketAddr) -> (String, Value) {
    let state = if machine.leaving.is_some() {
        "draining"
    } else {
        "ready"
    };
    let registration = json!({
        "service": "s", "address": address.to_string(), "zone": "a", "state": state, "born": machine.incarnation,
        "capacity": {"cpu": machine.capacity, "mem_mb": 100_000, "gpu": 0}, "labels": ["kind", "rack"],
    });
    (machine.id.clone(), registration)
}

async fn serve(request: HttpRequest, body: web::Bytes, shared: web::Data<Shared>) -> HttpResponse {
    let query: BTreeMap<String, String> =
        web::Query::<BTreeMap<String, String>>::from_query(request.query_string())
            .unwrap()
            .into_inner();
    let path = request.path().to_owned();
    if path.starts_with("/bamboolock/log-") {
        let fault = shared.lock().unwrap().fault;
        if fault.down {
            return HttpResponse::ServiceUnavailable().finish();
        }
        actix_web::rt::time::sleep(Duration::from_millis(fault.slow)).await;
        let response = match path.as_str() {
            "/bamboolock/log-append" => append_lossy(&shared, fault, &query, &body).await,
            "/bamboolock/log-read" => read(&shared, &query).await,
            _ => {
                if query
                    .get("topic")
                    .is_some_and(|topic| topic == "keyed.jobs")
                {
                    actix_web::rt::time::sleep(Duration::from_millis(fault.slow_jobs)).await;
                }
                newest(&shared.lock().unwrap(), &query)
            }
        };
        let configuration = query.get("topic").is_some_and(|topic| topic == "keyed.op");
        // A poll may have waited since the fault was read.
        let rate = shared.lock().unwrap().fault.config_rate;
        return match rate {
            0 => response,
            rate if configuration => throttle(response, rate).await,
            _ => response,
        };
    }
    let worker = request
        .headers()
        .get("x-expect-instance")
        .unwrap()
        .to_str()
        .unwrap()
        .to_owned();
    let body: Value = serde_json::from_slice(&body).unwrap();
    let token = token_of(&body);
    if shared.lock().unwrap().is_unreachable(&worker, token) {
        // A machine without power, or behind a partition, does not respond.
        return std::future::pending().await;
    }
    let command = Command { path, worker, body };
    deliver(&shared, command).await
}

/// Sends the body of a response at `rate` bytes per second.
async fn throttle(response: HttpResponse, rate: usize) -> HttpResponse {
    let body = actix_web::body::to_bytes(response.into_body()).await;
    let chunks = stream::unfold(body.unwrap(), move |mut rest| async move {
        if rest.is_empty() {
            return None;
        }
        actix_web::rt::time::sleep(CHUNK_INTERVAL).await;
        let len = rate * CHUNK_INTERVAL.as_millis() as usize / 1_000;
        let chunk = rest.split_to(len.min(rest.len()));
        Some((Ok::<_, std::convert::Infallible>(chunk), rest))
    });
    HttpResponse::Ok().streaming(Box::pin(chunks))
}

/// Fencing token of a command.
fn token_of(body: &Value) -> Token {
    Token::from(body["fencing_token"].as_u64().unwrap())
}

/// Command to a worker.
struct Command {
    path: String,
    worker: String,
    body: Value,
}

/// Delivers a command to its worker, on a path and to a worker that may be faulty.
async fn deliver(shared: &Shared, command: Command) -> HttpResponse {
    let token = token_of(&command.body);
    let (at, sender, delivery) = {
        let mut state = shared.lock().unwrap();
        let at = state.machines.iter().position(|m| m.id == command.worker);
        let Some(at) = at else {
            return HttpResponse::MisdirectedRequest().finish();
        };
        let sender = state.sender(token);
        let delivery = state.delivery.draw(sender, at, &command.path);
        (at, sender, delivery)
    };
    let answer = match delivery {
        Delivery::Prompt => carry_out(shared, &command).await,
        Delivery::Unwell => return HttpResponse::ServiceUnavailable().finish(),
        Delivery::Lost => None,
        Delivery::Late(delay) => {
            actix_web::rt::spawn(carry_out_late(shared.clone(), command, at, Some(delay)));
            None
        }
        Delivery::Held => {
            if command.body["expires_ms"].is_u64() {
                shared.lock().unwrap().delivery.expiries_held += 1;
            }
            actix_web::rt::spawn(carry_out_late(shared.clone(), command, at, None));
            None
        }
    };
    let answer = answer.filter(|_| !shared.lock().unwrap().delivery.is_cut(sender, at, true));
    match answer {
        Some(answer) => answer,
        // No response follows on this connection until the client closes it.
        None => std::future::pending().await,
    }
}

/// Carries a command out; without an answer if the incarnation that received it has ended.
async fn carry_out(shared: &Shared, command: &Command) -> Option<HttpResponse> {
    match command.path.as_str() {
        "/bamboolock/hold" => hold(shared, &command.worker, &command.body).await,
        _ => Some(order(&mut shared.lock().unwrap(), command)),
    }
}

/// Carries a command out after a delay in milliseconds, or once the commands that are held back are
/// released. It reaches the incarnation that received it, or, if late commands go astray, whichever
/// is there.
async fn carry_out_late(shared: Shared, mut command: Command, at: usize, delay: Option<u64>) {
    let incarnation = {
        let mut state = shared.lock().unwrap();
        state.delivery.late += 1;
        state.machines[at].incarnation
    };
    match delay {
        Some(delay) => actix_web::rt::time::sleep(Duration::from_millis(delay)).await,
        None => released(&shared).await,
    }
    command.body["wait_ms"] = json!(0);
    while is_premature(&shared.lock().unwrap(), at, incarnation) {
        actix_web::rt::time::sleep(STEP).await;
    }
    let there = {
        let state = shared.lock().unwrap();
        let machine = &state.machines[at];
        let now = state.now();
        state.judge.trace(|| {
            let (path, body, life) = (&command.path, &command.body, machine.incarnation);
            format!("{now} late {path} at {at} from life {incarnation} in life {life}: {body}")
        });
        machine.up && (state.astray || machine.incarnation == incarnation)
    };
    if there {
        carry_out(&shared, &command).await;
    }
    shared.lock().unwrap().delivery.late -= 1;
}

/// Whether a command for a life of a worker meets a later one that has only just begun.
fn is_premature(state: &State, at: usize, incarnation: u64) -> bool {
    let machine = &state.machines[at];
    let later = state.astray && machine.up && machine.incarnation != incarnation;
    later && machine.clock(state.now()) < MIN_LIFE_MS
}

/// Waits until the commands that are held back are released, for [`LONGEST_HOLD`] at most.
async fn released(shared: &Shared) {
    let began = Instant::now();
    while began.elapsed() < LONGEST_HOLD && !shared.lock().unwrap().delivery.released {
        actix_web::rt::time::sleep(STEP).await;
    }
}

/// Appends records, but loses some responses; such an append takes effect at once, late or never.
async fn append_lossy(
    shared: &Shared,
    fault: StoreFault,
    query: &BTreeMap<String, String>,
    body: &[u8],
) -> HttpResponse {
    let epoch = query.get("epoch").map(|text| text.parse::<u64>().unwrap());
    if is_silent(&mut shared.lock().unwrap(), query, epoch, body) {
        return std::future::pending().await;
    }
    let draw = shared.lock().unwrap().next_fate().duration * 7919 % 1_000;
    if draw >= fault.lossy {
        return append(&mut shared.lock().unwrap(), query, body);
    }
    if draw.is_multiple_of(2) {
        append(&mut shared.lock().unwrap(), query, body);
    } else if draw % 4 == 1 {
        let (shared, query, body) = (shared.clone(), query.clone(), body.to_vec());
        actix_web::rt::spawn(async move {
            // The append takes effect even if the client has given up meanwhile.
            actix_web::rt::time::sleep(LATE_DELAY).await;
            append(&mut shared.lock().unwrap(), &query, &body);
        });
    }
    // No response follows on this connection until the client closes it.
    std::future::pending().await
}

/// Whether the store does not respond to an append; carries it out if it takes effect nevertheless.
fn is_silent(
    state: &mut State,
    query: &BTreeMap<String, String>,
    epoch: Option<u64>,
    body: &[u8],
) -> bool {
    if state.silent_claims && query.contains_key("at") {
        return true;
    }
    let newest = state.topics.get(&query["topic"]).map_or(0, |t| t.epoch);
    if epoch.is_none_or(|epoch| epoch > state.silent_epoch || epoch < newest) {
        return false;
    }
    if state.applied_silently {
        append(state, query, body);
    }
    true
}

fn append(state: &mut State, query: &BTreeMap<String, String>, body: &[u8]) -> HttpResponse {
    let topic = state.topics.entry(query["topic"].clone()).or_default();
    let end = topic.records.len() as u64;
    let number = |name: &str| query.get(name).map(|text| text.parse::<u64>().unwrap());
    if number("at").is_some_and(|at| at != end) {
        return HttpResponse::PreconditionFailed().json(json!({"end": end}));
    }
    if let (Some(epoch), Some(sequence)) = (number("epoch"), number("sequence")) {
        if epoch < topic.epoch {
            return HttpResponse::Conflict().json(json!({"reason": "fenced"}));
        }
        if epoch == topic.epoch && sequence + 1 == topic.next {
            return HttpResponse::Ok().json(json!({"offset": end, "end": end}));
        }
        if epoch == topic.epoch && sequence != topic.next {
            return HttpResponse::Conflict().json(json!({"reason": "seq", "sequence": topic.next}));
        }
        (topic.epoch, topic.next) = (epoch, sequence + 1);
    }
    let mut rest = body;
    while let Some((len, tail)) = rest.split_first_chunk::<4>() {
        let (record, tail) = tail.split_at(u32::from_be_bytes(*len) as usize);
        topic.records.push(record.to_vec());
        rest = tail;
    }
    HttpResponse::Ok().json(json!({"offset": end, "end": topic.records.len()}))
}

async fn read(shared: &Shared, query: &BTreeMap<String, String>) -> HttpResponse {
    let from: usize = query["from"].parse().unwrap();
    let wait: u64 = query["wait_ms"].parse().unwrap();
    let started = Instant::now();
    loop {
        {
            let state = shared.lock().unwrap();
            let empty = Vec::new();
            let records = state
                .topics
                .get(&query["topic"])
                .map_or(&empty, |t| &t.records);
            if records.len() > from || started.elapsed().as_millis() as u64 >= wait {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return HttpResponse::Ok().body(body);
            }
        }
        actix_web::rt::time::sleep(STEP).await;
    }
}

fn newest(state: &State, query: &BTreeMap<String, String>) -> HttpResponse {
    let empty = Vec::new();
    let records = state
        .topics
        .get(&query["topic"])
        .map_or(&empty, |t| &t.records);
    let mut values: BTreeMap<String, Vec<u8>> = BTreeMap::new();
    for record in records {
        let (key, value) = decode_record(record);
        match value.is_empty() {
            true => drop(values.remove(&key)),
            false => drop(values.insert(key, value)),
        }
    }
    let encode = |value: &[u8]| base64::engine::general_purpose::STANDARD.encode(value);
    let after = query.get("depends_on");
    let mut rest = values
        .iter()
        .filter(|(k, _)| after.is_none_or(|after| *k > after));
    let items: Vec<Value> = rest
        .by_ref()
        .take(PAGE_ITEMS)
        .map(|(k, v)| json!({"key": k, "value": encode(v), "offset": 0}))
        .collect();
    let truncated = rest.next().is_some();
    HttpResponse::Ok().json(json!({"items": items, "truncated": truncated, "end": records.len()}))
}

fn decode_task(text: &str) -> TaskName {
    let parts: Vec<&str> = text.split('.').collect();
    TaskName {
        job: parts[0].into(),
        occurrence: parts[1].parse().unwrap(),
        step: parts[2].parse().unwrap(),
        index: parts[3].parse().unwrap(),
    }
}

fn encode_task(task: &TaskName) -> String {
    format!(
        "{}.{}.{}.{}",
        task.job, task.occurrence, task.step, task.index
    )
}

fn respond(reply: Reply) -> HttpResponse {
    let reason = match reply.verdict {
        Verdict::Accepted => return HttpResponse::Ok().json(json!({"clock_ms": reply.clock})),
        Verdict::Fenced => "fence",
        Verdict::Late => "late",
        _ => "old",
    };
    HttpResponse::Conflict().json(json!({"clock_ms": reply.clock, "reason": reason}))
}

fn order(state: &mut State, command: &Command) -> HttpResponse {
    let now = state.now();
    let fate = state.next_fate();
    let body = &command.body;
    let Some(at) = state.machines.iter().position(|m| m.id == command.worker) else {
        return HttpResponse::MisdirectedRequest().finish();
    };
    let task = decode_task(body["task"].as_str().unwrap());
    let number = |name: &str| body[name].as_u64().unwrap();
    let (run, token) = (number("run_id") as u32, token_of(body));
    let State {
        machines, judge, ..
    } = state;
    respond(match command.path.as_str() {
        "/bamboolock/run-start" => {
            let order = (&task, run, number("expires_ms"), token);
            workers::start(machines, at, order, fate, judge, now)
        }
        _ => workers::stop(&mut machines[at], at, (&task, run, token), judge, now),
    })
}

/// Renews leases and reports; without an answer if the incarnation that received it has ended.
async fn hold(shared: &Shared, worker: &str, body: &Value) -> Option<HttpResponse> {
    let wait = body["wait_ms"].as_u64().unwrap_or(0);
    let seen = body["last_seen"].as_u64().unwrap();
    let order = (seen, body["expires_ms"].as_u64(), token_of(body));
    let started = Instant::now();
    let mut incarnation = None;
    loop {
        {
            let mut state = shared.lock().unwrap();
            let now = state.now();
            let Some(at) = state.machines.iter().position(|m| m.id == worker) else {
                return Some(HttpResponse::MisdirectedRequest().finish());
            };
            let machine = &state.machines[at];
            if !machine.up || *incarnation.get_or_insert(machine.incarnation) != machine.incarnation
            {
                // The incarnation that received the request has ended.
                return None;
            }
            let State {
                machines, judge, ..
            } = &mut *state;
            let report = match workers::poll(&mut machines[at], at, order, judge, now) {
                Ok(report) => report,
                Err(reply) => return Some(respond(reply)),
            };
            if !report.ended.is_empty() || started.elapsed().as_millis() as u64 >= wait {
                let running: Vec<Value> = report
                    .running
                    .iter()
                    .map(|r| json!([encode_task(&r.task), r.run, "", 100, 0]))
                    .collect();
                let how = |how: Outcome| format!("{how:?}").to_lowercase();
                let ended = report.ended.iter();
                let ended: Vec<Value> = ended
                    .map(|e| json!([e.number, encode_task(&e.task), e.run, how(e.outcome), ""]))
                    .collect();
                return Some(HttpResponse::Ok().json(json!({
                    "clock_ms": report.clock, "born": report.incarnation, "running": running, "ended": ended,
                })));
            }
        }
        actix_web::rt::time::sleep(STEP).await;
    }
}
