//! Queries to the placement policy and the handling of its answers.

use compact_str::{
    CompactString,
    format_compact, //
};
use log::info;

use super::{
    Action,
    Engine,
    PolicyQuery,
    placement::{
        Pass,
        PendingStep, //
    }, //
};
use crate::cell::{
    job::{
        HeldPermit,
        Reservation,
        StepKey,
        WorkerKey, //
    },
    model, //
};

/// Assumed share of allowed workers before the first answer of the policy.
pub(super) const INITIAL_ALLOWED_SHARE: f64 = 0.5;

/// Weight of the newest answer in the moving average of the allowed share; it spans about ten
/// answers.
const ALLOWED_SHARE_WEIGHT: f64 = 0.1;

/// Capacity queried as a multiple of what a step needs, since answers vary around the average
/// share.
const QUERY_MARGIN: f64 = 1.3;

/// Fewest workers in a query; a smaller query saves little time.
const MIN_QUERY_WORKERS: usize = 4;

/// Most workers in a query, so that its duration leaves time to meet a job's objective.
pub(super) const MAX_QUERY_WORKERS: usize = 30;

/// Time before its expiry at which a permit is no longer used, in milliseconds: the way to the
/// worker.
const PERMIT_MARGIN_MS: u64 = 150;

/// Delay after a failed query, in milliseconds.
const QUERY_RETRY_MS: u64 = 100;

/// Capacity queried for a gang as a multiple of what it needs, since other steps take some of it
/// meanwhile.
const GANG_MARGIN: f64 = 1.5;

/// Maximum number of queries in flight for one gang, each through a different instance.
const MAX_GANG_QUERIES: u32 = 4;

/// Fewest workers in each of several queries for a gang: the fixed cost of a query exceeds the cost
/// of this many workers.
const MIN_GANG_CHUNK: usize = 25;

/// Fewest workers in a query for a gang; up to this number, they add little to the query's
/// duration.
const MIN_GANG_WORKERS: usize = 12;

/// Most workers queried for a gang at a time, over all its queries.
pub(super) const MAX_GANG_WORKERS: usize = 200;

/// Lower bound on the assumed share of allowed workers.
const MIN_ALLOWED_SHARE: f64 = 0.05;

/// Delay after the first probe, a query sent only to learn which workers are allowed, in
/// milliseconds.
const PROBE_INTERVAL_MS: u64 = 800;

/// Maximum number of times that the probe delay doubles.
const MAX_PROBE_DOUBLINGS: u32 = 2;

/// Time for which capacity stays reserved beyond the duration of a query, in milliseconds.
const RESERVATION_SLACK_MS: u64 = 500;

/// Worker that a query may name, and how many tasks it could take.
struct Candidate {
    worker: WorkerKey,
    tasks: f64,
    probability: f64,
}

impl Engine {
    /// Queries the policy about workers with capacity for single tasks, known allowed workers
    /// first.
    pub(super) fn query_for_tasks(
        &mut self,
        pass: &Pass,
        pending: &PendingStep,
        offers: &[(usize, u32)],
        need: u32,
    ) {
        let Some(step) = self.jobs[pending.key.job].step(pending.key) else {
            return;
        };
        if step.policy.in_flight > 0 || step.policy.retry_after > pass.now {
            return;
        }
        let mut sorted = offers.to_vec();
        sorted.sort_by_key(|(i, _)| pass.slots[*i].available().millicores);
        let (mut eligible, _) = self.candidates(pass, pending, &sorted);
        let least = MIN_QUERY_WORKERS.min(need as usize + 1);
        let want = f64::from(need) * QUERY_MARGIN;
        let mut expected = 0.0;
        let mut count = 0;
        for candidate in &eligible {
            if count >= MAX_QUERY_WORKERS || expected >= want && count >= least {
                break;
            }
            expected += candidate.probability * candidate.tasks;
            count += 1;
        }
        eligible.truncate(count);
        let used = (f64::from(need) / expected).min(1.0);
        self.send_query(pending.key, &eligible, used, pass.now);
    }

