//! Borrows parts of the budget for repeated sends from other entries, and lends them.

use std::net::SocketAddr;
use std::time::Duration;

use cw_policy::forward::ExchangeEvent;
use cw_policy::forward::ExchangeStep;
use cw_types::HostId;
use cw_types::Time;
use cw_wire::LoanAnswer;
use cw_wire::LoanCall;
use http::Method;
use http::StatusCode;
use log::info;

use super::exchange_driver::ExchangeDriver;
use super::exchange_driver::millis;
use super::forward_context::ForwardContext;
use super::peer_api::LOAN_PATH;

/// The number of entries that a request asks one after the other. Each question takes a few milliseconds, and the
/// stream must not pause for longer than its caller allows.
const MAX_LENDERS: usize = 6;

/// The number of repeated sends that are asked for at once: for the request itself, and for another one that was
/// lost with the same targets.
const LOAN_SIZE: u32 = 2;

/// The maximum time for all questions of a request. An entry that has stopped does not answer.
const LOAN_TIMEOUT: Duration = Duration::from_millis(100);

impl ExchangeDriver {
    /// Asks the other entries for a part of their budget, and returns the next step.
    pub(super) async fn ask_budget(&mut self, pause: Duration) -> ExchangeStep {
        let asked = self.context.now();
        let lent = tokio::time::timeout(LOAN_TIMEOUT, self.borrow(asked)).await;
        let lent = lent.unwrap_or_default();
        info!(
            request = self.request.head.id.as_str(),
            fingerprint = self.fingerprint.to_string(),
            service = self.request.service.as_str(),
            lent = lent,
            took_ms = millis(self.context.now().since(asked));
            "asked the other entries for a part of the budget"
        );
        let end = match lent {
            0 => "none",
            _ => "borrowed",
        };
        self.context.metrics.record_loan(end);
        if lent == 0 {
            tokio::time::sleep(pause).await;
        }
        self.next_step(ExchangeEvent::BudgetAsked)
    }

    /// Asks one entry after the other, and returns how many sends the first willing one lends.
    async fn borrow(&self, asked: Time) -> u32 {
        let call = LoanCall {
            service: self.request.service.clone(),
            wanted: LOAN_SIZE,
        };
        let body = match cw_wire::encode(&call) {
            Ok(body) => body,
            Err(error) => {
                info!("failed to encode a question for a part of the budget: {error}");
                return 0;
            }
        };
        for (host, address) in self.context.sample_entries(MAX_LENDERS) {
            let lent = ask_lender(&self.context, &host, address, body.clone()).await;
            if lent > 0 {
                // A lender cannot lend more than it was asked for, so a higher number is an error.
                let lent = lent.min(LOAN_SIZE);
                let mut state = self.context.state();
                state
                    .budgets
                    .record_loan(asked, &self.request.service, lent);
                return lent;
            }
        }
        0
    }
}

/// Lends a part of this entry's budget to another entry.
pub(super) fn answer_loan(context: &ForwardContext, call: &LoanCall) -> LoanAnswer {
    let now = context.now();
    let mut state = context.state();
    let lent = state.budgets.lend(now, &call.service, call.wanted);
    drop(state);
    if lent > 0 {
        context.metrics.record_loan("lent");
    }
    LoanAnswer { lent }
}

/// Asks another entry, and returns 0 if it lends nothing or does not answer.
async fn ask_lender(
    context: &ForwardContext,
    host: &HostId,
    address: SocketAddr,
    body: bytes::Bytes,
) -> u32 {
    let answer = context
        .keepers
        .call(Method::POST, address, LOAN_PATH, body)
        .await;
    match answer {
        Ok(answer) if answer.status == StatusCode::OK => {
            match cw_wire::decode::<LoanAnswer>(&answer.body) {
                Ok(answer) => answer.lent,
                Err(error) => {
                    info!(entry = host.as_str(); "failed to decode a loan: {error}");
                    0
                }
            }
        }
        // An entry of an earlier version does not lend.
        Ok(_) => 0,
        Err(error) => {
            info!(entry = host.as_str(); "failed to ask an entry for a part of the budget: {error}");
            0
        }
    }
}
