//! Figures of a run: attainment by class, goodput, wasted work, fairness, broken promises.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::client::End;
use crate::fleet::Fleet;
use crate::load::Record;

/// Figures of one class.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ClassFigures {
    /// Requests sent.
    pub sent: u64,
    /// Complete answers.
    pub complete: u64,
    /// Answers within the target, in percent of those sent.
    pub attained_percent: f64,
    /// Refused as not run.
    pub not_run: u64,
    /// Outcome unknown.
    pub unknown: u64,
    /// Failed after the start, or cut.
    pub failed: u64,
    /// Median time to the first token of complete answers, in ms.
    pub first_p50_ms: u64,
    /// 95th percentile of it, in ms.
    pub first_p95_ms: u64,
    /// 95th percentile of the longest gap between two tokens, in ms.
    pub gap_p95_ms: u64,
    /// Tokens a second in complete answers.
    pub tokens_per_s: f64,
}

/// What no run may show.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Broken {
    /// Requests that may run only once and ran twice.
    pub double_runs: u64,
    /// Requests answered as not run that ran.
    pub false_not_run: u64,
    /// Answers that look complete and are not the right ones.
    pub wrong_answers: u64,
}

impl Broken {
    /// Whether nothing was broken.
    pub const fn is_none(&self) -> bool {
        self.double_runs == 0 && self.false_not_run == 0 && self.wrong_answers == 0
    }
}

/// Figures of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// By class.
    pub classes: BTreeMap<String, ClassFigures>,
    /// Tokens a second in complete answers.
    pub goodput_per_s: f64,
    /// Tokens generated and not delivered in complete answers, or computed again, in percent.
    pub wasted_percent: f64,
    /// Jain's index of the complete parts of what each team asked for, in the class with most teams.
    pub jain: f64,
    /// Broken promises.
    pub broken: Broken,
}

/// Judges the records of a run against what the endpoints counted.
pub async fn judge(fleet: &Fleet, records: &[Record], time: Duration) -> Report {
    let counted = count_runs(fleet).await;
    let mut classes: BTreeMap<String, Vec<&Record>> = BTreeMap::new();
    for record in records {
        classes
            .entry(record.class.clone())
            .or_default()
            .push(record);
    }
    let delivered: u64 = records
        .iter()
        .filter(|r| is_complete(r))
        .map(|r| r.reply.tokens)
        .sum();
    let spent = counted.generated + counted.recomputed;
    let wasted = spent.saturating_sub(delivered);
    let figures = classes
        .iter()
        .map(|(name, rows)| (name.clone(), figures(rows, time)));
    Report {
        classes: figures.collect(),
        goodput_per_s: delivered as f64 / time.as_secs_f64(),
        wasted_percent: percent(wasted, spent),
        jain: jain(records),
        broken: broken(records, &counted.runs),
    }
}

struct Counted {
    runs: HashMap<String, u64>,
    generated: u64,
    recomputed: u64,
}

async fn count_runs(fleet: &Fleet) -> Counted {
    let mut counted = Counted {
        runs: HashMap::new(),
        generated: 0,
        recomputed: 0,
    };
    for slot in &fleet.slots {
        let addr = slot.endpoint.addr("listen");
        let stats = fleet
            .caller
            .get(addr, "/lab/stats")
            .await
            .unwrap_or_default();
        counted.generated += stats["generated"].as_u64().unwrap_or_default();
        counted.recomputed += stats["recomputed"].as_u64().unwrap_or_default();
        for field in ["starts", "runs"] {
            for (id, runs) in stats[field].as_object().into_iter().flatten() {
                *counted.runs.entry(id.clone()).or_default() += runs.as_u64().unwrap_or_default();
            }
        }
    }
    counted
}

fn broken(records: &[Record], runs: &HashMap<String, u64>) -> Broken {
    let mut broken = Broken::default();
    for record in records {
        let ran = runs.get(&record.id).copied().unwrap_or_default();
        broken.double_runs += u64::from(record.once && ran > 1);
        broken.false_not_run += u64::from(record.reply.is("not_run") && ran > 0);
        broken.wrong_answers += u64::from(record.reply.end == End::Wrong);
    }
    broken
}

fn is_complete(record: &Record) -> bool {
    record.reply.end == End::Complete
}

