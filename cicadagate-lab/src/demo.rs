/*!
The demonstration: a small fleet that serves two customers.
*/

use {
    crate::{
        fleet::{Fleet, FleetSpec, Result},
        load::caller::{Caller, Outcome, check_output, job_lines},
    },
    serde_json::{Value, json},
    std::{
        fs,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time limit of each batch job.
const JOB_TIMEOUT: Duration = Duration::from_mins(1);
/// Number of online requests of each customer.
const REQUESTS_PER_CUSTOMER: usize = 8;

/// The customers and their API keys, in the same order.
struct Customers {
    names: Vec<&'static str>,
    keys: Vec<String>,
}

/// Runs the demonstration and returns a description of each failure.
///
/// # Errors
///
/// Returns an error if the fleet could not be started or stopped.
pub async fn run(keep: bool) -> Result<Vec<String>> {
    println!("starting stand-ins and 3 instances in 2 data centres");
    let spec = FleetSpec::new("demo", 3, &["a", "b"])
        .engines("drafting", 3, 16, &["--step-us", "5000"])
        .services("permits", 1);
    let mut fleet = Fleet::start(spec).await?;
    let customers = publish_config(&fleet).await?;
    let mut failures = Vec::new();
    run_online(&fleet, &customers, &mut failures).await;
    run_service(&fleet, &customers, &mut failures).await;
    run_batch(&fleet, &customers, &mut failures).await;
    if keep {
        write_addresses(&fleet, &customers);
        println!("running until interrupted; see target/demo/addresses.json");
        // If no signal handler can be installed, the demonstration stops now.
        let _ = actix_rt::signal::ctrl_c().await;
    }
    println!("shutting down gracefully");
    let codes = fleet.stop().await?;
    if codes.iter().any(|code| *code != Some(0)) {
        failures.push(format!("exit codes: {codes:?}"));
    }
    Ok(failures)
}

async fn publish_config(fleet: &Fleet) -> Result<Customers> {
    println!("publishing a configuration with cicadactl");
    let names = vec!["qalaat", "lichtwerk"];
    let mut keys = Vec::new();
    for name in &names {
        keys.push(fleet.add_customer(name, 50.0, 50)?);
    }
    fleet.add_model("draft-1", "drafting")?;
    fleet.add_service("/permits", "permits")?;
    fleet.wait_in_force()?;
    wait_for_tokens(fleet, &keys).await?;
    Ok(Customers { names, keys })
}

/// Waits until requests of new customers are admitted.
///
/// The token buckets of a new customer start empty.
///
/// # Errors
///
/// Returns an error if a customer's requests are not admitted in time.
pub async fn wait_for_tokens(fleet: &Fleet, keys: &[String]) -> Result<()> {
    let Some(entry) = fleet.entries().first().copied() else {
        return Ok(());
    };
    for key in keys {
        let caller = Caller::new(key);
        fleet
            .wait(
                "a request is admitted",
                Duration::from_secs(30),
                async || {
                    let result = caller.chat(entry, "none", "hello", 1, false).await;
                    // An unknown model is rejected before the token bucket is
                    // checked, so a job with an unknown file shows that
                    // requests are admitted.
                    let rejected = caller.create_job(entry, "file-0", "/v1/x", "none").await;
                    let text = rejected.err().unwrap_or_default();
                    matches!(result.outcome, Outcome::Refused { status: 404, .. })
                        && text.contains("not_found")
                },
            )
            .await?;
    }
    Ok(())
}

async fn run_online(fleet: &Fleet, customers: &Customers, failures: &mut Vec<String>) {
    let entries = fleet.entries();
    for (name, key) in customers.names.iter().zip(&customers.keys) {
        let caller = Caller::new(key);
        let mut correct = 0;
        let start = Instant::now();
        for number in 0..REQUESTS_PER_CUSTOMER {
            let entry = entries[number % entries.len()];
            let prompt = format!("{name} asks question {number}");
            let result = caller
                .chat(entry, "draft-1", &prompt, 12, number % 2 == 0)
                .await;
            match result.outcome {
                Outcome::Right => correct += 1,
                other => failures.push(format!("{name} request {number}: {other:?}")),
            }
        }
        println!(
            "{name}: {correct} of {REQUESTS_PER_CUSTOMER} online requests answered correctly, in {} ms",
            start.elapsed().as_millis()
        );
    }
}

async fn run_service(fleet: &Fleet, customers: &Customers, failures: &mut Vec<String>) {
    let caller = Caller::new(&customers.keys[0]);
    let entry = fleet.entries()[0];
    match caller.service(entry, "/permits/new", "permit-1").await {
        Ok((200, body)) if body["count"] == 1 => println!("plain service: called once"),
        other => failures.push(format!("plain service: {other:?}")),
    }
}

async fn run_batch(fleet: &Fleet, customers: &Customers, failures: &mut Vec<String>) {
    for (name, key) in customers.names.iter().zip(&customers.keys) {
        let caller = Caller::new(key);
        let entry = fleet.entries()[1];
        match run_job(&caller, entry, name).await {
            Ok(counts) => println!("{name}: batch job completed: {counts}"),
            Err(err) => failures.push(format!("{name} batch job: {err}")),
        }
    }
}

async fn run_job(
    caller: &Caller,
    entry: SocketAddr,
    name: &str,
) -> std::result::Result<Value, String> {
    let mut prompts: Vec<String> = (0..40)
        .map(|index| format!("{name} application {index}"))
        .collect();
    prompts.push(format!("{name} poison"));
    let file = caller
        .upload(entry, &job_lines("draft-1", &prompts, 8))
        .await?;
    let job = caller
        .create_job(entry, &file, "/v1/chat/completions", &file)
        .await?;
    let id = job["id"].as_str().unwrap_or_default().to_owned();
    let start = Instant::now();
    let job = loop {
        let job = caller.job(entry, &id).await?;
        if job["status"] == "completed" {
            break job;
        }
        if start.elapsed() > JOB_TIMEOUT {
            return Err(format!("job not completed in time: {job}"));
        }
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    };
    let output = job["output_file_id"].as_str().unwrap_or_default();
    check_output(&caller.content(entry, output).await?, &prompts, 8)?;
    let errors = job["error_file_id"].as_str().unwrap_or_default();
    let errors = caller.content(entry, errors).await?;
    if errors.lines().count() != 1 {
        return Err(format!("expected one failed item, got: {errors}"));
    }
    Ok(job["request_counts"].clone())
}

fn write_addresses(fleet: &Fleet, customers: &Customers) {
    let keys: Vec<Value> = customers
        .names
        .iter()
        .zip(&customers.keys)
        .map(|(name, key)| json!({"customer": name, "key": key}))
        .collect();
    let operators: Vec<SocketAddr> = fleet
        .instances()
        .iter()
        .filter_map(|instance| {
            fleet
                .address(&format!("{instance}-operator"), "listen")
                .ok()
        })
        .collect();
    let body = json!({
        "entries": fleet.entries(),
        "operators": operators,
        "platform": fleet.platform(),
        "customers": keys,
    });
    let written = fs::create_dir_all("target/demo")
        .and_then(|()| fs::write("target/demo/addresses.json", format!("{body:#}\n")));
    if let Err(err) = written {
        println!("can't write target/demo/addresses.json: {err}");
    }
}
