//! A stand-in of the users' platform: its store and its workers, behind one address.

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
use bamboolock::cell::model::{
    Outcome,
    Reply,
    TaskName,
    Verdict, //
};
use base64::Engine as _;
use serde_json::{
    Value,
    json, //
};

use super::{
    make::START,
    workers::{
        self,
        Behaviour,
        Oracle,
        SimWorker, //
    }, //
};

/// Time between two registrations of a worker.
const HEARTBEAT: Duration = Duration::from_millis(300);

/// Time between two looks at what ends at workers.
const PASS: Duration = Duration::from_millis(5);

/// One topic: its records, and the epoch and the next sequence number of its producer.
#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    epoch: u64,
    next: u64,
}

/// How the store misbehaves.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Ills {
    /// It answers with 503 and does nothing.
    pub(super) down: bool,
    /// It answers so many milliseconds late.
    pub(super) slow: u64,
    /// Of each thousand appends, so many get no answer; half of these are done, half of them late.
    pub(super) lossy: u64,
}

/// Time by which an append that got no answer is done late, if at all.
const LATE: Duration = Duration::from_millis(1_500);

/// All state of the stand-in.
pub(super) struct World {
    topics: BTreeMap<String, Topic>,
    pub(super) machines: Vec<SimWorker>,
    /// Address at which each machine takes orders.
    addresses: Vec<SocketAddr>,
    pub(super) judge: Oracle,
    began: Instant,
    /// What is wrong with the store.
    pub(super) ills: Ills,
    fates: u64,
}

pub(super) type Shared = Arc<Mutex<World>>;

impl World {
    pub(super) fn now(&self) -> u64 {
        START + self.began.elapsed().as_millis() as u64
    }

    fn is_dark(&self, worker: &str) -> bool {
        self.machines.iter().any(|m| m.id == worker && !m.up)
    }

    /// The newest value of a key.
    pub(super) fn newest(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let records = self.topics.get(topic)?.records.iter().rev();
        let found = records.map(|r| split(r)).find(|(name, _)| name == key)?;
        Some(found.1)
    }

    pub(super) fn publish(&mut self, topic: &str, key: &str, value: &Value) {
        self.put(topic, key, value.to_string().as_bytes());
    }

    /// Appends a record; no value drops the key.
    fn put(&mut self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value);
        let topic = self.topics.entry(topic.to_owned()).or_default();
        topic.records.push(record);
    }

    /// Lets the machines that can register, and drops the entries of the others.
    pub(super) fn register(&mut self) {
        let both = self.machines.iter().zip(&self.addresses);
        let entries: Vec<(bool, (String, Value))> = both
            .map(|(m, at)| (m.up && !m.unregistered, entry(m, *at)))
            .collect();
        for (listed, (id, entry)) in entries {
            match listed {
                true => self.publish("keyed.servers", &id, &entry),
                false => self.put("keyed.servers", &id, &[]),
            }
        }
    }

    /// What happens to a run: most take some hundred milliseconds, one in twelve fails.
    fn fate(&mut self) -> Behaviour {
        self.fates += 1;
        let how = if self.fates.is_multiple_of(12) {
            Outcome::Failed
        } else {
            Outcome::Done
        };
        Behaviour {
            duration: 100 + self.fates * 37 % 600,
            outcome: how,
        }
    }
}

fn split(record: &[u8]) -> (String, Vec<u8>) {
    let len = usize::from(record[0]);
    let key = String::from_utf8(record[1..=len].to_vec()).unwrap();
    (key, record[1 + len..].to_vec())
}

/// Starts the stand-in; returns its address.
pub(super) fn start(workers: usize, capacity: u32) -> (SocketAddr, Shared) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let shared = serve_at(listener, &vec![address; workers], capacity);
    (address, shared)
}

