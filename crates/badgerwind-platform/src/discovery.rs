//! Service discovery: the frames that the platform's notice board sends, and the sequence of events received
//! so far.

use crate::config::NameCounts;
use badgerwind::interface::{Availability, ListKind, WorkerEntry, WorkerId};
use badgerwind_freshness::source::Received;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// Bytes of an executor's record.
const RECORD_BYTES: usize = 27;
/// Bytes that a frame's length includes in addition to the payload: event number and kind.
const FRAME_OVERHEAD: usize = 9;
/// Maximum number of records in one frame.
const MAX_RECORDS: usize = 20_000;

/// An entry of the list, with its address.
#[derive(Clone, Debug)]
pub struct ListedExecutor {
    /// The entry as the module sees it.
    pub entry: WorkerEntry,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A whole list of executors, or changes of it.
#[derive(Clone, Debug)]
pub struct ListUpdate {
    /// Whether it is a whole list or changes.
    pub kind: ListKind,
    /// The entries.
    pub entries: Vec<ListedExecutor>,
}

/// Why a connection to discovery cannot be used any more. The front end reconnects and asks for the events
/// after the last one received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadFrame {
    /// A length that no frame can have.
    #[error("a frame of {0} bytes")]
    Length(usize),
    /// An unknown kind of frame.
    #[error("a frame of kind {0}")]
    Kind(u8),
    /// Events are missing.
    #[error("event {received} was received after event {last}")]
    Gap {
        /// The last event received before.
        last: u64,
        /// The event received now.
        received: u64,
    },
    /// A record contains an unknown state, zone or kind.
    #[error("a record that cannot be used")]
    Record,
}

/// Follows the sequence of discovery's events over any number of connections.
#[derive(Clone, Debug, Default)]
pub struct EventFollower {
    /// Number of the last event received.
    last_event: u64,
    /// Events were missing after the last one, so that all events are requested again from the start.
    from_start: bool,
    /// Earlier events that are sent again. Passed on one by one, they would show executors for a moment as
    /// they were before they drained or were removed; so they are collected until they have caught up with
    /// the last event.
    replay: Option<Replay>,
    /// The beginning of an incomplete frame.
    buffer: Vec<u8>,
    /// The strongest information in the frames since the last call of [`EventFollower::take_received`].
    received: Option<Received>,
}

/// The list as it was after an earlier event.
#[derive(Clone, Debug, Default)]
struct Replay {
    event: u64,
    executors: BTreeMap<WorkerId, ListedExecutor>,
}

impl Replay {
    fn apply(&mut self, event: u64, update: ListUpdate) {
        self.event = event;
        if update.kind != ListKind::Changes {
            self.executors.clear();
        }
        for listed in update.entries {
            match listed.entry.availability {
                Availability::Removed => _ = self.executors.remove(&listed.entry.worker),
                _ => _ = self.executors.insert(listed.entry.worker, listed),
            }
        }
    }
}

impl EventFollower {
    /// Starts with all events up to `last_event` already known.
    pub fn new(last_event: u64) -> Self {
        EventFollower { last_event, ..EventFollower::default() }
    }

    /// Starts a new connection. Returns the request to write on it, which names the last event known.
    pub fn start_connection(&mut self) -> [u8; 8] {
        self.buffer.clear();
        (self.replay, self.received) = (None, None);
        if self.from_start { 0 } else { self.last_event }.to_be_bytes()
    }

    /// Number of the last event received.
    pub fn last_event(&self) -> u64 {
        self.last_event
    }

    /// What the frames received since the last call say about how current the list is.
    pub fn take_received(&mut self) -> Received {
        self.received.take().unwrap_or(Received::Nothing)
    }

