//! Tests of the program `bamboolock-admin` as a process.

use std::{
    net::TcpListener,
    process::{
        Child,
        Command,
        Stdio, //
    },
    time::Duration, //
};

use serde_json::{
    Value,
    json, //
};

use crate::{
    common::body,
    fake_log::{
        FakeLog,
        Fault, //
    }, //
};

/// A running `bamboolock-admin`, killed on drop.
struct Program {
    child: Option<Child>,
    address: String,
}

impl Drop for Program {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // The process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Program {
    fn start(log: &FakeLog) -> Self {
        let address = TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        let settings = json!({
            "id": "i1", "zone": "z1", "region": "r1", "listen": "127.0.0.1:1",
            "peer": "127.0.0.1:1", "admin": address, "platform": log.addr,
            "tokens": [{"operator": "ann", "access": "operator", "secret": "write-secret"}]
        });
        let file = std::env::temp_dir().join(format!("bamboolock-admin-{}.json", address.port()));
        std::fs::write(&file, settings.to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_bamboolock-admin"))
            .args(["--settings".as_ref(), file.as_os_str()])
            .stderr(Stdio::piped())
            .spawn();
        Self {
            child: Some(child.unwrap()),
            address: address.to_string(),
        }
    }

    fn terminate(&self) {
        let script = format!("kill -TERM {}", self.child.as_ref().unwrap().id());
        let status = Command::new("sh").arg("-c").arg(script).status();
        assert!(status.unwrap().success());
    }

    async fn ready(&self) {
        for _ in 0..1_000 {
            let asked = client()
                .get(format!("http://{}/readyz", self.address))
                .send();
            if asked.await.is_ok_and(|a| a.status().is_success()) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("not ready in time");
    }
}

fn client() -> awc::Client {
    awc::Client::builder()
        .timeout(Duration::from_secs(20))
        .finish()
}

#[actix::test]
async fn a_change_in_flight_is_answered_on_shutdown() {
    let log = FakeLog::start();
    let mut program = Program::start(&log);
    program.ready().await;
    log.fault(Fault::Down);
    let put = client()
        .put(format!("http://{}/v1/profiles/checks", program.address))
        .insert_header(("authorization", "Bearer write-secret"))
        .send_json(&json!({"base": 0, "change": "c1", "body": body(1)}));
    let stop = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        program.terminate();
        tokio::time::sleep(Duration::from_millis(300)).await;
        log.fault(Fault::None);
    };
    let (answer, ()) = tokio::join!(put, stop);
    let mut answer = answer.unwrap();
    let published: Value = answer.json().await.unwrap();
    assert_eq!(
        (answer.status().as_u16(), &published["version"]),
        (200, &json!(1))
    );
    let child = program.child.take().unwrap();
    let ended = tokio::task::spawn_blocking(|| child.wait_with_output()).await;
    let output = ended.unwrap().unwrap();
    assert!(output.status.success());
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(
        text.contains("change requested") && !text.contains("write-secret"),
        "{text}"
    );
}