/// Starts the stand-in at a listener, with a worker that registers under each of `addresses`.
pub(super) fn serve_at(listener: TcpListener, addresses: &[SocketAddr], capacity: u32) -> Shared {
    let machine =
        |n: usize| SimWorker::new(format!("w{n}"), capacity, 1_000, START - 50 - n as u64);
    let world = World {
        topics: BTreeMap::new(),
        machines: (0..addresses.len()).map(machine).collect(),
        addresses: addresses.to_vec(),
        judge: Oracle::default(),
        began: Instant::now(),
        ills: Ills::default(),
        fates: 0,
    };
    let shared: Shared = Arc::new(Mutex::new(world));
    let data = web::Data::new(shared.clone());
    std::thread::spawn(move || {
        let app = move || {
            App::new()
                .app_data(data.clone())
                .default_service(web::to(serve))
        };
        let server = HttpServer::new(app).workers(2).disable_signals();
        let server = server.listen(listener).unwrap().run();
        actix_web::rt::System::new().block_on(server)
    });
    let passing = shared.clone();
    std::thread::spawn(move || pass(&passing));
    shared
}

/// Lets runs end and workers register, for as long as the test runs.
fn pass(shared: &Shared) {
    let mut registered = Instant::now() - HEARTBEAT;
    loop {
        {
            let mut world = shared.lock().unwrap();
            let now = world.now();
            let World {
                machines, judge, ..
            } = &mut *world;
            workers::advance(machines, judge, now);
            if registered.elapsed() >= HEARTBEAT && !world.ills.down {
                registered = Instant::now();
                world.register();
            }
        }
        std::thread::sleep(PASS);
    }
}

fn entry(machine: &SimWorker, address: SocketAddr) -> (String, Value) {
    let state = if machine.leaving.is_some() {
        "draining"
    } else {
        "ready"
    };
    let entry = json!({
        "service": "s", "address": address.to_string(), "zone": "a", "state": state, "born": machine.incarnation,
        "capacity": {"cpu": machine.capacity, "mem_mb": 100_000, "gpu": 0}, "labels": ["kind", "rack"],
    });
    (machine.id.clone(), entry)
}

async fn serve(request: HttpRequest, body: web::Bytes, shared: web::Data<Shared>) -> HttpResponse {
    let query: BTreeMap<String, String> =
        web::Query::<BTreeMap<String, String>>::from_query(request.query_string())
            .unwrap()
            .into_inner();
    let path = request.path().to_owned();
    if path.starts_with("/bamboolock/log-") {
        let ills = shared.lock().unwrap().ills;
        if ills.down {
            return HttpResponse::ServiceUnavailable().finish();
        }
        actix_web::rt::time::sleep(Duration::from_millis(ills.slow)).await;
        return match path.as_str() {
            "/bamboolock/log-append" => lossy(&shared, ills, &query, &body).await,
            "/bamboolock/log-read" => read(&shared, &query).await,
            _ => newest(&shared.lock().unwrap(), &query),
        };
    }
    let worker = request
        .headers()
        .get("x-expect-instance")
        .unwrap()
        .to_str()
        .unwrap()
        .to_owned();
    if shared.lock().unwrap().is_dark(&worker) {
        // A machine without power does not answer.
        return std::future::pending().await;
    }
    let body: Value = serde_json::from_slice(&body).unwrap();
    if path == "/bamboolock/hold" {
        return hold(&shared, &worker, &body).await;
    }
    order(&mut shared.lock().unwrap(), &path, &worker, &body)
}

/// An append whose answer may be lost, and which then may be done at once, late or not at all.
async fn lossy(
    shared: &Shared,
    ills: Ills,
    query: &BTreeMap<String, String>,
    body: &[u8],
) -> HttpResponse {
    let draw = shared.lock().unwrap().fate().duration * 7919 % 1_000;
    if draw >= ills.lossy {
        return append(&mut shared.lock().unwrap(), query, body);
    }
    if draw.is_multiple_of(2) {
        append(&mut shared.lock().unwrap(), query, body);
    } else if draw % 4 == 1 {
        actix_web::rt::time::sleep(LATE).await;
        append(&mut shared.lock().unwrap(), query, body);
    }
    // Nothing further comes on this connection until the client gives it up.
    std::future::pending().await
}

fn append(world: &mut World, query: &BTreeMap<String, String>, body: &[u8]) -> HttpResponse {
    let topic = world.topics.entry(query["topic"].clone()).or_default();
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
    let began = Instant::now();
    loop {
        {
            let world = shared.lock().unwrap();
            let empty = Vec::new();
            let records = world
                .topics
                .get(&query["topic"])
                .map_or(&empty, |t| &t.records);
            if records.len() > from || began.elapsed().as_millis() as u64 >= wait {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return HttpResponse::Ok().body(body);
            }
        }
        actix_web::rt::time::sleep(PASS).await;
    }
}

