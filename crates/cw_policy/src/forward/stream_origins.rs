//! Records which software began each stream.
//!
//! What two software versions generate does not fit together, so a stream goes on only at the version that began
//! it. A caller may take up a stream at any entry, which has to know that version, or refuse. The entry that passes
//! on the first event tells some entries at once and all others with its next regular message.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use cw_types::StoreEra;
use cw_types::Time;
use cw_wire::Fingerprint;
use cw_wire::SoftwareHash;
use cw_wire::StreamHash;
use cw_wire::StreamOrigin;

/// Limits on the recorded streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamOriginLimits {
    /// How long a stream is kept after its last record at least, which is longer than most callers wait for it.
    pub ttl: Duration,
    /// The maximum number of records. A hundred entries begin some hundred streams a second.
    pub capacity: usize,
    /// The maximum number of records that are persisted. The largest known deployment runs fewer streams at a time. With
    /// 28 bytes each they take less than half of what a value of the key-value service may have.
    pub persisted: usize,
}

impl Default for StreamOriginLimits {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(60),
            capacity: 32_768,
            persisted: 16_384,
        }
    }
}

/// The streams to persist, and what is left out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistedOrigins {
    /// The streams, newest first.
    pub origins: Vec<StreamOrigin>,
    /// The number of streams that may be in progress and are left out. They are the oldest, which are the most likely to have ended.
    pub left_out: usize,
    /// The earliest era of the key-value service in which any of the streams was persisted before, `None` if none was.
    pub written_in: Option<StoreEra>,
}

/// What is known of a stream or a request.
#[derive(Clone, Copy, Debug)]
struct Known {
    /// The software that began it, `None` if several did.
    software: Option<SoftwareHash>,
    at: Time,
    /// The era of the key-value service in which it was persisted, `None` if entries have told it. A request that was
    /// persisted in an earlier era may have begun again at another version since.
    written_in: Option<StoreEra>,
}

impl Known {
    /// Returns whether the key-value service has come back from an older copy since this was persisted.
    fn is_outdated(&self, era: StoreEra) -> bool {
        self.written_in.is_some_and(|written_in| written_in < era)
    }
}

/// The software that began each stream, from this entry's own streams and those of other entries.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    limits: StreamOriginLimits,
    streams: BTreeMap<StreamHash, Known>,
    requests: BTreeMap<Fingerprint, Known>,
    /// The records in the order in which they were made, and whether this entry passes on the stream.
    order: VecDeque<(Time, StreamOrigin, bool)>,
    /// The longest life of a stream.
    life: Duration,
    /// The newest known era of the key-value service.
    era: StoreEra,
    /// The number of records that were dropped before their time, since there were too many.
    dropped: u64,
}

impl StreamOrigins {
    /// Creates an empty record.
    pub fn new(limits: StreamOriginLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Sets the longest time for which a caller may take up a stream. Records are kept for that long.
    pub fn set_life(&mut self, life: Duration) {
        self.life = life;
    }

    /// Returns how many records were dropped before their time, since there were too many.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn ttl(&self) -> Duration {
        self.limits.ttl.max(self.life)
    }

    /// Records which software began a stream that this entry passes on. Returns whether it is the first
    /// to contradict an earlier one.
    pub fn record_own(&mut self, now: Time, origin: StreamOrigin) -> bool {
        self.record(now, origin, true, None)
    }

    /// Records what another entry tells of a stream. Returns whether it is the first to contradict an earlier one.
    pub fn record_told(&mut self, now: Time, origin: StreamOrigin) -> bool {
        self.record(now, origin, false, None)
    }

    /// Records what entries before this one have persisted of a stream, in an era of the key-value service. Returns
    /// whether it is the first to contradict an earlier one.
    pub fn record_restored(
        &mut self,
        now: Time,
        origin: StreamOrigin,
        written_in: StoreEra,
    ) -> bool {
        self.record(now, origin, false, Some(written_in))
    }

    /// Records the era of the key-value service. The software of a stream holds in any, while requests that were persisted
    /// in an earlier one may have begun again at another version, and do not tell it any more.
    pub fn record_era(&mut self, era: StoreEra) {
        self.era = self.era.max(era);
    }

