//! Forecasts of ramps, timers, silence and bursts.

use badgerwind_forecast::forecast;

#[test]
fn forecast_follows_a_ramp_but_not_beyond_its_clip() {
    let bins: Vec<f64> = (0..32).map(f64::from).collect();
    let ahead = forecast(&bins, 8);
    let mean = 15.5;
    assert!(ahead.iter().all(|&y| y > 25.0 && y < mean + 15.0), "{ahead:?}");
}

#[test]
fn forecast_finds_a_timer() {
    let bins: Vec<f64> = (0..32).map(|i| if i % 8 < 4 { 4.0 } else { 0.0 }).collect();
    let ahead = forecast(&bins, 8);
    let (on, off) = (ahead[..4].iter().sum::<f64>(), ahead[4..].iter().sum::<f64>());
    assert!(on > 3.0 * off.max(0.1), "{ahead:?}");
}

#[test]
fn forecast_of_silence_is_silence_and_of_a_flat_stream_flat() {
    assert!(forecast(&[0.0; 32], 8).iter().all(|&y| y == 0.0));
    assert!(forecast(&[3.0; 32], 8).iter().all(|&y| (y - 3.0).abs() < 1e-9));
    assert!(forecast(&[], 4).iter().all(|&y| y == 0.0));
}

#[test]
fn one_arrival_or_burst_is_not_taken_for_a_rising_trend() {
    // A single arrival extrapolated as growth filled the fleet with unnecessary copies.
    assert!(forecast(&[1.0], 8).iter().all(|&y| y < 0.1));
    let mut bins = vec![0.0; 32];
    bins[31] = 1.0;
    assert!(forecast(&bins, 8).iter().all(|&y| y < 0.2), "{:?}", forecast(&bins, 8));
    bins[31] = 10.0;
    assert!(forecast(&bins, 8).iter().all(|&y| y < 2.0));
}
