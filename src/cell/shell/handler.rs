//! Answers callers' requests as the owner.

use std::{
    rc::Rc,
    time::Duration, //
};

use log::info;
use tokio::time;

use crate::cell::{
    engine::{
        Fate,
        Taken, //
    },
    model, //
};

use super::{
    owner::Owner,
    peer::{
        Outcome,
        Request, //
    }, //
};

/// Time without a stored batch, while one is out, after which new work is refused, in milliseconds.
const STORE_LOST: u64 = 900;

/// Seconds after which a caller should come back when the store does not answer. Jobs with time to
/// spare come back later, so that a caller's usual number of tries reaches beyond longer outages.
const STORE_RETRY: (u64, u64) = (1, 2);

/// Objective from which a job has time to spare, in milliseconds: a typical outage of the store.
const SPARE: u64 = 4_500;

/// Time between two looks at whether the store answers, while a job waits for it.
const LOOK: Duration = Duration::from_millis(150);

/// Answers a caller's request.
pub async fn answer(owner: &Rc<Owner>, request: Request) -> Outcome {
    if owner.is_over() {
        return Outcome::Elsewhere;
    }
    match request {
        Request::Submit {
            id,
            queue,
            work,
            patience,
        } => submit(owner, &id, *queue, *work, patience).await,
        Request::State { id } => match owner.engine.borrow().shown(&id) {
            Some(state) => Outcome::State(state),
            None => Outcome::Gone,
        },
        Request::Cancel { id, patience } => {
            let now = owner.now();
            let batch = owner.engine.borrow_mut().cancel(&id, now);
            owner.pump();
            let Some(batch) = batch else {
                return Outcome::Gone;
            };
            stored(owner, batch, patience).await
        }
        Request::Waiting { queue } => Outcome::Waiting(owner.engine.borrow().waiting(&queue)),
    }
}

/// When a refused caller should come back, in seconds.
fn come_back(queue: &model::Queue, work: &model::Submission) -> u64 {
    let longest: u64 = work.steps.iter().map(|step| step.estimate).sum();
    let objective = (longest as f64 * queue.stretch) as u64 + queue.target;
    let (soon, later) = STORE_RETRY;
    if objective < SPARE { soon } else { later }
}

async fn submit(
    owner: &Rc<Owner>,
    id: &str,
    queue: model::Queue,
    work: model::Submission,
    patience: u64,
) -> Outcome {
    let retry = come_back(&queue, &work);
    if owner.waits(STORE_LOST) && !owner.engine.borrow().is_stored(id) {
        // A job that may be on its way to the store is not refused: it may run.
        let pending = owner.engine.borrow().is_known(id);
        info!(job = id, waits = owner.now() - owner.waiting.get(), pending; "not taken: the store does not answer");
        return if pending {
            Outcome::Unknown
        } else {
            Outcome::Refused(retry)
        };
    }
    let now = owner.now();
    let taken = owner.engine.borrow_mut().submit(id, queue, work, now);
    owner.pump();
    match taken {
        Ok(Taken::Known) => Outcome::Accepted,
        Ok(Taken::In(batch)) => taken_in(owner, id, batch, patience, retry).await,
        Err(text) => Outcome::Invalid(text),
    }
}

/// Waits until a new job is stored. While the store does not answer, jobs that were not sent to it
/// are given up at once.
async fn taken_in(owner: &Rc<Owner>, id: &str, batch: u64, patience: u64, retry: u64) -> Outcome {
    let stored = stored(owner, batch, patience);
    let mut stored = std::pin::pin!(stored);
    loop {
        tokio::select! {
            outcome = &mut stored => return confirmed(owner, id, outcome, retry),
            () = time::sleep(LOOK) => {}
        }
        if owner.waits(STORE_LOST) && owner.engine.borrow_mut().withdraw(id) {
            info!(job = id, waits = owner.now() - owner.waiting.get(); "given up: the store does not answer");
            return Outcome::Refused(retry);
        }
    }
}

/// What a caller hears once the batch is stored that its job was to be in.
fn confirmed(owner: &Owner, id: &str, outcome: Outcome, retry: u64) -> Outcome {
    if outcome != Outcome::Accepted {
        return outcome;
    }
    match owner.engine.borrow().fate(id) {
        Fate::Stored => Outcome::Accepted,
        Fate::Pending => Outcome::Unknown,
        Fate::Withdrawn => {
            info!(job = id; "given up: another request for it was");
            Outcome::Refused(retry)
        }
    }
}

/// Waits until a batch is stored.
async fn stored(owner: &Rc<Owner>, batch: u64, patience: u64) -> Outcome {
    let mut durable = owner.durable.subscribe();
    let stored = durable.wait_for(|durable| *durable >= batch);
    tokio::select! {
        stored = stored => match stored {
            Ok(_) => Outcome::Accepted,
            Err(_) => Outcome::Unknown,
        },
        () = owner.ended() => Outcome::Elsewhere,
        () = time::sleep(Duration::from_millis(patience)) => Outcome::Unknown,
    }
}
