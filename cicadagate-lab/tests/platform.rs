//! Outages of the platform, withdrawn keys and concurrent changes of operators.

#[path = "support/mod.rs"]
mod support;

use {
    cicadagate_lab::load::{Caller, Outcome, caller::job_lines},
    serde_json::{Value, json},
    std::time::{Duration, Instant},
    support::{LIMIT, MODEL, assert_all_correct, prompts, run, small_spec, start, streams},
};

/// A withdrawn key is rejected by all entries within seconds, also on open
/// connections.
#[test]
fn withdrawn_key_is_rejected_on_open_connections() {
    run(async {
        let setup = start(small_spec("withdraw")).await;
        let entries = setup.fleet.entries();
        // The caller reuses its connections.
        for entry in &entries {
            let result = setup.caller.chat(*entry, MODEL, "before", 2, false).await;
            assert_eq!(result.outcome, Outcome::Right);
        }
        setup
            .fleet
            .ctl("i2", &["withdraw-key", "qalaat-key"])
            .expect("withdrawn");
        let start = Instant::now();
        for entry in &entries {
            let rejected = setup
                .fleet
                .wait("the key is rejected", Duration::from_secs(15), async || {
                    let result = setup.caller.chat(*entry, MODEL, "after", 2, false).await;
                    matches!(result.outcome, Outcome::Refused { status: 401, .. })
                })
                .await;
            rejected.expect("rejected");
        }
        assert!(start.elapsed() < Duration::from_secs(15));
        let (code, _, err) = setup
            .fleet
            .ctl_output("i1", &["create-key", "qalaat", "--id", "qalaat-key"])
            .expect("ran");
        assert_ne!(code, 0, "a withdrawn key cannot be created again: {err}");
    });
}

/// During an outage of the log online requests are served, jobs are rejected as
/// not run, a key can be withdrawn, and a restarted process serves.
#[test]
fn log_outage_blocks_only_changes_that_need_the_log() {
    run(async {
        let mut setup = start(small_spec("log-outage")).await;
        let other = setup
            .fleet
            .ctl("i1", &["create-key", "qalaat", "--id", "second"]);
        let other = other.expect("a key")["secret"]
            .as_str()
            .expect("a secret")
            .to_owned();
        setup.fleet.wait_in_force().expect("in force");
        let entries = setup.fleet.entries();
        let file = setup
            .caller
            .upload(entries[0], &job_lines(MODEL, &prompts(3), 2))
            .await;
        let file = file.expect("uploaded");
        setup
            .fleet
            .inject_platform_faults(&json!({"log_down": true}))
            .await
            .expect("down");
        // Longer than contact through the log lasts.
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(8) {
            assert_all_correct(&streams(&setup.caller, &entries, 3, 3).await);
        }
        let job = setup
            .caller
            .create_job(entries[0], &file, "/v1/chat/completions", "k")
            .await;
        let rejection = job.expect_err("no job without the log");
        assert!(rejection.contains("log_unavailable"), "{rejection}");
        assert!(rejection.contains("\"not_run\":true"), "{rejection}");
        // An operator withdraws the other key.
        let response = setup
            .fleet
            .ctl("i3", &["withdraw-key", "second"])
            .expect("withdrawn");
        assert_eq!(response["log_pending"], true, "{response}");
        let withdrawn = Caller::new(&other);
        for entry in &entries {
            setup
                .fleet
                .wait("the key is rejected", Duration::from_secs(15), async || {
                    let result = withdrawn.chat(*entry, MODEL, "after", 2, false).await;
                    matches!(result.outcome, Outcome::Refused { status: 401, .. })
                })
                .await
                .expect("rejected");
        }
        // A process that starts now gets the configuration from peers.
        setup.fleet.kill("i1-entry").expect("killed");
        setup.fleet.restart("i1", "entry").await.expect("restarted");
        let fresh = setup
            .fleet
            .address("i1-entry", "listen")
            .expect("an address");
        setup
            .fleet
            .wait("the new entry serves", LIMIT, async || {
                let result = setup.caller.chat(fresh, MODEL, "fresh", 2, false).await;
                result.outcome == Outcome::Right
            })
            .await
            .expect("served");
        // Once the log is reachable again, the withdrawal is appended to it.
        setup
            .fleet
            .inject_platform_faults(&json!({"log_down": false}))
            .await
            .expect("up");
        setup
            .fleet
            .wait("the withdrawal is in the log", LIMIT, async || {
                let list = setup.fleet.ctl("i2", &["list"]);
                let keys = list
                    .map(|list| list["keys"].to_string())
                    .unwrap_or_default();
                keys.contains("\"id\":\"second\",\"version\"")
                    && keys.contains("\"withdrawn\":true")
            })
            .await
            .expect("in the log");
        let result = setup.caller.chat(entries[1], MODEL, "end", 2, false).await;
        assert_eq!(result.outcome, Outcome::Right);
    });
}

