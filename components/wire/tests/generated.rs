//! The committed code must equal what the generator produces from the committed messages.

use std::path::Path;

#[test]
fn committed_code_is_current() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = create_temp_dir();
    let files =
        protox::compile(["wrenramp.proto"], [root.join("proto")]).expect("the proto file parses");
    tonic_prost_build::configure()
        .out_dir(&out)
        .compile_fds(files)
        .expect("generator runs");
    let generated = std::fs::read_to_string(out.join("wrenramp.v1.rs")).expect("generated");
    let committed =
        std::fs::read_to_string(root.join("src/generated/wrenramp.v1.rs")).expect("committed");
    std::fs::remove_dir_all(out).expect("removed");
    assert!(
        generated == committed,
        "run `cargo run -p wire --example generate` and commit"
    );
}

fn create_temp_dir() -> std::path::PathBuf {
    let dir = std::env::temp_dir().join(format!("wire-generated-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("created");
    dir
}
