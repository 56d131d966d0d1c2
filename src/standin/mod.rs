//! Fake of the platform and the backend servers, for tests and for trying the product.
//!
//! One process serves the log, the list of instances and every worker, each worker on its own port.
//! Faults are switched over HTTP under `/control` at the platform's address. A judge records
//! violations of the scheduler's guarantees independently of the scheduler's own records.

use std::{
    io,
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use actix_web::{
    App,
    HttpServer,
    dev::{
        Extensions,
        ServerHandle, //
    },
    middleware,
    rt,
    web, //
};
use quick_error::quick_error;

use crate::{
    ids::WorkerId,
    standin::{
        settings::Settings,
        shared::Shared, //
    }, //
};

pub mod backend;
pub mod clock;
pub mod command;
pub mod connection;
pub mod control;
pub mod faults;
pub mod injector;
pub mod judge;
pub mod list;
pub mod log;
pub mod platform;
pub mod settings;
pub mod shared;
pub mod task;
pub mod traffic;
pub mod worker;
pub mod world;

/// Time for which an idle connection is kept open.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Time that a graceful stop waits for requests in progress, in seconds.
const SHUTDOWN_TIMEOUT_S: u64 = 10;

/// Size limit of a request body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Number of threads that serve the platform's port.
const PLATFORM_THREADS: usize = 1;

quick_error! {
    /// Error that keeps the stand-in from starting.
    #[derive(Debug)]
    pub enum Error {
        /// An address cannot be listened on.
        Listen(address: SocketAddr, cause: io::Error) {
            display("cannot listen on {}: {}", address, cause)
            source(cause)
        }
        /// A server cannot be set up.
        Serve(cause: io::Error) {
            display("cannot serve: {}", cause)
            source(cause)
        }
        /// The port of the last worker would be above 65535.
        Ports(first: u16) {
            display("there are not enough ports from {} on", first)
        }
    }
}

/// Handle of a running stand-in.
#[derive(Debug)]
pub struct Running {
    /// Address of the log, the list and the control API.
    pub platform: SocketAddr,
    /// Ids and addresses of the workers, in the order of the groups.
    pub workers: Vec<(WorkerId, SocketAddr)>,
    shared: web::Data<Shared>,
    handles: Vec<ServerHandle>,
}

impl Running {
    /// Stops the stand-in: sends the answers in progress, then closes every port.
    pub async fn stop(self) {
        self.shared.stop();
        for handle in self.handles {
            handle.stop(true).await;
        }
    }

    /// Returns the judge's findings.
    #[must_use]
    pub fn verdict(&self) -> judge::Verdict {
        lock(&self.shared.world).judge.verdict()
    }
}

/// Starts the stand-in inside the current actix system.
///
/// # Errors
///
/// Returns an error if an address cannot be listened on or a server cannot be set up.
pub async fn start(settings: &Settings) -> Result<Running, Error> {
    let platform = listen(settings.listen)?;
    let listeners = listen_all(settings)?;
    let local = |l: &TcpListener| l.local_addr().map_err(Error::Serve);
    let address = local(&platform)?;
    let addresses = listeners.iter().map(local).collect::<Result<Vec<_>, _>>()?;
    let shared = web::Data::new(Shared::new(settings, &addresses));
    let ids: Vec<_> = {
        let world = lock(&shared.world);
        world.workers.iter().map(|w| w.spec.id.clone()).collect()
    };
    let handles = vec![
        serve_platform(platform, &shared)?,
        serve_workers(listeners, &shared, settings.threads)?,
    ];
    Ok(Running {
        platform: address,
        workers: ids.into_iter().zip(addresses).collect(),
        shared,
        handles,
    })
}

/// Locks a mutex, also one that a panicking thread has poisoned.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).map_err(|e| Error::Listen(address, e))
}

fn listen_all(settings: &Settings) -> Result<Vec<TcpListener>, Error> {
    let first = settings.workers;
    let one = |i: u32| {
        let mut address = first;
        if first.port() != 0 {
            let port = u16::try_from(u32::from(first.port()) + i);
            address.set_port(port.map_err(|_| Error::Ports(first.port()))?);
        }
        listen(address)
    };
    (0..settings.worker_count()).map(one).collect()
}

fn serve_platform(
    listener: TcpListener,
    shared: &web::Data<Shared>,
) -> Result<ServerHandle, Error> {
    let (state, connections) = (shared.clone(), shared.clone());
    let app = move || {
        let api = web::scope("/v1")
            .wrap(middleware::from_fn(injector::inject))
            .configure(platform::routes);
        App::new()
            .app_data(state.clone())
            .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
            .service(api)
            .service(web::scope("/control").configure(control::routes))
    };
    let server = HttpServer::new(app)
        .on_connect(move |io, data| register(&connections, io, data))
        .workers(PLATFORM_THREADS)
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(KEEP_ALIVE)
        .shutdown_timeout(SHUTDOWN_TIMEOUT_S)
        .disable_signals()
        .listen(listener)
        .map_err(Error::Serve)?
        .run();
    let handle = server.handle();
    rt::spawn(server);
    Ok(handle)
}

fn serve_workers(
    listeners: Vec<TcpListener>,
    shared: &web::Data<Shared>,
    threads: usize,
) -> Result<ServerHandle, Error> {
    let (state, connections) = (shared.clone(), shared.clone());
    let app = move || {
        let api = web::scope("/v1")
            .wrap(middleware::from_fn(injector::inject))
            .configure(backend::routes);
        App::new()
            .app_data(state.clone())
            .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .service(api)
    };
    let mut server = HttpServer::new(app)
        .on_connect(move |io, data| register(&connections, io, data))
        .workers(threads)
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(KEEP_ALIVE)
        .shutdown_timeout(SHUTDOWN_TIMEOUT_S)
        .disable_signals();
    for listener in listeners {
        server = server.listen(listener).map_err(Error::Serve)?;
    }
    let server = server.run();
    let handle = server.handle();
    rt::spawn(server);
    Ok(handle)
}

/// Registers a new connection; closes it at once if the worker is down.
fn register(shared: &Shared, io: &dyn std::any::Any, data: &mut Extensions) {
    let stream = io.downcast_ref::<rt::net::TcpStream>();
    let port = stream.and_then(|s| Some(s.local_addr().ok()?.port()));
    let worker = port.and_then(|p| shared.worker_at(p));
    let connection: Arc<_> = shared.connections.add(io, worker);
    if worker.is_some_and(|w| !lock(&shared.world).workers[w].up) {
        connection.close();
    }
    data.insert(connection);
}
