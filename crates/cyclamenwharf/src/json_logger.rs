//! A logger that writes JSON lines.
//!
//! `simplelog` has no JSON output, so [`JsonLogger`] implements its `SharedLogger` trait: it works
//! with `simplelog::CombinedLogger` and writes the key-value fields of `log` records.

use std::io::Write;
use std::sync::Mutex;

use chrono::SecondsFormat;
use chrono::Utc;
use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use serde_json::Map;
use simplelog::CombinedLogger;
use simplelog::Config;
use simplelog::SharedLogger;

use crate::LineQueue;
use crate::StartError;

/// A logger that writes one JSON object per line.
pub struct JsonLogger {
    level: LevelFilter,
    out: Mutex<Box<dyn Write + Send>>,
}

struct FieldVisitor<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = value
            .to_u64()
            .map(serde_json::Value::from)
            .unwrap_or_else(|| value.to_string().into());
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

impl JsonLogger {
    /// Returns a logger that writes to `out`.
    pub fn new(level: LevelFilter, out: Box<dyn Write + Send>) -> Box<Self> {
        Box::new(Self {
            level,
            out: Mutex::new(out),
        })
    }

    /// Installs a logger to standard output as the logger of this process. Writing never blocks.
    ///
    /// # Errors
    ///
    /// Fails if a logger is already installed or if the writer thread cannot be started.
    pub fn install(level: LevelFilter) -> Result<(), StartError> {
        let queue = LineQueue::start(std::io::stdout()).map_err(StartError::new)?;
        CombinedLogger::init(vec![Self::new(level, Box::new(queue))]).map_err(StartError::new)
    }

    fn format_line(record: &Record<'_>) -> String {
        let mut fields = Map::new();
        let time = Utc::now().to_rfc3339_opts(SecondsFormat::Micros, true);
        fields.insert("time".to_owned(), time.into());
        fields.insert("level".to_owned(), record.level().as_str().into());
        fields.insert("module".to_owned(), record.target().into());
        fields.insert("message".to_owned(), record.args().to_string().into());
        // A field that cannot be converted is omitted, so that the rest of the line is not lost.
        let _ = record.key_values().visit(&mut FieldVisitor(&mut fields));
        serde_json::Value::Object(fields).to_string()
    }
}

impl Log for JsonLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let line = Self::format_line(record) + "\n";
        if let Ok(mut out) = self.out.lock() {
            // A write error is ignored: a failing log must not stop the process.
            let _ = out.write_all(line.as_bytes());
        }
    }

    fn flush(&self) {
        if let Ok(mut out) = self.out.lock() {
            let _ = out.flush();
        }
    }
}

impl SharedLogger for JsonLogger {
    fn level(&self) -> LevelFilter {
        self.level
    }

    fn config(&self) -> Option<&Config> {
        None
    }

    fn as_log(self: Box<Self>) -> Box<dyn Log> {
        self
    }
}
