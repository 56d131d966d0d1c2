//! HTTP interface for callers: requests, jobs and the status of the instance.

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
const MAX_JOB_BYTES: usize = 1 << 20;

/// Largest body of a request that any profile may allow, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// How long a handler waits for the scheduler's reply about a job, in milliseconds.
const JOB_TIMEOUT_MS: u64 = 5_000;

/// State that all handlers share.
#[derive(Debug, Clone)]
pub struct AppState {
    /// Address of the scheduler actor.
    pub scheduler: Addr<scheduler::Scheduler>,
    /// Handle of the replayed log.
    pub ledger: replica::Handle,
    /// Settings of the instance.
    pub settings: Arc<settings::Entry>,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Counter that makes the ids of requests and jobs unique.
    pub id_counter: Arc<AtomicU64>,
    /// Metrics of the process.
    pub metrics: Arc<metrics::Metrics>,
}

impl AppState {
    /// Returns an id that no other call and no other process returns.
    #[must_use]
    pub fn unique_id(&self) -> CompactString {
        let count = self.id_counter.fetch_add(1, Ordering::Relaxed);
        format_compact!("{}.{:x}.{:x}", self.settings.id, self.incarnation.0, count)
    }
}

/// Registers the routes for callers.
pub fn routes(cfg: &mut web::ServiceConfig) {
    cfg.app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
        .route("/v1/requests/{profile}", web::post().to(serve_request))
        .route("/v1/jobs", web::post().to(submit_job))
        .route("/v1/jobs", web::get().to(list_jobs))
        .route("/v1/jobs/{id}", web::get().to(show_job))
        .route("/v1/jobs/{id}", web::delete().to(cancel_job))
        .route("/v1/status", web::get().to(status))
        .route("/healthz", web::get().to(health))
        .route("/readyz", web::get().to(ready))
        .route("/metrics", web::get().to(exposition));
}

/// `POST /v1/requests/{profile}`: serves one request.
async fn serve_request(
    app: web::Data<AppState>,
    path: web::Path<String>,
    http_request: HttpRequest,
    body: Result<Bytes, actix_web::Error>,
) -> HttpResponse {
    let Ok(body) = body else {
        let message = format!("the body exceeds {MAX_BODY_BYTES} bytes");
        return respond(&app, None, Err(refusal::not_run(Code::TooLarge, message)));
    };
    let message = match read_message(&app, &path, &http_request, body) {
        Ok(message) => message,
        Err(refusal) => return respond(&app, None, Err(refusal)),
    };
    let id = message.id.clone();
    let request = serve::Request {
        message,
        deadline: header_number(&http_request, wire::DEADLINE_HEADER),
        forwarded: http_request.headers().contains_key(wire::FORWARD_HEADER),
    };
    let served = serve::serve(&app, request).await;
    respond(&app, Some(&id), served)
}

/// Builds the message from the path, the headers and the body.
fn read_message(
    app: &AppState,
    profile: &str,
    http_request: &HttpRequest,
    body: Bytes,
) -> Result<exchange::Message, Refusal> {
    let profile: ProfileName = profile
        .parse()
        .map_err(|e| refusal::invalid_field("/profile", format!("{e}")))?;
    let id = match header(http_request, wire::REQUEST_HEADER) {
        Some(text) => text.parse::<RequestId>(),
        None => app.unique_id().parse::<RequestId>(),
    };
    let id = id.map_err(|e| refusal::invalid_field(wire::REQUEST_HEADER, format!("{e}")))?;
    let idempotency_key = header(http_request, wire::KEY_HEADER).map(str::parse::<IdempotencyKey>);
    let idempotency_key = idempotency_key.transpose();
    let idempotency_key =
        idempotency_key.map_err(|e| refusal::invalid_field(wire::KEY_HEADER, format!("{e}")))?;
    Ok(exchange::Message {
        id,
        profile: profile.as_str().into(),
        body,
        content_type: header(http_request, "content-type")
            .unwrap_or("application/octet-stream")
            .into(),
        idempotency_key,
        idempotent: true,
        demand: Resources::default(),
    })
}

fn header<'a>(http_request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    http_request
        .headers()
        .get(name)
        .and_then(|v| v.to_str().ok())
}

fn header_number(http_request: &HttpRequest, name: &str) -> Option<u64> {
    header(http_request, name).and_then(|v| v.parse().ok())
}

/// Converts the result of a request to an HTTP response.
fn respond(
    app: &AppState,
    id: Option<&RequestId>,
    served: Result<exchange::Response, Refusal>,
) -> HttpResponse {
    match served {
        Ok(received) => {
            let mut response = HttpResponse::build(received.status);
            if let Some(id) = id {
                response.insert_header((wire::REQUEST_HEADER, id.as_str()));
            }
            response
                .insert_header((wire::RAN_HEADER, refusal::ran_header_value(received.ran)))
                .insert_header(("content-type", received.content_type.as_str()))
                .body(received.body)
        }
        Err(refusal) => refuse(app, id, &refusal),
    }
}

