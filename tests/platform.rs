//! The platform adapter: what it decodes and rejects, and that the platform's names occur nowhere
//! else.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
    time::Duration, //
};

use assert_matches::assert_matches;
use bamboolock::{
    cell::{
        engine::memory,
        model::{
            Availability,
            State, //
        },
        settings, //
    },
    platform::{
        api,
        boot,
        catalog,
        registration,
        store, //
    },
};
use serde_json::json;

mod platform {
    mod configuration;
    mod instances;
    mod permits;
    mod registrations;
    mod reports;
    mod server;
    mod store;
}

fn boot_text(change: impl FnOnce(&mut serde_json::Value)) -> String {
    let mut boot = json!({
        "node_name": "front-a-1", "role": "cell", "ip": "10.1.0.13", "zone": "a",
        "listen_addrs": {"front": "10.1.0.13:8161", "ready": "10.1.0.13:8167", "control": "10.1.0.13:8166"},
        "internal_ports": [7720, 7735], "heartbeat_ms": 1500, "advice": "10.200.1.9:8169",
        "limits": {"cpu_share": 0.25, "cpu_cores": 2},
        "bounds": {"grace_s": 6, "hold_max_ms": 6000, "stop_timeout_ms": 200, "gang_timeout_ms": 3000,
                   "status_s": 120, "remote_factor": 1.5},
        "platform": {"address": "10.200.1.7:8169", "call_bytes": 2097152},
        "a field of tomorrow": true
    });
    change(&mut boot);
    boot.to_string()
}

#[test]
fn settings_are_decoded_and_unknown_fields_ignored() {
    let cell = boot::decode("boot", &boot_text(|_| {})).unwrap();
    assert_eq!(cell.instance, "front-a-1");
    assert_eq!(cell.cpu_millicores, 500);
    assert_eq!(cell.peer.to_string(), "10.1.0.13:7720");
    assert_eq!(cell.max_lease, Duration::from_millis(6_000));
    assert_eq!(cell.retention, Duration::from_secs(120));
    let bare = boot_text(|boot| {
        boot["advice"] = json!(null);
        boot["listen_addrs"]
            .as_object_mut()
            .unwrap()
            .remove("control");
    });
    let cell = boot::decode("boot", &bare).unwrap();
    assert_eq!((cell.policy, cell.admin), (None, None));
}

#[test]
fn tasks_are_kept_apart_only_where_the_rules_say_so() {
    let cell = |parts| boot::decode("boot", &boot_text(|boot| boot["contracts"] = parts)).unwrap();
    assert!(!boot::decode("boot", &boot_text(|_| {})).unwrap().sharing);
    assert!(!cell(json!(["tenants"])).sharing);
    let both = cell(json!(["tenants", "sharing"]));
    assert!(both.sharing && both.access.required);
}

#[test]
fn limits_of_link_and_descriptors_are_read_and_checked() {
    let limits = |limits| boot::decode("boot", &boot_text(|boot| boot["limits"] = limits));
    let cell = limits(json!({"cpu_share": 0.5, "link_mbps": 200.0, "max_fds": 8_192})).unwrap();
    assert_eq!(cell.link_bytes(), Some(25_000_000));
    assert_eq!((cell.strength(), cell.max_connections), (500, 7_992));
    let slow = limits(json!({"cpu_share": 0.5, "link_mbps": 2.0, "max_fds": 100})).unwrap();
    assert_eq!((slow.strength(), slow.max_connections), (20, 0));
    let bare = limits(json!({"cpu_share": 0.5, "link_mbps": 0.0})).unwrap();
    assert_eq!((bare.link_bytes(), bare.strength()), (None, 500));
    for mbps in [-1.0, 1e300] {
        let findings = limits(json!({"cpu_share": 0.5, "link_mbps": mbps})).unwrap_err();
        assert_eq!(findings.list[0].place, "/limits/link_mbps");
    }
}

/// A limit that does not follow the machine lets clients run the process out of memory or descriptors.
#[test]
fn limits_of_clients_follow_the_machine_unless_they_are_set() {
    let limits = |limits| {
        let text = boot_text(|boot| boot["limits"] = limits);
        boot::decode("boot", &text).unwrap().limits
    };
    let small = limits(json!({"cpu_share": 0.5, "memory_mb": 160, "max_fds": 4_100}));
    assert_eq!(small, settings::Limits::new(160_000_000, 3_900));
    let unknown = settings::Limits::new(256_000_000, 1_024);
    assert_eq!(limits(json!({"cpu_share": 0.5})), unknown);
    assert_eq!(
        limits(json!({"cpu_share": 0.5, "memory_mb": 0, "max_fds": 0})),
        unknown
    );
    let set = json!({"caller_connections": 7, "caller_bytes": 8, "job_bytes": 9, "body_ms": 10});
    let set = limits(json!({"cpu_share": 0.5, "intake": set}));
    let callers = settings::Share {
        connections: 7,
        bytes: 8,
    };
    assert_eq!((set.callers, set.job_bytes), (callers, 9));
    assert_eq!((set.body_time, set.ready), (10, unknown.ready));
}

