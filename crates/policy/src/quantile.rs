//! The P² estimator of one quantile in constant memory (Jain and Chlamtac, 1985).

use serde::{Deserialize, Serialize};

/// Running estimate of one quantile from five markers; no sample is kept.
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
    heights: [f64; 5],
    positions: [f64; 5],
    desired: [f64; 5],
}

impl P2Quantile {
    /// An empty estimator of `quantile`, which is clamped to between 0 and 1.
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

    /// The number of samples.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// The estimate, or `None` before the first sample. Exact up to five samples.
    pub fn value(&self) -> Option<f64> {
        match self.count {
            0 => None,
            n @ 1..=5 => {
                let mut seen = self.heights;
                let seen = &mut seen[..n as usize];
                seen.sort_by(f64::total_cmp);
                let rank = (self.quantile * (n - 1) as f64).round() as usize;
                Some(seen[rank])
            }
            _ => Some(self.heights[2]),
        }
    }

    /// Adds one sample; a value that is not finite is ignored.
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
        let cell = self.cell_of(sample);
        for position in &mut self.positions[cell + 1..] {
            *position += 1.0;
        }
        let p = self.quantile;
        let steps = [0.0, p / 2.0, p, (1.0 + p) / 2.0, 1.0];
        for (desired, step) in self.desired.iter_mut().zip(steps) {
            *desired += step;
        }
        for marker in 1..4 {
            self.adjust(marker);
        }
    }

    /// The marker interval that holds `sample`; the extremes are extended to include it.
    fn cell_of(&mut self, sample: f64) -> usize {
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

    /// Moves one inner marker a step towards its desired position.
    fn adjust(&mut self, i: usize) {
        let gap = self.desired[i] - self.positions[i];
        let right = self.positions[i + 1] - self.positions[i];
        let left = self.positions[i - 1] - self.positions[i];
        if !((gap >= 1.0 && right > 1.0) || (gap <= -1.0 && left < -1.0)) {
            return;
        }
        let d = gap.signum();
        let (h, n) = (&self.heights, &self.positions);
        let rise = (h[i + 1] - h[i]) / (n[i + 1] - n[i]);
        let fall = (h[i] - h[i - 1]) / (n[i] - n[i - 1]);
        let curve =
            h[i] + d / (n[i + 1] - n[i - 1]) * ((n[i] - n[i - 1] + d) * rise + (n[i + 1] - n[i] - d) * fall);
        let next = if h[i - 1] < curve && curve < h[i + 1] {
            curve
        } else if d > 0.0 {
            h[i] + rise
        } else {
            h[i] - fall
        };
        self.heights[i] = next;
        self.positions[i] += d;
    }
}
