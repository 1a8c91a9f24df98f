//! The numbers of classes and plans over all files that were in force: a number keeps its meaning for as long as the process
//! lives, because requests in flight refer to it.

use crate::SettingsError;
use crate::platform::PlatformConfig;
use policy::{Plan, RequestClass, Settings};

/// Limit on classes and on plans that are kept. Files that bring ever new ones are rejected.
pub(crate) const MAX_NUMBERED: usize = 4096;

/// A class of the file in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NumberedClass<'a> {
    /// Its number.
    pub number: usize,
    /// Its name.
    pub name: &'a str,
    /// What it says.
    pub class: &'a RequestClass,
}

/// A plan of the file in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NumberedPlan<'a> {
    /// Its number.
    pub number: usize,
    /// Its name.
    pub name: &'a str,
}

/// All classes and plans so far, by number.
#[derive(Clone, Debug, Default)]
pub struct Numbering {
    classes: Vec<(String, RequestClass)>,
    plans: Vec<(String, Plan)>,
    /// Numbers of the classes in force.
    current_classes: Vec<usize>,
    /// Numbers of the plans in force.
    current_plans: Vec<usize>,
}

impl Numbering {
    /// Takes in a file. A class that is unchanged keeps its number, any other gets a new one; a plan keeps its number by its
    /// name. Returns the file's settings with all classes and plans by number.
    ///
    /// # Errors
    ///
    /// There have been too many; nothing has changed then.
    pub fn update(&mut self, config: &PlatformConfig) -> Result<Settings, SettingsError> {
        let (mut classes, mut plans) = (self.classes.clone(), self.plans.clone());
        let named = config.classes.iter().zip(&config.settings.classes);
        let current_classes = named.map(|(name, class)| number_class(&mut classes, name, class)).collect();
        let named = config.plans.iter().zip(&config.settings.plans);
        let current_plans = named.map(|(name, plan)| number_plan(&mut plans, name, plan)).collect();
        if classes.len() > MAX_NUMBERED || plans.len() > MAX_NUMBERED {
            return Err(SettingsError::TooManyNumbers);
        }
        *self = Self { classes, plans, current_classes, current_plans };
        Ok(Settings {
            classes: self.classes.iter().map(|(_, class)| class.clone()).collect(),
            plans: self.plans.iter().map(|(_, plan)| plan.clone()).collect(),
            ..config.settings.clone()
        })
    }

    /// The classes in force.
    pub fn classes(&self) -> impl Iterator<Item = NumberedClass<'_>> {
        self.current_classes.iter().map(|&number| {
            let (name, class) = &self.classes[number];
            NumberedClass { number, name, class }
        })
    }

    /// The plans in force.
    pub fn plans(&self) -> impl Iterator<Item = NumberedPlan<'_>> {
        self.current_plans.iter().map(|&number| NumberedPlan { number, name: &self.plans[number].0 })
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

/// The number of this class, which may be new.
fn number_class(classes: &mut Vec<(String, RequestClass)>, name: &str, class: &RequestClass) -> usize {
    let unchanged = classes.iter().position(|(known, its)| known == name && its == class);
    unchanged.unwrap_or_else(|| {
        classes.push((name.to_owned(), class.clone()));
        classes.len() - 1
    })
}

/// The number of this plan, which may be new; its figures are replaced.
fn number_plan(plans: &mut Vec<(String, Plan)>, name: &str, plan: &Plan) -> usize {
    let number = plans.iter().position(|(known, _)| known == name);
    let number = number.unwrap_or_else(|| {
        plans.push((name.to_owned(), plan.clone()));
        plans.len() - 1
    });
    plans[number].1 = plan.clone();
    number
}
