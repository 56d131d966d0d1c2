//! One other entry instance, as it was listed and heard.

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

/// How a peer stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// Listed, never heard.
    Unknown,
    /// Heard lately.
    Alive,
    /// Silent for a while: it gets no forwarded requests.
    Suspect,
    /// Silent for so long that its workers are asked for.
    Dead,
}

/// One other entry instance.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Who.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// `IP:port` for callers.
    pub caller_address: CompactString,
    /// `IP:port` for peers.
    pub peer_address: CompactString,
    /// Whether it said that it is shutting down.
    pub leaving: bool,
    /// Slots that it last reported as free on the workers it holds.
    pub free: u32,
    pub(super) contact: Option<Contact>,
    pub(super) list_state: list::State,
    pub(super) last_sent: Option<Millis>,
}

/// The present life of a peer, as heard.
#[derive(Debug, Clone, Copy)]
pub(super) struct Contact {
    pub(super) incarnation: Incarnation,
    pub(super) first_heard: Millis,
    pub(super) last_heard: Millis,
}

impl Peer {
    /// A peer that the list names.
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

    /// A peer that was heard.
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
