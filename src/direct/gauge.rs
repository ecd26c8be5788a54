//! Metrics of a direct entry: counters, gauges and a latency histogram, recorded with OpenTelemetry
//! and exported as Prometheus text.
//!
//! Label values are names from the configuration or come from closed sets, so their number does not
//! grow with requests or keys.

use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::announced::DeclineReason;
use crate::direct::channel::Framing;
use crate::direct::ends::EndSign;
use crate::direct::known::capacity::PoolCapacity;
use crate::direct::limits::PermitDecision;

/// Bounds of the latency buckets, in ms, chosen around the targets of the configured request
/// classes.
const LATENCY_MS: [f64; 12] = [
    10.0, 25.0, 50.0, 100.0, 200.0, 300.0, 500.0, 800.0, 1_200.0, 2_000.0, 4_000.0, 12_000.0,
];

/// Metric instruments of one process.
#[derive(Debug)]
pub struct EntryMetrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    first_byte_ms: Histogram<f64>,
    streams: Counter<u64>,
    origin_lookups: Counter<u64>,
    store_calls: Counter<u64>,
    store_restored: Counter<u64>,
    read_bytes: Counter<u64>,
    connections: Counter<u64>,
    closed_unread: Counter<u64>,
    unreadable: Counter<u64>,
    runs_ended: Counter<u64>,
    announced: Counter<u64>,
    sent_against: Counter<u64>,
    sent_to_limited: Counter<u64>,
    permits: Counter<u64>,
    refused_with_room: Counter<u64>,
    passed_over: Counter<u64>,
    endpoint_reports: Counter<u64>,
    pool_capacity: Gauge<f64>,
    state: Gauge<u64>,
}

