//! Validates a whole tree before a change is committed.

use super::{
    Node, Problem, Tree,
    schema::{self, NodeKind},
};

/// Finds all problems of a tree; it may be committed if there are none.
#[must_use]
pub fn problems(tree: &Tree) -> Vec<Problem> {
    let mut problems = Vec::new();
    for node in &tree.nodes {
        match schema::kind_of(&node.path) {
            Some(kind) => {
                check_values(node, kind, &mut problems);
                check_references(tree, node, kind, &mut problems);
            }
            None => problems.push(Problem::UnknownKind {
                path: node.path.clone(),
            }),
        }
    }
    check_caller_keys(tree, &mut problems);
    problems
}

fn check_values(node: &Node, kind: &NodeKind, problems: &mut Vec<Problem>) {
    for (name, value) in &node.values {
        match kind.key(name) {
            Some(key) if key.value_type.accepts(value) => {}
            Some(key) => problems.push(Problem::InvalidValue {
                path: node.path.clone(),
                key: name.clone(),
                value: value.clone(),
                wanted: key.value_type.to_string(),
            }),
            None => problems.push(Problem::UnknownKey {
                path: node.path.clone(),
                key: name.clone(),
            }),
        }
    }
    for key in kind.keys {
        if key.required && node.value(key.name).is_none() {
            problems.push(Problem::MissingValue {
                path: node.path.clone(),
                key: key.name.to_owned(),
            });
        }
    }
}

fn check_references(tree: &Tree, node: &Node, kind: &NodeKind, problems: &mut Vec<Problem>) {
    let mut require_node = |key: &str, target: String| {
        if tree.node(&target).is_none() {
            problems.push(Problem::DanglingReference {
                path: node.path.clone(),
                key: key.to_owned(),
                target,
            });
        }
    };
    match kind.name {
        "endpoint" | "model" => {
            if let Some(service) = node.value("service") {
                require_node("service", format!("service/{service}"));
            }
        }
        "group" => {
            for model in node
                .value("models")
                .iter()
                .flat_map(|names| names.split(','))
            {
                require_node("models", format!("model/{}", model.trim()));
            }
            // a group whose parent does not exist would have nothing to inherit from
            if let Some((parent, _)) = node.path.rsplit_once('/')
                && parent.contains('/')
            {
                require_node("parent", parent.to_owned());
            }
        }
        _ => {}
    }
}

fn check_caller_keys(tree: &Tree, problems: &mut Vec<Problem>) {
    let mut owners: Vec<(&str, &str)> = tree
        .nodes_of_kind("group")
        .flat_map(|(_, node)| {
            let keys = node
                .value("keys")
                .into_iter()
                .flat_map(|keys| keys.split(','));
            keys.map(|digest| (digest, node.path.as_str()))
        })
        .collect();
    owners.sort_unstable();
    for pair in owners.windows(2) {
        if pair[0].0 == pair[1].0 {
            problems.push(Problem::DuplicateKey {
                path: pair[1].1.to_owned(),
                what: "a caller's key".to_owned(),
                other: pair[0].1.to_owned(),
            });
        }
    }
}
