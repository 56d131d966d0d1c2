//! State of one other entry instance, from the platform's list and its heartbeats.

use compact_str::CompactString;

use crate::{
    ids::{
        Incarnation,
        InstanceId,
        Millis,
        RegionId,
        ZoneId, //
    },
    wire::{
        list,
        peer::Heartbeat, //
    }, //
};

/// Liveness of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// In the list, but no heartbeat has arrived yet.
    Unknown,
    /// A heartbeat arrived recently.
    Alive,
    /// No heartbeat for a while; the peer gets no forwarded requests.
    Suspect,
    /// No heartbeat for so long that other instances ask for the leases of its workers.
    Dead,
}

/// One other entry instance.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Id of the peer.
    pub id: InstanceId,
    /// Availability zone of the peer.
    pub zone: ZoneId,
    /// Region of the peer.
    pub region: RegionId,
    /// `IP:port` at which the peer serves callers.
    pub caller_address: CompactString,
    /// `IP:port` at which the peer serves other instances.
    pub peer_address: CompactString,
    /// Whether the peer announced that it is shutting down.
    pub leaving: bool,
    /// Number of free slots on the peer's workers, as last reported.
    pub free: u32,
    pub(super) contact: Option<Contact>,
    pub(super) list_state: list::State,
    pub(super) last_sent: Option<Millis>,
}

/// Heartbeats of a peer's current incarnation.
#[derive(Debug, Clone, Copy)]
pub(super) struct Contact {
    pub(super) incarnation: Incarnation,
    pub(super) first_heard: Millis,
    pub(super) last_heard: Millis,
}

impl Peer {
    /// Creates a peer from its entry in the platform's list.
    pub(super) fn from_list(id: InstanceId, instance: &list::Instance) -> Self {
        Self {
            id,
            zone: instance.zone.clone(),
            region: instance.region.clone(),
            caller_address: instance.address.clone(),
            peer_address: instance.peer.clone(),
            leaving: false,
            free: 0,
            contact: None,
            list_state: instance.state,
            last_sent: None,
        }
    }

    /// Creates a peer from its first heartbeat.
    pub(super) fn from_heartbeat(beat: &Heartbeat) -> Self {
        Self {
            id: beat.id.clone(),
            zone: beat.zone.clone(),
            region: beat.region.clone(),
            caller_address: beat.address.clone(),
            peer_address: beat.peer.clone(),
            leaving: beat.leaving,
            free: beat.free,
            contact: None,
            list_state: list::State::Live,
            last_sent: None,
        }
    }
}
