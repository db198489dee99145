//! Outcomes and latencies of a load run.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::{
    collections::BTreeMap,
    fmt::{self, Write},
};

/// Highest latency that the histogram distinguishes, in microseconds.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// Complete answer to this call with a 2xx status.
    Ok,
    /// Answer of the upstream to this call with another status.
    UpstreamError,
    /// Error of the load balancer: the call was not run.
    NotRun,
    /// Error of the load balancer: the call may have been run.
    Unknown,
    /// The answer ended before its declared length.
    CutOff,
    /// Answer to another call, or a wrong body.
    Mismatch,
    /// The connection ended before an answer.
    Lost,
    /// No answer arrived before the deadline and the grace time after it.
    TimedOut,
    /// The request could not be sent.
    NotSent,
}

/// Result of one call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CallRecord {
    /// Value of `x-request-id` in the request.
    pub request_id: String,
    /// HTTP method of the call.
    pub method: String,
    /// How it ended.
    pub outcome: CallOutcome,
    /// Error code of the load balancer, or status of the upstream, if the call failed.
    pub code: Option<String>,
    /// Intended time of the call since the start of the run.
    pub at_us: u64,
    /// Time from the intended time to the end of the call; at least the deadline if it failed.
    pub latency_us: u64,
}

/// Number of calls by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Complete answers with a 2xx status.
    pub ok: u64,
    /// Answers of the upstream with another status than 2xx.
    pub upstream_error: u64,
    /// Errors of the load balancer for calls that were not run.
    pub not_run: u64,
    /// Errors of the load balancer for calls that may have been run.
    pub unknown: u64,
    /// Answers that ended before their declared length.
    pub cut_off: u64,
    /// Answers that belong to another call or have a wrong body.
    pub mismatch: u64,
    /// Connections that ended before an answer.
    pub lost: u64,
    /// Calls without an answer before the deadline and the grace time after it.
    pub timed_out: u64,
    /// Calls that could not be sent.
    pub not_sent: u64,
}

impl Counts {
    fn add(&mut self, outcome: CallOutcome) {
        *match outcome {
            CallOutcome::Ok => &mut self.ok,
            CallOutcome::UpstreamError => &mut self.upstream_error,
            CallOutcome::NotRun => &mut self.not_run,
            CallOutcome::Unknown => &mut self.unknown,
            CallOutcome::CutOff => &mut self.cut_off,
            CallOutcome::Mismatch => &mut self.mismatch,
            CallOutcome::Lost => &mut self.lost,
            CallOutcome::TimedOut => &mut self.timed_out,
            CallOutcome::NotSent => &mut self.not_sent,
        } += 1;
    }

    /// Number of all calls.
    pub fn total(&self) -> u64 {
        self.ok
            + self.upstream_error
            + self.not_run
            + self.unknown
            + self.cut_off
            + self.mismatch
            + self.lost
            + self.timed_out
            + self.not_sent
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "ok {}, upstream error {}, not run {}, unknown {}, cut off {}, mismatch {}, lost {}, \
             timed out {}, not sent {}",
            self.ok,
            self.upstream_error,
            self.not_run,
            self.unknown,
            self.cut_off,
            self.mismatch,
            self.lost,
            self.timed_out,
            self.not_sent
        )
    }
}

/// Result of a load run.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// Number of calls by outcome.
    pub counts: Counts,
    /// Number of failed calls by error code or status.
    pub codes: BTreeMap<String, u64>,
    /// Result of each call, if the run keeps records.
    pub records: Vec<CallRecord>,
    /// Time from the first intended call to the end of the run.
    pub elapsed_us: u64,
    /// Number of connections opened.
    pub connections: u64,
    latencies: Option<Histogram<u64>>,
    keeps_records: bool,
}

/// The report as it is printed.
#[derive(Serialize)]
struct Summary<'a> {
    counts: Counts,
    codes: &'a BTreeMap<String, u64>,
    elapsed_us: u64,
    connections: u64,
    p50_us: u64,
    p90_us: u64,
    p99_us: u64,
    p999_us: u64,
    max_us: u64,
}

impl LoadReport {
    pub(super) fn new(keeps_records: bool) -> Self {
        LoadReport {
            latencies: Histogram::new_with_max(MAX_LATENCY_US, 3).ok(),
            keeps_records,
            ..LoadReport::default()
        }
    }

    pub(super) fn add(&mut self, record: CallRecord) {
        self.counts.add(record.outcome);
        if let Some(code) = &record.code {
            *self.codes.entry(code.clone()).or_default() += 1;
        }
        if let Some(latencies) = &mut self.latencies {
            latencies.saturating_record(record.latency_us);
        }
        if self.keeps_records {
            self.records.push(record);
        }
    }

    /// Latency at a quantile from 0 to 1, in microseconds.
    pub fn latency_quantile_us(&self, quantile: f64) -> u64 {
        self.latencies
            .as_ref()
            .map_or(0, |latencies| latencies.value_at_quantile(quantile))
    }

    /// Adds the calls of another run.
    pub fn merge(&mut self, other: LoadReport) {
        for record in &other.records {
            self.records.push(record.clone());
        }
        for (code, count) in other.codes {
            *self.codes.entry(code).or_default() += count;
        }
        self.counts.merge(&other.counts);
        self.connections += other.connections;
        self.elapsed_us = self.elapsed_us.max(other.elapsed_us);
        match (&mut self.latencies, other.latencies) {
            // Both histograms have the same range, so this can't fail.
            (Some(own), Some(others)) => own.add(others).unwrap_or_default(),
            (own, others) => *own = own.take().or(others),
        }
    }

    fn summary(&self) -> Summary<'_> {
        Summary {
            counts: self.counts,
            codes: &self.codes,
            elapsed_us: self.elapsed_us,
            connections: self.connections,
            p50_us: self.latency_quantile_us(0.5),
            p90_us: self.latency_quantile_us(0.9),
            p99_us: self.latency_quantile_us(0.99),
            p999_us: self.latency_quantile_us(0.999),
            max_us: self.latency_quantile_us(1.0),
        }
    }

    /// Counts and quantiles as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(&self.summary()).unwrap_or_default()
    }

    /// Counts and quantiles as text.
    pub fn to_text(&self) -> String {
        let summary = self.summary();
        let mut text = format!(
            "calls {}: {}\nconnections {}\nlatency us: p50 {}, p90 {}, p99 {}, p99.9 {}, max {}\n",
            summary.counts.total(),
            summary.counts,
            summary.connections,
            summary.p50_us,
            summary.p90_us,
            summary.p99_us,
            summary.p999_us,
            summary.max_us
        );
        for (code, count) in summary.codes {
            // Writing to a string can't fail.
            let _ = writeln!(text, "{code} {count}");
        }
        text
    }
}

impl Counts {
    fn merge(&mut self, other: &Counts) {
        self.ok += other.ok;
        self.upstream_error += other.upstream_error;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.cut_off += other.cut_off;
        self.mismatch += other.mismatch;
        self.lost += other.lost;
        self.timed_out += other.timed_out;
        self.not_sent += other.not_sent;
    }
}
