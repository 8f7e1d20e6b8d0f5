/*!
Callers' API keys: authenticates requests and removes keys from what is
forwarded to endpoints.
*/

use {
    super::error::{ApiError, Result},
    actix_http::{HttpMessage as _, Request},
    cicadagate_node::process::Node,
    cicadagate_policy::version::config::Customer,
};

/// Headers that are not forwarded because they may carry an API key. The key is
/// read from the first three only.
const KEY_HEADERS: [&str; 5] = [
    "authorization",
    "x-api-key",
    "api-key",
    "proxy-authorization",
    "x-goog-api-key",
];
/// Query parameters from which an API key is read; they are not forwarded.
const KEY_PARAMS: [&str; 5] = ["key", "api_key", "api-key", "apikey", "access_token"];
/// Cookies from which an API key is read; they are not forwarded.
const KEY_COOKIES: [&str; 2] = ["cicadagate_key", "api_key"];
/// Headers that apply only to the caller's connection or trace and are not
/// forwarded.
const CONNECTION_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
    "expect",
    "traceparent",
];

/// The customer of a request, and the hash of the API key that identified it.
pub(super) struct Caller {
    pub customer: Customer,
    pub key_hash: Option<[u8; 32]>,
}

/// Returns the customer of a request's API key.
///
/// # Errors
///
/// Returns an error if the request has no key or the key is not valid.
pub(super) fn authenticate(node: &Node, req: &Request) -> Result<Caller> {
    let Some(key) = find_api_key(req) else {
        return Err(ApiError::invalid(401, "missing_key", "a key is needed"));
    };
    let customer = node
        .customer_of_key(&key)
        .ok_or_else(|| ApiError::invalid(401, "invalid_key", "the key is unknown or withdrawn"))?;
    Ok(Caller {
        customer,
        key_hash: Some(node.key.hash_api_key(&key)),
    })
}

/// Returns the API key of a request, from its headers, cookies or query.
fn find_api_key(req: &Request) -> Option<String> {
    let header = |name: &str| {
        req.headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let bearer = header("authorization").and_then(|value| {
        let (scheme, key) = value.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
    });
    let named = || header("x-api-key").or_else(|| header("api-key"));
    let cookie = || {
        let mut pairs = header("cookie")?
            .split(';')
            .filter_map(|pair| pair.trim().split_once('='));
        pairs
            .find(|(name, _)| KEY_COOKIES.contains(name))
            .map(|(_, value)| value)
    };
    let from_head = bearer.or_else(named).or_else(cookie).map(str::to_owned);
    from_head.or_else(|| {
        let mut pairs = req
            .uri()
            .query()?
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(name, _)| KEY_PARAMS.contains(name))
            .map(|(_, value)| percent_decode(value))
    })
}

/// Decodes percent-encoding; a malformed escape is kept.
fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let escape = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let byte = escape.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        out.push(byte.unwrap_or(bytes[at]));
        at += if byte.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Returns the headers to forward to a plain service, without any form of the
/// API key.
pub(super) fn forwarded_headers(req: &Request) -> Vec<(String, String)> {
    let api_key = find_api_key(req);
    let has_api_key = |value: &str| {
        api_key
            .as_ref()
            .is_some_and(|api_key| value.contains(api_key.as_str()))
    };
    let mut headers = Vec::new();
    for (name, value) in req.headers() {
        let (name, Ok(value)) = (name.as_str(), value.to_str()) else {
            continue;
        };
        if KEY_HEADERS.contains(&name) || CONNECTION_HEADERS.contains(&name) {
            continue;
        }
        if name == "cookie" {
            let cookies = forwarded_cookies(value, has_api_key);
            if !cookies.is_empty() {
                headers.push((name.to_owned(), cookies));
            }
        } else if !has_api_key(value) {
            headers.push((name.to_owned(), value.to_owned()));
        }
    }
    headers
}

fn forwarded_cookies(value: &str, has_api_key: impl Fn(&str) -> bool) -> String {
    let kept = value.split(';').map(str::trim).filter(|pair| {
        let name = pair.split('=').next().unwrap_or_default();
        !KEY_COOKIES.contains(&name) && !has_api_key(pair)
    });
    kept.collect::<Vec<_>>().join("; ")
}

/// Returns the path and query to forward to a plain service, without any form
/// of the API key.
pub(super) fn forwarded_path(req: &Request) -> String {
    let path = req.path();
    let Some(query) = req.uri().query() else {
        return path.to_owned();
    };
    let api_key = find_api_key(req);
    let kept = query.split('&').filter(|pair| {
        let name = pair.split('=').next().unwrap_or_default();
        let decoded = percent_decode(pair);
        let has_api_key = api_key
            .as_ref()
            .is_some_and(|api_key| decoded.contains(api_key.as_str()));
        !KEY_PARAMS.contains(&name) && !has_api_key
    });
    let kept = kept.collect::<Vec<_>>().join("&");
    if kept.is_empty() {
        path.to_owned()
    } else {
        format!("{path}?{kept}")
    }
}
