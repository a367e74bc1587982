//! The response body that streams an attempt's frames to an entry.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use cw_policy::AttemptAnswer;
use cw_policy::ReadStep;
use cw_policy::Reader;
use cw_wire::Frame;
use cw_wire::FrameCodec;
use dropshot::Body;
use futures::Stream;
use http_body_util::StreamBody;
use tokio::time::Instant;
use tokio::time::Interval;
use tokio::time::MissedTickBehavior;
use tokio::time::interval_at;
use tokio_util::codec::Encoder;
use tokio_util::sync::CancellationToken;

use super::agent_state::AgentState;
use super::attempt_signals::AttemptSignals;

/// A reader that detaches from its attempt when dropped.
struct ReaderGuard {
    state: Arc<AgentState>,
    reader: Reader,
}

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        let reader = self.reader;
        self.state.apply_event(|table, now| {
            table.on_detach(now, &reader);
            Vec::new()
        });
    }
}

/// The state of a frame stream.
struct FrameSource {
    guard: ReaderGuard,
    signals: Arc<AttemptSignals>,
    heartbeat: Interval,
    stop: CancellationToken,
}

/// Returns the response body for an answer of the attempt table.
pub(super) fn body(state: &Arc<AgentState>, answer: AttemptAnswer) -> Body {
    let reader = match answer {
        AttemptAnswer::Read(reader) => reader,
        AttemptAnswer::Frame(frame) => {
            return encode(&frame).map(Body::with_content).unwrap_or_default();
        }
    };
    let period = state.settings.engine.heartbeat;
    let mut heartbeat = interval_at(Instant::now() + period, period);
    heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let source = FrameSource {
        signals: state.signals(reader.id),
        stop: state.supervisor.token(),
        guard: ReaderGuard {
            state: Arc::clone(state),
            reader,
        },
        heartbeat,
    };
    let frames = futures::stream::unfold(Some(source), |source| async move {
        let mut source = source?;
        match source.next().await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some(source))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    });
    Body::wrap(StreamBody::new(to_body_frames(frames)))
}

/// Returns a body that breaks its connection, like a killed process.
pub(super) fn failing_body() -> Body {
    let error = async { Err::<Bytes, io::Error>(killed_error()) };
    Body::wrap(StreamBody::new(to_body_frames(futures::stream::once(
        error,
    ))))
}

fn to_body_frames<S>(
    bytes: S,
) -> impl Stream<Item = Result<http_body::Frame<Bytes>, io::Error>> + Send + Sync
where
    S: Stream<Item = Result<Bytes, io::Error>> + Send + Sync,
{
    use futures::TryStreamExt;
    bytes.map_ok(http_body::Frame::data)
}

impl FrameSource {
    /// Returns the next encoded frame, or `None` at the end of the stream.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        let mut output = self.signals.output.subscribe();
        let stop = self.stop.clone();
        loop {
            if stop.is_cancelled() {
                return Err(killed_error());
            }
            match self.read() {
                ReadStep::Frame(frame) => return encode(&frame).map(Some),
                ReadStep::Close => return Ok(None),
                ReadStep::Wait => {}
            }
            tokio::select! {
                () = stop.cancelled() => return Err(killed_error()),
                _ = self.heartbeat.tick() => return encode(&self.heartbeat_frame()).map(Some),
                _ = output.changed() => {}
            }
        }
    }

    fn read(&mut self) -> ReadStep {
        let reader = &mut self.guard.reader;
        self.guard
            .state
            .update_table(|table, now| table.read(now, reader))
    }

    fn heartbeat_frame(&self) -> Frame {
        let id = self.guard.reader.id;
        self.guard
            .state
            .read_table(|table, now| table.heartbeat(now, id))
    }
}

fn encode(frame: &Frame) -> io::Result<Bytes> {
    let mut buffer = BytesMut::new();
    FrameCodec::default()
        .encode(frame, &mut buffer)
        .map_err(io::Error::other)?;
    Ok(buffer.freeze())
}

fn killed_error() -> io::Error {
    io::Error::other("the process was killed")
}
