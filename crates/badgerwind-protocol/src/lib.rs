//! Wire formats of the runner protocol (`docs/protocols/runner.md`) and of the runner list
//! (`docs/protocols/list.md`). Both sides of each protocol use these definitions, so that they cannot
//! diverge. No I/O.

pub mod list;
pub mod runner;
