//! The bytes that the heap meter reports. This file has a single test, because the meter counts the whole
//! process.

use badgerwind_scale::cost::HeapMeter;
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

#[test]
fn reallocated_memory_counts_once() {
    let meter = HeapMeter::start();
    let mut grown: Vec<u64> = Vec::with_capacity(1);
    for number in 0..10_000 {
        grown.push(number);
    }
    assert_eq!(meter.net_bytes(), (grown.capacity() * size_of::<u64>()) as u64);
    grown.truncate(10);
    grown.shrink_to_fit();
    assert_eq!(meter.net_bytes(), (grown.capacity() * size_of::<u64>()) as u64);
    drop(grown);
    assert_eq!(meter.net_bytes(), 0);
}
