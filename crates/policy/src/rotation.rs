//! Distributes the requests of a route among services by weight.

/// Smooth weighted round robin: after any number of turns each part is
/// within one turn of its weight's share.
#[derive(Clone, Debug, Default)]
pub struct Rotation {
    /// Weights of the parts, as in the turn before.
    weights: Vec<f64>,
    /// What each part is owed, in turns; the sum is zero between turns.
    owed: Vec<f64>,
}

impl Rotation {
    /// Gives the part whose turn it is. Other weights than before start the
    /// rotation anew, at a place that `draw`, uniform in 0..1, decides, so
    /// that many rotations do not move in step.
    pub fn next(&mut self, weights: &[f64], draw: f64) -> Option<usize> {
        let total = weights.iter().sum::<f64>();
        if total <= 0.0 {
            return None;
        }
        if self.weights != weights {
            self.weights = weights.to_vec();
            self.owed = weights
                .iter()
                .map(|weight| weight / total * (draw - 0.5))
                .collect();
        }
        for (owed, weight) in self.owed.iter_mut().zip(weights) {
            *owed += weight / total;
        }
        let chosen = (0..weights.len())
            .filter(|part| weights[*part] > 0.0)
            .max_by(|one, other| self.owed[*one].total_cmp(&self.owed[*other]))?;
        self.owed[chosen] -= 1.0;
        Some(chosen)
    }
}