fn newest(world: &World, query: &BTreeMap<String, String>) -> HttpResponse {
    let empty = Vec::new();
    let records = world
        .topics
        .get(&query["topic"])
        .map_or(&empty, |t| &t.records);
    let mut values: BTreeMap<String, Vec<u8>> = BTreeMap::new();
    for record in records {
        let (key, value) = split(record);
        match value.is_empty() {
            true => drop(values.remove(&key)),
            false => drop(values.insert(key, value)),
        }
    }
    let encode = |value: &[u8]| base64::engine::general_purpose::STANDARD.encode(value);
    let items: Vec<Value> = values
        .iter()
        .map(|(k, v)| json!({"key": k, "value": encode(v), "offset": 0}))
        .collect();
    HttpResponse::Ok().json(json!({"items": items, "truncated": false, "end": records.len()}))
}

fn task(text: &str) -> TaskName {
    let parts: Vec<&str> = text.split('.').collect();
    TaskName {
        job: parts[0].into(),
        occurrence: parts[1].parse().unwrap(),
        step: parts[2].parse().unwrap(),
        index: parts[3].parse().unwrap(),
    }
}

fn text(task: &TaskName) -> String {
    format!(
        "{}.{}.{}.{}",
        task.job, task.occurrence, task.step, task.index
    )
}

fn answer(reply: Reply) -> HttpResponse {
    let reason = match reply.verdict {
        Verdict::Accepted => return HttpResponse::Ok().json(json!({"clock_ms": reply.clock})),
        Verdict::Fenced => "fence",
        Verdict::Late => "late",
        _ => "old",
    };
    HttpResponse::Conflict().json(json!({"clock_ms": reply.clock, "reason": reason}))
}

fn order(world: &mut World, path: &str, worker: &str, body: &Value) -> HttpResponse {
    let now = world.now();
    let fate = world.fate();
    let Some(at) = world.machines.iter().position(|m| m.id == worker) else {
        return HttpResponse::MisdirectedRequest().finish();
    };
    let task = task(body["task"].as_str().unwrap());
    let number = |name: &str| body[name].as_u64().unwrap();
    let (run, token) = (number("run_id") as u32, number("fencing_token"));
    let World {
        machines, judge, ..
    } = world;
    answer(match path {
        "/bamboolock/run-start" => {
            let order = (&task, run, number("expires_ms"), token);
            workers::start(machines, at, order, fate, judge, now)
        }
        _ => workers::stop(&mut machines[at], at, (&task, run, token), judge, now),
    })
}

async fn hold(shared: &Shared, worker: &str, body: &Value) -> HttpResponse {
    let wait = body["wait_ms"].as_u64().unwrap_or(0);
    let seen = body["last_seen"].as_u64().unwrap();
    let order = (
        seen,
        body["expires_ms"].as_u64(),
        body["fencing_token"].as_u64().unwrap(),
    );
    let began = Instant::now();
    let mut life = None;
    loop {
        {
            let mut world = shared.lock().unwrap();
            let now = world.now();
            let Some(at) = world.machines.iter().position(|m| m.id == worker) else {
                return HttpResponse::MisdirectedRequest().finish();
            };
            let machine = &world.machines[at];
            if !machine.up || *life.get_or_insert(machine.incarnation) != machine.incarnation {
                break;
            }
            let World {
                machines, judge, ..
            } = &mut *world;
            let report = match workers::poll(&mut machines[at], at, order, judge, now) {
                Ok(report) => report,
                Err(reply) => return answer(reply),
            };
            if !report.ended.is_empty() || began.elapsed().as_millis() as u64 >= wait {
                let running: Vec<Value> = report
                    .running
                    .iter()
                    .map(|r| json!([text(&r.task), r.run, "", 100, 0]))
                    .collect();
                let how = |how: Outcome| format!("{how:?}").to_lowercase();
                let ended = report.ended.iter();
                let ended: Vec<Value> = ended
                    .map(|e| json!([e.number, text(&e.task), e.run, how(e.outcome), ""]))
                    .collect();
                return HttpResponse::Ok().json(json!({
                    "clock_ms": report.clock, "born": report.incarnation, "running": running, "ended": ended,
                }));
            }
        }
        actix_web::rt::time::sleep(PASS).await;
    }
    // The life that was asked is over.
    std::future::pending().await
}
