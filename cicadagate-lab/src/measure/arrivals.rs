/*!
Open-loop arrivals, determined by the seed and independent of the system's
responses.
*/

use {super::shape::Shape, cicadagate_policy::ids::hash64, std::time::Duration};

/// An arrival of a request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Intended time since the start of the load.
    pub at: Duration,
    /// Index of the customer.
    pub customer: usize,
    /// Prompt.
    pub prompt: String,
    /// Sequence number among the customer's arrivals, from 0.
    pub number: u64,
}

/// Returns a uniformly distributed number in (0, 1], derived from a hash.
#[expect(clippy::cast_precision_loss, reason = "53 random bits are enough")]
fn uniform(parts: &[u64]) -> f64 {
    let bytes: Vec<u8> = parts.iter().flat_map(|part| part.to_le_bytes()).collect();
    let bits = hash64(&[&bytes]) >> 11;
    (bits as f64 + 1.0) / (1_u64 << 53) as f64
}

/// Returns all arrivals of a run in order of time.
///
/// The times between a customer's arrivals are exponentially distributed.
pub fn arrivals(shape: &Shape, seed: u64, load: Duration) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (index, customer) in shape.customers.iter().enumerate() {
        let (mut at, mut number) = (0.0, 0);
        loop {
            let progress = at / load.as_secs_f64();
            let is_burst =
                customer.name == shape.burster && (1.0 / 3.0..2.0 / 3.0).contains(&progress);
            let per_sec = if is_burst {
                customer.rate * shape.burst_factor
            } else {
                customer.load
            };
            at -= uniform(&[seed, index as u64, number]).ln() / per_sec;
            if at >= load.as_secs_f64() {
                break;
            }
            all.push(Arrival {
                at: Duration::from_secs_f64(at),
                customer: index,
                prompt: prompt(shape, &customer.name, seed, number),
                number,
            });
            number += 1;
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

/// Returns a prompt with a long shared prefix and a suffix of its own.
fn prompt(shape: &Shape, customer: &str, seed: u64, number: u64) -> String {
    let which = hash64(&[&seed.to_le_bytes(), &number.to_le_bytes()]) % shape.prefixes.max(1);
    let mut prompt = format!("{customer} rules {which} ");
    while prompt.len() < shape.prefix_chars {
        prompt.push_str("a pitch is free when ");
    }
    prompt.truncate(shape.prefix_chars);
    format!("{prompt} question {number}")
}
