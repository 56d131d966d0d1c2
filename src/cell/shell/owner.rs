//! Runs the engine of the owner: carries its actions out and brings it what happens.

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
    debug,
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
        engine::{
            Action,
            Engine,
            Question,
            Taken,
            Times,
            orders::{
                Address,
                Lost, //
            }, //
        },
        job::{
            RunKey,
            WorkerKey, //
        },
        model, //
    },
    platform::{
        roster,
        store,
        worker, //
    },
    remote::link::{
        self,
        Link, //
    }, //
};

use super::{
    Shared,
    commit,
    peer::{
        self,
        Advise,
        Member,
        Outcome,
        Ping,
        Request, //
    },
    unix, //
};

/// Key of the record that names the owner.
pub const RECORD: &str = "owner";

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(25);

/// Time between two lines about how things stand.
const REPORT_EVERY: Duration = Duration::from_secs(1);

/// Time for which events are gathered before waiting steps are looked at.
const GATHER: Duration = Duration::from_millis(4);

/// Limit of an order to a worker: a round trip to another region with room for a busy worker.
const ORDER: Duration = Duration::from_millis(350);

/// Limit of a report beyond its wait.
const REPORT: Duration = Duration::from_millis(500);

/// Time between two reads of the workers' registrations: a fraction of what a drain allows.
const ROSTER: Duration = Duration::from_millis(400);

/// Limit of a read of the workers' registrations.
const ROSTER_LIMIT: Duration = Duration::from_millis(800);

/// Limit of a read of everything when a term begins; a slow store takes some hundred milliseconds.
const LOAD: Duration = Duration::from_millis(2_500);

/// Time without a stored batch, while one is out, after which new work is refused, in milliseconds.
const STORE_LOST: u64 = 900;

/// Age of the store's last answer up to which no other instance can own the cell for long, in
/// milliseconds: shorter than any take-over.
const CONFIDENT: u64 = 700;

/// Seconds after which a caller should come back when the store does not answer. Jobs with time to
/// spare come back later, so that a caller's usual number of tries reaches beyond longer outages.
const STORE_RETRY: (u64, u64) = (1, 2);

/// Objective from which a job has time to spare, in milliseconds: a typical outage of the store.
const SPARE: u64 = 4_500;

/// Time between two looks at whether the store answers, while a job waits for it.
const LOOK: Duration = Duration::from_millis(150);

/// Time without a stored batch after which another instance should take over, in milliseconds.
const STEP_DOWN: u64 = 700;

/// Age of a term from which a stronger instance may take over, in milliseconds: recovery first.
const SETTLED: u64 = 2_000;

/// Processor share of an instance that should take over, as a multiple of the owner's.
const OUTCLASS: f64 = 1.5;

/// The owner of the cell.
pub struct Owner {
    shared: Rc<Shared>,
    /// The decisions.
    pub engine: RefCell<Engine>,
    pub(super) durable: watch::Sender<u64>,
    pub(super) commit: Notify,
    wake: Notify,
    over: watch::Sender<bool>,
    members: RefCell<Vec<Member>>,
    /// Local time since which a batch waits to be stored, in milliseconds; 0 when none does.
    pub(super) waiting: Cell<u64>,
    term: u64,
    /// Local time at which the term began, in milliseconds.
    began: u64,
}

