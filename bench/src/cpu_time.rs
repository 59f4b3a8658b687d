//! Processor time by role, read from the kernel's account of each named thread.

use std::fs;
use std::path::Path;

use indexmap::IndexMap;

/// Processor time of the threads of each role, in microseconds.
pub type CpuByRole = IndexMap<&'static str, u64>;

/// The role of all threads whose name has none of the known prefixes.
pub const OTHER_ROLE: &str = "other";

/// Thread names begin with these.
const ROLE_PREFIXES: &[&str] = &["entry", "agent", "engine", "load"];

/// Where the kernel lists this process's threads.
const TASKS: &str = "/proc/self/task";

/// The role of a thread with this name.
///
/// ```
/// use sardinewood_bench::cpu_time::role_of;
///
/// assert_eq!(role_of("entry-control"), "entry");
/// assert_eq!(role_of("tokio-worker"), "other");
/// ```
#[must_use]
pub fn role_of(thread_name: &str) -> &'static str {
    ROLE_PREFIXES
        .iter()
        .find(|prefix| thread_name.starts_with(**prefix))
        .copied()
        .unwrap_or(OTHER_ROLE)
}

/// Processor time that each role's threads have used so far.
///
/// Threads that have ended are not counted, so a measurement must keep its threads alive.
///
/// ```
/// let by_role = sardinewood_bench::cpu_time::by_role();
/// assert!(by_role.contains_key("other"));
/// ```
#[must_use]
pub fn by_role() -> CpuByRole {
    let mut sums = CpuByRole::new();
    let Ok(tasks) = fs::read_dir(TASKS) else {
        return sums;
    };
    for task in tasks.flatten() {
        // A thread may end between the listing and the reading; it is then left out.
        if let Some((role, used_us)) = read_task(&task.path()) {
            *sums.entry(role).or_default() += used_us;
        }
    }
    sums
}

/// What each role has used since `before`.
///
/// ```
/// use sardinewood_bench::cpu_time;
///
/// let before = cpu_time::by_role();
/// let used = cpu_time::since(&before);
/// assert!(used.contains_key("other"));
/// ```
#[must_use]
pub fn since(before: &CpuByRole) -> CpuByRole {
    by_role()
        .into_iter()
        .map(|(role, used_us)| {
            let earlier_us = before.get(role).copied().unwrap_or(0);
            (role, used_us.saturating_sub(earlier_us))
        })
        .collect()
}

/// Resident memory of this process in bytes, or 0 where the kernel does not tell.
///
/// ```
/// assert!(sardinewood_bench::cpu_time::resident_bytes() > 0);
/// ```
#[must_use]
pub fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.trim().strip_suffix(" kB"))
        .and_then(|kilobytes| kilobytes.trim().parse::<u64>().ok())
        .map_or(0, |kilobytes| kilobytes * 1024)
}

fn read_task(task: &Path) -> Option<(&'static str, u64)> {
    let name = fs::read_to_string(task.join("comm")).ok()?;
    let account = fs::read_to_string(task.join("schedstat")).ok()?;
    let on_cpu_ns: u64 = account.split_whitespace().next()?.parse().ok()?;
    Some((role_of(name.trim_end()), on_cpu_ns / 1_000))
}
