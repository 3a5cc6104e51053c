//! Errors of a measurement, worded for the user of the command line.

use thiserror::Error;

/// The reason why a row could not be measured.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// No row has this name.
    #[error("argument ROW: no row is called '{name}'; `badgerwind-scale list` prints the names")]
    UnknownRow {
        /// The requested name.
        name: String,
    },
    /// A size is 0.
    #[error("option --sizes: 0 is not a valid size; give whole numbers above 0, such as 10,30,100")]
    ZeroSize,
    /// The list of sizes is empty.
    #[error("option --sizes: the list is empty; give whole numbers above 0, such as 10,30,100")]
    NoSizes,
    /// A size would need more memory than allowed.
    #[error(
        "option --sizes: {size} {variable} need about {needed_mib} MiB, more than --memory-mib \
         {allowed_mib}; remove this size or raise --memory-mib"
    )]
    TooLarge {
        /// The requested size.
        size: u64,
        /// What the size counts.
        variable: &'static str,
        /// Estimated memory in MiB.
        needed_mib: u64,
        /// Allowed memory in MiB.
        allowed_mib: u64,
    },
    /// The measurements took longer than allowed.
    #[error(
        "option --seconds: the time limit was exceeded after {elapsed} s, before size {size} of row '{row}'; \
         remove large sizes or raise --seconds"
    )]
    OutOfTime {
        /// The measured row.
        row: &'static str,
        /// The first size that was not measured.
        size: u64,
        /// Elapsed seconds.
        elapsed: u64,
    },
    /// A result file could not be written.
    #[error("option {option}: {path}: {reason}; name a file in a folder that exists and is writable")]
    Output {
        /// The option that named the file.
        option: &'static str,
        /// Path of the file.
        path: String,
        /// The error of the operating system.
        reason: String,
    },
    /// The hollow fleet did not reach the state in which it is measured.
    #[error(
        "row '{row}', size {size}: {reason}; try another --seed, and report a bug if that fails as well"
    )]
    NotSettled {
        /// The measured row.
        row: &'static str,
        /// The measured size.
        size: u64,
        /// The condition that was not reached.
        reason: String,
    },
    /// The size is outside the range of the row.
    #[error(
        "option --sizes: {size} {variable}: this row measures {min} to {max}; choose sizes in this range"
    )]
    SizeOutOfRange {
        /// The requested size.
        size: u64,
        /// What the size counts.
        variable: &'static str,
        /// Smallest size of the row.
        min: u64,
        /// Largest size of the row.
        max: u64,
    },
}
