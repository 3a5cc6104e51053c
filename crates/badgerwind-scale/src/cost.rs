//! Meters of processor time and heap memory. Wall time is not measured, because the machines are shared.

use cpu_time::ThreadTime;
use stats_alloc::{Region, StatsAlloc};
use std::alloc::System;

/// Processor time that the current thread has used since the meter was started.
#[derive(Debug)]
pub struct ProcessorMeter(ThreadTime);

impl ProcessorMeter {
    /// Starts measuring on the current thread.
    pub fn start() -> Self {
        ProcessorMeter(ThreadTime::now())
    }

    /// Processor time used since the start, in microseconds.
    pub fn microseconds(&self) -> f64 {
        self.0.elapsed().as_secs_f64() * 1e6
    }
}

/// Heap allocations of the whole process since the meter was started. Exact only if the program's global
/// allocator is [`stats_alloc::INSTRUMENTED_SYSTEM`] and no other thread allocates during the measurement.
#[derive(Debug)]
pub struct HeapMeter(Region<'static, System>);

impl HeapMeter {
    /// Starts measuring.
    pub fn start() -> Self {
        let allocator: &'static StatsAlloc<System> = &stats_alloc::INSTRUMENTED_SYSTEM;
        HeapMeter(Region::new(allocator))
    }

    /// Net growth of the heap since the start, in bytes; 0 if more was freed than allocated.
    pub fn net_bytes(&self) -> u64 {
        let change = self.0.change();
        // Both counters include reallocations already; `bytes_reallocated` is the net change by those alone.
        let grown = change.bytes_allocated as i64 - change.bytes_deallocated as i64;
        grown.max(0) as u64
    }

    /// Number of allocations and reallocations since the start.
    pub fn allocations(&self) -> u64 {
        let change = self.0.change();
        (change.allocations + change.reallocations) as u64
    }
}

/// Net heap bytes that a clone of a value allocates.
pub fn heap_of_clone<T: Clone>(value: &T) -> u64 {
    let meter = HeapMeter::start();
    let copy = value.clone();
    let bytes = meter.net_bytes();
    drop(copy);
    bytes
}
