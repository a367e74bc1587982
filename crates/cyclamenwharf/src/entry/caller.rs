//! Who calls, and what it asks for beside the body.

use cw_policy::View;
use cw_types::AdapterName;
use cw_types::ErrorKind;
use cw_types::KeyHash;
use cw_types::ModelName;
use cw_types::Route;
use cw_types::RouteName;
use cw_types::RouteTarget;
use cw_types::Workspace;
use cw_types::WorkspaceId;
use http::HeaderMap;
use http::header::AUTHORIZATION;

use super::refusal::Refusal;

/// The header by which a caller says that its request may run at most once.
pub(crate) const IDEMPOTENT_HEADER: &str = "x-idempotent";

/// Who calls.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    /// The workspace of its API key.
    pub(crate) workspace: WorkspaceId,
    /// The weight of that workspace.
    pub(crate) weight: u32,
}

impl Caller {
    /// Finds the workspace whose API key the request carries as its bearer token.
    ///
    /// # Errors
    ///
    /// Refuses a missing or unknown key.
    pub(crate) fn of(view: &View, headers: &HeaderMap) -> Result<Self, Refusal> {
        let refuse = || Refusal::new(ErrorKind::Unauthorized);
        let value = headers.get(AUTHORIZATION).ok_or_else(refuse)?;
        let value = value.to_str().map_err(|_| refuse())?;
        let (scheme, key) = value.split_once(' ').ok_or_else(refuse)?;
        if !scheme.eq_ignore_ascii_case("bearer") {
            return Err(refuse());
        }
        // Hashes are compared, not keys, so the time that it takes says nothing of a key.
        let hash = KeyHash::of(key.trim());
        let owns = |workspace: &Workspace| workspace.keys.contains(&hash);
        let workspaces = view.config.workspaces.iter();
        let (id, workspace) = workspaces
            .into_iter()
            .find(|(_, workspace)| owns(workspace))
            .ok_or_else(refuse)?;
        Ok(Self {
            workspace: id.clone(),
            weight: workspace.weight,
        })
    }

    /// Finds a route by its name.
    ///
    /// # Errors
    ///
    /// Refuses an unknown route, and one that the workspace may not use.
    pub(crate) fn route(&self, view: &View, name: &str) -> Result<(RouteName, Route), Refusal> {
        let refuse = || Refusal::new(ErrorKind::UnknownModel);
        let name: RouteName = name.parse().map_err(|_| refuse())?;
        let route = view.config.routes.get(&name).ok_or_else(refuse)?;
        match self.may_use(route) {
            true => Ok((name, route.clone())),
            false => Err(Refusal::new(ErrorKind::Forbidden)),
        }
    }

    /// Returns whether the workspace may use a route.
    pub(crate) fn may_use(&self, route: &Route) -> bool {
        route.workspaces.is_empty() || route.workspaces.contains(&self.workspace)
    }

    /// Returns whether the workspace may continue output of this model and adapter.
    ///
    /// An event's id is the caller's word, so the adapter must be that of a route it may use.
    pub(crate) fn may_continue(
        &self,
        view: &View,
        model: &ModelName,
        adapter: Option<&AdapterName>,
    ) -> bool {
        let fits = |route: &Route| match &route.to {
            RouteTarget::Model {
                model: other,
                adapter: allowed,
                ..
            } => other == model && allowed.as_ref() == adapter,
            RouteTarget::Service { .. } => false,
        };
        let mut routes = view.config.routes.values();
        routes.any(|route| self.may_use(route) && fits(route))
    }
}

/// Returns whether a request may run more than once: the caller can only make the route stricter.
///
/// # Errors
///
/// Refuses a header that says neither `true` nor `false`.
pub(crate) fn is_idempotent(route: &Route, headers: &HeaderMap) -> Result<bool, Refusal> {
    match headers.get(IDEMPOTENT_HEADER).map(|value| value.as_bytes()) {
        None | Some(b"true") => Ok(route.idempotent),
        Some(b"false") => Ok(false),
        Some(_) => Err(Refusal::bad_request(format!(
            "{IDEMPOTENT_HEADER}: expected true or false"
        ))),
    }
}