impl Owner {
    /// Begins a term: fences earlier owners at the store and reads what they wrote since `early`
    /// was read.
    ///
    /// # Errors
    ///
    /// Returns why the store did not let it begin.
    pub async fn begin(
        shared: &Rc<Shared>,
        term: u64,
        mut early: store::Newest,
    ) -> Result<Rc<Self>, store::Error> {
        let began = shared.now();
        let fence = store::Guard::Epoch(term, 0);
        let mut sequence = 0;
        match store::append(&shared.store, store::JOBS, fence, bytes::Bytes::new(), LOAD).await {
            Ok(()) => sequence = 1,
            Err(store::Error::Sequence(expected)) => sequence = expected.unwrap_or(sequence),
            Err(e) => return Err(e),
        }
        let tail = store::read(&shared.store, store::JOBS, early.end, Duration::ZERO, LOAD);
        let roster = store::newest(&shared.store, store::ROSTER, LOAD);
        let (tail, workers) = futures_util::future::join(tail, roster).await;
        let workers = workers?;
        match tail {
            Ok(tail) => {
                let (mut next, end) = (tail.next, tail.end);
                early.records.extend(tail.records);
                while next < end {
                    let more =
                        store::read(&shared.store, store::JOBS, next, Duration::ZERO, LOAD).await?;
                    next = more.next;
                    early.records.extend(more.records);
                }
            }
            Err(store::Error::Expired | store::Error::Refused(404)) => {
                early = store::newest(&shared.store, store::JOBS, LOAD).await?;
            }
            Err(e) => return Err(e),
        }
        let jobs = early;
        let cfg = &shared.settings;
        let times = Times {
            lease: cfg.lease.as_millis() as u64,
            gang: cfg.gang.as_millis() as u64,
            stop: cfg.stop.as_millis() as u64,
            keep: cfg.keep.as_millis() as u64,
        };
        let mut engine = Engine::new(term, term, times);
        let now = shared.now();
        engine.set_wall(unix(), now);
        engine.advisers.heard(&cfg.instance, u64::MAX / 2);
        let values = jobs
            .records
            .iter()
            .map(|r| (r.key.as_str(), r.value.as_deref()));
        engine.load(values, now);
        for record in &workers.records {
            apply(&mut engine, record);
        }
        info!(term, took = now - began, records = jobs.records.len(), sequence; "term begins");
        let owner = Rc::new(Self {
            shared: shared.clone(),
            engine: RefCell::new(engine),
            durable: watch::Sender::new(0),
            commit: Notify::new(),
            wake: Notify::new(),
            over: watch::Sender::new(false),
            members: RefCell::new(Vec::new()),
            waiting: Cell::new(0),
            term,
            began: now,
        });
        shared.metrics.terms.inc();
        actix_rt::spawn(until_over(owner.clone(), ticks(owner.clone())));
        actix_rt::spawn(until_over(owner.clone(), passes(owner.clone())));
        actix_rt::spawn(until_over(owner.clone(), reports(owner.clone())));
        actix_rt::spawn(until_over(
            owner.clone(),
            follow_roster(owner.clone(), workers.end),
        ));
        actix_rt::spawn(until_over(
            owner.clone(),
            commit::run(shared.clone(), owner.clone(), sequence),
        ));
        owner.pump();
        Ok(owner)
    }

    /// Its term.
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

    /// Ends the term.
    pub fn end(&self, reason: &str) {
        if !self.over.send_replace(true) {
            warn!(term = self.term, reason; "term ends");
        }
    }

    fn is_over(&self) -> bool {
        *self.over.borrow()
    }

    /// Whether another instance should take over: batches have waited too long, or a much stronger
    /// instance is there.
    #[must_use]
    pub fn steps_down(&self) -> bool {
        let now = self.now();
        let settled = now > self.began + SETTLED && self.engine.borrow().is_settled();
        self.waits(STEP_DOWN)
            || settled
                && self
                    .members(now)
                    .first()
                    .is_some_and(|m| self.outclasses(m))
    }

    fn outclasses(&self, other: &Member) -> bool {
        f64::from(other.strength) > f64::from(self.shared.settings.strength) * OUTCLASS
    }

    fn waits(&self, span: u64) -> bool {
        let since = self.waiting.get();
        since > 0 && self.shared.now() > since + span
    }

    /// Takes a heartbeat in.
    pub fn heard(&self, ping: &Ping, now: u64) {
        let mut members = self.members.borrow_mut();
        let member = Member {
            instance: ping.instance.clone(),
            address: ping.address.clone(),
            strength: ping.strength,
        };
        match members.binary_search_by(|m| m.instance.cmp(&ping.instance)) {
            Ok(at) => members[at] = member,
            Err(at) => members.insert(at, member),
        }
        self.engine.borrow_mut().advisers.heard(&ping.instance, now);
    }

