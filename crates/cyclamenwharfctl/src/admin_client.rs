//! A client for the admin API of the entries.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::value_parser;
use cw_store::BodyBuffer;
use cw_store::BodyMemory;
use cyclamenwharf::admin::AdminErrorKind;
use cyclamenwharf::admin::ErrorMessage;
use http::Method;
use http::Request;
use http::Response;
use http::header::AUTHORIZATION;
use http::header::CONTENT_TYPE;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::command_error::CommandError;

/// The environment variable with the operator's key.
const KEY_VARIABLE: &str = "CYCLAMENWHARF_KEY";

/// The environment variable with the entries' admin addresses, separated by commas.
const ADMIN_VARIABLE: &str = "CYCLAMENWHARF_ADMIN";

/// The timeout of one call to an entry.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The maximum size of a response, in bytes. The records of a large deployment have some megabytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// How often each entry is tried; every call is safe to repeat, even if its outcome is unknown.
const ATTEMPTS_PER_ENTRY: usize = 3;

/// Calls the admin API of the first entry that responds.
pub(crate) struct AdminClient {
    entries: Vec<SocketAddr>,
    key: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl AdminClient {
    /// Returns the arguments for the entries' addresses and the operator's key.
    pub(crate) fn args() -> [Arg; 2] {
        let admin = Arg::new("admin")
            .long("admin")
            .value_name("ADDRESS")
            .global(true)
            .action(ArgAction::Append)
            .value_parser(value_parser!(SocketAddr))
            .help("The admin address of an entry, or CYCLAMENWHARF_ADMIN; repeat it for others");
        let key = Arg::new("key-file")
            .long("key-file")
            .value_name("FILE")
            .global(true)
            .value_parser(value_parser!(PathBuf))
            .help("The file with the operator's key, or the key itself in CYCLAMENWHARF_KEY");
        [admin, key]
    }

    /// Creates a client from the arguments and the environment.
    pub(crate) fn new(args: &ArgMatches) -> Result<Self, CommandError> {
        let addresses = args.get_many::<SocketAddr>("admin").into_iter().flatten();
        let mut entries: Vec<_> = addresses.copied().collect();
        if entries.is_empty() {
            entries = parse_addresses(&std::env::var(ADMIN_VARIABLE).unwrap_or_default())?;
        }
        let key = match args.get_one::<PathBuf>("key-file") {
            Some(file) => std::fs::read_to_string(file).map_err(|source| CommandError::Read {
                file: file.clone(),
                source,
            })?,
            None => std::env::var(KEY_VARIABLE).map_err(|_| {
                CommandError::invalid_input("expected --key-file or CYCLAMENWHARF_KEY")
            })?,
        };
        Ok(Self {
            entries,
            key: key.trim().to_owned(),
            client: Client::builder(TokioExecutor::new()).build_http(),
        })
    }

    /// Sends a `GET` request and parses the JSON response.
    pub(crate) async fn get<R: DeserializeOwned>(&self, path: &str) -> Result<R, CommandError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Sends `message` as a `POST` request and parses the JSON response.
    pub(crate) async fn post<M: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        message: &M,
    ) -> Result<R, CommandError> {
        let body = serde_json::to_vec(message).map_err(CommandError::invalid_input)?;
        self.call(Method::POST, path, Bytes::from(body)).await
    }

    /// Sends a `POST` request for an endpoint that takes no message and parses the JSON response.
    pub(crate) async fn post_empty<R: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<R, CommandError> {
        self.call(Method::POST, path, Bytes::from_static(b"{}"))
            .await
    }

    async fn call<R: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<R, CommandError> {
        let mut last_error = CommandError::invalid_input("expected --admin or CYCLAMENWHARF_ADMIN");
        for entry in self
            .entries
            .iter()
            .cycle()
            .take(self.entries.len() * ATTEMPTS_PER_ENTRY)
        {
            last_error = match self.call_entry(method.clone(), *entry, path, &body).await {
                Ok(response) => return Ok(response),
                Err(error) if is_permanent(&error) => return Err(error),
                Err(error) => error,
            };
        }
        Err(last_error)
    }

    async fn call_entry<R: DeserializeOwned>(
        &self,
        method: Method,
        entry: SocketAddr,
        path: &str,
        body: &Bytes,
    ) -> Result<R, CommandError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{entry}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .body(Full::new(body.clone()))
            .map_err(CommandError::invalid_input)?;
        let call = async {
            let response = self.client.request(request).await.map_err(unreachable)?;
            parse_response(entry, response).await
        };
        let timed_out = || CommandError::Unreachable {
            message: format!("no response from {entry} within {CALL_TIMEOUT:?}"),
        };
        let outcome = tokio::time::timeout(CALL_TIMEOUT, call).await;
        outcome.unwrap_or_else(|_| Err(timed_out()))
    }
}

async fn parse_response<R: DeserializeOwned>(
    entry: SocketAddr,
    response: Response<hyper::body::Incoming>,
) -> Result<R, CommandError> {
    let status = response.status();
    let body = BodyBuffer::new(MAX_RESPONSE_BYTES, &BodyMemory::new(MAX_RESPONSE_BYTES));
    let read = body.read(response.into_body()).await;
    let bytes = read.map_err(unreachable)?;
    if status.is_success() {
        let parsed = serde_json::from_slice(&bytes);
        return parsed.map_err(|source| CommandError::InvalidResponse { entry, source });
    }
    match serde_json::from_slice::<ErrorMessage>(&bytes) {
        Ok(response) => Err(CommandError::Rejected { response }),
        Err(_) => Err(unreachable(format!("the entry returned status {status}"))),
    }
}

fn unreachable(error: impl std::fmt::Display) -> CommandError {
    CommandError::Unreachable {
        message: error.to_string(),
    }
}

/// Returns whether a repeated call would fail in the same way.
fn is_permanent(error: &CommandError) -> bool {
    match error {
        CommandError::Rejected { response } => !matches!(
            response.kind,
            AdminErrorKind::Unavailable | AdminErrorKind::OutcomeUnknown
        ),
        CommandError::Unreachable { .. } | CommandError::InvalidResponse { .. } => false,
        _ => true,
    }
}

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, CommandError> {
    text.split(',')
        .filter(|part| !part.trim().is_empty())
        .map(|part| part.trim().parse().map_err(CommandError::invalid_input))
        .collect()
}
