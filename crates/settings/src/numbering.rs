//! Numbering of classes and plans across reloads. A number keeps its meaning for the lifetime of the process, because requests in
//! flight refer to it.

use crate::SettingsError;
use crate::platform::PlatformConfig;
use policy::{Plan, RequestClass, Settings};

/// Maximum number of classes, and also of plans, in all configurations since the process started. The limit bounds the memory
/// that repeated reloads use.
pub(crate) const MAX_CLASSES_OR_PLANS: usize = 4096;

/// A class of the configuration in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NumberedClass<'a> {
    /// Index in the classes of the policy's settings, which never changes while the process runs.
    pub number: usize,
    /// Name of the class in the configuration file.
    pub name: &'a str,
    /// Settings of the class in the configuration in force.
    pub class: &'a RequestClass,
}

/// A plan of the configuration in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NumberedPlan<'a> {
    /// Index in the plans of the policy's settings, which never changes while the process runs.
    pub number: usize,
    /// Name of the plan in the configuration file.
    pub name: &'a str,
}

#[derive(Clone, Debug)]
struct Named<T> {
    name: String,
    value: T,
}

/// All classes and plans since the process started, by number.
#[derive(Clone, Debug, Default)]
pub struct Numbering {
    classes: Vec<Named<RequestClass>>,
    plans: Vec<Named<Plan>>,
    /// Numbers of the classes in force, in their order in the file.
    current_class_numbers: Vec<usize>,
    /// Numbers of the plans in force, in their order in the file.
    current_plan_numbers: Vec<usize>,
}

impl Numbering {
    /// Applies a new configuration, and returns its settings with all classes and plans since the process started, by number. An
    /// unchanged class keeps its number, and a changed one gets a new number. A plan with a known name keeps its number.
    ///
    /// # Errors
    ///
    /// Returns an error if there were too many classes or plans since the process started. The numbering is then unchanged.
    pub fn update(&mut self, config: &PlatformConfig) -> Result<Settings, SettingsError> {
        let (mut classes, mut plans) = (self.classes.clone(), self.plans.clone());
        let named = config.classes.iter().zip(&config.settings.classes);
        let current_class_numbers =
            named.map(|(name, class)| number_class(&mut classes, name, class)).collect();
        let named = config.plans.iter().zip(&config.settings.plans);
        let current_plan_numbers = named.map(|(name, plan)| number_plan(&mut plans, name, plan)).collect();
        if classes.len() > MAX_CLASSES_OR_PLANS || plans.len() > MAX_CLASSES_OR_PLANS {
            return Err(SettingsError::TooManyClassesOrPlans);
        }
        *self = Self { classes, plans, current_class_numbers, current_plan_numbers };
        Ok(Settings {
            classes: self.classes.iter().map(|class| class.value.clone()).collect(),
            plans: self.plans.iter().map(|plan| plan.value.clone()).collect(),
            ..config.settings.clone()
        })
    }

    /// The classes of the configuration in force, in their order in the file.
    pub fn classes(&self) -> impl Iterator<Item = NumberedClass<'_>> {
        self.current_class_numbers.iter().map(|&number| {
            let Named { name, value: class } = &self.classes[number];
            NumberedClass { number, name, class }
        })
    }

    /// The plans of the configuration in force, in their order in the file.
    pub fn plans(&self) -> impl Iterator<Item = NumberedPlan<'_>> {
        self.current_plan_numbers
            .iter()
            .map(|&number| NumberedPlan { number, name: &self.plans[number].name })
    }

    /// Names of all classes since the process started, by number.
    pub fn class_names(&self) -> Vec<String> {
        self.classes.iter().map(|class| class.name.clone()).collect()
    }

    /// Names of all plans since the process started, by number.
    pub fn plan_names(&self) -> Vec<String> {
        self.plans.iter().map(|plan| plan.name.clone()).collect()
    }
}

/// Returns the number of a class. A class that is new or has changed is added with a new number.
fn number_class(classes: &mut Vec<Named<RequestClass>>, name: &str, class: &RequestClass) -> usize {
    let unchanged = classes.iter().position(|known| known.name == name && known.value == *class);
    unchanged.unwrap_or_else(|| {
        classes.push(Named { name: name.to_owned(), value: class.clone() });
        classes.len() - 1
    })
}

/// Returns the number of a plan. A new plan is added; the settings of a known plan are replaced.
fn number_plan(plans: &mut Vec<Named<Plan>>, name: &str, plan: &Plan) -> usize {
    let number = plans.iter().position(|known| known.name == name);
    let number = number.unwrap_or_else(|| {
        plans.push(Named { name: name.to_owned(), value: plan.clone() });
        plans.len() - 1
    });
    plans[number].value = plan.clone();
    number
}
