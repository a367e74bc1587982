//! Makes sure that a connection leads to the incarnation of a target that was selected.

use std::time::Duration;

use cw_policy::forward::ExchangeEvent;
use cw_policy::forward::Fault;
use cw_policy::forward::Placement;
use cw_policy::forward::Repeat;
use cw_store::BodyBuffer;
use cw_store::BodyMemory;
use cw_types::Incarnation;
use log::info;

use super::connection_pool::PooledConnection;
use super::exchange_driver::ExchangeDriver;
use super::sending::Destination;
use super::target_connection::TargetConnection;

/// The timeout of the question what a target is. It is answered without waiting for other requests.
const IDENTITY_TIMEOUT: Duration = Duration::from_millis(250);

/// The maximum size of the answer, which lists the runs of the target.
const MAX_IDENTITY_BYTES: usize = 256 << 10;

/// Whether a connection leads to the incarnation of the target that was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verification {
    /// It does, or the target does not tell.
    Expected,
    /// It leads to another incarnation.
    Other,
    /// The target did not answer.
    Failed,
}

impl ExchangeDriver {
    /// Returns a connection that leads to the selected incarnation of the target, as far as it tells. A connection
    /// that fails at the question is replaced once: it may have been idle for too long, or have ended with the
    /// answer.
    pub(super) async fn verified(
        &self,
        destination: &Destination,
        mut pooled: PooledConnection,
        may_have_run: bool,
    ) -> Result<PooledConnection, ExchangeEvent> {
        let mut verification = self.verify(destination, &mut pooled.connection).await;
        if verification == Verification::Failed {
            pooled = self.reconnect(destination, may_have_run).await?;
            verification = self.verify(destination, &mut pooled.connection).await;
        }
        let fault = match verification {
            Verification::Expected => return Ok(pooled),
            Verification::Other => Fault::Replaced,
            Verification::Failed => Fault::Unreachable,
        };
        Err(ExchangeEvent::NotSent(fault).after_earlier_run(may_have_run))
    }

    /// Asks the target what it is before it runs a stream, unless it has told at this connection. It may have
    /// started again under its id with another software version while its record still names the one before.
    async fn verify(
        &self,
        destination: &Destination,
        connection: &mut TargetConnection,
    ) -> Verification {
        let Placement {
            target,
            incarnation,
            ..
        } = &destination.placement;
        let is_stream = self.exchange.plan().repeat == Repeat::Resume;
        // A record without a start time tells nothing that could be compared.
        let is_unknown = *incarnation == Incarnation::default();
        if !is_stream || is_unknown || connection.verified == Some(*incarnation) {
            return Verification::Expected;
        }
        let memory = self.context.pool.memory(target);
        let asking = self.ask_identity(connection, &memory);
        let found = tokio::time::timeout(IDENTITY_TIMEOUT, asking).await;
        let found = found.unwrap_or_else(|_| Err(format!("no answer within {IDENTITY_TIMEOUT:?}")));
        match found {
            Ok(None) => {}
            Ok(Some(found)) if found == *incarnation => {}
            Ok(Some(found)) => {
                info!(
                    request = self.request.head.id.as_str(),
                    target_id = target.as_str(),
                    expected = incarnation.0,
                    found = found.0;
                    "a target has started again, and its record does not say so yet"
                );
                self.context.pool.close(target);
                return Verification::Other;
            }
            Err(error) => {
                info!(
                    request = self.request.head.id.as_str(),
                    target_id = target.as_str();
                    "failed to ask a target what it is: {error}"
                );
                return Verification::Failed;
            }
        }
        connection.verified = Some(*incarnation);
        Verification::Expected
    }

    /// Returns the incarnation that a target tells, `None` if it tells none.
    async fn ask_identity(
        &self,
        connection: &mut TargetConnection,
        memory: &BodyMemory,
    ) -> Result<Option<Incarnation>, String> {
        let call = self.context.dialect.identity_request();
        let answer = connection.send(call).await;
        let answer = answer.map_err(|error| error.to_string())?;
        let body = BodyBuffer::new(MAX_IDENTITY_BYTES, memory).read(answer.into_body());
        let body = body.await.map_err(|error| error.to_string())?;
        connection
            .ready()
            .await
            .map_err(|error| error.to_string())?;
        Ok(self.context.dialect.parse_identity(&body))
    }
}
