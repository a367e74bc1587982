//! The check of orders at an agent before they are forwarded to its engine.

use std::collections::BTreeMap;

use cw_types::FencingNumber;
use cw_wire::Order;
use cw_wire::OrderResponse;

/// The maximum number of orders of one fencing number whose answers are retained.
const MAX_ANSWERS: usize = 256;

/// The decision about an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderStep {
    /// Reply without forwarding the order to the engine.
    Answer(OrderResponse),
    /// Forward the order to the engine.
    Forward,
}

/// Protects an engine, including one that ignores fencing numbers, from orders of a planner whose
/// lease has been lost.
#[derive(Clone, Debug, Default)]
pub struct OrderGuard {
    highest: FencingNumber,
    answers: BTreeMap<u64, OrderResponse>,
    /// The highest sequence number whose answer has been evicted.
    last_evicted: u64,
}

impl OrderGuard {
    /// Returns the highest fencing number observed so far.
    pub fn highest(&self) -> FencingNumber {
        self.highest
    }

    /// Decides about an order; `pinned` is the number of running generations that use a version to
    /// be unloaded.
    pub fn on_order(&mut self, order: &Order, pinned: u32) -> OrderStep {
        if order.fencing < self.highest {
            return self.refuse_fenced();
        }
        self.observe_fencing(order.fencing);
        if let Some(answer) = self.answers.get(&order.sequence) {
            return OrderStep::Answer(answer.clone());
        }
        if order.sequence <= self.last_evicted {
            let message = "the order is older than those remembered".to_owned();
            return OrderStep::Answer(OrderResponse::Failed { message });
        }
        if pinned > 0 {
            let generations = pinned;
            return OrderStep::Answer(OrderResponse::Pinned { generations });
        }
        self.retain(order.sequence, OrderResponse::Begun);
        OrderStep::Forward
    }

    /// Records the engine's answer to a forwarded order.
    pub fn on_answer(&mut self, order: &Order, answer: &OrderResponse) {
        if order.fencing != self.highest {
            return;
        }
        match answer {
            // The order is not known to have been carried out, so a repeat is forwarded again.
            OrderResponse::Failed { .. } => {
                self.answers.remove(&order.sequence);
            }
            answer => self.retain(order.sequence, answer.clone()),
        }
    }

    /// Updates the highest fencing number from the engine or the planner's lease.
    pub fn observe_fencing(&mut self, highest: FencingNumber) {
        if highest > self.highest {
            self.highest = highest;
            self.answers.clear();
            self.last_evicted = 0;
        }
    }

    fn refuse_fenced(&self) -> OrderStep {
        let highest = self.highest;
        OrderStep::Answer(OrderResponse::Fenced { highest })
    }

    fn retain(&mut self, sequence: u64, answer: OrderResponse) {
        self.answers.insert(sequence, answer);
        while self.answers.len() > MAX_ANSWERS {
            let oldest = self.answers.pop_first();
            self.last_evicted = oldest.map_or(self.last_evicted, |(sequence, _)| sequence);
        }
    }
}
