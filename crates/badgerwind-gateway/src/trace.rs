//! W3C Trace Context (Level 1): passes one trace id from the sender to the runner and to the log.

/// A `traceparent`: version 00, trace id, parent id, flags (section 3.2).
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TraceParent {
    /// 32 hexadecimal digits, not all zero.
    pub trace_id: String,
    flags: String,
}

fn is_hex(text: &str, length: usize) -> bool {
    text.len() == length && text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
}

impl TraceParent {
    /// Parses the sender's header; without a valid one, starts a new trace with an id from the random bits.
    pub(crate) fn from_header(header: Option<&str>, random: u128) -> TraceParent {
        let parts: Vec<&str> = header.unwrap_or("").split('-').collect();
        if let [version, trace_id, parent, flags, ..] = parts[..] {
            // A higher version may have more parts; 00 has four and ff is forbidden (section 3.2.2.1).
            let version_ok = is_hex(version, 2) && version != "ff" && (version != "00" || parts.len() == 4);
            let nonzero = |id: &str| id.bytes().any(|b| b != b'0');
            if version_ok
                && is_hex(trace_id, 32)
                && nonzero(trace_id)
                && is_hex(parent, 16)
                && nonzero(parent)
                && is_hex(flags, 2)
            {
                return TraceParent { trace_id: trace_id.to_owned(), flags: flags.to_owned() };
            }
        }
        TraceParent { trace_id: format!("{:032x}", random.max(1)), flags: "00".into() }
    }

    /// The header for an attempt: the same trace, with the attempt as the parent span.
    pub(crate) fn child(&self, span: u64) -> String {
        format!("00-{}-{:016x}-{}", self.trace_id, span.max(1), self.flags)
    }
}

#[cfg(test)]
#[path = "../tests/unit/trace.rs"]
mod tests;
