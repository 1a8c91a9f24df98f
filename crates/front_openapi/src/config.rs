//! What the front serves, and whom.

use exchange::TenantId;
use openapi::RouteTable;
use policy::Micros;
use std::time::Duration;

/// A tenant that may send requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Its name, as the header gives it.
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
    /// The client gives up after this, in microseconds.
    pub deadline: Micros,
}

/// What the front works by.
#[derive(Clone, Debug)]
pub struct FrontConfig {
    /// The routes.
    pub routes: RouteTable,
    /// The class of each route, by the route's number.
    pub classes: Vec<RouteClass>,
    /// The header that names the tenant.
    pub tenant_header: String,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// How many gatekeepers a tenant's requests come through.
    pub tenant_gatekeepers: f64,
    /// The most bytes of a request's body.
    pub max_body_bytes: usize,
    /// The most client connections.
    pub max_connections: usize,
    /// A request must be complete, and an answer read by the client, within this time.
    pub client_timeout: Duration,
}

impl FrontConfig {
    /// The account in which the exchange counts the units of a tenant on a route.
    pub(crate) fn account(&self, route: usize, tenant: usize) -> u32 {
        (route * self.tenants.len() + tenant) as u32
    }

    /// The route and the tenant of an account.
    pub(crate) fn route_and_tenant(&self, account: u32) -> (usize, usize) {
        let account = account as usize;
        (account / self.tenants.len(), account % self.tenants.len())
    }
}
