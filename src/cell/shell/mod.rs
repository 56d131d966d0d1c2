//! Runtime of an instance: I/O with callers, other instances, the store and the workers.

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
    remote::{
        link::Link,
        uplink::Uplink, //
    }, //
};

use super::{
    election,
    model,
    settings, //
};

pub mod body;
pub mod catalog;
pub mod claim;
pub mod clock;
pub mod commit;
pub mod connection;
pub mod dispatch;
pub mod frontend;
pub mod gate;
pub mod guard;
pub mod handler;
pub mod intake;
pub mod metrics;
pub mod organisations;
pub mod owner;
pub mod peer;
pub mod registry;
pub mod relay;
pub mod roster;
pub mod server;
pub mod stalls;
pub mod watch;

/// How long idle connections to the store, to workers and to instances are kept: less than the
/// usual idle timeout of servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(12);

/// How long idle connections to workers are kept while workers use more than half of the
/// connections that the process may open.
const CROWDED_IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which idle connections are closed.
const CLOSE_INTERVAL: Duration = Duration::from_millis(250);

/// Share of the shutdown grace period during which callers are still served.
const SERVE_SHARE: f64 = 0.75;

/// Time between the end of the process by itself and the end of the grace period, when it would be
/// killed.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// Interval at which requests in progress are counted during shutdown.
const DRAIN_POLL: Duration = Duration::from_millis(50);

quick_error! {
    /// Why an instance cannot run.
    #[derive(Debug)]
    pub enum Error {
        /// An address cannot be bound, or signals cannot be received.
        Io(context: String, cause: std::io::Error) {
            display("{}: {}", context, cause)
        }
        /// The settings contain an invalid value.
        Settings(detail: String) {
            display("{}", detail)
        }
    }
}

/// Links by address, created on first use.
pub struct Links {
    zone: ids::ZoneId,
    uplink: Rc<Uplink>,
    list: RefCell<Vec<(CompactString, Rc<Link>)>>,
}

impl Links {
    fn new(zone: &ids::ZoneId, uplink: &Rc<Uplink>) -> Self {
        Self {
            zone: zone.clone(),
            uplink: uplink.clone(),
            list: RefCell::default(),
        }
    }

    /// Returns the link to `address`.
    pub fn get(&self, address: &str) -> Rc<Link> {
        let mut list = self.list.borrow_mut();
        let at = list.binary_search_by(|(known, _)| known.as_str().cmp(address));
        let at = at.unwrap_or_else(|at| {
            list.insert(
                at,
                (
                    address.into(),
                    Rc::new(Link::new(address, &self.zone, IDLE_TIMEOUT).over(&self.uplink)),
                ),
            );
            at
        });
        list[at].1.clone()
    }
}

impl Links {
    /// Closes connections that are idle, and returns the number of addresses with open ones.
    ///
    /// Handles a new owner of thousands of workers, all of which it must ask once: connections that
    /// stay open would leave no descriptors for heartbeats and callers.
    fn close_idle(&self, budget: usize) -> usize {
        let list = self.list.borrow();
        let open = list.iter().filter(|(_, link)| link.is_open()).count();
        let span = if open * 2 > budget {
            CROWDED_IDLE_TIMEOUT
        } else {
            IDLE_TIMEOUT
        };
        list.iter().for_each(|(_, link)| link.close_idle(span));
        open
    }
}

/// Closes idle connections until the process ends.
async fn close_idle(shared: Rc<Shared>) {
    let budget = shared.settings.max_connections;
    loop {
        time::sleep(CLOSE_INTERVAL).await;
        shared.peers.close_idle(budget);
        let open = shared.workers.close_idle(budget);
        shared.metrics.open_workers.set(open as i64);
    }
}

/// Notes until the process ends that it runs.
async fn watch_stalls(shared: Rc<Shared>) {
    let mut ticks = time::interval(Duration::from_millis(stalls::TICK_MS));
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if let Some(length) = shared.stalls.tick(shared.now()) {
            info!(length; "process stood still");
        }
    }
}

