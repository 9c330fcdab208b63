//! What the operating system reports of the machine.

use crate::Size;

/// File with the memory of the machine.
const MEMORY_FILE: &str = "/proc/meminfo";
/// Field of that file with the whole memory, in KiB.
const TOTAL_FIELD: &str = "MemTotal:";

/// Memory of the machine, `None` if the operating system does not report it.
pub(crate) fn memory() -> Option<Size> {
    parse(&std::fs::read_to_string(MEMORY_FILE).ok()?)
}

fn parse(report: &str) -> Option<Size> {
    let mut lines = report.lines();
    let total = lines.find_map(|line| line.strip_prefix(TOTAL_FIELD))?;
    let kibibytes = total.split_whitespace().next()?.parse::<u64>().ok()?;
    Some(Size::from_bytes(kibibytes.checked_mul(1024)?))
}
