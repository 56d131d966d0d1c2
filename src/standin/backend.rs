//! HTTP routes of a worker: the placement lease, tasks, and requests to its backend server.

use std::time::Duration;

use actix_web::{
    HttpMessage,
    HttpRequest,
    HttpResponse,
    HttpResponseBuilder,
    http::StatusCode,
    rt,
    web, //
};
use bytes::Bytes;
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};
use serde::Deserialize;
use serde_json::Value;
use tokio::time;
use xxhash_rust::xxh3;

use crate::{
    ids::{
        Millis,
        Token, //
    },
    resources::Resources,
    standin::{
        injector::{
            ArrivalTime,
            header, //
        },
        lock,
        settings,
        shared::Shared,
        world::{
            Refusal, //
            Request,
        }, //
    },
    wire::{
        self,
        worker::{
            Forget,
            LeaseRequest,
            SignalTasks,
            Start, //
        }, //
    }, //
};

/// Options that the body of a request may set. Other fields are ignored.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
struct Options {
    /// Service time, in milliseconds; absent for one drawn from the settings.
    service_ms: Option<u64>,
    /// How the request fails; absent if it succeeds.
    fail: Option<Fail>,
    /// Name of the work, by which `/control/witness` looks up executions.
    work: String,
}

/// How a request fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Fail {
    /// The request runs and ends with an error.
    Error,
    /// The backend server refuses the request and reports that it did not run.
    NotRun,
    /// The request runs, and the error does not say whether it ran.
    Unknown,
}

/// Registers the routes of a worker.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/lease", web::post().to(lease))
        .route("/tasks/start", web::post().to(start))
        .route("/tasks/signal", web::post().to(signal))
        .route("/tasks/forget", web::post().to(forget))
        .route("/serve/{profile}", web::post().to(serve));
}

async fn lease(
    req: HttpRequest,
    shared: web::Data<Shared>,
    body: web::Json<LeaseRequest>,
) -> HttpResponse {
    let Some(worker) = worker_index(&req, &shared) else {
        return HttpResponse::NotFound().finish();
    };
    let grant = lock(&shared.world).lease(shared.now(), worker, &body);
    HttpResponse::Ok().json(grant)
}

async fn start(
    req: HttpRequest,
    shared: web::Data<Shared>,
    body: web::Json<Start>,
) -> HttpResponse {
    let Some(worker) = worker_index(&req, &shared) else {
        return HttpResponse::NotFound().finish();
    };
    let now = shared.now();
    let arrived = arrival(&req, now);
    let answer = lock(&shared.world).start(now, arrived, worker, &body);
    HttpResponse::Ok().json(answer)
}

async fn signal(
    req: HttpRequest,
    shared: web::Data<Shared>,
    body: web::Json<SignalTasks>,
) -> HttpResponse {
    let Some(worker) = worker_index(&req, &shared) else {
        return HttpResponse::NotFound().finish();
    };
    let ack = lock(&shared.world).signal(shared.now(), worker, &body);
    HttpResponse::Ok().json(ack)
}

async fn forget(
    req: HttpRequest,
    shared: web::Data<Shared>,
    body: web::Json<Forget>,
) -> HttpResponse {
    let Some(worker) = worker_index(&req, &shared) else {
        return HttpResponse::NotFound().finish();
    };
    let ack = lock(&shared.world).forget(shared.now(), worker, &body);
    HttpResponse::Ok().json(ack)
}

/// Executes a request, to its end even if the caller disconnects.
async fn serve(
    req: HttpRequest,
    shared: web::Data<Shared>,
    profile: web::Path<String>,
    body: Bytes,
) -> HttpResponse {
    let Some(worker) = worker_index(&req, &shared) else {
        return HttpResponse::NotFound().finish();
    };
    let options: Options = serde_json::from_slice(&body).unwrap_or_default();
    let Some(request) = read_request(&req, &profile, &options) else {
        return not_run(StatusCode::BAD_REQUEST, "a header is malformed");
    };
    if options.fail == Some(Fail::NotRun) {
        return not_run(StatusCode::SERVICE_UNAVAILABLE, "as the body asked");
    }
    let now = shared.now();
    let arrived = arrival(&req, now);
    let key = match lock(&shared.world).admit(now, arrived, worker, &request) {
        Ok(key) => key,
        Err(refusal) => return refuse(refusal),
    };
    let took = duration(&shared, worker, &options, &request.id);
    let execution = rt::spawn(execute(shared, worker, key, took));
    match execution.await {
        Ok(true) => answer(&request, &options, took, &body),
        Ok(false) | Err(_) => HttpResponse::InternalServerError().finish(),
    }
}

/// Waits for `took` milliseconds of service time. Returns whether the request ran to its end.
async fn execute(shared: web::Data<Shared>, worker: usize, key: u64, took: u64) -> bool {
    let ended = wait_until_removed(&shared, worker, key);
    if time::timeout(Duration::from_millis(took), ended)
        .await
        .is_ok()
    {
        return false;
    }
    lock(&shared.world).finish(shared.now(), worker, key)
}

