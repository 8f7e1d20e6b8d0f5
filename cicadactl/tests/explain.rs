//! Explanations from log files of several instances.

use std::{env, fs, path::PathBuf, process::Command};

/// Log lines in the format of the gateways, by instance.
const LOGS: [(&str, &str); 2] = [
    (
        "front-a-1",
        r#"
{"level":"info","timestamp":1000,"payload":"CONFIG_IN_FORCE","kv":{"event":204,"version":7,"before":4},"tid":1}
{"level":"warn","timestamp":1900,"payload":"STORE_LOST","kv":{"event":211,"reader":"direct","reason":"status 429"},"tid":1}
{"level":"info","timestamp":2000,"payload":"OVER_LIMIT","kv":{"event":526,"request":"r-limit","customer":"huka","rate_per_s":44.0,"burst":40.0,"tokens":-5.5,"retry_after_ms":120},"tid":1}
{"level":"info","timestamp":2001,"payload":"REQUEST_REFUSED","kv":{"event":522,"request":"r-limit","status":429,"code":"over_limit","route":"r","config_version":7,"retry_after_ms":120},"tid":1}
{"level":"debug","timestamp":2100,"payload":"REQUEST_SENT","kv":{"event":520,"request":"r-cut","attempt":1,"replica":"i-1","slot":"granted","asked_ms":2,"load":3,"slots":8,"left_ms":4990,"after_event":0},"tid":1}
{"level":"warn","timestamp":2500,"payload":"ATTEMPT_FAILED","kv":{"event":523,"request":"r-cut","replica":"i-1","after_ms":400,"reason":"connection ended before an answer: unexpected end of file"},"tid":1}
{"level":"warn","timestamp":2501,"payload":"REQUEST_BROKEN","kv":{"event":524,"request":"r-cut","status":502,"code":"no_answer","route":"r","attempts":1,"took_ms":403},"tid":1}
{"level":"info","timestamp":2600,"payload":"REPLICA_REMOVED","kv":{"event":513,"replica":"i-1","reason":"entry is gone"},"tid":1}
{"level":"info","timestamp":2700,"payload":"JOB_OVER_LIMIT","kv":{"event":619,"job":"j-flood","customer":"huka","route":"drafts","tokens":9000,"waiting":1195000,"limit":1200000,"index_age_ms":12,"retry_after_ms":900},"tid":1}
{"level":"info","timestamp":2701,"payload":"REQUEST_REFUSED","kv":{"event":522,"request":"j-flood","status":429,"code":"too_many_tokens","route":"drafts","config_version":7,"retry_after_ms":900},"tid":1}
not a log line
{"level":"debug","timestamp":3000,"payload":"REQUEST_SENT","kv":{"event":520,"request":"r-killed","attempt":1,"replica":"i-2","slot":"queued","asked_ms":2,"load":9,"slots":8,"left_ms":4990,"after_event":0},"tid":1}
{"level":"info","timestamp":3500,"payload":"STARTED","kv":{"event":100,"instance":"front-a-1"},"tid":2}
"#,
    ),
    (
        "front-b-1",
        r#"
  12.3 front-b-1 {"level":"debug","timestamp":4000,"payload":"ITEM_STARTED","kv":{"event":610,"item":"5f/3","id":"item-3","replica":"i-2","after_event":0,"load":2},"tid":1}
  12.9 front-b-1 {"level":"debug","timestamp":4600,"payload":"ITEM_PAUSED","kv":{"event":611,"item":"5f/3","slots":4},"tid":1}
  13.9 front-b-1 {"level":"debug","timestamp":5600,"payload":"ITEM_STARTED","kv":{"event":610,"item":"5f/3","id":"item-3","replica":"i-4","after_event":41,"load":2},"tid":1}
  16.9 front-b-1 {"level":"debug","timestamp":8600,"payload":"ITEM_DONE","kv":{"event":613,"item":"5f/3","id":"item-3","events":120,"bytes":900},"tid":1}
{"level":"info","timestamp":9000,"payload":"ITEM_RUN_FAILED","kv":{"event":621,"item":"60/1","id":"item-bad","run":"0a","replica":"i-2","status":500,"signature":"3e1b","echoes_id":true,"earlier_requests":4,"ran_ms":21,"own_failures":1,"recorded_failures":1,"failures":1,"max_failures":2},"tid":1}
{"level":"info","timestamp":9300,"payload":"ITEM_RUN_FAILED","kv":{"event":621,"item":"60/1","id":"item-bad","run":"0b","replica":"i-4","status":500,"signature":"","echoes_id":false,"earlier_requests":0,"ran_ms":1,"own_failures":2,"recorded_failures":1,"failures":2,"max_failures":2},"tid":1}
{"level":"warn","timestamp":9400,"payload":"ITEM_ABANDONED","kv":{"event":614,"item":"60/1","id":"item-bad","own_failures":2,"recorded_failures":2,"reason":"all attempts failed"},"tid":1}
"#,
    ),
];

fn logs() -> Vec<PathBuf> {
    let dir = env::temp_dir().join(format!("explain-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a scratch folder");
    let write = |(name, text): &(&str, &str)| {
        let path = dir.join(format!("{name}.log"));
        fs::write(&path, text).expect("written");
        path
    };
    LOGS.iter().map(write).collect()
}

fn explain(id: &str) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cicadactl"));
    command.arg("explain").arg(id);
    for path in logs() {
        command.arg("--log").arg(path);
    }
    let out = command.output().expect("it runs");
    let text = [out.stdout, out.stderr].concat();
    (
        out.status.code(),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

#[test]
fn cause_contains_the_deciding_figures() {
    let cases = [
        (
            "r-limit",
            "huka is over its limit of 44.0 a second and 40.0 at once",
        ),
        (
            "r-cut",
            "replica i-1 failed after 400 ms: connection ended before an answer",
        ),
        ("r-killed", "front-a-1 was restarted while i-2 worked on it"),
        (
            "j-flood",
            "9000 tokens do not fit: 1195000 of at most 1200000 of customer huka",
        ),
        ("item-3", "120 events, 2 runs, 1 pauses"),
        (
            "item-bad",
            "2 failed runs are logged: 500 from i-2 at front-b-1, 500 from i-4, not signed at front-b-1",
        ),
    ];
    for (id, expected) in cases {
        let (code, text) = explain(id);
        assert_eq!(code, Some(0), "{text}");
        let cause = text.lines().next().unwrap_or_default();
        assert!(cause.contains(expected), "{id}: {cause}");
    }
}

#[test]
fn context_events_around_the_request_are_shown() {
    let (_, text) = explain("r-cut");
    assert!(text.contains("REPLICA_REMOVED"), "{text}");
    assert!(text.contains("STORE_LOST"), "{text}");
    assert!(!text.contains("r-limit"), "{text}");
}

#[test]
fn id_missing_from_the_logs_is_an_error() {
    let (code, text) = explain("nobody");
    assert_eq!(code, Some(2));
    assert!(text.contains("no line of the logs names nobody"), "{text}");
}
