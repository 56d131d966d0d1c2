//! An index of claimed attempts by worker.

use crate::ids::{
    RunId,
    WorkerId, //
};

/// The claimed attempts of each worker that has any.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Claims {
    rows: Vec<Row>,
}

/// The claimed attempts of one worker, sorted.
#[derive(Debug, Clone, PartialEq)]
struct Row {
    worker: WorkerId,
    tasks: Vec<(RunId, u32)>,
}

impl Claims {
    /// Adds a task of a job.
    pub fn add(&mut self, worker: &WorkerId, run: &RunId, index: u32) {
        let at = match self.slot(worker) {
            Ok(at) => at,
            Err(at) => {
                let worker = worker.clone();
                let tasks = Vec::new();
                self.rows.insert(at, Row { worker, tasks });
                at
            }
        };
        let tasks = &mut self.rows[at].tasks;
        if let Err(at) = tasks.binary_search_by(|t| (&t.0, t.1).cmp(&(run, index))) {
            tasks.insert(at, (run.clone(), index));
        }
    }

    /// Takes a task of a job out.
    pub fn remove(&mut self, worker: &WorkerId, run: &RunId, index: u32) {
        let Ok(row) = self.slot(worker) else {
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

    /// The tasks claimed on a worker, as job and task index.
    #[must_use]
    pub fn on(&self, worker: &WorkerId) -> &[(RunId, u32)] {
        match self.slot(worker) {
            Ok(at) => &self.rows[at].tasks,
            Err(_) => &[],
        }
    }

    /// The workers that have any, sorted.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.rows.iter().map(|r| &r.worker)
    }

    fn slot(&self, worker: &WorkerId) -> Result<usize, usize> {
        self.rows.binary_search_by(|r| r.worker.cmp(worker))
    }
}
