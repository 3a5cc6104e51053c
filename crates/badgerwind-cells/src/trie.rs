//! The trie: members in leaves of bounded size; each node has the count and the total weight of the members
//! below it.

use crate::mix::{mix, position};

/// Index of the root node.
const ROOT: usize = 0;
/// Path of the root. A path is a 1 bit followed by one bit for each fork.
const ROOT_PATH: u64 = 1;

/// A member of a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// Its id.
    pub id: u32,
    /// Its weight; a member with weight 0 is listed but is assigned nothing.
    pub weight: u64,
}

/// The cell drawn for a key.
#[derive(Debug, Clone, Copy)]
pub struct Cell<'a> {
    /// Identifies the cell; it is the same for all users of the same list of members.
    pub path: u64,
    /// The number of the change that last modified the cell. Only numbers of the same index can be compared.
    pub changed: u64,
    /// Its members, ordered by id.
    pub members: &'a [Member],
}

impl Cell<'_> {
    /// The members with a weight above 0.
    pub fn weighted(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.weight > 0)
    }
}

#[derive(Debug)]
enum NodeKind {
    /// A cell: its members, ordered by id, and the number of the change that last modified it.
    Leaf { members: Vec<Member>, changed: u64 },
    /// Indexes of the nodes for the next bit 0 and 1 of a position.
    Fork { children: [usize; 2] },
}

#[derive(Debug)]
struct Node {
    kind: NodeKind,
    /// Number and total weight of the members below the node.
    count: usize,
    weight: u64,
}

impl Node {
    fn leaf(members: Vec<Member>, changed: u64) -> Self {
        let weight = members.iter().map(|m| m.weight).sum();
        Node { count: members.len(), weight, kind: NodeKind::Leaf { members, changed } }
    }
}

/// An index of members in cells.
#[derive(Debug)]
pub struct CellIndex {
    max_members: usize,
    nodes: Vec<Node>,
    /// Indexes of unused entries of `nodes`.
    free: Vec<usize>,
    /// Number of leaves.
    cells: usize,
    /// Number of changes so far.
    changes: u64,
}

impl Default for CellIndex {
    /// An index whose cells hold one member each.
    fn default() -> Self {
        CellIndex::new(1)
    }
}

impl CellIndex {
    /// An empty index. A cell holds at most `max_members` members, but at least one.
    pub fn new(max_members: usize) -> Self {
        let root = Node::leaf(Vec::new(), 0);
        CellIndex {
            max_members: max_members.max(1),
            nodes: vec![root],
            free: Vec::new(),
            cells: 1,
            changes: 0,
        }
    }

    /// The number of changes so far.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// The number of members.
    pub fn len(&self) -> usize {
        self.nodes[ROOT].count
    }

    /// Whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The number of cells.
    pub fn cells(&self) -> usize {
        self.cells
    }

    /// The weight of a member; `None` for one that is not listed.
    pub fn weight(&self, id: u32) -> Option<u64> {
        let (mut bits, mut node) = (position(id), ROOT);
        loop {
            match &self.nodes[node].kind {
                NodeKind::Fork { children } => node = children[(bits >> 63) as usize],
                NodeKind::Leaf { members, .. } => {
                    let place = members.binary_search_by_key(&id, |m| m.id).ok()?;
                    return Some(members[place].weight);
                }
            }
            bits <<= 1;
        }
    }

    /// Adds a member, or changes its weight.
    pub fn set(&mut self, id: u32, weight: u64) {
        if self.weight(id) == Some(weight) {
            return;
        }
        let (path, leaf) = self.path_to(id);
        let (changed, depth) = (self.changes + 1, path.len() as u32);
        let NodeKind::Leaf { members, changed: last_changed } = &mut self.nodes[leaf].kind else { return };
        let (added, before) = match members.binary_search_by_key(&id, |m| m.id) {
            Ok(place) => (0, std::mem::replace(&mut members[place].weight, weight)),
            Err(place) => {
                members.insert(place, Member { id, weight });
                (1, 0)
            }
        };
        *last_changed = changed;
        self.changes = changed;
        for node in path.into_iter().chain([leaf]) {
            self.nodes[node].count += added;
            self.nodes[node].weight = self.nodes[node].weight - before + weight;
        }
        self.split(leaf, depth);
    }

