//! Meters of processor time and memory. Wall time is never a figure: machines are shared.

use cpu_time::ThreadTime;
use stats_alloc::{Region, StatsAlloc};
use std::alloc::System;

/// Processor time of this thread, from its start on.
#[derive(Debug)]
pub struct ProcessorMeter(ThreadTime);

impl ProcessorMeter {
    /// Begins now.
    pub fn start() -> Self {
        ProcessorMeter(ThreadTime::now())
    }

    /// Microseconds of this thread's processor time since the start.
    pub fn microseconds(&self) -> f64 {
        self.0.elapsed().as_secs_f64() * 1e6
    }
}

/// Heap bytes allocated and not freed since its start, over the whole process. Exact where the program's
/// global allocator is [`stats_alloc::INSTRUMENTED_SYSTEM`] and nothing else runs beside what is measured.
#[derive(Debug)]
pub struct HeapMeter(Region<'static, System>);

impl HeapMeter {
    /// Begins now.
    pub fn start() -> Self {
        let allocator: &'static StatsAlloc<System> = &stats_alloc::INSTRUMENTED_SYSTEM;
        HeapMeter(Region::new(allocator))
    }

    /// Bytes still allocated of those taken since the start; 0 where more was freed than taken.
    pub fn bytes(&self) -> u64 {
        let change = self.0.change();
        // What a reallocation adds or frees is in these two already; `bytes_reallocated` is the sum of both.
        let grown = change.bytes_allocated as i64 - change.bytes_deallocated as i64;
        grown.max(0) as u64
    }

    /// Calls to the allocator that took memory since the start.
    pub fn allocations(&self) -> u64 {
        let change = self.0.change();
        (change.allocations + change.reallocations) as u64
    }
}
