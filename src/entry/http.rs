//! Callers' HTTP: requests, jobs and the state of the instance.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use actix::Addr;
use actix_web::{
    HttpRequest,
    HttpResponse,
    http::StatusCode,
    web, //
};
use bytes::Bytes;
use compact_str::{
    CompactString,
    format_compact, //
};
use log::info;

use crate::{
    entry::{
        exchange,
        metrics,
        refusal,
        scheduler,
        serve, //
    },
    findings,
    ids::{
        IdempotencyKey,
        Incarnation,
        ProfileName,
        RequestId,
        RunId, //
    },
    ledger::replica,
    resources::Resources,
    settings,
    wire::{
        self,
        caller::{
            self,
            Code,
            Ran,
            Refusal, //
        }, //
    }, //
};

/// Largest body of a job, in bytes.
const MAX_JOB: usize = 1 << 20;

/// Largest body of a request that any profile may allow, in bytes.
const MAX_BODY: usize = 16 << 20;

/// How long a handler waits for the scheduler's word on a job, in milliseconds.
const JOB_WAIT: u64 = 5_000;

/// What every handler may use.
#[derive(Debug, Clone)]
pub struct Shared {
    /// The scheduler.
    pub scheduler: Addr<scheduler::Scheduler>,
    /// The replayed log.
    pub ledger: replica::Handle,
    /// The settings.
    pub settings: Arc<settings::Entry>,
    /// This life.
    pub incarnation: Incarnation,
    /// Numbers requests and jobs.
    pub counter: Arc<AtomicU64>,
    /// The metrics.
    pub metrics: Arc<metrics::Metrics>,
}

impl Shared {
    /// A text that no other call and no other process returns.
    #[must_use]
    pub fn unique(&self) -> CompactString {
        let count = self.counter.fetch_add(1, Ordering::Relaxed);
        format_compact!("{}.{:x}.{:x}", self.settings.id, self.incarnation.0, count)
    }
}

/// Adds the callers' routes.
pub fn routes(cfg: &mut web::ServiceConfig) {
    cfg.app_data(web::PayloadConfig::new(MAX_BODY))
        .route("/v1/requests/{profile}", web::post().to(request))
        .route("/v1/jobs", web::post().to(submit))
        .route("/v1/jobs", web::get().to(jobs))
        .route("/v1/jobs/{id}", web::get().to(show))
        .route("/v1/jobs/{id}", web::delete().to(cancel))
        .route("/v1/status", web::get().to(status))
        .route("/healthz", web::get().to(health))
        .route("/readyz", web::get().to(ready))
        .route("/metrics", web::get().to(exposition));
}

/// `POST /v1/requests/{profile}`: serves one request.
async fn request(
    shared: web::Data<Shared>,
    path: web::Path<String>,
    call: HttpRequest,
    body: Result<Bytes, actix_web::Error>,
) -> HttpResponse {
    let Ok(body) = body else {
        let message = format!("the body exceeds {MAX_BODY} bytes");
        return answer(
            &shared,
            None,
            Err(refusal::not_run(Code::TooLarge, message)),
        );
    };
    let message = match message(&shared, &path, &call, body) {
        Ok(message) => message,
        Err(refusal) => return answer(&shared, None, Err(refusal)),
    };
    let id = message.id.clone();
    let order = serve::Order {
        message,
        deadline: number(&call, wire::DEADLINE_HEADER),
        forwarded: call.headers().contains_key(wire::FORWARD_HEADER),
    };
    let served = serve::serve(&shared, order).await;
    answer(&shared, Some(&id), served)
}

/// Reads what the path and the headers say.
fn message(
    shared: &Shared,
    profile: &str,
    call: &HttpRequest,
    body: Bytes,
) -> Result<exchange::Message, Refusal> {
    let profile: ProfileName = profile
        .parse()
        .map_err(|e| refusal::input("/profile", format!("{e}")))?;
    let id = match header(call, wire::REQUEST_HEADER) {
        Some(text) => text.parse::<RequestId>(),
        None => shared.unique().parse::<RequestId>(),
    };
    let id = id.map_err(|e| refusal::input(wire::REQUEST_HEADER, format!("{e}")))?;
    let key = header(call, wire::KEY_HEADER).map(str::parse::<IdempotencyKey>);
    let key = key.transpose();
    let key = key.map_err(|e| refusal::input(wire::KEY_HEADER, format!("{e}")))?;
    Ok(exchange::Message {
        id,
        profile: profile.as_str().into(),
        body,
        content: header(call, "content-type")
            .unwrap_or("application/octet-stream")
            .into(),
        key,
        idempotent: true,
        demand: Resources::default(),
    })
}

fn header<'a>(call: &'a HttpRequest, name: &str) -> Option<&'a str> {
    call.headers().get(name).and_then(|v| v.to_str().ok())
}

fn number(call: &HttpRequest, name: &str) -> Option<u64> {
    header(call, name).and_then(|v| v.parse().ok())
}

/// Turns what became of a request into HTTP.
fn answer(
    shared: &Shared,
    id: Option<&RequestId>,
    served: Result<exchange::Answer, Refusal>,
) -> HttpResponse {
    match served {
        Ok(answer) => {
            let mut response = HttpResponse::build(answer.status);
            if let Some(id) = id {
                response.insert_header((wire::REQUEST_HEADER, id.as_str()));
            }
            response
                .insert_header((wire::RAN_HEADER, refusal::ran_text(answer.ran)))
                .insert_header(("content-type", answer.content.as_str()))
                .body(answer.body)
        }
        Err(refusal) => refuse(shared, id, &refusal),
    }
}

