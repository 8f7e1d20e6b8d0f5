//! Settings files: comments are allowed, and each invalid value is reported
//! with its line.

use {
    cicadagate_node::settings::{InvalidValue, NodeSettings, Validate, parse},
    serde::Deserialize,
};

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Settings {
    node: NodeSettings,
}

impl Validate for Settings {
    fn validate(&self) -> Vec<InvalidValue> {
        self.node.validate()
    }
}

const GOOD: &str = r#"{
  // Where this process runs.
  "node": {
    "instance": "i1",
    "data_centre": "a", /* one of three */
    "listen": "127.0.0.1:0",
    "gossip": "127.0.0.1:0",
    "operations": "127.0.0.1:0",
    "log": "127.0.0.1:4000",
    "instances": "127.0.0.1:4000",
    "fleet_key": "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
  }
}"#;

fn error(text: &str) -> String {
    parse::<Settings>("x.json", text)
        .expect_err("a fault")
        .to_string()
}

#[test]
fn comments_are_allowed() {
    let settings: Settings = parse("x.json", GOOD).expect("fine");
    assert_eq!(settings.node.data_centre, "a");
}

#[test]
fn each_invalid_value_is_reported_with_its_line() {
    let cases = [
        (
            r#""i1""#,
            r#""""#,
            "x.json:4: instance: must have 1 to 64 bytes",
        ),
        (
            "127.0.0.1:4000\",\n    \"instances",
            "127.0.0.1:0\",\n    \"instances",
            "x.json:9: log: must name a port",
        ),
        (
            "1e1f",
            "1e",
            "x.json:11: fleet_key: must be 64 hexadecimal digits",
        ),
        ("\"log\"", "\"lgo\"", "unknown field `lgo`"),
        (
            "127.0.0.1:0\",\n    \"gossip",
            "localhost:0\",\n    \"gossip",
            "line 6",
        ),
        ("\"node\": {", "\"node\": [", "line 4"),
    ];
    for (from, to, expected) in cases {
        let text = GOOD.replacen(from, to, 1);
        assert_ne!(text, GOOD, "{from}");
        let error = error(&text);
        assert!(error.contains(expected), "{error}");
    }
}

#[test]
fn all_invalid_values_are_reported_at_once() {
    let text = GOOD.replace("\"i1\"", "\"\"").replace("1e1f", "zz");
    let error = error(&text);
    assert!(
        error.contains("instance") && error.contains("fleet_key"),
        "{error}"
    );
}
