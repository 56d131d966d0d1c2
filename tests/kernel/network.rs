//! Messages in flight between instances, workers and the log, and interrupted links.

use bamboolock::{
    ids::{
        Millis,
        Token, //
    },
    kernel::WorkerKey,
    ledger::record,
    resources::Resources,
    wire::worker::{
        LeaseRequest,
        LeaseResponse,
        SignalTasks,
        Start,
        StartResponse,
        TaskId, //
    }, //
};

/// An incarnation of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Sender {
    pub(super) at: usize,
    pub(super) incarnation: u64,
}

/// An entry of the log.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) id: (usize, u64, u64),
    pub(super) by: record::Author,
    pub(super) records: Vec<record::Record>,
    pub(super) at: Millis,
}

/// A request to a worker.
#[derive(Debug, Clone)]
pub(super) enum Request {
    Lease {
        sent: Millis,
        message: LeaseRequest,
    },
    Start {
        message: Start,
    },
    Signal {
        message: SignalTasks,
    },
    Forget {
        token: Token,
        tasks: Vec<TaskId>,
    },
    Serve {
        id: u64,
        token: Token,
        demand: Resources,
    },
}

/// A response of a worker to an instance.
#[derive(Debug, Clone)]
pub(super) enum Response {
    Lease {
        sent: Millis,
        grant: LeaseResponse,
    },
    Start {
        tasks: Vec<TaskId>,
        response: StartResponse,
    },
    Serve {
        id: u64,
    },
}

/// A message in flight.
#[derive(Debug, Clone)]
pub(super) enum Message {
    Worker {
        from: Sender,
        worker: usize,
        key: WorkerKey,
        request: Request,
    },
    Instance {
        to: Sender,
        worker: usize,
        key: WorkerKey,
        response: Response,
    },
    Log {
        from: Sender,
        entry: Entry,
    },
}

/// Links that are interrupted.
#[derive(Debug, Clone, Default)]
pub(super) struct Cuts {
    workers: Vec<(usize, usize)>,
    logs: Vec<usize>,
    peers: Vec<(usize, usize)>,
    /// Whether the log is unreachable for all instances.
    pub(super) outage: bool,
}

impl Cuts {
    pub(super) fn cut_worker(&mut self, instance: usize, worker: usize) {
        self.workers.push((instance, worker));
    }

    pub(super) fn cut_log(&mut self, instance: usize) {
        self.logs.push(instance);
    }

    pub(super) fn cut_peers(&mut self, a: usize, b: usize) {
        self.peers.push((a.min(b), a.max(b)));
    }

    pub(super) fn reaches_worker(&self, instance: usize, worker: usize) -> bool {
        !self.workers.contains(&(instance, worker))
    }

    pub(super) fn reaches_log(&self, instance: usize) -> bool {
        !self.outage && !self.logs.contains(&instance)
    }

    pub(super) fn reaches_peer(&self, a: usize, b: usize) -> bool {
        !self.peers.contains(&(a.min(b), a.max(b)))
    }
}
