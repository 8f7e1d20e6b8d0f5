//! Batch jobs under faults of processes and of the platform.

#[path = "support/mod.rs"]
mod support;

use {
    cicadagate_lab::load::caller::{check_output, job_lines},
    futures_util::future::join,
    serde_json::{Value, json},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    support::{
        LIMIT, MODEL, Setup, engine_stat, id_of, prompts, run, small_spec, start, wait_for_job,
    },
};

const CHAT: &str = "/v1/chat/completions";
const ITEMS: usize = 120;
const TOKENS: u64 = 20;

async fn submit_job(setup: &Setup, entry: SocketAddr, prompts: &[String]) -> String {
    let file = setup
        .caller
        .upload(entry, &job_lines(MODEL, prompts, TOKENS))
        .await;
    let file = file.expect("uploaded");
    let job = setup
        .caller
        .create_job(entry, &file, CHAT, &file)
        .await
        .expect("accepted");
    // A resend with the same idempotency key returns the same job.
    let again = setup
        .caller
        .create_job(entry, &file, CHAT, &file)
        .await
        .expect("the same");
    assert_eq!(job["id"], again["id"]);
    id_of(&job)
}

async fn wait_for_work(setup: &Setup, tokens: u64) {
    let before = engine_stat(&setup.fleet, 3, "batch_tokens").await;
    setup
        .fleet
        .wait("the job is worked on", LIMIT, async || {
            engine_stat(&setup.fleet, 3, "batch_tokens").await > before + tokens
        })
        .await
        .expect("work began");
}

fn claimant(setup: &Setup) -> String {
    let jobs = setup.fleet.ctl("i1", &["jobs"]).expect("jobs");
    let open = jobs["jobs"].as_array().expect("a list").iter();
    let open = open.filter(|job| job["state"] == "in_progress");
    let names: Vec<&Value> = open.map(|job| &job["claimant"]).collect();
    names
        .first()
        .and_then(|name| name.as_str())
        .expect("a claimant")
        .to_owned()
}

async fn check(setup: &Setup, entry: SocketAddr, job: &Value, prompts: &[String]) {
    let output = job["output_file_id"].as_str().expect("an output");
    let output = setup.caller.content(entry, output).await.expect("contents");
    check_output(&output, prompts, TOKENS).expect("every item once and right");
}

/// The claimant of a job is killed; that of a second job is suspended until its
/// claim is lost. Both jobs complete with each item exactly once.
#[test]
fn jobs_complete_after_claimant_failure() {
    run(async {
        let mut setup = start(small_spec("claimant")).await;
        let mut prompts = prompts(ITEMS);
        prompts.push("poison".to_owned());
        for fault in ["kill", "freeze"] {
            let entry = setup.fleet.entries()[0];
            prompts[0] = format!("first of {fault}");
            let id = submit_job(&setup, entry, &prompts).await;
            wait_for_work(&setup, 200).await;
            let instance = claimant(&setup);
            let name = format!("{instance}-batch");
            if fault == "kill" {
                setup.fleet.kill(&name).expect("killed");
            } else {
                setup.fleet.freeze(&name).expect("frozen");
            }
            let job = wait_for_job(&setup.caller, entry, &id).await;
            assert_eq!(job["request_counts"]["failed"], 1, "{job}");
            check(&setup, entry, &job, &prompts).await;
            if fault == "kill" {
                setup
                    .fleet
                    .restart(&instance, "batch")
                    .await
                    .expect("restarted");
            } else {
                setup.fleet.thaw(&name).expect("thawed");
                // It resumes without its claim and must not change the results.
                actix_rt::time::sleep(Duration::from_secs(3)).await;
                check(&setup, entry, &job, &prompts).await;
            }
        }
    });
}

