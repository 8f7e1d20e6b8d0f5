/*!
Input files in the log, and output files made of the results in it.
*/

use {
    super::{
        Batch,
        requests::{error_reply, log_unavailable, not_read_back},
    },
    crate::{request::Line, version::DataStream},
    bytes::{Bytes, BytesMut},
    cicadagate_node::clock::unix_time_secs,
    cicadagate_policy::{
        ids::{FileId, Offset, hash64},
        version::jobs::{Data, File, Items, JobState, MAX_ITEMS, Outcome, Phase, Record},
    },
    cicadagate_wire::peer::BatchReply,
    serde_json::json,
    std::collections::BTreeMap,
};

/// Number of tries to append a chunk.
const MAX_CHUNK_TRIES: u32 = 2;
/// Maximum length of a line of a file, in bytes.
const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;

impl Batch {
    /// Stores a file: its chunks, then the record that completes it.
    ///
    /// The id is derived from customer and contents, so that a resend after a
    /// lost response finds the same file.
    pub(super) async fn put_file(&self, customer: String, name: String, body: Bytes) -> BatchReply {
        let lines = match validate_lines(&body) {
            Ok(lines) => lines,
            Err(message) => return error_reply("invalid_file", &message, 0),
        };
        let id = FileId::from_raw(hash64(&[customer.as_bytes(), &body]));
        let known = self.jobs.state.borrow().file(id).cloned();
        if let Some(file) = known {
            return file_reply(&file);
        }
        let Ok(chunks) = self.put_chunks(id, &body).await else {
            return log_unavailable();
        };
        let bytes = body.len() as u64;
        let file = File {
            id,
            customer,
            name,
            bytes,
            lines,
            chunks,
            created: unix_time_secs(),
        };
        let appended = self.append(&Record::File(file)).await;
        let is_read_back = self.wait_until(|state| state.file(id).is_some()).await;
        let file = self.jobs.state.borrow().file(id).cloned();
        match file {
            Some(file) if is_read_back => file_reply(&file),
            _ => not_read_back(&appended),
        }
    }

    /// Appends a file's chunks and returns their offsets.
    async fn put_chunks(&self, file: FileId, body: &Bytes) -> Result<Vec<Offset>, ()> {
        let stream = self.data_stream(file);
        let mut chunks = Vec::new();
        for (seq, chunk) in (0..).zip(body.chunks(self.settings.chunk_bytes)) {
            let data = Data::Chunk {
                file,
                seq,
                body: chunk.to_vec(),
            };
            chunks.push(append_with_retry(&stream, &data).await?);
        }
        Ok(chunks)
    }

    /// Reads a file's contents; `None` if a chunk cannot be read.
    pub(super) async fn file_body(&self, file: &File) -> Option<Bytes> {
        let stream = self.data_stream(file.id);
        let mut out = BytesMut::new();
        for offset in &file.chunks {
            match stream.read_one(*offset).await {
                Ok(Some(Data::Chunk { file: id, body, .. })) if id == file.id => {
                    out.extend_from_slice(&body);
                }
                _ => return None,
            }
        }
        Some(out.freeze())
    }

    pub(super) async fn get_file(&self, customer: &str, file: FileId) -> BatchReply {
        let known = self.jobs.state.borrow().file(file).cloned();
        let Some(file) = known.filter(|file| file.customer == customer) else {
            return error_reply("not_found", "there is no such file", 0);
        };
        self.file_body(&file)
            .await
            .map_or_else(log_unavailable, BatchReply::Content)
    }

    /// Returns a job's output file with a line for each completed item or, if
    /// `failed` is set, its error file with a line for each other item. Lines
    /// are in order of the items.
    pub(super) async fn get_output(&self, state: &JobState, failed: bool) -> BatchReply {
        let Phase::Closed { results, .. } = &state.phase else {
            return error_reply("not_found", "the job has not completed", 0);
        };
        let Some(outcomes) = self.read_outcomes(state, results).await else {
            return log_unavailable();
        };
        let known = self.jobs.state.borrow().file(state.job.file).cloned();
        let ids = match known {
            Some(file) => self.custom_ids(&file).await,
            None => None,
        };
        let Some(ids) = ids else {
            return log_unavailable();
        };
        let mut out = String::new();
        for (index, outcome) in outcomes {
            let id = ids.get(index as usize).map_or("", String::as_str);
            if let Some(line) = output_line(id, index, &outcome, failed) {
                out.push_str(&line);
                out.push('\n');
            }
        }
        BatchReply::Content(Bytes::from(out))
    }

