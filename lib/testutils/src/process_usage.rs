//! What a process uses of its host, as the system tells it.

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

/// Time between two samples.
const SAMPLE_PERIOD: Duration = Duration::from_millis(20);

/// The most that a process used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeakUsage {
    /// Memory in use.
    pub memory_bytes: u64,
    /// What the system had received on the process's ports and the process had not read.
    pub unread_bytes: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

impl PeakUsage {
    /// Returns all bytes that count as the process's memory.
    ///
    /// ```
    /// use testutils::process_usage::PeakUsage;
    ///
    /// let peak = PeakUsage { memory_bytes: 2, unread_bytes: 3, descriptors: 4 };
    /// assert_eq!(peak.total_bytes(), 5);
    /// ```
    #[must_use]
    pub fn total_bytes(&self) -> u64 {
        self.memory_bytes + self.unread_bytes
    }
}

/// What a host grants a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostLimits {
    /// Memory in MB.
    pub memory_mb: u64,
    /// Descriptors that may be open.
    pub descriptors: u64,
}

impl HostLimits {
    /// A host with little memory.
    pub const SMALL_MEMORY: Self = Self {
        memory_mb: 64,
        descriptors: 4_100,
    };
    /// A host with few descriptors.
    pub const FEW_DESCRIPTORS: Self = Self {
        memory_mb: 160,
        descriptors: 400,
    };

    /// Checks that a process has stayed within the limits.
    ///
    /// # Panics
    ///
    /// When it has not.
    pub fn check(&self, peak: PeakUsage) {
        println!("{peak:?}");
        assert!(peak.total_bytes() <= self.memory_mb * 1_000_000, "{peak:?}");
        assert!(peak.descriptors <= self.descriptors, "{peak:?}");
    }
}

#[derive(Debug, Default)]
struct Samples {
    unread_bytes: AtomicU64,
    descriptors: AtomicU64,
    is_over: AtomicBool,
}

/// Samples the usage of a process until it is dropped.
#[derive(Debug)]
pub struct UsageSampler {
    process: u32,
    samples: Arc<Samples>,
    thread: Option<JoinHandle<()>>,
}

impl UsageSampler {
    /// Samples a process that serves these addresses.
    #[must_use]
    pub fn start(process: u32, addresses: Vec<SocketAddr>) -> Self {
        let samples = Arc::new(Samples::default());
        let shared = Arc::clone(&samples);
        let thread = thread::spawn(move || {
            while !shared.is_over.load(Ordering::Relaxed) {
                let unread_bytes = unread_bytes(process, &addresses).unwrap_or_default();
                shared
                    .unread_bytes
                    .fetch_max(unread_bytes, Ordering::Relaxed);
                let descriptors = open_descriptors(process).unwrap_or_default();
                shared.descriptors.fetch_max(descriptors, Ordering::Relaxed);
                thread::sleep(SAMPLE_PERIOD);
            }
        });
        Self {
            process,
            samples,
            thread: Some(thread),
        }
    }

    /// Returns the most that was used until now; no memory if the process has ended.
    #[must_use]
    pub fn peak(&self) -> PeakUsage {
        PeakUsage {
            memory_bytes: peak_memory_bytes(self.process).unwrap_or_default(),
            unread_bytes: self.samples.unread_bytes.load(Ordering::Relaxed),
            descriptors: self.samples.descriptors.load(Ordering::Relaxed),
        }
    }
}

impl Drop for UsageSampler {
    fn drop(&mut self) {
        self.samples.is_over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic there has been printed.
            let _ended = thread.join();
        }
    }
}

/// Returns the most memory that a process had in use, as long as it runs.
#[must_use]
pub fn peak_memory_bytes(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kilobytes: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kilobytes << 10)
}

fn open_descriptors(process: u32) -> Option<u64> {
    let descriptors = fs::read_dir(format!("/proc/{process}/fd")).ok()?;
    u64::try_from(descriptors.count()).ok()
}

/// Adds up the receive queues of the connections that were accepted at these addresses.
fn unread_bytes(process: u32, addresses: &[SocketAddr]) -> Option<u64> {
    /// The state of a listener, whose queue holds connections.
    const LISTEN: &str = "0A";
    let table = fs::read_to_string(format!("/proc/{process}/net/tcp")).ok()?;
    let queued = table.lines().skip(1).filter_map(|line| {
        let mut fields = line.split_ascii_whitespace().skip(1);
        let (_, port) = fields.next()?.split_once(':')?;
        let state = fields.nth(1)?;
        let (_, unread) = fields.next()?.split_once(':')?;
        let port = u16::from_str_radix(port, 16).ok()?;
        let is_own = addresses.iter().any(|address| address.port() == port);
        (is_own && state != LISTEN)
            .then(|| u64::from_str_radix(unread, 16).ok())
            .flatten()
    });
    Some(queued.sum())
}
