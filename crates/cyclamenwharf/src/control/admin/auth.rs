//! The authentication of callers of the admin API.

use cw_types::Actor;
use cw_types::Config;
use cw_types::Operator;
use cw_types::OperatorRole;
use http::HeaderMap;
use http::header::AUTHORIZATION;
use subtle::ConstantTimeEq;

use super::AdminErrorKind;
use super::ErrorMessage;

/// The actor of changes that are made before any operator has a record.
const BOOTSTRAP_ACTOR: &str = "first-operator";

/// The scheme of the `Authorization` header.
const SCHEME: &str = "Bearer ";

/// An operator who has presented a valid key.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    pub(super) actor: Actor,
    pub(super) operator: Operator,
}

impl Caller {
    /// Returns the caller whose key is in the `Authorization` header.
    ///
    /// While no operator has a record, a secret of the processes is accepted as the key, so that the
    /// first records can be written.
    ///
    /// # Errors
    ///
    /// Fails with [`AdminErrorKind::Unauthorized`] if the key is missing or unknown.
    pub(super) fn authenticate(
        headers: &HeaderMap,
        config: &Config,
        secrets: &[String],
    ) -> Result<Self, ErrorMessage> {
        let unauthorized = || {
            ErrorMessage::new(
                AdminErrorKind::Unauthorized,
                "the Authorization header has no valid key",
            )
        };
        let key = headers
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix(SCHEME))
            .ok_or_else(unauthorized)?;
        if config.operators.is_empty() {
            return bootstrap_caller(key, secrets).ok_or_else(unauthorized);
        }
        let (actor, operator) = config.operator_by_key(key).ok_or_else(unauthorized)?;
        Ok(Self {
            actor: actor.clone(),
            operator: operator.clone(),
        })
    }

    /// Fails with [`AdminErrorKind::Forbidden`] if the caller's role is lower than `role`.
    pub(super) fn require_role(&self, role: OperatorRole) -> Result<(), ErrorMessage> {
        if self.operator.role >= role {
            return Ok(());
        }
        let message = format!(
            "{} does not have the role that this call requires",
            self.actor
        );
        Err(ErrorMessage::new(AdminErrorKind::Forbidden, message))
    }
}

fn bootstrap_caller(key: &str, secrets: &[String]) -> Option<Caller> {
    let matches = |secret: &String| bool::from(secret.as_bytes().ct_eq(key.as_bytes()));
    let found = secrets.iter().fold(false, |found, s| matches(s) | found);
    found.then(|| Caller {
        actor: BOOTSTRAP_ACTOR.parse().expect("the name is valid"),
        operator: Operator {
            keys: Vec::new(),
            role: OperatorRole::Accepter,
            self_approval: true,
        },
    })
}
