//! A chart of the units that each member owned over time, from the members' records. Members are stacked layers; the
//! schedule's actions are vertical lines.

use super::schedule::{Act, Schedule};
use badgerwind_check::budgets::{owned_over_time, Line};
use plotters::prelude::*;

/// Interval between samples of ownership, in microseconds.
const SAMPLE_INTERVAL: u64 = 50_000;

/// Label of an action.
fn label(act: &Act) -> String {
    let members = |who: &[u16]| match who {
        [one] => format!("{one}"),
        who => format!("{} members", who.len()),
    };
    match act {
        Act::Kill { who } => format!("kill {}", members(who)),
        Act::Start { who } => format!("start {}", members(who)),
        Act::Pause { who } => format!("pause {}", members(who)),
        Act::Resume { who } => format!("resume {}", members(who)),
        Act::Cut { from, to } => format!("cut {} to {}", members(from), members(to)),
        Act::Heal => "heal".into(),
        Act::SetUnits { units } => format!("set {units} units"),
    }
}

/// Draws the chart as SVG.
pub fn svg(schedule: &Schedule, lines: &[Line]) -> Result<String, String> {
    let layers = owned_over_time(lines, SAMPLE_INTERVAL);
    let samples = layers.values().map(Vec::len).max().unwrap_or(0);
    let seconds = samples as f64 * SAMPLE_INTERVAL as f64 / 1e6;
    let top = f64::from(schedule.units) * 1.12;
    let mut out = String::new();
    {
        let failed = |e: DrawingAreaErrorKind<std::io::Error>| e.to_string();
        let area = SVGBackend::with_string(&mut out, (1100, 520)).into_drawing_area();
        area.fill(&WHITE).map_err(failed)?;
        let title = format!("units owned, {} members, seed {}", schedule.members, schedule.seed);
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..seconds.max(0.1), 0.0..top)
            .map_err(failed)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_desc("seconds since the first record")
            .y_desc("units")
            .draw()
            .map_err(failed)?;
        let mut below = vec![0.0; samples];
        for (n, (member, owned)) in layers.iter().enumerate() {
            let color = HSLColor(n as f64 / layers.len().max(1) as f64, 0.5, 0.62);
            for (sample, units) in owned.iter().enumerate().filter(|(_, units)| **units > 0) {
                let (x, y) = (sample as f64 * SAMPLE_INTERVAL as f64 / 1e6, below[sample]);
                let corners = [(x, y), (x + SAMPLE_INTERVAL as f64 / 1e6, y + *units as f64)];
                chart.draw_series([Rectangle::new(corners, color.filled())]).map_err(failed)?;
                below[sample] += *units as f64;
            }
            // The member's number is written into its layer after a third of the time, if the layer is high enough.
            let sample = samples / 3;
            if let Some(units) = owned.get(sample).filter(|u| **u as f64 * 30.0 > top) {
                let at = (sample as f64 * SAMPLE_INTERVAL as f64 / 1e6, below[sample] - *units as f64 / 3.0);
                let text = Text::new(member.to_string(), at, ("sans-serif", 11));
                chart.draw_series([text]).map_err(failed)?;
            }
        }
        let limit = f64::from(schedule.units);
        let line = PathElement::new(vec![(0.0, limit), (seconds, limit)], BLACK.stroke_width(2));
        chart.draw_series([line]).map_err(failed)?;
        for (n, (at, act)) in schedule.acts.iter().enumerate() {
            let x = *at as f64 / 1e3;
            let mark = PathElement::new(vec![(x, 0.0), (x, top)], BLACK.mix(0.5));
            chart.draw_series([mark]).map_err(failed)?;
            let y = limit + (top - limit) * (0.9 - 0.3 * (n % 3) as f64);
            let text = Text::new(label(act), (x, y), ("sans-serif", 11));
            chart.draw_series([text]).map_err(failed)?;
        }
        area.present().map_err(failed)?;
    }
    Ok(out)
}
