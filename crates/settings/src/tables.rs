//! Classes and plans over all files that were in force: their numbers stay for as long as the process lives.

use crate::{Config, ConfigError};
use policy::{Plan, RequestClass, Settings};

/// Entries that are kept at the most: files that bring ever new ones are turned down.
const MOST: usize = 4096;

/// Classes and plans by number.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    classes: Vec<(String, RequestClass)>,
    plans: Vec<(String, Plan)>,
    /// Numbers of those that are in force.
    live_classes: Vec<usize>,
    live_plans: Vec<usize>,
}

impl Tables {
    /// Takes in a file. A class that is as it was keeps its number, any other gets a new one; a plan keeps its number by its
    /// name. Returns the file's settings with all classes and plans by number.
    ///
    /// # Errors
    ///
    /// There have been too many.
    pub fn take(&mut self, config: &Config) -> Result<Settings, ConfigError> {
        let (mut classes, mut plans) = (self.classes.clone(), self.plans.clone());
        let named = config.classes.iter().zip(&config.settings.classes);
        let live_classes = named.map(|(name, class)| {
            let same = classes.iter().position(|(n, c)| n == name && c == class);
            same.unwrap_or_else(|| {
                classes.push((name.clone(), class.clone()));
                classes.len() - 1
            })
        });
        let live_classes = live_classes.collect();
        let named = config.plans.iter().zip(&config.settings.plans);
        let live_plans = named.map(|(name, plan)| match plans.iter().position(|(n, _)| n == name) {
            Some(at) => {
                plans[at].1 = plan.clone();
                at
            }
            None => {
                plans.push((name.clone(), plan.clone()));
                plans.len() - 1
            }
        });
        let live_plans = live_plans.collect();
        if classes.len() > MOST || plans.len() > MOST {
            return Err(ConfigError("too many classes or plans since the start".into()));
        }
        *self = Self { classes, plans, live_classes, live_plans };
        Ok(Settings {
            classes: self.classes.iter().map(|(_, class)| class.clone()).collect(),
            plans: self.plans.iter().map(|(_, plan)| plan.clone()).collect(),
            ..config.settings.clone()
        })
    }

    /// Classes in force: number, name and class.
    pub fn classes(&self) -> impl Iterator<Item = (usize, &str, &RequestClass)> {
        self.live_classes.iter().map(|&at| (at, self.classes[at].0.as_str(), &self.classes[at].1))
    }

    /// Plans in force: number and name.
    pub fn plans(&self) -> impl Iterator<Item = (usize, &str)> {
        self.live_plans.iter().map(|&at| (at, self.plans[at].0.as_str()))
    }

    /// Names of all classes by number, in force or not.
    pub fn class_names(&self) -> Vec<String> {
        self.classes.iter().map(|(name, _)| name.clone()).collect()
    }

    /// Names of all plans by number, in force or not.
    pub fn plan_names(&self) -> Vec<String> {
        self.plans.iter().map(|(name, _)| name.clone()).collect()
    }
}
