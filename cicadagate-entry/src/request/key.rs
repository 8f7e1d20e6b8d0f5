/*!
Callers' keys: finding them, and keeping them from endpoints.
*/

use {
    super::error::{ApiError, Result},
    actix_http::{HttpMessage as _, Request},
    cicadagate_node::process::Node,
    cicadagate_policy::version::config::Customer,
};

/// Headers that carry a key or may carry one.
const KEY_HEADERS: [&str; 5] = [
    "authorization",
    "x-api-key",
    "api-key",
    "proxy-authorization",
    "x-goog-api-key",
];
/// Query parameters that carry a key or may carry one.
const KEY_PARAMS: [&str; 5] = ["key", "api_key", "api-key", "apikey", "access_token"];
/// Cookies that carry a key.
const KEY_COOKIES: [&str; 2] = ["cicadagate_key", "api_key"];
/// Headers that belong to the connection from the caller.
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

/// A customer, and the hash of the key that spoke for it.
pub(super) struct Caller {
    pub customer: Customer,
    pub key: Option<[u8; 32]>,
}

/// Finds the customer that a request's key speaks for.
pub(super) fn caller(node: &Node, req: &Request) -> Result<Caller> {
    let Some(key) = secret(req) else {
        return Err(ApiError::invalid(401, "missing_key", "a key is needed"));
    };
    let customer = node
        .customer_of_key(&key)
        .ok_or_else(|| ApiError::invalid(401, "invalid_key", "the key is unknown or withdrawn"))?;
    Ok(Caller {
        customer,
        key: Some(node.key.hash_caller_key(&key)),
    })
}

/// Finds the key of a request: header, cookie or query.
fn secret(req: &Request) -> Option<String> {
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
            .map(|(_, value)| unescape(value))
    })
}

/// Undoes percent-encoding; a malformed escape stays as it is.
fn unescape(text: &str) -> String {
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

/// Returns the headers that may go on to a plain service.
pub(super) fn relayed_headers(req: &Request) -> Vec<(String, String)> {
    let secret = secret(req);
    let has_secret = |value: &str| {
        secret
            .as_ref()
            .is_some_and(|secret| value.contains(secret.as_str()))
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
            let cookies = relayed_cookies(value, has_secret);
            if !cookies.is_empty() {
                headers.push((name.to_owned(), cookies));
            }
        } else if !has_secret(value) {
            headers.push((name.to_owned(), value.to_owned()));
        }
    }
    headers
}

fn relayed_cookies(value: &str, has_secret: impl Fn(&str) -> bool) -> String {
    let kept = value.split(';').map(str::trim).filter(|pair| {
        let name = pair.split('=').next().unwrap_or_default();
        !KEY_COOKIES.contains(&name) && !has_secret(pair)
    });
    kept.collect::<Vec<_>>().join("; ")
}

/// Returns the path and query that may go on to a plain service.
pub(super) fn relayed_path(req: &Request) -> String {
    let path = req.path();
    let Some(query) = req.uri().query() else {
        return path.to_owned();
    };
    let secret = secret(req);
    let kept = query.split('&').filter(|pair| {
        let name = pair.split('=').next().unwrap_or_default();
        let decoded = unescape(pair);
        let has_secret = secret
            .as_ref()
            .is_some_and(|secret| decoded.contains(secret.as_str()));
        !KEY_PARAMS.contains(&name) && !has_secret
    });
    let kept = kept.collect::<Vec<_>>().join("&");
    if kept.is_empty() {
        path.to_owned()
    } else {
        format!("{path}?{kept}")
    }
}
