//! Calls to the operators' interface of an entry.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::value_parser;
use cyclamenwharf::admin::AdminErrorKind;
use cyclamenwharf::admin::ErrorMessage;
use http::Method;
use http::Request;
use http::Response;
use http::header::AUTHORIZATION;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::failure::Failure;

/// The variable that holds the operator's key.
const KEY_VARIABLE: &str = "CYCLAMENWHARF_KEY";

/// The variable that holds the admin addresses of entries, separated by commas.
const ADMIN_VARIABLE: &str = "CYCLAMENWHARF_ADMIN";

/// How long an entry may take to answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// How often a call is made again when its outcome is unknown. Every call may be repeated.
const REPEATS: usize = 3;

/// Calls to the operators' interface, to the first entry that answers.
pub(crate) struct AdminClient {
    entries: Vec<SocketAddr>,
    key: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl AdminClient {
    /// Returns the arguments that say which entries to call, and as whom.
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

    /// Reads the arguments.
    pub(crate) fn new(args: &ArgMatches) -> Result<Self, Failure> {
        let given = args.get_many::<SocketAddr>("admin").into_iter().flatten();
        let mut entries: Vec<_> = given.copied().collect();
        if entries.is_empty() {
            entries = addresses(&std::env::var(ADMIN_VARIABLE).unwrap_or_default())?;
        }
        let key = match args.get_one::<PathBuf>("key-file") {
            Some(file) => std::fs::read_to_string(file).map_err(|source| Failure::Read {
                file: file.clone(),
                source,
            })?,
            None => std::env::var(KEY_VARIABLE)
                .map_err(|_| Failure::input("expected --key-file or CYCLAMENWHARF_KEY"))?,
        };
        Ok(Self {
            entries,
            key: key.trim().to_owned(),
            client: Client::builder(TokioExecutor::new()).build_http(),
        })
    }

    /// Reads something.
    pub(crate) async fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, Failure> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Changes something.
    pub(crate) async fn post<M: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        message: &M,
    ) -> Result<A, Failure> {
        let body = serde_json::to_vec(message).map_err(Failure::input)?;
        self.call(Method::POST, path, Bytes::from(body)).await
    }

    async fn call<A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<A, Failure> {
        let mut last = Failure::input("expected --admin or CYCLAMENWHARF_ADMIN");
        for entry in self
            .entries
            .iter()
            .cycle()
            .take(self.entries.len() * REPEATS)
        {
            last = match self.call_one(method.clone(), *entry, path, &body).await {
                Ok(answer) => return Ok(answer),
                Err(failure) if is_final(&failure) => return Err(failure),
                Err(failure) => failure,
            };
        }
        Err(last)
    }

    async fn call_one<A: DeserializeOwned>(
        &self,
        method: Method,
        entry: SocketAddr,
        path: &str,
        body: &Bytes,
    ) -> Result<A, Failure> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{entry}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .body(Full::new(body.clone()))
            .map_err(Failure::input)?;
        let work = async {
            let response = self.client.request(request).await.map_err(unreachable)?;
            read(response).await
        };
        let late = || Failure::Unreachable {
            message: format!("no answer from {entry} in {TIMEOUT:?}"),
        };
        let outcome = tokio::time::timeout(TIMEOUT, work).await;
        outcome.unwrap_or_else(|_| Err(late()))
    }
}

async fn read<A: DeserializeOwned>(
    response: Response<hyper::body::Incoming>,
) -> Result<A, Failure> {
    let status = response.status();
    let body = response.into_body().collect().await.map_err(unreachable)?;
    let bytes = body.to_bytes();
    if status.is_success() {
        return serde_json::from_slice(&bytes).map_err(unreachable);
    }
    match serde_json::from_slice::<ErrorMessage>(&bytes) {
        Ok(error) => Err(Failure::Refused { error }),
        Err(_) => Err(unreachable(format!("the entry answered {status}"))),
    }
}

fn unreachable(error: impl std::fmt::Display) -> Failure {
    Failure::Unreachable {
        message: error.to_string(),
    }
}

/// Returns whether another call would end the same.
fn is_final(failure: &Failure) -> bool {
    match failure {
        Failure::Refused { error } => !matches!(
            error.kind,
            AdminErrorKind::Unavailable | AdminErrorKind::OutcomeUnknown
        ),
        Failure::Unreachable { .. } => false,
        _ => true,
    }
}

fn addresses(text: &str) -> Result<Vec<SocketAddr>, Failure> {
    text.split(',')
        .filter(|part| !part.trim().is_empty())
        .map(|part| part.trim().parse().map_err(Failure::input))
        .collect()
}
