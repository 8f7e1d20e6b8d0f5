//! Online requests under faults of processes and endpoints.

#[path = "support/mod.rs"]
mod support;

use {
    cicadagate_lab::load::{Caller, Outcome},
    serde_json::json,
    std::time::{Duration, Instant},
    support::{
        LIMIT, MODEL, assert_all_correct, engine_stat, run, small_spec, start, start_with_rate,
        streams,
    },
};

/// Streams go on at another replica from the first piece that is missing.
#[test]
fn engine_death_is_not_seen_by_callers() {
    run(async {
        let mut setup = start(small_spec("engine-death")).await;
        let entries = setup.fleet.entries();
        let running = actix_rt::spawn(streams(&setup.caller, &entries, 15, 60));
        setup
            .fleet
            .wait("all engines work", LIMIT, async || {
                engine_stat(&setup.fleet, 3, "tokens").await > 150
            })
            .await
            .expect("work began");
        setup.fleet.kill("drafting-1").expect("killed");
        assert_all_correct(&running.await.expect("streams"));
        let mut resumed = 0;
        for engine in ["drafting-2", "drafting-3"] {
            let page = setup
                .fleet
                .fetch(engine, "listen", "/control/stats")
                .await
                .expect("page");
            resumed += page["resumed"].as_u64().expect("a number");
            assert_eq!(page["leaked_keys"], 0);
        }
        assert!(resumed > 0, "the fault took effect");
    });
}

/// The home of a replica is killed, then another one is frozen.
#[test]
fn lost_and_frozen_homes_are_not_seen_by_callers() {
    run(async {
        let mut setup = start(small_spec("home-loss")).await;
        let entries = setup.fleet.entries();
        for fault in ["kill", "freeze"] {
            let running = actix_rt::spawn(streams(&setup.caller, &entries, 15, 150));
            let before = engine_stat(&setup.fleet, 3, "tokens").await;
            setup
                .fleet
                .wait("all engines work", LIMIT, async || {
                    engine_stat(&setup.fleet, 3, "tokens").await > before + 150
                })
                .await
                .expect("work began");
            let resumed = engine_stat(&setup.fleet, 3, "resumed").await;
            if fault == "kill" {
                // Instance 1's home of one replica or more: all are spread by
                // data centre.
                setup.fleet.kill("i1-dispatch").expect("killed");
            } else {
                setup.fleet.freeze("i2-dispatch").expect("frozen");
            }
            assert_all_correct(&running.await.expect("streams"));
            let now = engine_stat(&setup.fleet, 3, "resumed").await;
            assert!(now > resumed, "{fault} took effect");
        }
        setup.fleet.thaw("i2-dispatch").expect("thawed");
        setup
            .fleet
            .restart("i1", "dispatch")
            .await
            .expect("restarted");
        let caller = setup.caller.clone();
        setup
            .fleet
            .wait("requests are answered again", LIMIT, async || {
                caller
                    .chat(entries[0], MODEL, "again", 4, false)
                    .await
                    .outcome
                    == Outcome::Right
            })
            .await
            .expect("recovered");
    });
}

/// A call that may not be repeated runs once, and is said to have maybe run.
#[test]
fn lost_answers_of_services_are_not_repeated() {
    run(async {
        let setup = start(small_spec("service-loss")).await;
        let entry = setup.fleet.entries()[0];
        setup
            .fleet
            .inject_endpoint_faults("permits-1", &json!({"lose_answers": 5}))
            .await
            .expect("ordered");
        for number in 0..5 {
            let call = format!("permit-{number}");
            let (status, body) = setup
                .caller
                .service(entry, "/permits/new", &call)
                .await
                .expect("an answer");
            assert_eq!(status, 502, "{body}");
            assert_eq!(body["error"]["not_run"], false);
        }
        let (status, body) = setup
            .caller
            .service(entry, "/permits/new", "permit-5")
            .await
            .expect("an answer");
        assert_eq!((status, &body["count"]), (200, &json!(1)));
        let page = setup
            .fleet
            .fetch("permits-1", "listen", "/control/calls")
            .await
            .expect("page");
        for number in 0..=5 {
            assert_eq!(page["calls"][format!("permit-{number}")], 1, "{page}");
        }
        assert_eq!(page["leaked_keys"], 0);
    });
}

