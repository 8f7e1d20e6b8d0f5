/*!
Reports: a JSON file, and an HTML page with bar charts.
*/

use {
    super::{Result, WriteSnafu, outcome::Measured},
    serde_json::json,
    snafu::ResultExt,
    std::{collections::BTreeSet, fmt::Write, fs, path::Path},
};

/// A figure shown as a bar chart.
struct Figure {
    title: &'static str,
    value: fn(&Measured) -> f64,
}

const FIGURES: [Figure; 7] = [
    Figure {
        title: "First token, 99th percentile, ms",
        value: |run| run.first_ms[1],
    },
    Figure {
        title: "Between tokens, 99th percentile, ms",
        value: |run| run.gap_ms[1],
    },
    Figure {
        title: "Batch tokens of what online leaves",
        value: |run| run.batch_share,
    },
    Figure {
        title: "Worst customer over median",
        value: |run| run.worst_over_median,
    },
    Figure {
        title: "Wrongful refusals",
        value: |run| run.wrongful,
    },
    Figure {
        title: "Admitted beyond rate and burst",
        value: over_admitted,
    },
    Figure {
        title: "Prefix hits",
        value: |run| run.prefix_hits,
    },
];

#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn over_admitted(run: &Measured) -> f64 {
    run.over_admitted as f64
}

/// Returns minimum, median and maximum of a figure over the rounds.
fn min_median_max(runs: &[&Measured], value: fn(&Measured) -> f64) -> Option<[f64; 3]> {
    let mut values: Vec<f64> = runs
        .iter()
        .map(|run| value(run))
        .filter(|v| v.is_finite())
        .collect();
    values.sort_by(f64::total_cmp);
    Some([*values.first()?, values[values.len() / 2], *values.last()?])
}

fn runs_of<'a>(all: &'a [Measured], shape: &str, policy: &str) -> Vec<&'a Measured> {
    all.iter()
        .filter(|run| run.shape == shape && run.policy == policy)
        .collect()
}

/// Writes `measured.json` and `report.html`, and prints the ratios.
///
/// # Errors
///
/// Returns an error if the files can't be written.
pub fn write(out: &Path, all: &[Measured]) -> Result<()> {
    fs::create_dir_all(out).context(WriteSnafu)?;
    let ratios = ratios(all);
    let body = json!({"runs": all, "ratios": ratios});
    fs::write(out.join("measured.json"), format!("{body:#}\n")).context(WriteSnafu)?;
    fs::write(out.join("report.html"), page(all)).context(WriteSnafu)?;
    for line in &ratios {
        println!("{line}");
    }
    println!("report: {}", out.join("report.html").display());
    Ok(())
}

/// Returns, for each other policy and figure, the median and range over the
/// rounds of the ratio of `cicadagate` to that policy in the same round.
fn ratios(all: &[Measured]) -> Vec<String> {
    let mut lines = Vec::new();
    let names: BTreeSet<(&str, &str)> = all
        .iter()
        .map(|run| (run.shape.as_str(), run.policy.as_str()))
        .collect();
    for (shape, policy) in names.iter().filter(|(_, policy)| *policy != "cicadagate") {
        for figure in &FIGURES {
            let mut values: Vec<f64> = runs_of(all, shape, policy)
                .iter()
                .filter_map(|run| {
                    let ours = all.iter().find(|ours| {
                        ours.shape == *shape
                            && ours.policy == "cicadagate"
                            && ours.round == run.round
                    })?;
                    Some((figure.value)(ours) / (figure.value)(run))
                })
                .filter(|ratio| ratio.is_finite())
                .collect();
            values.sort_by(f64::total_cmp);
            if let (Some(min), Some(max)) = (values.first(), values.last()) {
                lines.push(format!(
                    "{shape}: cicadagate over {policy}, {}: {:.3} ({min:.3} to {max:.3}, {} rounds)",
                    figure.title,
                    values[values.len() / 2],
                    values.len(),
                ));
            }
        }
    }
    lines
}

fn page(all: &[Measured]) -> String {
    let mut out = String::from(
        "<!doctype html><meta charset=\"utf-8\"><title>cicadagate: measures</title>\
         <style>body{font:14px sans-serif;max-width:60em;margin:2em auto}</style>\
         <h1>cicadagate: measures</h1>",
    );
    let shapes: BTreeSet<&str> = all.iter().map(|run| run.shape.as_str()).collect();
    for shape in shapes {
        // Writing to a string never fails.
        let _ = write!(out, "<h2>{shape}</h2>");
        for figure in &FIGURES {
            let _ = write!(out, "<h3>{}</h3>{}", figure.title, bars(all, shape, figure));
        }
    }
    out
}

/// Returns an SVG with a bar per policy for the median round, and whiskers from
/// the minimum to the maximum.
fn bars(all: &[Measured], shape: &str, figure: &Figure) -> String {
    let policies: BTreeSet<&str> = all
        .iter()
        .filter(|run| run.shape == shape)
        .map(|run| run.policy.as_str())
        .collect();
    let rows: Vec<(&str, [f64; 3])> = policies
        .into_iter()
        .filter_map(|policy| {
            Some((
                policy,
                min_median_max(&runs_of(all, shape, policy), figure.value)?,
            ))
        })
        .collect();
    let max_value = rows
        .iter()
        .map(|(_, values)| values[2])
        .fold(1e-9, f64::max);
    let height = rows.len() * 24;
    let mut out = format!("<svg width=\"800\" height=\"{height}\">");
    for (row, (policy, [min, median, max])) in rows.iter().enumerate() {
        let y = row * 24;
        let x = |value: f64| 140.0 + 500.0 * value / max_value;
        let _ = write!(
            out,
            "<text x=\"0\" y=\"{}\">{policy}</text>\
             <rect x=\"140\" y=\"{}\" width=\"{:.1}\" height=\"14\" fill=\"#6a8caf\"/>\
             <line x1=\"{:.1}\" x2=\"{:.1}\" y1=\"{}\" y2=\"{}\" stroke=\"#222\"/>\
             <text x=\"{:.1}\" y=\"{}\">{median:.3} ({min:.3} to {max:.3})</text>",
            y + 16,
            y + 4,
            x(*median) - 140.0,
            x(*min),
            x(*max),
            y + 11,
            y + 11,
            x(*max) + 8.0,
            y + 16,
        );
    }
    out + "</svg>"
}
