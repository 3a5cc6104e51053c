//! An index of weighted members in cells of bounded size.
//!
//! The members are entries in the leaves of a binary trie over a hash of their id. A leaf, here called a
//! cell, is split in two once it holds too many members, and merged with its sibling once the members of both
//! fit into one. The shape depends on the set of members alone and not on the order of changes: all users of
//! the same list have the same cells, and adding or removing one member changes, splits or merges one cell.
//!
//! A key is assigned to a cell by descending from the root: at each fork, the probability of a side is its
//! fraction of the weight, and a hash of key and fork decides (hierarchical rendezvous hashing; Wang, Chang
//! and Ravishankar 2005, "A hash-based virtual hierarchy"). So a cell is drawn in proportion to its weight,
//! and a change of weight w in a total of W moves about w/W of the keys at each fork above it. Changes and
//! draws take time proportional to the depth of the trie, about the logarithm to base 2 of the number of
//! members divided by the cell size. The crate makes no policy decisions: cell size, weights and keys come
//! from the caller.
#![forbid(unsafe_code)]

mod mix;
mod trie;

pub use trie::{Cell, CellIndex, Member};
