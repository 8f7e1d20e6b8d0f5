/*!
The outcome of one request or item, explained from log files.

# Problem

A user reports a failed or slow request or item. The log files of some
instances are all there is, each with a few hundred lines per second.

# Choice

The lines that mention the id are sorted by time. Lines of the same instances
from shortly before to shortly after are shown as context, if they record a
change of state that may have mattered: a replica became unreachable or was
removed, the store became unreachable, a configuration came into force, or a
process restarted. Events whose field `replica` names one that the lines about
the id do not mention are left out. The cause is summarized in one sentence with
the figures that decided it. It is taken from the lines about the id; the
context only adds whether a process restarted or the store was unreachable.

# Cost

The clocks of instances differ, so lines of different instances may be out of
order by that difference.
*/

use {
    crate::error::{CtlError, Result},
    serde_json::{Map, Value, json},
    std::{collections::BTreeSet, fs, path::PathBuf},
};

/// Time before and after the lines about the id in which context is shown, in
/// milliseconds: the longest that a process takes to detect a failure.
const CONTEXT_MS: u64 = 3_000;
/// Events that are shown as context: changes of a process's state and of its
/// view of the fleet.
const CONTEXT_EVENTS: [&str; 18] = [
    "STARTED",
    "STOPPING",
    "STOPPED",
    "SETTINGS_CHANGED",
    "CONFIG_IN_FORCE",
    "STORE_LOST",
    "STORE_BACK",
    "MEMBER_CHANGED",
    "REPLICA_ADDED",
    "REPLICA_DRAINING",
    "REPLICA_LAPSED",
    "REPLICA_REMOVED",
    "REPLICA_UNREACHABLE",
    "REPLICA_REACHED",
    "PROMPT_QUARANTINED",
    "PROMPT_RELEASED",
    "APPEND_FAILED",
    "LOG_LINES_DROPPED",
];

/// A line of a log file.
#[derive(Clone, Debug)]
struct LogLine {
    at_ms: u64,
    instance: String,
    name: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line. The last word before the JSON is the instance; without
    /// one, the instance is `file`.
    fn parse(text: &str, file: &str) -> Option<Self> {
        let (before, record) = text.split_at(text.find('{')?);
        let record: Value = serde_json::from_str(record).ok()?;
        let instance = before.split_whitespace().last().unwrap_or(file);
        Some(Self {
            at_ms: record["timestamp"].as_u64()?,
            instance: instance.to_owned(),
            name: record["payload"].as_str()?.to_owned(),
            fields: record["kv"].as_object()?.clone(),
        })
    }

    fn mentions(&self, id: &str) -> bool {
        let is_id = |value: &Value| value.as_str() == Some(id);
        self.fields.values().any(is_id)
    }

    fn str_field(&self, field: &str) -> &str {
        let value = self.fields.get(field).and_then(Value::as_str);
        value.unwrap_or_default()
    }

    fn int_field(&self, field: &str) -> i64 {
        let value = self.fields.get(field);
        value
            .and_then(|value| value.as_i64().or_else(|| value.as_str()?.parse().ok()))
            .unwrap_or_default()
    }

    fn is_context_of(&self, instances: &BTreeSet<String>, replicas: &BTreeSet<String>) -> bool {
        if !CONTEXT_EVENTS.contains(&self.name.as_str()) || !instances.contains(&self.instance) {
            return false;
        }
        let replica = self.str_field("replica");
        replica.is_empty() || replicas.contains(replica)
    }

    fn render(&self, start_ms: u64) -> String {
        let fields: Vec<String> = self
            .fields
            .iter()
            .filter(|(name, _)| *name != "event")
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            })
            .collect();
        let after = i128::from(self.at_ms) - i128::from(start_ms);
        let (instance, name) = (&self.instance, &self.name);
        format!("{after:>7} ms  {instance}  {name}  {}", fields.join(" "))
    }
}

/// What the log files contain about an id.
#[derive(Debug)]
struct Explanation {
    start_ms: u64,
    lines: Vec<LogLine>,
    context: Vec<LogLine>,
    cause: String,
}

