//! What processes use, read from /proc: processor time, memory, loopback bytes.

use std::time::Duration;

/// Length of one tick of `/proc/<pid>/stat`, in ms, as Linux has it on all usual machines.
const TICK_MS: u64 = 10;
/// Size of a page, in bytes.
const PAGE: u64 = 4_096;

/// Processor time that a process has used.
pub fn cpu(pid: u32) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |at: usize| {
        fields
            .get(at)
            .and_then(|f| f.parse::<u64>().ok())
            .unwrap_or_default()
    };
    Duration::from_millis((ticks(11) + ticks(12)) * TICK_MS)
}

/// Memory that a process holds resident, in bytes.
pub fn resident(pid: u32) -> u64 {
    let statm = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|f| f.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE
}

/// Bytes that have gone over the loopback interface, headers included.
pub fn loopback_bytes() -> u64 {
    let table = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = table
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let received = line.and_then(|rest| rest.split_whitespace().next());
    received.and_then(|f| f.parse().ok()).unwrap_or_default()
}
