//! `docs/SETTINGS.md` must list the keys that the code accepts, and the sample files must be valid.

use std::{
    path::{Path, PathBuf},
    time::Duration,
};

use settings::{
    daemon::Settings,
    gateway,
    tree::schema::{KINDS, KeySchema},
};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn row(key: &KeySchema) -> String {
    let default = match (key.required, key.default) {
        (true, _) => "must be set",
        (false, Some(default)) => default,
        (false, None) => "none",
    };
    format!(
        "| `{}` | {} | {default} | {} |",
        key.name, key.value_type, key.description
    )
}

#[test]
fn settings_page_lists_exactly_the_keys_of_the_tree() {
    let page = std::fs::read_to_string(root().join("docs/SETTINGS.md")).expect("the page");
    let tree = page.split("## The tree").nth(1).expect("the tree's part");
    let listed: Vec<&str> = tree
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let expected: Vec<String> = KINDS
        .iter()
        .flat_map(|kind| kind.keys.iter().map(row))
        .collect();
    assert_eq!(listed, expected);
}

#[test]
fn settings_page_lists_every_key_of_a_daemon_file() {
    let page = std::fs::read_to_string(root().join("docs/SETTINGS.md")).expect("the page");
    let code = std::fs::read_to_string(root().join("components/settings/src/daemon/mod.rs"));
    let code = code.expect("the code");
    let keys = code
        .lines()
        .filter_map(|line| line.strip_prefix("    pub ")?.split_once(':'))
        .map(|(key, _)| key)
        .filter(|key| !key.contains("fn "))
        .filter(|key| !["daemon", "platform", "limits", "control"].contains(key));
    for key in keys {
        assert!(
            page.contains(&format!("| `{key}` |")),
            "{key} is not on the page"
        );
    }
}

#[test]
fn sample_files_are_valid() {
    for site in ["association", "thrystivakt"] {
        let path = root().join("examples").join(site).join("daemon.toml");
        if let Err(error) = Settings::load(&path) {
            panic!("{error}");
        }
    }
}

#[test]
fn parse_error_names_file_line_and_key() {
    let error = Settings::parse("[daemon]\nname = \"x\"\ncolour = 1\n", "entry.toml");
    let text = error.expect_err("refused").to_string();
    for part in ["entry.toml", "line 3", "colour"] {
        assert!(text.contains(part), "{text}");
    }
}

const GATEWAY_FILE: &str = "[gateway]\nname = \"g\"\ndata_centre = \"here\"\ncallers = \"127.0.0.1:1\"\nready = \"127.0.0.1:2\"\n\
     metrics = \"127.0.0.1:3\"\npeers = \"127.0.0.1:4\"\n[store]\naddress = \"127.0.0.1:5\"\n";

#[test]
fn a_gateway_bears_ten_milliseconds_of_lag_unless_its_file_says_otherwise() {
    let lag = |text: &str| {
        gateway::Settings::parse(text, "g.toml").map(|settings| settings.overload.lag_ms)
    };
    assert_eq!(lag(GATEWAY_FILE).expect("valid"), Duration::from_millis(10));
    let longer = format!("{GATEWAY_FILE}[overload]\nlag_ms = 2500\n");
    assert_eq!(lag(&longer).expect("valid"), Duration::from_millis(2_500));
    let none = format!("{GATEWAY_FILE}[overload]\nlag_ms = 0\n");
    let error = lag(&none).expect_err("refused").to_string();
    assert!(error.contains("overload.lag_ms"), "{error}");
}
