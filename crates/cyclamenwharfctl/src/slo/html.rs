//! Renders the report as a self-contained HTML page.

use std::fmt::Write;

use cw_policy::slo::Condition;
use cw_policy::slo::Window;
use plotters::prelude::*;

use super::Report;
use super::SloError;
use super::report::Row;
use super::report::format_percent;
use super::report::format_rate;

/// The size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (560, 220);

const STYLE: &str = "body{font:15px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:76rem;\
padding:0 1rem;color:#1c2733;background:#fff}h1{font-size:1.5rem;margin-bottom:.2rem}\
h2{font-size:1.1rem;margin:2rem 0 .5rem}table{border-collapse:collapse;width:100%}\
th,td{padding:.35rem .6rem;text-align:right;border-bottom:1px solid #e3e8ee}\
th:nth-child(-n+3),td:nth-child(-n+3){text-align:left}th{color:#5b6b7b;font-weight:600}\
.ok{color:#1a7f4b}.ticket{color:#9a6700;font-weight:600}.page{color:#b42318;font-weight:700}\
.no_data{color:#8795a3}.plots{display:flex;flex-wrap:wrap;gap:1rem}figure{margin:0}\
figcaption{font-weight:600;margin:.3rem 0}p.note{color:#5b6b7b;margin:.2rem 0}\
svg{max-width:100%;height:auto}";

/// Returns the HTML of the page.
///
/// # Errors
///
/// Fails if a plot cannot be drawn.
pub(crate) fn render(report: &Report) -> Result<String, SloError> {
    let mut body = String::new();
    write_summary(&mut body, report);
    write_table(&mut body, report);
    body.push_str("<h2>Burn rate by window</h2><div class=\"plots\">");
    for row in &report.rows {
        let plot = render_plot(row).map_err(|message| SloError::Draw { message })?;
        let title = plot_title(row);
        append(
            &mut body,
            format_args!("<figure><figcaption>{title}</figcaption>{plot}</figure>"),
        );
    }
    body.push_str("</div>");
    Ok(format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>Service-level burn</title><style>{STYLE}</style></head><body>{body}</body></html>"
    ))
}

fn append(out: &mut String, text: std::fmt::Arguments<'_>) {
    // Writing to a string never fails.
    let _ = out.write_fmt(text);
}

fn plot_title(row: &Row) -> String {
    format!(
        "{} · {} · {}",
        row.class.route, row.class.priority, row.objective
    )
}

fn write_summary(out: &mut String, report: &Report) {
    let worst = report.rows.iter().map(|row| row.condition).max();
    let worst = worst.unwrap_or(Condition::NoData);
    append(
        out,
        format_args!(
            "<h1>Service-level burn</h1><p>Entries read: {}. Worst condition: \
             <span class=\"{}\">{worst}</span>. A rate of 1 spends the error budget exactly in \
             its period.</p>",
            report.read,
            css_class(worst)
        ),
    );
    for remark in report.remarks() {
        append(out, format_args!("<p class=\"note\">{remark}</p>"));
    }
}

fn css_class(condition: Condition) -> &'static str {
    match condition {
        Condition::NoData => "no_data",
        Condition::Ok => "ok",
        Condition::Ticket => "ticket",
        Condition::Page => "page",
    }
}

fn write_table(out: &mut String, report: &Report) {
    out.push_str("<table><tr><th>Route</th><th>Priority</th><th>Objective</th>");
    for window in Window::ALL {
        append(out, format_args!("<th>{window}</th>"));
    }
    out.push_str("<th>Budget left</th><th>Condition</th></tr>");
    for row in &report.rows {
        append(
            out,
            format_args!(
                "<tr><td>{}</td><td>{}</td><td>{}</td>",
                row.class.route, row.class.priority, row.objective
            ),
        );
        for window in Window::ALL {
            append(
                out,
                format_args!("<td>{}</td>", format_rate(&row.burn, window)),
            );
        }
        append(
            out,
            format_args!(
                "<td>{}</td><td class=\"{}\">{}</td></tr>",
                format_percent(row.burn.budget_left()),
                css_class(row.condition),
                row.condition
            ),
        );
    }
    out.push_str("</table>");
}

fn render_plot(row: &Row) -> Result<String, String> {
    let mut svg = String::new();
    let rates = Window::ALL.map(|window| row.burn.rate(window).unwrap_or(0.0));
    let y_max = rates.into_iter().fold(1.5, f64::max) * 1.25;
    draw_plot(&mut svg, rates, y_max).map_err(|error| error.to_string())?;
    Ok(svg)
}

fn draw_plot(
    svg: &mut String,
    rates: [f64; 4],
    y_max: f64,
) -> Result<(), Box<dyn std::error::Error + '_>> {
    let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    let mut chart = ChartBuilder::on(&area)
        .margin(8)
        .x_label_area_size(26)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..4.0, 0.0..y_max)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .light_line_style(WHITE)
        .x_labels(0)
        .y_labels(5)
        .y_desc("burn rate")
        .label_style(("sans-serif", 12))
        .draw()?;
    let bar = |index: usize, rate: f64| {
        let color = if rate > 1.0 {
            RGBColor(180, 35, 24)
        } else {
            RGBColor(52, 118, 190)
        };
        let left = index as f64;
        Rectangle::new([(left + 0.2, 0.0), (left + 0.8, rate)], color.filled())
    };
    chart.draw_series(rates.into_iter().enumerate().map(|(i, rate)| bar(i, rate)))?;
    let budget_line = LineSeries::new([(0.0, 1.0), (4.0, 1.0)], RGBColor(154, 103, 0));
    chart.draw_series(budget_line)?;
    let label = |(index, window): (usize, Window)| {
        let position = (index as f64 + 0.42, y_max * 0.96);
        Text::new(window.as_str(), position, ("sans-serif", 12))
    };
    chart.draw_series(Window::ALL.into_iter().enumerate().map(label))?;
    area.present()?;
    Ok(())
}
