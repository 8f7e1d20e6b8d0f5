/*!
One run: a new fleet, batch jobs, open-loop arrivals, and faults halfway if the
policy has them.
*/

use {
    super::{
        FleetSnafu, LaggedSnafu, Result, WrongSnafu,
        arrivals::{Arrival, arrivals},
        outcome::{EngineTotals, Measured, Sample},
        policy::Policy,
        shape::Shape,
    },
    crate::{
        demo::wait_for_tokens,
        fleet::{Fleet, FleetError, FleetSpec},
        load::{Caller, Outcome, caller::job_lines},
    },
    actix_rt::time::{Instant, sleep, sleep_until},
    serde_json::Value,
    snafu::{ResultExt, ensure},
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
};

/// Name of the model route.
const MODEL: &str = "draft-1";
/// Time before the load in which batch work fills the fleet.
const WARM_UP: Duration = Duration::from_secs(3);
/// Time before the load in which the customers' token buckets fill.
const BUCKET_FILL_TIME: Duration = Duration::from_secs(4);
/// Maximum lag of the load generator; a run with a longer one has no result.
const MAX_LAG: Duration = Duration::from_millis(100);
/// Maximum number of attempts at each request that submits a job.
const MAX_SUBMIT_TRIES: u32 = 30;
/// Maximum wait for the last responses.
const MAX_RESPONSE_WAIT: Duration = Duration::from_secs(30);

/// Measures one policy on one shape.
pub async fn run(shape: &Shape, policy: Policy, round: u32, load: Duration) -> Result<Measured> {
    let mut fleet = Fleet::start(spec(shape, policy))
        .await
        .context(FleetSnafu)?;
    let keys = publish(&fleet, shape).await.context(FleetSnafu)?;
    if policy.has_batch() {
        submit_jobs(&fleet, shape, &keys).await?;
        sleep(WARM_UP).await;
    }
    let before = totals(&fleet, shape).await.context(FleetSnafu)?;
    let start = Instant::now();
    let samples = Rc::new(RefCell::new(Vec::new()));
    let mut lag = Duration::ZERO;
    let mut are_faults_due = policy.injects_faults();
    if policy.has_online() {
        let entries = fleet.entries();
        for arrival in arrivals(shape, u64::from(round), load) {
            if are_faults_due && arrival.at > load / 2 {
                are_faults_due = false;
                fleet
                    .kill(&format!("drafting-{}", shape.replicas))
                    .context(FleetSnafu)?;
                let last = format!("i{}", shape.instances);
                fleet.kill_instance(&last).context(FleetSnafu)?;
            }
            let due = start + arrival.at;
            sleep_until(due).await;
            lag = lag.max(due.elapsed());
            let caller = Caller::new(&keys[arrival.customer]);
            let entry = entry_for(shape, &entries, &arrival);
            let sending = send_request(
                caller,
                entry,
                arrival,
                due,
                shape.clone(),
                Rc::clone(&samples),
            );
            actix_rt::spawn(sending);
        }
    }
    sleep_until(start + load).await;
    let after = totals(&fleet, shape).await.context(FleetSnafu)?;
    let window = start.elapsed();
    ensure!(
        lag <= MAX_LAG,
        LaggedSnafu {
            lag_ms: u64::try_from(lag.as_millis()).unwrap_or(0)
        }
    );
    wait_for_responses(&samples).await;
    let samples = samples.take();
    let samples: Vec<Sample> = samples.into_iter().collect::<Result<_>>()?;
    let totals = difference(after, before);
    Ok(Measured::new(
        shape, policy, round, &samples, totals, window, lag,
    ))
}

fn spec(shape: &Shape, policy: Policy) -> FleetSpec {
    let data_centres: Vec<&str> = shape.data_centres.iter().map(String::as_str).collect();
    let (step, stream) = (shape.step_us.to_string(), shape.stream_us.to_string());
    let prompt = shape.prompt_token_us.to_string();
    let args = [
        "--step-us",
        &step,
        "--stream-us",
        &stream,
        "--prompt-token-us",
        &prompt,
        "--cache-blocks",
        "256",
    ];
    let run = format!("measure-{}-{}", shape.name, policy.name());
    let mut spec = FleetSpec::new(&run, shape.instances, &data_centres).engines(
        "drafting",
        shape.replicas,
        shape.streams_per_replica,
        &args,
    );
    spec.entry = policy.entry_settings();
    spec.dispatch = policy.dispatch_settings();
    spec.keep_address_ms = 10_000;
    spec
}

async fn publish(fleet: &Fleet, shape: &Shape) -> Result<Vec<String>, FleetError> {
    let mut keys = Vec::new();
    for customer in &shape.customers {
        keys.push(fleet.add_customer(&customer.name, customer.rate, customer.burst)?);
    }
    fleet.add_model(MODEL, "drafting")?;
    fleet.wait_in_force()?;
    wait_for_tokens(fleet, &keys).await?;
    sleep(BUCKET_FILL_TIME).await;
    Ok(keys)
}

