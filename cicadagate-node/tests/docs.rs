//! Compares the documentation of events and metrics with the code.
//!
//! With `CICADAGATE_UPDATE_DOCS=1` the pages are generated from the code first.

use {
    cicadagate_node::{events, metrics::Metrics},
    std::{collections::BTreeSet, env, fs, path::Path},
};

fn check(page: &str, expected: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../docs")
        .join(page);
    if env::var_os("CICADAGATE_UPDATE_DOCS").is_some() {
        fs::write(&path, expected).expect("the page is written");
    }
    let page = fs::read_to_string(&path).expect("the page is there");
    assert_eq!(page, expected, "run with CICADAGATE_UPDATE_DOCS=1");
}

#[test]
fn events_page_lists_every_event() {
    let mut page = String::from(
        "# Log events\n\nEach process writes one JSON object a line to standard error, and to standard\n\
         output on the users' platform. The field\n\
         `event` is the number below; numbers are never used again for anything else.\n\n\
         | event | name | level | meaning |\n| --- | --- | --- | --- |\n",
    );
    for event in events::ALL {
        let level = event.level.as_str();
        let row = [
            event.code.to_string().as_str(),
            event.name,
            level,
            event.description,
        ]
        .join(" | ");
        page.push_str(
            &[
                "| ", &row, " |
",
            ]
            .concat(),
        );
    }
    check("EVENTS.md", &page);
}

#[test]
fn event_numbers_differ() {
    let codes: BTreeSet<u32> = events::ALL.iter().map(|event| event.code).collect();
    assert_eq!(codes.len(), events::ALL.len());
}

#[test]
fn metrics_page_lists_every_metric() {
    let mut page = String::from(
        "# Metrics\n\nEach process gives these on its operations address at `/metrics`, in the\n\
         Prometheus text format. The same address has `/health`, `/ready`, `/traces`\n\
         (OTLP in JSON) and `/explain?id=`.\n\n| metric | meaning |\n| --- | --- |\n",
    );
    for (name, help) in Metrics::describe() {
        page.push_str(&["| ", name, " | ", help, " |\n"].concat());
    }
    check("METRICS.md", &page);
}

#[test]
fn described_metrics_are_the_registered_ones() {
    let metrics = Metrics::new();
    for counter in [
        &metrics.requests,
        &metrics.refusals,
        &metrics.attempts,
        &metrics.items,
    ] {
        counter.with_label_values(&["x"]).inc();
    }
    for counter in [
        &metrics.peer_bytes,
        &metrics.datagram_bytes,
        &metrics.preemptions,
        &metrics.requests_to_leaving,
        &metrics.resumptions,
        &metrics.discarded_responses,
        &metrics.registration_reads,
    ] {
        counter.with_label_values(&["x"]).inc();
    }
    metrics.body_ends.with_label_values(&["x"]).inc();
    metrics.refused_messages.with_label_values(&["x"]).inc();
    metrics.set_state("x", 1);
    metrics
        .waiting_tokens
        .with_label_values(&["x", "x", "x"])
        .set(1);
    let text = String::from_utf8(metrics.render()).expect("text");
    let rendered: BTreeSet<String> = text
        .lines()
        .filter_map(|line| line.strip_prefix("# HELP "))
        .map(str::to_owned)
        .collect();
    let described: BTreeSet<String> = Metrics::describe()
        .iter()
        .map(|(name, help)| format!("{name} {help}"))
        .collect();
    assert_eq!(rendered, described);
}
