//! Resolution of a request's route and tenant.

use crate::problem::Problem;
use crate::{Front, FrontConfig};
use http::RequestHead;
use openapi::RouteMatch;

/// The route and the tenant of a request.
#[derive(Clone, Copy)]
pub(crate) struct ResolvedRequest {
    /// The route's number in the route table.
    pub(crate) route: usize,
    /// The tenant's index in the configuration.
    pub(crate) tenant: usize,
}

impl Front {
    /// Resolves the route and the tenant of a request whose head is in `bytes`.
    pub(crate) fn resolve(&self, bytes: &[u8], head: &RequestHead) -> Result<ResolvedRequest, Problem> {
        let route = find_route(&self.config, bytes, head)?;
        let tenant = find_tenant(&self.config, bytes, head)?;
        Ok(ResolvedRequest { route, tenant })
    }
}

fn find_route(config: &FrontConfig, bytes: &[u8], head: &RequestHead) -> Result<usize, Problem> {
    let path = path_of(request_target(bytes, head)?);
    let method = &bytes[head.method.clone()];
    let found = config.routes.find(as_text(method)?, as_text(path)?);
    match found.map_err(|error| Problem::malformed(&error.to_string()))? {
        RouteMatch::Route(route) => Ok(route),
        RouteMatch::MethodNotAllowed(allowed) => Err(Problem::method_not_allowed(&allowed)),
        RouteMatch::NotFound => Err(Problem::new(404, "Not Found", "no route has this path")),
    }
}

fn find_tenant(config: &FrontConfig, bytes: &[u8], head: &RequestHead) -> Result<usize, Problem> {
    let header = &config.tenant_header;
    let mut names = http::header_values(bytes, &head.fields, header);
    let (Some(name), None) = (names.next(), names.next()) else {
        return Err(Problem::malformed(&format!("the header {header} must name one lender")));
    };
    let tenant = config.tenants.iter().position(|tenant| tenant.name.as_bytes() == name);
    tenant.ok_or_else(|| Problem::new(403, "Forbidden", "this lender is not known here"))
}

/// Returns a part of the request line as text. Fails with 400 if it is not UTF-8.
fn as_text(part: &[u8]) -> Result<&str, Problem> {
    std::str::from_utf8(part).map_err(|_| Problem::malformed("the target is not ASCII"))
}

/// Returns the request target in origin form (path and query). Clients may also send it in absolute form, with scheme and
/// authority.
pub(crate) fn request_target<'a>(bytes: &'a [u8], head: &RequestHead) -> Result<&'a [u8], Problem> {
    let target = &bytes[head.target.clone()];
    let has_scheme =
        |scheme: &&[u8]| target.get(..scheme.len()).is_some_and(|start| start.eq_ignore_ascii_case(scheme));
    let target = match [&b"http://"[..], b"https://"].into_iter().find(has_scheme) {
        Some(scheme) => {
            let authority_and_path = &target[scheme.len()..];
            let path = authority_and_path.iter().position(|&byte| byte == b'/');
            path.map_or(&b"/"[..], |start| &authority_and_path[start..])
        }
        None => target,
    };
    if target.starts_with(b"/") && !target.contains(&b'#') {
        Ok(target)
    } else {
        Err(Problem::malformed("the target has no path"))
    }
}

/// Returns the path of a target in origin form.
fn path_of(target: &[u8]) -> &[u8] {
    target.split(|&byte| byte == b'?').next().unwrap_or_default()
}