/// State shared by all tasks of the process.
pub struct Shared {
    /// Settings of the instance.
    pub settings: settings::Cell,
    /// Availability zone of the instance, in the type that links take.
    pub zone: ids::ZoneId,
    /// The instance's own network link.
    pub uplink: Rc<Uplink>,
    /// Connections to the store for short calls.
    pub store: Link,
    /// Connections to the store for long polls.
    pub store_polls: Link,
    /// Connections to workers.
    pub workers: Links,
    /// Connections to other instances.
    pub peers: Links,
    /// Connections to the placement policy, if there is one.
    pub policy: Option<Link>,
    /// The configuration in force.
    pub catalog: RefCell<Option<Rc<model::Catalog>>>,
    /// Local time at which the newest read of the store was sent after which the configuration in
    /// force was the newest, in milliseconds; 0 for none.
    pub catalog_proven_at: Cell<u64>,
    /// What this instance knows about the owner.
    pub ownership: RefCell<watch::Ownership>,
    /// State of the owner, if this instance owns the cell.
    pub owner: RefCell<Option<Rc<owner::Owner>>>,
    /// Whether this instance has won ownership and is still loading the state for its term.
    pub starting_term: Cell<bool>,
    /// Notified when the known owner changes.
    pub owner_changed: Notify,
    /// Specifications of the jobs that this instance received from callers.
    pub specs: relay::Specs,
    /// Limits on the clients of each address.
    pub guards: guard::Guards,
    /// Metrics of the process.
    pub metrics: metrics::Metrics,
    /// Whether the process has received a stop signal.
    pub stopping: Cell<bool>,
    /// Notified when connections are to be closed.
    pub closing: Notify,
    /// Whether connections are to be closed.
    pub closed: Cell<bool>,
    /// Number of callers' requests in progress.
    pub active: Cell<usize>,
    /// Local time of the store's last response, in milliseconds.
    pub store_answered_at: Cell<u64>,
    /// Times in which the process stood still.
    pub stalls: stalls::Stalls,
    /// Random number that identifies this incarnation of the instance.
    pub incarnation: u64,
    /// Number of the last submission of a caller.
    submissions: Cell<u64>,
    clock: clock::Clock,
}

impl Shared {
    /// Returns the local time in milliseconds.
    #[must_use]
    pub fn now(&self) -> u64 {
        self.clock.now()
    }

    /// Returns the number of the next submission of a caller, from 1 on.
    pub(super) fn next_submission(&self) -> u64 {
        let number = self.submissions.get() + 1;
        self.submissions.set(number);
        number
    }

    /// Whether the store responded within the last `span` milliseconds.
    #[must_use]
    pub fn store_is_reachable(&self, span: u64) -> bool {
        self.store_answered_at.get() + span >= self.now()
    }

    /// Ends the term of this instance if another instance knows a later one.
    pub fn yield_to(&self, term: u64) {
        if let Some(owner) = self.owner.borrow().as_ref()
            && term > owner.term()
        {
            owner.end("replaced: another instance knows a later term");
        }
    }

    /// Time since the configuration in force was known to be the newest, in milliseconds.
    #[must_use]
    pub fn catalog_age(&self) -> u64 {
        self.now().saturating_sub(self.catalog_proven_at.get())
    }

    /// Records that the store has responded now.
    pub fn note_store_answer(&self) {
        self.store_answered_at.set(self.now());
    }
}

/// Returns the wall-clock time in Unix milliseconds.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

