//! An instance's own network link: traffic by kind of message, and the pace of bulk messages.
//!
//! Handles a link that is slower than the work asks for: bulk messages wait here for their turn, in
//! order, and not in the link's queue, where heartbeats, proofs of ownership and cancellations would
//! wait behind them.

use std::{
    cell::Cell,
    time::Duration, //
};

use tokio::{
    sync::Mutex,
    time::{
        self,
        Instant, //
    }, //
};

use log::info;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        histogram::{
            Histogram,
            exponential_buckets, //
        }, //
    },
    registry::Registry, //
};

/// Size of the headers of an average HTTP message, in bytes.
const HEADER_BYTES: usize = 200;

/// Share of the link's bandwidth that bulk messages may fill together with all others.
const PACED_SHARE: f64 = 0.9;

/// Share of the link's bandwidth that a large response may take while other messages matter more.
const BULK_SHARE: f64 = 0.4;

/// Shortest pause that is worth a timer.
const MIN_PAUSE: Duration = Duration::from_millis(2);

/// Time by which a bulk message may be sent before the link is free, so that the link never idles.
const SEND_AHEAD: Duration = Duration::from_millis(15);

/// Upper bound of the first bucket of the histograms, in seconds.
const SMALLEST_BUCKET_S: f64 = 0.001;

/// Number of buckets; each bound is twice the one before, up to 16 seconds.
const BUCKETS: u16 = 15;

/// Kind of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Heartbeats between instances.
    Heartbeat,
    /// Questions to witnesses and announcements of owners.
    Election,
    /// Requests of callers that are forwarded to the owner.
    Forward,
    /// Queries to the placement policy, also those that another instance sends on.
    Policy,
    /// Commands that start runs.
    Start,
    /// Commands that stop runs.
    Stop,
    /// Polls of workers for reports.
    Report,
    /// Appends to the store.
    Append,
    /// Reads from the store.
    Read,
    /// Everything else.
    Other,
}

/// All kinds, in the order of [`Kind`].
pub const KINDS: [Kind; 10] = [
    Kind::Heartbeat,
    Kind::Election,
    Kind::Forward,
    Kind::Policy,
    Kind::Start,
    Kind::Stop,
    Kind::Report,
    Kind::Append,
    Kind::Read,
    Kind::Other,
];

impl Kind {
    /// Label of the kind in metrics and logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Kind::Heartbeat => "heartbeat",
            Kind::Election => "election",
            Kind::Forward => "forward",
            Kind::Policy => "policy",
            Kind::Start => "start",
            Kind::Stop => "stop",
            Kind::Report => "report",
            Kind::Append => "append",
            Kind::Read => "read",
            Kind::Other => "other",
        }
    }
}

/// Labels of the byte counters.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TrafficLabels {
    kind: &'static str,
    direction: &'static str,
}

/// Labels of the histograms.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabels {
    kind: &'static str,
}

/// Bytes and messages of one kind since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Volume {
    /// Bytes sent, including an estimate of the headers.
    pub sent: u64,
    /// Bytes received, including an estimate of the headers.
    pub received: u64,
}

/// An instance's own network link.
pub struct Uplink {
    /// Bandwidth for all messages in bytes per second; `None` if not limited.
    rate: Option<f64>,
    /// Time at which the link has sent everything.
    clear_at: Cell<Instant>,
    /// Bytes of bulk messages that wait for their turn.
    queued: Cell<usize>,
    turns: Mutex<()>,
    /// Share of the bandwidth that a large response may take; `None` for all of it.
    bulk_share: Cell<Option<f64>>,
    waits: Family<KindLabels, Histogram>,
    volumes: [Cell<Volume>; KINDS.len()],
    bytes: Family<TrafficLabels, Counter>,
    round_trips: Family<KindLabels, Histogram>,
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(SMALLEST_BUCKET_S, 2.0, BUCKETS))
}

/// Bytes of a message that waits for its turn; they are no longer queued once this is dropped.
struct Queued<'a>(&'a Uplink, usize);

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        self.0.queued.set(self.0.queued.get() - self.1);
    }
}

impl Uplink {
    /// Creates a link with a bandwidth of `limit` bytes per second; `None` for no limit.
    #[must_use]
    pub fn new(limit: Option<u64>) -> Self {
        Self {
            rate: limit.map(|limit| limit as f64 * PACED_SHARE),
            clear_at: Cell::new(Instant::now()),
            queued: Cell::new(0),
            turns: Mutex::new(()),
            bulk_share: Cell::new(None),
            waits: Family::new_with_constructor(histogram),
            volumes: Default::default(),
            bytes: Family::default(),
            round_trips: Family::new_with_constructor(histogram),
        }
    }

    fn duration(&self, len: usize) -> Duration {
        let seconds = self.rate.map_or(0.0, |rate| len as f64 / rate);
        Duration::from_secs_f64(seconds)
    }

