//! What can be wrong with a request for a measurement, worded for the person who typed it.

use thiserror::Error;

/// Why a row could not be measured.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// No row has this name.
    #[error("argument ROW: no row is called '{name}'; `badgerwind-scale list` prints the names")]
    UnknownRow {
        /// The name that was asked for.
        name: String,
    },
    /// A size of 0 measures nothing.
    #[error("option --sizes: 0 is no size; give whole numbers above 0, such as 10,30,100")]
    ZeroSize,
    /// No size was given.
    #[error("option --sizes: the list is empty; give whole numbers above 0, such as 10,30,100")]
    NoSizes,
    /// A size would need more memory than allowed.
    #[error(
        "option --sizes: {size} {variable} need about {needed_mib} MiB, over --memory-mib {allowed_mib}; \
         leave the size out or allow more"
    )]
    TooLarge {
        /// The size that was asked for.
        size: u64,
        /// What the size counts.
        variable: &'static str,
        /// Estimated need.
        needed_mib: u64,
        /// What is allowed.
        allowed_mib: u64,
    },
    /// The measurements took longer than allowed.
    #[error(
        "option --seconds: {elapsed} s were over before size {size} of row '{row}'; leave out large sizes or \
         allow more"
    )]
    OutOfTime {
        /// The row that was being measured.
        row: &'static str,
        /// The size that was not begun.
        size: u64,
        /// Seconds that passed.
        elapsed: u64,
    },
    /// A result could not be written.
    #[error("option {option}: {path}: {reason}; name a folder that exists and may be written to")]
    Output {
        /// The option that named the file.
        option: &'static str,
        /// The file.
        path: String,
        /// What the system said.
        reason: String,
    },
    /// The hollow fleet did not reach the state in which it is measured.
    #[error("row '{row}', size {size}: {reason}; try another --seed, and report it if that fails as well")]
    NotSettled {
        /// The row.
        row: &'static str,
        /// The size.
        size: u64,
        /// What was waited for.
        reason: String,
    },
    /// A size has no meaning for this row.
    #[error("option --sizes: {size} {variable}: this row measures {least} to {most}; take one of these")]
    SizeOutOfRange {
        /// The size that was asked for.
        size: u64,
        /// What the size counts.
        variable: &'static str,
        /// The least that makes sense.
        least: u64,
        /// The most that makes sense.
        most: u64,
    },
}