    /// Removes a member.
    pub fn remove(&mut self, id: u32) {
        let (path, leaf) = self.path_to(id);
        let changed = self.changes + 1;
        let NodeKind::Leaf { members, changed: last_changed } = &mut self.nodes[leaf].kind else { return };
        let Ok(place) = members.binary_search_by_key(&id, |m| m.id) else { return };
        let removed = members.remove(place);
        *last_changed = changed;
        self.changes = changed;
        for &node in path.iter().chain([&leaf]) {
            self.nodes[node].count -= 1;
            self.nodes[node].weight -= removed.weight;
        }
        // The first fork from the root whose members fit into one leaf.
        let mergeable = path.into_iter().find(|&node| self.nodes[node].count <= self.max_members);
        if let Some(fork) = mergeable {
            self.merge(fork);
        }
    }

    /// The cell that is drawn for a key; `None` where the total weight is 0.
    pub fn draw(&self, key: u64) -> Option<Cell<'_>> {
        let (mut node, mut path) = (ROOT, ROOT_PATH);
        loop {
            let total = self.nodes[node].weight;
            if total == 0 {
                return None;
            }
            let children = match &self.nodes[node].kind {
                NodeKind::Leaf { members, changed } => {
                    return Some(Cell { path, changed: *changed, members })
                }
                NodeKind::Fork { children } => children,
            };
            // Uniform in 0..total: the upper half of the product.
            let drawn = (u128::from(mix(key ^ mix(path))) * u128::from(total)) >> 64;
            let right = drawn >= u128::from(self.nodes[children[0]].weight);
            node = children[usize::from(right)];
            path = path << 1 | u64::from(right);
        }
    }

    /// The cells that are drawn for these keys, each once and in the keys' order, until they hold at least
    /// `min_weighted` members with a weight above 0, or all cells are drawn.
    pub fn draw_until(&self, keys: impl Iterator<Item = u64>, min_weighted: usize) -> Vec<Cell<'_>> {
        let (mut drawn, mut weighted): (Vec<Cell<'_>>, usize) = (Vec::new(), 0);
        for cell in keys.map_while(|key| self.draw(key)) {
            if drawn.iter().all(|other| other.path != cell.path) {
                weighted += cell.weighted().count();
                drawn.push(cell);
            }
            if weighted >= min_weighted || drawn.len() == self.cells {
                break;
            }
        }
        drawn
    }

    /// The forks on the path to a member's leaf, and the leaf.
    fn path_to(&self, id: u32) -> (Vec<usize>, usize) {
        let mut bits = position(id);
        let (mut forks, mut node) = (Vec::new(), ROOT);
        while let NodeKind::Fork { children } = &self.nodes[node].kind {
            forks.push(node);
            node = children[(bits >> 63) as usize];
            bits <<= 1;
        }
        (forks, node)
    }

    /// Splits a leaf until no part of it holds too many members. It terminates because members have distinct
    /// positions.
    fn split(&mut self, leaf: usize, depth: u32) {
        if self.nodes[leaf].count <= self.max_members || depth >= u64::BITS {
            return;
        }
        let changed = self.changes;
        let NodeKind::Leaf { members, .. } = &mut self.nodes[leaf].kind else { return };
        let (right, left): (Vec<Member>, Vec<Member>) =
            std::mem::take(members).into_iter().partition(|m| position(m.id) << depth >> 63 == 1);
        let children = [left, right].map(|members| self.allocate(Node::leaf(members, changed)));
        self.nodes[leaf].kind = NodeKind::Fork { children };
        self.cells += 1;
        children.into_iter().for_each(|child| self.split(child, depth + 1));
    }

    /// Replaces a fork and all nodes below it with one leaf.
    fn merge(&mut self, fork: usize) {
        let mut members = Vec::with_capacity(self.nodes[fork].count);
        self.gather(fork, &mut members);
        members.sort_unstable_by_key(|m| m.id);
        self.nodes[fork] = Node::leaf(members, self.changes);
    }

    /// Moves all members below a node to `members`, and frees the nodes below it.
    fn gather(&mut self, node: usize, members: &mut Vec<Member>) {
        let emptied = NodeKind::Leaf { members: Vec::new(), changed: self.changes };
        match std::mem::replace(&mut self.nodes[node].kind, emptied) {
            NodeKind::Leaf { members: leaf_members, .. } => members.extend(leaf_members),
            NodeKind::Fork { children } => {
                self.cells -= 1;
                for child in children {
                    self.gather(child, members);
                    self.free.push(child);
                }
            }
        }
    }

    fn allocate(&mut self, node: Node) -> usize {
        match self.free.pop() {
            Some(place) => {
                self.nodes[place] = node;
                place
            }
            None => {
                self.nodes.push(node);
                self.nodes.len() - 1
            }
        }
    }
}
