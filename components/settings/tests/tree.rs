//! The tree: inheritance, checks, changes.

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
fn a_group_inherits_unless_it_overrides_and_its_share_is_its_own() {
    let tree = Tree::default()
        .apply(&[
            set("group/soils", "deadline", "5s"),
            set("group/soils", "share", "7"),
            set("group/soils/field", "priority", "6"),
            set("group/soils/lab", "deadline", "9s"),
        ])
        .expect("fine");
    let version = resolve::Version::new(&tree);
    let seconds: Vec<u64> = version
        .groups
        .iter()
        .map(|g| g.deadline.0.as_secs())
        .collect();
    assert_eq!(seconds, [5, 5, 9]);
    let shares: Vec<u32> = version.groups.iter().map(|g| g.share).collect();
    assert_eq!(shares, [7, 1, 1]);
    let parents: Vec<Option<usize>> = version.groups.iter().map(|g| g.parent).collect();
    assert_eq!(parents, [None, Some(0), Some(0)]);
}

#[test]
fn a_wrong_change_is_refused_whole_with_every_problem() {
    let wrong = [
        set("group/a", "share", "0"),
        set("group/b/c", "share", "1"),
        set("model/m", "service", "nowhere"),
        set("nothing/x", "y", "z"),
        set("service/s", "colour", "red"),
    ];
    let problems = Tree::default().apply(&wrong).expect_err("refused");
    let has = |wanted: &dyn Fn(&Problem) -> bool| problems.iter().any(wanted);
    assert!(has(
        &|p| matches!(p, Problem::Value { key, .. } if key == "share")
    ));
    assert!(has(
        &|p| matches!(p, Problem::Dangling { target, .. } if target == "group/b")
    ));
    assert!(has(
        &|p| matches!(p, Problem::Dangling { target, .. } if target == "service/nowhere")
    ));
    assert!(has(
        &|p| matches!(p, Problem::Missing { key, .. } if key == "version")
    ));
    assert!(has(
        &|p| matches!(p, Problem::Kind { path } if path == "nothing/x")
    ));
    assert!(has(
        &|p| matches!(p, Problem::Key { key, .. } if key == "colour")
    ));
}

#[test]
fn problems_are_told_in_the_operators_terms() {
    let wrong = [
        set("group/a", "deadline", "soon"),
        set("model/m", "service", "s"),
        set("service/s", "kind", "engine"),
    ];
    let problems = Tree::default().apply(&wrong).expect_err("refused");
    let told: Vec<String> = problems.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(told.join("\n"), @r#"
    group/a: deadline = "soon" is not a time from 10ms to 1h, such as 3s
    model/m: version must be set
    service/s: kind = "engine" is not one of engines, plain
    "#);
}

#[test]
fn a_callers_key_belongs_to_one_group() {
    let digest = resolve::secret_digest("k");
    let tree = Tree::default()
        .apply(&[set("group/a", "keys", &digest)])
        .expect("fine");
    let version = resolve::Version::new(&tree);
    assert_eq!((version.caller("k"), version.caller("K")), (Some(0), None));
    let problems = tree
        .apply(&[set("group/b", "keys", &digest)])
        .expect_err("taken");
    assert!(matches!(problems[0], Problem::Taken { .. }));
}

proptest! {
    #[test]
    fn a_change_goes_up_by_one_and_holds(share in 1_u32..1_000_000, name in "[a-z]{1,8}") {
        let path = format!("group/{name}");
        let tree = Tree::default().apply(&[set(&path, "share", &share.to_string())]).expect("fine");
        prop_assert_eq!(tree.version, 1);
        prop_assert_eq!(resolve::Version::new(&tree).groups[0].share, share);
        let gone = tree.apply(&[Edit::Remove { path }]).expect("fine");
        prop_assert_eq!(gone.version, 2);
        prop_assert!(gone.nodes.is_empty());
    }

    #[test]
    fn any_texts_are_checked_without_a_panic(path in ".{0,40}", key in ".{0,20}", value in ".{0,40}") {
        let node = Node { path, values: vec![(key, value)] };
        let tree = Tree::new(1, vec![node]);
        let _ = check::problems(&tree);
        let _ = resolve::Version::new(&tree);
    }
}
