//! Puts the parts of snapshots together.
//!
//! A state can be larger than one entry may be, so a snapshot stands in the log as several records
//! of one author, in order; other entries and other authors' parts may lie between them.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::Offset,
    ledger::record, //
};

/// Most bytes of text in one part. Its quotes are escaped in the entry, which at most doubles it.
pub const PART: usize = 256 * 1_024;

/// A snapshot of which some parts were seen.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Progress {
    by: record::Author,
    next: Offset,
    parts: u32,
    seen: u32,
    /// The text so far, if it is kept.
    text: String,
}

/// The snapshots of which some parts were seen; at most one of each author.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Assembly {
    open: Vec<Progress>,
}

impl Assembly {
    /// Takes the next part. Returns the whole text when it was the last one.
    ///
    /// A part that was seen before is ignored, and one after a missing part gives its snapshot up.
    pub fn take(&mut self, by: &record::Author, part: &record::SnapshotPart) -> Option<String> {
        if part.part == 0 {
            self.begin(by, part);
        }
        let at = self.open.iter().position(|p| p.by == *by)?;
        let progress = &mut self.open[at];
        if progress.next != part.next || part.part < progress.seen {
            return None;
        }
        if part.part > progress.seen || part.parts != progress.parts {
            self.open.remove(at);
            return None;
        }
        progress.seen += 1;
        progress.text.push_str(&part.text);
        if progress.seen < progress.parts {
            return None;
        }
        Some(self.open.remove(at).text)
    }

    /// The same as [`Assembly::take`] for a reader that needs no text.
    pub fn follow(&mut self, by: &record::Author, part: &record::SnapshotPart) -> bool {
        let bare = record::SnapshotPart {
            text: String::new(),
            ..*part
        };
        self.take(by, &bare).is_some()
    }

    /// Gives up the snapshots that cover less than `next`.
    pub fn forget(&mut self, next: Offset) {
        self.open.retain(|p| p.next > next);
    }

    /// Gives everything up.
    pub fn clear(&mut self) {
        self.open.clear();
    }

    fn begin(&mut self, by: &record::Author, part: &record::SnapshotPart) {
        let known = self.open.iter().position(|p| p.by == *by);
        match known {
            Some(at) if self.open[at].next >= part.next => return,
            Some(at) => drop(self.open.remove(at)),
            None => {}
        }
        self.open.push(Progress {
            by: by.clone(),
            next: part.next,
            parts: part.parts,
            seen: 0,
            text: String::new(),
        });
    }
}

/// Cuts the text of a state into parts of at most `size` bytes each.
#[must_use]
pub fn cut(next: Offset, text: &str, size: usize) -> Vec<record::SnapshotPart> {
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
