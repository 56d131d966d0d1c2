//! Runs the engine while this instance owns the cell: executes its actions and feeds it events.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    time::Duration, //
};

use compact_str::CompactString;
use log::{
    info,
    warn, //
};
use tokio::{
    sync::{
        Notify,
        watch, //
    },
    time, //
};

use crate::{
    cell::{
        election,
        engine::{
            Action,
            Engine,
            Times,
            commands::Address, //
        },
        refusals::Refusals, //
    },
    platform::store,
    remote::{
        link::Link,
        uplink, //
    }, //
};

use super::{
    Shared,
    commit,
    dispatch,
    organisations,
    peer::{
        Heartbeat,
        Member, //
    },
    registry,
    roster::{
        self,
        Roster, //
    },
    unix_ms, //
};

/// Key of the record that names the owner.
pub const RECORD_KEY: &str = "owner";

/// Interval at which the engine handles what is due.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Interval of the status lines in the log.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which events are collected before waiting steps are scheduled.
const SCHEDULE_DELAY: Duration = Duration::from_millis(4);

/// Time that the owner's link may need for the starts of one placement pass. What waits longer is
/// placed later, in the order that holds then.
const PLACE_AHEAD: Duration = Duration::from_millis(100);

/// Bandwidth below which the segments of finished jobs would take a notable part of the owner's link,
/// in kilobits per second.
const SLOW_LINK_KBPS: u32 = 20_000;

/// Timeout for loading a whole topic when a term begins; a slow store takes a few hundred
/// milliseconds.
pub(super) const LOAD_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time for which a batch may wait to be stored before another instance should take over, in
/// milliseconds.
const STEP_DOWN_MS: u64 = 700;

/// Age of a term from which a stronger instance may take over, in milliseconds; recovery takes
/// precedence.
const MIN_TERM_MS: u64 = 2_000;

/// Strength from which another instance should take over, as a multiple of the owner's.
const TAKEOVER_RATIO: f64 = 1.5;

/// State that is read from the store before a term begins.
#[derive(Debug, Default)]
pub struct Preloaded {
    /// Local time at which the reading began, in milliseconds.
    asked_at: u64,
    jobs: store::Snapshot,
    workers: store::Snapshot,
}

impl Preloaded {
    /// Reads the stored jobs and the registrations of workers.
    ///
    /// # Errors
    ///
    /// Returns why the store could not be read.
    pub async fn read(shared: &Shared) -> Result<Self, store::Error> {
        let asked_at = shared.now();
        let jobs = store::snapshot(&shared.store, store::JOBS, LOAD_TIMEOUT);
        let workers = store::snapshot(&shared.store, store::REGISTRATIONS, LOAD_TIMEOUT);
        let (jobs, workers) = futures_util::future::join(jobs, workers).await;
        Ok(Self {
            asked_at,
            jobs: jobs?,
            workers: workers?,
        })
    }
}

/// State of the owner of the cell during one term.
pub struct Owner {
    pub(super) shared: Rc<Shared>,
    /// Engine that makes the scheduling decisions.
    pub engine: RefCell<Engine>,
    /// Number of the newest batch that is stored.
    pub(super) durable: watch::Sender<u64>,
    /// Notified when there may be changes to commit.
    pub(super) commit: Notify,
    /// Notified when waiting steps may have become schedulable.
    schedule_wake: Notify,
    over: watch::Sender<bool>,
    roster: RefCell<Roster>,
    /// Local time since which a batch waits to be stored, in milliseconds; 0 if none waits.
    pub(super) waiting_since: Cell<u64>,
    pub(super) term: u64,
    /// Local time at which the term began, in milliseconds.
    began: u64,
    /// Submissions that were refused in this term.
    pub(super) refusals: RefCell<Refusals>,
    /// Version of the configuration whose organisations the engine has.
    configured: Cell<Option<u64>>,
}

