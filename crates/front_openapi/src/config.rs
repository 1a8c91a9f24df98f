//! The configuration of the front: routes, tenants and limits.

use exchange::TenantId;
use openapi::RouteTable;
use policy::Micros;
use std::time::Duration;

/// A tenant that may send requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Its name, as clients send it in the tenant header.
    pub name: String,
    /// Its number.
    pub id: TenantId,
    /// The number of its plan.
    pub plan: u32,
    /// The name of its plan.
    pub plan_name: String,
}

/// The request class of a route, as the exchange knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteClass {
    /// The number of the class.
    pub class: u16,
    /// Time until the client times out, in microseconds.
    pub deadline: Micros,
}

/// The configuration of the front.
#[derive(Clone, Debug)]
pub struct FrontConfig {
    /// The routes.
    pub routes: RouteTable,
    /// The class of each route, indexed by the route's number.
    pub classes: Vec<RouteClass>,
    /// The header that names the tenant.
    pub tenant_header: String,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// Number of gatekeepers that serve one tenant.
    pub tenant_gatekeepers: f64,
    /// Maximum bytes of a request's body.
    pub max_body_bytes: usize,
    /// Maximum number of client connections.
    pub max_connections: usize,
    /// Time for a client to send a complete request, and to read an answer.
    pub client_timeout: Duration,
}

impl FrontConfig {
    /// Returns the account in which the exchange sums up the units of a tenant on a route.
    pub(crate) fn account(&self, route: usize, tenant: usize) -> u32 {
        (route * self.tenants.len() + tenant) as u32
    }

    /// Returns the route of an account.
    pub(crate) fn route_of(&self, account: u32) -> usize {
        account as usize / self.tenants.len()
    }

    /// Returns the tenant of an account.
    pub(crate) fn tenant_of(&self, account: u32) -> usize {
        account as usize % self.tenants.len()
    }
}
