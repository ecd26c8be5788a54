//! What a simulated day came to: the bound, the part of the limits that was used, and bytes.

use super::Fleet;

/// Span in which requests are counted.
const SPAN: u64 = 4_000;

impl Fleet {
    /// The most requests of entries that knew of the limit in a span, at any engine; and what is allowed.
    pub fn worst(&self) -> (usize, usize) {
        let limited = self.arrivals[..self.day.limited].iter();
        let worst = limited.map(|arrivals| {
            let knew: Vec<u64> = arrivals.iter().filter(|a| a.knew).map(|a| a.at).collect();
            let spans = knew.iter().enumerate();
            let counts = spans.map(|(n, first)| {
                let within = knew[n..].iter().take_while(|at| **at < first + SPAN);
                within.count()
            });
            counts.max().unwrap_or(0)
        });
        let allowed = 1.5 * SPAN as f64 * f64::from(self.day.limit) / 1_000_000.0 + 5.0;
        (worst.max().unwrap_or(0), allowed as usize)
    }

    /// The part of the limits that was used after the first seconds.
    pub fn used(&self) -> f64 {
        const FROM: u64 = 6_000;
        let limited = self.arrivals[..self.day.limited].iter();
        let count: usize = limited
            .map(|arrivals| arrivals.iter().filter(|a| a.at >= FROM).count())
            .sum();
        let time = (self.now - FROM) as f64 / 1_000.0;
        let offered = f64::from(self.day.limit) / 1_000.0 * time * self.day.limited as f64;
        count as f64 / offered
    }

    /// Bytes a second on limits, as those of rounds are counted, without the headers of packets: the most at any entry in any second, and the mean.
    pub fn bytes(&self) -> (u64, u64) {
        let all = self.members.iter().flat_map(|m| m.bytes.values());
        let (most, sum) = all.fold((0, 0), |(most, sum), bytes| {
            (*bytes.max(&most), sum + bytes)
        });
        (
            most,
            sum / self.day.entries as u64 / (self.now / 1_000).max(1),
        )
    }
}
