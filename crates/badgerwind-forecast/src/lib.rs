//! Forecast of arrivals: a quadratic trend and harmonics, clipped. After "Taming Cold Starts: Proactive
//! Serverless Scheduling with Model Predictive Control"; see docs/design/module.md. No I/O, no clock.
#![forbid(unsafe_code)]

mod fit;
use fit::fit;

/// Bins in a load time. More cost CPU time, fewer make loads late.
pub const STEPS_PER_LOAD: u64 = 4;
const MIN_BINS: usize = 8; // Fewer bins or arrivals give a plain mean: a trend through so few is unstable.
const HARMONICS: usize = 2; // Most harmonics in the forecast.
const CLIP_SIGMA: f64 = 1.5; // Upper limit of the forecast: the mean plus this many standard deviations.
const SIGNIFICANT: f64 = 9.0; // Power of a trend or harmonic that counts, in mean powers of the residual.

/// Expected arrivals in each of the next `steps` bins, from the arrivals in the bins before.
pub fn forecast(bins: &[f64], steps: usize) -> Vec<f64> {
    let n = bins.len();
    let mean = bins.iter().sum::<f64>() / n.max(1) as f64;
    if n < MIN_BINS || mean * (n as f64) < MIN_BINS as f64 || bins.iter().all(|&y| y == bins[0]) {
        // A short history is extended with empty bins, since a single early arrival is no rate.
        return vec![mean * n as f64 / n.max(2 * MIN_BINS) as f64; steps];
    }
    // Least squares on orthogonal shapes; only those that stand out from the residual are used.
    let (size, half) = (n as f64, (n as f64 - 1.0) / 2.0);
    let parabola = |i: f64| (i - half).powi(2) - (size * size - 1.0) / 12.0;
    let trend = |degree: i32, i: f64| if degree == 1 { i - half } else { parabola(i) };
    let mut error: Vec<f64> = bins.iter().map(|y| y - mean).collect();
    let mut ahead: Vec<f64> = vec![mean; steps];
    for degree in [1, 2] {
        let (coefficient, power) = fit(&error, |i| trend(degree, i));
        let residual = error.iter().map(|y| y * y).sum::<f64>() / size - power;
        if power > SIGNIFICANT * residual.max(0.0) / size {
            error.iter_mut().enumerate().for_each(|(i, y)| *y -= coefficient * trend(degree, i as f64));
            ahead.iter_mut().enumerate().for_each(|(i, y)| *y += coefficient * trend(degree, (n + i) as f64));
        }
    }
    let noise = error.iter().map(|y| y * y).sum::<f64>() / size;
    let wave = |frequency: usize| {
        let angle = std::f64::consts::TAU * frequency as f64 / size;
        let ((re, a), (im, b)) = (fit(&error, |i| (angle * i).cos()), fit(&error, |i| (angle * i).sin()));
        (a + b, angle, re, im)
    };
    let mut waves: Vec<_> = (1..n / 2).map(wave).filter(|w| w.0 > SIGNIFICANT * noise / size).collect();
    waves.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (_, angle, re, im) in waves.into_iter().take(HARMONICS) {
        let at = |i: usize| angle * (n + i) as f64;
        ahead.iter_mut().enumerate().for_each(|(i, y)| *y += re * at(i).cos() + im * at(i).sin());
    }
    // Standard deviation of the rates over a load time each: single bins of a rare function are mostly noise.
    let rates = bins.chunks(STEPS_PER_LOAD as usize).map(|b| b.iter().sum::<f64>() / b.len() as f64);
    let spread: Vec<f64> = rates.map(|r| (r - mean).powi(2)).collect();
    let ceiling = mean + CLIP_SIGMA * (spread.iter().sum::<f64>() / spread.len() as f64).sqrt();
    ahead.into_iter().map(|y| y.max(0.0).min(ceiling)).collect()
}
