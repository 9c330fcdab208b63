//! The imports between the source files of the daemon form no cycle.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// Adds the source files of a folder and its subfolders to `found`, by module
/// path.
fn modules(folder: &Path, parent: &str, found: &mut BTreeMap<String, PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let stem = path.file_stem().unwrap().to_string_lossy().into_owned();
        let module = format!("{parent}::{stem}");
        if path.is_dir() {
            modules(&path, &module, found);
        } else if !matches!(&*stem, "lib" | "main") {
            found.insert(module, path);
        }
    }
}

/// Paths of the `crate::` and `super::` references and of the child modules of a
/// file, comment lines excluded.
fn referenced_paths(source: &str, module: &str) -> Vec<String> {
    let parent = module
        .rsplit_once("::")
        .map_or("crate", |(parent, _)| parent);
    let mut paths = Vec::new();
    let plain = |line: &&str| !line.trim_start().starts_with("//");
    for line in source.lines().filter(plain) {
        for (mark, base) in [("crate::", "crate"), ("super::", parent)] {
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

/// Module that a path refers into: the longest prefix of it that is a module.
fn resolve(path: &str, modules: &BTreeMap<String, PathBuf>) -> Option<String> {
    let mut path = path;
    loop {
        if modules.contains_key(path) {
            return Some(path.to_owned());
        }
        path = path.rsplit_once("::")?.0;
    }
}

/// Whether a chain of imports leads from one module to another. `seen` holds the
/// modules already visited.
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
fn import_cycles_absent() {
    let mut files = BTreeMap::new();
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    modules(&root, "crate", &mut files);
    let mut imports = BTreeMap::new();
    for (module, path) in &files {
        let source = std::fs::read_to_string(path).unwrap();
        let into = referenced_paths(&source, module).into_iter();
        let into = into.filter_map(|path| resolve(&path, &files));
        let into = into.filter(|into| into != module).collect::<BTreeSet<_>>();
        imports.insert(module.clone(), into);
    }
    let cycles = files
        .keys()
        .filter(|module| reaches(module, module, &imports, &mut BTreeSet::new()))
        .collect::<Vec<_>>();
    assert!(imports["crate::dispatch"].contains("crate::node"));
    assert!(cycles.is_empty(), "files in an import cycle: {cycles:?}");
}