impl EntryMetrics {
    /// Creates the instruments. If the exporter cannot be set up, that is logged and the
    /// instruments record without being exported.
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
            first_byte_ms: meter
                .f64_histogram("direct_first_byte_ms")
                .with_boundaries(LATENCY_MS.to_vec())
                .build(),
            streams: meter.u64_counter("direct_streams").build(),
            origin_lookups: meter.u64_counter("direct_origin_lookups").build(),
            store_calls: meter.u64_counter("direct_store_calls").build(),
            store_restored: meter.u64_counter("direct_store_restored").build(),
            read_bytes: meter.u64_counter("direct_read_bytes").build(),
            connections: meter.u64_counter("direct_endpoint_connections").build(),
            closed_unread: meter
                .u64_counter("direct_connections_closed_unread")
                .build(),
            unreadable: meter.u64_counter("direct_unreadable_entries").build(),
            runs_ended: meter.u64_counter("direct_runs_ended_with_endpoint").build(),
            announced: meter.u64_counter("direct_announced").build(),
            sent_against: meter.u64_counter("direct_sent_against").build(),
            sent_to_limited: meter.u64_counter("direct_sent_to_limited").build(),
            permits: meter.u64_counter("direct_permits").build(),
            refused_with_room: meter.u64_counter("direct_refused_with_room").build(),
            passed_over: meter.u64_counter("direct_endpoints_passed_over").build(),
            endpoint_reports: meter.u64_counter("direct_endpoint_reports").build(),
            pool_capacity: meter.f64_gauge("direct_pool_capacity").build(),
            state: meter.u64_gauge("direct_state").build(),
            registry,
            _provider: provider,
        }
    }

    /// Counts the end of a request for a pool. `urgency` is that of its route; `None` if no route
    /// allowed it.
    pub fn request(&self, pool: &str, urgency: Option<u8>, outcome: &'static str) {
        self.requests
            .add(1, &outcome_labels(pool, urgency, outcome));
    }

    /// Counts an attempt that was sent to an endpoint of a pool, or one that ended without an
    /// answer, according to `outcome`.
    pub fn attempt(&self, pool: &str, urgency: u8, outcome: &'static str) {
        self.attempts
            .add(1, &outcome_labels(pool, Some(urgency), outcome));
    }

    /// Records the time until the first byte of an answer was sent to the caller, in ms.
    pub fn first_byte(&self, pool: &str, priority: u8, ms: f64) {
        let labels = [
            KeyValue::new("pool", pool.to_owned()),
            KeyValue::new("priority", i64::from(priority)),
        ];
        self.first_byte_ms.record(ms, &labels);
    }

    /// Counts a stream of an endpoint that ended, by how its response marks its end.
    pub fn stream_ended(&self, framing: Framing, end: &'static str) {
        let labels = [
            KeyValue::new("framing", framing.label()),
            KeyValue::new("end", end),
        ];
        self.streams.add(1, &labels);
    }

    /// Counts a request that resumes a stream, by how it was found where the stream began.
    pub fn origin_lookup(&self, found: &'static str) {
        self.origin_lookups.add(1, &[KeyValue::new("found", found)]);
    }

    /// Counts a call to the store.
    pub fn store_call(&self, outcome: &'static str) {
        self.store_calls
            .add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a restoration of the store from an older copy.
    pub fn store_restored(&self) {
        self.store_restored.add(1, &[]);
    }

    /// Counts bytes read of a document, or of a part of it, from the store or a peer.
    pub fn read(&self, document: &'static str, source: &'static str, bytes: u64) {
        let labels = [
            KeyValue::new("document", document),
            KeyValue::new("source", source),
        ];
        self.read_bytes.add(bytes, &labels);
    }

    /// Counts a connection opened to an endpoint.
    pub fn connection(&self) {
        self.connections.add(1, &[]);
    }

    /// Counts callers' connections that were closed before a request of theirs was read.
    pub fn closed_unread(&self, connections: u64) {
        self.closed_unread.add(connections, &[]);
    }

    /// Counts a record of the store that could not be parsed.
    pub fn unreadable(&self) {
        self.unreadable.add(1, &[]);
    }

    /// Counts runs that were lost because their endpoint terminated.
    pub fn runs_ended(&self, sign: EndSign, runs: u64) {
        let labels = [KeyValue::new("sign", sign.label())];
        self.runs_ended.add(runs, &labels);
    }

    /// Counts an announcement by which an endpoint declines requests.
    pub fn announced(&self, what: DeclineReason) {
        let labels = [KeyValue::new("what", what.label())];
        self.announced.add(1, &labels);
    }

    /// Counts a request that was sent to an endpoint although that had declined requests.
    pub fn sent_against(&self, what: DeclineReason) {
        let labels = [KeyValue::new("what", what.label())];
        self.sent_against.add(1, &labels);
    }

    /// Counts a request that was sent to an endpoint that has announced a rate limit.
    pub fn sent_to_limited(&self) {
        self.sent_to_limited.add(1, &[]);
    }

    /// Counts a request for a permit to send to an endpoint that may have a rate limit; nothing is
    /// counted for an endpoint without one.
    pub fn permit(&self, step: &PermitDecision) {
        let outcome = match step {
            PermitDecision::Unlimited => return,
            PermitDecision::Permitted => "given",
            PermitDecision::Wait(_) => "not_given",
            PermitDecision::Ask(_) => "passed_around",
        };
        self.permits.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a request that was refused while endpoints of its pool had free slots.
    pub fn refused_with_room(&self, pool: &str) {
        let labels = [KeyValue::new("pool", pool.to_owned())];
        self.refused_with_room.add(1, &labels);
    }

    /// Counts an endpoint of a pool that a request passed over because it refused the connection.
    pub fn passed_over(&self, pool: &str) {
        let labels = [KeyValue::new("pool", pool.to_owned())];
        self.passed_over.add(1, &labels);
    }

    /// Counts a report between entries that an endpoint can't be reached.
    pub fn endpoint_report(&self, outcome: &'static str) {
        self.endpoint_reports
            .add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Sets the learned capacity of a pool's engines.
    pub fn pool_capacity(&self, pool: &str, capacity: PoolCapacity) {
        let values = [
            ("prefill_tokens_per_ms", capacity.prefill_tokens_per_ms),
            ("step_ms", capacity.step_ms),
            ("tokens_per_event", capacity.tokens_per_event),
        ];
        for (name, value) in values {
            let labels = [
                KeyValue::new("pool", pool.to_owned()),
                KeyValue::new("name", name),
            ];
            self.pool_capacity.record(value, &labels);
        }
    }

    /// Sets the gauge `name`, such as the configuration version in force or the number of entries.
    pub fn set(&self, name: &'static str, value: u64) {
        self.state.record(value, &[KeyValue::new("name", name)]);
    }

    /// Renders all metrics as Prometheus text; empty or truncated if they cannot be encoded, which
    /// is logged.
    pub fn text(&self) -> String {
        let mut out = Vec::new();
        if let Err(err) = TextEncoder::new().encode(&self.registry.gather(), &mut out) {
            tracing::warn!(%err, "metrics could not be written");
        }
        String::from_utf8_lossy(&out).into_owned()
    }
}

/// Labels for the outcome of a request in a pool. The urgency label is empty for a request that no
/// route allowed.
fn outcome_labels(pool: &str, urgency: Option<u8>, outcome: &'static str) -> [KeyValue; 3] {
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
