//! Tests of `cactusctl` against running daemons.

use std::process::{Command, Output};

use cactushold_standin::environment::Environment;
use cactushold_standin::shapes::SMALL;

/// Runs `cactusctl` with the admin address of the first daemon.
async fn run(environment: &Environment, arguments: &[&str]) -> Output {
    let address = environment.daemons[0].admin.to_string();
    let mut command = Command::new(env!("CARGO_BIN_EXE_cactusctl"));
    command.args(["--daemon", &address]).args(arguments);
    let output = tokio::task::spawn_blocking(move || command.output());
    output.await.expect("the task completes").expect("cactusctl starts")
}

/// Runs a command and formats it with its output and exit code for a snapshot.
async fn step(environment: &Environment, arguments: &[&str]) -> String {
    let output = run(environment, arguments).await;
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    format!(
        "$ cactusctl {}\n{}{}[exit {}]\n\n",
        arguments.join(" "),
        text(&output.stdout),
        text(&output.stderr),
        output.status.code().unwrap_or(-1)
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn operator_session() {
    let mut environment = Environment::new().await;
    SMALL.start(&mut environment, std::time::Duration::from_millis(2)).await;
    let key_file = std::env::temp_dir().join(format!("cactushold-key-{}", std::process::id()));
    std::fs::write(&key_file, "a new key\n").expect("the file is written");
    let key_path = key_file.display().to_string();
    let mut session = String::new();
    let steps: &[&[&str]] = &[
        &["zone", "out", "a"],
        &["--base", "1", "zone", "in", "a"],
        &["zone", "in", "a"],
        &["workspace", "set", "maps", "--rate", "50", "--burst", "10"],
        &["workspace", "set", "maps", "--rate", "-3", "--burst", "10"],
        &["key", "grant", "maps", "main", "--file", &key_path],
        &["key", "grant", "maps", "main", "--file", &key_path],
        &["key", "withdraw", "maps", "other"],
        &["service", "set", "prices", "--slots", "0", "--connections", "4"],
        &["get"],
        &["patch", "no-such-file"],
    ];
    for arguments in steps {
        let entry = step(&environment, arguments).await;
        session += &entry.replace(&key_path, "KEY-FILE");
        let version = environment.status(0).await["config_version"].as_u64().expect("a version");
        environment.until_version(version).await;
    }
    std::fs::remove_file(&key_file).ok();
    insta::assert_snapshot!(session);
}

#[tokio::test(flavor = "multi_thread")]
async fn status_lists_every_instance_and_json_parses() {
    let mut environment = Environment::new().await;
    SMALL.start(&mut environment, std::time::Duration::from_millis(2)).await;
    let output = run(&environment, &["status"]).await;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    for daemon in &environment.daemons {
        assert!(text.contains(&daemon.name), "{text}");
    }
    let output = run(&environment, &["--json", "status"]).await;
    let members: serde_json::Value = serde_json::from_slice(&output.stdout).expect("valid JSON");
    assert_eq!(members.as_array().map(Vec::len), Some(5));
    let output = run(&environment, &["--json", "get"]).await;
    let desired_file =
        std::env::temp_dir().join(format!("cactushold-desired-{}", std::process::id()));
    std::fs::write(&desired_file, &output.stdout).expect("the file is written");
    let output = run(&environment, &["diff", &desired_file.display().to_string()]).await;
    std::fs::remove_file(&desired_file).ok();
    assert_eq!(String::from_utf8_lossy(&output.stdout), "no difference from version 1\n");
}

#[tokio::test]
async fn unreachable_daemon_has_its_own_exit_code() {
    // Nothing listens on port 9 (discard) of the loopback address.
    let output = Command::new(env!("CARGO_BIN_EXE_cactusctl"))
        .args(["--daemon", "127.0.0.1:9", "get"])
        .output()
        .expect("cactusctl starts");
    assert_eq!(output.status.code(), Some(5));
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(errors.contains("hint:"), "{errors}");
}
