//! What entries and callers do.

use super::super::fixtures::dispatch;
use super::super::fixtures::notice;
use super::super::oracle::Stream;
use super::Checked;
use super::Message;
use super::World;
use super::id;
use super::is_once;
use super::pick;
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
        let again = self.sent.contains_key(&id);
        if again {
            self.repeated.insert(id);
        }
        let stamp = *self.sent.entry(id).or_insert(self.known);
        let message = match is_once(id) {
            true => notice(id, stamp),
            false => dispatch(id, stamp),
        };
        self.flying.push(Message::Dispatch(Box::new(Dispatch {
            repeat: again,
            resumed: id.attempt.0 > 1,
            rank: n % 3,
            patience: Duration::from_secs(u64::from(n % 4)),
            ..message
        })));
    }

    pub(super) fn cancel(&mut self, n: u8) {
        let id = id(n);
        let stamp = *self.sent.entry(id).or_insert(self.known);
        self.oracles.entry(id).or_default().cancelled = true;
        self.flying.push(Message::Cancel(Cancel { id, stamp }));
    }

    pub(super) fn message(&mut self, n: u8) -> Option<Message> {
        let at = pick(n, self.flying.len())?;
        Some(self.flying.remove(at))
    }

    pub(super) fn deliver(&mut self, n: u8) -> Checked {
        let now = self.local();
        match self.message(n) {
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
                    AttemptAnswer::Frame(frame) => self.hear(id, &frame),
                }
            }
            Some(Message::Cancel(cancel)) => {
                let (answer, steps) = self.table.on_cancel(now, &cancel);
                self.apply(steps);
                let oracle = self.oracles.entry(cancel.id).or_default();
                oracle.promised |= answer.ran == Ran::No;
                Ok(())
            }
        }
    }

    /// An entry gets a frame that says how an attempt ended.
    pub(super) fn hear(&mut self, id: AttemptId, frame: &Frame) -> Checked {
        let oracle = self.oracles.entry(id).or_default();
        match frame {
            Frame::NotRun { .. } | Frame::Failed { ran: Ran::No, .. } => oracle.promised = true,
            _ => {}
        }
        oracle.check(id)
    }

    pub(super) fn read(&mut self, n: u8) -> Checked {
        let now = self.local();
        let Some(at) = pick(n, self.readers.len()) else {
            return Ok(());
        };
        let (reader, stream) = &mut self.readers[at];
        let id = reader.id;
        let (step, steps) = self.table.read(now, reader);
        if let ReadStep::Frame(frame) = &step {
            let oracle = self.oracles.entry(id).or_default();
            let running = self.target.contains_key(&id);
            stream.take(id, frame, oracle, running)?;
            self.hear(id, frame)?;
        }
        self.apply(steps);
        Ok(())
    }

    pub(super) fn leave(&mut self, n: u8) {
        if let Some(at) = pick(n, self.readers.len()) {
            let (reader, _) = self.readers.remove(at);
            self.table.on_detach(self.local(), &reader);
        }
    }

    pub(super) fn ack(&mut self, n: u8) {
        if let Some(at) = pick(n, self.readers.len()) {
            let reader = self.readers[at].0;
            let (id, next) = (reader.id, TokenIndex(reader.next));
            let steps = self.table.on_ack(self.now, &Ack { id, next });
            self.apply(steps);
        }
    }

    pub(super) fn attach(&mut self, n: u8, own: bool) -> Checked {
        let id = id(n);
        let workspace = match own {
            true => dispatch(id, self.known).workspace,
            false => "office".parse().unwrap(),
        };
        let from = TokenIndex(0);
        let attach = Attach {
            generation: id.generation,
            attempt: None,
            workspace,
            from,
        };
        match self.table.on_attach(self.local(), &attach) {
            AttemptAnswer::Read(_) if !own => Err(format!("{id} was given to another workspace")),
            AttemptAnswer::Read(reader) => {
                self.readers.push((reader, Stream::new(from.0)));
                Ok(())
            }
            AttemptAnswer::Frame(_) => Ok(()),
        }
    }
}
