/*!
Files in the log, and results read from it.
*/

use {
    super::{
        Batch,
        calls::{error, log_down},
    },
    crate::{request::Line, version::DataStream},
    bytes::{Bytes, BytesMut},
    cicadagate_node::clock::epoch_secs,
    cicadagate_policy::{
        ids::{FileId, Offset, hash64},
        version::jobs::{Data, File, Items, JobState, MAX_ITEMS, Outcome, Phase, Record},
    },
    cicadagate_wire::peer::BatchReply,
    serde_json::json,
    std::collections::BTreeMap,
};

/// Tries to append a chunk.
const CHUNK_TRIES: u32 = 2;
/// Longest line of a file, in bytes.
const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;

impl Batch {
    /// Stores a file: its chunks, then the record that makes it whole.
    ///
    /// The id is made of customer and contents, so that a resend after a lost
    /// answer meets the same file.
    pub(super) async fn put_file(&self, customer: String, name: String, body: Bytes) -> BatchReply {
        let lines = match check_lines(&body) {
            Ok(lines) => lines,
            Err(message) => return error("invalid_file", &message, 0),
        };
        let id = FileId::from_raw(hash64(&[customer.as_bytes(), &body]));
        let known = self.jobs.state.borrow().file(id).cloned();
        if let Some(file) = known {
            return show(&file);
        }
        let Ok(chunks) = self.put_chunks(id, &body).await else {
            return log_down();
        };
        let bytes = body.len() as u64;
        let file = File {
            id,
            customer,
            name,
            bytes,
            lines,
            chunks,
            created: epoch_secs(),
        };
        let appended = self.append(&Record::File(file)).await;
        let is_known = self.wait_for(|state| state.file(id).is_some()).await;
        let file = self.jobs.state.borrow().file(id).cloned();
        match file {
            Some(file) if is_known => show(&file),
            _ if appended.is_ok() => error(
                "log_unavailable",
                "the file is not read back yet; send it again",
                2_000,
            ),
            _ => log_down(),
        }
    }

    async fn put_chunks(&self, file: FileId, body: &Bytes) -> Result<Vec<Offset>, ()> {
        let stream = self.data(file);
        let mut chunks = Vec::new();
        for (seq, part) in (0..).zip(body.chunks(self.settings.chunk_bytes)) {
            let data = Data::Chunk {
                file,
                seq,
                body: part.to_vec(),
            };
            chunks.push(append_again(&stream, &data).await?);
        }
        Ok(chunks)
    }

    /// Reads a file's contents.
    pub(super) async fn file_body(&self, file: &File) -> Option<Bytes> {
        let stream = self.data(file.id);
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
            return error("not_found", "there is no such file", 0);
        };
        self.file_body(&file)
            .await
            .map_or_else(log_down, BatchReply::Content)
    }

    /// Reads a job's results, in order of the items.
    pub(super) async fn get_output(&self, state: &JobState, failed: bool) -> BatchReply {
        let Phase::Closed { results, .. } = &state.phase else {
            return error("not_found", "the job has not completed", 0);
        };
        let Some(outcomes) = self.outcomes(state, results).await else {
            return log_down();
        };
        let known = self.jobs.state.borrow().file(state.job.file).cloned();
        let ids = match known {
            Some(file) => self.custom_ids(&file).await,
            None => None,
        };
        let Some(ids) = ids else {
            return log_down();
        };
        let mut out = String::new();
        for (index, outcome) in outcomes {
            let id = ids.get(index as usize).map_or("", String::as_str);
            if let Some(line) = render(id, index, &outcome, failed) {
                out.push_str(&line);
                out.push('\n');
            }
        }
        BatchReply::Content(Bytes::from(out))
    }

    /// Returns the first result of each item.
    async fn outcomes(
        &self,
        state: &JobState,
        records: &[Offset],
    ) -> Option<BTreeMap<u32, Outcome>> {
        let stream = self.data(state.job.file);
        let mut items = Items::new(state.job.id, state.job.items);
        let mut outcomes = BTreeMap::new();
        for offset in records {
            let data = stream.read_one(*offset).await.ok()??;
            let news = items.fold(*offset, &data);
            if let Data::Results { results, .. } = data {
                let news = results
                    .into_iter()
                    .filter(|(index, _)| news.contains(index));
                for (index, outcome) in news {
                    outcomes.entry(index).or_insert(outcome);
                }
            }
        }
        Some(outcomes)
    }

    async fn custom_ids(&self, file: &File) -> Option<Vec<String>> {
        let body = self.file_body(file).await?;
        Some(lines(&body).map(Line::custom_id).collect())
    }
}

/// Appends a chunk, more than once if the answer is lost: a chunk that no file
/// names is only garbage until it expires.
async fn append_again(stream: &DataStream, data: &Data) -> Result<Offset, ()> {
    for _ in 1..CHUNK_TRIES {
        if let Ok(offset) = stream.append(data).await {
            return Ok(offset);
        }
    }
    stream.append(data).await.map_err(drop)
}

fn show(file: &File) -> BatchReply {
    BatchReply::File {
        id: file.id,
        bytes: file.bytes,
        created: file.created,
        name: file.name.clone(),
    }
}

/// Lines of a file that hold something.
pub(super) fn lines(body: &[u8]) -> impl Iterator<Item = &[u8]> {
    body.split(|byte| *byte == b'\n')
        .filter(|line| !line.trim_ascii().is_empty())
}

/// Checks each line; returns their number or names the first wrong one.
fn check_lines(body: &[u8]) -> Result<u32, String> {
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
            // The library counts lines within this one line.
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

fn render(custom_id: &str, index: u32, outcome: &Outcome, failed: bool) -> Option<String> {
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
