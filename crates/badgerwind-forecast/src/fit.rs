//! Least-squares fit of one shape. It contains no decisions.

/// The least-squares coefficient of a shape in a series, and the mean power that it explains.
pub fn fit(series: &[f64], shape: impl Fn(f64) -> f64) -> (f64, f64) {
    let (mut dot, mut norm) = (0.0, 0.0);
    for (i, y) in series.iter().enumerate() {
        let x = shape(i as f64);
        (dot, norm) = (dot + y * x, norm + x * x);
    }
    if norm > 0.0 {
        (dot / norm, dot * dot / norm / series.len() as f64)
    } else {
        (0.0, 0.0)
    }
}
