//! Finds out which software began a stream that its caller takes up again.

use std::net::SocketAddr;

use cw_policy::forward::ExchangeEvent;
use cw_policy::forward::Repeat;
use cw_types::HostId;
use cw_types::ServiceName;
use cw_wire::OriginAnswer;
use cw_wire::OriginCall;
use cw_wire::SoftwareHash;
use cw_wire::StreamOrigin;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::Method;
use http::StatusCode;
use log::info;

use super::exchange_driver::ExchangeDriver;
use super::forward_context::ForwardContext;
use super::peer_api::ORIGIN_PATH;

/// Whether a stream can go on.
pub(super) enum TakeUp {
    /// The request begins a stream, or what began its stream is known.
    Ready,
    /// The request is refused with this event.
    Refused(ExchangeEvent),
}

impl ExchangeDriver {
    /// Finds out which software began the stream of which the caller already has a part.
    pub(super) async fn take_up_stream(&mut self) -> TakeUp {
        let has_part = self.request.events.last().is_some_and(|last| last > 0);
        if !has_part || self.exchange.plan().repeat != Repeat::Resume {
            return TakeUp::Ready;
        }
        let call = self.origin_call();
        let own = answer_origin(&self.context, &call);
        let (known, source) = match own.software {
            Some(software) => (Some(software), "this entry"),
            None => self.find_elsewhere(&call, own).await,
        };
        let Some(software) = known else {
            self.record_take_up("unknown");
            return TakeUp::Refused(ExchangeEvent::OriginUnknown);
        };
        self.exchange.take_up(software);
        let (service, is_gone) = {
            let state = self.context.state();
            let service = state.fleet.service_with(software).cloned();
            (service, state.is_version_gone(software))
        };
        let is_routed = |service: &ServiceName| call.services.contains(service);
        if is_gone || !service.as_ref().is_none_or(is_routed) {
            self.record_take_up("no target with this version");
            return TakeUp::Refused(ExchangeEvent::VersionGone);
        }
        if let Some(service) = service.filter(|service| *service != self.request.service) {
            self.request.set_service(service);
        }
        self.record_take_up(source);
        TakeUp::Ready
    }

    fn record_take_up(&self, source: &str) {
        info!(
            request = self.request.head.id.as_str(),
            resumes = self.request.head.first_attempt.as_deref().unwrap_or("none"),
            fingerprint = self.fingerprint.to_string(),
            after = self.request.events.last().unwrap_or_default(),
            origin:? = self.exchange.origin(),
            source = source;
            "looked for the version that began a stream"
        );
    }

    fn origin_call(&self) -> OriginCall {
        let services = self.request.admitted.route.services.iter();
        OriginCall {
            stream: (self.request.head.first_attempt.is_some()).then_some(self.stream),
            request: self.fingerprint,
            services: services.map(|(service, _)| service.clone()).collect(),
        }
    }

    /// Asks the other entries, and goes by what entries before this one have persisted if nobody knows better.
    async fn find_elsewhere(
        &self,
        call: &OriginCall,
        own: OriginAnswer,
    ) -> (Option<SoftwareHash>, &'static str) {
        let told = self.ask_for_origin(call).await;
        if told.software.is_some() || told.is_split || own.is_split {
            return (told.software, "another entry");
        }
        let restored = match call.services.as_slice() {
            [service] => {
                let now = self.context.now();
                (self.context.state().fleet).restored_software(now, service)
            }
            // Either service may have begun the stream.
            _ => None,
        };
        (restored, "the key-value service")
    }

    /// Asks the entries that were told at once, and some others, all at the same time.
    async fn ask_for_origin(&self, call: &OriginCall) -> OriginAnswer {
        let mut found = OriginAnswer {
            software: None,
            is_split: false,
        };
        let body = match cw_wire::encode(call) {
            Ok(body) => body,
            Err(error) => {
                info!("failed to encode a question for the version of a stream: {error}");
                return found;
            }
        };
        let entries = self.context.origin_sources(self.stream);
        let mut answers: FuturesUnordered<_> = entries
            .iter()
            .map(|(host, address)| ask(&self.context, host, *address, body.clone()))
            .collect();
        while let Some(answer) = answers.next().await {
            let Some(answer) = answer else {
                continue;
            };
            found.is_split |= answer.is_split;
            if answer.software.is_some() {
                found.software = answer.software;
                return found;
            }
        }
        found
    }

    /// Records which software began the stream that this entry passes on, and tells the other entries.
    pub(super) fn record_origin(&self) {
        let Some(software) = self.exchange.origin() else {
            return;
        };
        let now = self.context.now();
        let mut state = self.context.state();
        let origin = StreamOrigin {
            stream: self.stream,
            request: self.fingerprint,
            software,
        };
        if state.origins.record_own(now, origin) {
            self.context.software_changed.notify_one();
        }
        state.begun_streams.push(self.stream);
        self.context.prompt_update.notify_one();
    }
}

/// Returns the software that began a stream, as far as this entry knows it.
pub(super) fn answer_origin(context: &ForwardContext, call: &OriginCall) -> OriginAnswer {
    let now = context.now();
    let state = context.state();
    let longest = state.stream_life.longest(now);
    let only = |services: &[ServiceName]| match services {
        [service] => state.fleet.only_software(now, service, longest),
        // Either service may have begun the stream.
        _ => None,
    };
    let known = state.origins.find(now, call.stream, call.request);
    let is_split = state.origins.is_split(now, call.stream, call.request);
    let mut services = call.services.iter();
    OriginAnswer {
        software: known.or_else(|| only(&call.services).filter(|_| !is_split)),
        is_split: is_split || services.any(|service| state.fleet.had_several(service)),
    }
}

/// Asks another entry, and returns `None` if it does not answer.
async fn ask(
    context: &ForwardContext,
    host: &HostId,
    address: SocketAddr,
    body: bytes::Bytes,
) -> Option<OriginAnswer> {
    let answer = context
        .keepers
        .call(Method::POST, address, ORIGIN_PATH, body)
        .await;
    match answer {
        Ok(answer) if answer.status == StatusCode::OK => {
            match cw_wire::decode::<OriginAnswer>(&answer.body) {
                Ok(answer) => Some(answer),
                Err(error) => {
                    info!(entry = host.as_str(); "failed to decode the version of a stream: {error}");
                    None
                }
            }
        }
        Ok(answer) => {
            info!(
                entry = host.as_str();
                "an entry answered a question for the version of a stream with status {}",
                answer.status
            );
            None
        }
        Err(error) => {
            info!(entry = host.as_str(); "failed to ask an entry for the version of a stream: {error}");
            None
        }
    }
}