/// Logs and counts a refusal, and converts it to an HTTP response.
fn refuse(app: &AppState, id: Option<&RequestId>, refusal: &Refusal) -> HttpResponse {
    app.metrics.count_refusal(refusal.code);
    info!(
        code:? = refusal.code,
        ran:? = refusal.ran,
        request:? = id.map(RequestId::as_str);
        "work refused"
    );
    let mut response = HttpResponse::build(refusal::status(refusal.code));
    if let Some(id) = id {
        response.insert_header((wire::REQUEST_HEADER, id.as_str()));
    }
    if let Some(retry) = refusal.retry {
        response.insert_header(("retry-after", retry.div_ceil(1_000)));
    }
    response
        .insert_header((wire::RAN_HEADER, refusal::ran_header_value(refusal.ran)))
        .json(refusal)
}

/// `POST /v1/jobs`: accepts a job.
async fn submit_job(
    app: web::Data<AppState>,
    body: Result<Bytes, actix_web::Error>,
) -> HttpResponse {
    let Some(body) = body.ok().filter(|body| body.len() <= MAX_JOB_BYTES) else {
        let message = format!("a job has at most {MAX_JOB_BYTES} bytes");
        return refuse(&app, None, &refusal::not_run(Code::TooLarge, message));
    };
    let job = match parse_job(&body) {
        Ok(job) => job,
        Err(refusal) => return refuse(&app, None, &refusal),
    };
    let Ok(run) = app.unique_id().parse::<RunId>() else {
        let refusal = refusal::not_run(Code::Internal, "no id could be made".to_owned());
        return refuse(&app, None, &refusal);
    };
    let sent = app.scheduler.send(scheduler::Submit { run, job });
    match await_scheduler(sent).await {
        Ok(accepted) => HttpResponse::Accepted().json(accepted),
        Err(refusal) => refuse(&app, None, &refusal),
    }
}

fn parse_job(body: &[u8]) -> Result<caller::Job, Refusal> {
    let text = std::str::from_utf8(body).map_err(|e| refusal::invalid_field("/", e.to_string()))?;
    findings::read("job", text).map_err(refusal::invalid_input)
}

/// `GET /v1/jobs`: lists the known jobs, newest first.
async fn list_jobs(app: web::Data<AppState>) -> HttpResponse {
    match await_scheduler(app.scheduler.send(scheduler::List)).await {
        Ok(list) => HttpResponse::Ok().json(list),
        Err(refusal) => refuse(&app, None, &refusal),
    }
}

/// `GET /v1/jobs/{id}`: returns the status of a job.
async fn show_job(app: web::Data<AppState>, path: web::Path<String>) -> HttpResponse {
    let status = match path.parse() {
        Ok(run) => await_scheduler(app.scheduler.send(scheduler::Show { run })).await,
        Err(e) => Err(refusal::invalid_field("/id", format!("{e}"))),
    };
    match status {
        Ok(status) => HttpResponse::Ok().json(status),
        Err(refusal) => refuse(&app, None, &refusal),
    }
}

/// `DELETE /v1/jobs/{id}`: cancels a job.
async fn cancel_job(app: web::Data<AppState>, path: web::Path<String>) -> HttpResponse {
    let status = match path.parse() {
        Ok(run) => await_scheduler(app.scheduler.send(scheduler::Cancel { run })).await,
        Err(e) => Err(refusal::invalid_field("/id", format!("{e}"))),
    };
    match status {
        Ok(status) => HttpResponse::Accepted().json(status),
        Err(refusal) => refuse(&app, None, &refusal),
    }
}

/// Waits for the scheduler's reply, for at most [`JOB_TIMEOUT_MS`].
async fn await_scheduler<T>(
    sent: impl Future<Output = Result<Result<T, Refusal>, actix::MailboxError>>,
) -> Result<T, Refusal> {
    let limit = Duration::from_millis(JOB_TIMEOUT_MS);
    match tokio::time::timeout(limit, sent).await {
        Ok(Ok(result)) => result,
        Ok(Err(_)) => Err(refusal::draining()),
        Err(_) => Err(Refusal {
            code: Code::LogUnavailable,
            ran: Ran::Unknown,
            message: "no word from the log in time; repeat with the same key".to_owned(),
            retry: Some(JOB_TIMEOUT_MS),
            findings: Vec::new(),
        }),
    }
}

/// `GET /v1/status`: returns the status of the instance.
async fn status(app: web::Data<AppState>) -> HttpResponse {
    match app.scheduler.send(scheduler::GetStatus).await {
        Ok(status) => HttpResponse::Ok().json(status),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// `GET /healthz`: succeeds while the process responds.
async fn health() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

/// `GET /readyz`: succeeds while the load balancer may send work to the instance.
async fn ready(app: web::Data<AppState>) -> HttpResponse {
    match app.scheduler.send(scheduler::GetStatus).await {
        Ok(status) if status.ready => HttpResponse::Ok().body("ready\n"),
        Ok(status) => HttpResponse::ServiceUnavailable().json(status),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// `GET /metrics`: returns the metrics in the text exposition format.
async fn exposition(app: web::Data<AppState>) -> HttpResponse {
    match app.metrics.encode() {
        Ok(text) => HttpResponse::build(StatusCode::OK)
            .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
            .body(text),
        Err(e) => HttpResponse::InternalServerError().body(e.to_string()),
    }
}
