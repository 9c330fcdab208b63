//! Imports between the daemon's files run one way.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// Files of a source folder, by their module path.
fn modules(folder: &Path, above: &str, found: &mut BTreeMap<String, PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let stem = path.file_stem().unwrap().to_string_lossy().into_owned();
        let module = format!("{above}::{stem}");
        if path.is_dir() {
            modules(&path, &module, found);
        } else if !matches!(&*stem, "lib" | "main") {
            found.insert(module, path);
        }
    }
}

/// Module paths that a file names.
fn named(source: &str, module: &str) -> Vec<String> {
    let above = module.rsplit_once("::").map_or("crate", |(above, _)| above);
    let mut paths = Vec::new();
    let plain = |line: &&str| !line.trim_start().starts_with("//");
    for line in source.lines().filter(plain) {
        for (mark, base) in [("crate::", "crate"), ("super::", above)] {
            for (start, _) in line.match_indices(mark) {
                let rest = &line[start + mark.len()..];
                let (head, group) = rest.split_once('{').unwrap_or((rest, ""));
                let end =
                    head.find(|letter: char| !(letter.is_alphanumeric() || "_:".contains(letter)));
                let head = head[..end.unwrap_or(head.len())].trim_end_matches(':');
                if group.is_empty() {
                    paths.push(format!("{base}::{head}"));
                }
                let members = group.split('}').next().unwrap_or_default();
                for member in members
                    .split(',')
                    .map(str::trim)
                    .filter(|name| !name.is_empty())
                {
                    let member = member.trim_start_matches('*');
                    let path = [base, head, member];
                    let path = path.iter().filter(|part| !part.is_empty());
                    paths.push(path.copied().collect::<Vec<_>>().join("::"));
                }
            }
        }
        if let Some(child) = line.split_once("mod ").map(|(_, child)| child) {
            paths.push(format!("{module}::{}", child.trim_end_matches(';')));
        }
    }
    paths
}

/// The file that a path leads into: the longest module that begins it.
fn resolve(path: &str, modules: &BTreeMap<String, PathBuf>) -> Option<String> {
    let mut path = path;
    loop {
        if modules.contains_key(path) {
            return Some(path.to_owned());
        }
        path = path.rsplit_once("::")?.0;
    }
}

fn reaches(
    from: &str,
    to: &str,
    imports: &BTreeMap<String, BTreeSet<String>>,
    seen: &mut BTreeSet<String>,
) -> bool {
    imports[from]
        .iter()
        .any(|next| next == to || seen.insert(next.clone()) && reaches(next, to, imports, seen))
}

#[test]
fn no_file_imports_itself() {
    let mut files = BTreeMap::new();
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    modules(&root, "crate", &mut files);
    let mut imports = BTreeMap::new();
    for (module, path) in &files {
        let source = std::fs::read_to_string(path).unwrap();
        let into = named(&source, module).into_iter();
        let into = into.filter_map(|path| resolve(&path, &files));
        let into = into.filter(|into| into != module).collect::<BTreeSet<_>>();
        imports.insert(module.clone(), into);
    }
    let circles = files
        .keys()
        .filter(|module| reaches(module, module, &imports, &mut BTreeSet::new()))
        .collect::<Vec<_>>();
    assert!(imports["crate::dispatch"].contains("crate::node"));
    assert!(
        circles.is_empty(),
        "files that import themselves: {circles:?}"
    );
}
