//! The stand-in platform, used through the real client, has the guarantees of
//! the platform: conditional writes, atomic transactions and stored objects.

use std::time::Duration;

use cardamomshed_code::Code;
use cardamomshed_platform::{Client, Condition, Operation};
use cardamomshed_standin::platform::{Capacity, Faults, Platform};
use cardamomshed_standin::thread;
use serde_json::json;

fn with<T, F>(platform: &Platform, test: impl FnOnce(Client) -> F + Send + 'static) -> T
where
    T: Send + 'static,
    F: Future<Output = T>,
{
    let base = platform.base();
    thread::run(move || test(Client::new(&base, Duration::from_secs(5))))
}

fn write(key: &str, condition: Condition) -> Operation {
    Operation {
        table: "t".to_owned(),
        key: key.to_owned(),
        condition,
        value: Some(json!(1)),
    }
}

#[test]
fn writes_conditional() {
    let platform = Platform::start(Capacity::default());
    with(&platform, |client| async move {
        let first = client
            .put("t", "k", Condition::Absent, &json!(1))
            .await
            .expect("written");
        let again = client.put("t", "k", Condition::Absent, &json!(2)).await;
        assert_eq!(again.expect_err("it exists").code, Code::PlatformConflict);
        let second = client
            .put("t", "k", Condition::Version(first), &json!(2))
            .await;
        let second = second.expect("written");
        assert!(second > first);
        let stale = client
            .put("t", "k", Condition::Version(first), &json!(3))
            .await;
        assert_eq!(
            stale.expect_err("it has changed").code,
            Code::PlatformConflict
        );
        let row = client.get("t", "k").await.expect("read").expect("a row");
        assert_eq!((row.version, row.value), (second, json!(2)));
    });
}

#[test]
fn transactions_atomic() {
    let platform = Platform::start(Capacity::default());
    with(&platform, |client| async move {
        client
            .put("t", "b", Condition::Absent, &json!(0))
            .await
            .expect("written");
        let failed = client
            .transact(&[write("a", Condition::Absent), write("b", Condition::Absent)])
            .await;
        assert_eq!(failed.expect_err("b exists").code, Code::PlatformConflict);
        assert_eq!(client.get("t", "a").await, Ok(None));
        let version = client
            .transact(&[write("a", Condition::Absent), write("c", Condition::Absent)])
            .await
            .expect("written");
        for key in ["a", "c"] {
            let row = client.get("t", key).await.expect("read").expect("a row");
            assert_eq!((row.version, row.value), (version, json!(1)));
        }
        let listed = client.list("t", "a", 10).await.expect("listed");
        let keys = listed
            .iter()
            .map(|row| row.key.as_str())
            .collect::<Vec<_>>();
        assert_eq!(keys, ["b", "c"]);
    });
}

#[test]
fn lost_write_answer() {
    let platform = Platform::start(Capacity::default());
    platform.set_faults(Faults {
        lose_answers: 1.0,
        ..Faults::default()
    });
    let written = with(&platform, |client| async move {
        client.put("t", "k", Condition::Absent, &json!(1)).await
    });
    assert_eq!(written.expect_err("lost").code, Code::PlatformUnavailable);
    assert_eq!(platform.peek("t", "k"), Some(json!(1)));
    platform.set_faults(Faults::DOWN);
    let read = with(
        &platform,
        |client| async move { client.get("t", "k").await },
    );
    assert_eq!(read.expect_err("down").code, Code::PlatformUnavailable);
}

#[test]
fn objects_kept() {
    let platform = Platform::start(Capacity::default());
    with(&platform, |client| async move {
        assert_eq!(client.get_object("o").await, Ok(None));
        client
            .put_object("o", b"contents".to_vec())
            .await
            .expect("written");
        assert_eq!(client.get_object("o").await, Ok(Some(b"contents".to_vec())));
    });
}

/// Guards against evacuation rows that a full read misses because other rows fill its
/// first page, and against an era that is taken from nowhere.
#[test]
fn operator_rows_read() {
    let platform = Platform::start(Capacity::default());
    platform.write("op", "alerts", &json!(1));
    platform.write("op", "config", &json!({"version": 3}));
    for index in 0..600 {
        platform.write("op", &format!("d-{index:03}"), &json!(1));
    }
    platform.write("op", "evacuate/b", &json!({}));
    platform.write("op", "evacuated", &json!({}));
    platform.write("op", "z", &json!(1));
    let read = || {
        with(&platform, |client| async move {
            client.operator_rows().await.expect("rows")
        })
    };
    let rows = read();
    assert_eq!(rows.config.expect("a row").value, json!({"version": 3}));
    assert_eq!(rows.evacuated, ["b".into()].into());
    assert_eq!((rows.version, rows.era), (605, 0));
    platform.set_era(2);
    assert_eq!(read().era, 2);
}