    /// Returns the outcome of each item; the first one in log order counts.
    /// `None` if a record cannot be read.
    async fn read_outcomes(
        &self,
        state: &JobState,
        records: &[Offset],
    ) -> Option<BTreeMap<u32, Outcome>> {
        let stream = self.data_stream(state.job.file);
        let mut items = Items::new(state.job.id, state.job.items);
        let mut outcomes = BTreeMap::new();
        for offset in records {
            let data = stream.read_one(*offset).await.ok()??;
            let newly_finished = items.apply(*offset, &data);
            if let Data::Results { results, .. } = data {
                let counted = results
                    .into_iter()
                    .filter(|(index, _)| newly_finished.contains(index));
                for (index, outcome) in counted {
                    outcomes.entry(index).or_insert(outcome);
                }
            }
        }
        Some(outcomes)
    }

    /// Returns the `custom_id` of each item.
    async fn custom_ids(&self, file: &File) -> Option<Vec<String>> {
        let body = self.file_body(file).await?;
        Some(non_empty_lines(&body).map(Line::custom_id).collect())
    }
}

/// Appends a chunk, with a retry after a failure. If the first append succeeded
/// and only its response was lost, the unused chunk stays until it expires.
async fn append_with_retry(stream: &DataStream, data: &Data) -> Result<Offset, ()> {
    for _ in 1..MAX_CHUNK_TRIES {
        if let Ok(offset) = stream.append(data).await {
            return Ok(offset);
        }
    }
    stream.append(data).await.map_err(drop)
}

fn file_reply(file: &File) -> BatchReply {
    BatchReply::File {
        id: file.id,
        bytes: file.bytes,
        created: file.created,
        name: file.name.clone(),
    }
}

/// Iterates over the lines of a file that are not blank.
pub(super) fn non_empty_lines(body: &[u8]) -> impl Iterator<Item = &[u8]> {
    body.split(|byte| *byte == b'\n')
        .filter(|line| !line.trim_ascii().is_empty())
}

/// Checks each line of a file and returns their number.
///
/// # Errors
///
/// Returns a message that names the first invalid line.
fn validate_lines(body: &[u8]) -> Result<u32, String> {
    let mut count = 0;
    let mut ids = std::collections::BTreeSet::new();
    for (number, line) in (1..).zip(body.split(|byte| *byte == b'\n')) {
        if line.trim_ascii().is_empty() {
            continue;
        }
        if line.len() > MAX_LINE_BYTES {
            return Err(format!(
                "line {number} has more than {MAX_LINE_BYTES} bytes"
            ));
        }
        let line: Line = serde_json::from_slice(line).map_err(|err| {
            // The parser's line number is always 1 here, so it is left out.
            let text = err.to_string();
            let text = text.split(" at line ").next().unwrap_or(&text).to_owned();
            format!("line {number}: {text} (column {})", err.column())
        })?;
        line.check()
            .map_err(|reason| format!("line {number}: {reason}"))?;
        if !ids.insert(hash64(&[line.custom_id.as_bytes()])) {
            return Err(format!(
                "line {number}: custom_id '{}' is there twice",
                line.custom_id
            ));
        }
        count += 1;
    }
    if count == 0 || count > MAX_ITEMS {
        return Err(format!(
            "a file has 1 to {MAX_ITEMS} lines, this one has {count}"
        ));
    }
    Ok(count)
}

/// Returns an item's line of the output file or, if `failed` is set, of the
/// error file; `None` if the line belongs to the other file.
fn output_line(custom_id: &str, index: u32, outcome: &Outcome, failed: bool) -> Option<String> {
    let line = match outcome {
        Outcome::Completed(body) if !failed => {
            let body: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
            json!({
                "id": format!("item-{index}"),
                "custom_id": custom_id,
                "response": {"status_code": 200, "body": body},
                "error": null,
            })
        }
        Outcome::Failed(reason) if failed => json!({
            "id": format!("item-{index}"),
            "custom_id": custom_id,
            "response": null,
            "error": {"code": "item_failed", "message": reason},
        }),
        Outcome::Unknown if failed => json!({
            "id": format!("item-{index}"),
            "custom_id": custom_id,
            "response": null,
            "error": {"code": "outcome_unknown", "message": "it may have run once; it is not repeated"},
        }),
        _ => return None,
    };
    Some(line.to_string())
}
