//! The operators' commands, run as separate processes against a log and a running VM.

#![expect(clippy::unwrap_used, reason = "A set-up that fails fails the test.")]

use serde_json::Value;
use std::path::PathBuf;
use std::time::Duration;
use tempfile::TempDir;
use tokio::process::Command;
use trefoilgauge::configs::Settings;
use trefoilgauge::context::Process;
use trefoilgauge::modules::process;
use trefoilgauge::modules::process::Running;
use trefoilgauge::records::Batch;
use trefoilgauge::records::BatchId;
use trefoilgauge::records::CONTROL_SCHEMA;
use trefoilgauge::records::Entry;
use trefoilgauge_standins::client::Client;
use trefoilgauge_standins::fault_rate::FaultRate;
use trefoilgauge_standins::log::LogHandle;
use trefoilgauge_standins::log::LogOptions;
use trefoilgauge_standins::vms::VmsHandle;
use trefoilgauge_standins::vms::VmsOptions;

const CALL_LIMIT: Duration = Duration::from_secs(10);

/// The exit code and output of a command.
#[derive(Debug)]
struct Ended {
    code: Option<i32>,
    out: String,
    err: String,
}

impl Ended {
    fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap()
    }
}

/// Runs trefoilctl with these arguments.
async fn ctl(words: &[&str]) -> Ended {
    let output = Command::new(env!("CARGO_BIN_EXE_trefoilctl"))
        .args(words)
        .output()
        .await
        .unwrap();
    Ended {
        code: output.status.code(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Returns an address on which nothing listens.
fn free_addr() -> String {
    let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    socket.local_addr().unwrap().to_string()
}

/// A log, a VM's entry and placer processes, and a directory for records.
struct Fixture {
    log: LogHandle,
    _vms: VmsHandle,
    entry: Running,
    _placer: Running,
    folder: TempDir,
}

impl Fixture {
    async fn open() -> Self {
        let log = LogHandle::spawn(LogOptions::default()).await.unwrap();
        let vms = VmsHandle::spawn(VmsOptions::default()).await.unwrap();
        let mut settings = Settings::default();
        let any: trefoilgauge::prelude::Name = "127.0.0.1:0".into();
        settings.log.addr = log.addr().to_string().into();
        settings.peers.vms_addr = vms.addr().to_string().into();
        settings.callers.listen = any.clone();
        settings.ops.entry_listen = any.clone();
        settings.peers.entry_listen = any.clone();
        settings.ops.placer_listen = any.clone();
        settings.peers.placer_listen = any;
        let placer = process::spawn(Process::Placer, settings.clone());
        let placer = placer.await.unwrap();
        let entry = process::spawn(Process::Entry, settings).await.unwrap();
        Self {
            log,
            _vms: vms,
            entry,
            _placer: placer,
            folder: tempfile::tempdir().unwrap(),
        }
    }

    fn log(&self) -> String {
        self.log.addr().to_string()
    }

    fn vm(&self) -> String {
        self.entry.ops.to_string()
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path: PathBuf = self.folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    /// Returns the version of pool `p` in force, or 0 if there is none.
    async fn version(&self) -> u64 {
        let url = format!("http://{}/ops/ledger/pools", self.vm());
        let pools = Client::new(CALL_LIMIT).get(&url).await.unwrap();
        let pools: Value = pools.json().unwrap();
        pools["p"]["version"].as_u64().unwrap_or(0)
    }

    /// Publishes pool `p` with `slots` slots, replacing version `replaces`.
    async fn publish(&self, id: &str, replaces: u64, slots: u64) -> Ended {
        let text = format!(
            r#"{{"schema":2,"change":"{id}","object":"pool/p","replaces":{replaces},
                "body":{{"slots":{slots}}}}}"#
        );
        let file = self.file(&format!("{id}.json"), &text);
        let log = self.log();
        let vm = self.vm();
        let wait = ["--wait-ms", "3000", "--json"];
        let words = ["publish", &file, "--log", &log, "--vm", &vm];
        ctl(&[&words[..], &wait].concat()).await
    }
}

#[tokio::test]
async fn a_published_change_is_in_force_and_a_change_of_a_replaced_version_is_refused() {
    let fixture = Fixture::open().await;
    let first = fixture.publish("first", 0, 8).await;
    assert_eq!(Some(0), first.code, "{first:?}");
    let report = &first.json()[0];
    assert_eq!(Value::from(1), report["version"]);
    assert!(report["places"][0]["seen"]["in_force"].is_u64(), "{report}");

    let accepted = fixture.publish("won", 1, 4).await;
    let rejected = fixture.publish("lost", 1, 2).await;
    assert_eq!((Some(0), Some(1)), (accepted.code, rejected.code));
    assert!(
        rejected.err.contains("another change won"),
        "{}",
        rejected.err
    );

    let vm = fixture.vm();
    let listed = ctl(&["changes", "--vm", &vm, "--json"]).await.json();
    let refused = listed.as_array().unwrap().iter();
    let refused: Vec<bool> = refused
        .map(|change| !change["refused"].as_array().unwrap().is_empty())
        .collect();
    assert_eq!(vec![false, false, true], refused);
}

#[tokio::test]
async fn of_two_concurrent_publishers_one_succeeds_and_the_other_is_refused() {
    let fixture = Fixture::open().await;
    for round in 0..3 {
        let version = fixture.log.records("config").len() as u64;
        let replaces = fixture.version().await;
        let ids = [format!("a{round}"), format!("b{round}")];
        let (a, b) = tokio::join!(
            fixture.publish(&ids[0], replaces, 4),
            fixture.publish(&ids[1], replaces, 8),
        );
        let mut codes = [a.code, b.code];
        codes.sort();
        assert_eq!([Some(0), Some(1)], codes, "{a:?} {b:?}");
        assert_eq!(version + 1, fixture.version().await);
    }
}

#[tokio::test]
async fn the_sample_configuration_of_a_deployment_is_published_in_order() {
    let fixture = Fixture::open().await;
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("deploy/atlas/config");
    let entries = std::fs::read_dir(root).unwrap();
    let mut files: Vec<String> = entries
        .map(|entry| entry.unwrap().path().display().to_string())
        .collect();
    files.sort();
    let log = fixture.log();
    let vm = fixture.vm();
    let mut words = vec!["publish", "--log", &log, "--vm", &vm, "--json"];
    words.extend(files.iter().map(String::as_str));
    let ended = ctl(&words).await;
    assert_eq!(Some(0), ended.code, "{ended:?}");
    assert_eq!(files.len(), ended.json().as_array().unwrap().len());
    let shown = ctl(&["workspaces", "--vm", &vm, "--json"]).await.json();
    let names: Vec<&String> = shown.as_object().unwrap().keys().collect();
    assert_eq!(
        ["accountants", "bursars", "cooperatives", "workshop"],
        names[..]
    );
}

#[tokio::test]
async fn a_vm_that_reads_a_newer_schema_leaves_rotation_and_applies_no_later_change() {
    let fixture = Fixture::open().await;
    assert_eq!(Some(0), fixture.publish("first", 0, 8).await.code);
    let newer = r#"{"schema":3,"change":"new","object":"pool/p","replaces":1,"body":{}}"#;
    fixture.log.append("config", newer);
    let late = fixture.publish("late", 1, 4).await;
    assert_eq!(Some(1), late.code, "{late:?}");
    let url = format!("http://{}/ready", fixture.vm());
    let ready = Client::new(CALL_LIMIT).get(&url).await.unwrap();
    let body: Value = ready.json().unwrap();
    assert_eq!((503, &Value::from(1)), (ready.status, &body["too_new"]));
}

#[tokio::test]
async fn an_append_whose_response_is_lost_is_read_back_and_not_repeated() {
    let fixture = Fixture::open().await;
    fixture
        .log
        .set(|faults| faults.lose_answer = FaultRate::next(1));
    let ended = fixture.publish("first", 0, 8).await;
    assert_eq!(Some(0), ended.code, "{ended:?}");
    assert_eq!(1, fixture.log.records("config").len());
}

#[tokio::test]
async fn a_change_that_cannot_be_confirmed_is_not_reported_as_in_force() {
    let fixture = Fixture::open().await;
    let file = fixture.file(
        "a.json",
        r#"{"schema":2,"change":"a","object":"pool/p","replaces":0,"body":{}}"#,
    );
    let log = fixture.log();
    let unreachable = free_addr();
    let words = [
        "publish",
        &file,
        "--log",
        &log,
        "--vm",
        &unreachable,
        "--wait-ms",
        "200",
    ];
    let ended = ctl(&words).await;
    assert_eq!(Some(3), ended.code, "{ended:?}");
    fixture.log.set(|faults| faults.outage = true);
    let ended = ctl(&words).await;
    assert_eq!(Some(3), ended.code, "{ended:?}");
    assert_eq!(1, fixture.log.records("config").len());
}

#[tokio::test]
async fn nothing_is_published_if_one_file_is_invalid() {
    let fixture = Fixture::open().await;
    let good = fixture.file(
        "a.json",
        r#"{"schema":2,"change":"a","object":"pool/p","replaces":0,"body":{}}"#,
    );
    let wrong = fixture.file(
        "b.json",
        "{\"schema\":2,\"change\":\"b\",\"object\":\"kind/k\",\"replaces\":0,\n  \"body\":{\"pool\":7}}",
    );
    let log = fixture.log();
    let ended = ctl(&["publish", &good, &wrong, "--log", &log]).await;
    assert_eq!(Some(2), ended.code);
    assert!(
        ended.err.contains("b.json:2:11 /body/pool: must be a text"),
        "{}",
        ended.err
    );
    assert!(
        ended.err.contains("b.json:2:3 /body/deadline_ms"),
        "{}",
        ended.err
    );
    assert!(fixture.log.records("config").is_empty());
}

#[tokio::test]
async fn wrong_usage_and_findings_exit_with_two_and_help_with_zero() {
    let cases: [(&[&str], i32); 6] = [
        (&["--help"], 0),
        (&["print-config"], 0),
        (&["no-such-command"], 2),
        (&["validate"], 2),
        (&["jobs", "--vm", "nowhere"], 2),
        (&["validate", "no-such-file"], 2),
    ];
    for (words, expected) in cases {
        let ended = ctl(words).await;
        assert_eq!(Some(expected), ended.code, "{words:?}: {ended:?}");
    }
}

#[tokio::test]
async fn a_job_is_explained_from_the_log_alone() {
    let fixture = Fixture::open().await;
    assert_eq!(Some(0), fixture.publish("pool", 0, 8).await.code);
    let records = [
        r#"{"schema":1,"change":"kind","object":"kind/k","replaces":0,
            "body":{"pool":"p","deadline_ms":1000,"idempotent":true}}"#,
        r#"{"schema":2,"change":"workspace","object":"workspace/w","replaces":0,
            "body":{"quota":8,"kinds":["k"]}}"#,
        r#"{"schema":2,"change":"rack","object":"rack/r","replaces":0,"body":{"centre":"c",
            "workers":[{"name":"worker-1","addr":"127.0.0.1:1","accelerators":8,"cores":8,
            "memory_gb":8}]}}"#,
    ];
    let log = fixture.log();
    let vm = fixture.vm();
    for (i, text) in records.iter().enumerate() {
        let file = fixture.file(&format!("{i}.json"), text);
        let ended = ctl(&["publish", &file, "--log", &log, "--vm", &vm]).await;
        assert_eq!(Some(0), ended.code, "{ended:?}");
    }
    let callers = fixture.entry.callers.unwrap();
    let url = format!("http://{callers}/v1/workspaces/w/jobs");
    let body = r#"{"id":"job-1","kind":"k","members":2,"accelerators":4,"run_ms":1000}"#;
    let client = Client::new(CALL_LIMIT);
    let answer = client.post(&url, &[], body).await.unwrap();
    assert_eq!(201, answer.status, "{answer:?}");
    fixture.entry.drain().await;

    let ended = ctl(&["explain", "job-1", "--log", &log, "--json"]).await;
    assert_eq!(Some(0), ended.code, "{ended:?}");
    let found = ended.json();
    let steps = found["list"].as_array().unwrap();
    let submitted = steps
        .iter()
        .find(|step| step["decision"] == "submit in force");
    assert_eq!(Value::from(4), submitted.unwrap()["cfg"], "{steps:?}");
    let unknown = ctl(&["explain", "job-2", "--log", &log]).await;
    assert_eq!(Some(1), unknown.code);
}

