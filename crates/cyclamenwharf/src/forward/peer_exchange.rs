//! Tells the other entries what this one has at the targets, and hears what they have.
//!
//! Datagrams suit it: each message replaces the last one, and a lost one is made up for by the next.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cw_policy::forward::NewsStep;
use cw_types::Incarnation;
use cw_types::Time;
use cw_wire::DirectoryUpdate;
use cw_wire::OutstandingWork;
use cw_wire::decode;
use cw_wire::encode;
use log::debug;
use log::info;
use tokio::net::UdpSocket;

use super::directory::apply;
use super::shared::Beliefs;
use super::shared::Shared;

/// The longest time between two messages; a new prompt is told at once.
const PERIOD: Duration = Duration::from_millis(200);

/// How much longer the time is for each other entry, so that the work grows with their number only.
const PERIOD_STEP: Duration = Duration::from_millis(10);

/// The shortest time between two messages.
const NEWS_PERIOD: Duration = Duration::from_millis(5);

/// The most targets that one message names: it must fit into one datagram.
const SHARES_MAX: usize = 1000;

/// The longest datagram.
const DATAGRAM_MAX: usize = 64 << 10;

/// Tells and hears.
pub(super) struct PeerExchange {
    pub(super) shared: Arc<Shared>,
    pub(super) socket: Arc<UdpSocket>,
    pub(super) incarnation: Incarnation,
}

impl PeerExchange {
    /// Tells the other entries, until it is dropped.
    pub(super) async fn tell(self) {
        let mut sequence = 0;
        let mut told = Time::default();
        loop {
            let entries = self.shared.entries();
            let count = u32::try_from(entries.len()).unwrap_or(u32::MAX);
            tokio::time::sleep(NEWS_PERIOD).await;
            // Those that watch the directory must not be taken for dead, however many there are.
            let now = self.shared.now();
            let period = match self.shared.beliefs().fleet.is_watcher(now) {
                true => PERIOD,
                false => PERIOD + PERIOD_STEP.saturating_mul(count),
            };
            // Both ways on: there is news, or the others must hear that this entry lives.
            let _ = tokio::time::timeout(period, self.shared.news.notified()).await;
            if entries.is_empty() {
                continue;
            }
            sequence += 1;
            let now = self.shared.now();
            let message = self.message(now, sequence, told);
            told = now;
            match encode(&message) {
                Ok(bytes) => self.send(&bytes, entries.into_values()).await,
                Err(error) => info!("a message to the other entries cannot be written: {error}"),
            }
        }
    }

    fn message(&self, now: Time, sequence: u64, told: Time) -> OutstandingWork {
        let mut beliefs = self.shared.beliefs();
        let beliefs = &mut *beliefs;
        let config = beliefs.version();
        let directory = match beliefs.fleet.is_watcher(now) {
            true => Some(beliefs.log.news(now, &beliefs.fleet, config)),
            false => None,
        };
        let mut shares = beliefs.fleet.shares();
        shares.truncate(SHARES_MAX);
        OutstandingWork {
            host: self.shared.settings.host.clone(),
            incarnation: self.incarnation,
            sequence,
            shares,
            directory,
            prompts: beliefs.own_prompts.noted_since(told),
            lost: beliefs.fleet.lost_since(told),
        }
    }

    async fn send(&self, bytes: &[u8], peers: impl Iterator<Item = SocketAddr>) {
        for peer in peers {
            if let Err(error) = self.socket.send_to(bytes, peer).await {
                debug!(peer = peer.to_string(); "an entry cannot be told: {error}");
            }
        }
    }

    /// Hears the other entries, until it is dropped.
    pub(super) async fn hear(self) {
        let mut buffer = vec![0; DATAGRAM_MAX];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    // A peer without a listener makes the next read fail; that is no fault here.
                    debug!("no message: {error}");
                    continue;
                }
            };
            match decode::<OutstandingWork>(&buffer[..length]) {
                Ok(message) => self.take(&message, from),
                Err(error) => info!("a message of another entry cannot be read: {error}"),
            }
        }
    }

    /// Takes in what an entry that watches the directory tells.
    fn hear_news(&self, now: Time, beliefs: &mut Beliefs, news: &DirectoryUpdate) {
        beliefs.told = beliefs.told.max(news.config);
        let is_watcher = beliefs.fleet.is_watcher(now);
        let is_up = beliefs.fleet.is_directory_up();
        // An entry that the directory turns away knows nothing; one that watches it knows better.
        if !news.up || (is_watcher && is_up) {
            return;
        }
        if !is_watcher {
            beliefs.fleet.directory_back(now);
        }
        match beliefs.log.hear(news) {
            NewsStep::Nothing => {}
            NewsStep::Reread => self.shared.heard.notify_waiters(),
            NewsStep::Apply(changes) => {
                for change in &changes {
                    apply(&self.shared, now, beliefs, change, news.trusted);
                }
            }
        }
        if news.config > beliefs.version() {
            self.shared.heard.notify_waiters();
        }
    }

    fn take(&self, message: &OutstandingWork, from: SocketAddr) {
        let now = self.shared.now();
        let mut beliefs = self.shared.beliefs();
        beliefs.roster.hear(now, &message.host, from);
        let before = beliefs.fleet.peers();
        if beliefs.fleet.heard_peer(now, message) {
            if let Some(news) = &message.directory {
                self.hear_news(now, &mut beliefs, news);
            }
            for prompt in &message.prompts {
                beliefs.heard_prompts.note(now, *prompt);
            }
        }
        if beliefs.fleet.peers() > before {
            self.shared.recount(now, &mut beliefs);
            info!(entry = message.host.as_str(); "another entry is heard");
        }
    }
}
