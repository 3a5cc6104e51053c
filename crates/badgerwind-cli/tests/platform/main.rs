//! The platform front as a separate process, between scripted web servers, executors and service discovery.

mod address_reuse;
mod confirmations;
mod deployment;
mod executors;
mod fleet;
mod hostile;
mod lifecycle;
mod outages;
mod peers;
mod races;
mod rig;
mod shutdown;
mod withdrawn;
