//! Log lines: one JSON object a line on standard error, with typed fields.
//!
//! ```text
//! {"time_ms":1764698827000,"level":"warn","program":"sardinewood-entry","host":"wdh-e1",
//!  "message":"link lost","upstream":"lang-1","revision":42}
//! ```
//! (broken here for reading). Nothing is written before [`install`], so that servers which
//! run inside a test are quiet.

use std::fmt;
use std::fmt::Write;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::UNIX_EPOCH;

use serde::Serialize;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::Record;
use spdlog::StringBuf;
use spdlog::ThreadPool;
use spdlog::formatter::Formatter;
use spdlog::formatter::FormatterContext;
use spdlog::sink::AsyncPoolSink;
use spdlog::sink::OverflowPolicy;
use spdlog::sink::Sink;
use spdlog::sink::StdStream;
use spdlog::sink::StdStreamSink;

use crate::ids::AttemptId;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::store::position::StorePosition;

pub use spdlog::Level;

/// The words of the `--log-level` setting, least important last.
pub const LEVEL_WORDS: [&str; 4] = ["error", "warn", "info", "debug"];

/// Lines that may wait for standard error before further ones are dropped.
const QUEUE_LINES: usize = 8_192;
/// Name of the logger whose payloads are objects made by [`Line`], not plain text.
const LINES_LOGGER: &str = "lines";

static LOGGER: OnceLock<Logger> = OnceLock::new();

/// Writes each record as one JSON object on one line.
///
/// ```
/// use sardinewood::logging::LineFormatter;
///
/// let _ = LineFormatter::new(&[("program", "sardinewood-entry")]);
/// ```
#[derive(Clone)]
pub struct LineFormatter {
    /// Fields of the process, each ending in a comma.
    identity: Arc<str>,
}

impl LineFormatter {
    /// A formatter that puts the fields of `identity` on every line.
    ///
    /// ```
    /// let _ = sardinewood::logging::LineFormatter::new(&[]);
    /// ```
    #[must_use]
    pub fn new(identity: &[(&str, &str)]) -> Self {
        let mut text = String::new();
        for (key, value) in identity {
            push_json(&mut text, key);
            text.push(':');
            push_json(&mut text, value);
            text.push(',');
        }
        Self {
            identity: text.into(),
        }
    }

    fn write(&self, record: &Record<'_>, to: &mut StringBuf) -> fmt::Result {
        let since = record.time().duration_since(UNIX_EPOCH);
        let time_ms = since.unwrap_or_default().as_millis();
        let level = record.level().as_str();
        write!(to, "{{\"time_ms\":{time_ms},\"level\":\"{level}\",")?;
        to.write_str(&self.identity)?;
        match record.logger_name() {
            Some(LINES_LOGGER) => to.write_str(record.payload().trim_start_matches('{'))?,
            _ => write_message(record.payload(), to)?,
        }
        to.write_char('\n')
    }
}

impl Formatter for LineFormatter {
    fn format(
        &self,
        record: &Record<'_>,
        dest: &mut StringBuf,
        _ctx: &mut FormatterContext<'_>,
    ) -> spdlog::Result<()> {
        self.write(record, dest)
            .map_err(spdlog::Error::FormatRecord)
    }
}

/// Writes plain text, as a library logs it, as the last field of the object.
fn write_message(payload: &str, to: &mut StringBuf) -> fmt::Result {
    let mut message = String::new();
    push_json(&mut message, payload);
    write!(to, "\"message\":{message}}}")
}

/// Appends a value as JSON, in which a line break or quote of outside text is escaped and
/// so can neither end the line nor add a field.
fn push_json(text: &mut String, value: &(impl Serialize + ?Sized)) {
    match serde_json::to_string(value) {
        Ok(json) => text.push_str(&json),
        Err(_) => text.push_str("null"),
    }
}

/// One log line under construction.
///
/// ```
/// use sardinewood::ids::RequestId;
/// use sardinewood::logging::{Level, Line};
///
/// let line = Line::new(Level::Info, "request shed").request(RequestId(1)).field("tier", 4);
/// assert!(line.json().starts_with(r#"{"message":"request shed","request":"req-0"#));
/// line.send();
/// ```
#[derive(Debug)]
#[must_use = "a line is written by `send`"]
pub struct Line {
    level: Level,
    /// The object without its closing brace.
    text: String,
}

