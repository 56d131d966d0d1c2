//! Counts of bytes and messages by route and by the availability zones of caller and target.

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

/// Traffic on one route between two zones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Route: the first segment of the path after `/v1/`.
    pub route: CompactString,
    /// Availability zone of the caller; empty if it declared none.
    pub from: CompactString,
    /// Availability zone of the target; `platform` for the log and the list.
    pub to: CompactString,
    /// Whether both regions are known and differ.
    pub crossing: bool,
    /// Number of messages.
    pub messages: u64,
    /// Bytes of requests, with headers and bodies.
    pub received: u64,
    /// Bytes of answers, with headers and bodies.
    pub sent: u64,
}

/// Route with the zones of caller and target.
#[derive(Debug, Clone, Copy)]
pub struct Flow<'a> {
    /// Route of the messages.
    pub route: &'a str,
    /// Availability zone of the caller.
    pub from: &'a str,
    /// Availability zone of the target.
    pub to: &'a str,
    /// Whether the regions of both zones are known and differ.
    pub crossing: bool,
}

/// Traffic rows, sorted by route, caller and target.
#[derive(Debug, Default)]
pub struct Traffic {
    rows: Vec<Row>,
}

impl Traffic {
    /// Counts a message and the bytes of its request.
    pub fn receive(&mut self, flow: &Flow<'_>, bytes: u64) {
        let row = self.row(flow);
        row.messages += 1;
        row.received += bytes;
    }

    /// Counts the bytes of an answer.
    pub fn send(&mut self, flow: &Flow<'_>, bytes: u64) {
        self.row(flow).sent += bytes;
    }

    /// Returns the rows so far.
    #[must_use]
    pub fn rows(&self) -> Vec<Row> {
        self.rows.clone()
    }

    fn row(&mut self, flow: &Flow<'_>) -> &mut Row {
        let key = (flow.route, flow.from, flow.to);
        let order = |r: &Row| (r.route.as_str(), r.from.as_str(), r.to.as_str()).cmp(&key);
        let at = match self.rows.binary_search_by(order) {
            Ok(at) => at,
            Err(at) => {
                self.rows.insert(at, Row::new(flow));
                at
            }
        };
        &mut self.rows[at]
    }
}

impl Row {
    fn new(flow: &Flow<'_>) -> Self {
        Self {
            route: flow.route.into(),
            from: flow.from.into(),
            to: flow.to.into(),
            crossing: flow.crossing,
            messages: 0,
            received: 0,
            sent: 0,
        }
    }
}
