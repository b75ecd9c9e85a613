//! Generates the message types that are committed in `bramley-wire`.
//!
//! Run `cargo run` in the `codegen` directory after changing a file under `proto/`.

use std::path::Path;

/// Protobuf packages whose messages also derive serde traits, with unknown fields rejected.
const JSON_PACKAGES: [&str; 3] = [
    ".bramley.caller.v1",
    ".bramley.platform.v1",
    ".bramley.worker.v1",
];

fn main() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let files = [
        "caller.proto",
        "peer.proto",
        "platform.proto",
        "pool.proto",
        "worker.proto",
    ];
    let descriptors =
        protox::compile(files, [root.join("proto")]).expect("the proto files should compile");
    let mut builder = tonic_prost_build::configure()
        .out_dir(root.join("../crates/bramley-wire/src/generated"))
        .build_transport(true);
    for package in JSON_PACKAGES {
        builder = builder
            .type_attribute(package, "#[derive(serde::Deserialize, serde::Serialize)]")
            .type_attribute(package, "#[serde(default, deny_unknown_fields)]");
    }
    builder
        .compile_fds(descriptors)
        .expect("the generated code should be writable");
}
