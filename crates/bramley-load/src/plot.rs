//! SVG plots of reports.

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, IntoLogRange, LineSeries, Palette, Palette99,
    PathElement, SVGBackend, WHITE,
};

use crate::report::RunReport;

/// Labels of the quantiles on the horizontal axis; each position adds one nine.
const QUANTILE_NAMES: [&str; 4] = ["p50", "p90", "p99", "p99.9"];

/// Width and height of the image in pixels.
const IMAGE_SIZE: (u32, u32) = (900, 600);

/// Plots response time divided by the ideal response time at each quantile, one line per workload.
///
/// # Errors
///
/// Returns the error message of the plotting library if drawing fails.
pub fn draw_reports(reports: &[RunReport]) -> Result<String, String> {
    let mut svg = String::new();
    draw(&mut svg, reports).map_err(|error| error.to_string())?;
    Ok(svg)
}

fn draw(svg: &mut String, reports: &[RunReport]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::with_string(svg, IMAGE_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let max_ratio = reports
        .iter()
        .flat_map(|report| &report.rows)
        .map(|row| row.p999)
        .fold(2.0, f64::max);
    let caption = reports
        .first()
        .map_or("", |report| report.scenario.as_str());
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..3.0, (0.9..max_ratio * 1.1).log_scale())?;
    let label_of = |position: &f64| {
        let name = QUANTILE_NAMES.get(position.round() as usize);
        name.map_or_else(String::new, |name| (*name).to_owned())
    };
    chart
        .configure_mesh()
        .x_labels(QUANTILE_NAMES.len())
        .x_label_formatter(&label_of)
        .y_desc("response / ideal")
        .draw()?;
    let rows = reports
        .iter()
        .flat_map(|report| report.rows.iter().map(move |row| (report, row)));
    for (number, (report, row)) in rows.enumerate() {
        let points = [row.p50, row.p90, row.p99, row.p999];
        let series = points
            .into_iter()
            .enumerate()
            .map(|(position, value)| (position as f64, value.max(0.9)));
        let style = Palette99::pick(number).stroke_width(2);
        chart
            .draw_series(LineSeries::new(series, style))?
            .label(format!("{} {}/{}", report.policy, row.team, row.class))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], style));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .draw()?;
    area.present()?;
    Ok(())
}
