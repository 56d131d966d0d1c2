//! Commits the owner's batches to the store, in order and each exactly once.

use std::{
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use futures_util::{
    StreamExt,
    stream::FuturesUnordered, //
};
use log::{
    debug,
    info,
    warn, //
};
use tokio::time::{
    self,
    Instant, //
};

use crate::platform::store;

use super::{
    Shared,
    owner::Owner, //
};

/// Time for which changes are collected into a batch: half a round trip to the store.
const BATCH_DELAY: Duration = Duration::from_millis(8);

/// Time without a response after which a duplicate of an append is sent; the store deduplicates
/// them by their sequence number.
const REPEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of one append.
const APPEND_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum number of concurrent appends of the same records.
const MAX_IN_FLIGHT: usize = 4;

/// Pause after a rejected append.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Commits batches until the term is over. An append without records confirms the term when there is
/// nothing to commit.
pub async fn run(shared: Rc<Shared>, owner: Rc<Owner>, mut sequence: u64) {
    loop {
        owner.commit.notified().await;
        time::sleep(BATCH_DELAY).await;
        let batch = owner.engine.borrow_mut().take_batch();
        let Some((number, entries)) = batch else {
            let now = shared.now();
            if owner.engine.borrow().needs_proof(now) {
                owner.waiting_since.set(now);
                if !append(&shared, &owner, &mut sequence, Bytes::new()).await {
                    return;
                }
                owner.waiting_since.set(0);
            }
            continue;
        };
        owner.waiting_since.set(shared.now());
        let began = Instant::now();
        for part in split_batch(&shared, entries) {
            if !append(&shared, &owner, &mut sequence, part).await {
                return;
            }
        }
        shared.metrics.observe_commit(began.elapsed());
        owner.waiting_since.set(0);
        let now = shared.now();
        owner.engine.borrow_mut().batch_stored(number, now);
        owner.durable.send_replace(number);
        owner.commit.notify_one();
        owner.batch_stored();
    }
}

/// Splits a batch into bodies that fit into one append each.
fn split_batch(
    shared: &Shared,
    entries: Vec<(compact_str::CompactString, Option<Vec<u8>>)>,
) -> Vec<Bytes> {
    let mut parts = Vec::new();
    let mut records = Vec::new();
    let mut size = 0;
    for (key, value) in entries {
        let len = 5 + key.len() + value.as_ref().map_or(0, Vec::len);
        if size + len > shared.settings.max_append && !records.is_empty() {
            parts.push(store::encode(&records));
            records.clear();
            size = 0;
        }
        size += len;
        records.push(store::Record {
            key,
            value: value.map(Bytes::from),
        });
    }
    parts.push(store::encode(&records));
    parts
}

/// Retries an append until it succeeds; returns false if the term is over.
async fn append(shared: &Rc<Shared>, owner: &Owner, sequence: &mut u64, body: Bytes) -> bool {
    let began = Instant::now();
    // A repeated append may get the response to an earlier copy.
    let sent = shared.now();
    let mut failing = false;
    loop {
        let condition = store::Condition::Epoch(owner.term(), *sequence);
        match append_hedged(shared, condition, &body).await {
            Ok(()) => {
                *sequence += 1;
                shared.note_store_answer();
                owner.engine.borrow_mut().confirm_ownership(sent);
                if failing {
                    info!(took = began.elapsed().as_millis() as u64; "store accepts batches again");
                }
                return true;
            }
            Err(store::Error::Fenced) => {
                owner.end("fenced: the store has seen a higher term");
                return false;
            }
            Err(store::Error::WrongSequence(Some(expected))) if expected > *sequence => {
                // An earlier copy of the batch was stored, so long ago that the store does not
                // recognise the duplicate.
                warn!(sequence = *sequence, expected; "batch was already stored");
                *sequence = expected;
                return true;
            }
            Err(store::Error::WrongSequence(Some(expected))) => {
                warn!(sequence = *sequence, expected; "sequence number mismatch; retrying with the expected one");
                *sequence = expected;
            }
            Err(e) => {
                if !failing {
                    warn!(bytes = body.len(); "batch not stored, retrying: {e}");
                }
                failing = true;
                time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Sends an append, and duplicates of it until one gets a response. The store executes it once, and
/// a store that has recovered is noticed within [`REPEAT_INTERVAL`].
async fn append_hedged(
    shared: &Rc<Shared>,
    condition: store::Condition,
    body: &Bytes,
) -> Result<(), store::Error> {
    let mut in_flight = FuturesUnordered::new();
    loop {
        if in_flight.len() < MAX_IN_FLIGHT {
            shared.metrics.appends.inc();
            in_flight.push(store::append(
                &shared.store,
                store::JOBS,
                condition,
                body.clone(),
                APPEND_TIMEOUT,
            ));
        }
        // A copy that still waits for the link needs no duplicate.
        let pause = time::sleep(REPEAT_INTERVAL + shared.uplink.backlog());
        let mut pause = std::pin::pin!(pause);
        loop {
            tokio::select! {
                Some(answer) = in_flight.next() => match answer {
                    Err(store::Error::Unknown(e)) => debug!("append without response: {e}"),
                    answer => return answer,
                },
                () = &mut pause => break,
            }
        }
    }
}
