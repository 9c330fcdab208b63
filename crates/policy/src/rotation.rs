//! Weighted distribution of the requests of a route over services.

/// Smooth weighted round robin. After any number of selections, the count of each
/// entry deviates from its weighted share by less than the number of entries.
#[derive(Clone, Debug, Default)]
pub struct Rotation {
    /// Weights at the previous selection.
    weights: Vec<f64>,
    /// Selections due to each entry. The sum is zero between selections, but for
    /// the initial offset.
    credits: Vec<f64>,
}

impl Rotation {
    /// Returns the index of the next entry, or `None` if no weight is positive.
    ///
    /// A change of weights resets the credits to an offset derived from `phase`.
    /// Callers draw it uniformly from 0..1, so that many rotations do not advance
    /// in lockstep.
    pub fn next(&mut self, weights: &[f64], phase: f64) -> Option<usize> {
        let total = weights.iter().sum::<f64>();
        if total <= 0.0 {
            return None;
        }
        if self.weights != weights {
            self.weights = weights.to_vec();
            self.credits = weights
                .iter()
                .map(|weight| weight / total * (phase - 0.5))
                .collect();
        }
        for (credit, weight) in self.credits.iter_mut().zip(weights) {
            *credit += weight / total;
        }
        let chosen = (0..weights.len())
            .filter(|index| weights[*index] > 0.0)
            .max_by(|left, right| self.credits[*left].total_cmp(&self.credits[*right]))?;
        self.credits[chosen] -= 1.0;
        Some(chosen)
    }

    /// Index that [`Self::next`] would return, without a change. `None` as well if the
    /// weights have changed, since the next entry then depends on the phase.
    pub fn preview(&self, weights: &[f64]) -> Option<usize> {
        let is_known = self.weights == weights;
        is_known.then(|| self.clone().next(weights, 0.0)).flatten()
    }
}
