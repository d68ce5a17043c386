//! What all black-box tests share.

use std::path::Path;

/// The program that runs instances.
pub fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_standins"))
}
