//! W3C Trace Context (Level 1): one trace id from the sender to the runner and through every log line.

/// A `traceparent`: version 00, trace id, parent id, flags (section 3.2).
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TraceParent {
    /// 32 hexadecimal digits, not all zero.
    pub trace: String,
    flags: String,
}

fn hex(text: &str, length: usize) -> bool {
    text.len() == length && text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
}

impl TraceParent {
    /// The sender's, where it is one; else a new one from these random bits.
    pub(crate) fn of(header: Option<&str>, random: u128) -> TraceParent {
        let parts: Vec<&str> = header.unwrap_or("").split('-').collect();
        if let [version, trace, parent, flags, ..] = parts[..] {
            // A higher version may have more parts; 00 has four and ff is forbidden (section 3.2.2.1).
            let known = hex(version, 2) && version != "ff" && (version != "00" || parts.len() == 4);
            let real = |id: &str| id.bytes().any(|b| b != b'0');
            if known && hex(trace, 32) && real(trace) && hex(parent, 16) && real(parent) && hex(flags, 2) {
                return TraceParent { trace: trace.to_owned(), flags: flags.to_owned() };
            }
        }
        TraceParent { trace: format!("{:032x}", random.max(1)), flags: "00".into() }
    }

    /// What goes on with an attempt: the same trace, and the attempt as the parent.
    pub(crate) fn child(&self, span: u64) -> String {
        format!("00-{}-{:016x}-{}", self.trace, span.max(1), self.flags)
    }
}

#[cfg(test)]
#[path = "../tests/unit/trace.rs"]
mod tests;
