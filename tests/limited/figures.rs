//! Results of a simulation: the bound on arrivals, how much of the limits was used, and bytes sent.

use super::Fleet;

/// Time span over which requests are counted, in ms.
const SPAN: u64 = 4_000;

impl Fleet {
    /// The most requests in any [`SPAN`] at any limited engine, from entries that knew of the
    /// limit, and the number allowed.
    pub fn max_arrivals(&self) -> (usize, usize) {
        let limited = self.arrivals[..self.scenario.limited_engines].iter();
        let worst = limited.map(|arrivals| {
            let knew: Vec<u64> = arrivals.iter().filter(|a| a.knew).map(|a| a.at).collect();
            let spans = knew.iter().enumerate();
            let counts = spans.map(|(n, first)| {
                let within = knew[n..].iter().take_while(|at| **at < first + SPAN);
                within.count()
            });
            counts.max().unwrap_or(0)
        });
        let allowed = 1.5 * SPAN as f64 * f64::from(self.scenario.limit) / 1_000_000.0 + 5.0;
        (worst.max().unwrap_or(0), allowed as usize)
    }

    /// The fraction of the limits that was used after the first seconds.
    pub fn used_fraction(&self) -> f64 {
        const FROM: u64 = 6_000;
        let limited = self.arrivals[..self.scenario.limited_engines].iter();
        let count: usize = limited
            .map(|arrivals| arrivals.iter().filter(|a| a.at >= FROM).count())
            .sum();
        let time = (self.now - FROM) as f64 / 1_000.0;
        let offered =
            f64::from(self.scenario.limit) / 1_000.0 * time * self.scenario.limited_engines as f64;
        count as f64 / offered
    }

    /// Bytes per second in datagrams about limits, without packet headers: the largest number for
    /// any entry in any second, and the mean.
    pub fn bytes_sent(&self) -> (u64, u64) {
        let all = self.members.iter().flat_map(|m| m.bytes_sent.values());
        let (most, sum) = all.fold((0, 0), |(most, sum), bytes| {
            (*bytes.max(&most), sum + bytes)
        });
        (
            most,
            sum / self.scenario.entries as u64 / (self.now / 1_000).max(1),
        )
    }
}
