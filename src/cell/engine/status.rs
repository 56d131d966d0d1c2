//! How things stand, in numbers.

use log::info;

use super::Engine;

impl Engine {
    /// Writes how things stand, in one line.
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
        let open = self
            .cluster
            .workers
            .values()
            .filter(|w| w.is_schedulable(self.durable_batch, now));
        let (count, room, used) = open.fold((0, 0_u64, 0_u64), |(count, room, used), w| {
            let free = u64::from(w.free().millicores);
            let all = u64::from(w.registration.capacity.millicores);
            (count + 1, room + all, used + all - free)
        });
        let claimed = self.reserved_cpu(now);
        info!(waiting:? = waiting, claimed:? = claimed, workers = self.cluster.workers.len(), open = count, runs = self.cluster.runs.len(),
            room, used, questions = self.proxies.in_flight(), advisers = self.proxies.live(now).count(), batch = self.open_batch,
            durable = self.durable_batch; "cell");
    }

    /// Processors that waiting steps are about to use, in millicores: with the policy's answer still
    /// out, and after it.
    fn reserved_cpu(&self, now: u64) -> (u64, u64) {
        let mut claimed = (0.0, 0.0);
        for key in &self.backlog {
            let job = self.jobs.get(key.job);
            let Some((plan, step)) =
                job.and_then(|job| Some((job.definition(*key)?, job.step(*key)?)))
            else {
                continue;
            };
            let each = f64::from(super::demand(plan).millicores);
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

    /// Number of steps that want to be placed.
    #[must_use]
    pub fn backlog(&self) -> usize {
        self.backlog.len()
    }

    /// Whether no run of an earlier owner can be unknown any more.
    #[must_use]
    pub fn is_reconciled(&self) -> bool {
        self.cluster.reconciled
    }
}