impl Line {
    /// Begins a line. The message is constant text; what varies goes into fields.
    ///
    /// ```
    /// let line = sardinewood::logging::Line::new(sardinewood::logging::Level::Warn, "slow");
    /// assert_eq!(line.json(), r#"{"message":"slow"}"#);
    /// ```
    pub fn new(level: Level, message: &str) -> Self {
        let mut text = String::from("{\"message\":");
        push_json(&mut text, message);
        Self { level, text }
    }

    /// Adds a field.
    ///
    /// ```
    /// let line = sardinewood::logging::Line::new(sardinewood::logging::Level::Warn, "slow");
    /// assert_eq!(line.field("waited_ms", 7).json(), r#"{"message":"slow","waited_ms":7}"#);
    /// ```
    pub fn field(mut self, key: &'static str, value: impl Serialize) -> Self {
        self.text.push(',');
        push_json(&mut self.text, key);
        self.text.push(':');
        push_json(&mut self.text, &value);
        self
    }

    /// Adds the request that the line is about.
    ///
    /// ```
    /// use sardinewood::ids::RequestId;
    /// use sardinewood::logging::{Level, Line};
    ///
    /// assert!(Line::new(Level::Info, "done").request(RequestId(1)).json().contains("req-"));
    /// ```
    pub fn request(self, request: RequestId) -> Self {
        self.field("request", request.to_string())
    }

    /// Adds the attempt that the line is about, and its request.
    ///
    /// ```
    /// use sardinewood::ids::{AttemptId, RequestId};
    /// use sardinewood::logging::{Level, Line};
    ///
    /// let attempt = AttemptId { request: RequestId(1), number: 2 };
    /// assert!(Line::new(Level::Info, "sent").attempt(attempt).json().ends_with("\"attempt\":2}"));
    /// ```
    pub fn attempt(self, attempt: AttemptId) -> Self {
        self.request(attempt.request)
            .field("attempt", attempt.number)
    }

    /// Adds the incarnation of the process at the other end.
    ///
    /// ```
    /// use sardinewood::ids::Incarnation;
    /// use sardinewood::logging::{Level, Line};
    ///
    /// let line = Line::new(Level::Info, "link open").incarnation(Incarnation(1));
    /// assert!(line.json().contains("0000000000000001"));
    /// ```
    pub fn incarnation(self, incarnation: Incarnation) -> Self {
        self.field("incarnation", incarnation.to_string())
    }

    /// Adds the revision of the configuration in force.
    ///
    /// ```
    /// # use sardinewood::store::position::StorePosition;
    /// use sardinewood::logging::{Level, Line};
    ///
    /// assert!(Line::new(Level::Info, "applied").revision(StorePosition::new(0, 3)).json().contains("\"revision\":3"));
    /// ```
    pub fn revision(self, position: StorePosition) -> Self {
        let line = self.field("revision", position.revision);
        match position.era {
            0 => line,
            era => line.field("era", era),
        }
    }

    /// The line's own fields as a JSON object.
    ///
    /// ```
    /// use sardinewood::logging::{Level, Line};
    ///
    /// assert_eq!(Line::new(Level::Info, "a\nb").json(), r#"{"message":"a\nb"}"#);
    /// ```
    #[must_use]
    pub fn json(&self) -> String {
        format!("{}}}", self.text)
    }

    /// Writes the line, without waiting for the reader of standard error.
    ///
    /// ```
    /// use sardinewood::logging::{Level, Line};
    ///
    /// Line::new(Level::Info, "started").send();
    /// ```
    pub fn send(self) {
        if let Some(logger) = LOGGER.get() {
            self.send_to(logger);
        }
    }

