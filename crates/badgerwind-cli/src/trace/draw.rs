//! Draws the timeline of a call as SVG, with one row for each request at a front end, each attempt, and each
//! attempt's time at its runner.

use super::read::{Event, Kind};
use plotters::prelude::*;

/// What a bar represents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BarKind {
    /// Waiting at the front end, with no attempt in flight.
    Waiting,
    /// An attempt that succeeded.
    Succeeded,
    /// An attempt that never ran: `full`, `miss` or a failed connection.
    NeverRan,
    /// An attempt that may have run.
    InDoubt,
    /// Time at the runner, queued or executing.
    AtRunner,
}

/// A bar of the chart; times are in microseconds since the first event.
#[derive(Clone, Debug, PartialEq)]
pub struct Bar {
    /// Index of its row.
    pub row: usize,
    /// Start.
    pub from: u64,
    /// End.
    pub to: u64,
    /// What the bar represents.
    pub kind: BarKind,
}

/// Rows and bars of a call's timeline.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Chart {
    /// Names of the rows, from top to bottom.
    pub rows: Vec<String>,
    /// The bars of all rows.
    pub bars: Vec<Bar>,
    /// Time from the first event to the last, in microseconds.
    pub length: u64,
}

fn bar_kind(outcome: &str) -> BarKind {
    match outcome {
        "ok" => BarKind::Succeeded,
        "full" | "miss" | "connect_failed" => BarKind::NeverRan,
        _ => BarKind::InDoubt,
    }
}

impl Chart {
    /// Index of the row of that name, which is added if missing.
    fn row(&mut self, name: String) -> usize {
        if let Some(n) = self.rows.iter().position(|r| *r == name) {
            return n;
        }
        self.rows.push(name);
        self.rows.len() - 1
    }

    /// Lays out events, which must be in order of time. A bar without an end event extends to the last event:
    /// its front end or runner was killed, or the end is in none of the given logs.
    pub fn from_events(events: &[Event]) -> Chart {
        let mut chart = Chart::default();
        let Some(first) = events.first() else { return chart };
        let start = first.at;
        chart.length = events.last().map_or(0, |e| e.at - start).max(1);
        for (n, e) in events.iter().enumerate() {
            let (at, later) = (e.at - start, &events[n + 1..]);
            let same = |x: &&Event| x.request == e.request;
            let until = |found: Option<&Event>| found.map_or(chart.length, |x| x.at - start);
            match &e.kind {
                Kind::Accepted { .. } | Kind::Ended { .. } => {
                    // The call waits until the next attempt is sent or the answer is given.
                    let ends = |x: &&Event| matches!(x.kind, Kind::Attempt { .. } | Kind::Answered { .. });
                    let to = until(later.iter().filter(same).find(ends));
                    let row = chart.row(format!("{} at {}", e.request, e.source));
                    chart.bars.push(Bar { row, from: at, to, kind: BarKind::Waiting });
                }
                Kind::Attempt { attempt, worker, .. } => {
                    let ends = |x: &&Event| matches!(&x.kind, Kind::Ended { attempt: a, .. } if a == attempt);
                    let end = later.iter().filter(same).find(ends);
                    let kind = match end.map(|e| &e.kind) {
                        Some(Kind::Ended { outcome, .. }) => bar_kind(outcome),
                        _ => BarKind::InDoubt,
                    };
                    let to = until(end);
                    let row = chart.row(format!("attempt {attempt} of {} to runner {worker}", e.request));
                    chart.bars.push(Bar { row, from: at, to, kind });
                }
                Kind::Runner { runner, attempt, action } if action == "arrived" => {
                    let ends = |x: &&Event| match &x.kind {
                        Kind::Runner { runner: r, attempt: a, action } => {
                            r == runner
                                && a == attempt
                                && (action == "finished" || action == "left" || action.starts_with("replied"))
                        }
                        _ => false,
                    };
                    let to = until(later.iter().filter(same).find(ends));
                    let row = chart.row(format!("runner {runner} on {}/{attempt}", e.request));
                    chart.bars.push(Bar { row, from: at, to, kind: BarKind::AtRunner });
                }
                _ => {}
            }
        }
        chart
    }

    /// Renders the chart as SVG.
    pub fn svg(&self, title: &str) -> Result<String, String> {
        let mut out = String::new();
        let rows = self.rows.len().max(1);
        let height = 110 + 34 * rows as u32;
        {
            let to_text = |e: DrawingAreaErrorKind<std::io::Error>| e.to_string();
            let area = SVGBackend::with_string(&mut out, (1000, height)).into_drawing_area();
            area.fill(&WHITE).map_err(to_text)?;
            let length = self.length as f64 / 1e3;
            let mut chart = ChartBuilder::on(&area)
                .caption(title, ("sans-serif", 18))
                .margin(12)
                .x_label_area_size(36)
                .y_label_area_size(300)
                .build_cartesian_2d(0.0..length * 1.02, 0.0..rows as f64)
                .map_err(to_text)?;
            let name = |y: &f64| {
                let row = rows as f64 - y - 0.5;
                match row >= 0.0 && row.fract().abs() < 1e-6 {
                    true => self.rows.get(row as usize).cloned().unwrap_or_default(),
                    false => String::new(),
                }
            };
            chart
                .configure_mesh()
                .disable_y_mesh()
                .y_labels(2 * rows + 1)
                .y_label_formatter(&name)
                .x_desc("milliseconds since the first event")
                .draw()
                .map_err(to_text)?;
            for bar in &self.bars {
                let top = (rows - bar.row) as f64;
                let color = match bar.kind {
                    BarKind::Waiting => RGBColor(190, 190, 190),
                    BarKind::Succeeded => RGBColor(60, 140, 80),
                    BarKind::NeverRan => RGBColor(230, 170, 50),
                    BarKind::InDoubt => RGBColor(190, 60, 50),
                    BarKind::AtRunner => RGBColor(70, 110, 190),
                };
                // Bars without a duration are drawn as thin lines.
                let to = (bar.to as f64).max(bar.from as f64 + self.length as f64 / 500.0) / 1e3;
                let corners = [(bar.from as f64 / 1e3, top - 0.2), (to, top - 0.8)];
                chart.draw_series([Rectangle::new(corners, color.filled())]).map_err(to_text)?;
            }
            area.present().map_err(to_text)?;
        }
        Ok(out)
    }
}
