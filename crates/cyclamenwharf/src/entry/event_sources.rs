//! The streams and futures that a generation's driver receives events from.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use cw_policy::Effect;
use cw_policy::Event;
use cw_policy::LinkId;
use cw_types::ErrorKind;
use cw_wire::Frame;
use cw_wire::WireError;
use futures::FutureExt;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream;
use futures::stream::BoxStream;
use futures::stream::SelectAll;
use serde::Serialize;
use tokio_util::sync::CancellationToken;

use crate::PeerClient;
use crate::PeerError;

/// A call to an agent that responds with a stream of frames.
pub(crate) struct LinkCall<M> {
    /// The HTTP client.
    pub(crate) client: PeerClient,
    /// The address of the agent.
    pub(crate) peer: SocketAddr,
    /// The path of the agent's endpoint.
    pub(crate) path: &'static str,
    /// The message in the request body.
    pub(crate) message: M,
    /// The timeout for the head of the response.
    pub(crate) head_timeout: Duration,
}

/// A future that writes a claim.
pub(crate) type ClaimFuture = BoxFuture<'static, Result<(), ErrorKind>>;

/// The open links of one generation, and other futures that end in an event.
#[derive(Default)]
pub(crate) struct EventSources {
    events: SelectAll<BoxStream<'static, Event>>,
    links: BTreeMap<LinkId, CancellationToken>,
}

impl EventSources {
    /// Opens a link, after its claim if it has one.
    ///
    /// The frames of the link become events, and so does its end.
    pub(crate) fn open<M>(&mut self, link: LinkId, claim: Option<ClaimFuture>, call: LinkCall<M>)
    where
        M: Serialize + Send + Sync + 'static,
    {
        let closed = CancellationToken::new();
        let events = match claim {
            Some(claim) => claim_then_call(link, claim, call),
            None => link_events(link, call),
        };
        let events = events.take_until(closed.clone().cancelled_owned());
        self.links.insert(link, closed);
        self.events.push(events.boxed());
    }

    /// Closes a link, which then produces no more events.
    pub(crate) fn close(&mut self, link: LinkId) {
        if let Some(closed) = self.links.remove(&link) {
            closed.cancel();
        }
    }

    /// Adds a future whose result becomes an event.
    pub(crate) fn push(&mut self, event: impl Future<Output = Event> + Send + 'static) {
        self.events.push(stream::once(event).boxed());
    }

    /// Returns the next event, or `None` when there is nothing left to wait for.
    pub(crate) async fn next(&mut self) -> Option<Event> {
        self.events.next().await
    }
}

/// Writes the claim, and makes the call only if that succeeds.
fn claim_then_call<M>(
    link: LinkId,
    claim: ClaimFuture,
    call: LinkCall<M>,
) -> BoxStream<'static, Event>
where
    M: Serialize + Send + Sync + 'static,
{
    claim
        .map(move |claimed| match claimed {
            Ok(()) => stream::once(async move { Event::Claimed { link } })
                .chain(link_events(link, call))
                .boxed(),
            Err(kind) => stream::once(async move { Event::NotClaimed { link, kind } }).boxed(),
        })
        .flatten_stream()
        .boxed()
}

fn link_events<M>(link: LinkId, call: LinkCall<M>) -> BoxStream<'static, Event>
where
    M: Serialize + Send + Sync + 'static,
{
    let open = async move {
        let LinkCall {
            client,
            peer,
            path,
            message,
            head_timeout,
        } = call;
        client.frames(peer, path, &message, head_timeout).await
    };
    let closed = move |effect| Event::Closed { link, effect };
    open.map(move |answer| match answer {
        Ok(frames) => frames
            .map(move |frame| frame_event(link, frame))
            .chain(stream::once(async move { closed(Effect::Possible) }))
            .boxed(),
        Err(error) => stream::once(async move { closed(possible_effect(&error)) }).boxed(),
    })
    .flatten_stream()
    .boxed()
}

fn frame_event(link: LinkId, frame: Result<Frame, WireError>) -> Event {
    match frame {
        Ok(frame) => Event::Frame { link, frame },
        Err(_) => Event::Closed {
            link,
            effect: Effect::Possible,
        },
    }
}

fn possible_effect(error: &PeerError) -> Effect {
    match error {
        PeerError::Connect { .. } | PeerError::Status { .. } => Effect::None,
        _ => Effect::Possible,
    }
}
