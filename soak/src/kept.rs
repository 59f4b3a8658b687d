//! Seeds that ever failed, kept to be played again.

/// The seeds of the kept file, each with its cause.
///
/// # Errors
///
/// When a line has no seed; the error is the line.
pub fn seeds(text: &str) -> Result<Vec<(u64, String)>, String> {
    text.lines()
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
        .map(|line| {
            let (seed, cause) = line.split_once(' ').ok_or(line)?;
            let seed = seed.parse().map_err(|_| line.to_owned())?;
            Ok((seed, cause.to_owned()))
        })
        .collect()
}

/// The seeds that are kept with this program.
///
/// # Errors
///
/// When a line of them has no seed; the error is the line.
pub fn kept() -> Result<Vec<(u64, String)>, String> {
    seeds(include_str!("../seeds.txt"))
}
