//! An index of weighted members in cells of bounded size.
//!
//! Members are leaves' entries of a binary trie over a hash of their number. A leaf, here called a cell, is split
//! in two once it holds more than so many members, and joined with its sibling once both fit into one again. The
//! shape follows from the set of members alone, never from the order of changes: all who know the same list have
//! the same cells, and one member more or less changes one cell, or splits or joins one.
//!
//! A key is led from the root to a cell: at each fork it goes left with the chance that the weight on that side
//! has, decided by a hash of key and fork (hierarchical rendezvous hashing; Wang, Chang and Ravishankar 2005, "A
//! hash-based virtual hierarchy"). So a cell is drawn by its weight, and a change of weight w among W moves about
//! w/W of the keys at each fork above it. A change and a draw cost the depth of the trie, about log2 of members
//! over cell size. Nothing is decided here: cell size, weights and keys come from the caller.
#![forbid(unsafe_code)]

mod mix;
mod trie;

pub use trie::{Cell, CellIndex, Member};
