/*!
The operators' gRPC API, generated from `schema/operator.proto`.
*/

#![allow(missing_docs, clippy::pedantic, reason = "generated code")]

include!("generated/cicadagate.operator.v1.rs");

/// Encoded file descriptor set, served by gRPC server reflection.
pub const DESCRIPTORS: &[u8] = include_bytes!("generated/operator.bin");