    /// Waits until a bulk message with a body of `len` bytes may be sent. Bulk messages are sent in
    /// the order of these calls; the caller must send at once.
    pub async fn turn(&self, kind: Kind, len: usize) {
        if self.rate.is_none() {
            return;
        }
        let began = Instant::now();
        let len = len + HEADER_BYTES;
        self.queued.set(self.queued.get() + len);
        let _queued = Queued(self, len);
        let _turn = self.turns.lock().await;
        while let Some(start) = self.clear_at.get().checked_sub(SEND_AHEAD)
            && start > Instant::now()
        {
            time::sleep_until(start).await;
        }
        let labels = KindLabels { kind: kind.label() };
        self.waits
            .get_or_create(&labels)
            .observe(began.elapsed().as_secs_f64());
    }

    /// Sets whether other messages matter more than large responses, as on the owner.
    pub fn favour_messages(&self, favour: bool) {
        self.bulk_share.set(favour.then_some(BULK_SHARE));
    }

    /// Pauses after `len` bytes of a large response were read, so that other messages are received
    /// meanwhile: the sender waits once its window is full.
    pub async fn yield_after(&self, len: usize) {
        let (Some(rate), Some(share)) = (self.rate, self.bulk_share.get()) else {
            return;
        };
        let pause = Duration::from_secs_f64(len as f64 / (rate * share));
        if pause > MIN_PAUSE {
            time::sleep(pause).await;
        }
    }

    /// Time until the link has sent everything that is under way or waits for its turn.
    #[must_use]
    pub fn backlog(&self) -> Duration {
        let left = self
            .clear_at
            .get()
            .saturating_duration_since(Instant::now());
        left + self.duration(self.queued.get())
    }

    /// Bytes of bulk messages that the link can send within `span`, after its backlog.
    #[must_use]
    pub fn room(&self, span: Duration) -> usize {
        self.rate.map_or(usize::MAX, |rate| {
            (rate * span.saturating_sub(self.backlog()).as_secs_f64()) as usize
        })
    }

    /// Registers the metrics of the link.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "link_bytes",
            "Bytes over the instance's link, by kind of message and direction",
            self.bytes.clone(),
        );
        registry.register(
            "round_trip_seconds",
            "Time from sending a request to its complete response, by kind of message",
            self.round_trips.clone(),
        );
        registry.register(
            "send_wait_seconds",
            "Time that bulk messages wait for the instance's link, by kind of message",
            self.waits.clone(),
        );
    }

    fn update(&self, kind: Kind, direction: &'static str, len: usize, add: fn(&mut Volume, u64)) {
        let len = (len + HEADER_BYTES) as u64;
        let cell = &self.volumes[kind as usize];
        let mut volume = cell.get();
        add(&mut volume, len);
        cell.set(volume);
        let labels = TrafficLabels {
            kind: kind.label(),
            direction,
        };
        self.bytes.get_or_create(&labels).inc_by(len);
    }

    /// Counts a message sent with a body of `len` bytes.
    pub fn count_sent(&self, kind: Kind, len: usize) {
        let clear_at = self.clear_at.get().max(Instant::now());
        self.clear_at
            .set(clear_at + self.duration(len + HEADER_BYTES));
        self.update(kind, "out", len, |volume, len| volume.sent += len);
    }

    /// Counts a message received with a body of `len` bytes.
    pub fn count_received(&self, kind: Kind, len: usize) {
        self.update(kind, "in", len, |volume, len| volume.received += len);
    }

    /// Records the duration of an exchange.
    pub fn observe_round_trip(&self, kind: Kind, took: Duration) {
        let labels = KindLabels { kind: kind.label() };
        self.round_trips
            .get_or_create(&labels)
            .observe(took.as_secs_f64());
    }

    /// Returns what was sent and received so far, in the order of [`KINDS`].
    #[must_use]
    pub fn volumes(&self) -> [Volume; KINDS.len()] {
        std::array::from_fn(|i| self.volumes[i].get())
    }
}

/// Logs the traffic between two readings of [`Uplink::volumes`]: kinds of messages with the bytes
/// sent and received.
pub fn log_traffic(before: &[Volume; KINDS.len()], after: &[Volume; KINDS.len()]) {
    let mut kinds: Vec<(&str, u64, u64)> = Vec::new();
    for ((kind, before), after) in KINDS.iter().zip(before).zip(after) {
        let sent = after.sent - before.sent;
        let received = after.received - before.received;
        if sent + received > 0 {
            kinds.push((kind.label(), sent, received));
        }
    }
    let total = |part: fn(&(&str, u64, u64)) -> u64| kinds.iter().map(part).sum::<u64>();
    info!(sent = total(|k| k.1), received = total(|k| k.2), kinds:? = kinds; "link traffic");
}
