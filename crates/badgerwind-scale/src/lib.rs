//! Scale tests: thousands of hollow members in one process run the real state machines and the real codecs over
//! a simulated network, and the slopes of what they cost are fitted, printed and drawn. Each row of
//! `docs/CAPACITY.md` is one [`row::Row`], printed by one command with a fixed seed.

pub mod config_world;
pub mod cost;
pub mod error;
pub mod fit;
pub mod report;
pub mod row;
pub mod rows;
pub mod run;
