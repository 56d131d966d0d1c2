//! The actor that keeps this instance's copy of the decision state in step with the log.
//!
//! It tails the log, applies every entry in order, gathers records into group commits and answers
//! each with what it did. While the log is out it takes committed entries from peers. The order of
//! the log always decides; what a peer sends is only a faster or the sole way to the same entries.

use std::{
    rc::Rc,
    sync::{
        Arc,
        PoisonError,
        RwLock,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use actix::{
    Actor,
    ActorFutureExt,
    Addr,
    AsyncContext,
    Context,
    Recipient,
    SpawnHandle,
    WrapFuture, //
};
use tokio::{
    sync::oneshot,
    time::Instant, //
};

use crate::{
    configs,
    ids::{
        ChangeId,
        Offset, //
    },
    ledger::{
        effect::{
            Applied,
            Effect, //
        },
        queue::Queue,
        record,
        recovery::Recovery,
        ring::Ring,
        snapshots,
        state::State, //
    },
    platform,
    settings,
    wire::log, //
};

mod append;
mod fresh;
mod messages;

pub use messages::{
    Ahead,
    Append,
    Feed,
    GetStatus,
    Status,
    Subscribe,
    Tail,
    Unavailable, //
};

/// How often waiting parties are checked for their deadlines.
const TICK: Duration = Duration::from_millis(20);

/// A running replica.
#[derive(Debug, Clone)]
pub struct Handle {
    /// The state, for reading alone.
    pub state: Arc<RwLock<State>>,
    /// The actor.
    pub addr: Addr<Replica>,
    current: Arc<AtomicBool>,
}

impl Handle {
    /// Whether the copy has caught up since its start. Before that it shows versions that were
    /// replaced long ago, and nothing may be decided by it.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.current.load(Ordering::Acquire)
    }

    /// Looks at the state; the look must be short, because applying entries waits for it.
    pub fn read<T>(&self, look: impl FnOnce(&State) -> T) -> T {
        look(&self.state.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Writes records in one append and waits until they are applied here.
    ///
    /// # Errors
    ///
    /// Fails when that did not happen within `limit`, or the replica has ended.
    pub async fn append(
        &self,
        records: Vec<record::Record>,
        limit: Duration,
    ) -> Result<Vec<Effect>, Unavailable> {
        let deadline = Instant::now() + limit;
        let append = Append { records, deadline };
        let answer = self.addr.send(append).await;
        answer.unwrap_or(Err(Unavailable::Pending))
    }
}

/// The actor. It lives on the thread that started it.
pub struct Replica {
    cfg: configs::log::Log,
    log: Rc<platform::log::Client>,
    state: Arc<RwLock<State>>,
    loaded: bool,
    recovery: Recovery,
    ring: Ring,
    queue: Queue<oneshot::Sender<Result<Vec<Effect>, Unavailable>>>,
    /// The batch that is being appended, also between two attempts.
    appending: Option<ChangeId>,
    gather: Option<SpawnHandle>,
    failures: u32,
    contact: Instant,
    fresh: fresh::Fresh,
    snapshots: snapshots::Schedule,
    subscribers: Vec<Recipient<Applied>>,
}

impl Replica {
    /// Starts a replica on this thread's actor system.
    #[must_use]
    pub fn start(entry: &settings::Entry, by: record::Author) -> Handle {
        let state = Arc::new(RwLock::new(State::new()));
        let fresh = fresh::Fresh::new();
        let current = fresh.flag();
        let cfg = entry.log.clone();
        let replica = Self {
            log: Rc::new(platform::log::Client::new(
                entry.platform,
                &entry.zone,
                cfg.clone(),
            )),
            state: state.clone(),
            loaded: false,
            recovery: Recovery::new(),
            ring: Ring::default(),
            queue: Queue::new(by.clone(), usize::try_from(cfg.batch).unwrap_or(1)),
            appending: None,
            gather: None,
            failures: 0,
            contact: Instant::now(),
            fresh,
            snapshots: snapshots::Schedule::new(&by, cfg.clone()),
            subscribers: Vec::new(),
            cfg,
        };
        Handle {
            state,
            addr: Actor::start(replica),
            current,
        }
    }

    /// The first offset that is wanted from the log.
    fn next(&self) -> Offset {
        match self.recovery.next() {
            Some(next) if !self.loaded => next,
            _ => self.read(State::next),
        }
    }

    fn read<T>(&self, look: impl FnOnce(&State) -> T) -> T {
        look(&self.state.read().unwrap_or_else(PoisonError::into_inner))
    }

    fn poll(&mut self, ctx: &mut Context<Self>) {
        let log = self.log.clone();
        let from = self.next();
        let failures = self.failures;
        let read = async move { log.read(from, failures).await };
        ctx.spawn(read.into_actor(self).map(move |result, actor, ctx| {
            match result {
                Ok(page) => actor.take_page(from, page, ctx),
                Err(e) => actor.take_failure(&e, ctx),
            };
        }));
    }

    fn take_failure(&mut self, e: &platform::link::Error, ctx: &mut Context<Self>) {
        self.failures = self.failures.saturating_add(1);
        if self.failures == 1 {
            ::log::warn!(error:% = e; "cannot read the log");
        }
        let pause = platform::log::backoff(self.cfg.backoff, self.failures);
        ctx.run_later(pause, Self::poll);
    }

    fn take_page(&mut self, from: Offset, page: log::Page, ctx: &mut Context<Self>) {
        if self.failures > 0 {
            ::log::info!(failures = self.failures; "the log answers again");
        }
        self.failures = 0;
        self.contact = Instant::now();
        self.snapshots.kept_from(page.first);
        if page.next < from {
            ::log::error!(next = page.next.0; "the log ends before what was read from it");
            ctx.run_later(self.cfg.poll, Self::poll);
            return;
        }
        self.check_start(from, page.first);
        for entry in page.entries {
            self.take_entry(entry, ctx);
        }
        if self.loaded {
            self.fresh.read(self.read(State::next), page.next);
        }
        self.schedule_snapshot(ctx);
        self.poll(ctx);
    }

    /// Looks whether the copy has caught up with its peers.
    fn review(&mut self) {
        if self.loaded {
            self.fresh.review(self.read(State::next));
        }
    }

    /// Decides whether the log can be replayed from where this copy stands.
    fn check_start(&mut self, from: Offset, first: Offset) {
        let next = self.read(State::next);
        if first > next && self.loaded {
            ::log::warn!(next = next.0, first = first.0; "entries were dropped before they were read");
            self.loaded = false;
            self.recovery = Recovery::new();
        }
        if !self.loaded && first <= next && from == next {
            self.loaded = true;
        }
    }

    fn take_entry(&mut self, entry: log::Entry, ctx: &mut Context<Self>) {
        if self.loaded {
            self.apply(entry, ctx);
            return;
        }
        let Some(state) = self.recovery.push(entry) else {
            return;
        };
        let gathered = std::mem::take(&mut self.recovery);
        self.replace(state, ctx);
        for entry in gathered.entries() {
            self.ring.push(entry.clone());
        }
    }

    fn apply(&mut self, entry: log::Entry, ctx: &mut Context<Self>) {
        if entry.offset != self.read(State::next) {
            return;
        }
        let applied = {
            let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
            state.apply(&entry)
        };
        self.ring.push(entry);
        self.publish(applied, ctx);
    }

    /// Takes over a state that was built elsewhere, if it is ahead of this one.
    fn replace(&mut self, state: State, ctx: &mut Context<Self>) {
        let next = state.next();
        let own = self.read(State::next);
        if next < own || (self.loaded && next == own) {
            return;
        }
        self.recovery = Recovery::new();
        self.ring.clear();
        *self.state.write().unwrap_or_else(PoisonError::into_inner) = state;
        self.loaded = true;
        ::log::info!(next = next.0; "state restored from a snapshot");
        let applied = Applied {
            offset: Offset(next.0.saturating_sub(1)),
            batch: None,
            effects: vec![Effect::Restored { next }],
            origins: vec![0],
        };
        self.publish(applied, ctx);
    }

    fn publish(&mut self, applied: Applied, ctx: &mut Context<Self>) {
        for effect in &applied.effects {
            if let Effect::Skipped(finding) = effect {
                ::log::warn!(offset = applied.offset.0; "{finding}");
            }
        }
        for (reply, effects) in self.queue.applied(&applied) {
            // A party that went away needs no answer.
            let _ = reply.send(Ok(effects));
        }
        self.subscribers.retain(Recipient::connected);
        for subscriber in &self.subscribers {
            subscriber.do_send(applied.clone());
        }
        // A batch that was seen needs no answer: the next one may go.
        self.appending.take_if(|id| !self.queue.open(id));
        self.schedule_append(ctx);
    }
}

impl Actor for Replica {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.run_interval(TICK, |actor, ctx| {
            actor.expire();
            actor.schedule_append(ctx);
            actor.review();
        });
        self.poll(ctx);
    }
}
