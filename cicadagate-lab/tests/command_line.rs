//! Command lines and settings files of the binaries.

use std::{env, fs, path::PathBuf, process::Command};

const BINARIES: [&str; 4] = [
    "cicadagate-entry",
    "cicadagate-dispatch",
    "cicadagate-batch",
    "cicadagate-operator",
];

const SETTINGS: &str = r#"{
  // A comment.
  "node": {
    "instance": "i1", "data_centre": "a",
    "listen": "127.0.0.1:0", "gossip": "127.0.0.1:0", "operations": "127.0.0.1:0",
    "log": "127.0.0.1:1", "instances": "127.0.0.1:1",
    "fleet_key": "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
  }
}"#;

fn binary(name: &str) -> PathBuf {
    let exe = env::current_exe().expect("a path");
    exe.ancestors()
        .nth(2)
        .expect("the target directory")
        .join(name)
}

/// Runs a binary and returns its exit code, and its standard output and error
/// as one text.
fn run(name: &str, args: &[&str]) -> (i32, String) {
    let output = Command::new(binary(name))
        .args(args)
        .output()
        .expect("it runs");
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code().unwrap_or(-1),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

fn write_file(name: &str, text: &str) -> String {
    let path = env::temp_dir().join(format!("cicadagate-{}-{name}.json", std::process::id()));
    fs::write(&path, text).expect("written");
    path.display().to_string()
}

#[test]
fn binaries_check_their_settings() {
    let good = write_file("good", SETTINGS);
    let bad = write_file(
        "bad",
        &SETTINGS.replace("\"i1\"", "\"\"").replace("1e1f", "zz"),
    );
    let unknown = write_file("unknown", &SETTINGS.replace("\"listen\"", "\"lisen\""));
    for name in BINARIES {
        assert_eq!(run(name, &["--check", &good]).0, 0, "{name}");
        let (code, text) = run(name, &["--check", &bad]);
        assert_eq!(code, 2, "{name}: {text}");
        assert!(
            text.contains(":4: instance") && text.contains(":7: fleet_key"),
            "{text}"
        );
        let (code, text) = run(name, &["--check", &unknown]);
        assert_eq!(code, 2, "{name}: {text}");
        assert!(
            text.contains("unknown field `lisen`") && text.contains("line 5"),
            "{text}"
        );
    }
}

#[test]
fn binaries_print_help_and_version() {
    for name in BINARIES {
        let (code, text) = run(name, &["--version"]);
        assert_eq!(code, 0);
        assert!(text.starts_with(name), "{text}");
        let (code, text) = run(name, &["--help"]);
        assert_eq!(code, 0);
        assert!(text.contains("--check"), "{text}");
        assert_eq!(run(name, &["--none"]).0, 2);
        assert_eq!(run(name, &[]).0, 2, "a settings file is needed");
    }
}

#[test]
fn cicadactl_has_exit_codes_for_scripts() {
    assert_eq!(run("cicadactl", &["--help"]).0, 0);
    assert_eq!(run("cicadactl", &["none"]).0, 2);
    // No process listens on port 1.
    let (code, text) = run("cicadactl", &["--operator", "127.0.0.1:1", "list"]);
    assert_eq!(code, 4, "{text}");
}
