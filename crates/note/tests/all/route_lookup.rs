//! Route lookup by the longest whole-segment prefix, and access to routes.

use cardamomshed_code::Code;
use cardamomshed_note::{Config, Interner, Lookup};

use crate::note;

fn lookup() -> Lookup {
    let route = |name: &str, path: &str, fields: &str| {
        format!(
            "    - {{name: {name}, path: {path}, service: s, priority: low, timeout: 1s{fields}}}\n"
        )
    };
    let text = format!(
        "note: a\nauthor: x\naccounts:\n  add:\n    - {{name: a, rate: 5/s, burst: 10}}\n    \
         - {{name: b, rate: 5/s, burst: 10}}\nroutes:\n  add:\n{}{}{}{}",
        route("root", "/", ""),
        route("till", "/till", ""),
        route("deposits", "/till/deposits", ", accounts: [a]"),
        route("inner", "/inner", ", internal: true"),
    );
    let config = Config::default()
        .apply(&note(&text))
        .expect("the note is accepted");
    Lookup::new(config, &Interner::default())
}

#[test]
fn longest_prefix() {
    let lookup = lookup();
    let found = |path: &str| lookup.route(path).map(|entry| entry.route.name.to_string());
    assert_eq!(found("/till").as_deref(), Some("till"));
    assert_eq!(found("/till/").as_deref(), Some("till"));
    assert_eq!(
        found("/till/deposits/7?x=/inner").as_deref(),
        Some("deposits")
    );
    assert_eq!(found("/tills").as_deref(), Some("root"));
    assert_eq!(found("/").as_deref(), Some("root"));
}

#[test]
fn access_authorized() {
    let lookup = lookup();
    let route = |path: &str| lookup.route(path).expect("a route").route.clone();
    assert_eq!(Lookup::authorize(&route("/till"), "b"), Ok(()));
    assert_eq!(Lookup::authorize(&route("/till/deposits"), "a"), Ok(()));
    let closed = Lookup::authorize(&route("/till/deposits"), "b");
    assert_eq!(closed, Err(Code::AccountForbidden));
    assert_eq!(
        Lookup::authorize(&route("/inner"), "a"),
        Err(Code::RouteUnknown)
    );
}
