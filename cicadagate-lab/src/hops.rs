/*!
The latency that the two hops (entry and dispatch) add to a direct call of an
endpoint, and the time in which a burst of online requests preempts batch work.
*/

use {
    crate::{
        demo::wait_for_tokens,
        fleet::{Fleet, FleetError, FleetSpec},
        load::{Caller, Outcome, caller::job_lines},
    },
    actix_rt::time::sleep,
    futures_util::future::join_all,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Name of the model route.
const MODEL: &str = "draft-1";
/// Number of direct requests, and of requests through the fleet.
const REQUESTS: usize = 300;
/// Number of online requests in a burst.
const BURST_REQUESTS: usize = 12;
/// Number of bursts.
const BURST_COUNT: usize = 5;
/// Maximum number of streams of each of the two replicas.
const STREAMS_PER_REPLICA: usize = 8;
/// Time limit for batch work to fill the replicas.
const REFILL_TIMEOUT: Duration = Duration::from_secs(10);

fn percentile(mut values: Vec<f64>, quantile: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "small counts"
    )]
    let at = ((values.len() as f64 - 1.0) * quantile) as usize;
    values.get(at).copied().unwrap_or(f64::NAN)
}

async fn start_fleet(run: &str, step_us: &str) -> Result<(Fleet, Caller), FleetError> {
    let spec = FleetSpec::new(run, 3, &["a", "b", "c"]).engines(
        "drafting",
        2,
        STREAMS_PER_REPLICA,
        &["--step-us", step_us, "--stream-us", "150"],
    );
    let fleet = Fleet::start(spec).await?;
    let key = fleet.add_customer("qalaat", 1_000.0, 1_000)?;
    fleet.add_model(MODEL, "drafting")?;
    fleet.wait_in_force()?;
    wait_for_tokens(&fleet, std::slice::from_ref(&key)).await?;
    sleep(Duration::from_secs(1)).await;
    Ok((fleet, Caller::new(&key)))
}

/// Measures and prints the added latency and the effect of bursts.
///
/// # Errors
///
/// Returns an error if a fleet can't be started.
pub async fn run() -> Result<(), FleetError> {
    measure_hops().await?;
    measure_bursts().await
}

/// Calls an engine directly and through the fleet, alternately.
async fn measure_hops() -> Result<(), FleetError> {
    // A step of 1 ms is short enough for the latency of the hops to be visible.
    let (fleet, caller) = start_fleet("hops", "1000").await?;
    let (entry, engine) = (fleet.entries()[0], fleet.address("drafting-1", "listen")?);
    let (mut direct, mut through) = (Vec::new(), Vec::new());
    for number in 0..REQUESTS {
        direct.push(first_token_ms(&caller, engine, number).await?);
        through.push(first_token_ms(&caller, entry, number).await?);
    }
    for (name, quantile) in [("median", 0.5), ("99th percentile", 0.99)] {
        let (direct, through) = (
            percentile(direct.clone(), quantile),
            percentile(through.clone(), quantile),
        );
        println!(
            "first token, {name}: {direct:.2} ms directly, {through:.2} ms through two hops, \
             {:.2} ms added",
            through - direct
        );
    }
    Ok(())
}

async fn first_token_ms(
    caller: &Caller,
    addr: SocketAddr,
    number: usize,
) -> Result<f64, FleetError> {
    let result = caller
        .chat(addr, MODEL, &format!("hop {number}"), 2, true)
        .await;
    match (result.outcome, result.first_token) {
        (Outcome::Right, Some(first)) => Ok(first.as_secs_f64() * 1000.0),
        (outcome, _) => Err(FleetError::Call {
            what: addr.to_string(),
            reason: format!("{outcome:?}"),
        }),
    }
}

/// Fills the replicas with batch work and sends bursts of online requests.
async fn measure_bursts() -> Result<(), FleetError> {
    let (fleet, caller) = start_fleet("bursts", "20000").await?;
    let entry = fleet.entries()[0];
    let prompts: Vec<String> = (0..20_000).map(|item| format!("summary {item}")).collect();
    let failed = |reason| FleetError::Call {
        what: "batch job".to_owned(),
        reason,
    };
    let file = caller
        .upload(entry, &job_lines(MODEL, &prompts, 200))
        .await
        .map_err(failed)?;
    caller
        .create_job(entry, &file, "/v1/chat/completions", &file)
        .await
        .map_err(failed)?;
    let (mut first_tokens_ms, mut refills_ms) = (Vec::new(), Vec::new());
    for burst in 0..BURST_COUNT {
        wait_until_full(&fleet).await?;
        let requests = (0..BURST_REQUESTS).map(|number| {
            let prompt = format!("burst {burst} {number}");
            let caller = caller.clone();
            async move { caller.chat(entry, MODEL, &prompt, 10, true).await }
        });
        for result in join_all(requests).await {
            first_tokens_ms.extend(result.first_token.map(|first| first.as_secs_f64() * 1000.0));
        }
        let start = Instant::now();
        wait_until_full(&fleet).await?;
        refills_ms.push(start.elapsed().as_secs_f64() * 1000.0);
    }
    println!(
        "burst of {BURST_REQUESTS} requests to 2 replicas full of batch work: first token median {:.1} ms, \
         maximum {:.1} ms, with a step of 20 ms",
        percentile(first_tokens_ms.clone(), 0.5),
        percentile(first_tokens_ms, 1.0),
    );
    println!(
        "batch work on all but the reserved streams again after the last response: median {:.0} ms, \
         maximum {:.0} ms",
        percentile(refills_ms.clone(), 0.5),
        percentile(refills_ms, 1.0),
    );
    Ok(())
}

/// Waits until batch work occupies all streams of each replica but one, which
/// is reserved for online requests.
async fn wait_until_full(fleet: &Fleet) -> Result<(), FleetError> {
    fleet
        .wait(
            "batch work fills the replicas",
            REFILL_TIMEOUT,
            async || {
                let mut running = 0;
                for name in ["drafting-1", "drafting-2"] {
                    let page = fleet.fetch(name, "listen", "/control/stats").await;
                    running += page.map_or(0, |page| page["running"].as_u64().unwrap_or(0));
                }
                running >= 2 * (STREAMS_PER_REPLICA as u64 - 1)
            },
        )
        .await
}
