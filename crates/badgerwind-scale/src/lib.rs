//! Scalability measurements. Thousands of hollow members, which are the product's real state machines and
//! codecs without processes or sockets, run in one process over a simulated network. The package measures
//! what they cost at several sizes, fits the growth of each cost, and prints and plots the result. Each row
//! of `docs/CAPACITY.md` is one [`row::Row`], reproduced by one command with a fixed seed.

pub mod config_simulation;
pub mod cost;
pub mod error;
pub mod fit;
pub mod report;
pub mod row;
pub mod rows;
pub mod run;
