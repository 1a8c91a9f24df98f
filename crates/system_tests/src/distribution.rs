//! Distributions of figures.

/// Figures of one kind, from which percentiles are taken.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Distribution {
    sorted: Vec<f64>,
}

impl Distribution {
    /// Returns the smallest figure that at least this share of the figures does not exceed, or 0 if there are no figures.
    pub fn percentile(&self, share: f64) -> f64 {
        let count = self.sorted.len();
        let rank = ((count as f64 * share).ceil() as usize).clamp(1, count.max(1));
        self.sorted.get(rank - 1).copied().unwrap_or(0.0)
    }

    /// Returns the median, or 0 if there are no figures.
    pub fn median(&self) -> f64 {
        self.percentile(0.5)
    }

    /// Returns the largest figure, if there is one.
    pub fn maximum(&self) -> Option<f64> {
        self.sorted.last().copied()
    }

    /// Returns the number of figures.
    pub fn count(&self) -> usize {
        self.sorted.len()
    }
}

impl Extend<f64> for Distribution {
    fn extend<I: IntoIterator<Item = f64>>(&mut self, figures: I) {
        self.sorted.extend(figures);
        self.sorted.sort_by(f64::total_cmp);
    }
}

impl FromIterator<f64> for Distribution {
    fn from_iter<I: IntoIterator<Item = f64>>(figures: I) -> Self {
        let mut distribution = Self::default();
        distribution.extend(figures);
        distribution
    }
}

#[cfg(test)]
mod tests;