    /// The instances that send heartbeats, the strongest first.
    #[must_use]
    pub fn members(&self, now: u64) -> Vec<Member> {
        let engine = self.engine.borrow();
        let live: Vec<&CompactString> = engine.advisers.live(now).collect();
        let members = self.members.borrow();
        let live = members.iter().filter(|m| live.contains(&&m.instance));
        let mut live: Vec<Member> = live.cloned().collect();
        live.sort_by_key(|m| std::cmp::Reverse(m.strength));
        live
    }

    /// The address of another instance.
    fn address(&self, instance: &str) -> Option<CompactString> {
        let members = self.members.borrow();
        let member = members.iter().find(|m| m.instance == instance)?;
        Some(member.address.clone())
    }

    /// Carries out what the engine wants done.
    fn pump(self: &Rc<Self>) {
        let actions = std::mem::take(&mut self.engine.borrow_mut().actions);
        for action in actions {
            let owner = self.clone();
            match action {
                Action::Start(run) => spawn(start(owner, run)),
                Action::Stop(run) => spawn(stop(owner, run)),
                Action::Hold(worker) => spawn(hold(owner, worker)),
                Action::Ask(question) => spawn(ask(owner, question)),
            }
        }
        let (stale, deposed) = {
            let engine = self.engine.borrow();
            (engine.stale, engine.deposed)
        };
        if deposed {
            self.end("a worker has seen a higher token");
        }
        if stale {
            self.wake.notify_one();
        }
        self.commit.notify_one();
    }

    fn link(&self, to: &Address) -> Rc<Link> {
        self.shared.workers.get(&to.address, &self.shared.zone)
    }

    fn now(&self) -> u64 {
        self.shared.now()
    }
}

fn spawn(task: impl Future<Output = ()> + 'static) {
    actix_rt::spawn(task);
}

/// Runs a part of the owner until its term is over.
async fn until_over(owner: Rc<Owner>, part: impl Future<Output = ()>) {
    tokio::select! {
        () = part => {}
        () = owner.ended() => {}
    }
}

async fn ticks(owner: Rc<Owner>) {
    let mut ticks = time::interval(TICK);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        {
            let mut engine = owner.engine.borrow_mut();
            let now = owner.now();
            engine.set_wall(unix(), now);
            engine.confident = owner.shared.store_answers(CONFIDENT);
            engine.tick(now);
        }
        owner.pump();
    }
}

/// Writes how things stand from time to time.
async fn reports(owner: Rc<Owner>) {
    loop {
        time::sleep(REPORT_EVERY).await;
        owner.engine.borrow().report(owner.now());
    }
}

async fn passes(owner: Rc<Owner>) {
    loop {
        owner.wake.notified().await;
        time::sleep(GATHER).await;
        let now = owner.now();
        owner.engine.borrow_mut().schedule(now);
        owner.pump();
    }
}

fn lost(e: &link::Error) -> Lost {
    match e {
        link::Error::Unreachable => Lost::Unsent,
        _ => Lost::Unknown,
    }
}

async fn start(owner: Rc<Owner>, run: RunKey) {
    let now = owner.now();
    let order = owner.engine.borrow_mut().start_order(run, now);
    let Some(order) = order.filter(|_| !owner.is_over()) else {
        return;
    };
    let link = owner.link(&order.to);
    let start = worker::StartOrder {
        task: &order.task,
        run: order.run,
        spec: &order.spec,
        expires: order.expires,
        token: owner.term,
        saved: &order.saved,
        ticket: &order.ticket,
    };
    owner.shared.metrics.starts.inc();
    let answer = worker::start(&link, &order.to.worker, &start, ORDER).await;
    let answer = answer.map_err(|e| lost(&e));
    let now = owner.now();
    owner.engine.borrow_mut().started(run, answer, now);
    owner.pump();
}

