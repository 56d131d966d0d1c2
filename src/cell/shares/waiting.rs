//! Waiting work of each organisation, and how long a new job would wait behind it.

use super::{
    Key,
    Shares,
    amounts::{
        Amounts,
        KINDS, //
    },
    usage::Usage, //
};

/// Number of organisations that are named as having the longest backlogs.
const LONGEST: usize = 3;

/// Work by resource: millicores, MiB and accelerators, each times milliseconds.
#[derive(Debug, Clone, Copy, Default)]
struct Work([f64; KINDS]);

impl Work {
    fn add(&mut self, other: &Self) {
        for (sum, part) in self.0.iter_mut().zip(other.0) {
            *sum += part;
        }
    }

    /// Time that the parts `capacity` of a cell with the resources `total` take for the work, in
    /// milliseconds. A resource that no worker has says nothing, nor does one of which `demand` is 0.
    fn time(&self, capacity: [f64; KINDS], total: [f64; KINDS], demand: Amounts) -> u64 {
        let counted = (0..KINDS).filter(|at| demand.0[*at] > 0);
        let counted = counted.filter(|at| total[*at] > 0.0 && self.0[*at] > 0.0);
        let times = counted.map(|at| self.0[at] / capacity[at]);
        times.fold(0.0, f64::max) as u64
    }
}

/// Waiting work of one priority.
#[derive(Debug)]
struct Row {
    priority: u32,
    /// Work of jobs within the organisation's rate.
    owed: Work,
    /// Work of jobs beyond the rate.
    excess: Work,
}

/// Waiting work of one organisation.
#[derive(Debug, Default)]
struct Backlog {
    /// Number of waiting steps.
    steps: u32,
    /// Work that still has value, sorted by priority.
    rows: Vec<Row>,
}

/// Waiting work at the last placement pass, and what has been accepted since.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    backlogs: Vec<Backlog>,
    /// Work of all organisations.
    total: Work,
}

/// Waiting work that is counted.
#[derive(Debug, Clone, Copy)]
pub struct Item {
    /// Organisation of the work.
    pub organisation: Key,
    /// Priority of the queue.
    pub priority: u32,
    /// Whether the job is beyond its organisation's rate.
    pub excess: bool,
    /// Demand of each task.
    pub demand: Amounts,
    /// Number of waiting tasks.
    pub tasks: u32,
    /// Estimated run time of a task, in milliseconds.
    pub estimate: u64,
}

impl Waiting {
    fn backlog(&mut self, organisation: Key) -> &mut Backlog {
        let at = organisation.index();
        if self.backlogs.len() <= at {
            self.backlogs.resize_with(at + 1, Backlog::default);
        }
        &mut self.backlogs[at]
    }
}

impl Shares {
    /// Forgets the waiting work.
    pub fn clear_waiting(&mut self) {
        self.waiting = Waiting::default();
    }

    /// Counts a waiting step whose completion has no value any more: nothing waits for it.
    pub fn add_worthless(&mut self, organisation: Key) {
        self.waiting.backlog(organisation).steps += 1;
    }

    /// Counts a waiting step.
    pub fn add_waiting(&mut self, item: &Item) {
        let time = f64::from(item.tasks) * item.estimate as f64;
        let work = Work(item.demand.0.map(|amount| amount as f64 * time));
        self.waiting.total.add(&work);
        let backlog = self.waiting.backlog(item.organisation);
        backlog.steps += 1;
        let rows = &mut backlog.rows;
        let at = rows.binary_search_by_key(&item.priority, |row| row.priority);
        let at = at.unwrap_or_else(|at| {
            let row = Row {
                priority: item.priority,
                owed: Work::default(),
                excess: Work::default(),
            };
            rows.insert(at, row);
            at
        });
        match item.excess {
            true => rows[at].excess.add(&work),
            false => rows[at].owed.add(&work),
        }
    }

    /// Number of waiting steps of an organisation.
    #[must_use]
    pub fn waiting_steps(&self, organisation: Key) -> u32 {
        let backlog = self.waiting.backlogs.get(organisation.index());
        backlog.map_or(0, |backlog| backlog.steps)
    }

    /// Time after which a new job with tasks of `demand` is expected to start, in milliseconds: the work
    /// that goes before it over the capacity that the organisation's share gives, and its cap allows. Only the
    /// resources that the job needs count: work that waits for others does not delay it.
    ///
    /// A job beyond the rate goes after all work that is owed service, whose ever it is.
    #[must_use]
    pub fn expected_wait(
        &self,
        organisation: Key,
        (priority, excess): (u32, bool),
        demand: Amounts,
        usage: &Usage,
    ) -> u64 {
        let total = self.standing.total.0.map(|amount| amount as f64);
        let mut ahead = Work::default();
        let backlog = self.waiting.backlogs.get(organisation.index());
        let rows = backlog.map_or(&[][..], |backlog| &backlog.rows);
        for row in rows.iter().filter(|row| row.priority <= priority) {
            ahead.add(&row.owed);
            if excess {
                ahead.add(&row.excess);
            }
        }
        // An organisation that has more than its share now may keep it: the others may need less.
        let share = self.share(organisation, usage);
        let share = self.entitlement(organisation).max(share).min(1.0);
        let cap = self.cap(organisation);
        let capacity = std::array::from_fn(|at| {
            // An organisation without runs is owed one task, however small its share.
            let given = (total[at] * share).max(demand.0[at] as f64);
            match cap.0[at] {
                0 => given,
                cap => given.min(cap as f64),
            }
        });
        let own = ahead.time(capacity, total, demand);
        match excess {
            true => own.max(self.waiting.total.time(total, total, demand)),
            false => own,
        }
    }

    /// Organisations with the longest backlogs: name, waiting steps, and waiting work in core-seconds.
    #[must_use]
    pub fn longest_backlogs(&self) -> Vec<(&str, u32, u64)> {
        let mut list: Vec<(&str, u32, u64)> = Vec::new();
        for key in self.keys() {
            let Some(backlog) = self.waiting.backlogs.get(key.index()) else {
                continue;
            };
            let rows = backlog.rows.iter();
            let work: f64 = rows.map(|row| row.owed.0[0] + row.excess.0[0]).sum();
            if backlog.steps > 0 {
                list.push((self.name(key), backlog.steps, (work / 1e6) as u64));
            }
        }
        list.sort_by_key(|(_, steps, work)| std::cmp::Reverse((*work, *steps)));
        list.truncate(LONGEST);
        list
    }
}
