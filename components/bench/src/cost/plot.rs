//! Plots the latencies of the rounds of `gyard-bench cost`.

use super::Round;
use plotters::prelude::*;
use std::path::Path;

/// Size of the plot in pixels.
const SIZE: (u32, u32) = (720, 360);

/// Writes an SVG with p50 and p99 of direct and of routed calls for each round.
pub(crate) fn write(path: &Path, rounds: &[Round]) -> Result<(), String> {
    draw(path, rounds).map_err(|error| error.to_string())
}

/// Label, color and value of one line of the plot.
type Line = (&'static str, RGBColor, fn(&Round) -> u64);

fn draw(path: &Path, rounds: &[Round]) -> Result<(), Box<dyn std::error::Error>> {
    let lines: [Line; 4] = [
        ("direct p50", BLUE, |round| round.direct_p50_us),
        ("direct p99", CYAN, |round| round.direct_p99_us),
        ("two nodes p50", RED, |round| round.nodes_p50_us),
        ("two nodes p99", MAGENTA, |round| round.nodes_p99_us),
    ];
    let top = rounds
        .iter()
        .map(|r| r.nodes_p99_us.max(r.direct_p99_us))
        .max()
        .unwrap_or(1);
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("Latency of a call in us, by round", ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0..rounds.len().max(2) - 1, 0..top * 11 / 10)?;
    chart.configure_mesh().disable_x_mesh().draw()?;
    for (label, color, value) in lines {
        let points = rounds
            .iter()
            .enumerate()
            .map(|(index, round)| (index, value(round)));
        chart
            .draw_series(LineSeries::new(points, &color))?
            .label(label)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
