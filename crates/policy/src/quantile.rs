//! The P² algorithm, which estimates one quantile in constant memory (Jain and Chlamtac, 1985).

use serde::{Deserialize, Serialize};

/// Running estimate of one quantile. It keeps five markers, and no samples beyond the first five.
///
/// # Examples
///
/// ```
/// let mut median = policy::P2Quantile::new(0.5);
/// for sample in 1..=101 {
///     median.add(f64::from(sample));
/// }
/// assert!((median.value().unwrap() - 51.0).abs() < 1.0);
/// ```
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct P2Quantile {
    quantile: f64,
    count: u64,
    /// Heights of the markers: the first five samples, then estimates of five quantiles, of which the third
    /// is the result.
    heights: [f64; 5],
    /// Positions of the markers among the sorted samples, from 1.
    positions: [f64; 5],
    /// Positions that the markers would ideally have.
    desired: [f64; 5],
}

impl P2Quantile {
    /// Creates an estimator without samples. `quantile` is clamped to the range from 0 to 1.
    pub fn new(quantile: f64) -> Self {
        let p = quantile.clamp(0.0, 1.0);
        Self {
            quantile: p,
            count: 0,
            heights: [0.0; 5],
            positions: [1.0, 2.0, 3.0, 4.0, 5.0],
            desired: [1.0, 1.0 + 2.0 * p, 1.0 + 4.0 * p, 3.0 + 2.0 * p, 5.0],
        }
    }

    /// Number of finite samples added so far.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// The estimate of the quantile, exact up to five samples; `None` before the first sample.
    pub fn value(&self) -> Option<f64> {
        match self.count {
            0 => None,
            n @ 1..=5 => {
                let mut samples = self.heights;
                let samples = &mut samples[..n as usize];
                samples.sort_by(f64::total_cmp);
                let rank = (self.quantile * (n - 1) as f64).round() as usize;
                Some(samples[rank])
            }
            _ => Some(self.heights[2]),
        }
    }

    /// Adds one sample. A value that is not finite is ignored.
    pub fn add(&mut self, sample: f64) {
        if !sample.is_finite() {
            return;
        }
        self.count += 1;
        if self.count <= 5 {
            self.heights[self.count as usize - 1] = sample;
            if self.count == 5 {
                self.heights.sort_by(f64::total_cmp);
            }
            return;
        }
        let interval = self.marker_interval(sample);
        for position in &mut self.positions[interval + 1..] {
            *position += 1.0;
        }
        let p = self.quantile;
        let steps = [0.0, p / 2.0, p, (1.0 + p) / 2.0, 1.0];
        for (desired, step) in self.desired.iter_mut().zip(steps) {
            *desired += step;
        }
        for marker in 1..4 {
            self.adjust_marker(marker);
        }
    }

    /// Index of the interval between markers that contains `sample`. The outer markers are moved to include
    /// the sample.
    fn marker_interval(&mut self, sample: f64) -> usize {
        if sample < self.heights[0] {
            self.heights[0] = sample;
            return 0;
        }
        if sample >= self.heights[4] {
            self.heights[4] = sample;
            return 3;
        }
        (1..4).rev().find(|&k| sample >= self.heights[k]).unwrap_or(0)
    }

    /// Moves an inner marker by one position towards its desired position, and adjusts its height by the
    /// parabolic formula, or by the linear one if the parabola would leave the order of heights.
    fn adjust_marker(&mut self, i: usize) {
        let gap = self.desired[i] - self.positions[i];
        let right = self.positions[i + 1] - self.positions[i];
        let left = self.positions[i - 1] - self.positions[i];
        if !((gap >= 1.0 && right > 1.0) || (gap <= -1.0 && left < -1.0)) {
            return;
        }
        let d = gap.signum();
        let (h, n) = (&self.heights, &self.positions);
        let right_slope = (h[i + 1] - h[i]) / (n[i + 1] - n[i]);
        let left_slope = (h[i] - h[i - 1]) / (n[i] - n[i - 1]);
        let parabolic = h[i]
            + d / (n[i + 1] - n[i - 1])
                * ((n[i] - n[i - 1] + d) * right_slope + (n[i + 1] - n[i] - d) * left_slope);
        let new_height = if h[i - 1] < parabolic && parabolic < h[i + 1] {
            parabolic
        } else if d > 0.0 {
            h[i] + right_slope
        } else {
            h[i] - left_slope
        };
        self.heights[i] = new_height;
        self.positions[i] += d;
    }
}
