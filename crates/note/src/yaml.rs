//! Reading YAML files with bounds on memory and work.

use std::fs;
use std::path::Path;

use cardamomshed_code::{Code, Failure};
use serde::de::DeserializeOwned;
use serde_saphyr::{Error, Options};

/// Maximum size of a file or document, in bytes.
pub const MAX_FILE_BYTES: usize = 4 * 1024 * 1024;
/// Maximum nesting depth of a document.
const MAX_DEPTH: usize = 16;
/// Maximum number of aliases in a document. The schema needs none; the bound
/// stops documents that expand exponentially.
const MAX_ALIASES: usize = 16;
/// Maximum number of parser events that aliases may expand to.
const MAX_REPLAYED_EVENTS: usize = 1_000;

/// Reads and parses a file. Returns the value and the text of the file.
///
/// # Errors
///
/// Those of [`parse`], [`Code::FileUnreadable`], [`Code::FileTooLarge`] and
/// [`Code::FileEncoding`], each with the file's path in its detail.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<(T, String), Failure> {
    let text = read_text(path)?;
    let value = parse(&text).map_err(|failure| in_file(path, &failure))?;
    Ok((value, text))
}

/// Prefixes the detail of a failure with the file's path.
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
    if length > MAX_FILE_BYTES as u64 {
        return Err(Failure::new(
            Code::FileTooLarge,
            format!(
                "{}: file has {length} bytes, at most {MAX_FILE_BYTES} are allowed",
                path.display()
            ),
        ));
    }
    let bytes = fs::read(path).map_err(unreadable)?;
    String::from_utf8(bytes).map_err(|error| {
        let offset = error.utf8_error().valid_up_to();
        let line = error.as_bytes()[..offset]
            .split(|byte| *byte == b'\n')
            .count();
        Failure::new(
            Code::FileEncoding,
            format!(
                "{}:{}:1: invalid UTF-8 at byte {offset}",
                path.display(),
                line
            ),
        )
    })
}

/// Parses a document. The detail of an error starts with `line:column: `.
///
/// # Errors
///
/// [`Code::FileTooLarge`], or [`Code::YamlInvalid`] for a document that is not
/// valid YAML, does not match the schema, repeats a key, or exceeds the bounds
/// on nesting and aliases.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, Failure> {
    if text.len() > MAX_FILE_BYTES {
        return Err(Failure::new(
            Code::FileTooLarge,
            format!(
                "1:1: document has {} bytes, at most {MAX_FILE_BYTES} are allowed",
                text.len()
            ),
        ));
    }
    serde_saphyr::from_str_with_options(text, options()).map_err(|error| with_location(&error))
}

fn options() -> Options {
    let mut options = Options::default();
    if let Some(budget) = options.budget.as_mut() {
        budget.max_depth = MAX_DEPTH;
        budget.max_aliases = MAX_ALIASES;
    }
    options.alias_limits.max_total_replayed_events = MAX_REPLAYED_EVENTS;
    options.with_snippet = false;
    options
}

fn with_location(error: &Error) -> Failure {
    let error = error.without_snippet();
    let (line, column) = error
        .location()
        .map_or((1, 1), |location| (location.line(), location.column()));
    Failure::new(Code::YamlInvalid, format!("{line}:{column}: {error}"))
}
