//! Malformed input gets a clear error response and does not disturb the fleet.

#[path = "support/mod.rs"]
mod support;

use {
    cicadagate_lab::load::Outcome,
    serde_json::{Value, json},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream, UdpSocket},
        time::Duration,
    },
    support::{MODEL, Setup, run, small_spec, start},
};

async fn post(setup: &Setup, path: &str, body: &str) -> (u16, Value) {
    let entry = setup.fleet.entries()[0];
    let request = awc::Client::default().post(format!("http://{entry}{path}"));
    let request = request.insert_header(("authorization", format!("Bearer {}", setup.key)));
    let mut res = request
        .send_body(body.to_owned())
        .await
        .expect("a response");
    let status = res.status().as_u16();
    let body = res.body().limit(1 << 20).await.expect("a body");
    (status, serde_json::from_slice(&body).unwrap_or_default())
}

/// Writes raw bytes to a TCP connection and returns what it receives until the
/// connection ends or a timeout.
fn raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).expect("connected");
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("set");
    // The peer may close the connection before all bytes are written.
    let _ = stream.write_all(bytes);
    let mut out = Vec::new();
    let _ = stream.read_to_end(&mut out);
    String::from_utf8_lossy(&out).into_owned()
}

#[test]
fn callers_get_clear_errors() {
    run(async {
        let setup = start(small_spec("bad-input")).await;
        let chat = "/v1/chat/completions";
        let cases = [
            (chat, "{", 400, "malformed_json"),
            (chat, "[]", 400, "malformed_json"),
            (chat, "{}", 400, "invalid_request"),
            (
                chat,
                r#"{"model":"none","messages":[{"role":"user","content":"x"}]}"#,
                404,
                "model_not_found",
            ),
            (
                chat,
                r#"{"model":"draft-1","messages":[]}"#,
                400,
                "invalid_request",
            ),
            (
                chat,
                r#"{"model":"draft-1","messages":[{"content":"x"}]}"#,
                400,
                "invalid_request",
            ),
            (
                chat,
                r#"{"model":"draft-1","messages":[{"role":"user","content":"x"}],"max_tokens":-1}"#,
                400,
                "invalid_request",
            ),
            (
                chat,
                r#"{"model":"draft-1","messages":[{"role":"user","content":"poison"}]}"#,
                422,
                "endpoint_refused",
            ),
            (
                "/v1/batches",
                r#"{"input_file_id":"file-zz","endpoint":"/v1/x"}"#,
                400,
                "invalid_request",
            ),
            (
                "/v1/batches",
                r#"{"input_file_id":"file-00","endpoint":"/v1/x"}"#,
                404,
                "not_found",
            ),
            ("/v1/files", "x", 400, "malformed_form"),
            ("/v1/none", "{}", 404, "unknown_path"),
            ("/none", "{}", 404, "unknown_path"),
        ];
        for (path, request, status, code) in cases {
            let (got, body) = post(&setup, path, request).await;
            assert_eq!(
                (got, &body["error"]["code"]),
                (status, &json!(code)),
                "{path} {request} {body}"
            );
            assert_eq!(body["error"]["not_run"], status != 422, "{body}");
        }
        let (status, body) = post(&setup, chat, &"x".repeat(5 << 20)).await;
        assert_eq!(
            (status, &body["error"]["code"]),
            (413, &json!("body_too_long"))
        );
        invalid_files(&setup).await;
        invalid_keys(&setup).await;
        malformed_messages(&setup);
        let caller = &setup.caller;
        let result = caller
            .chat(setup.fleet.entries()[0], MODEL, "still", 3, true)
            .await;
        assert_eq!(result.outcome, Outcome::Right);
    });
}

async fn invalid_files(setup: &Setup) {
    let entry = setup.fleet.entries()[0];
    let line = r#"{"custom_id":"a","method":"POST","url":"/v1/x","body":{}}"#;
    let cases = [
        (format!("{line}\n{{"), "line 2"),
        (
            format!("{line}\n\n{line}"),
            "line 3: custom_id 'a' is there twice",
        ),
        (line.replace("POST", "GET"), "line 1: 'method' must be POST"),
        (line.replace("{}", "3"), "line 1: 'body' must be an object"),
        (line.replace("custom_id", "id"), "line 1"),
        (String::new(), "1 to 60000 lines"),
    ];
    for (lines, expected) in cases {
        let error = setup
            .caller
            .upload(entry, &lines)
            .await
            .expect_err("rejected");
        assert!(
            error.contains(expected) && error.contains("invalid_file"),
            "{error}"
        );
    }
}

async fn invalid_keys(setup: &Setup) {
    let entry = setup.fleet.entries()[0];
    for (name, value) in [("authorization", "Bearer wrong"), ("x-none", "x")] {
        let url = format!("http://{entry}/v1/models");
        let mut res = awc::Client::default()
            .get(url)
            .insert_header((name, value))
            .send()
            .await
            .expect("a response");
        assert_eq!(res.status().as_u16(), 401);
        let body: Value = res.json().await.expect("JSON");
        assert_eq!(body["error"]["not_run"], true);
    }
}

/// Sends malformed and oversized messages to the ports of an instance; its
/// processes keep serving.
fn malformed_messages(setup: &Setup) {
    let entry = setup.fleet.entries()[0];
    let headers = "x-flood: y\r\n".repeat(5_000);
    let flood = format!("GET /v1/models HTTP/1.1\r\n{headers}\r\n");
    assert!(!raw(entry, flood.as_bytes()).contains("200 OK"));
    assert!(!raw(entry, b"\x00\x01\x02 nonsense\r\n\r\n").contains("200 OK"));
    for name in ["i1-dispatch", "i1-batch", "i1-operator"] {
        let addr = setup.fleet.address(name, "listen").expect("an address");
        raw(addr, &[0xff; 4096]);
        raw(
            addr,
            b"\x00\x00\x00\x20 not sealed by the fleet's key at all",
        );
    }
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bound");
    for role in ["entry", "dispatch", "batch", "operator"] {
        let name = format!("i1-{role}");
        let gossip = setup.fleet.address(&name, "gossip").expect("an address");
        for len in [0, 1, 16, 100, 4_000] {
            socket.send_to(&vec![7; len], gossip).expect("sent");
        }
        let operations = setup
            .fleet
            .address(&name, "operations")
            .expect("an address");
        assert!(
            raw(
                operations,
                b"GET /health HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
            )
            .contains("alive")
        );
    }
}
