//! The configuration of the front: routes, tenants and limits.

use exchange::TenantId;
use openapi::RouteTable;
use policy::Micros;
use std::time::Duration;

/// A tenant that may send requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Name of the tenant, as clients send it in the tenant header.
    pub name: String,
    /// Identifies the tenant at the exchange.
    pub id: TenantId,
    /// Number of the tenant's plan in the policy's settings.
    pub plan: u32,
    /// Name of the tenant's plan, for the operator's report.
    pub plan_name: String,
}

/// The request class of a route, as the exchange knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteClass {
    /// Number of the class in the policy's settings.
    pub class: u16,
    /// Time from the arrival of a request until its client gives up, in microseconds.
    pub deadline: Micros,
}

/// What the front serves: the routes, the tenants that may call them, and the limits on clients.
#[derive(Clone, Debug)]
pub struct FrontConfig {
    /// The routes of the OpenAPI descriptions, with their units.
    pub routes: RouteTable,
    /// The class of each route, indexed by the route's number.
    pub classes: Vec<RouteClass>,
    /// Name of the header in which a client sends the tenant's name.
    pub tenant_header: String,
    /// The tenants that may send requests. A request of any other tenant is answered with 403.
    pub tenants: Vec<Tenant>,
    /// Number of gatekeepers to which one tenant sends its requests.
    pub tenant_gatekeeper_count: f64,
    /// Maximum bytes of a request's body after decoding. A request with a longer body is answered with 413.
    pub max_body_bytes: usize,
    /// Maximum number of client connections. At this limit, idle connections are evicted to make room for new ones.
    pub max_connections: usize,
    /// Time limit for a client to send a complete request, and to read an answer.
    pub client_timeout: Duration,
}

impl FrontConfig {
    /// Returns the number of the account in which the exchange sums up the units of a tenant on a route.
    pub(crate) fn account(&self, route: usize, tenant: usize) -> u32 {
        (route * self.tenants.len() + tenant) as u32
    }

    /// Returns the index in [`FrontConfig::routes`] of the route whose units this account sums up.
    pub(crate) fn route_of(&self, account: u32) -> usize {
        account as usize / self.tenants.len()
    }

    /// Returns the index in [`FrontConfig::tenants`] of the tenant whose units this account sums up.
    pub(crate) fn tenant_of(&self, account: u32) -> usize {
        account as usize % self.tenants.len()
    }
}