async fn stop(owner: Rc<Owner>, run: RunKey) {
    let now = owner.now();
    let order = owner.engine.borrow_mut().stop_order(run, now);
    let Some(order) = order.filter(|_| !owner.is_over()) else {
        return;
    };
    let link = owner.link(&order.to);
    owner.shared.metrics.stops.inc();
    let answer = worker::stop(
        &link,
        &order.to.worker,
        &order.task,
        order.run,
        owner.term,
        ORDER,
    )
    .await;
    let answer = answer.map_err(|e| lost(&e));
    let now = owner.now();
    owner.engine.borrow_mut().stop_answered(run, answer, now);
    owner.pump();
}

async fn hold(owner: Rc<Owner>, key: WorkerKey) {
    let now = owner.now();
    let order = owner.engine.borrow_mut().hold_order(key, now);
    let Some(order) = order.filter(|_| !owner.is_over()) else {
        return;
    };
    let link = owner.link(&order.to);
    let message = worker::HoldOrder {
        token: owner.term,
        seen: order.seen,
        expires: order.expires,
        wait: order.wait,
    };
    owner.shared.metrics.reports.inc();
    let answer = worker::hold(&link, &order.to.worker, &message, REPORT).await;
    let now = owner.now();
    {
        let mut engine = owner.engine.borrow_mut();
        match answer {
            Ok(Ok(report)) => engine.held(key, order.sent, order.seen, &report, now),
            Ok(Err(reply)) => engine.hold_refused(key, reply, now),
            Err(e) => {
                debug!(worker = order.to.worker.as_str(); "no report: {e}");
                engine.hold_lost(key, now);
            }
        }
    }
    owner.pump();
}

/// Asks the policy through the instance that is free first.
async fn ask(owner: Rc<Owner>, question: Question) {
    let me = &owner.shared.settings.instance;
    let through = Some(&question.through).filter(|i| *i != me);
    let through = through.and_then(|instance| owner.address(instance));
    let message = Advise {
        step: question.name.clone(),
        workers: question.workers.clone(),
        cost: question.cost as u64,
    };
    let answer = match &through {
        None => peer::advise(&owner.shared, &message).await,
        Some(address) => {
            let limit = Duration::from_millis(question.cost as u64) + peer::ADVICE_SLACK * 2;
            peer::send(&owner.shared, address, peer::ADVISE, &message, limit).await
        }
    };
    if let Err(e) = &answer {
        warn!(step = question.name.as_str(), through = question.through.as_str(); "policy not asked: {e}");
    }
    let now = owner.now();
    owner
        .engine
        .borrow_mut()
        .advised(&question, answer.as_deref().ok(), now);
    owner.pump();
}

fn apply(engine: &mut Engine, record: &store::Record) {
    let Some(value) = &record.value else {
        engine.unregister(&record.key);
        return;
    };
    match roster::decode(&record.key, value) {
        Ok(entry) => engine.register(entry),
        Err(e) => debug!(worker = record.key.as_str(); "a registration cannot be used: {e}"),
    }
}

/// Follows the workers' registrations.
async fn follow_roster(owner: Rc<Owner>, end: u64) {
    let shared = owner.shared.clone();
    let mut from = Some(end);
    loop {
        time::sleep(ROSTER).await;
        let read = match from {
            Some(at) => {
                store::read(
                    &shared.store,
                    store::ROSTER,
                    at,
                    Duration::ZERO,
                    ROSTER_LIMIT,
                )
                .await
            }
            None => reread(&owner).await,
        };
        match read {
            Ok(tail) => {
                shared.store_answered();
                from = Some(tail.next);
                let mut engine = owner.engine.borrow_mut();
                tail.records
                    .iter()
                    .for_each(|record| apply(&mut engine, record));
            }
            Err(store::Error::Expired) => from = None,
            Err(e) => debug!("registrations cannot be read: {e}"),
        }
        owner.pump();
    }
}

/// Reads all registrations again; those that are missing are gone.
async fn reread(owner: &Owner) -> Result<store::Tail, store::Error> {
    let newest = store::newest(&owner.shared.store, store::ROSTER, LOAD).await?;
    let known: Vec<CompactString> = {
        let engine = owner.engine.borrow();
        engine
            .books
            .names
            .iter()
            .map(|(id, _)| id.clone())
            .collect()
    };
    let mut records = newest.records;
    let missing: Vec<_> = known
        .into_iter()
        .filter(|id| records.iter().all(|r| r.key != *id))
        .collect();
    records.extend(
        missing
            .into_iter()
            .map(|key| store::Record { key, value: None }),
    );
    Ok(store::Tail {
        records,
        next: newest.end,
        end: newest.end,
    })
}

