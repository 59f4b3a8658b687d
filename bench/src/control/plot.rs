//! Draws what the fleet spends and how soon it knows, by its size, as an SVG file.

use std::path::Path;

use eyre::eyre;
use indexmap::IndexMap;
use plotters::prelude::BLACK;
use plotters::prelude::ChartBuilder;
use plotters::prelude::Color;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::IntoLogRange;
use plotters::prelude::LineSeries;
use plotters::prelude::Palette;
use plotters::prelude::Palette99;
use plotters::prelude::PathElement;
use plotters::prelude::SVGBackend;
use plotters::prelude::SeriesLabelPosition;
use plotters::prelude::WHITE;
use sardinewood::numbers;

use crate::control::play::Report;
use crate::control::profile::Cost;

const SIZE: (u32, u32) = (1_280, 960);
const PANELS: (usize, usize) = (2, 2);
const CAPTION: (&str, u32) = ("sans-serif", 18);
const LABEL_AREA: u32 = 56;
const MARGIN: u32 = 14;
const LEGEND_LINE: i32 = 18;
const X_LABELS: usize = 5;
/// Room at the right, as a multiple of the largest fleet, for the names of the lines.
const LEGEND_ROOM: f64 = 12.0;

/// Lines of one panel by their names: entries of the fleet, and a value above 0.
pub type Lines = IndexMap<String, Vec<(f64, f64)>>;

/// One of the panels.
#[derive(Clone, Debug, Default)]
pub struct Panel {
    /// What it shows, with the unit.
    pub caption: &'static str,
    /// Its lines.
    pub lines: Lines,
}

impl Panel {
    fn new(caption: &'static str) -> Self {
        Self {
            caption,
            lines: Lines::new(),
        }
    }

    /// Adds a point. Both axes are logarithmic, so 0 is left out.
    fn add(&mut self, line: &str, entries: usize, value: f64) {
        if value > 0.0 {
            let line = self.lines.entry(line.to_owned()).or_default();
            line.push((numbers::as_f64(entries as u64), value));
        }
    }
}

/// Arranges the results in panels.
///
/// ```
/// use sardinewood_bench::control::plot::panels;
///
/// assert!(panels(&[], &[]).iter().all(|panel| panel.lines.is_empty()));
/// ```
#[must_use]
pub fn panels(costs: &[Cost], reports: &[Report]) -> Vec<Panel> {
    let mut time = Panel::new("processor time of one entry, ms a second, by purpose");
    for cost in costs {
        time.add(cost.purpose, cost.entries, cost.ms_per_s);
    }
    let mut bytes = Panel::new("bytes sent by one entry a second");
    let mut known = Panel::new("time until all have a change, ms");
    let mut lost = Panel::new("time until nobody counts a lost entry as live, ms");
    for report in reports {
        let [mean, busiest] = report.sent_bytes_per_s;
        let entries = report.entries;
        let name = |what: &str| format!("{}, {what}", report.scene);
        bytes.add(&name("mean"), entries, mean);
        bytes.add(&name("busiest"), entries, busiest);
        let ms = numbers::as_f64;
        known.add(&name("short"), entries, ms(report.short_change_ms));
        known.add(&name("long"), entries, ms(report.long_change_ms));
        if let Some(loss_known_ms) = report.loss_known_ms {
            lost.add(report.scene, entries, ms(loss_known_ms));
        }
    }
    vec![time, bytes, known, lost]
}

/// Draws panels into a file.
///
/// # Errors
///
/// The file can't be written.
pub fn draw(panels: &[Panel], file: &Path) -> eyre::Result<()> {
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    let failed = |error: &dyn std::error::Error| eyre!("can't draw {}: {error}", file.display());
    root.fill(&WHITE).map_err(|error| failed(&error))?;
    for (panel, area) in panels.iter().zip(root.split_evenly(PANELS)) {
        let points = || panel.lines.values().flatten();
        let Some((x, y)) = range(points().map(|(x, _)| *x)).zip(range(points().map(|(_, y)| *y)))
        else {
            continue;
        };
        let mut chart = ChartBuilder::on(&area)
            .caption(panel.caption, CAPTION)
            .margin(MARGIN)
            .x_label_area_size(LABEL_AREA)
            .y_label_area_size(LABEL_AREA)
            .build_cartesian_2d((x.0..x.1 * LEGEND_ROOM).log_scale(), (y.0..y.1).log_scale())
            .map_err(|error| failed(&error))?;
        chart
            .configure_mesh()
            .x_desc("entries")
            .x_labels(X_LABELS)
            .x_label_formatter(&|entries| format!("{entries:.0}"))
            .y_label_formatter(&|value| format!("{value}"))
            .draw()
            .map_err(|error| failed(&error))?;
        for (number, (name, line)) in panel.lines.iter().enumerate() {
            let colour = Palette99::pick(number).to_rgba();
            chart
                .draw_series(LineSeries::new(
                    line.iter().copied(),
                    colour.stroke_width(2),
                ))
                .map_err(|error| failed(&error))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LINE, y)], colour));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::MiddleRight)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()
            .map_err(|error| failed(&error))?;
    }
    root.present().map_err(|error| failed(&error))
}

/// The range of some values with room at both ends; none if there are none.
fn range(values: impl Iterator<Item = f64>) -> Option<(f64, f64)> {
    let bounds = values.fold(None, |bounds: Option<(f64, f64)>, value| {
        let (least, most) = bounds.unwrap_or((value, value));
        Some((least.min(value), most.max(value)))
    });
    bounds.map(|(least, most)| (least / 1.5, most * 1.5))
}
