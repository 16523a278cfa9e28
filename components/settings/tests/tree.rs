//! The settings tree: inheritance, validation and changes.

use proptest::prelude::*;
use settings::tree::{Edit, Node, Problem, Tree, check, resolve};

fn set(path: &str, key: &str, value: &str) -> Edit {
    Edit::Set {
        path: path.to_owned(),
        key: key.to_owned(),
        value: value.to_owned(),
    }
}

#[test]
fn groups_inherit_values_but_not_shares() {
    let tree = Tree::default()
        .apply(&[
            set("group/soils", "deadline", "5s"),
            set("group/soils", "share", "7"),
            set("group/soils/field", "priority", "6"),
            set("group/soils/lab", "deadline", "9s"),
        ])
        .expect("valid change");
    let resolved = resolve::ResolvedTree::new(&tree);
    let seconds: Vec<u64> = resolved
        .groups
        .iter()
        .map(|g| g.deadline.0.as_secs())
        .collect();
    assert_eq!(seconds, [5, 5, 9]);
    let shares: Vec<u32> = resolved.groups.iter().map(|g| g.share).collect();
    assert_eq!(shares, [7, 1, 1]);
    let parents: Vec<Option<usize>> = resolved.groups.iter().map(|g| g.parent).collect();
    assert_eq!(parents, [None, Some(0), Some(0)]);
}

#[test]
fn invalid_change_is_rejected_with_all_its_problems() {
    let edits = [
        set("group/a", "share", "0"),
        set("group/b/c", "share", "1"),
        set("model/m", "service", "nowhere"),
        set("nothing/x", "y", "z"),
        set("service/s", "colour", "red"),
    ];
    let problems = Tree::default().apply(&edits).expect_err("refused");
    let has = |predicate: &dyn Fn(&Problem) -> bool| problems.iter().any(predicate);
    assert!(has(
        &|p| matches!(p, Problem::InvalidValue { key, .. } if key == "share")
    ));
    assert!(has(
        &|p| matches!(p, Problem::DanglingReference { target, .. } if target == "group/b")
    ));
    assert!(has(
        &|p| matches!(p, Problem::DanglingReference { target, .. } if target == "service/nowhere")
    ));
    assert!(has(
        &|p| matches!(p, Problem::MissingValue { key, .. } if key == "version")
    ));
    assert!(has(
        &|p| matches!(p, Problem::UnknownKind { path } if path == "nothing/x")
    ));
    assert!(has(
        &|p| matches!(p, Problem::UnknownKey { key, .. } if key == "colour")
    ));
}

#[test]
fn problem_messages_name_path_key_and_value() {
    let edits = [
        set("group/a", "deadline", "soon"),
        set("model/m", "service", "s"),
        set("service/s", "kind", "engine"),
    ];
    let problems = Tree::default().apply(&edits).expect_err("refused");
    let messages: Vec<String> = problems.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(messages.join("\n"), @r#"
    group/a: deadline = "soon" is not a time from 10ms to 1h, such as 3s
    model/m: version must be set
    service/s: kind = "engine" is not one of engines, plain
    "#);
}

#[test]
fn caller_key_belongs_to_only_one_group() {
    let digest = resolve::secret_digest("k");
    let tree = Tree::default()
        .apply(&[set("group/a", "keys", &digest)])
        .expect("valid change");
    let resolved = resolve::ResolvedTree::new(&tree);
    assert_eq!(
        (resolved.group_for_key("k"), resolved.group_for_key("K")),
        (Some(0), None)
    );
    let problems = tree
        .apply(&[set("group/b", "keys", &digest)])
        .expect_err("key already claimed");
    assert!(matches!(problems[0], Problem::DuplicateKey { .. }));
}

proptest! {
    #[test]
    fn change_increments_version_and_takes_effect(share in 1_u32..1_000_000, name in "[a-z]{1,8}") {
        let path = format!("group/{name}");
        let tree = Tree::default().apply(&[set(&path, "share", &share.to_string())]).expect("valid change");
        prop_assert_eq!(tree.version, 1);
        prop_assert_eq!(resolve::ResolvedTree::new(&tree).groups[0].share, share);
        let removed = tree.apply(&[Edit::Remove { path }]).expect("valid change");
        prop_assert_eq!(removed.version, 2);
        prop_assert!(removed.nodes.is_empty());
    }

    #[test]
    fn arbitrary_text_does_not_panic(path in ".{0,40}", key in ".{0,20}", value in ".{0,40}") {
        let node = Node { path, values: vec![(key, value)] };
        let tree = Tree::new(1, vec![node]);
        let _ = check::problems(&tree);
        let _ = resolve::ResolvedTree::new(&tree);
    }
}
