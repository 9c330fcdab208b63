//! `shedctl report`: HTML page with tables and plots of experiment results.

use std::fmt::Write as _;
use std::path::Path;

use anyhow::{Context as _, Result, anyhow};
use plotters::prelude::*;
use serde::Deserialize;

use crate::arguments;

/// Width and height of one plot in pixels.
const PLOT_SIZE: (u32, u32) = (760, 60);

/// Results of one experiment.
#[derive(Debug)]
#[derive(Deserialize)]
struct Experiment {
    seed: u64,
    measures: Vec<Measure>,
}

/// One measured value and its target.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct Measure {
    name: String,
    unit: String,
    naive: Option<f64>,
    ours: f64,
    target: String,
    holds: Option<bool>,
}

/// Writes an HTML page with the results in the given files.
pub fn write(arguments: &[String]) -> Result<()> {
    let mut options = arguments::options();
    options.optopt("o", "output", "page to write (report.html)", "FILE");
    options.optopt(
        "",
        "before",
        "folder with earlier results to compare",
        "FOLDER",
    );
    let brief = "report FILE... [--output FILE] [--before FOLDER]";
    let Some(matches) = arguments::parse(&options, brief, arguments)? else {
        return Ok(());
    };
    arguments::positional(&matches, 0, "FILE")?;
    let mut page = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">\
         <title>cardamomshed experiments</title>\
         <style>body{font-family:sans-serif;max-width:60em;margin:2em auto}\
         table{border-collapse:collapse}td,th{padding:.2em .6em;text-align:right}\
         td:first-child{text-align:left}.no{color:#b00}</style>\
         <h1>Experiments</h1><p>Bars: naive grey, earlier light, ours dark.</p>",
    );
    for file in &matches.free {
        let path = Path::new(file);
        let before = matches
            .opt_str("before")
            .zip(path.file_name())
            .and_then(|(directory, name)| read(&Path::new(&directory).join(name)).ok());
        section(&mut page, path, &read(path)?, before.as_ref())?;
    }
    page.push_str("</html>\n");
    let output = matches
        .opt_str("output")
        .unwrap_or_else(|| "report.html".to_owned());
    std::fs::write(&output, page).with_context(|| output.clone())?;
    println!("{output}: written");
    Ok(())
}

fn read(path: &Path) -> Result<Experiment> {
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    serde_json::from_str(&text).with_context(|| path.display().to_string())
}

/// Appends the results of one experiment, with those of an earlier run if
/// given.
fn section(
    page: &mut String,
    path: &Path,
    experiment: &Experiment,
    before: Option<&Experiment>,
) -> Result<()> {
    let name = path.file_stem().unwrap_or_default().to_string_lossy();
    write!(
        page,
        "<h2>{}</h2><p>seed {}</p><table><tr><th>measure<th>unit<th>naive<th>earlier\
         <th>ours<th>target<th>holds</tr>",
        escape(&name),
        experiment.seed
    )?;
    for measure in &experiment.measures {
        let earlier = before.and_then(|before| {
            let counterpart = before
                .measures
                .iter()
                .find(|other| other.name == measure.name);
            counterpart.map(|other| other.ours)
        });
        let holds = match measure.holds {
            Some(true) => "<td>yes",
            Some(false) => "<td class=\"no\">no",
            None => "<td>",
        };
        write!(
            page,
            "<tr><td>{}<td>{}<td>{}<td>{}<td>{:.4}<td>{}{holds}</tr><tr><td colspan=7>{}</tr>",
            escape(&measure.name),
            escape(&measure.unit),
            format_value(measure.naive),
            format_value(earlier),
            measure.ours,
            escape(&measure.target),
            plot(measure, earlier)?
        )?;
    }
    page.push_str("</table>");
    Ok(())
}

fn format_value(value: Option<f64>) -> String {
    value.map_or_else(String::new, |value| format!("{value:.4}"))
}

/// Escapes text for HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

/// Draws bars of the naive, earlier and current values on a common scale, as
/// SVG.
fn plot(measure: &Measure, earlier: Option<f64>) -> Result<String> {
    let bars = [
        (measure.naive, RGBColor(170, 170, 170)),
        (earlier, RGBColor(140, 190, 220)),
        (Some(measure.ours), RGBColor(20, 80, 140)),
    ];
    let max = bars
        .iter()
        .filter_map(|(value, _)| *value)
        .fold(f64::MIN_POSITIVE, f64::max);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        let plot_error = |error: String| anyhow!("plot of {}: {error}", measure.name);
        for (top, (value, colour)) in (4..).step_by(18).zip(bars) {
            let Some(value) = value else {
                continue;
            };
            let width = (value / max * f64::from(PLOT_SIZE.0 - 10)).max(1.0) as i32;
            let bar = Rectangle::new([(0, top), (width, top + 14)], colour.filled());
            area.draw(&bar)
                .map_err(|error| plot_error(error.to_string()))?;
        }
        area.present()
            .map_err(|error| plot_error(error.to_string()))?;
    }
    Ok(svg)
}
