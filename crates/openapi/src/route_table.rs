//! The route table: built from descriptions, and searched for each request.

use crate::description::{Description, DescriptionReader};
use crate::error::{DescriptionError, LoadError, PathError};
use crate::template::{self, Overlap, Template};

/// A route: one operation at one base path.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// HTTP method in upper case.
    pub method: String,
    /// Path template, with the base path of the server.
    pub path: String,
    /// `operationId` of the operation; `None` if the operation has no such key.
    pub name: Option<String>,
    /// Units that a request takes from the quota of its tenant, above 0.
    pub units: f64,
    /// Name of the class that requests of this route belong to.
    pub class: String,
    /// Name of the service that serves the route; `None` for the default service of the configuration.
    pub service: Option<String>,
    /// Name of the description that defines the route.
    pub source: String,
}

/// Result of [`RouteTable::find`]: the route that matches a request, or why no route does.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteMatch {
    /// The route with this index in [`RouteTable::routes`].
    Route(usize),
    /// The path has routes for other methods only. The value is a list of these methods, separated by commas.
    MethodNotAllowed(String),
    /// No path template matches.
    NotFound,
}

/// The routes of all descriptions.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    routes: Vec<Route>,
    paths: Vec<PathRoutes>,
}

/// A path template and the indexes of its routes.
#[derive(Clone, Debug)]
struct PathRoutes {
    template: Template,
    routes: Vec<usize>,
}

impl RouteTable {
    /// Builds a table from descriptions.
    ///
    /// # Errors
    ///
    /// Returns an error if a description cannot be served, an operation has no units or no class, or two operations have the same
    /// or ambiguous routes.
    pub fn load(descriptions: &[Description<'_>]) -> Result<Self, LoadError> {
        let mut table = Self::default();
        for description in descriptions {
            let named = |source| LoadError::Description { description: description.name.to_owned(), source };
            table.add_description(description).map_err(named)?;
        }
        table.reject_ambiguous()?;
        Ok(table)
    }

    /// All routes, in the order of the descriptions and of the operations in them.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Finds the route of a request. `path` is the path of the request target, without the query.
    ///
    /// # Errors
    ///
    /// Returns an error if backends may interpret the path in different ways.
    pub fn find(&self, method: &str, path: &str) -> Result<RouteMatch, PathError> {
        let segments = template::decode_path(path)?;
        let matching = self.paths.iter().filter(|path| path.template.matches(&segments));
        // Ambiguous templates were rejected at load, so one matching template is more specific than all others.
        let Some(best) = matching.max_by_key(|path| path.template.specificity()) else {
            return Ok(RouteMatch::NotFound);
        };
        let has_method = |index: &&usize| self.routes[**index].method == method;
        if let Some(&index) = best.routes.iter().find(has_method) {
            return Ok(RouteMatch::Route(index));
        }
        Ok(RouteMatch::MethodNotAllowed(self.methods_of(best).join(", ")))
    }

    /// The methods of a path, sorted.
    fn methods_of(&self, path: &PathRoutes) -> Vec<&str> {
        let mut methods: Vec<&str> =
            path.routes.iter().map(|&index| self.routes[index].method.as_str()).collect();
        methods.sort_unstable();
        methods
    }

    fn add_description(&mut self, description: &Description<'_>) -> Result<(), DescriptionError> {
        let reader = DescriptionReader::new(description)?;
        for (path, item) in reader.paths() {
            let at_path = |source| DescriptionError::Path { path: path.to_owned(), source: Box::new(source) };
            reader.read_path(path, item, |route| self.add_route(route)).map_err(at_path)?;
        }
        if self.routes.iter().all(|route| route.source != description.name) {
            return Err(DescriptionError::NoOperations);
        }
        Ok(())
    }

    fn add_route(&mut self, route: Route) -> Result<(), DescriptionError> {
        let template = Template::parse(&route.path)?;
        let index = self.routes.len();
        let same_path = self.paths.iter_mut().find(|path| path.template.overlap(&template) == Overlap::Same);
        match same_path {
            Some(path) => {
                let mut earlier = path.routes.iter().map(|&index| &self.routes[index]);
                if let Some(other) = earlier.find(|other| other.method == route.method) {
                    return Err(DescriptionError::DuplicateRoute {
                        method: route.method,
                        path: route.path,
                        other_description: other.source.clone(),
                        other_path: other.path.clone(),
                    });
                }
                path.routes.push(index);
            }
            None => self.paths.push(PathRoutes { template, routes: vec![index] }),
        }
        self.routes.push(route);
        Ok(())
    }

    /// Rejects two templates that one request could match if neither is at least as specific as the other in every segment.
    fn reject_ambiguous(&self) -> Result<(), LoadError> {
        for (position, path) in self.paths.iter().enumerate() {
            let is_ambiguous =
                |other: &&PathRoutes| path.template.overlap(&other.template) == Overlap::Ambiguous;
            if let Some(other) = self.paths[position + 1..].iter().find(is_ambiguous) {
                let (route, other) = (&self.routes[path.routes[0]], &self.routes[other.routes[0]]);
                return Err(LoadError::AmbiguousRoutes {
                    path: route.path.clone(),
                    description: route.source.clone(),
                    other_path: other.path.clone(),
                    other_description: other.source.clone(),
                });
            }
        }
        Ok(())
    }
}
