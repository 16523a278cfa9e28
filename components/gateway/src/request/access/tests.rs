use std::sync::Arc;

use super::{Caller, Denial, Freshness, check};
use crate::version::{KeyDigest, Keyring, Workspace};

fn keyring() -> Keyring {
    let workspace = |name: &str| Workspace {
        name: Arc::from(name),
        priority: None,
    };
    Keyring::new(vec![
        (
            workspace("roads"),
            vec![KeyDigest::of(b"r1"), KeyDigest::of(b"r2")],
        ),
        (workspace("water"), vec![KeyDigest::of(b"w1")]),
        (workspace("closed"), Vec::new()),
    ])
    .expect("each key has one workspace")
}

#[test]
fn a_key_of_two_workspaces_is_an_error() {
    let workspace = |name: &str| Workspace {
        name: Arc::from(name),
        priority: None,
    };
    let key = KeyDigest::of(b"k1");
    let both = vec![
        (workspace("roads"), vec![key]),
        (workspace("water"), vec![key]),
    ];
    let conflict = Keyring::new(both).expect_err("a conflict");
    assert!(conflict.to_string().contains("roads"), "{conflict}");
    let twice = vec![(workspace("roads"), vec![key, key])];
    assert!(Keyring::new(twice).is_ok());
}

/// Returns the outcome of a check as the name of the workspace, an empty one for none.
fn outcome(anonymous: bool, key: Option<&str>, freshness: Freshness) -> Result<String, Denial> {
    let key = key.map(|key| KeyDigest::of(key.as_bytes()));
    let checked = check(Some(&keyring()), anonymous, key.as_ref(), freshness);
    checked.map(|caller| match caller {
        Caller::Anonymous => String::new(),
        Caller::Member(workspace) => workspace.name.to_string(),
    })
}

#[test]
fn each_key_belongs_to_one_workspace() {
    use Freshness::Confirmed;
    assert_eq!(
        outcome(false, Some("r1"), Confirmed),
        Ok("roads".to_owned())
    );
    assert_eq!(
        outcome(false, Some("r2"), Confirmed),
        Ok("roads".to_owned())
    );
    assert_eq!(outcome(true, Some("w1"), Confirmed), Ok("water".to_owned()));
}

#[test]
fn what_is_refused_depends_on_what_is_certain() {
    use Freshness::{Confirmed, Outdated, Unconfirmed};
    let none: Result<String, Denial> = Ok(String::new());
    let cases = [
        (false, None, Confirmed, Err(Denial::Unauthorized)),
        (false, None, Unconfirmed, Err(Denial::Unauthorized)),
        (false, Some("x"), Confirmed, Err(Denial::Unauthorized)),
        // the newer version may have this key
        (false, Some("x"), Outdated, Err(Denial::Unconfirmed)),
        (false, Some("x"), Unconfirmed, Err(Denial::Unconfirmed)),
        (false, Some("r1"), Outdated, Ok("roads".to_owned())),
        (false, Some("r1"), Unconfirmed, Err(Denial::Unconfirmed)),
        (true, Some("r1"), Unconfirmed, Err(Denial::Unconfirmed)),
        (true, Some("x"), Confirmed, Err(Denial::Unauthorized)),
        (true, None, Confirmed, none.clone()),
        (true, None, Unconfirmed, none),
    ];
    for (anonymous, key, freshness, expected) in cases {
        assert_eq!(
            outcome(anonymous, key, freshness),
            expected,
            "{anonymous} {key:?} {freshness:?}"
        );
    }
}

#[test]
fn no_key_is_needed_where_there_are_no_workspaces() {
    let key = KeyDigest::of(b"r1");
    let checked = check(None, false, Some(&key), Freshness::Unconfirmed);
    assert_eq!(checked, Ok(Caller::Anonymous));
}

#[test]
fn a_key_does_not_appear_in_debug_output() {
    let shown = format!("{:?}", keyring());
    assert!(!shown.contains("r1"), "{shown}");
    assert!(shown.contains("KeyDigest(..)"), "{shown}");
}
