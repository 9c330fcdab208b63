//! Requests of a shared route keep to the weights.

use cardamomshed_policy::rotation::Rotation;

use crate::check;

#[expect(clippy::needless_pass_by_value, reason = "generated values are owned")]
fn keeps_shares(weights: Vec<u8>, draw: u8, turns: u16) -> bool {
    let weights = weights.iter().map(|weight| f64::from(*weight));
    let weights = weights.collect::<Vec<_>>();
    let turns = turns % 500;
    let total = weights.iter().sum::<f64>();
    let draw = f64::from(draw) / 256.0;
    let mut rotation = Rotation::default();
    let mut counts = vec![0.0; weights.len()];
    for _ in 0..turns {
        match rotation.next(&weights, draw) {
            Some(part) => counts[part] += 1.0,
            None => return total <= 0.0,
        }
    }
    let parts = counts.iter().zip(&weights);
    let within = |(count, weight): (&f64, &f64)| {
        let due = f64::from(turns) * weight / total;
        // Smooth rotation is off by less than one turn a part.
        (count - due).abs() < weights.len() as f64
    };
    total <= 0.0 || parts.into_iter().all(within)
}

#[test]
fn weights_kept() {
    check(keeps_shares as fn(Vec<u8>, u8, u16) -> bool);
}
