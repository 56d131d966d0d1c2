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
    How,
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
        Fate,
        Judge,
        Machine, //
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

/// All state of the stand-in.
pub(super) struct World {
    topics: BTreeMap<String, Topic>,
    machines: Vec<Machine>,
    pub(super) judge: Judge,
    began: Instant,
    /// Whether the store answers with 503.
    pub(super) down: bool,
    fates: u64,
}

pub(super) type Shared = Arc<Mutex<World>>;

impl World {
    pub(super) fn now(&self) -> u64 {
        START + self.began.elapsed().as_millis() as u64
    }

    /// The newest value of a key.
    pub(super) fn newest(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let records = self.topics.get(topic)?.records.iter().rev();
        let found = records.map(|r| split(r)).find(|(name, _)| name == key)?;
        Some(found.1)
    }

    pub(super) fn publish(&mut self, topic: &str, key: &str, value: &Value) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.to_string().as_bytes());
        let topic = self.topics.entry(topic.to_owned()).or_default();
        topic.records.push(record);
    }

    /// What happens to a run: most take some hundred milliseconds, one in twelve fails.
    fn fate(&mut self) -> Fate {
        self.fates += 1;
        let how = if self.fates.is_multiple_of(12) {
            How::Failed
        } else {
            How::Done
        };
        Fate {
            takes: 100 + self.fates * 37 % 600,
            how,
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
    let machine = |n: usize| Machine::new(format!("w{n}"), capacity, 1_000, START - 50 - n as u64);
    let world = World {
        topics: BTreeMap::new(),
        machines: (0..workers).map(machine).collect(),
        judge: Judge::default(),
        began: Instant::now(),
        down: false,
        fates: 0,
    };
    let shared: Shared = Arc::new(Mutex::new(world));
    let data = web::Data::new(shared.clone());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
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
    std::thread::spawn(move || pass(&passing, address));
    (address, shared)
}

/// Lets runs end and workers register, for as long as the test runs.
fn pass(shared: &Shared, address: SocketAddr) {
    let mut registered = Instant::now() - HEARTBEAT;
    loop {
        {
            let mut world = shared.lock().unwrap();
            let now = world.now();
            let World {
                machines, judge, ..
            } = &mut *world;
            workers::pass(machines, judge, now);
            if registered.elapsed() >= HEARTBEAT {
                registered = Instant::now();
                let entries: Vec<(String, Value)> =
                    machines.iter().map(|m| entry(m, address)).collect();
                entries
                    .iter()
                    .for_each(|(id, entry)| world.publish("keyed.servers", id, entry));
            }
        }
        std::thread::sleep(PASS);
    }
}

fn entry(machine: &Machine, address: SocketAddr) -> (String, Value) {
    let entry = json!({
        "service": "s", "address": address.to_string(), "zone": "a", "state": "ready", "born": machine.born,
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
        if shared.lock().unwrap().down {
            return HttpResponse::ServiceUnavailable().finish();
        }
        return match path.as_str() {
            "/bamboolock/log-append" => append(&mut shared.lock().unwrap(), &query, &body),
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
    let body: Value = serde_json::from_slice(&body).unwrap();
    if path == "/bamboolock/hold" {
        return hold(&shared, &worker, &body).await;
    }
    order(&mut shared.lock().unwrap(), &path, &worker, &body)
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
    let at = world.machines.iter().position(|m| m.id == worker).unwrap();
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
    loop {
        {
            let mut world = shared.lock().unwrap();
            let now = world.now();
            let at = world.machines.iter().position(|m| m.id == worker).unwrap();
            let World {
                machines, judge, ..
            } = &mut *world;
            let report = match workers::hold(&mut machines[at], at, order, judge, now) {
                Ok(report) => report,
                Err(reply) => return answer(reply),
            };
            if !report.ended.is_empty() || began.elapsed().as_millis() as u64 >= wait {
                let running: Vec<Value> = report
                    .running
                    .iter()
                    .map(|r| json!([text(&r.task), r.run, "", 100, 0]))
                    .collect();
                let how = |how: How| format!("{how:?}").to_lowercase();
                let ended = report.ended.iter();
                let ended: Vec<Value> = ended
                    .map(|e| json!([e.number, text(&e.task), e.run, how(e.how), ""]))
                    .collect();
                return HttpResponse::Ok().json(json!({
                    "clock_ms": report.clock, "born": report.born, "running": running, "ended": ended,
                }));
            }
        }
        actix_web::rt::time::sleep(PASS).await;
    }
}
