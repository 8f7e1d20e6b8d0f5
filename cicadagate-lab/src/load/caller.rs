/*!
A caller that checks each response byte by byte.

The stand-ins for engines derive a response from the prompt alone, so the
expected response is known. This detects duplicated, missing and misdelivered
bytes.
*/

use {
    actix_http::{
        Method,
        header::{HeaderMap, HeaderName, HeaderValue},
    },
    actix_rt::time::timeout,
    awc::Client,
    bytes::Bytes,
    cicadagate_node::connection::http_client::{ReplicaRequest, send_once},
    cicadagate_standin::engine::{prompt_hash, token_text},
    futures_util::StreamExt,
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time limit of a request.
const TIMEOUT: Duration = Duration::from_mins(2);
/// Maximum length of a response body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// A caller with an API key.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    key: String,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response was complete and correct.
    Right,
    /// The response differed from the expected one.
    Wrong(String),
    /// The request was rejected with an error response.
    Refused {
        /// HTTP status.
        status: u16,
        /// Stable error code.
        code: String,
        /// Whether the response says that the request did not run.
        not_run: bool,
        /// Retry-after time, in milliseconds.
        retry_ms: Option<u64>,
    },
    /// The connection failed.
    Broken(String),
}

/// Outcome and timings of a request.
#[derive(Clone, Debug)]
pub struct ChatResult {
    /// Outcome.
    pub outcome: Outcome,
    /// Time until the first token.
    pub first_token: Option<Duration>,
    /// Times between consecutive tokens.
    pub token_gaps: Vec<Duration>,
    /// Time until the end of the response.
    pub total: Duration,
}

/// Returns the expected text of the response to a prompt.
#[must_use]
pub fn expected_text(prompt: &str, tokens: u64) -> String {
    let hash = prompt_hash(prompt);
    (0..tokens).map(|index| token_text(hash, index)).collect()
}

impl Caller {
    /// Creates a caller.
    #[must_use]
    pub fn new(key: &str) -> Self {
        let client = Client::builder()
            .timeout(TIMEOUT)
            .disable_redirects()
            .finish();
        Self {
            client,
            key: key.to_owned(),
        }
    }

    fn post(&self, entry: SocketAddr, path: &str) -> awc::ClientRequest {
        let request = self.client.post(format!("http://{entry}{path}"));
        request.insert_header(("authorization", format!("Bearer {}", self.key)))
    }

    fn get(&self, entry: SocketAddr, path: &str) -> awc::ClientRequest {
        let request = self.client.get(format!("http://{entry}{path}"));
        request.insert_header(("authorization", format!("Bearer {}", self.key)))
    }

    /// Requests a chat completion and checks the response.
    pub async fn chat(
        &self,
        entry: SocketAddr,
        model: &str,
        prompt: &str,
        tokens: u64,
        stream: bool,
    ) -> ChatResult {
        let body = json!({
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": stream,
        });
        let start = Instant::now();
        let mut result = ChatResult {
            outcome: Outcome::Right,
            first_token: None,
            token_gaps: Vec::new(),
            total: Duration::ZERO,
        };
        result.outcome = match self
            .post(entry, "/v1/chat/completions")
            .send_json(&body)
            .await
        {
            Err(err) => Outcome::Broken(err.to_string()),
            Ok(res) if res.status().as_u16() != 200 => parse_error(res).await,
            Ok(res) if stream => check_stream(res, prompt, tokens, start, &mut result).await,
            Ok(res) => check_response(res, prompt, tokens).await,
        };
        result.total = start.elapsed();
        result
    }

