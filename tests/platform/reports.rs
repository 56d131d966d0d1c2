//! Malformed parts of a worker's answers: each affects itself alone, unless it hides what runs.

use std::time::Duration;

use assert_matches::assert_matches;
use bamboolock::{
    cell::{
        fencing::Token,
        model::{
            Outcome,
            Reply,
            Report,
            TaskName,
            Verdict, //
        }, //
    },
    platform::worker::{
        self,
        ReportRequest, //
    },
    remote::link,
};

use super::server::{
    self,
    LIMIT, //
};

const TASK: &str = "5c0e7a21d94b36f8.0.1.17";

const REQUEST: ReportRequest = ReportRequest {
    token: Token::first(1),
    acknowledged: 0,
    expires: None,
    wait: Duration::ZERO,
};

async fn answer(status: u16, body: Vec<u8>) -> Result<Result<Report, Reply>, link::Error> {
    let (link, _) = server::start(status, vec![body]).await;
    worker::request_report(&link, "w", &REQUEST, LIMIT).await
}

async fn report(body: &str) -> Result<Report, link::Error> {
    let answer = answer(200, body.as_bytes().to_vec()).await;
    answer.map(|report| report.unwrap())
}

fn body(running: &str, ended: &str) -> String {
    format!(r#"{{"clock_ms":5000,"born":17,"running":[{running}],"ended":[{ended}]}}"#)
}

#[actix::test]
async fn a_run_counts_although_the_rest_of_its_row_is_malformed() {
    let nested = server::nested();
    let rows = [
        format!(r#"["{TASK}",2]"#),
        format!(r#"["{TASK}",2,7,41,9]"#),
        format!(r#"["{TASK}",2,null,null,null]"#),
        format!(r#"["{TASK}",2,"","x","y"]"#),
        format!(r#"["{TASK}",2,"",1e400,1e400]"#),
        format!(r#"["{TASK}",2,{nested},41,9]"#),
        format!(r#"["{TASK}",2,"",41,{nested}]"#),
        format!(r#"["{TASK}",2,"",41,9,{nested},"a column of tomorrow"]"#),
    ];
    for row in rows {
        let good = r#"["00000bb87a21d94b.0.0.0",1,"saved",41,9]"#;
        let report = report(&body(&format!("{row},{good}"), "")).await;
        let report = report.unwrap_or_else(|e| panic!("{row:.60}: {e}"));
        let runs: Vec<_> = report
            .running
            .iter()
            .map(|r| (r.task.index, r.run))
            .collect();
        assert_eq!(runs, [(17, 2), (0, 1)], "{row:.60}");
        assert_eq!(report.running[0].checkpoint, "", "{row:.60}");
        assert_eq!(report.running[1].checkpoint, "saved");
        assert_eq!((report.clock, report.incarnation), (5_000, 17));
    }
}

#[actix::test]
async fn a_report_that_hides_what_runs_is_malformed() {
    let nested = server::nested();
    let rows = [
        "7".to_owned(),
        "[]".to_owned(),
        "{}".to_owned(),
        nested.clone(),
        format!(r#"["{TASK}"]"#),
        r#"["",2,""]"#.to_owned(),
        r#"["no task",2,""]"#.to_owned(),
        format!(r#"["{TASK}.9",2,""]"#),
        r#"["5c0e7a21d94b36f8.0.1.4294967296",2,""]"#.to_owned(),
        r#"["5c0e7a21d94b36f8.0.-1.1",2,""]"#.to_owned(),
        format!(r#"["{TASK}",4294967295,""]"#),
        format!(r#"["{TASK}",18446744073709551616,""]"#),
        format!(r#"["{TASK}",1e400,""]"#),
        format!(r#"["{TASK}",-1,""]"#),
        format!(r#"["{TASK}",1.5,""]"#),
        format!(r#"["{TASK}",{nested},""]"#),
    ];
    for row in rows {
        let report = report(&body(&row, "")).await;
        assert_matches!(report, Err(link::Error::Malformed(_)), "{:.60}", row);
    }
}

#[actix::test]
async fn a_malformed_end_does_not_spoil_its_report() {
    let nested = server::nested();
    let rows = [
        "7".to_owned(),
        "[]".to_owned(),
        nested.clone(),
        format!(r#"[58,"{TASK}"]"#),
        r#"[58,"no task",1,"done",""]"#.to_owned(),
        format!(r#"["58","{TASK}",1,"done",""]"#),
        format!(r#"[-1,"{TASK}",1,"done",""]"#),
        format!(r#"[1e400,"{TASK}",1,"done",""]"#),
        format!(r#"[18446744073709551615,"{TASK}",1,"done",""]"#),
        format!(r#"[18446744073709551616,"{TASK}",1,"done",""]"#),
        format!(r#"[58,"{TASK}",4294967295,"done",""]"#),
        format!(r#"[58,"{TASK}",{nested},"done",""]"#),
    ];
    for row in rows {
        let good = r#"[59,"00000bb87a21d94b.0.0.0",1,"done",""]"#;
        let report = report(&body("", &format!("{row},{good}"))).await;
        let report = report.unwrap_or_else(|e| panic!("{row:.60}: {e}"));
        let ends: Vec<_> = report.ended.iter().map(|e| (e.number, e.outcome)).collect();
        assert_eq!(ends, [(59, Outcome::Done)], "{row:.60}");
    }
}

#[actix::test]
async fn a_malformed_end_is_not_acknowledged_with_a_later_one() {
    let good = |n: u32| format!(r#"[{n},"{TASK}",1,"done",""]"#);
    let bad = ["7", r#"[58,"no task",1,"done",""]"#, r#"[[],[]]"#];
    for row in bad {
        let first = report(&body("", &format!("{row},{}", good(59)))).await;
        assert_eq!(first.unwrap().unread, Some(1), "{row}");
        let between = format!("{},{row},{row},{}", good(57), good(60));
        let report = report(&body("", &between)).await.unwrap();
        assert_eq!(report.unread, Some(58), "{row}");
    }
    let report = report(&body("", &good(59))).await.unwrap();
    assert_eq!(report.unread, None);
}

#[actix::test]
async fn a_run_that_ended_in_an_unknown_way_has_not_succeeded() {
    let nested = server::nested();
    for outcome in [r#""exploded""#, r#""""#, "7", "null", nested.as_str()] {
        let row = format!(r#"[58,"{TASK}",2,{outcome},{outcome}]"#);
        let report = report(&body("", &row)).await.unwrap();
        let [end] = &report.ended[..] else {
            panic!("{outcome:.40}");
        };
        assert_eq!((end.number, end.run, end.outcome), (58, 2, Outcome::Lapsed));
        let task = TaskName {
            job: "5c0e7a21d94b36f8".into(),
            occurrence: 0,
            step: 1,
            index: 17,
        };
        assert_eq!(end.task, task);
    }
}

#[actix::test]
async fn a_report_without_a_plausible_clock_is_malformed() {
    let nested = server::nested();
    let numbers = [
        "18446744073709551615",
        "18446744073709551000",
        "18446744073709551616",
        "9007199254740993",
        "1e400",
        "-1",
        "1.5",
        "null",
        "\"7\"",
        nested.as_str(),
    ];
    for number in numbers {
        let clock = format!(r#"{{"clock_ms":{number},"born":17,"running":[],"ended":[]}}"#);
        let born = format!(r#"{{"clock_ms":5000,"born":{number},"running":[],"ended":[]}}"#);
        for body in [clock, born] {
            let report = report(&body).await;
            assert_matches!(report, Err(link::Error::Malformed(_)), "{:.60}", body);
        }
    }
}

#[actix::test]
async fn a_body_that_is_no_report_is_malformed() {
    let bodies = [
        Vec::new(),
        b"no JSON".to_vec(),
        b"\xff\xfe".to_vec(),
        b"null".to_vec(),
        b"{}".to_vec(),
        server::nested().into_bytes(),
        br#"{"clock_ms":5000,"running":{},"ended":[]}"#.to_vec(),
        br#"{"clock_ms":5000,"running":[],"ended":7}"#.to_vec(),
        br#"{"clock_ms":5000,"running":[["5c0e"#.to_vec(),
    ];
    for body in bodies {
        let report = answer(200, body.clone()).await;
        let text = String::from_utf8_lossy(&body);
        assert_matches!(report, Err(link::Error::Malformed(_)), "{:.40}", text);
    }
}

#[actix::test]
async fn a_reply_keeps_its_reason_although_its_clock_is_malformed() {
    let nested = server::nested();
    for clock in [
        "18446744073709551615",
        "1e400",
        "-1",
        "\"x\"",
        nested.as_str(),
    ] {
        let body = format!(r#"{{"clock_ms":{clock},"reason":"fence"}}"#);
        let reply = answer(409, body.into_bytes()).await.unwrap().unwrap_err();
        assert_eq!(
            (reply.verdict, reply.clock),
            (Verdict::Fenced, None),
            "{clock:.40}"
        );
    }
    for body in ["", "no JSON", r#"{"reason":7}"#, nested.as_str()] {
        let reply = answer(409, body.as_bytes().to_vec())
            .await
            .unwrap()
            .unwrap_err();
        assert_eq!(
            (reply.verdict, reply.clock),
            (Verdict::Old, None),
            "{body:.40}"
        );
    }
}

#[actix::test]
async fn a_full_page_is_partial_although_its_ends_are_malformed() {
    let row = |n: u32| format!(r#"[{n},"no task",1,"done",""]"#);
    let ended = (1..=500).map(row).collect::<Vec<_>>().join(",");
    assert!(report(&body("", &ended)).await.unwrap().partial);
    let ended = (1..=499).map(row).collect::<Vec<_>>().join(",");
    assert!(!report(&body("", &ended)).await.unwrap().partial);
}
