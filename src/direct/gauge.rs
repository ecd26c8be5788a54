//! Counters and latency histograms of a direct entry, by OpenTelemetry, as Prometheus text.
//!
//! Labels are names from the configuration and closed sets; none grows with requests or keys.

use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::announced::DeclineReason;
use crate::direct::ends::EndSign;
use crate::direct::limits::PermitDecision;

/// Bounds of the latency buckets, in ms: around the targets of today's classes.
const LATENCY_MS: [f64; 12] = [
    10.0, 25.0, 50.0, 100.0, 200.0, 300.0, 500.0, 800.0, 1_200.0, 2_000.0, 4_000.0, 12_000.0,
];

/// The instruments of one process.
#[derive(Debug)]
pub struct EntryMetrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    first_ms: Histogram<f64>,
    store_calls: Counter<u64>,
    read_bytes: Counter<u64>,
    connections: Counter<u64>,
    unreadable: Counter<u64>,
    runs_ended: Counter<u64>,
    announced: Counter<u64>,
    sent_against: Counter<u64>,
    sent_to_limited: Counter<u64>,
    permits: Counter<u64>,
    refused_with_room: Counter<u64>,
    state: Gauge<u64>,
}

impl EntryMetrics {
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
            Err(err) => {
                tracing::error!(%err, "metrics are not exported");
                builder.build()
            }
        };
        let meter = provider.meter("violetline");
        Self {
            requests: meter.u64_counter("direct_requests").build(),
            attempts: meter.u64_counter("direct_attempts").build(),
            first_ms: meter
                .f64_histogram("direct_first_byte_ms")
                .with_boundaries(LATENCY_MS.to_vec())
                .build(),
            store_calls: meter.u64_counter("direct_store_calls").build(),
            read_bytes: meter.u64_counter("direct_read_bytes").build(),
            connections: meter.u64_counter("direct_endpoint_connections").build(),
            unreadable: meter.u64_counter("direct_unreadable_entries").build(),
            runs_ended: meter.u64_counter("direct_runs_ended_with_endpoint").build(),
            announced: meter.u64_counter("direct_announced").build(),
            sent_against: meter.u64_counter("direct_sent_against").build(),
            sent_to_limited: meter.u64_counter("direct_sent_to_limited").build(),
            permits: meter.u64_counter("direct_permits").build(),
            refused_with_room: meter.u64_counter("direct_refused_with_room").build(),
            state: meter.u64_gauge("direct_state").build(),
            registry,
            _provider: provider,
        }
    }

    /// A request of a pool ended, on a route of an urgency.
    pub fn request(&self, pool: &str, urgency: Option<u8>, outcome: &'static str) {
        self.requests.add(1, &outcome_of(pool, urgency, outcome));
    }

    /// A request was sent to an endpoint of a pool, or an attempt ended without an answer.
    pub fn attempt(&self, pool: &str, urgency: u8, outcome: &'static str) {
        self.attempts
            .add(1, &outcome_of(pool, Some(urgency), outcome));
    }

    /// The first byte of an answer left for the caller.
    pub fn first_byte(&self, pool: &str, priority: u8, ms: f64) {
        let labels = [
            KeyValue::new("pool", pool.to_owned()),
            KeyValue::new("priority", i64::from(priority)),
        ];
        self.first_ms.record(ms, &labels);
    }

    /// The store was called.
    pub fn store_call(&self, outcome: &'static str) {
        self.store_calls
            .add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// A document was read from the store or a peer, or a part of it came.
    pub fn read(&self, document: &'static str, source: &'static str, bytes: u64) {
        let labels = [
            KeyValue::new("document", document),
            KeyValue::new("source", source),
        ];
        self.read_bytes.add(bytes, &labels);
    }

    /// A connection to an endpoint was opened.
    pub fn connection(&self) {
        self.connections.add(1, &[]);
    }

    /// An entry of the store could not be read.
    pub fn unreadable(&self) {
        self.unreadable.add(1, &[]);
    }

    /// Runs were lost with an endpoint whose life is over.
    pub fn runs_ended(&self, sign: EndSign, runs: u64) {
        let labels = [KeyValue::new("sign", sign.label())];
        self.runs_ended.add(runs, &labels);
    }

    /// An endpoint announced that it wants no requests.
    pub fn announced(&self, what: DeclineReason) {
        let labels = [KeyValue::new("what", what.label())];
        self.announced.add(1, &labels);
    }

    /// A request was sent to an endpoint against what that had announced.
    pub fn sent_against(&self, what: DeclineReason) {
        let labels = [KeyValue::new("what", what.label())];
        self.sent_against.add(1, &labels);
    }

    /// A request was sent to an endpoint that had named a limit.
    pub fn sent_to_limited(&self) {
        self.sent_to_limited.add(1, &[]);
    }

    /// A permit was asked for to send a request to an endpoint that may have a limit.
    pub fn permit(&self, step: &PermitDecision) {
        let outcome = match step {
            PermitDecision::Unlimited => return,
            PermitDecision::Permitted => "given",
            PermitDecision::Wait(_) => "not_given",
            PermitDecision::Ask(_) => "passed_around",
        };
        self.permits.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// A request was refused while endpoints of its pool had free slots.
    pub fn refused_with_room(&self, pool: &str) {
        let labels = [KeyValue::new("pool", pool.to_owned())];
        self.refused_with_room.add(1, &labels);
    }

    /// Sets a gauge, such as the version in force or the number of peers.
    pub fn set(&self, name: &'static str, value: u64) {
        self.state.record(value, &[KeyValue::new("name", name)]);
    }

    /// All instruments as Prometheus text.
    pub fn text(&self) -> String {
        let mut out = Vec::new();
        if let Err(err) = TextEncoder::new().encode(&self.registry.gather(), &mut out) {
            tracing::warn!(%err, "metrics could not be written");
        }
        String::from_utf8_lossy(&out).into_owned()
    }
}

/// Labels of an outcome in a pool; requests that no route allows have an empty urgency.
fn outcome_of(pool: &str, urgency: Option<u8>, outcome: &'static str) -> [KeyValue; 3] {
    let urgency = urgency.map_or(String::new(), |urgency| urgency.to_string());
    [
        KeyValue::new("pool", pool.to_owned()),
        KeyValue::new("urgency", urgency),
        KeyValue::new("outcome", outcome),
    ]
}

impl Default for EntryMetrics {
    fn default() -> Self {
        Self::new()
    }
}
