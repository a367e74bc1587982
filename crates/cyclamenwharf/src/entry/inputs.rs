//! What a generation's driver listens to.

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

/// A call to an agent that is answered by frames.
pub(crate) struct LinkCall<M> {
    /// The client to call with.
    pub(crate) client: PeerClient,
    /// The agent.
    pub(crate) peer: SocketAddr,
    /// The path.
    pub(crate) path: &'static str,
    /// The message.
    pub(crate) message: M,
    /// How long the head of the answer may take.
    pub(crate) limit: Duration,
}

/// The writing of a claim.
pub(crate) type Claiming = BoxFuture<'static, Result<(), ErrorKind>>;

/// The open links of one generation, and other events that it waits for.
#[derive(Default)]
pub(crate) struct Inputs {
    events: SelectAll<BoxStream<'static, Event>>,
    links: BTreeMap<LinkId, CancellationToken>,
}

impl Inputs {
    /// Opens a link, after its claim if it has one: its frames, and in the end its breaking, become
    /// events.
    pub(crate) fn open<M>(&mut self, link: LinkId, claim: Option<Claiming>, call: LinkCall<M>)
    where
        M: Serialize + Send + Sync + 'static,
    {
        let closed = CancellationToken::new();
        let events = match claim {
            Some(claim) => claimed(link, claim, call),
            None => frames(link, call),
        };
        let events = events.take_until(closed.clone().cancelled_owned());
        self.links.insert(link, closed);
        self.events.push(events.boxed());
    }

    /// Closes a link: nothing more comes over it.
    pub(crate) fn close(&mut self, link: LinkId) {
        if let Some(closed) = self.links.remove(&link) {
            closed.cancel();
        }
    }

    /// Waits for one more event.
    pub(crate) fn wait(&mut self, event: impl Future<Output = Event> + Send + 'static) {
        self.events.push(stream::once(event).boxed());
    }

    /// Returns the next event, or `None` when none can come.
    pub(crate) async fn next(&mut self) -> Option<Event> {
        self.events.next().await
    }
}

/// Dispatches only what is claimed.
fn claimed<M>(link: LinkId, claim: Claiming, call: LinkCall<M>) -> BoxStream<'static, Event>
where
    M: Serialize + Send + Sync + 'static,
{
    claim
        .map(move |claimed| match claimed {
            Ok(()) => stream::once(async move { Event::Claimed { link } })
                .chain(frames(link, call))
                .boxed(),
            Err(kind) => stream::once(async move { Event::NotClaimed { link, kind } }).boxed(),
        })
        .flatten_stream()
        .boxed()
}

fn frames<M>(link: LinkId, call: LinkCall<M>) -> BoxStream<'static, Event>
where
    M: Serialize + Send + Sync + 'static,
{
    let open = async move {
        let LinkCall {
            client,
            peer,
            path,
            message,
            limit,
        } = call;
        client.frames(peer, path, &message, limit).await
    };
    let closed = move |effect| Event::Closed { link, effect };
    open.map(move |answer| match answer {
        Ok(frames) => frames
            .map(move |frame| to_event(link, frame))
            .chain(stream::once(async move { closed(Effect::Possible) }))
            .boxed(),
        Err(error) => stream::once(async move { closed(effect(&error)) }).boxed(),
    })
    .flatten_stream()
    .boxed()
}

fn to_event(link: LinkId, frame: Result<Frame, WireError>) -> Event {
    match frame {
        Ok(frame) => Event::Frame { link, frame },
        Err(_) => Event::Closed {
            link,
            effect: Effect::Possible,
        },
    }
}

fn effect(error: &PeerError) -> Effect {
    match error {
        PeerError::Connect { .. } | PeerError::Status { .. } => Effect::None,
        _ => Effect::Possible,
    }
}
