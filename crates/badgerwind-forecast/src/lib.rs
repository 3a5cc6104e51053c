//! Expected arrivals: quadratic trend and k harmonics, clipped. After "Taming Cold Starts: Proactive
//! Serverless Scheduling with Model Predictive Control"; docs/design/module.md. No I/O, no clock.
#![forbid(unsafe_code)]

mod fit;
use fit::fit;

/// Bins in a load time.
pub const STEPS_PER_LOAD: u64 = 4; // Δt = load time / this: finer costs CPU, coarser loads late.
const MIN_BINS: usize = 8; // Fewer bins, or arrivals, give a plain mean: a trend through so few runs wild.
const HARMONICS: usize = 2; // Harmonics k in the forecast.
const CLIP_SIGMA: f64 = 1.5; // Clip of the forecast: mean + this many σ.
const SIGNIFICANT: f64 = 9.0; // A trend or harmonic counts from this many times the mean power left.

/// Expected arrivals in each of the next `steps` bins, from the bins before.
pub fn forecast(bins: &[f64], steps: usize) -> Vec<f64> {
    let n = bins.len();
    let mean = bins.iter().sum::<f64>() / n.max(1) as f64;
    if n < MIN_BINS || mean * (n as f64) < MIN_BINS as f64 || bins.iter().all(|&y| y == bins[0]) {
        // One early arrival is no rate: a short history is filled up with silence.
        return vec![mean * n as f64 / n.max(2 * MIN_BINS) as f64; steps];
    }
    // Least squares on orthogonal shapes, each kept only where it stands out from what is left.
    let (size, half) = (n as f64, (n as f64 - 1.0) / 2.0);
    let trend =
        |p: i32, i: f64| if p == 1 { i - half } else { (i - half).powi(2) - (size * size - 1.0) / 12.0 };
    let mut rest: Vec<f64> = bins.iter().map(|y| y - mean).collect();
    let mut ahead: Vec<f64> = vec![mean; steps];
    for p in [1, 2] {
        let (c, power) = fit(&rest, |i| trend(p, i));
        let left = rest.iter().map(|y| y * y).sum::<f64>() / size - power;
        if power > SIGNIFICANT * left.max(0.0) / size {
            rest.iter_mut().enumerate().for_each(|(i, y)| *y -= c * trend(p, i as f64));
            ahead.iter_mut().enumerate().for_each(|(i, y)| *y += c * trend(p, (n + i) as f64));
        }
    }
    let noise = rest.iter().map(|y| y * y).sum::<f64>() / size;
    let wave = |f: usize| {
        let angle = std::f64::consts::TAU * f as f64 / size;
        let ((re, a), (im, b)) = (fit(&rest, |i| (angle * i).cos()), fit(&rest, |i| (angle * i).sin()));
        (a + b, angle, re, im)
    };
    let mut waves: Vec<_> = (1..n / 2).map(wave).filter(|w| w.0 > SIGNIFICANT * noise / size).collect();
    waves.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (_, angle, re, im) in waves.into_iter().take(HARMONICS) {
        let at = |i: usize| angle * (n + i) as f64;
        ahead.iter_mut().enumerate().for_each(|(i, y)| *y += re * at(i).cos() + im * at(i).sin());
    }
    // σ of rates over a load time each: single bins of a rare function are all noise.
    let rates = bins.chunks(STEPS_PER_LOAD as usize).map(|b| b.iter().sum::<f64>() / b.len() as f64);
    let spread: Vec<f64> = rates.map(|r| (r - mean).powi(2)).collect();
    let top = mean + CLIP_SIGMA * (spread.iter().sum::<f64>() / spread.len() as f64).sqrt();
    ahead.into_iter().map(|y| y.max(0.0).min(top)).collect()
}
