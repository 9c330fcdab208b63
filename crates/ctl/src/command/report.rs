//! `shedctl report`: experiment results as a page with plots.

use std::fmt::Write as _;
use std::path::Path;

use anyhow::{Context as _, Result, anyhow};
use plotters::prelude::*;
use serde::Deserialize;

use crate::arguments;

/// Size of one plot in pixels.
const PLOT: (u32, u32) = (760, 60);

/// Results of one experiment.
#[derive(Debug)]
#[derive(Deserialize)]
struct Experiment {
    seed: u64,
    measures: Vec<Measure>,
}

/// One figure.
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

/// Writes one HTML page from the results in the named files.
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
    arguments::free(&matches, 0, "FILE")?;
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
            .and_then(|(folder, name)| read(&Path::new(&folder).join(name)).ok());
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
            let same = before
                .measures
                .iter()
                .find(|other| other.name == measure.name);
            same.map(|other| other.ours)
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
            figure(measure.naive),
            figure(earlier),
            measure.ours,
            escape(&measure.target),
            plot(measure, earlier)?
        )?;
    }
    page.push_str("</table>");
    Ok(())
}

fn figure(value: Option<f64>) -> String {
    value.map_or_else(String::new, |value| format!("{value:.4}"))
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

/// Bars of the naive, earlier and present figures on one scale.
fn plot(measure: &Measure, earlier: Option<f64>) -> Result<String> {
    let bars = [
        (measure.naive, RGBColor(170, 170, 170)),
        (earlier, RGBColor(140, 190, 220)),
        (Some(measure.ours), RGBColor(20, 80, 140)),
    ];
    let most = bars
        .iter()
        .filter_map(|(value, _)| *value)
        .fold(f64::MIN_POSITIVE, f64::max);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT).into_drawing_area();
        let failed = |error: String| anyhow!("plot of {}: {error}", measure.name);
        for (top, (value, colour)) in (4..).step_by(18).zip(bars) {
            let Some(value) = value else {
                continue;
            };
            let width = (value / most * f64::from(PLOT.0 - 10)).max(1.0) as i32;
            let bar = Rectangle::new([(0, top), (width, top + 14)], colour.filled());
            area.draw(&bar).map_err(|error| failed(error.to_string()))?;
        }
        area.present().map_err(|error| failed(error.to_string()))?;
    }
    Ok(svg)
}
