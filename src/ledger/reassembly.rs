//! Reassembles snapshots from their parts.
//!
//! A state can exceed the size limit of a log entry, so a snapshot is written as several records of
//! one author, in order; other entries and other authors' parts may be interleaved.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::Offset,
    ledger::record, //
};

/// Maximum size of the text in one part, in bytes. Escaping quotes in the entry at most doubles
/// the size.
pub const MAX_PART_BYTES: usize = 256 * 1_024;

/// A snapshot of which some parts have been read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Partial {
    by: record::Author,
    next: Offset,
    parts: u32,
    seen: u32,
    /// Concatenated text of the parts read so far; empty when only progress is tracked.
    text: String,
}

/// The incomplete snapshots, at most one for each author.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Reassembly {
    open: Vec<Partial>,
}

impl Reassembly {
    /// Adds the next part. Returns the complete text after the last part.
    ///
    /// A repeated part is ignored; a part after a gap discards its snapshot.
    pub fn add(&mut self, by: &record::Author, part: &record::SnapshotPart) -> Option<String> {
        if part.part == 0 {
            self.start(by, part);
        }
        let at = self.open.iter().position(|p| p.by == *by)?;
        let partial = &mut self.open[at];
        if partial.next != part.next || part.part < partial.seen {
            return None;
        }
        if part.part > partial.seen || part.parts != partial.parts {
            self.open.remove(at);
            return None;
        }
        partial.seen += 1;
        partial.text.push_str(&part.text);
        if partial.seen < partial.parts {
            return None;
        }
        Some(self.open.remove(at).text)
    }

    /// Adds the next part without keeping its text. Returns whether the snapshot is complete.
    pub fn track(&mut self, by: &record::Author, part: &record::SnapshotPart) -> bool {
        let textless = record::SnapshotPart {
            text: String::new(),
            ..*part
        };
        self.add(by, &textless).is_some()
    }

    /// Discards the snapshots that do not reach beyond `next`.
    pub fn discard_below(&mut self, next: Offset) {
        self.open.retain(|p| p.next > next);
    }

    /// Discards all incomplete snapshots.
    pub fn clear(&mut self) {
        self.open.clear();
    }

    fn start(&mut self, by: &record::Author, part: &record::SnapshotPart) {
        let known = self.open.iter().position(|p| p.by == *by);
        match known {
            Some(at) if self.open[at].next >= part.next => return,
            Some(at) => drop(self.open.remove(at)),
            None => {}
        }
        self.open.push(Partial {
            by: by.clone(),
            next: part.next,
            parts: part.parts,
            seen: 0,
            text: String::new(),
        });
    }
}

/// Splits the text of a state into parts of at most `size` bytes each.
#[must_use]
pub fn split(next: Offset, text: &str, size: usize) -> Vec<record::SnapshotPart> {
    let mut pieces = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let (piece, tail) = rest.split_at(rest.floor_char_boundary(size.max(4)));
        pieces.push(piece);
        rest = tail;
    }
    let parts = u32::try_from(pieces.len()).unwrap_or(u32::MAX);
    let numbered = (0..).zip(pieces);
    numbered
        .map(|(part, piece)| record::SnapshotPart {
            next,
            part,
            parts,
            text: piece.to_owned(),
        })
        .collect()
}
