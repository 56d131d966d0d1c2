//! The roster in the owner's replies to heartbeats: small, and sent only when it has changed.

use bamboolock::cell::shell::{
    peer::Heartbeat,
    roster::Roster, //
};
use compact_str::format_compact;

fn beat(n: u32) -> Heartbeat {
    Heartbeat {
        instance: format_compact!("i{n:03}"),
        address: "10.0.0.1:7000".into(),
        term: 1,
        strength: 1_000 - n,
        roster: 0,
    }
}

fn roster(instances: u32, now: u64) -> Roster {
    let mut roster = Roster::new(1);
    (0..instances).for_each(|n| roster.record(&beat(n), now));
    roster
}

#[test]
fn replies_at_300_instances_do_not_fill_the_link() {
    let mut roster = roster(300, 1_000);
    let mut known = vec![0; 300];
    let mut listed = 0;
    // Ten seconds of heartbeats, 400 ms apart.
    for round in 0..25 {
        let now = 1_000 + round * 400;
        for n in 0..300 {
            roster.record(&beat(n), now);
            let excerpt = roster.excerpt(&beat(n).instance, known[n as usize], now);
            known[n as usize] = excerpt.version;
            listed += excerpt.members.map_or(0, |members| members.len());
        }
    }
    // Each instance needs the candidates once; the first eight need all.
    assert!(listed <= 300 * 16 + 8 * 300, "{listed} members were sent");
}

#[test]
fn the_first_candidates_know_all_instances_and_each_its_rank() {
    let mut roster = roster(40, 1_000);
    for (n, len) in [(0, 40), (7, 40), (8, 16), (39, 16)] {
        let excerpt = roster.excerpt(&beat(n).instance, 0, 1_000);
        assert_eq!(excerpt.rank, Some(u64::from(n)));
        assert_eq!(excerpt.members.unwrap().len(), len, "rank {n}");
    }
}

#[test]
fn a_change_is_sent_to_those_that_have_an_older_version() {
    let mut roster = roster(3, 1_000);
    let first = roster.excerpt("i001", 0, 1_000);
    assert_eq!(roster.excerpt("i001", first.version, 1_100).members, None);
    // The first instance falls silent.
    for now in (1_400..6_000).step_by(400) {
        roster.record(&beat(1), now);
        roster.record(&beat(2), now);
    }
    let next = roster.excerpt("i001", first.version, 6_000);
    assert_eq!(next.rank, Some(0));
    let members = next.members.unwrap();
    assert_eq!(members.len(), 2);
    assert!(Roster::new(2).excerpt("i001", 0, 0).version > next.version);
}

#[test]
fn some_lost_heartbeats_do_not_change_the_roster() {
    let mut roster = roster(3, 1_000);
    let first = roster.excerpt("i001", 0, 1_000);
    assert_eq!(roster.excerpt("i001", first.version, 3_500).members, None);
}
