//! Counters and gauges by OpenTelemetry, read as Prometheus text.

use opentelemetry::metrics::{Counter, Gauge, MeterProvider};
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::document::DocumentKind;
use crate::outcome::Outcome;
use crate::replica::Refused;
use crate::source::ReadError;
use crate::wire::WireError;

/// The instruments of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    reruns: Counter<u64>,
    resumed: Counter<u64>,
    limited: Counter<u64>,
    bad_requests: Counter<u64>,
    bad_frames: Counter<u64>,
    documents_refused: Counter<u64>,
    bundles_older: Counter<u64>,
    bundle_conflicts: Counter<u64>,
    updates: Counter<u64>,
    update_bytes: Counter<u64>,
    platform_errors: Counter<u64>,
    tokens: Counter<u64>,
    wasted_tokens: Counter<u64>,
    callers_gone: Counter<u64>,
    foreign_answers: Counter<u64>,
    gauge: Gauge<u64>,
}

impl Metrics {
    /// Fresh instruments.
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_scope_info()
            .without_target_info()
            .build();
        let builder = SdkMeterProvider::builder();
        let provider = match exporter {
            Ok(exporter) => builder.with_reader(exporter).build(),
            Err(_) => builder.build(),
        };
        let meter = provider.meter("violetline");
        let counter = |name: &'static str| meter.u64_counter(name).build();
        Self {
            requests: counter("requests"),
            attempts: counter("attempts"),
            reruns: counter("reruns"),
            resumed: counter("streams_resumed"),
            limited: counter("over_limit"),
            bad_requests: counter("bad_requests"),
            bad_frames: counter("bad_frames"),
            documents_refused: counter("documents_refused"),
            bundles_older: counter("bundles_older"),
            bundle_conflicts: counter("bundle_conflicts"),
            updates: counter("updates_sent"),
            update_bytes: counter("update_bytes_sent"),
            platform_errors: counter("platform_errors"),
            tokens: counter("tokens"),
            wasted_tokens: counter("wasted_tokens"),
            callers_gone: counter("callers_gone"),
            foreign_answers: counter("foreign_answers"),
            gauge: meter.u64_gauge("state").build(),
            registry,
            _provider: provider,
        }
    }

    /// A request ended, in a class, with an outcome.
    pub fn request(&self, class: &str, outcome: &Outcome) {
        let labels = [
            KeyValue::new("class", class.to_owned()),
            KeyValue::new("outcome", label(outcome)),
        ];
        self.requests.add(1, &labels);
    }

    /// An endpoint was asked for a slot.
    pub fn attempt(&self) {
        self.attempts.add(1, &[]);
    }

    /// A repeatable request was run again after its first run was lost.
    pub fn rerun(&self) {
        self.reruns.add(1, &[]);
    }

    /// A stream that broke off was taken up at another endpoint.
    pub fn resumed(&self) {
        self.resumed.add(1, &[]);
    }

    /// A team was over its limit.
    pub fn over_limit(&self, team: &str) {
        self.limited
            .add(1, &[KeyValue::new("team", team.to_owned())]);
    }

    /// A caller's request was malformed.
    pub fn bad_request(&self) {
        self.bad_requests.add(1, &[]);
    }

    /// A peer sent a frame that could not be read; its connection was closed.
    pub fn bad_frame(&self, err: WireError) {
        self.bad_frames
            .add(1, &[KeyValue::new("error", format!("{err:?}"))]);
    }

    /// A document was not accepted.
    pub fn document_refused(&self, kind: DocumentKind, why: Refused) {
        let labels = [
            KeyValue::new("kind", format!("{kind:?}")),
            KeyValue::new("why", format!("{why:?}")),
        ];
        self.documents_refused.add(1, &labels);
    }

    /// A bundle older than the one in force was offered.
    pub fn bundle_older(&self) {
        self.bundles_older.add(1, &[]);
    }

    /// A bundle with the version in force and other content was offered.
    pub fn bundle_conflict(&self) {
        self.bundle_conflicts.add(1, &[]);
    }

    /// A document was sent to a peer.
    pub fn update_sent(&self, bytes: usize) {
        self.updates.add(1, &[]);
        self.update_bytes.add(bytes as u64, &[]);
    }

    /// The platform could not be read.
    pub fn platform_error(&self, err: ReadError) {
        self.platform_errors
            .add(1, &[KeyValue::new("error", format!("{err:?}"))]);
    }

    /// Tokens were delivered.
    pub fn tokens(&self, count: u64) {
        self.tokens.add(count, &[]);
    }

    /// Tokens were generated and thrown away, or computed again.
    pub fn wasted(&self, count: u64) {
        self.wasted_tokens.add(count, &[]);
    }

    /// A caller went away before its answer ended.
    pub fn caller_gone(&self) {
        self.callers_gone.add(1, &[]);
    }

    /// A stream ended with the id of another request and was dropped.
    pub fn foreign_answer(&self) {
        self.foreign_answers.add(1, &[]);
    }

    /// Sets a gauge, such as the bundle's version or a queue's length.
    pub fn set(&self, name: &'static str, of: &str, value: u64) {
        let labels = [
            KeyValue::new("name", name),
            KeyValue::new("of", of.to_owned()),
        ];
        self.gauge.record(value, &labels);
    }

    /// All instruments as Prometheus text.
    pub fn text(&self) -> String {
        let mut out = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        String::from_utf8(out).unwrap_or_default()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

/// The short name of an outcome, as a metric label.
pub fn label(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Completed(_) => "completed".into(),
        Outcome::NotRun { reason, .. } => format!("not_run_{reason:?}"),
        Outcome::Unknown(reason) => format!("unknown_{reason:?}"),
        Outcome::Failed(reason) => format!("failed_{reason:?}"),
        Outcome::AlreadyRan => "already_ran".into(),
    }
}
