//! The gatekeeper as a program for the harness of the soak test.

use platform_soak::gatekeeper::Program;
use std::path::PathBuf;

/// The program under test, with the preloaded library that injects faults into its system calls.
pub fn soak_program() -> Program {
    let shim = fault_shim_control::library_path().expect("cargo builds the preloaded library for this test");
    Program { path: PathBuf::from(env!("CARGO_BIN_EXE_snowfield")), shim, seeded_fault: None }
}
