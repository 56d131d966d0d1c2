//! Administration API: operators publish and inspect profiles over HTTP.

use std::{
    io,
    sync::Arc,
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    }, //
};

use actix_web::{
    App,
    Error,
    HttpResponse,
    HttpServer,
    body::MessageBody,
    dev::{
        ServerHandle,
        ServiceRequest,
        ServiceResponse, //
    },
    middleware::{
        Next,
        from_fn, //
    },
    web, //
};
use compact_str::format_compact;

use crate::{
    admin::error::ApiError,
    ids::Incarnation,
    ledger::{
        record,
        replica::{
            self,
            Replica, //
        },
        state::State, //
    },
    program,
    settings, //
};

pub mod access;
pub mod changes;
pub mod error;
pub mod instances;
pub mod metrics;
pub mod openapi;
pub mod outcomes;
pub mod profiles;

/// Largest body of a call, in bytes.
const MAX_BODY: usize = 1 << 20;

/// How long a graceful shutdown waits for calls in progress.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);

/// State that all handlers share.
#[derive(Debug, Clone)]
pub struct AppState {
    /// Handle of the replayed log.
    pub ledger: replica::Handle,
    /// Settings of the instance.
    pub settings: Arc<settings::Entry>,
    /// Metrics of the process.
    pub metrics: Arc<metrics::Metrics>,
}

impl AppState {
    /// Checks that the state is fully loaded and caught up with the log, so that calls can be
    /// answered.
    ///
    /// # Errors
    ///
    /// Fails when the state is not loaded.
    pub async fn check_loaded(&self) -> Result<replica::Status, ApiError> {
        let status = self.ledger.addr.send(replica::GetStatus).await;
        let status = status.map_err(|_| ApiError::unavailable("the replica has ended"))?;
        if !status.loaded || !self.ledger.is_caught_up() {
            return Err(ApiError::unavailable("the state is not loaded yet"));
        }
        Ok(status)
    }

    /// Checks that the state is loaded and that this release understands every record, so that a
    /// change can be decided from the state.
    ///
    /// # Errors
    ///
    /// Fails when the state is not loaded, or when the log holds records of a newer release.
    pub async fn check_complete(&self) -> Result<(), ApiError> {
        self.check_loaded().await?;
        if !self.ledger.read(State::complete) {
            let message = "the log holds records of a newer release; ask an instance of that one";
            return Err(ApiError::unavailable(message));
        }
        Ok(())
    }
}

/// A running administration API.
#[derive(Debug)]
pub struct Running {
    server: ServerHandle,
    /// State that the handlers share.
    pub app: AppState,
}

impl Running {
    /// Stops gracefully: calls in progress are completed.
    pub async fn stop(self) {
        self.server.stop(true).await;
        log::info!("administration API stopped");
    }
}

/// Runs the administration API until the process receives a stop signal.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn serve_until_stopped(settings: settings::Entry) -> io::Result<()> {
    let running = start(settings)?;
    program::shutdown_signal().await?;
    running.stop().await;
    Ok(())
}

/// Starts the administration API on this thread's actor system.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn start(settings: settings::Entry) -> io::Result<Running> {
    let settings = Arc::new(settings);
    let app = AppState {
        ledger: Replica::start(&settings, author(&settings)?),
        settings: settings.clone(),
        metrics: Arc::new(metrics::Metrics::new()),
    };
    let data = web::Data::new(app.clone());
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .wrap(from_fn(count_calls))
            .configure(routes)
    });
    let server = server
        .workers(1)
        .disable_signals()
        .shutdown_timeout(SHUTDOWN_TIMEOUT.as_secs())
        .bind(settings.admin)?
        .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    log::info!(instance:% = settings.id, address:% = settings.admin; "administration API started");
    Ok(Running {
        server: handle,
        app,
    })
}

/// Returns the author of the records of this process. The author differs from that of the entry
/// process of the same instance, because their batches must have different ids.
fn author(settings: &settings::Entry) -> io::Result<record::Author> {
    let instance = format_compact!("{}:admin", settings.id);
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |millis| millis.as_millis());
    Ok(record::Author {
        instance: instance.parse().map_err(io::Error::other)?,
        incarnation: Incarnation(u64::try_from(millis).unwrap_or(0)),
    })
}

/// Registers the routes of [`openapi::ROUTES`].
pub fn routes(cfg: &mut web::ServiceConfig) {
    cfg.app_data(web::PayloadConfig::new(MAX_BODY))
        .route("/v1/profiles", web::get().to(profiles::list))
        .route("/v1/profiles/check", web::post().to(profiles::check))
        .route("/v1/profiles/{name}", web::get().to(profiles::show))
        .route("/v1/profiles/{name}", web::put().to(profiles::publish))
        .route("/v1/profiles/{name}", web::delete().to(profiles::withdraw))
        .route(
            "/v1/profiles/{name}/history",
            web::get().to(profiles::history),
        )
        .route(
            "/v1/profiles/{name}/diff",
            web::post().to(profiles::compare),
        )
        .route(
            "/v1/profiles/{name}/rollback",
            web::post().to(profiles::roll_back),
        )
        .route("/v1/instances/in-force", web::get().to(instances::in_force))
        .route("/v1/outcomes", web::get().to(outcomes::outcomes))
        .route("/healthz", web::get().to(health))
        .route("/readyz", web::get().to(ready))
        .route("/metrics", web::get().to(exposition));
}

/// `GET /healthz`: succeeds while the process runs.
async fn health() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

/// `GET /readyz`: succeeds while the state is fully loaded.
async fn ready(app: web::Data<AppState>) -> Result<HttpResponse, ApiError> {
    app.check_loaded().await?;
    Ok(HttpResponse::Ok().body("ready\n"))
}

/// `GET /metrics`: returns the metrics in the text exposition format.
async fn exposition(app: web::Data<AppState>) -> Result<HttpResponse, ApiError> {
    let status = app.ledger.addr.send(replica::GetStatus).await;
    if let Ok(status) = status {
        let silence = status.silent.map_or(0, |s| s.as_millis());
        let metrics = &app.metrics;
        metrics
            .offset
            .set(i64::try_from(status.next.0).unwrap_or(i64::MAX));
        metrics.loaded.set(i64::from(status.loaded));
        metrics
            .log_silence
            .set(i64::try_from(silence).unwrap_or(i64::MAX));
    }
    let text = app.metrics.encode();
    let text = text.map_err(|_| ApiError::internal("the metrics cannot be written"))?;
    Ok(HttpResponse::Ok()
        .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
        .body(text))
}

/// Counts every call by route and status. Headers and bodies are not read.
async fn count_calls(
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, Error> {
    let metrics = request
        .app_data::<web::Data<AppState>>()
        .map(|s| s.metrics.clone());
    let method = request.method().clone();
    let pattern = request.match_pattern();
    let response = next.call(request).await?;
    if let Some(metrics) = metrics {
        let labels = metrics::CallLabels {
            route: format!("{method} {}", pattern.as_deref().unwrap_or("none")),
            status: response.status().as_u16(),
        };
        metrics.calls.get_or_create(&labels).inc();
    }
    Ok(response)
}
