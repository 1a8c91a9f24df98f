//! The table of routes: built from descriptions, and searched for each request.

use crate::description::{Description, DescriptionReader};
use crate::error::{DescriptionError, LoadError, PathError};
use crate::template::{self, Overlap, Template};

/// One operation that is served.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its method, in capitals.
    pub method: String,
    /// Its path with the base path of its server.
    pub path: String,
    /// Its `operationId`, if it has one.
    pub name: Option<String>,
    /// The units that a request takes.
    pub units: f64,
    /// The name of its class.
    pub class: String,
    /// The name of the service that serves it; `None` where nothing states one.
    pub service: Option<String>,
    /// The name of the description that it comes from.
    pub source: String,
}

/// What a method and a path match.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteMatch {
    /// The route of this number.
    Route(usize),
    /// The path is known, with these methods only; separated by commas.
    MethodNotAllowed(String),
    /// No path matches.
    NotFound,
}

/// All routes.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    routes: Vec<Route>,
    paths: Vec<Path>,
}

/// One path and the numbers of its routes.
#[derive(Clone, Debug)]
struct Path {
    template: Template,
    routes: Vec<usize>,
}

impl RouteTable {
    /// Reads descriptions into one table.
    ///
    /// # Errors
    ///
    /// A description cannot be served, an operation has no stated cost, or two claim one route.
    pub fn load(descriptions: &[Description<'_>]) -> Result<Self, LoadError> {
        let mut table = Self::default();
        for description in descriptions {
            let named = |source| LoadError::Description { description: description.name.to_owned(), source };
            table.add(description).map_err(named)?;
        }
        table.reject_ambiguous()?;
        Ok(table)
    }

    /// The routes by number, in the order of the descriptions.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Finds the route of a request. `path` is the path of its target, without the query.
    ///
    /// # Errors
    ///
    /// The path is one that backends may read in different ways.
    pub fn find(&self, method: &str, path: &str) -> Result<RouteMatch, PathError> {
        let segments = template::decode_path(path)?;
        let matching = self.paths.iter().filter(|path| path.template.matches(&segments));
        // Ambiguity was rejected at load, so of those that match one is more concrete than all others.
        let Some(best) = matching.max_by(|a, b| a.template.compare_concreteness(&b.template)) else {
            return Ok(RouteMatch::NotFound);
        };
        let has_method = |number: &&usize| self.routes[**number].method == method;
        if let Some(&number) = best.routes.iter().find(has_method) {
            return Ok(RouteMatch::Route(number));
        }
        let mut allowed: Vec<&str> =
            best.routes.iter().map(|&number| self.routes[number].method.as_str()).collect();
        allowed.sort_unstable();
        Ok(RouteMatch::MethodNotAllowed(allowed.join(", ")))
    }

    fn add(&mut self, description: &Description<'_>) -> Result<(), DescriptionError> {
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
        let number = self.routes.len();
        let same_path = self.paths.iter_mut().find(|path| path.template.overlap(&template) == Overlap::Same);
        match same_path {
            Some(path) => {
                let mut earlier = path.routes.iter().map(|&number| &self.routes[number]);
                if let Some(other) = earlier.find(|other| other.method == route.method) {
                    return Err(DescriptionError::DuplicateRoute {
                        method: route.method,
                        path: route.path,
                        other_description: other.source.clone(),
                        other_path: other.path.clone(),
                    });
                }
                path.routes.push(number);
            }
            None => self.paths.push(Path { template, routes: vec![number] }),
        }
        self.routes.push(route);
        Ok(())
    }

    /// Rejects two templates that one request could match, of which neither is more concrete in all segments.
    fn reject_ambiguous(&self) -> Result<(), LoadError> {
        for (number, path) in self.paths.iter().enumerate() {
            let is_ambiguous = |other: &&Path| path.template.overlap(&other.template) == Overlap::Ambiguous;
            if let Some(other) = self.paths[number + 1..].iter().find(is_ambiguous) {
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
