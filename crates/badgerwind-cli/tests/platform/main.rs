//! The platform front as a program of its own, between scripted web servers, executors and a notice board.

mod crossings;
mod endings;
mod executors;
mod fleet;
mod hostile;
mod life;
mod newcomers;
mod outages;
mod peers;
mod questions;
mod rig;
mod terms;
