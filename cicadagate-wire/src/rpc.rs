/*!
The operators' RPC, generated from `schema/operator.proto`.
*/

#![allow(missing_docs, clippy::pedantic, reason = "generated code")]

include!("generated/cicadagate.operator.v1.rs");

/// Descriptors of the schema, for the reflection service.
pub const DESCRIPTORS: &[u8] = include_bytes!("generated/operator.bin");
