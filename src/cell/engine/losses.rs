//! Runs that count as over without an outcome from their worker.

use log::info;

use super::Engine;
use crate::cell::{
    job::RunKey,
    model::{
        Outcome,
        Verdict, //
    }, //
};

/// Why a run counts as over although its worker did not report an outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// The leases on a silent worker have expired.
    LeaseExpired,
    /// The start command has expired, and the worker's report does not list the run.
    CommandExpired,
    /// The worker confirmed the run, and a later report does not list it.
    Unlisted,
    /// Another worker answers at the worker's address.
    Superseded,
    /// A new incarnation of the worker answers.
    Restarted,
    /// The start command was not sent.
    Unsent,
    /// The worker refused the start command.
    Refused(Verdict),
}

impl Loss {
    /// Name of the loss in metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Loss::LeaseExpired => "lease_expired",
            Loss::CommandExpired => "command_expired",
            Loss::Unlisted => "unlisted",
            Loss::Superseded => "superseded",
            Loss::Restarted => "restarted",
            Loss::Unsent => "unsent",
            Loss::Refused(_) => "refused",
        }
    }

    /// Whether the worker was not heard, so that a later owner may have renewed the run or read its
    /// outcome.
    fn is_unheard(self) -> bool {
        matches!(
            self,
            Loss::LeaseExpired | Loss::Superseded | Loss::Restarted
        )
    }

    fn outcome(self) -> Outcome {
        match self {
            Loss::Refused(_) => Outcome::Stopped,
            _ => Outcome::Lapsed,
        }
    }
}

impl Engine {
    /// Ends a run that its worker did not report as ended.
    pub(super) fn lose_run(&mut self, key: RunKey, loss: Loss, now: u64) {
        let Some(run) = self.cluster.runs.get(key) else {
            return;
        };
        if let Some(worker) = self.cluster.workers.get(run.worker) {
            info!(job = run.name.job.as_str(), step = run.name.step, task = run.name.index, run = run.number,
                worker = worker.registration.id.as_str(), reason:? = loss, state:? = run.state,
                silent = worker.silent_since.map_or(0, |since| now - since), leases = worker.leases_end.saturating_sub(now),
                proof = now.saturating_sub(self.proven_at);
                "run presumed over");
        }
        if loss.is_unheard() {
            self.require_proof(key, now);
        }
        self.losses.push(loss);
        self.end_run(key, loss.outcome(), "", now);
    }

    /// Lets the task of a run start again only once ownership is proven after `now`, a local time in
    /// milliseconds.
    pub(super) fn require_proof(&mut self, key: RunKey, now: u64) {
        let Some(task) = self.cluster.runs.get(key).and_then(|run| run.task) else {
            return;
        };
        let job = self.jobs.get_mut(task.step.job);
        let Some(state) = job.and_then(|job| job.task_mut(task)) else {
            return;
        };
        state.proof_from = now;
        self.proof_from = now;
    }

    /// Takes the losses since the last call, for metrics.
    pub fn take_losses(&mut self) -> Vec<Loss> {
        std::mem::take(&mut self.losses)
    }

    /// Number of workers that do not answer.
    #[must_use]
    pub fn silent_workers(&self) -> usize {
        let silent = |w: &&crate::cell::cluster::Worker| w.silent_since.is_some();
        self.cluster.workers.values().filter(silent).count()
    }
}
