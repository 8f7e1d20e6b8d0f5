//! Writes the operators' RPC code and its descriptor set from the schema.
//!
//! Run from `codegen/` after a change of `schema/operator.proto`. The output is
//! committed, so that the build itself needs no generator.

use {prost::Message, std::fs};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let fds = protox::compile(["operator.proto"], ["../schema"])?;
    let out = "../cicadagate-wire/src/generated";
    fs::create_dir_all(out)?;
    fs::write(format!("{out}/operator.bin"), fds.encode_to_vec())?;
    tonic_prost_build::configure().out_dir(out).compile_fds(fds)?;
    Ok(())
}