async fn submit_jobs(fleet: &Fleet, shape: &Shape, keys: &[String]) -> Result<()> {
    let entries = fleet.entries();
    for job in 0..shape.jobs {
        let caller = Caller::new(&keys[job % keys.len()]);
        let entry = entries[job % entries.len()];
        let prompts: Vec<String> = (0..shape.items)
            .map(|item| {
                let kind = if item % shape.poison_every == 1 {
                    "poison"
                } else {
                    "summary"
                };
                format!("{kind} of application {item} of job {job}")
            })
            .collect();
        let lines = job_lines(MODEL, &prompts, shape.item_tokens);
        let submitted = submit_job(&caller, entry, &lines).await;
        submitted.map_err(|detail| WrongSnafu { detail }.build())?;
    }
    Ok(())
}

/// Submits a job; retries requests that the rate limit rejects, as clients do.
async fn submit_job(caller: &Caller, entry: SocketAddr, lines: &str) -> Result<Value, String> {
    let file = retry_while_rate_limited(async || caller.upload(entry, lines).await).await?;
    let path = "/v1/chat/completions";
    retry_while_rate_limited(async || caller.create_job(entry, &file, path, &file).await).await
}

/// Retries a call while the rate limit rejects it, up to a maximum number of
/// attempts.
async fn retry_while_rate_limited<T>(
    mut call: impl AsyncFnMut() -> Result<T, String>,
) -> Result<T, String> {
    for _ in 1..MAX_SUBMIT_TRIES {
        match call().await {
            Err(err) if err.contains("rate_limit_exceeded") => sleep(Duration::from_secs(1)).await,
            other => return other,
        }
    }
    call().await
}

/// Returns the entry for an arrival.
///
/// The callers of a customer use only a few entries, so its load is unevenly
/// distributed over the fleet.
fn entry_for(shape: &Shape, entries: &[SocketAddr], arrival: &Arrival) -> SocketAddr {
    let used_entries = shape.customers[arrival.customer].entries.max(1);
    let index = usize::try_from(arrival.number).unwrap_or(0) % used_entries;
    // The faults policy kills the last instance. No caller uses its entry, so
    // the figures show how the rest of the fleet handles the fault.
    entries[(arrival.customer * 2 + index) % (entries.len() - 1)]
}

async fn send_request(
    caller: Caller,
    entry: SocketAddr,
    arrival: Arrival,
    due: Instant,
    shape: Shape,
    samples: Rc<RefCell<Vec<Result<Sample>>>>,
) {
    let index = {
        let mut samples = samples.borrow_mut();
        samples.push(
            WrongSnafu {
                detail: "no response in time",
            }
            .fail(),
        );
        samples.len() - 1
    };
    sleep(Duration::from_millis(shape.client_ms)).await;
    let sent = due.elapsed();
    let result = caller
        .chat(entry, MODEL, &arrival.prompt, shape.tokens, true)
        .await;
    let sample = Sample {
        customer: arrival.customer,
        at: arrival.at,
        first_token: result.first_token.map(|first| sent + first),
        token_gaps: result.token_gaps,
        refused: match &result.outcome {
            Outcome::Refused { status, .. } => Some(*status),
            _ => None,
        },
        broken: matches!(result.outcome, Outcome::Broken(_)),
    };
    samples.borrow_mut()[index] = match result.outcome {
        Outcome::Wrong(detail) => WrongSnafu { detail }.fail(),
        _ => Ok(sample),
    };
}

/// Waits until each request has a sample, for at most [`MAX_RESPONSE_WAIT`].
async fn wait_for_responses(samples: &RefCell<Vec<Result<Sample>>>) {
    let start = Instant::now();
    while start.elapsed() < MAX_RESPONSE_WAIT {
        let is_waiting = samples.borrow().iter().any(Result::is_err);
        if !is_waiting {
            return;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

async fn totals(fleet: &Fleet, shape: &Shape) -> Result<EngineTotals, FleetError> {
    let mut totals = EngineTotals::default();
    for index in 1..=shape.replicas {
        // A killed replica is skipped.
        let name = format!("drafting-{index}");
        let Ok(page) = fleet.fetch(&name, "listen", "/control/stats").await else {
            continue;
        };
        let number = |field: &str| page[field].as_f64().unwrap_or(0.0);
        totals.tokens += number("tokens");
        totals.batch_tokens += number("batch_tokens");
        totals.prompt_tokens += number("prompt_tokens");
        totals.cached_tokens += number("cached_tokens");
        let leaked_keys = &page["leaked_keys"];
        debug_assert!(leaked_keys == &Value::from(0));
    }
    Ok(totals)
}

fn difference(after: EngineTotals, before: EngineTotals) -> EngineTotals {
    EngineTotals {
        tokens: after.tokens - before.tokens,
        batch_tokens: after.batch_tokens - before.batch_tokens,
        prompt_tokens: after.prompt_tokens - before.prompt_tokens,
        cached_tokens: after.cached_tokens - before.cached_tokens,
    }
}
