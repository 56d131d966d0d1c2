//! Bytes and messages by route and by the caller's and the target's availability zone.

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

/// What was moved on one route between two places.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The route: the first part of the flow after `/v1/`.
    pub route: CompactString,
    /// The caller's availability zone; empty when it did not say.
    pub from: CompactString,
    /// The target's availability zone; `platform` for log and list.
    pub to: CompactString,
    /// Whether both are known to lie in different regions.
    pub crossing: bool,
    /// Messages.
    pub messages: u64,
    /// Bytes of requests, headers and bodies.
    pub received: u64,
    /// Bytes of answers, headers and bodies.
    pub sent: u64,
}

/// One way that bytes can take.
#[derive(Debug, Clone, Copy)]
pub struct Flow<'a> {
    /// The route.
    pub route: &'a str,
    /// The caller's availability zone.
    pub from: &'a str,
    /// The target's availability zone.
    pub to: &'a str,
    /// Whether it leads from one region to another.
    pub crossing: bool,
}

/// All rows, sorted by route, caller and target.
#[derive(Debug, Default)]
pub struct Traffic {
    rows: Vec<Row>,
}

impl Traffic {
    /// Counts a message by the bytes of its request.
    pub fn receive(&mut self, flow: &Flow<'_>, bytes: u64) {
        let row = self.row(flow);
        row.messages += 1;
        row.received += bytes;
    }

    /// Counts the bytes of an answer.
    pub fn send(&mut self, flow: &Flow<'_>, bytes: u64) {
        self.row(flow).sent += bytes;
    }

    /// The rows so far.
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
