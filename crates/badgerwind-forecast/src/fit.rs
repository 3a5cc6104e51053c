//! Arithmetic of the fit. Nothing is decided here.

/// The least-squares coefficient of a shape in a series, and the mean power it accounts for.
pub fn fit(series: &[f64], shape: impl Fn(f64) -> f64) -> (f64, f64) {
    let (mut dot, mut norm) = (0.0, 0.0);
    for (i, y) in series.iter().enumerate() {
        let b = shape(i as f64);
        (dot, norm) = (dot + y * b, norm + b * b);
    }
    if norm > 0.0 {
        (dot / norm, dot * dot / norm / series.len() as f64)
    } else {
        (0.0, 0.0)
    }
}
