//! Weighted round robin follows the weights.

use cardamomshed_policy::rotation::Rotation;

use crate::check;

#[expect(clippy::needless_pass_by_value, reason = "generated values are owned")]
fn follows_weights(weights: Vec<u8>, phase: u8, selections: u16) -> bool {
    let weights = weights.iter().map(|weight| f64::from(*weight));
    let weights = weights.collect::<Vec<_>>();
    let selections = selections % 500;
    let total = weights.iter().sum::<f64>();
    let phase = f64::from(phase) / 256.0;
    let mut rotation = Rotation::default();
    let mut counts = vec![0.0; weights.len()];
    for _ in 0..selections {
        match rotation.next(&weights, phase) {
            Some(index) => counts[index] += 1.0,
            None => return total <= 0.0,
        }
    }
    let entries = counts.iter().zip(&weights);
    let within = |(count, weight): (&f64, &f64)| {
        let expected = f64::from(selections) * weight / total;
        // The deviation is less than the number of entries.
        (count - expected).abs() < weights.len() as f64
    };
    total <= 0.0 || entries.into_iter().all(within)
}

#[test]
fn weights_followed() {
    check(follows_weights as fn(Vec<u8>, u8, u16) -> bool);
}
