//! Former owners whose commands may still be in effect, and how long a new owner waits for them.

use compact_str::{
    CompactString,
    ToCompactString, //
};
use log::info;

use super::{
    Engine,
    Record,
    batch, //
};
use crate::cell::{
    cluster,
    journal, //
};

/// Added to the wait for workers that cannot be reached, in milliseconds.
pub(super) const RECONCILE_MARGIN_MS: u64 = 500;

/// A former owner that no later owner has outwaited.
#[derive(Debug, Clone)]
struct Former {
    record: journal::Owner,
    /// Local time at which it had certainly stopped sending commands, in milliseconds.
    gone_at: Option<u64>,
}

/// The owners of the cell up to this one.
#[derive(Debug, Default)]
pub(super) struct Succession {
    /// Instance of this owner; empty if its record is not kept.
    instance: CompactString,
    /// Former owners from the last settled one on, sorted by term.
    former: Vec<Former>,
    /// Whether all former owners have certainly stopped sending commands.
    settled: bool,
    /// Whether the records of this owner and the former ones are to be stored.
    unstored: bool,
    /// Keys of records that are no longer needed.
    obsolete: Vec<CompactString>,
}

fn key(term: u64) -> CompactString {
    journal::key(journal::Kind::Owner, &term.to_compact_string())
}

impl Succession {
    /// Takes the stored records of earlier owners.
    pub(super) fn load(&mut self, mut records: Vec<journal::Owner>) {
        records.sort_by_key(|owner| owner.term);
        let first = records.iter().rposition(|owner| owner.settled).unwrap_or(0);
        let current = records.split_off(first);
        self.obsolete = records.iter().map(|owner| key(owner.term)).collect();
        let former = current.into_iter().map(|record| Former {
            record,
            gone_at: None,
        });
        self.former = former.collect();
    }

    /// Adds a former owner, unless it is known.
    fn insert(&mut self, term: u64, instance: &str) {
        let Err(at) = self.former.binary_search_by_key(&term, |f| f.record.term) else {
            return;
        };
        let record = journal::Owner {
            term,
            instance: instance.into(),
            settled: false,
        };
        self.former.insert(
            at,
            Former {
                record,
                gone_at: None,
            },
        );
    }

    /// Marks the former owners at `instance` as gone; returns whether one was not marked yet.
    fn mark_gone(&mut self, instance: &str, now: u64) -> bool {
        let mut found = false;
        for former in &mut self.former {
            if former.record.instance == instance && former.gone_at.is_none() {
                former.gone_at = Some(now);
                found = true;
            }
        }
        found
    }

    /// Local time at which the last former owner before `term` was found to be gone, in
    /// milliseconds; `None` if one may still send commands or is not known.
    fn all_gone_at(&self, term: u64) -> Option<u64> {
        let first = self.former.first()?;
        // The record of an owner that was replaced at once may never have been stored.
        let terms = (first.record.term..term).zip(&self.former);
        let complete = terms
            .filter(|(term, former)| *term == former.record.term)
            .count() as u64
            == term - first.record.term;
        if !complete || !first.record.settled && first.record.term > 1 {
            return None;
        }
        let gone: Option<Vec<u64>> = self.former.iter().map(|f| f.gone_at).collect();
        gone?.into_iter().max()
    }

    /// Whether records are to be stored or deleted.
    pub(super) fn is_dirty(&self) -> bool {
        self.unstored || !self.obsolete.is_empty()
    }

    /// Takes the changes to store.
    pub(super) fn take_records(&mut self, term: u64) -> Vec<Record> {
        let mut records = Vec::new();
        if std::mem::take(&mut self.unstored) {
            let own = journal::Owner {
                term,
                instance: self.instance.clone(),
                settled: self.settled,
            };
            // The predecessor may have been replaced before it stored its record.
            let owners = self.former.iter().map(|f| &f.record).chain([&own]);
            records.extend(owners.map(|owner| {
                let key = key(owner.term);
                let value = batch::encode(&key, owner);
                (key, value)
            }));
        }
        let obsolete = std::mem::take(&mut self.obsolete);
        records.extend(obsolete.into_iter().map(|key| (key, None)));
        records
    }
}

impl Engine {
    /// Names the instance of this owner, and the term and instance of the owner that it replaces.
    pub fn succeed(&mut self, instance: &str, predecessor: Option<(u64, &str)>, now: u64) {
        let succession = &mut self.succession;
        succession.instance = instance.into();
        succession.unstored = true;
        if let Some((term, instance)) = predecessor {
            succession.insert(term, instance);
        }
        // An earlier term of this instance is over, in this process or with a former one.
        self.former_owner_gone(instance, now);
    }

    /// Records that former owners at `instance` send no more commands: the process has exited or has
    /// learned of this term. Once all are gone, the runs that they started end within one lease
    /// unless they are renewed.
    pub fn former_owner_gone(&mut self, instance: &str, now: u64) {
        if self.cluster.reconciled || !self.succession.mark_gone(instance, now) {
            return;
        }
        let Some(since) = self.succession.all_gone_at(self.term) else {
            info!(instance, term = self.term, former = self.succession.former.len(); "former owner sends no more commands, but others may");
            return;
        };
        let by = since + cluster::local_duration(self.times.lease) + RECONCILE_MARGIN_MS;
        if by < self.reconcile_by {
            info!(instance, within = by.saturating_sub(now), before = self.reconcile_by.saturating_sub(now);
                "former owner sends no more commands");
            self.reconcile_by = by;
        }
    }

    /// Records that no former owner can send commands any more.
    pub(super) fn settle(&mut self) {
        let succession = &mut self.succession;
        if succession.instance.is_empty() || succession.settled {
            return;
        }
        succession.settled = true;
        succession.unstored = true;
        let former = std::mem::take(&mut succession.former);
        let keys = former.iter().map(|f| key(f.record.term));
        succession.obsolete.extend(keys);
    }
}
