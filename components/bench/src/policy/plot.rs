//! Plots p99 by policy, scenario and load as SVG.

use super::report::{Report, Row};
use plotters::{
    backend::SVGBackend,
    coord::Shift,
    drawing::{DrawingArea, IntoDrawingArea},
    element::{Rectangle, Text},
    style::{Color, IntoFont, Palette, Palette99, WHITE},
};
use std::error::Error;

/// Height of one bar with its gap, in pixels.
const ROW_HEIGHT: i32 = 18;
/// Width of the column of names, in pixels.
const NAME_WIDTH: i32 = 300;
/// Width of a bar at `FULL_MS`, the deadline, in pixels.
const BAR_WIDTH: i32 = 600;
/// Width of the space for the values after the bars, in pixels.
const VALUE_WIDTH: i32 = 120;
/// Latency in milliseconds of the longest bar; the scale is logarithmic from 1 ms.
const FULL_MS: f64 = 1_000.0;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Draws one bar per row of the report with the median p99 over the seeds.
pub(crate) fn write(report: &Report, path: &str) -> Result<(), Box<dyn Error>> {
    let height = ROW_HEIGHT * (report.rows.len() as i32 + 1);
    let width = NAME_WIDTH + BAR_WIDTH + VALUE_WIDTH;
    let area = SVGBackend::new(path, (width as u32, height as u32)).into_drawing_area();
    area.fill(&WHITE)?;
    let title = "p99 in ms, median over seeds, logarithmic scale";
    write_text(&area, title.to_owned(), (NAME_WIDTH, 2))?;
    let mut policies: Vec<&str> = report.rows.iter().map(|row| row.policy).collect();
    policies.sort_unstable();
    policies.dedup();
    for (row, y) in report
        .rows
        .iter()
        .zip((ROW_HEIGHT..).step_by(ROW_HEIGHT as usize))
    {
        let color = policies
            .iter()
            .position(|policy| *policy == row.policy)
            .unwrap_or(0);
        write_bar(&area, row, color, y)?;
    }
    area.present()?;
    Ok(())
}

fn write_bar(area: &Area, row: &Row, color: usize, y: i32) -> Result<(), Box<dyn Error>> {
    let p99_ms = row.median.p99_ms;
    let share = (p99_ms.max(1.0).ln() / FULL_MS.ln()).min(1.0);
    let end = NAME_WIDTH + (share * f64::from(BAR_WIDTH)) as i32;
    let corners = [(NAME_WIDTH, y + 2), (end, y + ROW_HEIGHT - 2)];
    area.draw(&Rectangle::new(corners, Palette99::pick(color).filled()))?;
    let name = format!("{} {} % {}", row.scenario, row.load, row.policy);
    write_text(area, name, (4, y + 2))?;
    write_text(area, format!("{p99_ms:.1}"), (end + 4, y + 2))
}

fn write_text(area: &Area, text: String, at: (i32, i32)) -> Result<(), Box<dyn Error>> {
    area.draw(&Text::new(text, at, ("sans-serif", 12).into_font()))?;
    Ok(())
}
