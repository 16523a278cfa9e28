//! Prints the tables of `docs/SETTINGS.md` for the settings tree.

use settings::tree::schema::KINDS;

fn main() {
    for kind in KINDS {
        println!("### {}\n", kind.name);
        println!("| key | value | default | about |\n| --- | --- | --- | --- |");
        for key in kind.keys {
            let default = match (key.required, key.default) {
                (true, _) => "must be set",
                (false, Some(default)) => default,
                (false, None) => "none",
            };
            println!(
                "| `{}` | {} | {default} | {} |",
                key.name, key.value_type, key.description
            );
        }
        println!();
    }
}
