//! Fleets and callers for process tests.
#![allow(dead_code, reason = "not every test binary uses every part")]

use {
    cicadagate_lab::{
        demo::wait_for_tokens,
        fleet::{Fleet, FleetSpec},
        load::{Caller, ChatResult, Outcome},
    },
    futures_util::future::join_all,
    serde_json::Value,
    std::{
        future::Future,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time limit for a condition, far above its usual time.
pub const LIMIT: Duration = Duration::from_mins(1);
/// Name of the model route in all tests.
pub const MODEL: &str = "draft-1";

/// Runs a test on an Actix runtime, as the processes use.
pub fn run<F: Future<Output = ()>>(test: F) {
    actix_rt::System::new().block_on(test);
}

/// A fleet with one customer, its API key and a caller that uses it.
pub struct Setup {
    pub fleet: Fleet,
    pub key: String,
    pub caller: Caller,
}

/// Returns a fleet of three instances in three data centres, with three engines
/// and one service.
pub fn small_spec(run: &str) -> FleetSpec {
    FleetSpec::new(run, 3, &["a", "b", "c"])
        .engines("drafting", 3, 8, &["--step-us", "20000"])
        .services("permits", 1)
}

/// Starts a fleet and publishes a customer, a model and a service.
pub async fn start(spec: FleetSpec) -> Setup {
    start_with_rate(spec, 200.0, 200).await
}

pub async fn start_with_rate(spec: FleetSpec, rate: f64, burst: u32) -> Setup {
    let fleet = Fleet::start(spec).await.expect("the fleet starts");
    let key = fleet
        .add_customer("qalaat", rate, burst)
        .expect("a customer");
    fleet.add_model(MODEL, "drafting").expect("a model route");
    fleet
        .add_service("/permits", "permits")
        .expect("a service route");
    fleet.wait_in_force().expect("in force");
    wait_for_tokens(&fleet, std::slice::from_ref(&key))
        .await
        .expect("tokens");
    // The token buckets start empty; wait until they are full.
    actix_rt::time::sleep(Duration::from_secs_f64(f64::from(burst) / rate + 0.5)).await;
    let caller = Caller::new(&key);
    Setup { fleet, key, caller }
}

/// Starts `count` streams over all entries at once.
pub fn streams(
    caller: &Caller,
    entries: &[SocketAddr],
    count: usize,
    tokens: u64,
) -> impl Future<Output = Vec<ChatResult>> + use<> {
    let caller = caller.clone();
    let entries = entries.to_vec();
    let one = move |number: usize| {
        let caller = caller.clone();
        let entry = entries[number % entries.len()];
        async move {
            caller
                .chat(entry, MODEL, &format!("stream {number}"), tokens, true)
                .await
        }
    };
    join_all((0..count).map(one))
}

/// Asserts that every request got a complete and correct response.
pub fn assert_all_correct(results: &[ChatResult]) {
    for (number, result) in results.iter().enumerate() {
        assert_eq!(result.outcome, Outcome::Right, "request {number}");
    }
}

/// Waits until a job has ended and returns it.
pub async fn wait_for_job(caller: &Caller, entry: SocketAddr, id: &str) -> Value {
    let start = Instant::now();
    loop {
        if let Ok(job) = caller.job(entry, id).await
            && (job["status"] == "completed" || job["status"] == "cancelled")
        {
            return job;
        }
        assert!(start.elapsed() < 2 * LIMIT, "job {id} ends");
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Returns prompts for a job.
pub fn prompts(count: usize) -> Vec<String> {
    (0..count)
        .map(|index| format!("application {index}"))
        .collect()
}

/// Returns the id of a job or file.
pub fn id_of(value: &Value) -> String {
    value["id"].as_str().expect("an id").to_owned()
}

/// Returns the sum of a field of the statistics of `engines` engines.
pub async fn engine_stat(fleet: &Fleet, engines: usize, field: &str) -> u64 {
    let mut sum = 0;
    for index in 1..=engines {
        let page = fleet
            .fetch(&format!("drafting-{index}"), "listen", "/control/stats")
            .await;
        sum += page.expect("statistics")[field].as_u64().expect("a number");
    }
    sum
}