#[test]
fn all_faults_of_settings_are_reported_with_their_locations() {
    let text = boot_text(|boot| {
        boot["listen_addrs"]["front"] = json!("front:80");
        boot["platform"]["address"] = json!("");
        boot["internal_ports"] = json!([]);
    });
    let findings = boot::decode("boot", &text).unwrap_err();
    let places: Vec<&str> = findings.list.iter().map(|f| f.place.as_str()).collect();
    assert_eq!(
        places,
        [
            "/listen_addrs/front",
            "/platform/address",
            "/internal_ports"
        ]
    );
    let findings = boot::decode("boot", "{\n  \"node_name\": 3").unwrap_err();
    assert!(findings.to_string().contains("line 2"), "{findings}");
}

#[test]
fn queues_are_selected_by_host_and_longest_prefix() {
    let config = json!({
        "version": 7,
        "routes": [
            {"name": "short", "host": "h", "path_prefix": "/a/", "service": "s", "target_latency_ms": 400},
            {"name": "long", "host": "h", "path_prefix": "/a/b/", "service": "s", "target_latency_ms": 400,
             "max_attempts": 4, "advice": {"decide_ms": 350.0, "each_ms": 5.1, "valid_ms": 2000}},
        ],
        "services": [{"name": "s", "admission_control": true}],
        "limits": {"max_body_bytes": 1000}
    });
    let catalog = catalog::decode(config.to_string().as_bytes()).unwrap();
    assert_eq!(catalog.queue("h", "/a/b/1").unwrap().name, "long");
    assert_eq!(catalog.queue("h", "/a/1").unwrap().name, "short");
    assert_eq!(catalog.queue("g", "/a/1"), None);
    assert_eq!(catalog.queue("h", "/c/1"), None);
    assert_eq!(
        catalog.queues[1].policy_cost.unwrap().validity,
        Duration::from_secs(2)
    );
    assert!(catalog.services[0].enforces_capacity);
    assert_eq!(catalog.limits.body, 1_000);
    for bad in [
        "",
        "{}",
        r#"{"version":"x"}"#,
        r#"{"version":1,"routes":[{}]}"#,
        "\u{0}",
    ] {
        assert_matches!(catalog::decode(bad.as_bytes()), Err(_), "{bad:?}");
    }
}

#[test]
fn malformed_registrations_are_rejected() {
    let good = json!({
        "service": "s", "address": "10.128.0.9:8080", "zone": "a", "state": "draining", "born": 17, "sequence": 4,
        "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 1}, "labels": ["kind", "r1-3"], "remaining_ms": 100
    });
    let entry = registration::decode("i-1", good.to_string().as_bytes()).unwrap();
    assert_eq!(
        (entry.availability, entry.incarnation, entry.rack()),
        (Availability::Draining, 17, "r1-3")
    );
    assert_eq!(entry.capacity.millicores, 16_000);
    let broken = |change: fn(&mut serde_json::Value)| {
        let mut entry = good.clone();
        change(&mut entry);
        entry.to_string().into_bytes()
    };
    let rows = [
        broken(|e| e["state"] = json!("asleep")),
        broken(|e| e["capacity"] = json!("16")),
        broken(|e| e["address"] = json!("somewhere")),
        broken(|e| e["born"] = json!(1.5)),
        broken(|e| drop(e.as_object_mut().unwrap().remove("service"))),
        b"\xff\xfe".to_vec(),
        Vec::new(),
    ];
    for row in rows {
        assert_matches!(
            registration::decode("i-1", &row),
            Err(_),
            "{}",
            String::from_utf8_lossy(&row)
        );
    }
}

