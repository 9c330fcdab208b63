//! Log lines are written whole, in writes that a pipe takes at once.

use std::io::{self, Write};

use cardamomshed_daemon::logging::write_whole_lines;

/// Records each write.
#[derive(Default)]
struct Writes(Vec<Vec<u8>>);

impl Write for Writes {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_not_split() {
    let line = |number: usize| format!("{}\n", "x".repeat(number * 37 % 400));
    let lines = (0..200).map(line).collect::<String>();
    let mut writes = Writes::default();
    write_whole_lines(&mut writes, lines.as_bytes()).expect("the writer accepts all");
    assert!(writes.0.len() > 1);
    for write in &writes.0 {
        assert!(write.len() <= 4_096);
        assert_eq!(write.last(), Some(&b'\n'));
    }
    assert_eq!(writes.0.concat(), lines.as_bytes());
}

#[test]
fn longer_line_complete() {
    let lines = format!("{}\nshort\n", "x".repeat(10_000));
    let mut writes = Writes::default();
    write_whole_lines(&mut writes, lines.as_bytes()).expect("the writer accepts all");
    assert_eq!(writes.0.concat(), lines.as_bytes());
}