/// A refusal as HTTP.
fn refuse(shared: &Shared, id: Option<&RequestId>, refusal: &Refusal) -> HttpResponse {
    shared.metrics.refused(refusal.code);
    info!(
        code:? = refusal.code,
        ran:? = refusal.ran,
        request:? = id.map(RequestId::as_str);
        "refused"
    );
    let mut response = HttpResponse::build(refusal::status(refusal.code));
    if let Some(id) = id {
        response.insert_header((wire::REQUEST_HEADER, id.as_str()));
    }
    if let Some(retry) = refusal.retry {
        response.insert_header(("retry-after", retry.div_ceil(1_000)));
    }
    response
        .insert_header((wire::RAN_HEADER, refusal::ran_text(refusal.ran)))
        .json(refusal)
}

/// `POST /v1/jobs`: accepts a job.
async fn submit(shared: web::Data<Shared>, body: Result<Bytes, actix_web::Error>) -> HttpResponse {
    let Some(body) = body.ok().filter(|body| body.len() <= MAX_JOB) else {
        let message = format!("a job has at most {MAX_JOB} bytes");
        return refuse(&shared, None, &refusal::not_run(Code::TooLarge, message));
    };
    let job = match read_job(&body) {
        Ok(job) => job,
        Err(refusal) => return refuse(&shared, None, &refusal),
    };
    let Ok(run) = shared.unique().parse::<RunId>() else {
        let refusal = refusal::not_run(Code::Internal, "no id could be made".to_owned());
        return refuse(&shared, None, &refusal);
    };
    let sent = shared.scheduler.send(scheduler::Submit { run, job });
    match within(sent).await {
        Ok(accepted) => HttpResponse::Accepted().json(accepted),
        Err(refusal) => refuse(&shared, None, &refusal),
    }
}

fn read_job(body: &[u8]) -> Result<caller::Job, Refusal> {
    let text = std::str::from_utf8(body).map_err(|e| refusal::input("/", e.to_string()))?;
    findings::read("job", text).map_err(refusal::findings)
}

/// `GET /v1/jobs`: all jobs that are known, the newest first.
async fn jobs(shared: web::Data<Shared>) -> HttpResponse {
    match within(shared.scheduler.send(scheduler::List)).await {
        Ok(list) => HttpResponse::Ok().json(list),
        Err(refusal) => refuse(&shared, None, &refusal),
    }
}

/// `GET /v1/jobs/{id}`: a job's status.
async fn show(shared: web::Data<Shared>, path: web::Path<String>) -> HttpResponse {
    let shown = match path.parse() {
        Ok(run) => within(shared.scheduler.send(scheduler::Show { run })).await,
        Err(e) => Err(refusal::input("/id", format!("{e}"))),
    };
    match shown {
        Ok(status) => HttpResponse::Ok().json(status),
        Err(refusal) => refuse(&shared, None, &refusal),
    }
}

/// `DELETE /v1/jobs/{id}`: cancels a job.
async fn cancel(shared: web::Data<Shared>, path: web::Path<String>) -> HttpResponse {
    let cancelled = match path.parse() {
        Ok(run) => within(shared.scheduler.send(scheduler::Cancel { run })).await,
        Err(e) => Err(refusal::input("/id", format!("{e}"))),
    };
    match cancelled {
        Ok(status) => HttpResponse::Accepted().json(status),
        Err(refusal) => refuse(&shared, None, &refusal),
    }
}

/// Waits for the scheduler's word.
async fn within<T>(
    sent: impl Future<Output = Result<Result<T, Refusal>, actix::MailboxError>>,
) -> Result<T, Refusal> {
    let limit = Duration::from_millis(JOB_WAIT);
    match tokio::time::timeout(limit, sent).await {
        Ok(Ok(result)) => result,
        Ok(Err(_)) => Err(refusal::draining()),
        Err(_) => Err(Refusal {
            code: Code::LogUnavailable,
            ran: Ran::Unknown,
            message: "no word from the log in time; repeat with the same key".to_owned(),
            retry: Some(JOB_WAIT),
            findings: Vec::new(),
        }),
    }
}

/// `GET /v1/status`: the state of the instance.
async fn status(shared: web::Data<Shared>) -> HttpResponse {
    match shared.scheduler.send(scheduler::Inspect).await {
        Ok(status) => HttpResponse::Ok().json(status),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// `GET /healthz`: the process answers.
async fn health() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

/// `GET /readyz`: the instance may get work from the balancer.
async fn ready(shared: web::Data<Shared>) -> HttpResponse {
    match shared.scheduler.send(scheduler::Inspect).await {
        Ok(status) if status.ready => HttpResponse::Ok().body("ready\n"),
        Ok(status) => HttpResponse::ServiceUnavailable().json(status),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// `GET /metrics`: the metrics in the text format.
async fn exposition(shared: web::Data<Shared>) -> HttpResponse {
    match shared.metrics.encode() {
        Ok(text) => HttpResponse::build(StatusCode::OK)
            .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
            .body(text),
        Err(e) => HttpResponse::InternalServerError().body(e.to_string()),
    }
}
