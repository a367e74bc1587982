//! An HTTP client that reads answers to the end.

use cyclamenwharf::EntryHandle;
use http_body_util::BodyExt;
use http_body_util::Full;

use super::API_KEY;

/// An answer, read to the end.
#[derive(Debug)]
pub(crate) struct Reply {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The response headers.
    pub(crate) headers: http::HeaderMap,
    /// The complete body; for a streamed answer, the text of all events.
    pub(crate) body: String,
}

impl Reply {
    /// Returns the body as JSON.
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).expect("the body is JSON")
    }

    /// Returns the error code in the body, or an empty text if there is none.
    pub(crate) fn code(&self) -> String {
        self.json()["error"]["code"]
            .as_str()
            .unwrap_or("")
            .to_owned()
    }

    /// Returns the concatenated text of all events.
    pub(crate) fn streamed_text(&self) -> String {
        self.data()
            .iter()
            .filter_map(|event| event["choices"][0]["text"].as_str().map(str::to_owned))
            .collect()
    }

    /// Returns the id of the last event that has one.
    pub(crate) fn last_id(&self) -> Option<String> {
        let mut lines = self.body.lines().rev();
        lines
            .find_map(|line| line.strip_prefix("id: "))
            .map(str::to_owned)
    }

    fn data(&self) -> Vec<serde_json::Value> {
        let lines = self.body.lines();
        let data = lines.filter_map(|line| line.strip_prefix("data: "));
        data.filter_map(|text| serde_json::from_str(text).ok())
            .collect()
    }
}

/// Sends a request, and reads the answer to the end.
pub(crate) async fn send(
    entry: &EntryHandle,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Reply {
    use hyper_util::client::legacy::Client;
    use hyper_util::rt::TokioExecutor;
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<bytes::Bytes>>();
    let mut request = http::Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", entry.callers));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let body = Full::new(bytes::Bytes::from(body.to_owned()));
    let request = request.body(body).expect("the request is valid");
    let response = client.request(request).await.expect("the entry responds");
    let (parts, body) = response.into_parts();
    let body = body
        .collect()
        .await
        .expect("the answer is complete")
        .to_bytes();
    Reply {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: String::from_utf8(body.to_vec()).expect("answers are text"),
    }
}

/// Sends a completion request as the workspace `a`.
pub(crate) async fn complete(entry: &EntryHandle, headers: &[(&str, &str)], body: &str) -> Reply {
    let bearer = format!("Bearer {API_KEY}");
    let mut all = vec![("authorization", bearer.as_str())];
    all.extend_from_slice(headers);
    send(entry, "POST", "/v1/completions", &all, body).await
}
