//! A call's path as a picture: one row for each request at a front end, each attempt, and each attempt's stay at its
//! runner, over time. SVG by plotters.

use super::read::{Event, Kind};
use plotters::prelude::*;

/// What a row shows of its span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shade {
    /// Held at the front end, with no attempt out.
    Held,
    /// Out, and it ended well.
    Good,
    /// Out, and it never ran: `full`, `miss`, no connection.
    Never,
    /// Out, and it may have run.
    Doubt,
    /// With a runner, waiting there or at work.
    Work,
}

/// A bar: row, span in microseconds since the first event, shade.
#[derive(Clone, Debug, PartialEq)]
pub struct Bar {
    /// Its row.
    pub row: usize,
    /// From when.
    pub from: u64,
    /// Until when.
    pub to: u64,
    /// What it shows.
    pub shade: Shade,
}

/// The rows' names and the bars of a path.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Chart {
    /// From top to bottom.
    pub rows: Vec<String>,
    /// In the rows.
    pub bars: Vec<Bar>,
    /// Microseconds from the first event to the last.
    pub length: u64,
}

fn shade(outcome: &str) -> Shade {
    match outcome {
        "ok" => Shade::Good,
        "full" | "miss" | "connect_failed" => Shade::Never,
        _ => Shade::Doubt,
    }
}

impl Chart {
    fn row(&mut self, name: String) -> usize {
        if let Some(n) = self.rows.iter().position(|r| *r == name) {
            return n;
        }
        self.rows.push(name);
        self.rows.len() - 1
    }

    /// Lays events out; they are in the order of their times. What has no end lasts to the last event: its front
    /// end or runner was killed, or its end is in no log given.
    pub fn of(events: &[Event]) -> Chart {
        let mut chart = Chart::default();
        let Some(first) = events.first() else { return chart };
        let start = first.at;
        chart.length = events.last().map_or(0, |e| e.at - start).max(1);
        for (n, e) in events.iter().enumerate() {
            let (at, later) = (e.at - start, &events[n + 1..]);
            let same = |x: &&Event| x.request == e.request;
            let until = |found: Option<&Event>| found.map_or(chart.length, |x| x.at - start);
            match &e.kind {
                Kind::Taken { .. } | Kind::Ended { .. } => {
                    // Held until the next attempt goes out or the answer comes.
                    let ends = |x: &&Event| matches!(x.kind, Kind::Attempt { .. } | Kind::Answered { .. });
                    let to = until(later.iter().filter(same).find(ends));
                    let row = chart.row(format!("{} at {}", e.request, e.place));
                    chart.bars.push(Bar { row, from: at, to, shade: Shade::Held });
                }
                Kind::Attempt { attempt, worker, .. } => {
                    let ends = |x: &&Event| matches!(&x.kind, Kind::Ended { attempt: a, .. } if a == attempt);
                    let end = later.iter().filter(same).find(ends);
                    let shade = match end.map(|e| &e.kind) {
                        Some(Kind::Ended { outcome, .. }) => shade(outcome),
                        _ => Shade::Doubt,
                    };
                    let to = until(end);
                    let row = chart.row(format!("attempt {attempt} of {} to runner {worker}", e.request));
                    chart.bars.push(Bar { row, from: at, to, shade });
                }
                Kind::Runner { runner, attempt, did } if did == "arrived" => {
                    let ends = |x: &&Event| match &x.kind {
                        Kind::Runner { runner: r, attempt: a, did } => {
                            r == runner
                                && a == attempt
                                && (did == "finished" || did == "left" || did.starts_with("replied"))
                        }
                        _ => false,
                    };
                    let to = until(later.iter().filter(same).find(ends));
                    let row = chart.row(format!("runner {runner} on {}/{attempt}", e.request));
                    chart.bars.push(Bar { row, from: at, to, shade: Shade::Work });
                }
                _ => {}
            }
        }
        chart
    }

    /// Draws it.
    pub fn svg(&self, title: &str) -> Result<String, String> {
        let mut out = String::new();
        let rows = self.rows.len().max(1);
        let height = 110 + 34 * rows as u32;
        {
            let told = |e: DrawingAreaErrorKind<std::io::Error>| e.to_string();
            let area = SVGBackend::with_string(&mut out, (1000, height)).into_drawing_area();
            area.fill(&WHITE).map_err(told)?;
            let length = self.length as f64 / 1e3;
            let mut chart = ChartBuilder::on(&area)
                .caption(title, ("sans-serif", 18))
                .margin(12)
                .x_label_area_size(36)
                .y_label_area_size(300)
                .build_cartesian_2d(0.0..length * 1.02, 0.0..rows as f64)
                .map_err(told)?;
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
                .map_err(told)?;
            for bar in &self.bars {
                let top = (rows - bar.row) as f64;
                let color = match bar.shade {
                    Shade::Held => RGBColor(190, 190, 190),
                    Shade::Good => RGBColor(60, 140, 80),
                    Shade::Never => RGBColor(230, 170, 50),
                    Shade::Doubt => RGBColor(190, 60, 50),
                    Shade::Work => RGBColor(70, 110, 190),
                };
                // A moment still shows as a line.
                let to = (bar.to as f64).max(bar.from as f64 + self.length as f64 / 500.0) / 1e3;
                let corners = [(bar.from as f64 / 1e3, top - 0.2), (to, top - 0.8)];
                chart.draw_series([Rectangle::new(corners, color.filled())]).map_err(told)?;
            }
            area.present().map_err(told)?;
        }
        Ok(out)
    }
}