/// Guards against a response "not run" to a submission whose record is in the
/// log, so that its job runs.
#[test]
fn a_submission_that_may_run_is_not_reported_as_not_run() {
    run(async {
        let setup = start(small_spec("unknown")).await;
        let entry = setup.fleet.entries()[0];
        let lines = job_lines(MODEL, &prompts(4), TOKENS);
        let file = setup.caller.upload(entry, &lines).await.expect("uploaded");
        // The log fails while the append is on its way, which takes effect.
        let operation_ms = 1_000;
        setup
            .fleet
            .inject_platform_faults(&json!({"log_slow_ms": operation_ms}))
            .await
            .expect("slow");
        let submit = async { setup.caller.create_job(entry, &file, CHAT, "unknown").await };
        let fail = async {
            actix_rt::time::sleep(Duration::from_millis(operation_ms * 3 / 2)).await;
            let down = json!({"log_down": true, "lose_answers": 1});
            setup.fleet.inject_platform_faults(&down).await
        };
        let (rejection, down) = join(submit, fail).await;
        down.expect("down");
        let up = json!({"log_down": false, "log_slow_ms": 0, "lose_answers": 0});
        setup.fleet.inject_platform_faults(&up).await.expect("up");
        let is_known = async || {
            let jobs = setup.fleet.ctl("i1", &["jobs"]).expect("jobs");
            jobs["jobs"].as_array().is_some_and(|jobs| !jobs.is_empty())
        };
        setup
            .fleet
            .wait("the job is known", LIMIT, is_known)
            .await
            .expect("its record is in the log");
        let rejection = rejection.expect_err("not read back");
        assert!(rejection.contains("\"not_run\":false"), "{rejection}");
        // A resend with the same key returns the same job.
        let job = setup.caller.create_job(entry, &file, CHAT, "unknown").await;
        let id = id_of(&job.expect("accepted"));
        wait_for_job(&setup.caller, entry, &id).await;
    });
}

/// Guards against a submission that is answered with the job of another one,
/// which came at the same time with the same idempotency key and another file.
#[test]
fn submissions_with_one_key_for_two_files_conflict() {
    run(async {
        let setup = start(small_spec("conflict")).await;
        let entry = setup.fleet.entries()[0];
        let upload = async |prompt: &str| {
            let lines = job_lines(MODEL, &[prompt.to_owned()], TOKENS);
            setup.caller.upload(entry, &lines).await.expect("uploaded")
        };
        let (first, second) = (upload("first").await, upload("second").await);
        setup
            .fleet
            .inject_platform_faults(&json!({"log_slow_ms": 500}))
            .await
            .expect("slow");
        let submit = async |file: &str| setup.caller.create_job(entry, file, CHAT, "one").await;
        let (first, second) = join(submit(&first), submit(&second)).await;
        let accepted = usize::from(first.is_ok()) + usize::from(second.is_ok());
        assert_eq!(accepted, 1, "{first:?} {second:?}");
        let rejection = first.and(second).expect_err("one is rejected");
        assert!(rejection.contains("\"conflict\""), "{rejection}");
    });
}

/// A job that runs during an outage of the log completes with each item exactly
/// once.
#[test]
fn jobs_complete_after_log_outage() {
    run(async {
        let setup = start(small_spec("job-outage")).await;
        let entry = setup.fleet.entries()[0];
        let prompts = prompts(ITEMS);
        setup
            .fleet
            .inject_platform_faults(&json!({"lose_answers": 4}))
            .await
            .expect("ordered");
        // The responses to the first appends are lost; a resend finds the same
        // file.
        let lines = job_lines(MODEL, &prompts, TOKENS);
        let mut file = setup.caller.upload(entry, &lines).await;
        for _ in 0..4 {
            if file.is_err() {
                file = setup.caller.upload(entry, &lines).await;
            }
        }
        let file = file.expect("uploaded");
        setup
            .fleet
            .inject_platform_faults(&json!({"lose_answers": 0}))
            .await
            .expect("ordered");
        let job = setup
            .caller
            .create_job(entry, &file, CHAT, "outage")
            .await
            .expect("accepted");
        wait_for_work(&setup, 200).await;
        setup
            .fleet
            .inject_platform_faults(&json!({"log_down": true}))
            .await
            .expect("down");
        actix_rt::time::sleep(Duration::from_secs(6)).await;
        setup
            .fleet
            .inject_platform_faults(&json!({"log_down": false}))
            .await
            .expect("up");
        let job = wait_for_job(&setup.caller, entry, &id_of(&job)).await;
        check(&setup, entry, &job, &prompts).await;
    });
}