/// No form of a key goes on to an endpoint, and each form is taken.
#[test]
fn keys_stay_at_the_entry() {
    run(async {
        let setup = start(small_spec("key-forms")).await;
        let entry = setup.fleet.entries()[0];
        let key = &setup.key;
        let client = awc::Client::default();
        let url = |query: &str| format!("http://{entry}/permits/x?a=1{query}&b=2");
        let requests = vec![
            client
                .post(url(""))
                .insert_header(("authorization", format!("Bearer {key}"))),
            client
                .post(url(""))
                .insert_header(("x-api-key", key.as_str())),
            client
                .post(url(""))
                .insert_header(("api-key", key.as_str())),
            client
                .post(url(""))
                .insert_header(("cookie", format!("a=b; api_key={key}"))),
            client.post(url(&format!("&key={key}"))),
            client
                .post(url(&format!("&other={key}")))
                .insert_header(("x-other", key.as_str()))
                .insert_header(("authorization", format!("Bearer {key}"))),
        ];
        for (number, request) in requests.into_iter().enumerate() {
            let request = request.insert_header(("x-call-id", format!("form-{number}")));
            let mut res = request.send_body("x").await.expect("an answer");
            let body = res.body().await.expect("a body");
            let body = String::from_utf8_lossy(&body).into_owned();
            assert_eq!(res.status().as_u16(), 200, "form {number}: {body}");
            assert!(!body.contains(key.as_str()), "form {number}: {body}");
            assert!(body.contains("a=1"), "form {number}: {body}");
        }
        let page = setup
            .fleet
            .fetch("permits-1", "listen", "/control/calls")
            .await
            .expect("page");
        assert_eq!(page["leaked_keys"], 0, "{page}");
    });
}

/// Over all entries together a customer gets no more than rate and burst, and
/// what it may have it gets at a single entry too.
#[test]
fn rate_and_burst_count_over_all_entries() {
    run(async {
        let (rate, burst) = (10.0, 30);
        let mut setup = start_with_rate(small_spec("rate"), rate, burst).await;
        let entries = setup.fleet.entries();
        let start = Instant::now();
        let (mut admitted, mut refused) = (0, 0);
        while start.elapsed() < Duration::from_secs(5) {
            let calls = entries
                .iter()
                .map(|entry| setup.caller.create_job(*entry, "file-0", "/x", "x"));
            for answer in futures_util::future::join_all(calls).await {
                let answer = answer.expect_err("there is no such file");
                if answer.contains("not_found") {
                    admitted += 1;
                } else {
                    assert!(answer.contains("rate_limit_exceeded"), "{answer}");
                    assert!(answer.contains("\"not_run\":true"), "{answer}");
                    refused += 1;
                }
            }
        }
        let allowed = f64::from(burst) + rate * start.elapsed().as_secs_f64();
        assert!(
            f64::from(admitted) <= allowed,
            "{admitted} of at most {allowed}"
        );
        assert!(refused > 0, "the limit was reached");
        // A holder dies: still never more.
        setup.fleet.kill("i3-dispatch").expect("killed");
        let start = Instant::now();
        let mut admitted = 0;
        while start.elapsed() < Duration::from_secs(12) {
            let answer = setup
                .caller
                .create_job(entries[0], "file-0", "/x", "x")
                .await;
            admitted += i32::from(answer.expect_err("no such file").contains("not_found"));
        }
        let allowed = f64::from(burst) + rate * start.elapsed().as_secs_f64();
        assert!(
            f64::from(admitted) <= allowed,
            "{admitted} of at most {allowed}"
        );
        assert!(admitted > 0, "other holders go on");
    });
}

/// An endpoint that leaves, by the list or by an operator, gets no new work.
#[test]
fn leaving_endpoints_get_no_new_work() {
    run(async {
        let setup = start(small_spec("leaving")).await;
        let entries = setup.fleet.entries();
        let requests = async |name: &str| {
            let page = setup
                .fleet
                .fetch(name, "listen", "/control/stats")
                .await
                .expect("page");
            page["requests"].as_u64().expect("a number")
        };
        setup
            .fleet
            .ctl("i1", &["drain", "drafting-1"])
            .expect("drained");
        let addr = setup
            .fleet
            .address("drafting-2", "listen")
            .expect("an address");
        let leaving = json!({
            "id": "drafting-2", "kind": "engine", "data_centre": "b", "state": "leaving",
            "address": addr, "deployment": "drafting", "max_streams": 8,
        });
        setup.fleet.put_instance(&leaving).await.expect("listed");
        setup.fleet.wait_in_force().expect("in force");
        // The list is read twice a second.
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        let before = (requests("drafting-1").await, requests("drafting-2").await);
        assert_all_correct(&streams(&setup.caller, &entries, 12, 4).await);
        let after = (requests("drafting-1").await, requests("drafting-2").await);
        assert_eq!(before, after);
        assert!(requests("drafting-3").await >= 12);
    });
}

