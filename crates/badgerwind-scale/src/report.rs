//! Formats a measured row as a text table, as JSON or as an SVG chart.

use crate::error::ScaleError;
use crate::run::{MetricResult, RowResult};
use plotters::prelude::*;
use std::fmt::Write;
use std::path::Path;

/// Width and height of the chart in pixels.
const CHART_SIZE: (u32, u32) = (720, 440);

/// A text table: one line for each metric and size, with the residual of the fit, then a line with the fit.
pub fn table(result: &RowResult) -> String {
    let mut text = String::new();
    // Writing to a string does not fail.
    _ = writeln!(text, "{}: {}", result.row, result.about);
    _ = writeln!(text, "seed {}, {} plays a size", result.seed, result.repetitions);
    for series in &result.metrics {
        _ = writeln!(text, "\n{} ({}) by {}", series.metric.name, series.metric.unit, result.variable);
        for (point, residual) in series.points.iter().zip(&series.fit.residuals) {
            let (size, mean, min, max) = (point.size, point.mean, point.min, point.max);
            _ = writeln!(text, "{size:>10} {mean:>16.2}  ({min:.2} to {max:.2})  residual {residual:+.3}");
        }
        _ = writeln!(text, "{}", summary(result, series));
    }
    text
}

fn summary(result: &RowResult, series: &MetricResult) -> String {
    let (fit, planned) = (&series.fit, result.planned_size);
    let source = if series.extrapolated { "extrapolated" } else { "measured or between measured sizes" };
    let mut line = format!(
        "fit: {:?}, base {:.4}, slope {:.6}, spread {:.3}; at {planned}: {:.2} ({source})",
        fit.order,
        fit.intercept,
        fit.slope,
        fit.rms_residual(),
        series.planned_value
    );
    if let (Some(bound), Some(ratio)) = (series.bound, series.bound_ratio) {
        _ = write!(line, "; bound {:.2} ({}); need over bound {ratio:.3}", bound.max, bound.source);
    }
    line
}

/// The result as JSON.
pub fn json(result: &RowResult) -> String {
    serde_json::to_string_pretty(result).unwrap_or_default()
}

/// Writes an SVG chart with one line for each metric over the sizes, both axes logarithmic.
pub fn draw(result: &RowResult, path: &Path) -> Result<(), ScaleError> {
    let failed =
        |reason: String| ScaleError::Output { option: "--svg", path: path.display().to_string(), reason };
    draw_chart(result, path).map_err(|e| failed(e.to_string()))
}

fn draw_chart(result: &RowResult, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let sizes = || result.metrics.iter().flat_map(|m| &m.points).map(|p| p.size as f64);
    let values = || result.metrics.iter().flat_map(|m| &m.points).map(|p| p.mean).filter(|v| *v > 0.0);
    let (low, high) = (sizes().fold(f64::INFINITY, f64::min), sizes().fold(1.0, f64::max));
    let (min, max) = (values().fold(f64::INFINITY, f64::min), values().fold(1e-9, f64::max));
    let area = SVGBackend::new(path, CHART_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(result.row, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d((low..high * 1.01).log_scale(), (min.min(max) / 2.0..max * 2.0).log_scale())?;
    chart.configure_mesh().x_desc(result.variable).draw()?;
    for (index, series) in result.metrics.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let points: Vec<(f64, f64)> =
            series.points.iter().filter(|p| p.mean > 0.0).map(|p| (p.size as f64, p.mean)).collect();
        let label = format!("{} ({})", series.metric.name, series.metric.unit);
        let plotted = chart.draw_series([PathElement::new(points.clone(), colour)])?;
        plotted.label(label).legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
        chart.draw_series(points.into_iter().map(|at| Circle::new(at, 3, colour.filled())))?;
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
