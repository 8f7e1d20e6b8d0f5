//! Online requests under faults of processes and endpoints.

#[path = "support/mod.rs"]
mod support;

use {
    cicadagate_lab::{
        fleet::FleetSpec,
        load::{Caller, Outcome},
    },
    serde_json::json,
    std::time::{Duration, Instant},
    support::{
        LIMIT, MODEL, assert_all_correct, engine_stat, run, small_spec, start, start_with_rate,
        streams,
    },
};

/// A stream is resumed at another replica from the first missing token.
#[test]
fn streams_complete_after_engine_crash() {
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

// Guards against streams that go on at an engine of another software version than the
// one that began them, after an engine has crashed.
#[test]
fn streams_stay_at_their_software_version_after_engine_crash() {
    run(async {
        let mut spec = FleetSpec::new("versions", 3, &["a", "b", "c"])
            .engines("drafting", 4, 8, &["--step-us", "20000"])
            .services("permits", 1);
        for engine in spec.engines.iter_mut().skip(2) {
            "v2".clone_into(&mut engine.software_version);
        }
        let mut setup = start(spec).await;
        let entries = setup.fleet.entries();
        let running = actix_rt::spawn(streams(&setup.caller, &entries, 15, 60));
        setup
            .fleet
            .wait("all engines work", LIMIT, async || {
                engine_stat(&setup.fleet, 4, "tokens").await > 150
            })
            .await
            .expect("work began");
        setup.fleet.kill("drafting-1").expect("killed");
        assert_all_correct(&running.await.expect("streams"));
        let mut resumed = Vec::new();
        for engine in ["drafting-2", "drafting-3", "drafting-4"] {
            let page = setup.fleet.fetch(engine, "listen", "/control/stats").await;
            resumed.push(page.expect("page")["resumed"].as_u64().expect("a number"));
        }
        assert!(resumed[0] > 0, "the fault took effect");
        assert_eq!(resumed[1..], [0, 0], "resumed at another version");
    });
}

/// The owner of a replica is killed, then another owner is suspended.
#[test]
fn streams_complete_after_owner_failure() {
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
                // A replica's owner is in its data centre. Each data centre has
                // one replica and one instance, so each dispatch process is an
                // owner.
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

/// A non-idempotent call with a lost response runs once, and its error response
/// does not say that it did not run.
#[test]
fn non_idempotent_calls_with_lost_response_are_not_repeated() {
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
                .expect("a response");
            assert_eq!(status, 502, "{body}");
            assert_eq!(body["error"]["not_run"], false);
        }
        let (status, body) = setup
            .caller
            .service(entry, "/permits/new", "permit-5")
            .await
            .expect("a response");
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

/// Guards against responses of plain services that were cut short and that
/// callers get as complete.
#[test]
fn a_cut_response_of_a_service_is_not_complete() {
    run(async {
        let setup = start(small_spec("service-cut")).await;
        let entry = setup.fleet.entries()[0];
        setup
            .fleet
            .inject_endpoint_faults("permits-1", &json!({"cut_answers": 3}))
            .await
            .expect("ordered");
        for number in 0..3 {
            let call = format!("permit-{number}");
            let called = setup.caller.service(entry, "/permits/new", &call).await;
            let is_complete = called.as_ref().is_ok_and(|(status, _)| *status == 200);
            assert!(!is_complete, "{call}: {called:?}");
        }
        let called = setup.caller.service(entry, "/permits/new", "last").await;
        assert_eq!(called.expect("a response").0, 200);
    });
}

/// An API key is accepted in each form, and no form of it is forwarded to an
/// endpoint.
#[test]
fn api_keys_are_not_forwarded_to_endpoints() {
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
            let mut res = request.send_body("x").await.expect("a response");
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

/// A customer is admitted no more than rate and burst over all entries, and a
/// single entry keeps admitting its requests after a share holder is killed.
#[test]
fn rate_and_burst_apply_over_all_entries() {
    run(async {
        let (rate, burst) = (10.0, 30);
        let mut setup = start_with_rate(small_spec("rate"), rate, burst).await;
        let entries = setup.fleet.entries();
        let start = Instant::now();
        let (mut admitted, mut rejected) = (0, 0);
        while start.elapsed() < Duration::from_secs(5) {
            let calls = entries
                .iter()
                .map(|entry| setup.caller.create_job(*entry, "file-0", "/x", "x"));
            for response in futures_util::future::join_all(calls).await {
                let response = response.expect_err("there is no such file");
                if response.contains("not_found") {
                    admitted += 1;
                } else {
                    assert!(response.contains("rate_limit_exceeded"), "{response}");
                    assert!(response.contains("\"not_run\":true"), "{response}");
                    rejected += 1;
                }
            }
        }
        let allowed = f64::from(burst) + rate * start.elapsed().as_secs_f64();
        assert!(
            f64::from(admitted) <= allowed,
            "{admitted} of at most {allowed}"
        );
        assert!(rejected > 0, "the limit was reached");
        // The limit also holds after a share holder is killed.
        setup.fleet.kill("i3-dispatch").expect("killed");
        let start = Instant::now();
        let mut admitted = 0;
        while start.elapsed() < Duration::from_secs(12) {
            let response = setup
                .caller
                .create_job(entries[0], "file-0", "/x", "x")
                .await;
            admitted += i32::from(response.expect_err("no such file").contains("not_found"));
        }
        let allowed = f64::from(burst) + rate * start.elapsed().as_secs_f64();
        assert!(
            f64::from(admitted) <= allowed,
            "{admitted} of at most {allowed}"
        );
        assert!(admitted > 0, "other share holders keep granting");
    });
}

/// An endpoint that is draining, by the instance list or by an operator's
/// change, gets no new requests.
#[test]
fn draining_endpoints_get_no_new_requests() {
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
        let draining = json!({
            "id": "drafting-2", "kind": "engine", "data_centre": "b", "state": "leaving",
            "address": addr, "deployment": "drafting", "max_streams": 8,
        });
        setup.fleet.put_instance(&draining).await.expect("listed");
        setup.fleet.wait_in_force().expect("in force");
        // The instance list is read once a second.
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        let before = (requests("drafting-1").await, requests("drafting-2").await);
        assert_all_correct(&streams(&setup.caller, &entries, 12, 4).await);
        let after = (requests("drafting-1").await, requests("drafting-2").await);
        assert_eq!(before, after);
        assert!(requests("drafting-3").await >= 12);
    });
}

// Guards against new requests to an endpoint that says only in its responses that it is
// leaving, and serves those that it has.
#[test]
fn endpoints_that_say_that_they_leave_get_no_new_requests() {
    run(async {
        let setup = start(small_spec("says-leaving")).await;
        let entries = setup.fleet.entries();
        let requests = async || {
            let stats = setup
                .fleet
                .fetch("drafting-1", "listen", "/control/stats")
                .await;
            stats.expect("page")["requests"].as_u64().expect("a number")
        };
        let says_leaving = json!({"says_leaving": true});
        setup
            .fleet
            .inject_endpoint_faults("drafting-1", &says_leaving)
            .await
            .expect("set");
        assert_all_correct(&streams(&setup.caller, &entries, 12, 4).await);
        let told = requests().await;
        assert!(told > 0, "the endpoint was used");
        assert_all_correct(&streams(&setup.caller, &entries, 24, 4).await);
        assert_eq!(requests().await, told);
    });
}

/// Two instances are shut down and started again in turn while callers use
/// the addresses that they keep: no request is broken.
#[test]
fn graceful_shutdown_breaks_no_request() {
    run(async {
        let mut spec = small_spec("shutdown");
        spec.keep_address_ms = 4_000;
        let mut setup = start(spec).await;
        let caller = Caller::new(&setup.key);
        // The entry of the instance that is not stopped.
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
                    .expect("signalled");
            }
            // Callers keep their addresses for about half of keep_address_ms.
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
            let advertised = caller.addresses(other).await.expect("addresses");
            let stopped = setup.fleet.address(&format!("{instance}-entry"), "listen");
            assert!(
                !advertised.contains(&stopped.expect("an address")),
                "no longer advertised"
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

/// A resend with the same idempotency key gets the response of the first run,
/// at any entry; if that response is lost, the call is not run again.
#[test]
fn resends_with_a_key_get_the_first_response() {
    run(async {
        let mut setup = start(small_spec("resend")).await;
        let entries = setup.fleet.entries();
        let path = "/permits/new";
        for entry in &entries {
            let (status, body) = setup
                .caller
                .keyed_service(*entry, path, "permit-a")
                .await
                .expect("a response");
            assert_eq!((status, &body["count"]), (200, &json!(1)), "{body}");
        }
        // The service executes the call and its response is lost.
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
                .expect("a response");
            assert_eq!(status, expected, "{body}");
            assert_eq!(body["error"]["not_run"], false);
        }
        // All dispatch processes are replaced, among them the owner that ran
        // the first call; the new ones read the intent from the log.
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
            .wait("the new owners respond", LIMIT, async || {
                let response = setup
                    .caller
                    .keyed_service(entries[0], path, "permit-a")
                    .await;
                response.is_ok_and(|(status, _)| status == 409)
            })
            .await
            .expect("answered");
        // Without the log no process can rule out an earlier run, so the call
        // is rejected and does not run.
        setup
            .fleet
            .inject_platform_faults(&json!({"log_down": true}))
            .await
            .expect("down");
        let (status, body) = setup
            .caller
            .keyed_service(entries[0], path, "permit-c")
            .await
            .expect("a response");
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