    /// Workers that a query may name, allowed ones first, and the number of tasks expected to fit
    /// on workers with a query in flight or a valid permit.
    fn candidates(
        &self,
        pass: &Pass,
        pending: &PendingStep,
        offers: &[(usize, u32)],
    ) -> (Vec<Candidate>, f64) {
        let share = self.allowed_share(pending.key);
        let mut eligible = Vec::new();
        let mut covered = 0.0;
        let Some(step) = self.jobs[pending.key.job].step(pending.key) else {
            return (eligible, covered);
        };
        let policy = &step.policy;
        for allowed in [true, false] {
            for (i, count) in offers {
                let slot = &pass.slots[*i];
                let known = policy.allowed.binary_search(&slot.worker).is_ok();
                if known != allowed || policy.denied.binary_search(&slot.worker).is_ok() {
                    continue;
                }
                let candidate = Candidate {
                    worker: slot.worker,
                    tasks: f64::from(*count),
                    probability: if allowed { 1.0 } else { share },
                };
                let out = policy
                    .reservations
                    .iter()
                    .any(|c| c.pending && c.worker == slot.worker);
                if out
                    || policy
                        .permit(slot.worker, slot.incarnation, pass.now)
                        .is_some()
                {
                    covered += candidate.probability * candidate.tasks;
                } else {
                    eligible.push(candidate);
                }
            }
        }
        (eligible, covered)
    }

    /// Queries the policy about workers for a gang: first allowed workers whose permits have
    /// expired, then as many unknown workers as are likely to provide the missing capacity. Returns
    /// whether the expected capacity is enough.
    ///
    /// Handles wide gangs under a slow policy that allows few workers: sends one round of queries
    /// about enough workers, spread over several instances, instead of many small queries whose
    /// permits expire one after the other.
    pub(super) fn query_for_gang(
        &mut self,
        pass: &Pass,
        pending: &PendingStep,
        offers: &[(usize, u32)],
    ) -> bool {
        let mut sorted = offers.to_vec();
        sorted.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        let (mut eligible, covered) = self.candidates(pass, pending, &sorted);
        let need = f64::from(pending.waiting);
        let mut expected = covered;
        let mut count = 0;
        for candidate in eligible.iter().take(MAX_GANG_WORKERS) {
            if expected >= need * GANG_MARGIN {
                break;
            }
            expected += candidate.probability * candidate.tasks;
            count += 1;
        }
        let enough = expected >= need;
        // The fixed cost of a query justifies some more workers.
        let spare = eligible
            .iter()
            .skip(count)
            .filter(|c| c.probability < 1.0)
            .count();
        count += MIN_GANG_WORKERS.saturating_sub(count).min(spare);
        eligible.truncate(count);
        let unknown = eligible.iter().any(|c| c.probability < 1.0);
        let Some(step) = self.jobs[pending.key.job].step_mut(pending.key) else {
            return enough;
        };
        let policy = &mut step.policy;
        if policy.in_flight >= MAX_GANG_QUERIES
            || policy.retry_after > pass.now
            || eligible.is_empty()
        {
            return enough;
        }
        if policy.in_flight > 0 && covered >= need {
            return enough;
        }
        if !enough {
            // With too little capacity, a query is only worth sending to probe unknown workers.
            if !unknown || policy.in_flight > 0 || policy.probe_after > pass.now {
                return false;
            }
            eligible.truncate(MIN_GANG_CHUNK.max(pending.waiting as usize * 2));
        }
        let used = if enough {
            (need / expected).min(1.0)
        } else {
            0.0
        };
        let most = (MAX_GANG_QUERIES - policy.in_flight) as usize;
        let chunk = eligible.len().div_ceil(most).max(MIN_GANG_CHUNK);
        let mut sent = false;
        for part in eligible.chunks(chunk) {
            sent |= self.send_query(pending.key, part, used, pass.now);
        }
        if !enough && sent {
            self.count_probe(pending.key, pass.now);
        }
        enough
    }

    /// Delays the next probe of a step after one was sent at local time `now`, in milliseconds.
    fn count_probe(&mut self, key: StepKey, now: u64) {
        let Some(step) = self.jobs[key.job].step_mut(key) else {
            return;
        };
        let policy = &mut step.policy;
        policy.probe_after = now + (PROBE_INTERVAL_MS << policy.probes.min(MAX_PROBE_DOUBLINGS));
        policy.probes += 1;
    }

    fn allowed_share(&self, key: StepKey) -> f64 {
        let queue = &self.jobs[key.job].queue.name;
        let at = self.queue_stats.binary_search_by(|l| l.queue.cmp(queue));
        at.map_or(INITIAL_ALLOWED_SHARE, |at| self.queue_stats[at].share)
            .max(MIN_ALLOWED_SHARE)
    }

