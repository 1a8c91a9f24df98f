//! Tests of the surcharge factor.

use super::*;
use crate::settings::RequestClass;

fn settings() -> Settings {
    let class = |priority_weight| RequestClass { priority_weight, ..RequestClass::default() };
    Settings { classes: vec![class(1.0), class(2.0), class(4.0)], ..Settings::default() }
}

#[test]
fn classes_of_lower_weight_pay_first_and_the_highest_pays_no_surcharge() {
    let settings = settings();
    let factors = |ratio| [0, 1, 2].map(|class| surcharge_factor(&settings, class, ratio));
    assert_eq!(factors(1.0), [1.0, 1.0, 1.0]);
    assert_eq!(factors(0.25), [4.0, 1.0, 1.0]);
    assert_eq!(factors(0.125), [8.0, 8.0, 1.0]);
}

#[test]
fn the_factor_is_bounded() {
    assert_eq!(surcharge_factor(&settings(), 0, 0.0), 1.0 / MIN_SURCHARGE_RATIO);
}