fn explain(all: &[LogLine], id: &str) -> Option<Explanation> {
    // Lines about an item mention its id, or its job and index in the field
    // `item`.
    let item_names: BTreeSet<&str> = all
        .iter()
        .filter(|line| line.mentions(id))
        .map(|line| line.str_field("item"))
        .filter(|name| !name.is_empty())
        .collect();
    let is_about =
        |line: &&LogLine| line.mentions(id) || item_names.contains(line.str_field("item"));
    let lines: Vec<LogLine> = all.iter().filter(is_about).cloned().collect();
    let (first, last) = (lines.first()?, lines.last()?);
    let (start_ms, end_ms) = (first.at_ms, last.at_ms);
    let instances = lines.iter().map(|line| line.instance.clone()).collect();
    let replicas = lines
        .iter()
        .map(|line| line.str_field("replica").to_owned())
        .filter(|replica| !replica.is_empty())
        .collect();
    let window = start_ms.saturating_sub(CONTEXT_MS)..=end_ms + CONTEXT_MS;
    let context: Vec<LogLine> = all
        .iter()
        .filter(|line| window.contains(&line.at_ms))
        .filter(|line| line.is_context_of(&instances, &replicas))
        .cloned()
        .collect();
    let cause = cause(&lines, &context);
    Some(Explanation {
        start_ms,
        lines,
        context,
        cause,
    })
}

/// Summarizes the outcome of an id in one sentence.
fn cause(lines: &[LogLine], context: &[LogLine]) -> String {
    let last_of = |name: &str| lines.iter().rev().find(|line| line.name == name);
    if let Some(line) = last_of("REQUEST_REFUSED") {
        return refusal_cause(line, lines, context);
    }
    if let Some(line) = last_of("REQUEST_BROKEN") {
        return failure_cause(line, last_of("ATTEMPT_FAILED"));
    }
    if let Some(line) = last_of("CALLER_LEFT") {
        let (took, sent) = (line.int_field("took_ms"), line.int_field("sent_bytes"));
        return format!("the caller left after {took} ms with {sent} bytes of the answer");
    }
    if let Some(line) = last_of("REQUEST_DONE") {
        return completion_summary(line, lines);
    }
    if let Some(line) = last_of("ITEM_ABANDONED") {
        return abandonment_cause(line, lines);
    }
    if let Some(line) = last_of("ITEM_DONE") {
        let starts = count(lines, "ITEM_STARTED");
        let pauses = count(lines, "ITEM_PAUSED");
        let events = line.int_field("events");
        return format!("the item is done: {events} events, {starts} runs, {pauses} pauses");
    }
    if let Some(line) = last_of("JOB_REFUSED") {
        return format!("the job was refused: {}", line.str_field("reason"));
    }
    if let Some(line) = last_of("REQUEST_SENT").or(last_of("ITEM_STARTED")) {
        let (instance, replica) = (&line.instance, line.str_field("replica"));
        let restarted = context
            .iter()
            .any(|other| other.name == "STARTED" && other.at_ms > line.at_ms);
        let why = if restarted {
            "was restarted"
        } else {
            "ended, was frozen, or the caller left before an answer"
        };
        return format!("no end is logged: {instance} {why} while {replica} worked on it");
    }
    "the lines below are all that is known".to_owned()
}

/// Names each failed run of an abandoned item, and the counts by which it was abandoned.
fn abandonment_cause(line: &LogLine, lines: &[LogLine]) -> String {
    let failed = lines.iter().filter(|line| line.name == "ITEM_RUN_FAILED");
    let runs: Vec<String> = failed
        .map(|run| {
            let signed = if run.str_field("signature").is_empty() {
                ", not signed"
            } else {
                ""
            };
            let (status, replica) = (run.int_field("status"), run.str_field("replica"));
            format!("{status} from {replica}{signed} at {}", run.instance)
        })
        .collect();
    format!(
        "the item was given up at {}: {}; it had counted {} itself and {} in the index; \
         {} failed runs are logged: {}",
        line.instance,
        line.str_field("reason"),
        line.int_field("own_failures"),
        line.int_field("recorded_failures"),
        runs.len(),
        runs.join(", "),
    )
}

fn count(lines: &[LogLine], name: &str) -> usize {
    lines.iter().filter(|line| line.name == name).count()
}