/// A cancelled job stops: its streams are cancelled and no more items are sent.
#[test]
fn cancelled_jobs_stop() {
    run(async {
        let setup = start(small_spec("cancel")).await;
        let entry = setup.fleet.entries()[0];
        let id = submit_job(&setup, entry, &prompts(2_000)).await;
        wait_for_work(&setup, 100).await;
        let job = setup
            .caller
            .cancel_job(setup.fleet.entries()[1], &id)
            .await
            .expect("cancelled");
        assert_eq!(job["status"], "cancelled");
        setup
            .fleet
            .wait("the engines are idle", LIMIT, async || {
                engine_stat(&setup.fleet, 3, "running").await == 0
            })
            .await
            .expect("idle");
        let tokens = engine_stat(&setup.fleet, 3, "batch_tokens").await;
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(engine_stat(&setup.fleet, 3, "batch_tokens").await, tokens);
        let again = setup.caller.job(entry, &id).await.expect("shown");
        assert_eq!(again["status"], "cancelled");
    });
}

/// A path to the log that can be cut.
struct LogPath {
    addr: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl LogPath {
    fn start(log: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        let addr = listener.local_addr().expect("an address");
        let is_cut = Arc::new(AtomicBool::new(false));
        let cut = Arc::clone(&is_cut);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                if cut.load(Ordering::Relaxed) {
                    continue;
                }
                let far = TcpStream::connect(log).expect("connected");
                let pairs = [
                    (
                        near.try_clone().expect("cloned"),
                        far.try_clone().expect("cloned"),
                    ),
                    (far, near),
                ];
                for (from, to) in pairs {
                    let cut = Arc::clone(&cut);
                    thread::spawn(move || copy_unless_cut(from, to, &cut));
                }
            }
        });
        Self { addr, is_cut }
    }

    fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }
}

