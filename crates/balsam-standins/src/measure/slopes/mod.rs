//! `slopes`: what a daemon costs for control and for each request.

mod control;
mod requests;

use super::MeasureError;
use super::fit::{Fit, fit_line};
use super::process::machine_load;
use super::sheet::Sheet;
use clap::Args;
use control::{ControlCost, measure_control};
use requests::measure_requests;
use serde::Serialize;

/// Options of `slopes`.
#[derive(Debug, Args)]
pub struct SlopesOptions {
    /// Numbers of daemons, each measured at the default number of slices.
    #[arg(long, value_delimiter = ',', default_value = "3,10,30")]
    daemons: Vec<usize>,
    /// Numbers of slices, each measured at 3 daemons.
    #[arg(long, value_delimiter = ',', default_value = "1000,16000,64000")]
    slices: Vec<u64>,
    /// Request rates through 2 daemons.
    #[arg(long, value_delimiter = ',', default_value = "200,500,1000")]
    rates: Vec<u32>,
    /// Length of each sample in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    sample_ms: u64,
}

/// Slices while the number of daemons varies.
const SLICES: u64 = 4_096;
/// Daemons while the number of slices varies.
const DAEMONS: usize = 3;

#[derive(Debug, Serialize)]
struct Slope {
    figure: &'static str,
    per: &'static str,
    #[serde(flatten)]
    fit: Fit,
    points: usize,
}

/// Measures all points and fits lines to them.
pub(super) async fn run(options: &SlopesOptions, sheet: &mut Sheet) -> Result<(), MeasureError> {
    let mut points = Vec::new();
    for daemons in &options.daemons {
        points.push(control_point(*daemons, SLICES, options, sheet).await?);
    }
    for slices in &options.slices {
        points.push(control_point(DAEMONS, *slices, options, sheet).await?);
    }
    add_control_slopes(&points, sheet)?;
    measure_requests(&options.rates, options.sample_ms, sheet).await
}

async fn control_point(
    daemons: usize,
    slices: u64,
    options: &SlopesOptions,
    sheet: &mut Sheet,
) -> Result<ControlCost, MeasureError> {
    let mut cost = measure_control(daemons, slices, options.sample_ms).await?;
    cost.machine_load = machine_load();
    sheet.add("control", &cost)?;
    Ok(cost)
}

/// A figure with its name.
type Figure = (&'static str, fn(&ControlCost) -> f64);

const FIGURES: [Figure; 10] = [
    ("idle_cpu_percent", |cost| cost.idle_cpu_percent),
    ("placer_cpu_percent", |cost| cost.placer_cpu_percent),
    ("idle_resident_mb", |cost| cost.idle_resident_mb),
    ("placer_resident_mb", |cost| cost.placer_resident_mb),
    ("peer_bytes_per_s", |cost| cost.peer_bytes_per_s),
    ("platform_bytes_per_s", |cost| cost.platform_bytes_per_s),
    ("table_reads_per_s", |cost| cost.table_reads_per_s),
    ("table_writes_per_s", |cost| cost.table_writes_per_s),
    ("edit_median_ms", |cost| cost.edit_median_ms),
    ("placed_ms", |cost| cost.placed_ms),
];

fn add_control_slopes(points: &[ControlCost], sheet: &mut Sheet) -> Result<(), MeasureError> {
    type Wanted = fn(&ControlCost) -> bool;
    type Along = fn(&ControlCost) -> f64;
    let ways: [(&'static str, Wanted, Along); 2] = [
        (
            "daemon",
            |cost| cost.slices == SLICES,
            |cost| cost.daemons as f64,
        ),
        (
            "slice",
            |cost| cost.daemons == DAEMONS,
            |cost| cost.slices as f64,
        ),
    ];
    for (per, wanted, along) in ways {
        let chosen: Vec<&ControlCost> = points.iter().filter(|cost| wanted(cost)).collect();
        for (figure, value) in FIGURES {
            let line: Vec<(f64, f64)> = chosen
                .iter()
                .map(|cost| (along(cost), value(cost)))
                .collect();
            let slope = Slope {
                figure,
                per,
                fit: fit_line(&line),
                points: line.len(),
            };
            sheet.add("control-slope", &slope)?;
        }
    }
    Ok(())
}
