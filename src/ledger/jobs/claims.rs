//! An index of claimed attempts by worker.

use crate::ids::{
    Boot,
    RunId,
    WorkerId, //
};

/// The claimed attempts of each worker that has any.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Claims {
    rows: Vec<WorkerClaims>,
}

/// The claimed attempts of one worker, sorted.
#[derive(Debug, Clone)]
struct WorkerClaims {
    worker: WorkerId,
    tasks: Vec<(RunId, u32)>,
    /// Lower bound on the worker incarnations of the claims.
    oldest: Boot,
}

/// The bound on incarnations is not compared: a replica restored from a snapshot may have a tighter
/// one.
impl PartialEq for WorkerClaims {
    fn eq(&self, other: &Self) -> bool {
        (&self.worker, &self.tasks) == (&other.worker, &other.tasks)
    }
}

impl Claims {
    /// Adds a task of a job that is claimed for an incarnation of the worker.
    pub fn add(&mut self, worker: &WorkerId, boot: Boot, run: &RunId, index: u32) {
        let at = match self.position(worker) {
            Ok(at) => at,
            Err(at) => {
                let row = WorkerClaims {
                    worker: worker.clone(),
                    tasks: Vec::new(),
                    oldest: boot,
                };
                self.rows.insert(at, row);
                at
            }
        };
        let row = &mut self.rows[at];
        row.oldest = row.oldest.min(boot);
        let tasks = &mut row.tasks;
        if let Err(at) = tasks.binary_search_by(|t| (&t.0, t.1).cmp(&(run, index))) {
            tasks.insert(at, (run.clone(), index));
        }
    }

    /// Removes a task of a job.
    pub fn remove(&mut self, worker: &WorkerId, run: &RunId, index: u32) {
        let Ok(row) = self.position(worker) else {
            return;
        };
        let tasks = &mut self.rows[row].tasks;
        if let Ok(at) = tasks.binary_search_by(|t| (&t.0, t.1).cmp(&(run, index))) {
            tasks.remove(at);
        }
        if tasks.is_empty() {
            self.rows.remove(row);
        }
    }

    /// The tasks claimed on a worker, as job id and task index.
    #[must_use]
    pub fn for_worker(&self, worker: &WorkerId) -> &[(RunId, u32)] {
        match self.position(worker) {
            Ok(at) => &self.rows[at].tasks,
            Err(_) => &[],
        }
    }

    /// A lower bound on the incarnations of a worker for which tasks are claimed.
    #[must_use]
    pub fn oldest_incarnation(&self, worker: &WorkerId) -> Option<Boot> {
        self.position(worker).ok().map(|at| self.rows[at].oldest)
    }

    /// The workers that have claimed tasks, sorted.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.rows.iter().map(|r| &r.worker)
    }

    fn position(&self, worker: &WorkerId) -> Result<usize, usize> {
        self.rows.binary_search_by(|r| r.worker.cmp(worker))
    }
}