fn refusal_cause(line: &LogLine, lines: &[LogLine], context: &[LogLine]) -> String {
    let first_of = |name: &str| lines.iter().find(|line| line.name == name);
    let code = line.str_field("code");
    let version = line.int_field("config_version");
    match (code, first_of("OVER_LIMIT"), first_of("OVERLOADED")) {
        ("over_limit", Some(over), _) => format!(
            "customer {} is over its limit of {} a second and {} at once (tokens left: {})",
            over.str_field("customer"),
            over.fields["rate_per_s"],
            over.fields["burst"],
            over.fields["tokens"],
        ),
        ("overloaded", _, Some(over)) => format!(
            "{} online requests for {} slots of {}: it would have waited {} ms",
            over.int_field("online"),
            over.int_field("slots"),
            over.str_field("service"),
            over.int_field("wait_ms"),
        ),
        ("not_configured", ..) => {
            let was_store_lost = context.iter().any(|line| line.name == "STORE_LOST");
            let why = if was_store_lost {
                "and could not reach the store"
            } else {
                "yet"
            };
            format!("{} had read no configuration {why}", line.instance)
        }
        ("unknown_key" | "no_route", ..) => {
            format!("configuration {version} has no such key or route ({code})")
        }
        ("no_replica", ..) => {
            let refused = count(lines, "ATTEMPT_FAILED");
            format!("no replica took it; {refused} refused or were not reached")
        }
        ("prompt_quarantined", ..) => lines
            .iter()
            .rev()
            .find(|line| line.name == "QUARANTINED")
            .map_or_else(|| format!("refused: {code}"), quarantine_cause),
        ("too_many_tokens", ..) => lines
            .iter()
            .rev()
            .find(|line| line.name == "JOB_OVER_LIMIT")
            .map_or_else(|| format!("refused: {code}"), over_token_limit),
        ("store_away", ..) => "the store did not answer a call about jobs".to_owned(),
        _ => format!("refused: {code}"),
    }
}

fn quarantine_cause(line: &LogLine) -> String {
    format!(
        "replicas crashed under its part {} (one of its prompt, or the whole request); such \
         requests are refused for another {} s",
        line.str_field("part"),
        line.int_field("left_ms") / 1_000,
    )
}

fn over_token_limit(line: &LogLine) -> String {
    format!(
        "the job's {} tokens do not fit: {} of at most {} of customer {} wait on route {}, \
         by an index {} ms old",
        line.int_field("tokens"),
        line.int_field("waiting"),
        line.int_field("limit"),
        line.str_field("customer"),
        line.str_field("route"),
        line.int_field("index_age_ms"),
    )
}

fn failure_cause(line: &LogLine, attempt: Option<&LogLine>) -> String {
    let (code, reason) = (line.str_field("code"), line.str_field("reason"));
    let took = line.int_field("took_ms");
    let why = if reason.is_empty() { code } else { reason };
    match attempt {
        Some(attempt) => format!(
            "replica {} failed after {} ms: {}; no further attempt was allowed ({why}, {took} ms)",
            attempt.str_field("replica"),
            attempt.int_field("after_ms"),
            attempt.str_field("reason"),
        ),
        None => format!("{why} after {took} ms"),
    }
}

fn completion_summary(line: &LogLine, lines: &[LogLine]) -> String {
    let attempts = line.int_field("attempts");
    let (took, first) = (line.int_field("took_ms"), line.int_field("first_ms"));
    let slot = lines
        .iter()
        .rev()
        .find(|line| line.name == "REQUEST_SENT")
        .map_or("", |sent| sent.str_field("slot"));
    format!(
        "response complete after {took} ms, first piece after {first} ms, attempts {attempts}, slot {slot}"
    )
}

/// Prints what log files contain about an id.
///
/// # Errors
///
/// Returns an error if a file can't be read or no line mentions the id.
pub(crate) fn print_from_logs(id: &str, files: &[PathBuf], as_json: bool) -> Result<()> {
    let mut all = Vec::new();
    for path in files {
        let text = fs::read_to_string(path).map_err(|err| CtlError::Usage {
            reason: format!("{}: {err}", path.display()),
        })?;
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        all.extend(text.lines().filter_map(|line| LogLine::parse(line, &name)));
    }
    all.sort_by_key(|line| line.at_ms);
    let explanation = explain(&all, id).ok_or_else(|| CtlError::Usage {
        reason: format!("no line of the logs names {id}"),
    })?;
    if as_json {
        let rows = |lines: &[LogLine]| -> Vec<String> {
            lines
                .iter()
                .map(|line| line.render(explanation.start_ms))
                .collect()
        };
        let output = json!({
            "id": id, "cause": explanation.cause, "lines": rows(&explanation.lines),
            "context": rows(&explanation.context),
        });
        println!("{output}");
        return Ok(());
    }
    println!("{id}: {}", explanation.cause);
    println!("\nabout it:");
    for line in &explanation.lines {
        println!("{}", line.render(explanation.start_ms));
    }
    println!("\nbelieved around that time:");
    for line in &explanation.context {
        println!("{}", line.render(explanation.start_ms));
    }
    Ok(())
}
