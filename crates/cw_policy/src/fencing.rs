//! Which orders an agent passes on to its engine.

use std::collections::BTreeMap;

use cw_types::FencingNumber;
use cw_wire::Order;
use cw_wire::OrderResponse;

/// How many orders of one fencing number are remembered.
const REMEMBERED: usize = 256;

/// What to do with an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderStep {
    /// Answer, without asking the engine.
    Answer(OrderResponse),
    /// Pass it on to the engine.
    Pass,
}

/// Guards an engine from orders of a deposed planner, also one that ignores fencing numbers.
#[derive(Clone, Debug, Default)]
pub struct OrderGuard {
    highest: FencingNumber,
    answers: BTreeMap<u64, OrderResponse>,
    /// The highest sequence whose answer is no longer remembered.
    forgotten: u64,
}

impl OrderGuard {
    /// Returns the highest fencing number seen.
    pub fn highest(&self) -> FencingNumber {
        self.highest
    }

    /// Decides about an order; `pinned` counts the live generations of a version to unload.
    pub fn on_order(&mut self, order: &Order, pinned: u32) -> OrderStep {
        if order.fencing < self.highest {
            return self.fenced();
        }
        self.on_highest(order.fencing);
        if let Some(answer) = self.answers.get(&order.sequence) {
            return OrderStep::Answer(answer.clone());
        }
        if order.sequence <= self.forgotten {
            let message = "the order is older than those remembered".to_owned();
            return OrderStep::Answer(OrderResponse::Failed { message });
        }
        if pinned > 0 {
            let generations = pinned;
            return OrderStep::Answer(OrderResponse::Pinned { generations });
        }
        self.remember(order.sequence, OrderResponse::Begun);
        OrderStep::Pass
    }

    /// Takes in the engine's answer to an order that was passed on.
    pub fn on_answer(&mut self, order: &Order, answer: &OrderResponse) {
        if order.fencing != self.highest {
            return;
        }
        match answer {
            // Nothing is known to be done, so a repeat is passed on again.
            OrderResponse::Failed { .. } => {
                self.answers.remove(&order.sequence);
            }
            answer => self.remember(order.sequence, answer.clone()),
        }
    }

    /// Takes in a number that the engine or the planner's lease shows.
    pub fn on_highest(&mut self, highest: FencingNumber) {
        if highest > self.highest {
            self.highest = highest;
            self.answers.clear();
            self.forgotten = 0;
        }
    }

    fn fenced(&self) -> OrderStep {
        let highest = self.highest;
        OrderStep::Answer(OrderResponse::Fenced { highest })
    }

    fn remember(&mut self, sequence: u64, answer: OrderResponse) {
        self.answers.insert(sequence, answer);
        while self.answers.len() > REMEMBERED {
            let oldest = self.answers.pop_first();
            self.forgotten = oldest.map_or(self.forgotten, |(sequence, _)| sequence);
        }
    }
}
