//! Estimates how a cost grows: selects the order of growth whose least-squares fit has the smallest relative
//! residuals.

use serde::Serialize;

/// An order of growth in a size n.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// The same at all sizes.
    Constant,
    /// a + b log2 n.
    Logarithm,
    /// a + b n.
    Linear,
    /// a + b n log2 n.
    Linearithmic,
    /// a + b n^2.
    Quadratic,
}

/// All orders from the slowest growth to the fastest; [`best_fit`] prefers the slower of two similar fits.
pub const ORDERS: [Order; 5] =
    [Order::Constant, Order::Logarithm, Order::Linear, Order::Linearithmic, Order::Quadratic];

/// A faster order of growth is selected only if its RMS residual is below that of the slower one times this
/// factor.
const MAX_RESIDUAL_RATIO: f64 = 0.8;

impl Order {
    fn basis(self, size: f64) -> f64 {
        match self {
            Order::Constant => 0.0,
            Order::Logarithm => size.log2(),
            Order::Linear => size,
            Order::Linearithmic => size * size.log2(),
            Order::Quadratic => size * size,
        }
    }
}

/// A curve of one order of growth, fitted to measured points.
#[derive(Debug, Clone, Serialize)]
pub struct Fit {
    /// The order of growth.
    pub order: Order,
    /// The constant term a.
    #[serde(rename = "base")]
    pub intercept: f64,
    /// The coefficient b of the growing term.
    pub slope: f64,
    /// Residual at each measured size, relative to the measured value.
    pub residuals: Vec<f64>,
}

impl Fit {
    /// Value of the curve at a size.
    pub fn predict(&self, size: u64) -> f64 {
        self.intercept + self.slope * self.order.basis(size as f64)
    }

    /// Root mean square of the relative residuals.
    pub fn rms_residual(&self) -> f64 {
        let squares: f64 = self.residuals.iter().map(|r| r * r).sum();
        (squares / self.residuals.len().max(1) as f64).sqrt()
    }
}

/// Fits a curve of the given order. It minimizes the squares of the relative residuals, so that small and
/// large sizes have equal weight.
pub fn fit_order(order: Order, points: &[(u64, f64)]) -> Fit {
    let (mut weights, mut basis_sum, mut value_sum, mut basis_squares, mut products) =
        (0.0, 0.0, 0.0, 0.0, 0.0);
    for &(size, value) in points {
        let weight = 1.0 / value.abs().max(1e-9).powi(2);
        let basis = order.basis(size as f64);
        weights += weight;
        basis_sum += weight * basis;
        value_sum += weight * value;
        basis_squares += weight * basis * basis;
        products += weight * basis * value;
    }
    let determinant = weights * basis_squares - basis_sum * basis_sum;
    let grows = order != Order::Constant && determinant.abs() > f64::EPSILON * weights * basis_squares;
    let slope = if grows { (weights * products - basis_sum * value_sum) / determinant } else { 0.0 };
    let intercept = (value_sum - slope * basis_sum) / weights.max(f64::MIN_POSITIVE);
    let mut fit = Fit { order, intercept, slope, residuals: Vec::new() };
    let residual = |&(size, value): &(u64, f64)| (value - fit.predict(size)) / value.abs().max(1e-9);
    fit.residuals = points.iter().map(residual).collect();
    fit
}

/// Fits the order of growth that describes the points best; constant if there are fewer than three points.
pub fn best_fit(points: &[(u64, f64)]) -> Fit {
    let mut best = fit_order(Order::Constant, points);
    if points.len() < 3 {
        return best;
    }
    for order in ORDERS.into_iter().skip(1) {
        let candidate = fit_order(order, points);
        if candidate.slope >= 0.0 && candidate.rms_residual() < best.rms_residual() * MAX_RESIDUAL_RATIO {
            best = candidate;
        }
    }
    best
}
