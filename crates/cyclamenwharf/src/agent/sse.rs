//! Parsing of server-sent events.

use futures::Stream;
use futures::StreamExt;
use futures::TryStreamExt;
use hyper::body::Incoming;
use tokio_util::codec::FramedRead;
use tokio_util::codec::LinesCodec;
use tokio_util::codec::LinesCodecError;
use tokio_util::io::StreamReader;

/// The longest line of an event stream, in bytes.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Returns the data of each event of a response body.
///
/// Only `data` fields are read. As the standard requires, an empty line ends an event.
pub(super) fn events(
    body: Incoming,
) -> impl Stream<Item = Result<String, LinesCodecError>> + Send + Unpin {
    let bytes = http_body_util::BodyExt::into_data_stream(body).map_err(std::io::Error::other);
    let codec = LinesCodec::new_with_max_length(MAX_LINE_BYTES);
    let lines = FramedRead::new(StreamReader::new(bytes), codec);
    futures::stream::unfold(lines, |mut lines| async {
        let event = next_event(&mut lines).await?;
        Some((event, lines))
    })
    .boxed()
}

async fn next_event(
    lines: &mut (impl Stream<Item = Result<String, LinesCodecError>> + Unpin),
) -> Option<Result<String, LinesCodecError>> {
    let mut data: Option<String> = None;
    loop {
        let line = match lines.next().await? {
            Ok(line) => line,
            Err(error) => return Some(Err(error)),
        };
        if line.is_empty() {
            match data {
                Some(data) => return Some(Ok(data)),
                None => continue,
            }
        }
        if let Some(value) = line.strip_prefix("data:") {
            let value = value.strip_prefix(' ').unwrap_or(value);
            data = Some(match data {
                Some(before) => before + "\n" + value,
                None => value.to_owned(),
            });
        }
    }
}