/// A change whose response is lost is applied once, and so is a resend; of two
/// changes based on the same version, the first one in the log is accepted.
#[test]
fn operator_changes_apply_once_despite_lost_responses_and_races() {
    run(async {
        let setup = start(small_spec("operators")).await;
        setup
            .fleet
            .inject_platform_faults(&json!({"lose_answers": 3}))
            .await
            .expect("ordered");
        let put =
            |rate: &str| ["put-customer", "lost", "--rate", rate, "--burst", "5"].map(String::from);
        let first = put("7");
        let first: Vec<&str> = first.iter().map(String::as_str).collect();
        let response = setup
            .fleet
            .ctl("i1", &first)
            .expect("decided in spite of the lost response");
        let version = response["version"].as_u64().expect("a version");
        setup
            .fleet
            .inject_platform_faults(&json!({"lose_answers": 0}))
            .await
            .expect("ordered");
        let history = setup.fleet.ctl("i1", &["history"]).expect("history");
        let entries = history["entries"].as_array().expect("entries");
        let about = entries
            .iter()
            .filter(|entry| entry["object"].to_string().contains("lost"));
        assert_eq!(about.count(), 1, "{history}");
        // Two changes are based on the same version.
        let based_on = version.to_string();
        let change = |rate: &'static str| {
            let based_on = based_on.clone();
            [
                "put-customer",
                "lost",
                "--rate",
                rate,
                "--burst",
                "5",
                "--based-on",
            ]
            .into_iter()
            .map(String::from)
            .chain(std::iter::once(based_on))
            .collect::<Vec<String>>()
        };
        let mut codes = Vec::new();
        for (instance, rate) in [("i2", "8"), ("i3", "9")] {
            let args = change(rate);
            let args: Vec<&str> = args.iter().map(String::as_str).collect();
            codes.push(setup.fleet.ctl_output(instance, &args).expect("ran").0);
        }
        assert_eq!(codes, [0, 3], "the second change is rejected as a conflict");
        setup.fleet.wait_in_force().expect("in force");
        // A resend with the same request id is applied once.
        let resend = [
            "--request-id",
            "op-1",
            "put-customer",
            "again",
            "--rate",
            "1",
            "--burst",
            "2",
        ];
        let one = setup.fleet.ctl("i1", &resend).expect("accepted");
        let two = setup.fleet.ctl("i2", &resend).expect("the same");
        assert_eq!(one["version"], two["version"]);
    });
}

/// An entry without the log and without a majority of the witnesses loses
/// contact and rejects requests.
#[test]
fn entry_without_contact_rejects_requests() {
    run(async {
        let mut setup = start(small_spec("cut-off")).await;
        let entry = setup.fleet.entries()[0];
        setup
            .fleet
            .inject_platform_faults(&json!({"log_down": true}))
            .await
            .expect("down");
        // A majority of the witnesses is suspended, so they do not respond.
        setup.fleet.freeze("i2-dispatch").expect("frozen");
        setup.fleet.freeze("i3-dispatch").expect("frozen");
        setup
            .fleet
            .wait("the entry rejects requests", LIMIT, async || {
                let result = setup.caller.chat(entry, MODEL, "cut", 2, false).await;
                matches!(
                    result.outcome,
                    Outcome::Refused { status: 503, ref code, not_run: true, .. } if code == "no_contact"
                )
            })
            .await
            .expect("rejected");
        setup.fleet.thaw("i2-dispatch").expect("thawed");
        setup.fleet.thaw("i3-dispatch").expect("thawed");
        setup
            .fleet
            .inject_platform_faults(&json!({"log_down": false}))
            .await
            .expect("up");
        setup
            .fleet
            .wait("the entry serves again", LIMIT, async || {
                let result = setup.caller.chat(entry, MODEL, "back", 2, false).await;
                result.outcome == Outcome::Right
            })
            .await
            .expect("served");
    });
}

/// Engines get load orders for the version in force, also after they are
/// replaced; an engine that checks fencing tokens rejects an old order.
#[test]
fn engines_get_load_orders_with_fencing_tokens() {
    run(async {
        let mut spec = small_spec("orders");
        for engine in &mut spec.engines {
            engine.args.push("--checks-fencing".to_owned());
        }
        let replaced = spec.engines[1].clone();
        let mut setup = start(spec).await;
        let names = ["drafting-1", "drafting-2", "drafting-3"];
        for version in ["v1", "v2"] {
            setup
                .fleet
                .ctl("i1", &["put-model-version", "drafting", version])
                .expect("accepted");
            for name in names {
                setup
                    .fleet
                    .wait("the engine has loaded it", LIMIT, async || {
                        let page = setup.fleet.fetch(name, "listen", "/control/stats").await;
                        page.is_ok_and(|page| page["version"] == version)
                    })
                    .await
                    .expect("loaded");
            }
        }
        let engine = setup
            .fleet
            .address("drafting-1", "listen")
            .expect("an address");
        let late = json!({"version": "v1", "fence": 1});
        let rejected = cicadagate_lab::load::http::post(engine, "/control/orders", &late).await;
        assert!(rejected.is_err(), "an order with an old fencing token");
        setup.fleet.kill("drafting-2").expect("killed");
        setup.fleet.start_engine(&replaced).await.expect("replaced");
        setup
            .fleet
            .wait("the new engine has loaded it", LIMIT, async || {
                let page = setup
                    .fleet
                    .fetch("drafting-2", "listen", "/control/stats")
                    .await;
                page.is_ok_and(|page| page["version"] == "v2")
            })
            .await
            .expect("loaded");
    });
}

/// Guards against a secret that is returned for a repeated request to create a
/// key, and that is not the secret of the key.
#[test]
fn a_repeated_creation_of_a_key_returns_no_invalid_secret() {
    run(async {
        let setup = start(small_spec("secret")).await;
        let create = || {
            let args = ["create-key", "qalaat", "--id", "second"];
            setup.fleet.ctl(
                "i1",
                &[&["--request-id", "second"], args.as_slice()].concat(),
            )
        };
        let first = create().expect("created");
        let again = create();
        setup.fleet.wait_in_force().expect("in force");
        let is_valid = async |response: &Value| {
            let secret = response["secret"].as_str().unwrap_or_default();
            let file = Caller::new(secret)
                .upload(setup.fleet.entries()[0], &job_lines(MODEL, &prompts(1), 1))
                .await;
            file.is_ok()
        };
        assert!(is_valid(&first).await, "the first secret is the key's");
        if let Ok(again) = again {
            assert!(is_valid(&again).await, "the second secret is not the key's");
        }
    });
}