/// Every instance is stopped and started in turn while callers that keep
/// their addresses go on: nothing is cut.
#[test]
fn graceful_shutdown_cuts_nothing() {
    run(async {
        let mut spec = small_spec("shutdown");
        spec.keep_address_ms = 4_000;
        let mut setup = start(spec).await;
        let caller = Caller::new(&setup.key);
        // The instance that stays.
        let first = setup.fleet.entries()[2];
        let mut number = 0;
        for instance in ["i1", "i2"] {
            let addresses = caller.addresses(first).await.expect("addresses");
            assert!(!addresses.is_empty());
            let kept_since = Instant::now();
            let long = actix_rt::spawn(streams(&caller, &setup.fleet.entries(), 6, 60));
            actix_rt::time::sleep(Duration::from_millis(300)).await;
            for role in ["entry", "dispatch", "batch", "operator"] {
                setup
                    .fleet
                    .terminate(&format!("{instance}-{role}"))
                    .expect("told");
            }
            // Callers keep what they were told for half the time.
            while kept_since.elapsed() < Duration::from_millis(1_900) {
                for entry in &addresses {
                    number += 1;
                    let prompt = format!("kept {number}");
                    let result = caller
                        .chat(*entry, MODEL, &prompt, 3, number % 2 == 0)
                        .await;
                    assert_eq!(
                        result.outcome,
                        Outcome::Right,
                        "{instance} {entry} {number}"
                    );
                }
            }
            assert_all_correct(&long.await.expect("streams"));
            let other = setup.fleet.entries()[2];
            let told = caller.addresses(other).await.expect("addresses");
            let gone = setup.fleet.address(&format!("{instance}-entry"), "listen");
            assert!(
                !told.contains(&gone.expect("an address")),
                "no longer given out"
            );
            for role in ["entry", "dispatch", "batch", "operator"] {
                let name = format!("{instance}-{role}");
                assert_eq!(
                    setup.fleet.wait_for_exit(&name, LIMIT).await.expect("ends"),
                    Some(0)
                );
            }
            setup.fleet.start_instance(instance).await.expect("started");
            let ready = format!("{instance}-entry");
            setup
                .fleet
                .wait("the new entry is ready", LIMIT, async || {
                    let page = setup.fleet.fetch(&ready, "operations", "/ready").await;
                    page.is_ok_and(|page| page["ready"] == true)
                })
                .await
                .expect("ready");
        }
    });
}

/// A resend with the same idempotency key meets its first run, at any entry;
/// where the answer is lost for good it is not run again.
#[test]
fn resends_with_a_key_meet_their_first_run() {
    run(async {
        let mut setup = start(small_spec("resend")).await;
        let entries = setup.fleet.entries();
        let path = "/permits/new";
        for entry in &entries {
            let (status, body) = setup
                .caller
                .keyed_service(*entry, path, "permit-a")
                .await
                .expect("an answer");
            assert_eq!((status, &body["count"]), (200, &json!(1)), "{body}");
        }
        // The service acts and its answer is lost.
        setup
            .fleet
            .inject_endpoint_faults("permits-1", &json!({"lose_answers": 1}))
            .await
            .expect("ordered");
        for (entry, expected) in [(entries[0], 502), (entries[1], 409), (entries[2], 409)] {
            let (status, body) = setup
                .caller
                .keyed_service(entry, path, "permit-b")
                .await
                .expect("an answer");
            assert_eq!(status, expected, "{body}");
            assert_eq!(body["error"]["not_run"], false);
        }
        // The home that ran the first call is lost: another knows the intent.
        for instance in ["i1", "i2", "i3"] {
            setup
                .fleet
                .kill(&format!("{instance}-dispatch"))
                .expect("killed");
            setup
                .fleet
                .restart(instance, "dispatch")
                .await
                .expect("restarted");
        }
        setup
            .fleet
            .wait("the new homes answer", LIMIT, async || {
                let answer = setup
                    .caller
                    .keyed_service(entries[0], path, "permit-a")
                    .await;
                answer.is_ok_and(|(status, _)| status == 409)
            })
            .await
            .expect("answered");
        // Without the log nobody could tell: refused, and truly not run.
        setup
            .fleet
            .inject_platform_faults(&json!({"log_down": true}))
            .await
            .expect("down");
        let (status, body) = setup
            .caller
            .keyed_service(entries[0], path, "permit-c")
            .await
            .expect("an answer");
        assert_eq!(
            (status, &body["error"]["not_run"]),
            (503, &json!(true)),
            "{body}"
        );
        let page = setup
            .fleet
            .fetch("permits-1", "listen", "/control/calls")
            .await
            .expect("page");
        let calls = page["calls"].as_object().expect("calls");
        assert!(calls.values().all(|count| *count == 1), "{calls:?}");
        assert!(!calls.contains_key("permit-c"), "{calls:?}");
    });
}