    /// Whether a frame was received in part.
    pub fn has_partial_frame(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Parses received bytes and appends the updates of the list. After an error the connection must be
    /// replaced.
    pub fn on_bytes(
        &mut self,
        name_counts: &NameCounts,
        bytes: &[u8],
        updates: &mut Vec<ListUpdate>,
    ) -> Result<(), BadFrame> {
        self.buffer.extend_from_slice(bytes);
        let buffer = std::mem::take(&mut self.buffer);
        let mut rest = &buffer[..];
        while let Some((length, after)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            if !(FRAME_OVERHEAD..=FRAME_OVERHEAD + MAX_RECORDS * RECORD_BYTES).contains(&length) {
                return Err(BadFrame::Length(length));
            }
            let Some((frame, after)) = after.split_at_checked(length) else { break };
            self.on_frame(name_counts, frame, updates)?;
            rest = after;
        }
        self.buffer = rest.to_vec();
        Ok(())
    }

    fn on_frame(
        &mut self,
        name_counts: &NameCounts,
        frame: &[u8],
        updates: &mut Vec<ListUpdate>,
    ) -> Result<(), BadFrame> {
        let Some((event, [kind, payload @ ..])) = frame.split_first_chunk::<8>() else {
            return Err(BadFrame::Length(frame.len()));
        };
        let event = u64::from_be_bytes(*event);
        let last = self.replay.as_ref().map_or(self.last_event, |replay| replay.event);
        let kind = match kind {
            0 if event > last => return Err(self.gap(event)),
            0 => {
                // During a replay, or if the sender knows fewer events than were received before, an empty
                // frame does not confirm the list.
                if self.replay.is_none() && event == self.last_event && !self.from_start {
                    self.received = Some(Received::UpToDate);
                }
                return Ok(());
            }
            1 => ListKind::Whole,
            2 => ListKind::Changes,
            other => return Err(BadFrame::Kind(*other)),
        };
        let starts_replay = self.from_start && self.replay.is_none() && kind == ListKind::Whole;
        if event <= last && !starts_replay {
            return Ok(()); // already received
        }
        // Only changes require that no event is missing; a whole list does not.
        if event > last + 1 && kind == ListKind::Changes {
            return Err(self.gap(event));
        }
        if payload.len() % RECORD_BYTES != 0 {
            return Err(BadFrame::Length(frame.len()));
        }
        let entries = payload
            .chunks_exact(RECORD_BYTES)
            .map(|bytes| parse_record(name_counts, bytes))
            .collect::<Option<Vec<_>>>();
        let entries = entries.ok_or(BadFrame::Record)?;
        self.received = self.received.max(Some(Received::Events));
        let update = ListUpdate { kind, entries };
        if starts_replay {
            self.replay = Some(Replay::default());
        }
        match &mut self.replay {
            Some(replay) => {
                replay.apply(event, update);
                self.finish_replay(updates);
            }
            None => {
                self.last_event = event;
                updates.push(update);
            }
        }
        Ok(())
    }

    /// Passes on the replayed list once it has caught up with the last event.
    fn finish_replay(&mut self, updates: &mut Vec<ListUpdate>) {
        let last_event = self.last_event;
        if let Some(replay) = self.replay.take_if(|replay| replay.event >= last_event) {
            (self.last_event, self.from_start) = (replay.event, false);
            let entries = replay.executors.into_values().collect();
            updates.push(ListUpdate { kind: ListKind::Whole, entries });
        }
    }

    fn gap(&mut self, received: u64) -> BadFrame {
        let last = self.replay.as_ref().map_or(self.last_event, |replay| replay.event);
        self.from_start = true;
        BadFrame::Gap { last, received }
    }
}

/// Parses a record; `None` if it contains an unknown state, zone or kind.
fn parse_record(name_counts: &NameCounts, bytes: &[u8]) -> Option<ListedExecutor> {
    let u32_at = |n: usize| u32::from_be_bytes([bytes[n], bytes[n + 1], bytes[n + 2], bytes[n + 3]]);
    let u16_at = |n: usize| u16::from_be_bytes([bytes[n], bytes[n + 1]]);
    let started_ms = u64::from(u32_at(19)) << 32 | u64::from(u32_at(23));
    let availability = match bytes[10] {
        0 => Availability::Ready,
        1 => Availability::Draining,
        2 => Availability::Removed,
        _ => return None,
    };
    let (zone, kind) = (u32::from(bytes[11]), u32::from(bytes[12]));
    if zone as usize >= name_counts.zones.max(1) || kind as usize >= name_counts.kinds.max(1) {
        return None;
    }
    let entry = WorkerEntry {
        worker: u32_at(0) as WorkerId,
        zone,
        cell: u32::from(u16_at(13)),
        kind,
        size: f64::from(u32_at(15)) / 1000.0,
        availability,
        born: (started_ms > 0).then(|| started_ms.saturating_mul(1000)),
    };
    Some(ListedExecutor { entry, address: SocketAddrV4::new(Ipv4Addr::from(u32_at(4)), u16_at(8)).into() })
}
