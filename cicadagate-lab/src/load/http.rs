/*!
Control requests to stand-ins and processes over HTTP.
*/

use {
    crate::fleet::{FleetError, Result},
    awc::Client,
    serde_json::Value,
    std::{net::SocketAddr, time::Duration},
};

/// Time limit of a request.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum length of a response body to [`get`], in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

fn client() -> Client {
    Client::builder()
        .timeout(TIMEOUT)
        .disable_redirects()
        .finish()
}

fn failed(what: &str, reason: impl std::fmt::Display) -> FleetError {
    FleetError::Call {
        what: what.to_owned(),
        reason: reason.to_string(),
    }
}

/// Sends JSON and returns the response body.
///
/// # Errors
///
/// Returns an error if there is no response or its status is not 200.
pub async fn post(addr: SocketAddr, path: &str, body: &Value) -> Result<String> {
    let what = format!("POST {addr}{path}");
    let sent = client()
        .post(format!("http://{addr}{path}"))
        .send_json(body)
        .await;
    let mut res = sent.map_err(|err| failed(&what, err))?;
    let body = res.body().await.map_err(|err| failed(&what, err))?;
    if res.status().as_u16() != 200 {
        return Err(failed(&what, format!("status {}", res.status())));
    }
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Returns the JSON body of a response of any status; a body that is not JSON
/// is returned as a string.
///
/// # Errors
///
/// Returns an error if there is no response.
pub async fn get(addr: SocketAddr, path: &str) -> Result<Value> {
    let what = format!("GET {addr}{path}");
    let sent = client().get(format!("http://{addr}{path}")).send().await;
    let mut res = sent.map_err(|err| failed(&what, err))?;
    let body = res
        .body()
        .limit(MAX_BODY_BYTES)
        .await
        .map_err(|err| failed(&what, err))?;
    Ok(serde_json::from_slice(&body)
        .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(&body).into_owned())))
}