fn shared(settings: settings::Cell) -> Result<Shared, Error> {
    let zone: ids::ZoneId = settings
        .zone
        .parse()
        .map_err(|e| Error::Settings(format!("/zone: {e}")))?;
    let uplink = Rc::new(Uplink::new(settings.link_bytes()));
    let metrics = metrics::Metrics::new(&uplink);
    let link = |address: std::net::SocketAddr| {
        Link::new(&address.to_string(), &zone, IDLE_TIMEOUT).over(&uplink)
    };
    Ok(Shared {
        store: link(settings.store),
        store_polls: link(settings.store),
        policy: settings.policy.map(link),
        workers: Links::new(&zone, &uplink),
        peers: Links::new(&zone, &uplink),
        catalog: RefCell::new(None),
        catalog_proven_at: Cell::new(0),
        ownership: RefCell::new(watch::Ownership::default()),
        owner: RefCell::new(None),
        starting_term: Cell::new(false),
        owner_changed: Notify::new(),
        specs: relay::Specs::new(settings.limits.spec_bytes),
        guards: guard::Guards::new(&settings.limits, &metrics.limits),
        metrics,
        stopping: Cell::new(false),
        closing: Notify::new(),
        closed: Cell::new(false),
        active: Cell::new(0),
        store_answered_at: Cell::new(0),
        stalls: stalls::Stalls::default(),
        incarnation: rand::random::<u64>() >> 12,
        submissions: Cell::new(0),
        clock: clock::Clock::start(),
        uplink,
        settings,
        zone,
    })
}

/// Runs the instance until the process receives a stop signal.
///
/// # Errors
///
/// Fails if the settings are invalid, an address cannot be bound or signals cannot be received.
pub async fn serve_until_stopped(settings: settings::Cell) -> Result<(), Error> {
    let shared = Rc::new(shared(settings)?);
    let cfg = &shared.settings;
    info!(instance = cfg.instance.as_str(), zone = cfg.zone.as_str(), incarnation = shared.incarnation, store:% = cfg.store; "started");
    server::listen(&shared, cfg.front, server::Endpoint::Callers).await?;
    server::listen(&shared, cfg.ready, server::Endpoint::Ready).await?;
    server::listen(&shared, cfg.peer, server::Endpoint::Peers).await?;
    if let Some(admin) = cfg.admin {
        server::listen(&shared, admin, server::Endpoint::Admin).await?;
    }
    actix_rt::spawn(catalog::follow(shared.clone()));
    actix_rt::spawn(watch::run(shared.clone()));
    actix_rt::spawn(close_idle(shared.clone()));
    actix_rt::spawn(watch_stalls(shared.clone()));
    actix_rt::spawn(guard::run(shared.clone()));
    actix_rt::spawn(reload(shared.clone()));
    program::shutdown_signal()
        .await
        .map_err(|e| Error::Io("signals".to_owned(), e))?;
    stop(&shared).await;
    Ok(())
}

/// Checks the settings file on SIGHUP. The settings of a running process never change; a new file
/// takes effect at the next start.
async fn reload(shared: Rc<Shared>) {
    use tokio::signal::unix::{
        SignalKind,
        signal, //
    };
    let Ok(mut hup) = signal(SignalKind::hangup()) else {
        log::error!("cannot install the SIGHUP handler");
        return;
    };
    while hup.recv().await.is_some() {
        match boot::load(&boot::path()) {
            Ok(new) => info!(changed = new != shared.settings; "settings file checked"),
            Err(findings) => log::error!("settings file is invalid: {findings}"),
        }
    }
}

/// Shuts down: serves callers for most of the grace period while another instance takes over, then
/// closes the connections.
async fn stop(shared: &Rc<Shared>) {
    let begun = Instant::now();
    let grace = shared.settings.shutdown_grace;
    shared.stopping.set(true);
    let owner = shared.owner.borrow().is_some();
    info!(owner, active = shared.active.get(); "shutting down");
    time::sleep(grace.mul_f64(SERVE_SHARE)).await;
    shared.closed.set(true);
    shared.closing.notify_waiters();
    let deadline = grace.saturating_sub(EXIT_MARGIN);
    while shared.active.get() > 0 && begun.elapsed() < deadline {
        time::sleep(DRAIN_POLL).await;
    }
    // Connections that are being closed still deliver their last responses.
    time::sleep(DRAIN_POLL).await;
    info!(active = shared.active.get(), took = begun.elapsed().as_millis() as u64; "stopped");
}

/// Builds the record that names this instance as the owner in `term`.
#[must_use]
pub fn owner_record(shared: &Shared, term: u64) -> election::Owner {
    election::Owner {
        term,
        instance: shared.settings.instance.clone(),
        address: compact_str::format_compact!("{}", shared.settings.peer),
        incarnation: shared.incarnation,
    }
}
