/*!
The figures of one run.
*/

use {
    super::{policy::Policy, shape::Shape},
    cicadagate_policy::{process::share_holder::Bucket, time::Time},
    hdrhistogram::Histogram,
    serde::Serialize,
    std::time::Duration,
};

/// The measured timings and outcome of a request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Index of the customer.
    pub customer: usize,
    /// Intended time since the start of the load.
    pub at: Duration,
    /// Time from the intended start to the first token.
    pub first_token: Option<Duration>,
    /// Times between consecutive tokens.
    pub token_gaps: Vec<Duration>,
    /// HTTP status of an error response.
    pub refused: Option<u16>,
    /// Whether the connection failed.
    pub broken: bool,
}

/// Figures of one customer.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct CustomerFigures {
    /// Name.
    pub name: String,
    /// Number of requests sent.
    pub offered: usize,
    /// Number of offered requests that rate and burst allow.
    pub inside: usize,
    /// Number of requests rejected although rate and burst allow them. For a
    /// customer that offers more, the number by which it was admitted too
    /// little.
    pub refused_inside: usize,
    /// Number of requests rejected for any reason.
    pub refused: usize,
    /// Number of requests admitted beyond rate and burst.
    pub over_admitted: u64,
    /// 99th percentile of the time to the first token, in milliseconds.
    pub first_p99_ms: f64,
}

/// Figures of one run.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Measured {
    /// Shape.
    pub shape: String,
    /// Policy.
    pub policy: String,
    /// Round.
    pub round: u32,
    /// Number of requests sent.
    pub requests: usize,
    /// Number of requests that failed, without rejections by the rate limit.
    pub failed: usize,
    /// Median and 99th percentile of the time to the first token, in
    /// milliseconds.
    pub first_ms: [f64; 2],
    /// Median and 99th percentile of the time between tokens, in milliseconds.
    pub gap_ms: [f64; 2],
    /// Batch tokens per second.
    pub batch_tokens_per_sec: f64,
    /// Batch tokens as a fraction of the capacity that online work left unused.
    pub batch_share: f64,
    /// 99th percentile of the time to the first token of the customer with the
    /// highest one, divided by that of the median customer.
    pub worst_over_median: f64,
    /// Requests rejected although rate and burst allow them, as a fraction of
    /// all that they allow.
    pub wrongful: f64,
    /// Number of requests admitted beyond rate and burst.
    pub over_admitted: u64,
    /// Cached prompt tokens as a fraction of all prompt tokens.
    pub prefix_hits: f64,
    /// Longest lag of the load generator, in milliseconds.
    pub lag_ms: f64,
    /// Figures of each customer.
    pub customers: Vec<CustomerFigures>,
}

/// Sums of the token counters of all engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineTotals {
    /// Generated tokens.
    pub tokens: f64,
    /// Generated tokens of batch work.
    pub batch_tokens: f64,
    /// Prompt tokens.
    pub prompt_tokens: f64,
    /// Prompt tokens that were cached.
    pub cached_tokens: f64,
}

fn percentile(durations: impl Iterator<Item = Duration>, quantile: f64) -> f64 {
    // From 1 microsecond to 60 seconds, with 3 significant digits.
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3) else {
        return f64::NAN;
    };
    for duration in durations {
        let us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        histogram.saturating_record(us.max(1));
    }
    if histogram.is_empty() {
        return f64::NAN;
    }
    #[expect(clippy::cast_precision_loss, reason = "small times")]
    let us = histogram.value_at_quantile(quantile) as f64;
    us / 1000.0
}

