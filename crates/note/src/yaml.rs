//! Reading YAML files with bounds on what they may cost.

use std::fs;
use std::path::Path;

use cardamomshed_code::{Code, Failure};
use serde::de::DeserializeOwned;
use serde_saphyr::{Error, Options};

/// Largest file that is read, in bytes.
pub const MAX_FILE: usize = 4 * 1024 * 1024;
/// Deepest nesting that is read.
const MAX_DEPTH: usize = 16;
/// Most aliases that are followed; the schema needs none.
const MAX_ALIASES: usize = 16;
/// Most nodes that aliases may expand to.
const MAX_REPLAYED: usize = 1_000;

/// Reads and parses a file.
///
/// # Errors
///
/// Those of [`parse`], [`Code::FileUnreadable`], [`Code::FileTooLarge`] and
/// [`Code::FileEncoding`], each with the file's name.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<(T, String), Failure> {
    let text = read_text(path)?;
    let value = parse(&text).map_err(|failure| in_file(path, &failure))?;
    Ok((value, text))
}

/// Puts the file's name before the detail of a failure.
pub(crate) fn in_file(path: &Path, failure: &Failure) -> Failure {
    Failure::new(
        failure.code,
        format!("{}:{}", path.display(), failure.detail),
    )
}

fn read_text(path: &Path) -> Result<String, Failure> {
    let unreadable =
        |error| Failure::new(Code::FileUnreadable, format!("{}: {error}", path.display()));
    let length = fs::metadata(path).map_err(unreadable)?.len();
    if length > MAX_FILE as u64 {
        return Err(Failure::new(
            Code::FileTooLarge,
            format!("{}: {length} bytes, at most {MAX_FILE}", path.display()),
        ));
    }
    let bytes = fs::read(path).map_err(unreadable)?;
    String::from_utf8(bytes).map_err(|error| {
        let valid = error.utf8_error().valid_up_to();
        let lines_before = error.as_bytes()[..valid]
            .split(|byte| *byte == b'\n')
            .count();
        Failure::new(
            Code::FileEncoding,
            format!(
                "{}:{}:1: byte {valid} is not UTF-8",
                path.display(),
                lines_before
            ),
        )
    })
}

/// Parses a document. The detail of an error starts with line and column.
///
/// # Errors
///
/// [`Code::FileTooLarge`], or [`Code::YamlInvalid`] for whatever does not
/// fit the schema, duplicate keys and excessive nesting or aliases included.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, Failure> {
    if text.len() > MAX_FILE {
        return Err(Failure::new(
            Code::FileTooLarge,
            format!("1:1: {} bytes, at most {MAX_FILE}", text.len()),
        ));
    }
    serde_saphyr::from_str_with_options(text, options()).map_err(|error| located(&error))
}

fn options() -> Options {
    let mut options = Options::default();
    if let Some(budget) = options.budget.as_mut() {
        budget.max_depth = MAX_DEPTH;
        budget.max_aliases = MAX_ALIASES;
    }
    options.alias_limits.max_total_replayed_events = MAX_REPLAYED;
    options.with_snippet = false;
    options
}

fn located(error: &Error) -> Failure {
    let error = error.without_snippet();
    let (line, column) = error
        .location()
        .map_or((1, 1), |place| (place.line(), place.column()));
    Failure::new(Code::YamlInvalid, format!("{line}:{column}: {error}"))
}
