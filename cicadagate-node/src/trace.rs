/*!
Spans and W3C trace context.

Each hop of a request creates a span. Its parent is the span of the previous
hop, which arrives in the `traceparent` header. Ended spans are kept in a
bounded ring buffer, and the operations address serves them as OTLP in JSON, a
format that common collectors accept.
*/

use {
    serde_json::{Value, json},
    std::{cell::RefCell, collections::VecDeque, fmt::Write},
};

/// Most ended spans that are kept.
const MAX_ENDED_SPANS: usize = 4_096;

/// Ids of a span and of the trace that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceContext {
    /// Id of the trace.
    pub trace: [u8; 16],
    /// Id of the span.
    pub span: [u8; 8],
}

/// Fills a buffer with random bytes; `None` if the system provides none.
pub fn random_bytes(bytes: &mut [u8]) -> Option<()> {
    getrandom::fill(bytes).ok()
}

fn random_id<const N: usize>() -> [u8; N] {
    let mut bytes = [0; N];
    // Without randomness ids repeat. That degrades traces but not requests.
    let _ = getrandom::fill(&mut bytes);
    bytes
}

fn hex(bytes: &[u8]) -> String {
    cicadagate_wire::key::encode_hex(bytes)
}

impl TraceContext {
    /// Creates the root span of a new trace.
    #[must_use]
    pub fn new_trace() -> Self {
        Self {
            trace: random_id(),
            span: random_id(),
        }
    }

    /// Creates a child of this span.
    #[must_use]
    pub fn child(&self) -> Self {
        Self {
            trace: self.trace,
            span: random_id(),
        }
    }

    /// Parses a `traceparent` header; `None` if it is malformed.
    #[must_use]
    pub fn parse(header: &str) -> Option<Self> {
        let mut parts = header.split('-');
        let (version, trace, span) = (parts.next()?, parts.next()?, parts.next()?);
        parts.next()?;
        let decode = cicadagate_wire::key::decode_hex;
        if version.len() != 2 || version == "ff" {
            return None;
        }
        let context = Self {
            trace: decode(trace)?.try_into().ok()?,
            span: decode(span)?.try_into().ok()?,
        };
        (context.trace != [0; 16] && context.span != [0; 8]).then_some(context)
    }

    /// Returns the value of a `traceparent` header.
    #[must_use]
    pub fn to_traceparent(&self) -> String {
        let mut out = String::from("00-");
        // Writing to a `String` can't fail.
        let _ = write!(out, "{}-{}-01", hex(&self.trace), hex(&self.span));
        out
    }
}

/// An ended span.
#[derive(Clone, Debug)]
pub struct Span {
    /// Name of the operation.
    pub name: &'static str,
    /// Ids of the span and its trace.
    pub context: TraceContext,
    /// Id of the parent span, if any.
    pub parent: Option<[u8; 8]>,
    /// Start, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// End, in milliseconds since the Unix epoch.
    pub end_ms: u64,
    /// Attributes, as names and values.
    pub attributes: Vec<(&'static str, String)>,
}

/// The spans that ended most recently in this process.
#[derive(Debug, Default)]
pub struct SpanBuffer {
    ended: RefCell<VecDeque<Span>>,
}

impl SpanBuffer {
    /// Stores an ended span and drops the oldest one if the buffer is full.
    pub fn push(&self, span: Span) {
        let mut ended = self.ended.borrow_mut();
        if ended.len() == MAX_ENDED_SPANS {
            ended.pop_front();
        }
        ended.push_back(span);
    }

    /// Returns the stored spans as an OTLP export request in JSON.
    #[must_use]
    pub fn render(&self, service: &str, instance: &str) -> Value {
        let spans: Vec<Value> = self.ended.borrow().iter().map(span_to_otlp).collect();
        let attribute =
            |key: &str, value: &str| json!({"key": key, "value": {"stringValue": value}});
        json!({"resourceSpans": [{
            "resource": {"attributes": [
                attribute("service.name", service),
                attribute("service.instance.id", instance),
            ]},
            "scopeSpans": [{"scope": {"name": "cicadagate"}, "spans": spans}],
        }]})
    }

    /// Returns the stored spans whose trace id or any attribute has the value
    /// `value`, one line of text each.
    #[must_use]
    pub fn explain(&self, value: &str) -> Vec<String> {
        let ended = self.ended.borrow();
        let matches_value = |span: &&Span| {
            hex(&span.context.trace) == value
                || span
                    .attributes
                    .iter()
                    .any(|(_, attribute)| attribute == value)
        };
        ended
            .iter()
            .filter(matches_value)
            .map(format_span)
            .collect()
    }
}

fn format_span(span: &Span) -> String {
    let mut line = format!(
        "{} {} {}ms",
        span.start_ms,
        span.name,
        span.end_ms - span.start_ms
    );
    for (key, value) in &span.attributes {
        // Writing to a `String` can't fail.
        let _ = write!(line, " {key}={value}");
    }
    line
}

fn span_to_otlp(span: &Span) -> Value {
    let attributes: Vec<Value> = span
        .attributes
        .iter()
        .map(|(key, value)| json!({"key": key, "value": {"stringValue": value}}))
        .collect();
    let nanos = |ms: u64| (u128::from(ms) * 1_000_000).to_string();
    json!({
        "traceId": hex(&span.context.trace),
        "spanId": hex(&span.context.span),
        "parentSpanId": span.parent.map(|parent| hex(&parent)).unwrap_or_default(),
        "name": span.name,
        "kind": 2,
        "startTimeUnixNano": nanos(span.start_ms),
        "endTimeUnixNano": nanos(span.end_ms),
        "attributes": attributes,
    })
}
