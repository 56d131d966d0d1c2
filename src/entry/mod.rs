//! Entry instance: serves callers, holds placement leases and schedules work on the leased workers.

use std::{
    io,
    sync::{
        Arc,
        atomic::AtomicU64, //
    },
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    }, //
};

use actix::{
    Addr,
    AsyncContext, //
};
use actix_web::{
    App,
    HttpServer,
    dev::ServerHandle,
    web, //
};
use futures_util::stream;
use jsonrpsee::server::{
    Server,
    ServerBuilder, //
};
use log::info;
use tokio::{
    sync::mpsc,
    time::Instant, //
};

use crate::{
    entry::rpc::PeerServer,
    ids::Incarnation,
    ledger::{
        record,
        replica, //
    },
    program,
    settings, //
};

pub mod exchange;
pub mod http;
pub mod idempotency;
pub mod metrics;
pub mod refusal;
pub mod rpc;
pub mod scheduler;
pub mod serve;

/// Interval at which a shutdown checks whether all work has ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long idle connections of callers are kept open.
const KEEP_ALIVE: Duration = Duration::from_secs(30);

/// Runs an entry instance until the process receives a stop signal, then shuts down gracefully.
///
/// # Errors
///
/// Fails when an address cannot be bound.
pub async fn serve_until_stopped(settings: settings::Entry) -> io::Result<()> {
    let running = start(settings).await?;
    program::shutdown_signal().await?;
    running.stop().await;
    Ok(())
}

/// A running entry instance.
#[derive(Debug)]
pub struct Running {
    scheduler: Addr<scheduler::Scheduler>,
    caller_server: ServerHandle,
    peer_server: jsonrpsee::server::ServerHandle,
    drain_timeout: Duration,
    linger: Duration,
}

/// Starts an entry instance on this thread's actor system.
///
/// # Errors
///
/// Fails when an address cannot be bound.
pub async fn start(settings: settings::Entry) -> io::Result<Running> {
    let settings = Arc::new(settings);
    let incarnation = incarnation();
    let author = record::Author {
        instance: settings.id.clone(),
        incarnation,
    };
    let ledger = replica::Replica::start(&settings, author);
    let metrics = Arc::new(metrics::Metrics::new());
    let (calls, received) = mpsc::unbounded_channel();
    let peer_server = serve_peers(&settings, calls).await?;
    let scheduler = scheduler::Scheduler::start(
        settings.clone(),
        ledger.clone(),
        metrics.clone(),
        incarnation,
        received,
    );
    let app = http::AppState {
        scheduler: scheduler.clone(),
        ledger,
        settings: settings.clone(),
        incarnation,
        id_counter: Arc::new(AtomicU64::new(0)),
        metrics,
    };
    let caller_server = serve_callers(&settings, app)?;
    info!(
        instance:% = settings.id,
        zone:% = settings.zone,
        callers:% = settings.listen,
        incarnation = incarnation.0;
        "entry instance started"
    );
    Ok(Running {
        scheduler,
        caller_server,
        peer_server,
        drain_timeout: settings.requests.drain,
        linger: settings.requests.linger,
    })
}

/// Returns a value that is higher for each later start of the instance: the wall clock in
/// milliseconds.
fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |millis| millis.as_millis());
    Incarnation(u64::try_from(millis).unwrap_or(0))
}

async fn serve_peers(
    settings: &settings::Entry,
    calls: mpsc::UnboundedSender<rpc::Call>,
) -> io::Result<jsonrpsee::server::ServerHandle> {
    let server: Server = ServerBuilder::default().build(settings.peer).await?;
    Ok(server.start(rpc::Service::new(calls).into_rpc()))
}

fn serve_callers(settings: &settings::Entry, app: http::AppState) -> io::Result<ServerHandle> {
    let app = web::Data::new(app);
    let server = HttpServer::new(move || App::new().app_data(app.clone()).configure(http::routes))
        .workers(settings.threads)
        .keep_alive(KEEP_ALIVE)
        .disable_signals()
        .shutdown_timeout(settings.requests.drain.as_secs())
        .bind(settings.listen)?
        .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

impl Running {
    /// Shuts down gracefully: refuses new work, waits for the work in progress and hands over the
    /// leases.
    pub async fn stop(self) {
        let start = Instant::now();
        let deadline = start + self.drain_timeout;
        while Instant::now() < deadline {
            let drained = self.scheduler.send(scheduler::Drain).await;
            if drained.unwrap_or(true) {
                break;
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        tokio::time::sleep_until(start + self.linger).await;
        self.caller_server.stop(true).await;
        // The server may have stopped already.
        let _ = self.peer_server.stop();
        info!("entry instance stopped");
    }
}

/// Adds the calls of peers to the scheduler's event stream.
pub(crate) fn add_call_stream(
    ctx: &mut actix::Context<scheduler::Scheduler>,
    mut calls: mpsc::UnboundedReceiver<rpc::Call>,
) {
    ctx.add_stream(stream::poll_fn(move |cx| calls.poll_recv(cx)));
}
