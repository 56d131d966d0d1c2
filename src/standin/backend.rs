//! HTTP of a worker: its lease, its tasks and its backend server.

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
        gate::{
            Arrived,
            header, //
        },
        lock,
        settings,
        shared::Shared,
        world::{
            Call,
            Refusal, //
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

/// What the body of a request may say. Other fields are ignored.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
struct Wish {
    /// How long it takes, in milliseconds.
    service_ms: Option<u64>,
    /// How it fails; absent when it does not.
    fail: Option<Fail>,
    /// What the caller calls it.
    work: String,
}

/// How a request fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Fail {
    /// It runs and ends with an error.
    Error,
    /// The backend server refuses it and says that it did not run.
    NotRun,
    /// It runs and the error does not say so.
    Unknown,
}

/// Adds the routes.
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
    let Some(worker) = worker_of(&req, &shared) else {
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
    let Some(worker) = worker_of(&req, &shared) else {
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
    let Some(worker) = worker_of(&req, &shared) else {
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
    let Some(worker) = worker_of(&req, &shared) else {
        return HttpResponse::NotFound().finish();
    };
    let ack = lock(&shared.world).forget(shared.now(), worker, &body);
    HttpResponse::Ok().json(ack)
}

/// Executes a request. It goes on when the caller hangs up.
async fn serve(
    req: HttpRequest,
    shared: web::Data<Shared>,
    profile: web::Path<String>,
    body: Bytes,
) -> HttpResponse {
    let Some(worker) = worker_of(&req, &shared) else {
        return HttpResponse::NotFound().finish();
    };
    let wish: Wish = serde_json::from_slice(&body).unwrap_or_default();
    let Some(call) = read_call(&req, &profile, &wish) else {
        return not_run(StatusCode::BAD_REQUEST, "a header is malformed");
    };
    if wish.fail == Some(Fail::NotRun) {
        return not_run(StatusCode::SERVICE_UNAVAILABLE, "as the body asked");
    }
    let now = shared.now();
    let arrived = arrival(&req, now);
    let key = match lock(&shared.world).admit(now, arrived, worker, &call) {
        Ok(key) => key,
        Err(refusal) => return refuse(refusal),
    };
    let took = duration(&shared, worker, &wish, &call.request);
    let execution = rt::spawn(execute(shared, worker, key, took));
    match execution.await {
        Ok(true) => answer(&call, &wish, took, &body),
        Ok(false) | Err(_) => HttpResponse::InternalServerError().finish(),
    }
}

/// Waits for the service time. Returns whether the request ran to its end.
async fn execute(shared: web::Data<Shared>, worker: usize, key: u64, took: u64) -> bool {
    let ended = abandoned(&shared, worker, key);
    if time::timeout(Duration::from_millis(took), ended)
        .await
        .is_ok()
    {
        return false;
    }
    lock(&shared.world).finish(shared.now(), worker, key)
}

/// Waits until a worker no longer executes a request.
async fn abandoned(shared: &Shared, worker: usize, key: u64) {
    loop {
        let changed = shared.changed.notified();
        if !lock(&shared.world).workers[worker].serves(key) {
            return;
        }
        changed.await;
    }
}

fn worker_of(req: &HttpRequest, shared: &Shared) -> Option<usize> {
    shared.worker_at(req.app_config().local_addr().port())
}

fn arrival(req: &HttpRequest, now: Millis) -> Millis {
    let arrived = req.extensions().get::<Arrived>().copied();
    arrived.map_or(now, |a| a.0)
}

fn read_call(req: &HttpRequest, profile: &str, wish: &Wish) -> Option<Call> {
    let headers = req.headers();
    let token = header(headers, wire::TOKEN_HEADER).parse().ok()?;
    let key = header(headers, wire::KEY_HEADER);
    Some(Call {
        token: Token(token),
        request: header(headers, wire::REQUEST_HEADER).to_owned(),
        profile: profile.to_owned(),
        work: wish.work.clone(),
        key: (!key.is_empty()).then(|| key.to_owned()),
        once: header(headers, wire::NONIDEMPOTENT_HEADER) == "yes",
        demand: demand(header(headers, wire::DEMAND_HEADER))?,
    })
}

/// The demand that a header tells, or `None` when it is malformed.
fn demand(text: &str) -> Option<Resources> {
    if text.is_empty() {
        return Some(Resources::from_parts([0, 0, 0, 1, 1]));
    }
    let parts: Result<Vec<u32>, _> = text.split(',').map(|p| p.trim().parse()).collect();
    let parts: [u32; 5] = parts.ok()?.try_into().ok()?;
    Some(Resources::from_parts(parts))
}

/// How long a request takes, in milliseconds.
fn duration(shared: &Shared, worker: usize, wish: &Wish, request: &str) -> u64 {
    let service = *lock(&shared.service);
    let normal = wish.service_ms.unwrap_or_else(|| draw(&service, request));
    let slow = lock(&shared.world).workers[worker].faults.slow.max(100);
    normal * slow / 100
}

/// Draws a service time from a request's id, in milliseconds.
fn draw(service: &settings::Service, request: &str) -> u64 {
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

fn answer(call: &Call, wish: &Wish, took: u64, body: &[u8]) -> HttpResponse {
    let text = || Value::String(String::from_utf8_lossy(body).into_owned());
    let echo = serde_json::from_slice(body).unwrap_or_else(|_| text());
    match wish.fail {
        Some(Fail::Unknown) => HttpResponse::InternalServerError().finish(),
        Some(Fail::Error) => HttpResponse::InternalServerError()
            .insert_header((wire::RAN_HEADER, "yes"))
            .insert_header((wire::TOOK_HEADER, took.to_string()))
            .body("the request failed"),
        Some(Fail::NotRun) | None => HttpResponse::Ok()
            .insert_header((wire::RAN_HEADER, "yes"))
            .insert_header((wire::TOOK_HEADER, took.to_string()))
            .insert_header((wire::REQUEST_HEADER, call.request.as_str()))
            .json(serde_json::json!({"request": call.request, "echo": echo})),
    }
}
