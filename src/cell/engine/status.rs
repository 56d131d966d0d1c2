//! Status line of the engine and counters for metrics.

use log::info;

use super::Engine;

impl Engine {
    /// Logs the status of the cell in one line.
    pub fn log_status(&self, now: u64) {
        let mut waiting: Vec<(&str, usize)> = Vec::new();
        for step in &self.backlog {
            let queue = self
                .jobs
                .get(step.job)
                .map_or("", |job| job.queue.name.as_str());
            match waiting.binary_search_by_key(&queue, |(name, _)| name) {
                Ok(at) => waiting[at].1 += 1,
                Err(at) => waiting.insert(at, (queue, 1)),
            }
        }
        let schedulable = self
            .cluster
            .workers
            .values()
            .filter(|w| w.is_schedulable(self.durable_batch, now));
        let (count, room, used) = schedulable.fold((0, 0_u64, 0_u64), |(count, room, used), w| {
            let free = u64::from(w.free().millicores);
            let all = u64::from(w.registration.capacity.millicores);
            (count + 1, room + all, used + all - free)
        });
        let claimed = self.reserved_cpu(now);
        let careful = self.caution.careful();
        let longest = self.shares.longest_backlogs();
        info!(waiting:? = waiting, organisations:? = longest, trials = self.waiting_trials(), on_trial:? = self.caution.trials, wave = self.is_in_wave(None, now), careful:? = careful, claimed:? = claimed, workers = self.cluster.workers.len(), open = count, silent = self.silent_workers(),
            unanswered = self.unanswered_workers(), cordoned = self.cordoned_workers(), withheld = self.withheld.len(), waits = self.reconciliation_left(now),
            proof = now.saturating_sub(self.proven_at), listed = self.listed_at.map_or(0, |at| now.saturating_sub(at)), runs = self.cluster.runs.len(),
            room, used, queries = self.proxies.in_flight(), advisers = self.proxies.live(now).count(), batch = self.open_batch,
            durable = self.durable_batch; "cell status");
    }

    /// CPU reserved for waiting steps, in millicores: while a policy query is in flight, and after
    /// its answer.
    fn reserved_cpu(&self, now: u64) -> (u64, u64) {
        let mut claimed = (0.0, 0.0);
        for key in &self.backlog {
            let job = self.jobs.get(key.job);
            let Some((definition, step)) =
                job.and_then(|job| Some((job.definition(*key)?, job.step(*key)?)))
            else {
                continue;
            };
            let each = f64::from(super::demand(definition).millicores);
            for claim in step
                .policy
                .reservations
                .iter()
                .filter(|c| c.valid_until > now)
            {
                let part = if claim.pending {
                    &mut claimed.0
                } else {
                    &mut claimed.1
                };
                *part += claim.expected * each;
            }
        }
        (claimed.0 as u64, claimed.1 as u64)
    }

    /// Number of workers that may hold runs of earlier owners and have not reported.
    #[must_use]
    pub fn unanswered_workers(&self) -> usize {
        if self.cluster.reconciled {
            return 0;
        }
        let workers = self.cluster.workers.values();
        workers.filter(|w| w.is_unaccounted()).count() + self.unread_workers
    }

    /// Number of cordoned workers.
    #[must_use]
    pub fn cordoned_workers(&self) -> usize {
        let workers = self.cluster.workers.values();
        workers.filter(|w| w.cordon.is_some()).count()
    }

    /// Longest time until all runs of earlier owners have ended or are known, in milliseconds.
    fn reconciliation_left(&self, now: u64) -> u64 {
        match self.cluster.reconciled {
            true => 0,
            false => self.reconcile_by.saturating_sub(now),
        }
    }

    /// Number of steps in the backlog.
    #[must_use]
    pub fn backlog(&self) -> usize {
        self.backlog.len()
    }

    /// Whether all runs of earlier owners are known.
    #[must_use]
    pub fn is_reconciled(&self) -> bool {
        self.cluster.reconciled
    }
}
