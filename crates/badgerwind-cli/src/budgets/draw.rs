//! A picture of who owned how much over a day, from the members' records: each member a layer, what befell them as lines.

use super::schedule::{Act, Schedule};
use badgerwind_check::budgets::{owned_over_time, Line};
use plotters::prelude::*;

/// Between two looks at the records, in microseconds.
const LOOK: u64 = 50_000;

fn told(act: &Act) -> String {
    let some = |who: &[u16]| match who {
        [one] => format!("{one}"),
        who => format!("{} of them", who.len()),
    };
    match act {
        Act::Kill { who } => format!("kill {}", some(who)),
        Act::Start { who } => format!("start {}", some(who)),
        Act::Stop { who } => format!("stop {}", some(who)),
        Act::Go { who } => format!("go on {}", some(who)),
        Act::Cut { from, to } => format!("cut {} to {}", some(from), some(to)),
        Act::Heal => "heal".into(),
        Act::Whole { units } => format!("whole {units}"),
    }
}

/// Draws it.
pub fn svg(schedule: &Schedule, lines: &[Line]) -> Result<String, String> {
    let layers = owned_over_time(lines, LOOK);
    let looks = layers.values().map(Vec::len).max().unwrap_or(0);
    let seconds = looks as f64 * LOOK as f64 / 1e6;
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
        let mut below = vec![0.0; looks];
        for (n, (member, owned)) in layers.iter().enumerate() {
            let color = HSLColor(n as f64 / layers.len().max(1) as f64, 0.5, 0.62);
            for (look, units) in owned.iter().enumerate().filter(|(_, units)| **units > 0) {
                let (x, y) = (look as f64 * LOOK as f64 / 1e6, below[look]);
                let corners = [(x, y), (x + LOOK as f64 / 1e6, y + *units as f64)];
                chart.draw_series([Rectangle::new(corners, color.filled())]).map_err(failed)?;
                below[look] += *units as f64;
            }
            // Beside its layer at the day's first third, where it is broad enough to be read.
            let look = looks / 3;
            if let Some(units) = owned.get(look).filter(|u| **u as f64 * 30.0 > top) {
                let at = (look as f64 * LOOK as f64 / 1e6, below[look] - *units as f64 / 3.0);
                let text = Text::new(member.to_string(), at, ("sans-serif", 11));
                chart.draw_series([text]).map_err(failed)?;
            }
        }
        let whole = f64::from(schedule.units);
        let line = PathElement::new(vec![(0.0, whole), (seconds, whole)], BLACK.stroke_width(2));
        chart.draw_series([line]).map_err(failed)?;
        for (n, (at, act)) in schedule.acts.iter().enumerate() {
            let x = *at as f64 / 1e3;
            let mark = PathElement::new(vec![(x, 0.0), (x, top)], BLACK.mix(0.5));
            chart.draw_series([mark]).map_err(failed)?;
            let y = whole + (top - whole) * (0.9 - 0.3 * (n % 3) as f64);
            let text = Text::new(told(act), (x, y), ("sans-serif", 11));
            chart.draw_series([text]).map_err(failed)?;
        }
        area.present().map_err(failed)?;
    }
    Ok(out)
}