#[tokio::test]
async fn explain_reports_what_the_log_no_longer_retains() {
    let log = LogHandle::spawn(LogOptions::default()).await.unwrap();
    for seq in 1..=300 {
        let batch = Batch {
            schema: CONTROL_SCHEMA,
            id: BatchId {
                writer: "vm-1/entry".into(),
                boot: 1,
                seq,
            },
            at_ms: 1_000,
            cfg: 0,
            entries: vec![Entry::Cancel {
                job: "job-1".into(),
            }],
        };
        log.append("control", serde_json::to_string(&batch).unwrap());
    }
    log.set_keep(200);
    let addr = log.addr().to_string();
    let ended = ctl(&["explain", "job-1", "--log", &addr]).await;
    assert_eq!(Some(0), ended.code, "{ended:?}");
    assert!(ended.out.contains("cancel proposed"), "{}", ended.out);
    assert!(
        ended.err.contains("control records below 100 are gone"),
        "{}",
        ended.err
    );
    assert!(
        ended.err.contains("verdicts on 200 proposed"),
        "{}",
        ended.err
    );
}

#[tokio::test]
async fn a_job_is_explained_from_collected_logs() {
    let folder = TempDir::new().unwrap();
    let time = |second: u32| format!("2026-12-04T08:00:{second:02}.500000000Z");
    let job = "978a903b0a292343";
    let one = [
        format!("{} [INFO] TG1101 start vm=vm-1 centre=a", time(1)),
        format!("{} [INFO] TG1307 leading epoch=3", time(2)),
        format!(
            "{} [INFO] TG1201 job={job} queue=q workspace=w accepted config=4",
            time(10)
        ),
        format!(
            "{} [INFO] TG1201 job=0000000000000001 queue=q accepted",
            time(10)
        ),
        format!(
            "{} [WARN] TG1505 upstream=i-2 silent misses=2 runs=1",
            time(12)
        ),
        format!(
            "{} [WARN] TG1505 upstream=i-9 silent misses=2 runs=1",
            time(12)
        ),
        format!(
            "{} [INFO] TG1308 epoch=3 lead given up: told to leave",
            time(13)
        ),
        "not a line of a log".to_owned(),
    ];
    // A log collector has put the seconds and the VM's name before each line.
    let two = [
        format!("13.6 vm-2 {} [INFO] TG1307 leading epoch=4", time(13)),
        format!(
            "15.1 vm-2 {} [INFO] TG1605 job={job} step=0 upstream=i-2 settled",
            time(15)
        ),
        format!(
            "16.2 vm-2 {} [INFO] TG1204 call path=/q/{job} reply=Unknown",
            time(16)
        ),
        format!(
            "40.0 vm-2 {} [INFO] TG1308 epoch=4 lead given up: later",
            time(40)
        ),
    ];
    let mut words = vec!["explain".to_owned(), job.to_owned()];
    for (name, lines) in [("1.log", one.join("\n")), ("2.log", two.join("\n"))] {
        let path = folder.path().join(name);
        std::fs::write(&path, lines).unwrap();
        words.extend(["--logs".to_owned(), path.display().to_string()]);
    }
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let ended = ctl(&words).await;
    assert_eq!(Some(0), ended.code, "{ended:?}");
    let cells = |line: &str| -> Vec<String> {
        let words = line.split_whitespace().skip(1).take(2);
        words.map(str::to_owned).collect()
    };
    let shown: Vec<Vec<String>> = ended.out.lines().skip(1).map(cells).collect();
    let expected = [
        ["vm-1", "TG1201"],
        ["vm-1", "TG1505"],
        ["vm-1", "TG1308"],
        ["vm-2", "TG1307"],
        ["vm-2", "TG1605"],
        ["vm-2", "TG1204"],
    ];
    assert_eq!(shown, expected, "{}", ended.out);
    let words = ["explain", "none", "--logs", words[3]];
    assert_eq!(Some(1), ctl(&words).await.code);
    let words = ["explain", "none", "--logs", "no-such-file"];
    assert_eq!(Some(2), ctl(&words).await.code);
}
