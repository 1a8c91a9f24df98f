//! Percentiles of a few samples.

use super::*;

#[test]
fn a_percentile_is_one_of_the_samples() {
    let distribution: Distribution = [3.0, 1.0, 4.0, 2.0].into_iter().collect();
    assert_eq!([0.0, 0.5, 0.51, 1.0].map(|share| distribution.percentile(share)), [1.0, 2.0, 3.0, 4.0]);
    assert_eq!((distribution.median(), distribution.maximum()), (2.0, Some(4.0)));
    assert_eq!(distribution.count(), 4);
}

#[test]
fn percentiles_without_samples_are_0() {
    let empty = Distribution::default();
    assert_eq!((empty.percentile(0.5), empty.median()), (0.0, 0.0));
    assert_eq!((empty.maximum(), empty.count()), (None, 0));
}

#[test]
fn added_samples_change_the_percentiles() {
    let mut distribution = Distribution::from_iter([2.0, f64::INFINITY]);
    distribution.extend([1.0]);
    assert_eq!(distribution.median(), 2.0);
    assert_eq!(distribution.maximum(), Some(f64::INFINITY));
}