impl Owner {
    /// Begins a term: fences earlier owners at the store and reads what they wrote after
    /// `preloaded` was read.
    ///
    /// # Errors
    ///
    /// Returns why the store rejected the term or could not be read.
    pub async fn begin(
        shared: &Rc<Shared>,
        term: u64,
        predecessor: Option<election::Owner>,
        preloaded: Preloaded,
    ) -> Result<Rc<Self>, store::Error> {
        let began = shared.now();
        let fence = store::Condition::Epoch(term, 0);
        let fenced_at = shared.now();
        // A term that the store has seen before is that of another owner, who may still act in it.
        store::append(
            &shared.store,
            store::JOBS,
            fence,
            bytes::Bytes::new(),
            LOAD_TIMEOUT,
        )
        .await?;
        let sequence = 1;
        let Preloaded {
            asked_at,
            jobs,
            workers,
        } = preloaded;
        let jobs = catch_up(shared, jobs).await?;
        let cfg = &shared.settings;
        let times = Times {
            lease: cfg.max_lease.as_millis() as u64,
            gang: cfg.gang_timeout.as_millis() as u64,
            stop: cfg.stop_timeout.as_millis() as u64,
            keep: cfg.retention.as_millis() as u64,
            contact: cfg.contact.as_millis() as u64,
        };
        let mut engine = Engine::new(term, times);
        engine.set_memory(cfg.limits.job_bytes, cfg.max_append);
        if cfg.link_kbps.is_some_and(|kbps| kbps < SLOW_LINK_KBPS) {
            engine.shorten_segments();
        }
        engine.limit_configuration_age(cfg.access.propagation);
        engine.tolerate_overage(cfg.cap_overage);
        let configured = Cell::new(None);
        organisations::update(shared, &mut engine, &configured);
        if cfg.sharing {
            engine.watch_neighbours();
        }
        let now = shared.now();
        engine.set_wall_clock(unix_ms(), now);
        engine.confirm_ownership(fenced_at);
        engine.proxies.record_heartbeat(&cfg.instance, u64::MAX / 2);
        let values = jobs
            .records
            .iter()
            .map(|r| (r.key.as_str(), r.value.as_deref()));
        engine.load(values, now);
        let predecessor = predecessor.as_ref().map(|o| (o.term, o.instance.as_str()));
        engine.succeed(&cfg.instance, predecessor, now);
        for record in &workers.records {
            registry::apply(&mut engine, record);
        }
        engine.registrations_read(asked_at);
        info!(term, took = now - began, records = jobs.records.len(), sequence; "term begins");
        let owner = Rc::new(Self {
            shared: shared.clone(),
            engine: RefCell::new(engine),
            durable: watch::Sender::new(0),
            commit: Notify::new(),
            schedule_wake: Notify::new(),
            over: watch::Sender::new(false),
            roster: RefCell::new(Roster::new(term)),
            waiting_since: Cell::new(0),
            term,
            began: now,
            refusals: RefCell::default(),
            configured,
        });
        shared.metrics.terms.inc();
        actix_rt::spawn(until_over(owner.clone(), tick_loop(owner.clone())));
        actix_rt::spawn(until_over(owner.clone(), schedule_loop(owner.clone())));
        actix_rt::spawn(until_over(owner.clone(), status_loop(owner.clone())));
        actix_rt::spawn(until_over(
            owner.clone(),
            registry::follow(owner.clone(), workers.end),
        ));
        actix_rt::spawn(until_over(
            owner.clone(),
            commit::run(shared.clone(), owner.clone(), sequence),
        ));
        owner.run_actions();
        Ok(owner)
    }

    /// Returns the term.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Waits until the term is over.
    pub async fn ended(&self) {
        let mut over = self.over.subscribe();
        // The sender lives as long as the owner.
        let _ = over.wait_for(|over| *over).await;
    }

    /// Ends the term; `reason` is logged.
    pub fn end(&self, reason: &str) {
        if !self.over.send_replace(true) {
            self.shared.metrics.clear_neighbours();
            let proof = self.now().saturating_sub(self.engine.borrow().proven_at);
            warn!(term = self.term, reason, proof; "term ends");
            self.shared.metrics.organisations.clear();
        }
    }

    pub(super) fn is_over(&self) -> bool {
        *self.over.borrow()
    }

    /// Whether another instance should take over: a batch has waited too long to be stored, or a
    /// much stronger instance sends heartbeats.
    #[must_use]
    pub fn should_step_down(&self) -> bool {
        let now = self.now();
        let settled = now > self.began + MIN_TERM_MS && self.engine.borrow().is_reconciled();
        // The store may answer appends of this instance and not its reads.
        let uninformed = settled && !self.engine.borrow().is_list_current(now);
        self.batch_waits(STEP_DOWN_MS)
            || uninformed
            || settled
                && self
                    .roster
                    .borrow_mut()
                    .members(now)
                    .first()
                    .is_some_and(|m| self.is_much_stronger(m))
    }

    /// Whether the strength of `other` exceeds [`TAKEOVER_RATIO`] times that of this instance.
    fn is_much_stronger(&self, other: &Member) -> bool {
        f64::from(other.strength) > f64::from(self.shared.settings.strength()) * TAKEOVER_RATIO
    }

    /// Time for which a batch has waited to be stored, in milliseconds; 0 if none waits.
    pub(super) fn store_delay(&self) -> u64 {
        match self.waiting_since.get() {
            0 => 0,
            since => self.shared.now().saturating_sub(since),
        }
    }

    /// Whether a batch has waited to be stored for longer than `span` milliseconds.
    pub(super) fn batch_waits(&self, span: u64) -> bool {
        let since = self.waiting_since.get();
        since > 0 && self.shared.now() > since + span
    }

    /// Records a heartbeat of another instance.
    pub fn heard(&self, beat: &Heartbeat, now: u64) {
        self.roster.borrow_mut().record(beat, now);
        let mut engine = self.engine.borrow_mut();
        engine.proxies.record_heartbeat(&beat.instance, now);
        // A heartbeat of an earlier term may be older than a term of the instance that sent it.
        if beat.term >= self.term {
            engine.former_owner_gone(&beat.instance, now);
        }
    }

    /// Returns the part of the roster for `instance`, which has version `known`.
    #[must_use]
    pub fn excerpt(&self, instance: &str, known: u64, now: u64) -> roster::Excerpt {
        self.roster.borrow_mut().excerpt(instance, known, now)
    }