fn copy_unless_cut(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut buf = [0; 16 * 1024];
    while let Ok(read @ 1..) = from.read(&mut buf) {
        if is_cut.load(Ordering::Relaxed) || to.write_all(&buf[..read]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
}

// Guards against items that start without bound after their job was cancelled, at a process
// that is cut off from the log and keeps contact through the witnesses.
#[test]
fn a_claimant_without_the_log_starts_no_items_of_a_cancelled_job() {
    run(async {
        let mut setup = start(small_spec("cut-off")).await;
        let log = setup.fleet.address("platform", "listen").expect("a log");
        let path = LogPath::start(log);
        setup.fleet.set_log("i1-batch", path.addr);
        for instance in ["i1", "i2", "i3"] {
            let name = format!("{instance}-batch");
            setup.fleet.kill(&name).expect("killed");
        }
        let restarted = setup.fleet.restart("i1", "batch").await;
        restarted.expect("restarted");
        let entry = setup.fleet.entries()[0];
        let lines = job_lines(MODEL, &prompts(4_000), TOKENS);
        let is_served = async || setup.caller.upload(entry, &lines).await.is_ok();
        let served = setup.fleet.wait("jobs are served", LIMIT, is_served).await;
        served.expect("served");
        let id = submit_job(&setup, entry, &prompts(4_000)).await;
        wait_for_work(&setup, 100).await;
        assert_eq!(claimant(&setup), "i1");
        for instance in ["i2", "i3"] {
            let restarted = setup.fleet.restart(instance, "batch").await;
            restarted.expect("restarted");
        }
        actix_rt::time::sleep(Duration::from_secs(3)).await;
        path.cut(true);
        let start = Instant::now();
        while setup.caller.cancel_job(entry, &id).await.is_err() {
            assert!(start.elapsed() < LIMIT, "the job is cancelled");
            actix_rt::time::sleep(Duration::from_millis(100)).await;
        }
        println!("cancelled after {:?}", start.elapsed());
        // Within the bound, and the time for items that were started in it.
        actix_rt::time::sleep(Duration::from_secs(6)).await;
        let tokens = engine_stat(&setup.fleet, 3, "batch_tokens").await;
        actix_rt::time::sleep(Duration::from_secs(3)).await;
        let later = engine_stat(&setup.fleet, 3, "batch_tokens").await;
        println!("{} tokens in 3 s", later - tokens);
        assert_eq!(later, tokens, "items start");
        path.cut(false);
        let job = wait_for_job(&setup.caller, entry, &id).await;
        assert_eq!(job["status"], "cancelled");
    });
}

/// Non-idempotent items run at most once, although the claimant is killed.
#[test]
fn items_that_cannot_be_repeated_run_once() {
    run(async {
        let mut setup = start(small_spec("once")).await;
        let entry = setup.fleet.entries()[0];
        let lines: Vec<String> = (0..400)
            .map(|index| {
                let id = format!("permit-{index}");
                json!({"custom_id": id, "method": "POST", "url": "/permits/new", "body": {}})
                    .to_string()
            })
            .collect();
        let file = setup
            .caller
            .upload(entry, &lines.join("\n"))
            .await
            .expect("uploaded");
        let job = setup
            .caller
            .create_job(entry, &file, "/permits/new", &file)
            .await;
        let id = id_of(&job.expect("accepted"));
        let calls = async || {
            let page = setup
                .fleet
                .fetch("permits-1", "listen", "/control/calls")
                .await;
            page.expect("page")["calls"]
                .as_object()
                .expect("calls")
                .clone()
        };
        setup
            .fleet
            .wait("calls are made", LIMIT, async || calls().await.len() > 20)
            .await
            .expect("work began");
        let instance = claimant(&setup);
        setup
            .fleet
            .kill(&format!("{instance}-batch"))
            .expect("killed");
        let entry = setup.fleet.entries()[0];
        let job = wait_for_job(&setup.caller, entry, &id).await;
        let calls = setup
            .fleet
            .fetch("permits-1", "listen", "/control/calls")
            .await
            .expect("page");
        let calls = calls["calls"].as_object().expect("calls");
        assert!(calls.values().all(|count| *count == 1), "{calls:?}");
        let counts = &job["request_counts"];
        let (completed, failed) = (
            counts["completed"].as_u64().unwrap_or(0),
            counts["failed"].as_u64().unwrap_or(0),
        );
        assert_eq!(completed + failed, 400, "{counts}");
        assert!(calls.len() as u64 >= completed);
    });
}

/// Results stay readable after the log has expired old records, also in
/// processes that start later.
#[test]
fn results_stay_readable_after_log_expiry() {
    run(async {
        let mut spec = small_spec("retention");
        spec.batch = json!({"flush_ms": 50, "log_retention_secs": 8, "data_streams": 1});
        let mut setup = start(spec).await;
        let entry = setup.fleet.entries()[0];
        let prompts = prompts(20);
        let id = submit_job(&setup, entry, &prompts).await;
        let job = wait_for_job(&setup.caller, entry, &id).await;
        check(&setup, entry, &job, &prompts).await;
        let data_end = async || {
            let page = setup
                .fleet
                .fetch("platform", "listen", "/control/stats")
                .await;
            page.expect("statistics")["streams"]["data-0"]["end"]
                .as_u64()
                .expect("a number")
        };
        let before = data_end().await;
        // The log's retention is by time. The interval between snapshots is a
        // fourth of it, so the kept records contain several snapshots.
        let keep = 12;
        setup
            .fleet
            .wait("records are written again", LIMIT, async || {
                data_end().await >= before + keep
            })
            .await
            .expect("written again");
        setup
            .fleet
            .inject_platform_faults(&json!({"expire_to": keep}))
            .await
            .expect("expired");
        check(&setup, entry, &job, &prompts).await;
        for instance in ["i1", "i2", "i3"] {
            setup
                .fleet
                .kill(&format!("{instance}-batch"))
                .expect("killed");
            setup
                .fleet
                .restart(instance, "batch")
                .await
                .expect("restarted");
        }
        setup
            .fleet
            .wait("the new processes know the job", LIMIT, async || {
                setup
                    .caller
                    .job(entry, &id)
                    .await
                    .is_ok_and(|job| job["status"] == "completed")
            })
            .await
            .expect("known");
        check(&setup, entry, &job, &prompts).await;
    });
}
