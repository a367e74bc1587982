//! The body that carries an attempt's frames to an entry.

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
use super::signal::Signal;

/// A reader that leaves its attempt when its stream is dropped.
struct ReaderGuard {
    state: Arc<AgentState>,
    reader: Reader,
}

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        let reader = self.reader;
        self.state.tell(|table, now| {
            table.on_detach(now, &reader);
            Vec::new()
        });
    }
}

/// A stream in progress.
struct Source {
    guard: ReaderGuard,
    signal: Arc<Signal>,
    heartbeat: Interval,
    stop: CancellationToken,
}

/// Returns the body for an answer of the attempt table.
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
    let source = Source {
        signal: state.signal(reader.id),
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
    Body::wrap(StreamBody::new(to_frames(frames)))
}

/// Returns a body that breaks its connection, as a killed process would.
pub(super) fn broken_body() -> Body {
    let error = async { Err::<Bytes, io::Error>(killed()) };
    Body::wrap(StreamBody::new(to_frames(futures::stream::once(error))))
}

fn to_frames<S>(
    bytes: S,
) -> impl Stream<Item = Result<http_body::Frame<Bytes>, io::Error>> + Send + Sync
where
    S: Stream<Item = Result<Bytes, io::Error>> + Send + Sync,
{
    use futures::TryStreamExt;
    bytes.map_ok(http_body::Frame::data)
}

impl Source {
    /// Returns the next frame; none at the end of the stream.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        let mut output = self.signal.output.subscribe();
        let stop = self.stop.clone();
        loop {
            if stop.is_cancelled() {
                return Err(killed());
            }
            match self.read() {
                ReadStep::Frame(frame) => return encode(&frame).map(Some),
                ReadStep::Close => return Ok(None),
                ReadStep::Wait => {}
            }
            tokio::select! {
                () = stop.cancelled() => return Err(killed()),
                _ = self.heartbeat.tick() => return encode(&self.beat()).map(Some),
                _ = output.changed() => {}
            }
        }
    }

    fn read(&mut self) -> ReadStep {
        let reader = &mut self.guard.reader;
        self.guard
            .state
            .decide(|table, now| table.read(now, reader))
    }

    fn beat(&self) -> Frame {
        let id = self.guard.reader.id;
        self.guard.state.look(|table, now| table.heartbeat(now, id))
    }
}

fn encode(frame: &Frame) -> io::Result<Bytes> {
    let mut buffer = BytesMut::new();
    FrameCodec::default()
        .encode(frame, &mut buffer)
        .map_err(io::Error::other)?;
    Ok(buffer.freeze())
}

fn killed() -> io::Error {
    io::Error::other("the process has been killed")
}