/// Waits until the worker no longer executes the request, as after a crash.
async fn wait_until_removed(shared: &Shared, worker: usize, key: u64) {
    loop {
        let changed = shared.changed.notified();
        if !lock(&shared.world).workers[worker].has_request(key) {
            return;
        }
        changed.await;
    }
}

fn worker_index(req: &HttpRequest, shared: &Shared) -> Option<usize> {
    shared.worker_at(req.app_config().local_addr().port())
}

fn arrival(req: &HttpRequest, now: Millis) -> Millis {
    let arrived = req.extensions().get::<ArrivalTime>().copied();
    arrived.map_or(now, |a| a.0)
}

fn read_request(req: &HttpRequest, profile: &str, options: &Options) -> Option<Request> {
    let headers = req.headers();
    let token = header(headers, wire::TOKEN_HEADER).parse().ok()?;
    let key = header(headers, wire::KEY_HEADER);
    Some(Request {
        token: Token(token),
        id: header(headers, wire::REQUEST_HEADER).to_owned(),
        profile: profile.to_owned(),
        work: options.work.clone(),
        key: (!key.is_empty()).then(|| key.to_owned()),
        nonidempotent: header(headers, wire::NONIDEMPOTENT_HEADER) == "yes",
        demand: demand(header(headers, wire::DEMAND_HEADER))?,
    })
}

/// Parses the demand header; `None` if it is malformed. An empty header means one slot and one
/// connection.
fn demand(text: &str) -> Option<Resources> {
    if text.is_empty() {
        return Some(Resources::from_parts([0, 0, 0, 1, 1]));
    }
    let parts: Result<Vec<u32>, _> = text.split(',').map(|p| p.trim().parse()).collect();
    let parts: [u32; 5] = parts.ok()?.try_into().ok()?;
    Some(Resources::from_parts(parts))
}

/// Service time of a request on this worker, slowed by its fault if any, in milliseconds.
fn duration(shared: &Shared, worker: usize, options: &Options, request: &str) -> u64 {
    let service = *lock(&shared.service);
    let normal = options
        .service_ms
        .unwrap_or_else(|| sample(&service, request));
    let slow = lock(&shared.world).workers[worker].faults.slow.max(100);
    normal * slow / 100
}

/// Draws a log-normal service time, in milliseconds, with the request's id as the seed.
fn sample(service: &settings::Service, request: &str) -> u64 {
    if service.spread == 0 {
        return service.median;
    }
    let mut random = SmallRng::seed_from_u64(xxh3::xxh3_64(request.as_bytes()));
    let radius = (-2.0 * random.random_range(f64::MIN_POSITIVE..1.0).ln()).sqrt();
    let angle = random.random_range(0.0..std::f64::consts::TAU);
    let spread = f64::from(service.spread) / 1_000.0;
    let factor = (spread * radius * angle.cos()).exp();
    let Ok(median) = u32::try_from(service.median) else {
        return service.median;
    };
    (f64::from(median) * factor).round() as u64
}

fn refuse(refusal: Refusal) -> HttpResponse {
    match refusal {
        Refusal::Fenced => not_run(StatusCode::PRECONDITION_FAILED, "the token is stale"),
        Refusal::Leaving => not_run(StatusCode::SERVICE_UNAVAILABLE, "the worker is leaving"),
        Refusal::Full => not_run(StatusCode::TOO_MANY_REQUESTS, "the worker is full"),
        Refusal::Failing => HttpResponseBuilder::new(StatusCode::INTERNAL_SERVER_ERROR)
            .insert_header((wire::RAN_HEADER, "yes"))
            .insert_header((wire::TOOK_HEADER, "0"))
            .body("the worker fails everything"),
    }
}

fn not_run(status: StatusCode, message: &'static str) -> HttpResponse {
    HttpResponseBuilder::new(status)
        .insert_header((wire::RAN_HEADER, "no"))
        .body(message)
}

fn answer(request: &Request, options: &Options, took: u64, body: &[u8]) -> HttpResponse {
    let text = || Value::String(String::from_utf8_lossy(body).into_owned());
    let echo = serde_json::from_slice(body).unwrap_or_else(|_| text());
    match options.fail {
        Some(Fail::Unknown) => HttpResponse::InternalServerError().finish(),
        Some(Fail::Error) => HttpResponse::InternalServerError()
            .insert_header((wire::RAN_HEADER, "yes"))
            .insert_header((wire::TOOK_HEADER, took.to_string()))
            .body("the request failed"),
        Some(Fail::NotRun) | None => HttpResponse::Ok()
            .insert_header((wire::RAN_HEADER, "yes"))
            .insert_header((wire::TOOK_HEADER, took.to_string()))
            .insert_header((wire::REQUEST_HEADER, request.id.as_str()))
            .json(serde_json::json!({"request": request.id, "echo": echo})),
    }
}
