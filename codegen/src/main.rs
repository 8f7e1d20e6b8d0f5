//! Generates the code and the descriptor set of the operator RPC interface.
//!
//! Run it in `codegen/` after a change of `schema/operator.proto`. The output is
//! committed, so that a build does not need the generator.

use {prost::Message, std::fs};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let descriptor_set = protox::compile(["operator.proto"], ["../schema"])?;
    let out = "../cicadagate-wire/src/generated";
    fs::create_dir_all(out)?;
    fs::write(
        format!("{out}/operator.bin"),
        descriptor_set.encode_to_vec(),
    )?;
    tonic_prost_build::configure()
        .out_dir(out)
        .compile_fds(descriptor_set)?;
    Ok(())
}
