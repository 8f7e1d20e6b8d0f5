/*!
What one run measured.
*/

use {
    super::{policy::Policy, shape::Shape},
    cicadagate_policy::{process::share_holder::Bucket, time::Time},
    hdrhistogram::Histogram,
    serde::Serialize,
    std::time::Duration,
};

/// One request's record.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Index of the customer.
    pub customer: usize,
    /// Intended time since the start of the load.
    pub at: Duration,
    /// Time from the intended start to the first token.
    pub first: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
    /// HTTP status of a refusal.
    pub refused: Option<u16>,
    /// The connection failed.
    pub broken: bool,
}

/// Figures of one customer.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct CustomerFigures {
    /// Name.
    pub name: String,
    /// Requests offered.
    pub offered: usize,
    /// Requests offered inside rate and burst.
    pub inside: usize,
    /// Requests refused although inside rate and burst: for a customer that
    /// offers more, what it got less than its due.
    pub refused_inside: usize,
    /// Requests refused in all.
    pub refused: usize,
    /// Requests admitted beyond rate and burst.
    pub over_admitted: u64,
    /// 99th percentile of the first token, in milliseconds.
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
    /// Requests offered.
    pub requests: usize,
    /// Requests that failed, refusals by rate aside.
    pub failed: usize,
    /// Median and 99th percentile of the first token, in milliseconds.
    pub first_ms: [f64; 2],
    /// Median and 99th percentile between tokens, in milliseconds.
    pub gap_ms: [f64; 2],
    /// Batch tokens a second.
    pub batch_tokens_per_sec: f64,
    /// Batch tokens of those that online work left over.
    pub batch_share: f64,
    /// 99th percentile of the worst-served customer over the median one's.
    pub worst_over_median: f64,
    /// Requests refused although inside the rate, of all inside it.
    pub wrongful: f64,
    /// Requests admitted beyond rate and burst.
    pub over_admitted: u64,
    /// Prompt tokens that were cached, of all.
    pub prefix_hits: f64,
    /// Longest lag of the generator, in milliseconds.
    pub lag_ms: f64,
    /// Each customer's figures.
    pub customers: Vec<CustomerFigures>,
}

/// Counts of the engines over a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineTotals {
    /// Tokens.
    pub tokens: f64,
    /// Tokens of batch work.
    pub batch_tokens: f64,
    /// Tokens of prompts.
    pub prompt_tokens: f64,
    /// Tokens of prompts that were cached.
    pub cached_tokens: f64,
}

fn percentile(durations: impl Iterator<Item = Duration>, quantile: f64) -> f64 {
    // One to sixty million microseconds, three digits.
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
    /// Works the figures out.
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
        let firsts = || samples.iter().filter_map(|sample| sample.first);
        let gaps = || {
            samples
                .iter()
                .flat_map(|sample| sample.gaps.iter().copied())
        };
        let customers: Vec<CustomerFigures> = (0..shape.customers.len())
            .map(|index| customer_figures(shape, index, samples))
            .collect();
        let inside: usize = customers.iter().map(|figures| figures.inside).sum();
        let refused_inside: usize = customers.iter().map(|figures| figures.refused_inside).sum();
        let seconds = window.as_secs_f64();
        let online_tokens = totals.tokens - totals.batch_tokens;
        let left_over = shape.full_tokens_per_sec() * seconds - online_tokens;
        let is_failure =
            |sample: &&Sample| sample.broken || sample.refused.is_some_and(|status| status != 429);
        Self {
            shape: shape.name.clone(),
            policy: policy.name().to_owned(),
            round,
            requests: samples.len(),
            failed: samples.iter().filter(is_failure).count(),
            first_ms: [percentile(firsts(), 0.5), percentile(firsts(), 0.99)],
            gap_ms: [percentile(gaps(), 0.5), percentile(gaps(), 0.99)],
            batch_tokens_per_sec: totals.batch_tokens / seconds,
            batch_share: totals.batch_tokens / left_over,
            worst_over_median: worst_over_median(&customers, &shape.burster),
            wrongful: refused_inside as f64 / inside.max(1) as f64,
            over_admitted: customers.iter().map(|figures| figures.over_admitted).sum(),
            prefix_hits: totals.cached_tokens / totals.prompt_tokens.max(1.0),
            lag_ms: lag.as_secs_f64() * 1000.0,
            customers,
        }
    }

    /// One line for the terminal.
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

/// The worst customer's percentile over the median one's; the customer that
/// sends more than its rate is not counted, the others are what it may harm.
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

fn time_of(at: Duration) -> Time {
    Time(u64::try_from(at.as_millis()).unwrap_or(u64::MAX))
}

/// Compares one customer's requests with one central bucket.
///
/// A request is inside if the bucket, taking only such requests, has a token
/// at its intended start. Admitted requests are run through a second bucket
/// that they must not overdraw. Which of a customer's requests are refused
/// while it sends more than its rate is not its due, only how many.
fn customer_figures(shape: &Shape, index: usize, samples: &[Sample]) -> CustomerFigures {
    let customer = &shape.customers[index];
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "small rates"
    )]
    let rate_milli = (customer.rate * 1000.0) as u64;
    let mut offered = Bucket::full(rate_milli, customer.burst, Time(0));
    let mut admitted = Bucket::full(rate_milli, customer.burst, Time(0));
    let mine: Vec<&Sample> = samples
        .iter()
        .filter(|sample| sample.customer == index)
        .collect();
    let (mut inside, mut over_admitted, mut refused_by_rate) = (0_usize, 0, 0);
    for sample in &mine {
        let at = time_of(sample.at);
        let is_refused = sample.refused == Some(429);
        if offered.take(1, at) == 1 {
            inside += 1;
        }
        refused_by_rate += usize::from(is_refused);
        if !is_refused && admitted.take(1, at) == 0 {
            over_admitted += 1;
        }
    }
    CustomerFigures {
        name: customer.name.clone(),
        offered: mine.len(),
        inside,
        refused_inside: (inside + refused_by_rate).saturating_sub(mine.len()),
        refused: mine
            .iter()
            .filter(|sample| sample.refused.is_some())
            .count(),
        over_admitted,
        first_p99_ms: percentile(mine.iter().filter_map(|sample| sample.first), 0.99),
    }
}