    /// Sends a query about the candidates `named`, of whose capacity the fraction `used` is likely
    /// to be taken; returns whether an instance was free to send it.
    fn send_query(&mut self, key: StepKey, named: &[Candidate], used: f64, now: u64) -> bool {
        if named.is_empty() {
            return false;
        }
        let id = |c: &Candidate| self.cluster.workers[c.worker].registration.id.clone();
        let workers: Vec<CompactString> = named.iter().map(id).collect();
        let incarnation = |c: &Candidate| self.cluster.workers[c.worker].incarnation;
        let incarnations: Vec<u64> = named.iter().map(incarnation).collect();
        let job = &mut self.jobs[key.job];
        let Some(policy_cost) = job.queue.policy_cost else {
            return false;
        };
        let cost_ms = policy_cost.base + policy_cost.per_worker * workers.len() as f64;
        let Some(proxy) = self.proxies.assign(cost_ms, now) else {
            return false;
        };
        let occurrence = job.occurrences.get(key.occurrence as usize);
        let number = occurrence.map_or(0, |o| o.number);
        let name = format_compact!("{}.{}.{}", job.id, number, key.step);
        if let Some(step) = job.step_mut(key) {
            step.policy.in_flight += 1;
            step.policy
                .reservations
                .extend(named.iter().map(|c| Reservation {
                    worker: c.worker,
                    expected: c.tasks * c.probability * used,
                    maximum: c.tasks * used,
                    pending: true,
                    valid_until: now + cost_ms as u64 + RESERVATION_SLACK_MS,
                }));
        }
        self.actions.push(Action::Query(PolicyQuery {
            step: key,
            name,
            cost_ms,
            proxy,
            validity_ms: policy_cost.validity.as_millis() as u64,
            workers,
            incarnations,
        }));
        true
    }

    /// Applies the policy's answer; `None` if the query failed.
    pub fn policy_answered(
        &mut self,
        query: &PolicyQuery,
        permits: Option<&[model::Permit]>,
        now: u64,
    ) {
        let key = query.step;
        self.pass_needed = true;
        self.proxies
            .record_answer(&query.proxy, permits.is_some(), now);
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        let queue = job.queue.name.clone();
        let Some(step) = job.step_mut(key) else {
            return;
        };
        let policy = &mut step.policy;
        policy.in_flight = policy.in_flight.saturating_sub(1);
        if permits.is_none() {
            policy.retry_after = now + QUERY_RETRY_MS;
        }
        let valid_until = now + query.validity_ms.saturating_sub(PERMIT_MARGIN_MS);
        let mut allowed = 0_usize;
        for (id, incarnation) in query.workers.iter().zip(&query.incarnations) {
            let Some(worker) = self.cluster.find_worker(id) else {
                continue;
            };
            let reservation = policy
                .reservations
                .iter()
                .position(|c| c.pending && c.worker == worker);
            let reservation = reservation.map(|at| policy.reservations.swap_remove(at));
            let Some(permits) = permits else {
                continue;
            };
            policy.permits.retain(|t| t.worker != worker);
            let Some(permit) = permits.iter().find(|p| p.worker == *id) else {
                insert(&mut policy.denied, worker);
                continue;
            };
            allowed += 1;
            insert(&mut policy.allowed, worker);
            policy.permits.push(HeldPermit {
                worker,
                // The policy may have answered before the worker started again.
                incarnation: *incarnation,
                token: permit.token.clone(),
                valid_until,
            });
            // Members of a gang keep their reservation until all of them can start.
            policy
                .reservations
                .extend(reservation.map(|reservation| Reservation {
                    expected: reservation.maximum,
                    pending: false,
                    valid_until,
                    ..reservation
                }));
        }
        if permits.is_none() {
            return;
        }
        let share = allowed as f64 / query.workers.len().max(1) as f64;
        info!(step = query.name.as_str(), asked = query.workers.len(), good = allowed; "policy answered");
        let stats = self.queue_stats(&queue);
        stats.share += ALLOWED_SHARE_WEIGHT * (share - stats.share);
    }
}

/// Adds a worker to a sorted list.
fn insert(list: &mut Vec<WorkerKey>, worker: WorkerKey) {
    if let Err(at) = list.binary_search(&worker) {
        list.insert(at, worker);
    }
}
