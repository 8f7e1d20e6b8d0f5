/*!
Metrics of a process, in the Prometheus text format.

`docs/METRICS.md` lists them; a test compares it with [`Metrics`].
*/

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
    core::Collector,
};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// The metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by outcome.
    pub requests: IntCounterVec,
    /// Refusals by reason.
    pub refusals: IntCounterVec,
    /// Attempts by outcome.
    pub attempts: IntCounterVec,
    /// Bodies of replicas' responses by what ended them.
    pub body_ends: IntCounterVec,
    /// Responses that were discarded, by reason.
    pub discarded_responses: IntCounterVec,
    /// Requests that a leaving replica responded to, by how its leaving was known when
    /// the response arrived.
    pub requests_to_leaving: IntCounterVec,
    /// Streams that callers resume, by how the software version that began them was
    /// known, or why they were refused.
    pub resumptions: IntCounterVec,
    /// Bytes of messages to other processes over TCP, by direction.
    pub peer_bytes: IntCounterVec,
    /// Bytes of datagrams, by direction.
    pub datagram_bytes: IntCounterVec,
    /// Batch items by outcome.
    pub items: IntCounterVec,
    /// Preempted batch streams of all deployments; the label `deployment` is
    /// always `all`.
    pub preemptions: IntCounterVec,
    /// Refused frames, datagrams and connections, by kind.
    pub refused_messages: IntCounterVec,
    /// Gauges of the process's state, by kind.
    pub state: IntGaugeVec,
    /// Waiting tokens of batch jobs and their limit, by customer and route.
    pub waiting_tokens: IntGaugeVec,
    /// Seconds until the first piece of a response.
    pub first_piece_seconds: Histogram,
    /// Duration of requests, in seconds.
    pub request_seconds: Histogram,
    /// Reads of replicas' registrations and messages about them, by kind.
    pub registration_reads: IntCounterVec,
}

fn register<C: Collector + Clone + 'static>(
    registry: &Registry,
    metric: prometheus::Result<C>,
) -> C {
    let metric = metric.expect("constant names are valid");
    let registered = registry.register(Box::new(metric.clone()));
    registered.expect("names differ");
    metric
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Panics
    ///
    /// Never: the names are constants, valid and distinct.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, label: &str| {
            register(
                &registry,
                IntCounterVec::new(Opts::new(name, help), &[label]),
            )
        };
        let histogram = |name: &str, help: &str| {
            let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
            register(&registry, Histogram::with_opts(opts))
        };
        let gauge = |name: &str, help: &str, labels: &[&str]| {
            register(&registry, IntGaugeVec::new(Opts::new(name, help), labels))
        };
        let state = gauge("cicadagate_state", "Sizes of state, by kind.", &["kind"]);
        let waiting_tokens = gauge(
            "cicadagate_waiting_tokens",
            "Tokens of accepted items without a result, and their limit, by customer and route.",
            &["customer", "route", "kind"],
        );
        Self {
            requests: counter(
                "cicadagate_requests_total",
                "Requests by outcome.",
                "outcome",
            ),
            refusals: counter("cicadagate_refusals_total", "Refusals by reason.", "reason"),
            attempts: counter(
                "cicadagate_attempts_total",
                "Attempts by outcome.",
                "outcome",
            ),
            body_ends: counter(
                "cicadagate_body_ends_total",
                "Bodies of replicas' responses by what ended them.",
                "end",
            ),
            discarded_responses: counter(
                "cicadagate_discarded_responses_total",
                "Responses that were not attributed to the last request of their connection, by reason.",
                "reason",
            ),
            requests_to_leaving: counter(
                "cicadagate_requests_to_leaving_total",
                "Requests that leaving replicas responded to, by how the leaving was known.",
                "known_from",
            ),
            resumptions: counter(
                "cicadagate_resumptions_total",
                "Streams that callers resume, by how their software version was known or why they were refused.",
                "outcome",
            ),
            peer_bytes: counter(
                "cicadagate_peer_bytes_total",
                "Bytes between processes over TCP, by direction.",
                "direction",
            ),
            datagram_bytes: counter(
                "cicadagate_datagram_bytes_total",
                "Bytes of datagrams, by direction.",
                "direction",
            ),
            items: counter(
                "cicadagate_items_total",
                "Batch items by outcome.",
                "outcome",
            ),
            preemptions: counter(
                "cicadagate_preemptions_total",
                "Batch streams that gave way, by deployment.",
                "deployment",
            ),
            refused_messages: counter(
                "cicadagate_refused_messages_total",
                "Frames and datagrams refused, by kind.",
                "kind",
            ),
            first_piece_seconds: histogram(
                "cicadagate_first_piece_seconds",
                "Seconds until the first piece of an answer.",
            ),
            request_seconds: histogram("cicadagate_request_seconds", "Seconds that requests took."),
            registration_reads: counter(
                "cicadagate_registration_reads_total",
                "Reads of replicas' registrations and messages about them, by kind.",
                "kind",
            ),
            state,
            waiting_tokens,
            registry,
        }
    }

    /// Sets the gauge of a kind of state.
    pub fn set_state(&self, kind: &str, size: usize) {
        let size = i64::try_from(size).unwrap_or(i64::MAX);
        self.state.with_label_values(&[kind]).set(size);
    }

    /// Returns the names and help texts of all metrics.
    #[must_use]
    pub fn describe() -> Vec<(&'static str, &'static str)> {
        vec![
            ("cicadagate_attempts_total", "Attempts by outcome."),
            (
                "cicadagate_body_ends_total",
                "Bodies of replicas' responses by what ended them.",
            ),
            (
                "cicadagate_datagram_bytes_total",
                "Bytes of datagrams, by direction.",
            ),
            (
                "cicadagate_discarded_responses_total",
                "Responses that were not attributed to the last request of their connection, by reason.",
            ),
            (
                "cicadagate_first_piece_seconds",
                "Seconds until the first piece of an answer.",
            ),
            ("cicadagate_items_total", "Batch items by outcome."),
            (
                "cicadagate_peer_bytes_total",
                "Bytes between processes over TCP, by direction.",
            ),
            (
                "cicadagate_preemptions_total",
                "Batch streams that gave way, by deployment.",
            ),
            ("cicadagate_refusals_total", "Refusals by reason."),
            (
                "cicadagate_registration_reads_total",
                "Reads of replicas' registrations and messages about them, by kind.",
            ),
            (
                "cicadagate_refused_messages_total",
                "Frames and datagrams refused, by kind.",
            ),
            ("cicadagate_request_seconds", "Seconds that requests took."),
            (
                "cicadagate_requests_to_leaving_total",
                "Requests that leaving replicas responded to, by how the leaving was known.",
            ),
            ("cicadagate_requests_total", "Requests by outcome."),
            (
                "cicadagate_resumptions_total",
                "Streams that callers resume, by how their software version was known or why they were refused.",
            ),
            ("cicadagate_state", "Sizes of state, by kind."),
            (
                "cicadagate_waiting_tokens",
                "Tokens of accepted items without a result, and their limit, by customer and route.",
            ),
        ]
    }

    /// Encodes all metrics in the text format.
    #[must_use]
    pub fn render(&self) -> Vec<u8> {
        let mut out = Vec::new();
        // Writing to a vector can't fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        out
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
