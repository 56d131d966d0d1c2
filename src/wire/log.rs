//! The platform's append-only log, over HTTP: `POST /v1/log/append` and `GET /v1/log/read`.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::ids::{
    Millis,
    Offset, //
};

/// Request body of an append of one entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Append {
    /// Payload of the entry, opaque to the log.
    pub payload: String,
}

/// Response to an append. After an error or a lost response, the entry may or may not have been
/// appended.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the entry.
    pub offset: Offset,
}

/// Query parameters of a read.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Read {
    /// First offset to return.
    pub from: Offset,
    /// Maximum number of entries to return.
    pub max: u32,
    /// Maximum time to wait for a first entry, in milliseconds.
    pub wait: u64,
}

/// One entry of the log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Entry {
    /// Offset of the entry.
    pub offset: Offset,
    /// Time of the append, in milliseconds since 1970 on the platform's clock.
    pub at: Millis,
    /// Payload of the entry.
    pub payload: String,
}

/// Response to a read. When `first` is higher than the requested offset, retention has removed the
/// entries in between.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Page {
    /// Oldest offset that is still retained.
    pub first: Offset,
    /// Offset that the next append will get.
    pub next: Offset,
    /// Entries from the requested offset, in order.
    pub entries: Vec<Entry>,
}
