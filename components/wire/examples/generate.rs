//! Regenerates the committed code from `proto/`, see `docs/DESIGN.md#between-our-processes`.

use std::path::Path;

/// Writes the generated file into the directory given as the first argument, or into `src/generated`.
fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = std::env::args()
        .nth(1)
        .map_or_else(|| root.join("src/generated"), Into::into);
    let files = protox::compile(["wrenramp.proto"], [root.join("proto")])?;
    tonic_prost_build::configure()
        .out_dir(out)
        .compile_fds(files)?;
    Ok(())
}
