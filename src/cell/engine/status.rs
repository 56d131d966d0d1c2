//! How things stand, in numbers.

use log::info;

use super::Engine;

impl Engine {
    /// Writes how things stand, in one line.
    pub fn report(&self, now: u64) {
        let mut waiting: Vec<(&str, usize)> = Vec::new();
        for step in &self.ready {
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
            .books
            .workers
            .values()
            .filter(|w| w.is_schedulable(self.durable, now));
        let (count, room, used) = open.fold((0, 0_u64, 0_u64), |(count, room, used), w| {
            let free = u64::from(w.free().millicores);
            let all = u64::from(w.registration.capacity.millicores);
            (count + 1, room + all, used + all - free)
        });
        let claimed = self.claimed(now);
        info!(waiting:? = waiting, claimed:? = claimed, workers = self.books.workers.len(), open = count, runs = self.books.runs.len(),
            room, used, questions = self.advisers.out(), advisers = self.advisers.live(now).count(), batch = self.open,
            durable = self.durable; "cell");
    }

    /// Processors that waiting steps are about to use, in millicores: with the policy's answer still
    /// out, and after it.
    fn claimed(&self, now: u64) -> (u64, u64) {
        let mut claimed = (0.0, 0.0);
        for key in &self.ready {
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
        self.ready.len()
    }

    /// Whether no run of an earlier owner can be unknown any more.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.books.reconciled
    }
}
