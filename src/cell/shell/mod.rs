//! The process of one instance: callers' connections, the other instances, the store, the workers.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    time::Duration, //
};

use compact_str::CompactString;
use log::info;
use quick_error::quick_error;
use tokio::{
    sync::Notify,
    time::{
        self,
        Instant, //
    }, //
};

use crate::{
    ids,
    platform::boot,
    program,
    remote::link::Link, //
};

use super::{
    election,
    model,
    settings, //
};

pub mod carry;
pub mod claim;
pub mod commit;
pub mod follow;
pub mod front;
pub mod intake;
pub mod metrics;
pub mod owner;
pub mod peer;
pub mod registry;
pub mod server;
pub mod watch;

/// How long idle connections to the store, to workers and to instances are kept: below the usual
/// idle limit of servers.
const IDLE: Duration = Duration::from_secs(12);

/// Local time at the start of the process, in milliseconds: times before it can be expressed.
const EPOCH: u64 = 1_000_000;

/// Part of the time to stop during which callers are still served.
const SERVE_SHARE: f64 = 0.75;

/// Time before the process is killed at which it ends by itself.
const LAST_MOMENT: Duration = Duration::from_millis(300);

/// Time between two looks at whether connections are still open.
const DRAIN_LOOK: Duration = Duration::from_millis(50);

quick_error! {
    /// Why an instance cannot go on.
    #[derive(Debug)]
    pub enum Error {
        /// An address cannot be listened on, or signals cannot be watched.
        Io(what: String, cause: std::io::Error) {
            display("{}: {}", what, cause)
        }
        /// The settings name something that cannot be used.
        Settings(detail: String) {
            display("{}", detail)
        }
    }
}

/// Links by address, made when they are first used.
#[derive(Default)]
pub struct Links {
    list: RefCell<Vec<(CompactString, Rc<Link>)>>,
}

impl Links {
    /// The link to `address`.
    pub fn get(&self, address: &str, zone: &ids::ZoneId) -> Rc<Link> {
        let mut list = self.list.borrow_mut();
        let at = list.binary_search_by(|(known, _)| known.as_str().cmp(address));
        let at = at.unwrap_or_else(|at| {
            list.insert(
                at,
                (address.into(), Rc::new(Link::new(address, zone, IDLE))),
            );
            at
        });
        list[at].1.clone()
    }
}

/// What all parts of the process share.
pub struct Shared {
    /// Settings.
    pub settings: settings::Cell,
    /// The availability zone, as links want it.
    pub zone: ids::ZoneId,
    /// Connections to the store for short calls.
    pub store: Link,
    /// Connections to the store for calls that wait there.
    pub waits: Link,
    /// Connections to workers.
    pub workers: Links,
    /// Connections to other instances.
    pub peers: Links,
    /// Connections to the placement policy.
    pub policy: Option<Link>,
    /// The configuration in force.
    pub catalog: RefCell<Option<Rc<model::Catalog>>>,
    /// What is known of the owner.
    pub seat: RefCell<watch::Seat>,
    /// The owner, when it is this process.
    pub owner: RefCell<Option<Rc<owner::Owner>>>,
    /// Whether this process was granted ownership and reads what it needs for it.
    pub beginning: Cell<bool>,
    /// Woken when the owner changes.
    pub changed: Notify,
    /// Metrics.
    pub metrics: metrics::Metrics,
    /// Whether the process was asked to stop.
    pub stopping: Cell<bool>,
    /// Woken when connections are to be closed.
    pub closing: Notify,
    /// Whether connections are to be closed.
    pub closed: Cell<bool>,
    /// Requests of callers in progress.
    pub active: Cell<usize>,
    /// Local time of the store's last answer, in milliseconds.
    pub store_ok: Cell<u64>,
    /// Tells lives of the instance apart.
    pub life: u64,
    started: Instant,
}

impl Shared {
    /// Local time in milliseconds.
    #[must_use]
    pub fn now(&self) -> u64 {
        EPOCH + self.started.elapsed().as_millis() as u64
    }

    /// Whether the store answered within the last `span` milliseconds.
    #[must_use]
    pub fn store_answers(&self, span: u64) -> bool {
        self.store_ok.get() + span >= self.now()
    }