    /// Calls a plain service and returns status and body.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn service(
        &self,
        entry: SocketAddr,
        path: &str,
        call_id: &str,
    ) -> Result<(u16, Value), String> {
        self.call_service(entry, path, &[("x-call-id", call_id)])
            .await
    }

    /// Calls a plain service with an idempotency key.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn keyed_service(
        &self,
        entry: SocketAddr,
        path: &str,
        key: &str,
    ) -> Result<(u16, Value), String> {
        self.call_service(entry, path, &[("x-call-id", key), ("idempotency-key", key)])
            .await
    }

    /// Calls a plain service with headers and returns status and body.
    ///
    /// Uses the client that reports a body that was cut short.
    async fn call_service(
        &self,
        entry: SocketAddr,
        path: &str,
        headers: &[(&'static str, &str)],
    ) -> Result<(u16, Value), String> {
        let (host, bearer) = (entry.to_string(), format!("Bearer {}", self.key));
        let own_headers = [("host", host.as_str()), ("authorization", bearer.as_str())];
        let mut header_map = HeaderMap::new();
        for (name, value) in own_headers.iter().chain(headers) {
            let value = HeaderValue::from_str(value).map_err(|err| err.to_string())?;
            header_map.insert(HeaderName::from_static(name), value);
        }
        let request = ReplicaRequest {
            method: Method::POST,
            target: path.to_owned(),
            headers: header_map,
            body: Bytes::from_static(b"hello"),
            id: None,
        };
        let exchange = async {
            let mut res = send_once(entry, &request)
                .await
                .map_err(|err| err.to_string())?;
            let mut body = Vec::new();
            while let Some(chunk) = res.body.chunk().await {
                body.extend_from_slice(&chunk.map_err(|err| err.to_string())?);
            }
            let body = serde_json::from_slice(&body).unwrap_or_default();
            Ok((res.head.status.as_u16(), body))
        };
        timeout(TIMEOUT, exchange)
            .await
            .unwrap_or_else(|_| Err("no response in time".to_owned()))
    }

    /// Uploads a batch file and returns its id.
    ///
    /// # Errors
    ///
    /// Returns the response if the file is not accepted.
    pub async fn upload(&self, entry: SocketAddr, lines: &str) -> Result<String, String> {
        let boundary = "cicadagate-lab-boundary";
        let body = format!(
            "--{boundary}\r\ncontent-disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
             --{boundary}\r\ncontent-disposition: form-data; name=\"file\"; \
             filename=\"in.jsonl\"\r\n\r\n{lines}\r\n--{boundary}--\r\n"
        );
        let content_type = format!("multipart/form-data; boundary={boundary}");
        let request = self
            .post(entry, "/v1/files")
            .insert_header(("content-type", content_type));
        let value = json_response(request.send_body(body).await).await?;
        value["id"]
            .as_str()
            .map(str::to_owned)
            .ok_or_else(|| value.to_string())
    }

    /// Creates a batch job and returns it.
    ///
    /// # Errors
    ///
    /// Returns the response if the job is not accepted.
    pub async fn create_job(
        &self,
        entry: SocketAddr,
        file: &str,
        endpoint: &str,
        idempotency_key: &str,
    ) -> Result<Value, String> {
        let body = json!({
            "input_file_id": file,
            "endpoint": endpoint,
            "completion_window": "24h",
        });
        let request = self.post(entry, "/v1/batches");
        let request = request.insert_header(("idempotency-key", idempotency_key));
        json_response(request.send_json(&body).await).await
    }

    /// Returns a job.
    ///
    /// # Errors
    ///
    /// Returns the response if it is an error.
    pub async fn job(&self, entry: SocketAddr, id: &str) -> Result<Value, String> {
        json_response(self.get(entry, &format!("/v1/batches/{id}")).send().await).await
    }

    /// Cancels a job and returns it.
    ///
    /// # Errors
    ///
    /// Returns the response if it is an error.
    pub async fn cancel_job(&self, entry: SocketAddr, id: &str) -> Result<Value, String> {
        json_response(
            self.post(entry, &format!("/v1/batches/{id}/cancel"))
                .send()
                .await,
        )
        .await
    }

    /// Returns the contents of a file.
    ///
    /// # Errors
    ///
    /// Returns the response if it is an error.
    pub async fn content(&self, entry: SocketAddr, file: &str) -> Result<String, String> {
        let sent = self
            .get(entry, &format!("/v1/files/{file}/content"))
            .send()
            .await;
        let mut res = sent.map_err(|err| err.to_string())?;
        let body = res
            .body()
            .limit(MAX_BODY_BYTES)
            .await
            .map_err(|err| err.to_string())?;
        let text = String::from_utf8_lossy(&body).into_owned();
        if res.status().as_u16() == 200 {
            Ok(text)
        } else {
            Err(text)
        }
    }

    /// Returns the addresses of the entries that the fleet advertises.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response or it is an error.
    pub async fn addresses(&self, entry: SocketAddr) -> Result<Vec<SocketAddr>, String> {
        let value = json_response(self.get(entry, "/v1/addresses").send().await).await?;
        let list = value["data"].as_array().cloned().unwrap_or_default();
        let addr = |item: &Value| {
            let url = item["base_url"].as_str()?;
            url.trim_start_matches("http://")
                .trim_end_matches("/v1")
                .parse()
                .ok()
        };
        Ok(list.iter().filter_map(addr).collect())
    }
}

type SendResult<S> = Result<awc::ClientResponse<S>, awc::error::SendRequestError>;

async fn json_response<S>(sent: SendResult<S>) -> Result<Value, String>
where
    S: futures_util::Stream<Item = Result<Bytes, actix_http::error::PayloadError>> + Unpin,
{
    let mut res = sent.map_err(|err| err.to_string())?;
    let body = res
        .body()
        .limit(MAX_BODY_BYTES)
        .await
        .map_err(|err| err.to_string())?;
    let value: Value = serde_json::from_slice(&body).map_err(|err| err.to_string())?;
    if res.status().as_u16() == 200 {
        Ok(value)
    } else {
        Err(value.to_string())
    }
}

async fn parse_error<S>(mut res: awc::ClientResponse<S>) -> Outcome
where
    S: futures_util::Stream<Item = Result<Bytes, actix_http::error::PayloadError>> + Unpin,
{
    let status = res.status().as_u16();
    let body = res.body().await.unwrap_or_default();
    let value: Value = serde_json::from_slice(&body).unwrap_or_default();
    Outcome::Refused {
        status,
        code: value["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned(),
        not_run: value["error"]["not_run"].as_bool().unwrap_or(false),
        retry_ms: value["error"]["retry_after_ms"].as_u64(),
    }
}

async fn check_response<S>(mut res: awc::ClientResponse<S>, prompt: &str, tokens: u64) -> Outcome
where
    S: futures_util::Stream<Item = Result<Bytes, actix_http::error::PayloadError>> + Unpin,
{
    let body = match res.body().limit(MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(err) => return Outcome::Broken(err.to_string()),
    };
    let value: Value = serde_json::from_slice(&body).unwrap_or_default();
    let text = value["choices"][0]["message"]["content"]
        .as_str()
        .unwrap_or_default();
    compare(text, prompt, tokens)
}

fn compare(text: &str, prompt: &str, tokens: u64) -> Outcome {
    let expected = expected_text(prompt, tokens);
    if text == expected {
        return Outcome::Right;
    }
    Outcome::Wrong(format!("expected '{expected}', got '{text}'"))
}

async fn check_stream<S>(
    mut res: awc::ClientResponse<S>,
    prompt: &str,
    tokens: u64,
    start: Instant,
    result: &mut ChatResult,
) -> Outcome
where
    S: futures_util::Stream<Item = Result<Bytes, actix_http::error::PayloadError>> + Unpin,
{
    let (mut buf, mut text) = (String::new(), String::new());
    let mut last = start;
    while let Some(chunk) = res.next().await {
        let chunk = match chunk {
            Ok(chunk) => chunk,
            Err(err) => return Outcome::Broken(err.to_string()),
        };
        buf.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(end) = buf.find("\n\n") {
            let event: String = buf.drain(..end + 2).collect();
            let data = event.trim().trim_start_matches("data: ");
            if data == "[DONE]" {
                return compare(&text, prompt, tokens);
            }
            let value: Value = serde_json::from_str(data).unwrap_or_default();
            let content = value["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default();
            if content.is_empty() {
                continue;
            }
            text.push_str(content);
            let now = Instant::now();
            if result.first_token.is_none() {
                result.first_token = Some(now - start);
            } else {
                result.token_gaps.push(now - last);
            }
            last = now;
        }
    }
    Outcome::Broken("stream ended before [DONE]".to_owned())
}

/// Returns the contents of a batch file with a chat completion per prompt.
#[must_use]
pub fn job_lines(model: &str, prompts: &[String], tokens: u64) -> String {
    let lines = prompts.iter().enumerate().map(|(index, prompt)| {
        json!({
            "custom_id": format!("item-{index}"),
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": {
                "model": model,
                "messages": [{"role": "user", "content": prompt}],
                "max_tokens": tokens,
            },
        })
        .to_string()
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// Checks the output of a job against its prompts.
///
/// # Errors
///
/// Returns the first error found: an item that is missing, duplicated or has
/// the wrong response.
pub fn check_output(output: &str, prompts: &[String], tokens: u64) -> Result<(), String> {
    let mut seen = std::collections::BTreeMap::new();
    for line in output.lines() {
        let value: Value = serde_json::from_str(line).map_err(|err| err.to_string())?;
        let id = value["custom_id"].as_str().unwrap_or_default().to_owned();
        let content = &value["response"]["body"]["choices"][0]["message"]["content"];
        if seen
            .insert(id.clone(), content.as_str().unwrap_or_default().to_owned())
            .is_some()
        {
            return Err(format!("{id} is duplicated"));
        }
    }
    for (index, prompt) in prompts.iter().enumerate() {
        let id = format!("item-{index}");
        let is_poison = prompt.contains("poison");
        match seen.get(&id) {
            None if is_poison => {}
            None => return Err(format!("{id} is missing")),
            Some(_) if is_poison => return Err(format!("{id} must fail, but has a result")),
            Some(text) if *text != expected_text(prompt, tokens) => {
                return Err(format!("{id} has the wrong response: {text}"));
            }
            Some(_) => {}
        }
    }
    Ok(())
}
