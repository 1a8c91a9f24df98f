//! Percentiles of measured figures.

/// Samples of one quantity, from which percentiles are taken.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Distribution {
    sorted: Vec<f64>,
}

impl Distribution {
    /// Returns the smallest sample that is greater than or equal to at least this share (0 to 1) of all samples, or 0 if there
    /// are no samples.
    pub fn percentile(&self, share: f64) -> f64 {
        let count = self.sorted.len();
        let rank = ((count as f64 * share).ceil() as usize).clamp(1, count.max(1));
        self.sorted.get(rank - 1).copied().unwrap_or(0.0)
    }

    /// Returns the median, or 0 if there are no samples.
    pub fn median(&self) -> f64 {
        self.percentile(0.5)
    }

    /// Returns the largest sample, or `None` if there are no samples.
    pub fn maximum(&self) -> Option<f64> {
        self.sorted.last().copied()
    }

    /// Returns how many samples were added.
    pub fn count(&self) -> usize {
        self.sorted.len()
    }
}

impl Extend<f64> for Distribution {
    fn extend<I: IntoIterator<Item = f64>>(&mut self, samples: I) {
        self.sorted.extend(samples);
        self.sorted.sort_by(f64::total_cmp);
    }
}

impl FromIterator<f64> for Distribution {
    fn from_iter<I: IntoIterator<Item = f64>>(samples: I) -> Self {
        let mut distribution = Self::default();
        distribution.extend(samples);
        distribution
    }
}

#[cfg(test)]
mod tests;
