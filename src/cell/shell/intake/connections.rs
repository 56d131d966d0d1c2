//! Connections of one address: what each is doing, which are overdue, and which one makes room for a
//! new one.

use slotmap::SlotMap;

use super::{
    ConnectionKey,
    Limit, //
};

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It was accepted, and no head has arrived.
    Opened,
    /// It waits for a further request.
    Idle,
    /// A part of a head has arrived.
    Head,
    /// A body is arriving.
    Body,
    /// A body waits for memory.
    Waiting,
    /// A complete request is being handled.
    Serving,
    /// The client does not take the bytes of an answer.
    Answer,
    /// It is being closed, and what the client still sends is discarded.
    Closing,
}

/// Times within which a client must make progress, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Times {
    /// Time for a head.
    pub head: u64,
    /// Time without a byte of a body.
    pub body: u64,
    /// Time for a whole body.
    pub body_span: u64,
    /// Time without a byte of an answer that is taken.
    pub answer: u64,
    /// Time to close a connection.
    pub closing: u64,
}

/// Time that the HTTP library has for the first head beyond that of the settings, so that it can
/// answer with 408, in milliseconds.
const FIRST_HEAD_MARGIN_MS: u64 = 1_000;

#[derive(Debug, Clone, Copy)]
struct Activity {
    stage: Stage,
    /// Start of the stage.
    began: u64,
    /// Time of the last progress.
    progress_at: u64,
    /// Whether the connection is being closed for another one.
    evicted: bool,
}

impl Activity {
    /// Limit that the client has reached.
    fn overdue(&self, times: &Times, now: u64) -> Option<Limit> {
        let since = |at: u64, span: u64| now >= at.saturating_add(span);
        let (late, limit) = match self.stage {
            Stage::Opened => (
                since(self.began, times.head + FIRST_HEAD_MARGIN_MS),
                Limit::HeadTime,
            ),
            Stage::Head => (since(self.began, times.head), Limit::HeadTime),
            Stage::Body => (
                since(self.progress_at, times.body) || since(self.began, times.body_span),
                Limit::BodyTime,
            ),
            Stage::Answer => (since(self.progress_at, times.answer), Limit::AnswerTime),
            Stage::Closing => (since(self.began, times.closing), Limit::CloseTime),
            Stage::Idle | Stage::Waiting | Stage::Serving => return None,
        };
        late.then_some(limit)
    }
}

/// Connections that are open.
#[derive(Debug)]
pub struct Connections {
    list: SlotMap<ConnectionKey, Activity>,
    max: usize,
}

impl Connections {
    /// Creates a list of up to `max` connections.
    #[must_use]
    pub fn new(max: usize) -> Self {
        Self {
            list: SlotMap::with_key(),
            max,
        }
    }

    /// Number of open connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Whether no connection is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Whether there is no room for another connection.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.list.len() >= self.max
    }

    /// Adds a connection.
    pub fn open(&mut self, now: u64) -> ConnectionKey {
        self.list.insert(Activity {
            stage: Stage::Opened,
            began: now,
            progress_at: now,
            evicted: false,
        })
    }

    /// Removes a connection.
    pub fn close(&mut self, key: ConnectionKey) {
        self.list.remove(key);
    }

    /// Notes what a connection is doing now. The time for a body stands still during a wait.
    pub fn enter(&mut self, key: ConnectionKey, stage: Stage, now: u64) {
        let Some(activity) = self.list.get_mut(key) else {
            return;
        };
        match (activity.stage, stage) {
            (Stage::Waiting, Stage::Body | Stage::Waiting) => {
                activity.began += now.saturating_sub(activity.progress_at);
            }
            (Stage::Body, Stage::Body | Stage::Waiting) => {}
            _ => activity.began = now,
        }
        activity.stage = stage;
        activity.progress_at = now;
    }

    /// Notes that the client has sent or taken a byte.
    pub fn progress(&mut self, key: ConnectionKey, now: u64) {
        if let Some(activity) = self.list.get_mut(key) {
            activity.progress_at = now;
        }
    }

    /// Connections whose clients have not made progress in time, with the limits that they reached.
    pub fn overdue<'a>(
        &'a self,
        times: &'a Times,
        now: u64,
    ) -> impl Iterator<Item = (ConnectionKey, Limit)> + 'a {
        let late = move |(key, activity): (ConnectionKey, &Activity)| {
            Some((key, activity.overdue(times, now)?))
        };
        self.list.iter().filter_map(late)
    }

    /// Chooses the connection that makes room for a new one: the one without progress for longest. A
    /// complete request is never chosen.
    pub fn evict(&mut self) -> Option<ConnectionKey> {
        let open = self.list.iter();
        let open = open.filter(|(_, a)| a.stage != Stage::Serving && !a.evicted);
        let (key, _) = open.min_by_key(|(_, activity)| activity.progress_at)?;
        self.list.get_mut(key)?.evicted = true;
        Some(key)
    }
}
