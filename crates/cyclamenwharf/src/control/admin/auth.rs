//! Who calls the operators' interface.

use cw_types::Actor;
use cw_types::Config;
use cw_types::Operator;
use cw_types::OperatorRole;
use http::HeaderMap;
use http::header::AUTHORIZATION;
use subtle::ConstantTimeEq;

use super::AdminErrorKind;
use super::ErrorMessage;

/// The actor of changes that are made before the first operator has a record.
const FIRST_ACTOR: &str = "first-operator";

/// The scheme of the `Authorization` header.
const SCHEME: &str = "Bearer ";

/// An operator who has shown a valid key.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    pub(super) actor: Actor,
    pub(super) operator: Operator,
}

impl Caller {
    /// Finds the caller by the key in the `Authorization` header.
    ///
    /// While no operator has a record, the secret of the processes opens the interface, so that
    /// the first records can be written.
    pub(super) fn find(
        headers: &HeaderMap,
        config: &Config,
        secrets: &[String],
    ) -> Result<Self, ErrorMessage> {
        let refuse = || ErrorMessage::new(AdminErrorKind::Unauthorized, "a valid key is needed");
        let key = headers
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix(SCHEME))
            .ok_or_else(refuse)?;
        if config.operators.is_empty() {
            return first(key, secrets).ok_or_else(refuse);
        }
        let (actor, operator) = config.operator_by_key(key).ok_or_else(refuse)?;
        Ok(Self {
            actor: actor.clone(),
            operator: operator.clone(),
        })
    }

    /// Refuses a caller of a lower role.
    pub(super) fn require(&self, role: OperatorRole) -> Result<(), ErrorMessage> {
        if self.operator.role >= role {
            return Ok(());
        }
        let message = format!("{} lacks the role for this", self.actor);
        Err(ErrorMessage::new(AdminErrorKind::Forbidden, message))
    }
}

fn first(key: &str, secrets: &[String]) -> Option<Caller> {
    let matches = |secret: &String| bool::from(secret.as_bytes().ct_eq(key.as_bytes()));
    let found = secrets.iter().fold(false, |found, s| matches(s) | found);
    found.then(|| Caller {
        actor: FIRST_ACTOR.parse().expect("the name is valid"),
        operator: Operator {
            keys: Vec::new(),
            role: OperatorRole::Accepter,
            self_approval: true,
        },
    })
}