impl Measured {
    /// Computes the figures of a run.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "small counts")]
    pub fn new(
        shape: &Shape,
        policy: Policy,
        round: u32,
        samples: &[Sample],
        totals: EngineTotals,
        window: Duration,
        lag: Duration,
    ) -> Self {
        let first_tokens = || samples.iter().filter_map(|sample| sample.first_token);
        let gaps = || {
            samples
                .iter()
                .flat_map(|sample| sample.token_gaps.iter().copied())
        };
        let customers: Vec<CustomerFigures> = (0..shape.customers.len())
            .map(|index| customer_figures(shape, index, samples))
            .collect();
        let inside: usize = customers.iter().map(|figures| figures.inside).sum();
        let refused_inside: usize = customers.iter().map(|figures| figures.refused_inside).sum();
        let seconds = window.as_secs_f64();
        let online_tokens = totals.tokens - totals.batch_tokens;
        let unused_capacity = shape.full_tokens_per_sec() * seconds - online_tokens;
        let is_failure =
            |sample: &&Sample| sample.broken || sample.refused.is_some_and(|status| status != 429);
        Self {
            shape: shape.name.clone(),
            policy: policy.name().to_owned(),
            round,
            requests: samples.len(),
            failed: samples.iter().filter(is_failure).count(),
            first_ms: [
                percentile(first_tokens(), 0.5),
                percentile(first_tokens(), 0.99),
            ],
            gap_ms: [percentile(gaps(), 0.5), percentile(gaps(), 0.99)],
            batch_tokens_per_sec: totals.batch_tokens / seconds,
            batch_share: totals.batch_tokens / unused_capacity,
            worst_over_median: worst_over_median(&customers, &shape.burster),
            wrongful: refused_inside as f64 / inside.max(1) as f64,
            over_admitted: customers.iter().map(|figures| figures.over_admitted).sum(),
            prefix_hits: totals.cached_tokens / totals.prompt_tokens.max(1.0),
            lag_ms: lag.as_secs_f64() * 1000.0,
            customers,
        }
    }

    /// Returns a summary of the run in one line.
    #[must_use]
    pub fn line(&self) -> String {
        format!(
            "{} {} round {}: {} requests, {} failed; first token p50 {:.1} p99 {:.1} ms; \
             gap p50 {:.1} p99 {:.1} ms; batch {:.0} tokens/s ({:.2} of what is left); \
             worst/median {:.2}; wrongful {:.4}; over-admitted {}; prefix hits {:.2}; lag {:.1} ms",
            self.shape,
            self.policy,
            self.round,
            self.requests,
            self.failed,
            self.first_ms[0],
            self.first_ms[1],
            self.gap_ms[0],
            self.gap_ms[1],
            self.batch_tokens_per_sec,
            self.batch_share,
            self.worst_over_median,
            self.wrongful,
            self.over_admitted,
            self.prefix_hits,
            self.lag_ms,
        )
    }
}

/// Returns the highest 99th percentile of a customer divided by the median one.
///
/// The customer that exceeds its rate is excluded: the figure shows its effect
/// on the others.
fn worst_over_median(customers: &[CustomerFigures], burster: &str) -> f64 {
    let mut values: Vec<f64> = customers
        .iter()
        .filter(|figures| figures.name != burster && figures.first_p99_ms.is_finite())
        .map(|figures| figures.first_p99_ms)
        .collect();
    values.sort_by(f64::total_cmp);
    match values.last() {
        Some(worst) => worst / values[values.len() / 2],
        None => f64::NAN,
    }
}

fn to_time(at: Duration) -> Time {
    Time(u64::try_from(at.as_millis()).unwrap_or(u64::MAX))
}

/// Compares the requests of a customer with an ideal central token bucket.
///
/// A request is allowed if this bucket has a token at the request's intended
/// start; it takes tokens for allowed requests only. A second bucket takes a
/// token for each request that the rate limit did not reject; requests that
/// find it empty count as over-admitted. While a customer exceeds its rate,
/// only the number of its admitted requests is determined, not which ones, so
/// rejections are compared by number.
fn customer_figures(shape: &Shape, index: usize, samples: &[Sample]) -> CustomerFigures {
    let customer = &shape.customers[index];
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "small rates"
    )]
    let rate_milli = (customer.rate * 1000.0) as u64;
    let mut ideal = Bucket::full(rate_milli, customer.burst, Time(0));
    let mut admitted = Bucket::full(rate_milli, customer.burst, Time(0));
    let own_samples: Vec<&Sample> = samples
        .iter()
        .filter(|sample| sample.customer == index)
        .collect();
    let (mut inside, mut over_admitted, mut refused_by_rate) = (0_usize, 0, 0);
    for sample in &own_samples {
        let at = to_time(sample.at);
        let is_refused = sample.refused == Some(429);
        if ideal.take(1, at) == 1 {
            inside += 1;
        }
        refused_by_rate += usize::from(is_refused);
        if !is_refused && admitted.take(1, at) == 0 {
            over_admitted += 1;
        }
    }
    CustomerFigures {
        name: customer.name.clone(),
        offered: own_samples.len(),
        inside,
        refused_inside: (inside + refused_by_rate).saturating_sub(own_samples.len()),
        refused: own_samples
            .iter()
            .filter(|sample| sample.refused.is_some())
            .count(),
        over_admitted,
        first_p99_ms: percentile(
            own_samples.iter().filter_map(|sample| sample.first_token),
            0.99,
        ),
    }
}
