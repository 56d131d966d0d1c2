//! Workers that start again under their ids, and what keeps commands to a former incarnation from
//! acting on the next one.

use log::{
    info,
    warn, //
};

use super::{
    Engine,
    commands, //
};
use crate::cell::{
    cluster,
    fencing::Token,
    job::{
        RunKey,
        WorkerKey, //
    },
    model, //
};

/// What showed that a worker has started again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sign {
    /// Its registration.
    Registration,
    /// Its report.
    Report,
    /// A clock that went back.
    Clock,
}

impl Sign {
    /// Name of the sign in metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Sign::Registration => "registration",
            Sign::Report => "report",
            Sign::Clock => "clock",
        }
    }
}

impl Engine {
    /// A token that no command has had; the term ends when it has no more.
    fn next_token(&mut self) -> Token {
        let Some(token) = self.tokens.next() else {
            warn!(term = self.term; "term has used all its fencing tokens");
            self.deposed = true;
            return Token::first(self.term);
        };
        token
    }

    /// Tracks a worker that is not known.
    pub(super) fn add_worker(&mut self, registration: model::Registration) -> WorkerKey {
        // The worker may have been forgotten while commands to a former incarnation were under way.
        let token = self.next_token();
        self.cluster.add_worker(registration, token)
    }

    /// Prepares for a new incarnation of a worker, `None` if it is not known which: it gets no tasks until
    /// it has answered a poll with a token of its own. Every command to a former incarnation has a lower
    /// token.
    pub(super) fn renew_token(&mut self, key: WorkerKey, incarnation: Option<u64>, sign: Sign) {
        let token = self.next_token();
        let worker = &mut self.cluster.workers[key];
        info!(worker = worker.registration.id.as_str(), sign:? = sign, born = incarnation.unwrap_or(0), before = worker.incarnation,
            token, runs = worker.runs.len(); "worker has started again");
        worker.token = token;
        worker.token_for = incarnation;
        worker.fenced = false;
        worker.clock_reading = None;
        worker.poll_after = 0;
        let runs = worker.runs.iter().map(|run| &self.cluster.runs[*run]);
        let sent = runs.filter(|run| run.in_flight).map(|run| run.sent_at);
        if let Some(sent) = sent.max() {
            worker.note_late(sent + commands::LATE_COMMAND_MS);
        }
        if worker.polling {
            // It was sent to the former incarnation, and its time-out would delay the next poll.
            worker.polling = false;
            if worker.renewing {
                worker.note_late(worker.poll_sent + commands::LATE_COMMAND_MS);
            }
            if worker.polled_acked > 0 {
                worker.acked_until = worker.poll_sent + commands::LATE_COMMAND_MS;
            }
        }
        self.signs.push(sign);
    }

    /// Whether the poll of a worker that was sent at local time `sent`, in milliseconds, is the newest.
    /// Answers to earlier polls do not count.
    #[must_use]
    pub fn awaits_poll(&self, key: WorkerKey, sent: u64) -> bool {
        let worker = self.cluster.workers.get(key);
        worker.is_some_and(|worker| worker.polling && worker.poll_sent == sent)
    }

    /// Notes that the clock of a worker is below an earlier reading: it has started again, and has taken a
    /// command that was meant for its former incarnation.
    pub(super) fn note_clock_reset(&mut self, key: WorkerKey, now: u64) {
        self.cluster.workers[key].last_answer = now;
        self.renew_token(key, None, Sign::Clock);
    }

    /// Local time until which a run on a silent worker may continue, in milliseconds.
    pub(super) fn run_ends_by(&self, key: RunKey) -> u64 {
        let run = &self.cluster.runs[key];
        let Some(worker) = self.cluster.workers.get(run.worker) else {
            return 0;
        };
        let adopted = run.is_confirmed() && run.start_expires == 0;
        if worker.fenced || !adopted && !run.may_begin_late() {
            return worker.leases_end;
        }
        // The incarnation has not seen its token yet: late commands begin runs there and prolong them.
        let last = worker.late_until.max(worker.last_answer);
        let longest = cluster::local_duration(self.times.lease);
        worker.leases_end.max(last + longest)
    }

    /// Takes the signs of restarts since the last call, for metrics.
    pub fn take_signs(&mut self) -> Vec<Sign> {
        std::mem::take(&mut self.signs)
    }
}