/// Answers a caller's request.
pub async fn answer(owner: &Rc<Owner>, request: Request) -> Outcome {
    if owner.is_over() {
        return Outcome::Elsewhere;
    }
    match request {
        Request::Submit {
            id,
            queue,
            work,
            patience,
        } => submit(owner, &id, *queue, *work, patience).await,
        Request::State { id } => match owner.engine.borrow().shown(&id) {
            Some(state) => Outcome::State(state),
            None => Outcome::Gone,
        },
        Request::Cancel { id, patience } => {
            let now = owner.now();
            let batch = owner.engine.borrow_mut().cancel(&id, now);
            owner.pump();
            let Some(batch) = batch else {
                return Outcome::Gone;
            };
            stored(owner, batch, patience).await
        }
        Request::Waiting { queue } => Outcome::Waiting(owner.engine.borrow().waiting(&queue)),
    }
}

/// When a refused caller should come back, in seconds.
fn come_back(queue: &model::Queue, work: &model::Submission) -> u64 {
    let longest: u64 = work.steps.iter().map(|step| step.estimate).sum();
    let objective = (longest as f64 * queue.stretch) as u64 + queue.target;
    let (soon, later) = STORE_RETRY;
    if objective < SPARE { soon } else { later }
}

async fn submit(
    owner: &Rc<Owner>,
    id: &str,
    queue: model::Queue,
    work: model::Submission,
    patience: u64,
) -> Outcome {
    let retry = come_back(&queue, &work);
    if owner.waits(STORE_LOST) && !owner.engine.borrow().is_stored(id) {
        // A job that may be on its way to the store is not refused: it may run.
        let pending = owner.engine.borrow().is_known(id);
        info!(job = id, waits = owner.now() - owner.waiting.get(), pending; "not taken: the store does not answer");
        return if pending {
            Outcome::Unknown
        } else {
            Outcome::Refused(retry)
        };
    }
    let now = owner.now();
    let taken = owner.engine.borrow_mut().submit(id, queue, work, now);
    owner.pump();
    match taken {
        Ok(Taken::Known) => Outcome::Accepted,
        Ok(Taken::In(batch)) => taken_in(owner, id, batch, patience, retry).await,
        Err(text) => Outcome::Invalid(text),
    }
}

/// Waits until a new job is stored. While the store does not answer, jobs that were not sent to it
/// are given up at once.
async fn taken_in(owner: &Rc<Owner>, id: &str, batch: u64, patience: u64, retry: u64) -> Outcome {
    let stored = stored(owner, batch, patience);
    let mut stored = std::pin::pin!(stored);
    loop {
        tokio::select! {
            outcome = &mut stored => return outcome,
            () = time::sleep(LOOK) => {}
        }
        if owner.waits(STORE_LOST) && owner.engine.borrow_mut().withdraw(id) {
            info!(job = id, waits = owner.now() - owner.waiting.get(); "given up: the store does not answer");
            return Outcome::Refused(retry);
        }
    }
}

/// Waits until a batch is stored.
async fn stored(owner: &Rc<Owner>, batch: u64, patience: u64) -> Outcome {
    let mut durable = owner.durable.subscribe();
    let stored = durable.wait_for(|durable| *durable >= batch);
    tokio::select! {
        stored = stored => match stored {
            Ok(_) => Outcome::Accepted,
            Err(_) => Outcome::Unknown,
        },
        () = owner.ended() => Outcome::Elsewhere,
        () = time::sleep(Duration::from_millis(patience)) => Outcome::Unknown,
    }
}

impl Owner {
    /// Goes on after a batch was stored.
    pub(super) fn settled(self: &Rc<Self>) {
        self.pump();
    }
}