    fn record(
        &mut self,
        now: Time,
        origin: StreamOrigin,
        is_own: bool,
        written_in: Option<StoreEra>,
    ) -> bool {
        // What was persisted may be read again, which makes it no newer.
        let is_again = written_in.is_some()
            && self.streams.contains_key(&origin.stream)
            && self.requests.contains_key(&origin.request);
        let known = Known {
            software: Some(origin.software),
            at: if is_again { Time::default() } else { now },
            written_in,
        };
        let is_split = merge(&mut self.streams, origin.stream, known)
            | merge(&mut self.requests, origin.request, known);
        if is_again {
            return is_split;
        }
        self.order.push_back((now, origin, is_own));
        while self.order.len() > self.limits.capacity {
            let oldest = self.order.front().map(|(at, ..)| *at);
            let may_live = oldest.is_some_and(|at| now.since(at) <= self.life);
            self.dropped += u64::from(may_live);
            self.evict_oldest();
        }
        is_split
    }

    /// Returns the software that began a stream. A caller that does not name the attempt that began it is
    /// recognized by its request, unless streams of several versions answer the same one.
    pub fn find(
        &self,
        now: Time,
        stream: Option<StreamHash>,
        request: Fingerprint,
    ) -> Option<SoftwareHash> {
        let known = self.known(now, stream, request)?;
        (known.software).filter(|_| stream.is_some() || !known.is_outdated(self.era))
    }

    /// Returns whether streams of several versions answer the request of a caller that names no attempt, or may do so.
    pub fn is_split(&self, now: Time, stream: Option<StreamHash>, request: Fingerprint) -> bool {
        let is_outdated = |known: &Known| stream.is_none() && known.is_outdated(self.era);
        self.known(now, stream, request)
            .is_some_and(|known| known.software.is_none() || is_outdated(known))
    }

    fn known(&self, now: Time, stream: Option<StreamHash>, request: Fingerprint) -> Option<&Known> {
        let known = match stream {
            Some(stream) => self.streams.get(&stream),
            None => self.requests.get(&request),
        };
        known.filter(|known| now.since(known.at) <= self.ttl())
    }

    /// Returns the streams of this entry that were recorded after `since`, newest first.
    pub fn own_since(&self, since: Time) -> impl Iterator<Item = StreamOrigin> {
        let recent = self.recorded_since(since);
        recent
            .filter(|(_, is_own)| *is_own)
            .map(|(origin, _)| origin)
    }

    /// Returns what to persist: the streams that may be in progress.
    pub fn to_persist(&self, now: Time) -> PersistedOrigins {
        let recent = self.recorded_since(now.before(self.life));
        let mut origins: Vec<_> = recent.map(|(origin, _)| origin).collect();
        let left_out = origins.len().saturating_sub(self.limits.persisted);
        origins.truncate(self.limits.persisted);
        let requests = origins.iter();
        let requests = requests.filter_map(|origin| self.requests.get(&origin.request));
        let written_in = requests.filter_map(|known| known.written_in).min();
        PersistedOrigins {
            origins,
            left_out,
            written_in,
        }
    }

    fn recorded_since(&self, since: Time) -> impl Iterator<Item = (StreamOrigin, bool)> {
        let records = self.order.iter().rev();
        records
            .take_while(move |(at, ..)| *at > since)
            .map(|(_, origin, is_own)| (*origin, *is_own))
    }

    /// Drops expired records.
    pub fn expire(&mut self, now: Time) {
        while let Some((at, ..)) = self.order.front()
            && now.since(*at) > self.ttl()
        {
            self.evict_oldest();
        }
    }

    /// Returns the number of recorded streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no stream is recorded.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn evict_oldest(&mut self) {
        let Some((at, origin, _)) = self.order.pop_front() else {
            return;
        };
        // What was recorded again stays until its newest record is the oldest.
        if (self.streams.get(&origin.stream)).is_some_and(|known| known.at <= at) {
            self.streams.remove(&origin.stream);
        }
        if (self.requests.get(&origin.request)).is_some_and(|known| known.at <= at) {
            self.requests.remove(&origin.request);
        }
    }
}

/// Adds a record. Two that contradict each other leave nothing to go by. Returns whether they are the first to do so.
fn merge<K: Ord>(all: &mut BTreeMap<K, Known>, key: K, new: Known) -> bool {
    let known = all.entry(key).or_insert(new);
    let is_split = known.software.is_some() && known.software != new.software;
    if is_split {
        known.software = None;
    }
    known.at = known.at.max(new.at);
    let eras = [known.written_in, new.written_in];
    known.written_in = eras.into_iter().flatten().min();
    is_split
}
