//! A measured row as text, as JSON and as a drawing.

use crate::error::ScaleError;
use crate::run::{Outcome, Slope};
use plotters::prelude::*;
use std::fmt::Write;
use std::path::Path;

const DRAWING: (u32, u32) = (720, 440);

/// A table: a line a metric and size, then the fit with its residuals.
pub fn table(outcome: &Outcome) -> String {
    let mut text = String::new();
    // Writing to a string does not fail.
    _ = writeln!(text, "{}: {}", outcome.row, outcome.about);
    _ = writeln!(text, "seed {}, {} plays a size", outcome.seed, outcome.plays);
    for slope in &outcome.slopes {
        _ = writeln!(text, "\n{} ({}) by {}", slope.metric.name, slope.metric.unit, outcome.variable);
        for (point, residual) in slope.points.iter().zip(&slope.fit.residuals) {
            let (size, mean, least, most) = (point.size, point.mean, point.least, point.most);
            _ = writeln!(text, "{size:>10} {mean:>16.2}  ({least:.2} to {most:.2})  residual {residual:+.3}");
        }
        _ = writeln!(text, "{}", summary(outcome, slope));
    }
    text
}

fn summary(outcome: &Outcome, slope: &Slope) -> String {
    let (fit, planned) = (&slope.fit, outcome.planned);
    let how = if slope.extrapolated { "extrapolated" } else { "measured or between measured sizes" };
    let mut line = format!(
        "fit: {:?}, base {:.4}, slope {:.6}, spread {:.3}; at {planned}: {:.2} ({how})",
        fit.order,
        fit.base,
        fit.slope,
        fit.spread(),
        slope.at_planned
    );
    if let (Some(bound), Some(ratio)) = (slope.bound, slope.ratio) {
        _ = write!(line, "; bound {:.2} ({}); need over bound {ratio:.3}", bound.most, bound.source);
    }
    line
}

/// The same as JSON.
pub fn json(outcome: &Outcome) -> String {
    serde_json::to_string_pretty(outcome).unwrap_or_default()
}

/// Draws one line a metric over the sizes, both axes logarithmic, into an SVG file.
pub fn draw(outcome: &Outcome, path: &Path) -> Result<(), ScaleError> {
    let failed =
        |reason: String| ScaleError::Output { option: "--svg", path: path.display().to_string(), reason };
    draw_slopes(outcome, path).map_err(|e| failed(e.to_string()))
}

fn draw_slopes(outcome: &Outcome, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let sizes = || outcome.slopes.iter().flat_map(|s| &s.points).map(|p| p.size as f64);
    let values = || outcome.slopes.iter().flat_map(|s| &s.points).map(|p| p.mean).filter(|v| *v > 0.0);
    let (low, high) = (sizes().fold(f64::INFINITY, f64::min), sizes().fold(1.0, f64::max));
    let (least, most) = (values().fold(f64::INFINITY, f64::min), values().fold(1e-9, f64::max));
    let area = SVGBackend::new(path, DRAWING).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(outcome.row, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(
            (low..high * 1.01).log_scale(),
            (least.min(most) / 2.0..most * 2.0).log_scale(),
        )?;
    chart.configure_mesh().x_desc(outcome.variable).draw()?;
    for (place, slope) in outcome.slopes.iter().enumerate() {
        let colour = Palette99::pick(place).to_rgba();
        let points: Vec<(f64, f64)> =
            slope.points.iter().filter(|p| p.mean > 0.0).map(|p| (p.size as f64, p.mean)).collect();
        let label = format!("{} ({})", slope.metric.name, slope.metric.unit);
        let series = chart.draw_series([PathElement::new(points.clone(), colour)])?;
        series.label(label).legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
        chart.draw_series(points.into_iter().map(|at| Circle::new(at, 3, colour.filled())))?;
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
