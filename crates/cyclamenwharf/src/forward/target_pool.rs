//! Idle connections to targets.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use cw_types::TargetId;
use cw_types::Time;

use super::link::Link;
use super::link::LinkError;

/// How long a connection is kept whose target does not say how long it keeps it: well below what
/// servers keep idle connections for by default, which is five seconds and more.
const IDLE_DEFAULT: Duration = Duration::from_secs(2);

/// The part of the target's own limit for which a connection is kept: the target must not close it
/// while a request is on its way.
const IDLE_SHARE: f64 = 0.7;

/// How long a connection rests before its next request, if another one is there: a second answer
/// to the last request would come within milliseconds.
const REST: Duration = Duration::from_millis(5);

/// An idle connection.
#[derive(Debug)]
struct Idle {
    link: Link,
    since: Time,
    until: Time,
}

/// Idle connections, by target.
#[derive(Debug, Default)]
pub(super) struct TargetPool {
    idle: Mutex<BTreeMap<TargetId, VecDeque<Idle>>>,
}

/// A connection, and whether it has carried a request before.
#[derive(Debug)]
pub(super) struct Taken {
    pub(super) link: Link,
    pub(super) used: bool,
}

impl TargetPool {
    /// Returns a connection to a target: the one that rested longest, or a new one.
    pub(super) async fn take(
        &self,
        now: Time,
        id: &TargetId,
        address: SocketAddr,
    ) -> Result<Taken, LinkError> {
        if let Some(link) = self.rested(now, id) {
            return Ok(Taken { link, used: true });
        }
        let link = Link::connect(address).await?;
        Ok(Taken { link, used: false })
    }

    /// Keeps a connection for the next request; `idle` is how long the target keeps it.
    pub(super) fn put(&self, now: Time, id: &TargetId, link: Link, idle: Option<Duration>) {
        let keep = idle.map_or(IDLE_DEFAULT, |idle| idle.mul_f64(IDLE_SHARE));
        let idle = Idle {
            link,
            since: now,
            until: now + keep,
        };
        self.lock().entry(id.clone()).or_default().push_back(idle);
    }

    /// Closes the connections that are too old, and those to targets that are no more.
    pub(super) fn sweep(&self, now: Time, keep: impl Fn(&TargetId) -> bool) {
        let mut idle = self.lock();
        for links in idle.values_mut() {
            links.retain(|idle| now < idle.until && idle.link.is_ready());
        }
        idle.retain(|id, links| keep(id) && !links.is_empty());
    }

    /// Closes the connections to a target.
    pub(super) fn close(&self, id: &TargetId) {
        self.lock().remove(id);
    }

    fn rested(&self, now: Time, id: &TargetId) -> Option<Link> {
        let mut idle = self.lock();
        let links = idle.get_mut(id)?;
        links.retain(|idle| now < idle.until && idle.link.is_ready());
        let fresh = links.front()?.since + REST > now;
        match fresh {
            true => None,
            false => links.pop_front().map(|idle| idle.link),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<TargetId, VecDeque<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
