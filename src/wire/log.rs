//! The platform's append-only log, by HTTP: `POST /v1/log/append` and `GET /v1/log/read`.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::ids::{
    Millis,
    Offset, //
};

/// Body of an append: one entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Append {
    /// The entry's text; the log does not look into it.
    pub payload: String,
}

/// Answer to an append. An error or a lost answer says nothing about whether it took effect.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Appended {
    /// Where the entry stands.
    pub offset: Offset,
}

/// Query of a read.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Read {
    /// The first offset wanted.
    pub from: Offset,
    /// The most entries to return.
    pub max: u32,
    /// How long to wait for a first entry, in milliseconds.
    pub wait: u64,
}

/// One entry of the log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Entry {
    /// Its place.
    pub offset: Offset,
    /// When the platform took it, on the platform's clock since 1970.
    pub at: Millis,
    /// Its text.
    pub payload: String,
}

/// Answer to a read. When `first` is above the offset asked for, retention dropped the rest.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Page {
    /// The oldest offset that is still kept.
    pub first: Offset,
    /// The offset that the next append will get.
    pub next: Offset,
    /// The entries from the offset asked for, in order.
    pub entries: Vec<Entry>,
}
