//! The notice board's frames, and what a front end has of its events.

use crate::config::Places;
use badgerwind::interface::{Availability, ListKind, WorkerEntry, WorkerId};
use badgerwind_freshness::source::Heard;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// Bytes of a record.
const RECORD: usize = 27;
/// Bytes that a frame counts beside its payload.
const BESIDE: usize = 9;
/// Records in one frame, at the most.
const MOST: usize = 20_000;

/// An entry of the list, and where it listens.
#[derive(Clone, Debug)]
pub struct Listed {
    /// What the module is told.
    pub entry: WorkerEntry,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Events taken in together.
#[derive(Clone, Debug)]
pub struct News {
    /// Whole or changes.
    pub kind: ListKind,
    /// The entries.
    pub entries: Vec<Listed>,
}

/// What makes a connection to the board useless; it is asked anew from the last event had.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadFrame {
    /// A length that no frame has.
    #[error("a frame of {0} bytes")]
    Length(usize),
    /// A kind that is not known.
    #[error("a frame of kind {0}")]
    Kind(u8),
    /// Events are missing.
    #[error("event {came} came after {had}")]
    Gap {
        /// The last that was had.
        had: u64,
        /// The one that came.
        came: u64,
    },
    /// A record names a state or place that is not known.
    #[error("a record that cannot be used")]
    Record,
}

/// What a front end has of the board's events.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    last: u64,
    /// Events were missing from the last event on, so that all is asked for.
    from_start: bool,
    /// Events of before, told again. Handed on one by one they would bring back for a moment what has drained or gone since;
    /// so they are gathered until they have caught up with what was told before.
    replay: Option<Replay>,
    come: Vec<u8>,
    /// The most that the frames since the last look have told.
    heard: Option<Heard>,
}

/// The list as it was after some event.
#[derive(Clone, Debug, Default)]
struct Replay {
    at: u64,
    all: BTreeMap<WorkerId, Listed>,
}

impl Replay {
    fn take(&mut self, number: u64, news: News) {
        self.at = number;
        if news.kind != ListKind::Changes {
            self.all.clear();
        }
        for l in news.entries {
            match l.entry.availability {
                Availability::Removed => _ = self.all.remove(&l.entry.worker),
                _ => _ = self.all.insert(l.entry.worker, l),
            }
        }
    }
}

impl Follower {
    /// One that has all up to this event.
    pub fn new(last: u64) -> Self {
        Follower { last, ..Follower::default() }
    }

    /// A new connection begins: what is to be written on it.
    pub fn ask(&mut self) -> [u8; 8] {
        self.come.clear();
        (self.replay, self.heard) = (None, None);
        if self.from_start { 0 } else { self.last }.to_be_bytes()
    }

    /// The last event had.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// What the whole frames that came since this was last asked are worth.
    pub fn heard(&mut self) -> Heard {
        self.heard.take().unwrap_or(Heard::Nothing)
    }

    /// Whether a frame has begun to come and is not whole.
    pub fn partial(&self) -> bool {
        !self.come.is_empty()
    }

    /// Takes bytes in. After an error the board is asked anew.
    pub fn feed(&mut self, places: &Places, bytes: &[u8], news: &mut Vec<News>) -> Result<(), BadFrame> {
        self.come.extend_from_slice(bytes);
        let come = std::mem::take(&mut self.come);
        let mut rest = &come[..];
        while let Some((length, after)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            if !(BESIDE..=BESIDE + MOST * RECORD).contains(&length) {
                return Err(BadFrame::Length(length));
            }
            let Some((frame, after)) = after.split_at_checked(length) else { break };
            self.frame(places, frame, news)?;
            rest = after;
        }
        self.come = rest.to_vec();
        Ok(())
    }

    fn frame(&mut self, places: &Places, frame: &[u8], news: &mut Vec<News>) -> Result<(), BadFrame> {
        let Some((number, [kind, payload @ ..])) = frame.split_first_chunk::<8>() else {
            return Err(BadFrame::Length(frame.len()));
        };
        let number = u64::from_be_bytes(*number);
        let at = self.replay.as_ref().map_or(self.last, |r| r.at);
        let kind = match kind {
            0 if number > at => return Err(self.gap(number)),
            0 => {
                // While events are told again, or where it knows less than was told before, it vouches for nothing.
                if self.replay.is_none() && number == self.last && !self.from_start {
                    self.heard = Some(Heard::UpToDate);
                }
                return Ok(());
            }
            1 => ListKind::Whole,
            2 => ListKind::Changes,
            other => return Err(BadFrame::Kind(*other)),
        };
        let begins = self.from_start && self.replay.is_none() && kind == ListKind::Whole;
        if number <= at && !begins {
            return Ok(()); // had before
        }
        // A whole list needs nothing before it.
        if number > at + 1 && kind == ListKind::Changes {
            return Err(self.gap(number));
        }
        if payload.len() % RECORD != 0 {
            return Err(BadFrame::Length(frame.len()));
        }
        let entries = payload.chunks_exact(RECORD).map(|r| record(places, r)).collect::<Option<Vec<_>>>();
        let entries = entries.ok_or(BadFrame::Record)?;
        self.heard = self.heard.max(Some(Heard::Events));
        let told = News { kind, entries };
        if begins {
            self.replay = Some(Replay::default());
        }
        match &mut self.replay {
            Some(replay) => {
                replay.take(number, told);
                self.caught_up(news);
            }
            None => {
                self.last = number;
                news.push(told);
            }
        }
        Ok(())
    }

    /// Hands on what was told again once it has reached the last event had.
    fn caught_up(&mut self, news: &mut Vec<News>) {
        let last = self.last;
        if let Some(replay) = self.replay.take_if(|r| r.at >= last) {
            (self.last, self.from_start) = (replay.at, false);
            news.push(News { kind: ListKind::Whole, entries: replay.all.into_values().collect() });
        }
    }

    fn gap(&mut self, came: u64) -> BadFrame {
        let had = self.replay.as_ref().map_or(self.last, |r| r.at);
        self.from_start = true;
        BadFrame::Gap { had, came }
    }
}

fn record(places: &Places, r: &[u8]) -> Option<Listed> {
    let four = |n: usize| u32::from_be_bytes([r[n], r[n + 1], r[n + 2], r[n + 3]]);
    let two = |n: usize| u16::from_be_bytes([r[n], r[n + 1]]);
    let started = u64::from(four(19)) << 32 | u64::from(four(23));
    let availability = match r[10] {
        0 => Availability::Ready,
        1 => Availability::Draining,
        2 => Availability::Removed,
        _ => return None,
    };
    let (zone, kind) = (u32::from(r[11]), u32::from(r[12]));
    if zone as usize >= places.zones.max(1) || kind as usize >= places.kinds.max(1) {
        return None;
    }
    let entry = WorkerEntry {
        worker: four(0) as WorkerId,
        zone,
        cell: u32::from(two(13)),
        kind,
        size: f64::from(four(15)) / 1000.0,
        availability,
        born: (started > 0).then(|| started.saturating_mul(1000)),
    };
    Some(Listed { entry, address: SocketAddrV4::new(Ipv4Addr::from(four(4)), two(8)).into() })
}
