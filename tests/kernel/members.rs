//! Tests of membership: liveness, ranking and heartbeats.

use bamboolock::{
    ids::{
        Incarnation,
        Millis, //
    },
    kernel::members::{
        Liveness,
        Members, //
    },
    wire::{
        list,
        peer::Heartbeat, //
    }, //
};

use super::values;

fn beat(at: usize, zone: &str, incarnation: u64) -> Heartbeat {
    Heartbeat {
        id: values::instance(at),
        incarnation: Incarnation(incarnation),
        zone: zone.parse().unwrap(),
        region: "island".parse().unwrap(),
        address: "127.0.0.1:1".into(),
        peer: "127.0.0.1:2".into(),
        next: bamboolock::ids::Offset(0),
        leaving: false,
        free: 0,
        held: 0,
        shapes: Vec::new(),
    }
}

fn members() -> Members {
    Members::new(values::membership(), values::me(0, "a", 1))
}

fn standing(members: &Members, now: u64) -> Liveness {
    members.liveness(Millis(now), &members.peers()[0])
}

/// Keys to distribute over the members.
fn keys() -> impl Iterator<Item = String> {
    (0..100).map(|at| format!("worker-{at}"))
}

fn preferred(members: &Members, now: u64) -> usize {
    let zone = "a".parse().unwrap();
    keys()
        .filter(|key| members.preferred(Millis(now), key, &zone))
        .count()
}

#[test]
fn silent_peer_is_suspect_before_it_is_dead() {
    for (name, zone, silence, expect) in [
        ("just under one second", "a", 999, Liveness::Alive),
        ("one second", "a", 1_000, Liveness::Suspect),
        ("just under two seconds", "a", 1_999, Liveness::Suspect),
        ("two seconds", "a", 2_000, Liveness::Dead),
        (
            "longer limit for a remote peer",
            "b",
            4_999,
            Liveness::Alive,
        ),
        ("remote peer after its limit", "b", 10_000, Liveness::Dead),
    ] {
        let mut members = members();
        members.record_heartbeat(Millis(100), &beat(1, zone, 1));
        assert_eq!(standing(&members, 100 + silence), expect, "{name}");
    }
}

#[test]
fn list_alone_does_not_change_liveness() {
    let mut members = members();
    let row = values::listed("entry-1", list::Role::Entry, "a");
    members.apply_listing(Millis(0), &values::listing(vec![row]));
    assert_eq!(standing(&members, 0), Liveness::Unknown);
    members.record_heartbeat(Millis(10), &beat(1, "a", 1));
    members.apply_listing(Millis(20), &values::listing(Vec::new()));
    assert_eq!(standing(&members, 20), Liveness::Alive);
}

/// Guards against a peer that counts as dead for ever: an instance names its incarnations by the wall
/// clock, which may be set back before the instance starts again.
#[test]
fn a_dead_peer_may_come_back_with_a_lower_incarnation() {
    for (name, silence, expect) in [
        ("late message of a former process", 1_999, Liveness::Suspect),
        (
            "process that started after a clock step",
            2_000,
            Liveness::Alive,
        ),
    ] {
        let mut members = members();
        members.record_heartbeat(Millis(100), &beat(1, "a", 7));
        members.record_heartbeat(Millis(100 + silence), &beat(1, "a", 6));
        assert_eq!(standing(&members, 100 + silence), expect, "{name}");
    }
}

#[test]
fn instance_ended_by_the_platform_is_dead_after_a_short_silence() {
    let mut members = members();
    members.record_heartbeat(Millis(0), &beat(1, "a", 1));
    let mut row = values::listed("entry-1", list::Role::Entry, "a");
    row.state = list::State::Gone;
    members.apply_listing(Millis(500), &values::listing(vec![row]));
    assert_eq!(standing(&members, 600), Liveness::Alive);
    assert_eq!(standing(&members, 1_100), Liveness::Dead);
}

#[test]
fn heartbeat_of_an_earlier_incarnation_is_ignored() {
    let mut members = members();
    members.record_heartbeat(Millis(0), &beat(1, "a", 2));
    members.record_heartbeat(Millis(1_500), &beat(1, "a", 1));
    assert_eq!(standing(&members, 1_500), Liveness::Suspect);
}

#[test]
fn members_share_only_the_keys_of_their_zone() {
    let mut members = members();
    members.record_heartbeat(Millis(0), &beat(1, "a", 1));
    members.record_heartbeat(Millis(0), &beat(2, "b", 1));
    let both = preferred(&members, 0);
    assert!((30..=70).contains(&both), "{both} of 100");
    let other = "b".parse().unwrap();
    assert!(keys().all(|key| !members.preferred(Millis(0), &key, &other)));
}

#[test]
fn a_peer_that_comes_back_is_preferred_only_once_it_has_settled() {
    let mut members = members();
    members.due_heartbeats(Millis(0));
    for now in (4_000..8_000).step_by(300) {
        members.record_heartbeat(Millis(now), &beat(1, "a", 1));
        let expect = now < 4_000 + 3_000;
        assert_eq!(preferred(&members, now) == 100, expect, "at {now} ms");
    }
    // A short silence changes nothing; a new incarnation has to settle again.
    assert!(preferred(&members, 9_000) < 100);
    members.record_heartbeat(Millis(9_000), &beat(1, "a", 2));
    assert_eq!(preferred(&members, 9_000), 100);
}

#[test]
fn leaving_instance_is_not_preferred_for_any_key() {
    let mut members = members();
    let mut leaving = beat(1, "a", 1);
    leaving.leaving = true;
    members.record_heartbeat(Millis(0), &leaving);
    assert_eq!(preferred(&members, 0), 100);
    members.leave();
    assert_eq!(preferred(&members, 0), 0);
}

#[test]
fn heartbeats_are_frequent_in_the_zone_and_rare_to_other_zones() {
    let mut members = members();
    let zones = ["a", "a", "b", "b", "b", "b", "b"];
    let rows = zones.iter().enumerate().map(|(at, zone)| {
        let id = values::instance(at + 1);
        values::listed(id.as_str(), list::Role::Entry, zone)
    });
    members.apply_listing(Millis(0), &values::listing(rows.collect()));
    let mut local = 0;
    let mut remote = Vec::new();
    for now in (0..3_000).step_by(100) {
        for target in members.due_heartbeats(Millis(now)) {
            match target.id.as_str() {
                "entry-1" | "entry-2" => local += 1,
                other => remote.push(other.to_owned()),
            }
        }
    }
    assert_eq!(local, 2 * 10);
    assert_eq!(remote.len(), 2 * 2);
    remote.sort_unstable();
    remote.dedup();
    assert_eq!(remote.len(), 2);
}