fn figures(rows: &[&Record], time: Duration) -> ClassFigures {
    let count = |test: &dyn Fn(&Record) -> bool| rows.iter().filter(|r| test(r)).count() as u64;
    let complete: Vec<&&Record> = rows.iter().filter(|r| is_complete(r)).collect();
    let firsts = histogram(complete.iter().map(|r| r.reply.first));
    let gaps = histogram(complete.iter().map(|r| r.reply.longest_gap));
    let tokens: u64 = complete.iter().map(|r| r.reply.tokens).sum();
    ClassFigures {
        sent: rows.len() as u64,
        complete: complete.len() as u64,
        attained_percent: percent(count(&|r| r.in_target), rows.len() as u64),
        not_run: count(&|r| r.reply.is("not_run")),
        unknown: count(&|r| r.reply.is("outcome_unknown")),
        failed: count(&|r| {
            r.reply.is("failed_after_start") || matches!(r.reply.end, End::Cut | End::NoAnswer)
        }),
        first_p50_ms: firsts.value_at_quantile(0.5),
        first_p95_ms: firsts.value_at_quantile(0.95),
        gap_p95_ms: gaps.value_at_quantile(0.95),
        tokens_per_s: tokens as f64 / time.as_secs_f64(),
    }
}

fn histogram(times: impl Iterator<Item = Duration>) -> Histogram<u64> {
    let mut histogram = Histogram::new_with_bounds(1, 600_000, 3).expect("valid bounds");
    for time in times {
        histogram.saturating_record((time.as_millis() as u64).max(1));
    }
    histogram
}

fn percent(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64 * 100.0
}

/// Jain's index over teams of the attained part of their requests (Jain, Chiu, Hawe 1984).
fn jain(records: &[Record]) -> f64 {
    let mut teams: HashMap<&str, (f64, f64)> = HashMap::new();
    for record in records {
        let team = teams.entry(&record.team).or_default();
        team.0 += f64::from(u8::from(record.in_target));
        team.1 += 1.0;
    }
    let parts: Vec<f64> = teams.values().map(|(met, sent)| met / sent).collect();
    let sum: f64 = parts.iter().sum();
    let squares: f64 = parts.iter().map(|part| part * part).sum();
    if squares == 0.0 {
        return 0.0;
    }
    sum * sum / (parts.len() as f64 * squares)
}

/// The report as a table for people.
pub fn table(report: &Report) -> String {
    let mut lines = vec![format!(
        "{:<14} {:>6} {:>8} {:>9} {:>8} {:>8} {:>7} {:>8} {:>8} {:>9}",
        "class",
        "sent",
        "complete",
        "in target",
        "not run",
        "unknown",
        "failed",
        "p50 ms",
        "p95 ms",
        "tokens/s"
    )];
    for (name, row) in &report.classes {
        lines.push(format!(
            "{:<14} {:>6} {:>8} {:>8.1}% {:>8} {:>8} {:>7} {:>8} {:>8} {:>9.0}",
            name,
            row.sent,
            row.complete,
            row.attained_percent,
            row.not_run,
            row.unknown,
            row.failed,
            row.first_p50_ms,
            row.first_p95_ms,
            row.tokens_per_s
        ));
    }
    lines.push(format!(
        "goodput {:.0} tokens/s, wasted {:.2}%, Jain's index {:.3}",
        report.goodput_per_s, report.wasted_percent, report.jain
    ));
    lines.push(format!(
        "double runs {}, false 'not run' {}, foreign or truncated answers {}",
        report.broken.double_runs, report.broken.false_not_run, report.broken.wrong_answers
    ));
    lines.join("\n")
}

/// Head of a Markdown table with a column of attainment for each class.
pub fn markdown_head(classes: &[&str]) -> String {
    let names: Vec<String> = classes
        .iter()
        .map(|class| format!("{class} in target"))
        .collect();
    let rest = "goodput tokens/s | wasted | Jain | double, false, foreign";
    let head = format!("| | {} | {rest} |", names.join(" | "));
    let columns = classes.len() + 5;
    format!("{head}\n|{}", "---|".repeat(columns))
}

/// Row of that table.
pub fn markdown_row(name: &str, classes: &[&str], report: &Report) -> String {
    let cell = |class: &&str| {
        report.classes.get(*class).map_or_else(String::new, |row| {
            format!("{:.1}% of {}", row.attained_percent, row.sent)
        })
    };
    let cells: Vec<String> = classes.iter().map(cell).collect();
    let broken = report.broken;
    format!(
        "| {name} | {} | {:.0} | {:.2}% | {:.3} | {}, {}, {} |",
        cells.join(" | "),
        report.goodput_per_s,
        report.wasted_percent,
        report.jain,
        broken.double_runs,
        broken.false_not_run,
        broken.wrong_answers
    )
}
