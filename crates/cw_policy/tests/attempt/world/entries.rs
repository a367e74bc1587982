//! Actions of entries and callers.

use super::super::fixtures::call_dispatch;
use super::super::fixtures::dispatch;
use super::super::oracle::Stream;
use super::CheckResult;
use super::Message;
use super::World;
use super::id;
use super::pick_index;
use super::runs_once;
use cw_policy::AttemptAnswer;
use cw_policy::ReadStep;
use cw_types::AttemptId;
use cw_types::Ran;
use cw_types::TokenIndex;
use cw_wire::Ack;
use cw_wire::Attach;
use cw_wire::Cancel;
use cw_wire::Dispatch;
use cw_wire::Frame;
use std::time::Duration;

impl World {
    pub(super) fn send(&mut self, n: u8) {
        let id = id(n);
        let repeated = self.sent.contains_key(&id);
        if repeated {
            self.repeated.insert(id);
        }
        let stamp = *self.sent.entry(id).or_insert(self.known_stamp);
        let message = match runs_once(id) {
            true => call_dispatch(id, stamp),
            false => dispatch(id, stamp),
        };
        self.in_flight.push(Message::Dispatch(Box::new(Dispatch {
            repeat: repeated,
            resumed: id.attempt.0 > 1,
            rank: n % 3,
            patience: Duration::from_secs(u64::from(n % 4)),
            ..message
        })));
    }

    pub(super) fn cancel(&mut self, n: u8) {
        let id = id(n);
        let stamp = *self.sent.entry(id).or_insert(self.known_stamp);
        self.oracles.entry(id).or_default().cancelled = true;
        self.in_flight.push(Message::Cancel(Cancel { id, stamp }));
    }

    pub(super) fn take_message(&mut self, n: u8) -> Option<Message> {
        let at = pick_index(n, self.in_flight.len())?;
        Some(self.in_flight.remove(at))
    }

    pub(super) fn deliver(&mut self, n: u8) -> CheckResult {
        let now = self.agent_time();
        match self.take_message(n) {
            None => Ok(()),
            Some(Message::Dispatch(dispatch)) => {
                let (id, from) = (dispatch.id, dispatch.from);
                let superseded = !dispatch.repeat && self.repeated.contains(&id);
                let (answer, steps) = self.table.on_dispatch(now, *dispatch);
                self.apply(steps);
                match answer {
                    AttemptAnswer::Read(reader) => {
                        self.readers.push((reader, Stream::new(from.0)));
                        Ok(())
                    }
                    AttemptAnswer::Frame(_) if superseded => Ok(()),
                    AttemptAnswer::Frame(frame) => self.receive(id, &frame),
                }
            }
            Some(Message::Cancel(cancel)) => {
                let (answer, steps) = self.table.on_cancel(now, &cancel);
                self.apply(steps);
                let oracle = self.oracles.entry(cancel.id).or_default();
                oracle.reported_not_run |= answer.ran == Ran::No;
                Ok(())
            }
        }
    }

    /// Records and checks a frame that an entry received.
    pub(super) fn receive(&mut self, id: AttemptId, frame: &Frame) -> CheckResult {
        let oracle = self.oracles.entry(id).or_default();
        match frame {
            Frame::NotRun { .. } | Frame::Failed { ran: Ran::No, .. } => {
                oracle.reported_not_run = true
            }
            _ => {}
        }
        oracle.check(id)
    }

    pub(super) fn read(&mut self, n: u8) -> CheckResult {
        let now = self.agent_time();
        let Some(at) = pick_index(n, self.readers.len()) else {
            return Ok(());
        };
        let (reader, stream) = &mut self.readers[at];
        let id = reader.id;
        let (step, steps) = self.table.read(now, reader);
        if let ReadStep::Frame(frame) = &step {
            let oracle = self.oracles.entry(id).or_default();
            let running = self.target.contains_key(&id);
            stream.check_frame(id, frame, oracle, running)?;
            self.receive(id, frame)?;
        }
        self.apply(steps);
        Ok(())
    }

    pub(super) fn detach(&mut self, n: u8) {
        if let Some(at) = pick_index(n, self.readers.len()) {
            let (reader, _) = self.readers.remove(at);
            self.table.on_detach(self.agent_time(), &reader);
        }
    }

    pub(super) fn ack(&mut self, n: u8) {
        if let Some(at) = pick_index(n, self.readers.len()) {
            let reader = self.readers[at].0;
            let (id, next) = (reader.id, TokenIndex(reader.next));
            let steps = self.table.on_ack(self.agent_time(), &Ack { id, next });
            self.apply(steps);
        }
    }

    pub(super) fn attach(&mut self, n: u8, own: bool) -> CheckResult {
        let id = id(n);
        let workspace = match own {
            true => dispatch(id, self.known_stamp).workspace,
            false => "office".parse().unwrap(),
        };
        let from = TokenIndex(0);
        let attach = Attach {
            generation: id.generation,
            attempt: None,
            workspace,
            from,
        };
        match self.table.on_attach(self.agent_time(), &attach) {
            AttemptAnswer::Read(_) if !own => Err(format!("{id} was exposed to another workspace")),
            AttemptAnswer::Read(reader) => {
                self.readers.push((reader, Stream::new(from.0)));
                Ok(())
            }
            AttemptAnswer::Frame(_) => Ok(()),
        }
    }
}