    /// Returns the address of another instance.
    pub(super) fn address(&self, instance: &str) -> Option<CompactString> {
        self.roster.borrow().address(instance)
    }

    /// Executes the pending actions of the engine.
    pub(super) fn run_actions(self: &Rc<Self>) {
        let actions = std::mem::take(&mut self.engine.borrow_mut().actions);
        for action in actions {
            let owner = self.clone();
            match action {
                Action::Start(run) => spawn(dispatch::start(owner, run)),
                Action::Stop(run) => spawn(dispatch::stop(owner, run)),
                Action::Poll(worker) => spawn(dispatch::request_report(owner, worker)),
                Action::Query(question) => spawn(dispatch::ask_policy(owner, question)),
            }
        }
        let (stale, deposed) = {
            let engine = self.engine.borrow();
            (engine.pass_needed, engine.deposed)
        };
        if deposed {
            self.end("fenced: a worker has seen a higher token");
        }
        if stale {
            self.schedule_wake.notify_one();
        }
        self.commit.notify_one();
    }

    pub(super) fn link(&self, to: &Address) -> Rc<Link> {
        self.shared.workers.get(&to.address)
    }

    pub(super) fn now(&self) -> u64 {
        self.shared.now()
    }
}

/// Reads the records that were appended after the jobs were loaded; earlier owners are fenced and
/// append no more.
async fn catch_up(
    shared: &Shared,
    mut jobs: store::Snapshot,
) -> Result<store::Snapshot, store::Error> {
    loop {
        let tail = store::read(
            &shared.store,
            store::JOBS,
            jobs.end,
            Duration::ZERO,
            LOAD_TIMEOUT,
        )
        .await;
        match tail {
            Ok(tail) => {
                jobs.end = tail.next;
                jobs.records.extend(tail.records);
                if tail.next >= tail.end {
                    return Ok(jobs);
                }
            }
            Err(store::Error::Expired | store::Error::Refused(404)) => {
                return store::snapshot(&shared.store, store::JOBS, LOAD_TIMEOUT).await;
            }
            Err(e) => return Err(e),
        }
    }
}

fn spawn(task: impl Future<Output = ()> + 'static) {
    actix_rt::spawn(task);
}

/// Runs one of the owner's tasks until the term is over.
async fn until_over(owner: Rc<Owner>, part: impl Future<Output = ()>) {
    tokio::select! {
        () = part => {}
        () = owner.ended() => {}
    }
}

/// Lets the engine handle what is due at each tick.
async fn tick_loop(owner: Rc<Owner>) {
    let mut ticks = time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        {
            let mut engine = owner.engine.borrow_mut();
            let now = owner.now();
            engine.set_wall_clock(unix_ms(), now);
            organisations::update(&owner.shared, &mut engine, &owner.configured);
            engine.tick(now);
            let metrics = &owner.shared.metrics;
            for loss in engine.take_losses() {
                metrics.count_loss(loss);
            }
            for evidence in engine.take_evidence() {
                metrics.count_crash(evidence);
            }
            for sign in engine.take_signs() {
                metrics.count_restart(sign);
            }
            metrics.record_neighbours(&mut engine.neighbours);
            metrics.released_suspects.inc_by(engine.take_released());
            metrics.waiting_trials.set(engine.waiting_trials() as i64);
            metrics.careful_queues.set(engine.careful_queues() as i64);
            metrics.silent_workers.set(engine.silent_workers() as i64);
            metrics
                .unanswered_workers
                .set(engine.unanswered_workers() as i64);
            metrics
                .cordoned_workers
                .set(engine.cordoned_workers() as i64);
        }
        owner.run_actions();
    }
}

/// Logs the engine's status at regular intervals.
async fn status_loop(owner: Rc<Owner>) {
    let uplink = &owner.shared.uplink;
    let mut before = uplink.volumes();
    loop {
        time::sleep(STATUS_INTERVAL).await;
        owner.engine.borrow().log_status(owner.now());
        let stats = owner.engine.borrow_mut().take_organisation_stats();
        owner.shared.metrics.organisations.set(&stats);
        let volumes = uplink.volumes();
        uplink::log_traffic(&before, &volumes);
        before = volumes;
    }
}

/// Schedules waiting steps whenever resources or steps may have become available.
async fn schedule_loop(owner: Rc<Owner>) {
    loop {
        owner.schedule_wake.notified().await;
        time::sleep(SCHEDULE_DELAY).await;
        let uplink = &owner.shared.uplink;
        while uplink.backlog() > PLACE_AHEAD / 2 {
            time::sleep(SCHEDULE_DELAY).await;
        }
        let now = owner.now();
        let mut engine = owner.engine.borrow_mut();
        engine.start_budget = uplink.room(PLACE_AHEAD);
        organisations::update(&owner.shared, &mut engine, &owner.configured);
        engine.schedule(now);
        drop(engine);
        owner.run_actions();
    }
}

impl Owner {
    /// Continues after a batch was stored.
    pub(super) fn batch_stored(self: &Rc<Self>) {
        self.run_actions();
    }
}