    /// Takes note of an answer of the store.
    pub fn store_answered(&self) {
        self.store_ok.set(self.now());
    }
}

/// The time of day in Unix milliseconds.
#[must_use]
pub fn unix() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

fn shared(settings: settings::Cell) -> Result<Shared, Error> {
    let zone: ids::ZoneId = settings
        .zone
        .parse()
        .map_err(|e| Error::Settings(format!("/zone: {e}")))?;
    let link = |address: std::net::SocketAddr| Link::new(&address.to_string(), &zone, IDLE);
    Ok(Shared {
        store: link(settings.store),
        waits: link(settings.store),
        policy: settings.policy.map(link),
        workers: Links::default(),
        peers: Links::default(),
        catalog: RefCell::new(None),
        seat: RefCell::new(watch::Seat::default()),
        owner: RefCell::new(None),
        beginning: Cell::new(false),
        changed: Notify::new(),
        metrics: metrics::Metrics::new(),
        stopping: Cell::new(false),
        closing: Notify::new(),
        closed: Cell::new(false),
        active: Cell::new(0),
        store_ok: Cell::new(0),
        life: rand::random::<u64>() >> 12,
        started: Instant::now(),
        settings,
        zone,
    })
}

/// Serves until the process is asked to stop.
///
/// # Errors
///
/// Fails when an address cannot be listened on.
pub async fn serve_until_stopped(settings: settings::Cell) -> Result<(), Error> {
    let shared = Rc::new(shared(settings)?);
    let cfg = &shared.settings;
    info!(instance = cfg.instance.as_str(), zone = cfg.zone.as_str(), life = shared.life, store:% = cfg.store; "started");
    server::listen(&shared, cfg.front, server::Face::Callers).await?;
    server::listen(&shared, cfg.ready, server::Face::Ready).await?;
    server::listen(&shared, cfg.peer, server::Face::Peers).await?;
    if let Some(admin) = cfg.admin {
        server::listen(&shared, admin, server::Face::Admin).await?;
    }
    actix_rt::spawn(follow::catalog(shared.clone()));
    actix_rt::spawn(watch::run(shared.clone()));
    actix_rt::spawn(reload(shared.clone()));
    program::shutdown_signal()
        .await
        .map_err(|e| Error::Io("signals".to_owned(), e))?;
    stop(&shared).await;
    Ok(())
}

/// Checks the settings again on SIGHUP. Addresses and names of a running process never change;
/// what is new is in force from the next start.
async fn reload(shared: Rc<Shared>) {
    use tokio::signal::unix::{
        SignalKind,
        signal, //
    };
    let Ok(mut hup) = signal(SignalKind::hangup()) else {
        log::error!("SIGHUP cannot be watched");
        return;
    };
    while hup.recv().await.is_some() {
        match boot::load(&boot::path()) {
            Ok(fresh) => info!(changed = fresh != shared.settings; "settings read again"),
            Err(findings) => log::error!("settings kept, the file has faults: {findings}"),
        }
    }
}

/// Serves on for most of the time to stop, gives ownership up, and closes the connections.
async fn stop(shared: &Rc<Shared>) {
    let begun = Instant::now();
    let grace = shared.settings.grace;
    shared.stopping.set(true);
    let owner = shared.owner.borrow().is_some();
    info!(owner, active = shared.active.get(); "asked to stop");
    time::sleep(grace.mul_f64(SERVE_SHARE)).await;
    shared.closed.set(true);
    shared.closing.notify_waiters();
    let last = grace.saturating_sub(LAST_MOMENT);
    while shared.active.get() > 0 && begun.elapsed() < last {
        time::sleep(DRAIN_LOOK).await;
    }
    // Closed connections still carry the last answers.
    time::sleep(DRAIN_LOOK).await;
    info!(active = shared.active.get(), took = begun.elapsed().as_millis() as u64; "stopped");
}

/// Name of this instance's record, if it owned the cell.
#[must_use]
pub fn record(shared: &Shared, term: u64) -> election::Owner {
    election::Owner {
        term,
        instance: shared.settings.instance.clone(),
        address: compact_str::format_compact!("{}", shared.settings.peer),
        life: shared.life,
    }
}
