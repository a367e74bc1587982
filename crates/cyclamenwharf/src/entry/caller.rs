//! Authentication and authorization of callers, and the request headers with options.

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

use super::api_error::ApiError;

/// The request header that, set to `false`, limits a request to at most one run.
pub(crate) const IDEMPOTENT_HEADER: &str = "x-idempotent";

/// An authenticated caller.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    /// The workspace that the API key belongs to.
    pub(crate) workspace: WorkspaceId,
    /// The weight of that workspace.
    pub(crate) weight: u32,
}

impl Caller {
    /// Finds the workspace whose API key the request carries as its bearer token.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Unauthorized`] for a missing or unknown key.
    pub(crate) fn authenticate(view: &View, headers: &HeaderMap) -> Result<Self, ApiError> {
        let unauthorized = || ApiError::new(ErrorKind::Unauthorized);
        let value = headers.get(AUTHORIZATION).ok_or_else(unauthorized)?;
        let value = value.to_str().map_err(|_| unauthorized())?;
        let (scheme, key) = value.split_once(' ').ok_or_else(unauthorized)?;
        if !scheme.eq_ignore_ascii_case("bearer") {
            return Err(unauthorized());
        }
        // Comparing hashes instead of keys keeps the timing from revealing anything about a key.
        let hash = KeyHash::of(key.trim());
        let has_key = |workspace: &Workspace| workspace.keys.contains(&hash);
        let workspaces = view.config.workspaces.iter();
        let (id, workspace) = workspaces
            .into_iter()
            .find(|(_, workspace)| has_key(workspace))
            .ok_or_else(unauthorized)?;
        Ok(Self {
            workspace: id.clone(),
            weight: workspace.weight,
        })
    }

    /// Finds a route by its name and checks that the workspace may use it.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::UnknownModel`] for an unknown route, and [`ErrorKind::Forbidden`] for
    /// one that the workspace may not use.
    pub(crate) fn find_route(
        &self,
        view: &View,
        name: &str,
    ) -> Result<(RouteName, Route), ApiError> {
        let unknown_model = || ApiError::new(ErrorKind::UnknownModel);
        let name: RouteName = name.parse().map_err(|_| unknown_model())?;
        let route = view.config.routes.get(&name).ok_or_else(unknown_model)?;
        match self.may_use(route) {
            true => Ok((name, route.clone())),
            false => Err(ApiError::new(ErrorKind::Forbidden)),
        }
    }

    /// Returns whether the workspace may use a route.
    pub(crate) fn may_use(&self, route: &Route) -> bool {
        route.workspaces.is_empty() || route.workspaces.contains(&self.workspace)
    }

    /// Returns whether the workspace may continue output of this model and adapter.
    ///
    /// The caller supplies the event id, so its adapter is not trusted: it must be the adapter of a
    /// route that the workspace may use.
    pub(crate) fn may_continue(
        &self,
        view: &View,
        model: &ModelName,
        adapter: Option<&AdapterName>,
    ) -> bool {
        let matches_route = |route: &Route| match &route.to {
            RouteTarget::Model {
                model: other,
                adapter: allowed,
                ..
            } => other == model && allowed.as_ref() == adapter,
            RouteTarget::Service { .. } => false,
        };
        let mut routes = view.config.routes.values();
        routes.any(|route| self.may_use(route) && matches_route(route))
    }
}

/// Returns whether a request may run more than once.
///
/// The header can only make the route's setting stricter: it cannot make a route idempotent.
///
/// # Errors
///
/// Returns [`ErrorKind::BadRequest`] for a header whose value is neither `true` nor `false`.
pub(crate) fn is_idempotent(route: &Route, headers: &HeaderMap) -> Result<bool, ApiError> {
    match headers.get(IDEMPOTENT_HEADER).map(|value| value.as_bytes()) {
        None | Some(b"true") => Ok(route.idempotent),
        Some(b"false") => Ok(false),
        Some(_) => Err(ApiError::bad_request(format!(
            "{IDEMPOTENT_HEADER}: expected true or false"
        ))),
    }
}