    /// Writes the line to a logger made by [`logger`].
    ///
    /// ```
    /// use std::sync::Arc;
    /// use sardinewood::logging::{Level, Line, LineFormatter, logger};
    /// use spdlog::sink::WriteSink;
    ///
    /// let formatter = Box::new(LineFormatter::new(&[]));
    /// let sink = WriteSink::builder().formatter(formatter).target(Vec::new()).build().unwrap();
    /// let sink = Arc::new(sink);
    /// Line::new(Level::Info, "started").send_to(&logger("info", sink.clone()).unwrap());
    /// assert!(String::from_utf8(sink.clone_target()).unwrap().ends_with("\"started\"}\n"));
    /// ```
    pub fn send_to(self, logger: &Logger) {
        let json = self.json();
        match self.level {
            Level::Critical => spdlog::critical!(logger: logger, "{json}"),
            Level::Error => spdlog::error!(logger: logger, "{json}"),
            Level::Warn => spdlog::warn!(logger: logger, "{json}"),
            Level::Info => spdlog::info!(logger: logger, "{json}"),
            Level::Debug => spdlog::debug!(logger: logger, "{json}"),
            Level::Trace => spdlog::trace!(logger: logger, "{json}"),
        }
    }
}

/// A logger for [`Line::send_to`] that writes what is at least as important as `level`.
///
/// ```
/// use std::sync::Arc;
/// use spdlog::sink::{StdStream, StdStreamSink};
///
/// let sink = StdStreamSink::builder().std_stream(StdStream::Stderr).build().unwrap();
/// assert!(sardinewood::logging::logger("warn", Arc::new(sink)).is_ok());
/// ```
///
/// # Errors
///
/// When the library refuses to build it.
pub fn logger(level: &str, sink: Arc<dyn Sink>) -> spdlog::Result<Logger> {
    Logger::builder()
        .name(LINES_LOGGER)
        .level_filter(LevelFilter::MoreSevereEqual(level_of(level)))
        .sink(sink)
        .build()
}

/// The level of a word of [`LEVEL_WORDS`]; others mean `info`.
fn level_of(word: &str) -> Level {
    match word {
        "error" => Level::Error,
        "warn" => Level::Warn,
        "debug" => Level::Debug,
        _ => Level::Info,
    }
}

/// Sends the lines of this process to standard error. A second call changes nothing.
///
/// Lines pass through a bounded queue to a thread of their own, and are dropped when it
/// is full: a reader of standard error that stands still would otherwise stop each thread
/// at its next line, and callers would see the traffic hang.
///
/// ```
/// sardinewood::logging::install("error", &[("program", "example")]).unwrap();
/// ```
///
/// # Errors
///
/// When the library refuses to build the logger.
pub fn install(level: &str, identity: &[(&str, &str)]) -> spdlog::Result<()> {
    install_on(StdStream::Stderr, level, identity)
}

/// Sends the lines of this process to standard output, otherwise as [`install`] does.
///
/// ```
/// sardinewood::logging::install_on_stdout("error", &[("program", "example")]).unwrap();
/// ```
///
/// # Errors
///
/// When the library refuses to build the logger.
pub fn install_on_stdout(level: &str, identity: &[(&str, &str)]) -> spdlog::Result<()> {
    install_on(StdStream::Stdout, level, identity)
}

fn install_on(to: StdStream, level: &str, identity: &[(&str, &str)]) -> spdlog::Result<()> {
    let stream = StdStreamSink::builder()
        .std_stream(to)
        .formatter(Box::new(LineFormatter::new(identity)))
        .build()?;
    let pool = ThreadPool::builder().capacity(QUEUE_LINES).build()?;
    let queue = AsyncPoolSink::builder()
        .sink(Arc::new(stream))
        .thread_pool(Arc::new(pool))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build()?;
    let queue = Arc::new(queue);
    // Plain records of libraries take the same way and form.
    let plain = Logger::builder()
        .level_filter(LevelFilter::MoreSevereEqual(level_of(level)))
        .sink(queue.clone())
        .build()?;
    spdlog::set_default_logger(Arc::new(plain));
    let _ = LOGGER.set(logger(level, queue)?);
    Ok(())
}

/// Writes what waits in the queue, for the end of a program.
///
/// ```
/// sardinewood::logging::flush();
/// ```
pub fn flush() {
    if let Some(logger) = LOGGER.get() {
        logger.flush();
    }
}