#[test]
fn all_fields_of_a_job_are_decoded() {
    let job = json!({
        "spec": "text", "start_at_ms": 5, "interval_ms": 6, "repeat_count": 7,
        "steps": [
            {"count": 4, "cpu": 500, "mem_mb": 256, "gpu": 1, "estimated_ms": 900, "affinity": "r1-3", "image": "resize:3"},
            {"count": 20, "depends_on": [0], "checkpointing": true, "gang": true, "same_rack": true, "requirements": "a",
             "anti_affinity": 2, "allow_duplicates": true, "long_running": true, "fills": true, "may_miss": 3}
        ]
    });
    let job = api::decode_job(job.to_string().as_bytes()).unwrap();
    assert_eq!((job.first_due, job.interval, job.occurrences), (5, 6, 7));
    let [first, second] = &job.steps[..] else {
        panic!("two steps")
    };
    assert_eq!(
        (
            first.count,
            first.demand.millicores,
            first.demand.accelerators
        ),
        (4, 500, 1)
    );
    assert_eq!((first.data_rack.as_str(), first.estimate), ("r1-3", 900));
    assert_eq!(
        (first.image.as_str(), second.image.as_str()),
        ("resize:3", "")
    );
    // Without an image, stored jobs stay as they were.
    let stored = serde_json::to_string(&job.steps).unwrap();
    assert_eq!(stored.matches("image").count(), 1);
    assert!(
        second.gang
            && second.compact
            && second.checkpoints
            && second.copies
            && second.long_running
            && second.opportunistic
    );
    assert_eq!(
        (
            second.label.as_str(),
            second.max_per_worker,
            second.max_unavailable
        ),
        ("a", 2, 3)
    );
    assert_eq!(second.depends_on, [0]);
    let error = api::decode_job(br#"{"steps":[{"count":-1}]}"#).unwrap_err();
    assert!(error.to_string().contains("column"), "{error}");
}

#[test]
fn states_are_encoded_in_the_platforms_terms() {
    let rows = [
        (State::Pending, r#"{"state":"pending"}"#),
        (State::Running, r#"{"state":"running"}"#),
        (State::Completed, r#"{"state":"completed"}"#),
        (State::Failed, r#"{"state":"failed"}"#),
        (State::Cancelled, r#"{"state":"cancelled"}"#),
    ];
    for (state, text) in rows {
        assert_eq!(api::encode_state(state), text.as_bytes());
    }
}

#[test]
fn records_are_encoded_with_length_key_and_value() {
    let record = |key: &str, value: Option<&[u8]>| store::Record {
        key: key.into(),
        value: value.map(|v| v.to_vec().into()),
    };
    let bytes = store::encode(&[record("ab", Some(b"xyz")), record("c", None)]);
    assert_eq!(
        &bytes[..],
        b"\x00\x00\x00\x06\x02abxyz\x00\x00\x00\x02\x01c"
    );
}

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn platform_names_occur_only_in_the_adapter() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    // Names of the platform that are not also ordinary terms.
    let names = [
        "/bamboolock/",
        "run_id",
        "expires_ms",
        "fencing_token",
        "last_seen",
        "decide_ms",
        "each_ms",
        "valid_ms",
        "path_prefix",
        "target_latency_ms",
        "max_attempts",
        "admission_control",
        "health_path",
        "listen_addrs",
        "internal_ports",
        "node_name",
        "hold_max_ms",
        "gang_timeout_ms",
        "stop_timeout_ms",
        "start_at_ms",
        "interval_ms",
        "repeat_count",
        "may_miss",
        "allow_duplicates",
        "same_rack",
        "anti_affinity",
        "estimated_ms",
        "checkpointing",
        "log-append",
        "log-read",
        "log-newest",
        "run-start",
        "run-stop",
        "keyed.jobs",
        "keyed.servers",
        "keyed.op",
        "keyed.owner",
        "x-expect-instance",
        "x-deadline-ms",
        "BAMBOOLOCK_BOOT",
        "cold_remaining_ms",
        "remaining_ms",
        "mem_mb",
        "clock_ms",
    ];
    let mut files = Vec::new();
    sources(&root.join("src"), &mut files);
    assert!(files.len() > 100, "the sources were not found");
    let mut outside = Vec::new();
    for file in files {
        let text = fs::read_to_string(&file).unwrap();
        for name in names {
            let quoted = format!("\"{name}\"");
            let field = format!("{name}:");
            let path = name.starts_with('/') || name.contains('-') || name.contains('.');
            if text.contains(&quoted) || text.contains(&field) || path && text.contains(name) {
                outside.push(format!(
                    "{}: {name}",
                    file.strip_prefix(root).unwrap().display()
                ));
            }
        }
    }
    assert!(outside.is_empty(), "{outside:#?}");
    let mut inside = Vec::new();
    sources(&root.join("platform"), &mut inside);
    let text: String = inside
        .iter()
        .map(|file| fs::read_to_string(file).unwrap())
        .collect();
    assert!(
        text.contains("run_id") && text.contains("/bamboolock/"),
        "the names do not occur in the adapter, so the check cannot fail"
    );
}

/// A body that decodes to many times its size runs the process out of memory.
#[test]
fn a_job_decodes_to_a_bounded_multiple_of_its_size() {
    let list = |item: &str, count: usize| vec![item; count].join(",");
    let decode = |steps: &str| api::decode_job(format!("{{\"steps\":[{steps}]}}").as_bytes());
    let step = r#"{"count":1}"#;
    let most = decode(&list(step, 20_000)).unwrap();
    let bytes = memory::submission_bytes(&most);
    assert!(bytes < 16 * 20_000 * step.len(), "{bytes}");
    let error = decode(&list(step, 20_001)).unwrap_err();
    assert!(error.to_string().contains("at most 20000"), "{error}");
    let depends = |count| format!(r#"{{"count":1,"depends_on":[{}]}}"#, list("0", count));
    let most = decode(&depends(20_000)).unwrap();
    assert!(memory::submission_bytes(&most) < 16 * 40_000);
    assert!(decode(&depends(20_001)).is_err());
    // Fields that are not known are skipped, whatever they hold.
    let unknown = format!(r#"{{"count":3,"x":[{}]}}"#, list("[0,{}]", 30_000));
    let job = decode(&unknown).unwrap();
    assert_eq!((job.steps.len(), job.steps[0].count), (1, 3));
}
