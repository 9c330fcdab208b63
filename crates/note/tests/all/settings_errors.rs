//! Invalid settings are refused with an error code; reload of settings.

use cardamomshed_code::{Code, Failure};
use cardamomshed_note::Settings;

use crate::file;

const VALID: &str = "node: n\ndomain: d\nregion: r\nfleet_secret: sixteen-bytes-or-more\n\
    callers: 127.0.0.1:1\ntarget: 127.0.0.1:2\npeers: 127.0.0.1:3\nadmin: 127.0.0.1:4\n\
    platform: http://127.0.0.1:5\ndomains: [d]\n";

fn read(name: &str, text: &str) -> Result<Settings, Failure> {
    Settings::read(&file(name, text.as_bytes()))
}

fn code(name: &str, from: &str, to: &str) -> Code {
    let text = VALID.replace(from, to);
    assert_ne!(text, VALID);
    read(name, &text)
        .expect_err("the settings must be refused")
        .code
}

#[test]
fn valid_settings() {
    let settings = read("valid.yaml", VALID).expect("valid settings");
    assert_eq!(&*settings.node, "n");
}

#[test]
fn invalid_settings() {
    let timing = "domains: [d]\ntiming: {heartbeat: 1s, silence: 1s}";
    let zero = "domains: [d]\ntiming: {poll: 0ms}";
    let cases = [
        ("domains: [d]", "domains: [e]", Code::ReferenceUnknown),
        ("sixteen-bytes-or-more", "short", Code::ValueRange),
        (
            "target: 127.0.0.1:2",
            "target: 10.0.0.1:2",
            Code::ValueRange,
        ),
        ("peers: 127.0.0.1:3", "peers: 0.0.0.0:3", Code::ValueRange),
        ("node: n", "node: Not A Name", Code::YamlInvalid),
        ("callers: 127.0.0.1:1", "callers: here", Code::YamlInvalid),
        ("region: r\n", "", Code::YamlInvalid),
        ("domains: [d]", "domains: [d]\nextra: 1", Code::YamlInvalid),
        ("domains: [d]", timing, Code::ValueRange),
        ("domains: [d]", zero, Code::ValueRange),
    ];
    for (number, (from, to, expected)) in (1..).zip(cases) {
        assert_eq!(code(&format!("s{number}.yaml"), from, to), expected, "{to}");
    }
}

#[test]
fn restart_fields_reported() {
    let before = read("before.yaml", VALID).expect("valid settings");
    let bounds = "bodies: 1MiB\ntiming: {drain: 3s, probe: 2s}\n";
    let text = VALID.replace("admin: 127.0.0.1:4", "admin: 127.0.0.1:9") + bounds;
    let changed = read("changed.yaml", &text).expect("valid settings");
    let (next, needs_restart) = before.reloaded(&changed);
    assert_eq!(needs_restart, ["admin", "timing.probe"]);
    assert_eq!(next.bodies, changed.bodies);
    assert_eq!(next.timing.drain, changed.timing.drain);
    assert_eq!(next.admin, before.admin);
    assert_eq!(next.timing.probe, before.timing.probe);
    let (_, needs_restart) = next.reloaded(&before);
    assert!(needs_restart.is_empty(), "{needs_restart:?}");
}

const SIDECAR: &str = "sidecar: {service: s, address: 127.0.0.1:6, ready: 127.0.0.1:7, \
    strict_keys: true, withdraw_within: 3s, grace: 6s, retry_ratio: 0.2, retry_slack: 48, \
    cold_slack: SLACK}\n";

/// Guards against a deployment without the bound being refused or left unlimited.
#[test]
fn cold_slack_defaulted() {
    let slack = |value: &str| {
        let text = format!("{VALID}{}", SIDECAR.replace("SLACK", value));
        let settings = read(&format!("slack{value}.yaml"), &text)?;
        Ok::<_, Failure>(settings.sidecar.expect("a sidecar").cold_slack())
    };
    assert_eq!(slack("").ok(), Some(8.0));
    assert_eq!(slack("20").ok(), Some(20.0));
    assert_eq!(
        slack("-1").map_err(|failure| failure.code),
        Err(Code::ValueRange)
    );
}
