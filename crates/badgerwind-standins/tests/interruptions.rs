//! Blocking reads of the stand-ins that signals interrupt. On Linux a stop ends the wait of a read with a
//! timeout with `EINTR` although there is no signal handler. Each test runs itself in a child process, stops
//! and continues it while it waits in a read, and plays its peer.

use badgerwind_platform::fcgi;
use badgerwind_standins::platform::web::WebConnection;
use badgerwind_standins::platform::{read_with_timeout, wait_until};
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Tells the child process the address of its peer.
const PEER: &str = "BADGERWIND_TEST_PEER";
/// A timeout that only a hang reaches.
const LONG: Duration = Duration::from_secs(20);

/// The address of the peer in a child process; none in the test's own process.
fn peer() -> Option<SocketAddr> {
    std::env::var(PEER).ok().map(|address| address.parse().unwrap())
}

/// The line by which the child names its reading thread, as a path below `/proc`.
fn reading_thread() -> String {
    format!("{}\n", std::fs::read_link("/proc/thread-self").unwrap().display())
}

/// A child process with a thread that reads from a connection to this process.
struct Reader {
    child: Child,
    /// The thread's status file.
    status: String,
    stream: BufReader<TcpStream>,
}

impl Reader {
    /// Runs a test of this program in a child process, and returns once it has connected and named its
    /// reading thread.
    fn start(test: &str) -> Reader {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let child = Command::new(std::env::current_exe().unwrap())
            .args([test, "--exact", "--nocapture"])
            .env(PEER, listener.local_addr().unwrap().to_string())
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let mut accepted = None;
        let connected = wait_until(|| {
            accepted = listener.accept().ok();
            accepted.is_some()
        });
        assert!(connected, "the child process has not connected");
        let (stream, _) = accepted.unwrap();
        stream.set_nonblocking(false).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        let mut reader = Reader { child, status: String::new(), stream: BufReader::new(stream) };
        let mut thread = String::new();
        reader.stream.read_line(&mut thread).unwrap();
        reader.status = format!("/proc/{}/stat", thread.trim_end());
        reader
    }

    /// The thread's state as in `/proc`: `S` asleep, `T` stopped; none once it has ended.
    fn state(&self) -> Option<char> {
        let status = std::fs::read_to_string(&self.status).ok()?;
        // `Z` and `X` are those of an ended process that is not waited for.
        status.rsplit_once(") ")?.1.chars().next().filter(|state| !['Z', 'X'].contains(state))
    }

    /// Stops and continues the process while the thread sleeps, which it does only in its read. Returns false
    /// if the thread has ended.
    fn interrupt(&mut self) -> bool {
        let mut state = None;
        let asleep = wait_until(|| {
            state = self.state();
            matches!(state, Some('S') | None)
        });
        assert!(asleep, "the thread neither waits in its read nor ends");
        if state.is_none() {
            return false;
        }
        self.signal("-STOP");
        let stopped = wait_until(|| matches!(self.state(), Some('T') | None));
        assert!(stopped, "the process is not stopped");
        self.signal("-CONT");
        true
    }

    fn signal(&self, name: &str) {
        // It fails if the process has ended.
        let id = self.child.id().to_string();
        Command::new("kill").args([name, &id]).stderr(Stdio::null()).status().unwrap();
    }

    fn write(&mut self, bytes: &[u8]) {
        self.stream.get_mut().write_all(bytes).unwrap();
    }

    /// Waits for the end of the process, which must have passed.
    fn assert_passes(&mut self) {
        let mut status = None;
        let ended = wait_until(|| {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        assert!(ended, "the child process does not end");
        assert!(status.unwrap().success(), "the child process has failed: see its message above");
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let _ = (self.child.kill(), self.child.wait()); // fails harmlessly if the process has ended
    }
}

/// The records of an answer with status 200.
fn answer(number: u16) -> Vec<u8> {
    let mut out = Vec::new();
    fcgi::write_stream(&mut out, fcgi::STDOUT, number, b"Status: 200 OK\r\n\r\nbody");
    fcgi::write_end_request(&mut out, number, fcgi::ProtocolStatus::Complete);
    out
}

/// An interrupted read must not fail the test that waits for the answer.
#[test]
fn an_answer_arrives_although_stops_interrupt_its_read() {
    if let Some(peer) = peer() {
        let mut web = WebConnection::connect(peer).unwrap();
        web.write(reading_thread().as_bytes()).unwrap();
        let answer = web.answer().unwrap();
        assert_eq!((answer.number, answer.status, answer.body.as_slice()), (1, 200, b"body".as_slice()));
        return;
    }
    let mut reader = Reader::start("an_answer_arrives_although_stops_interrupt_its_read");
    for _ in 0..3 {
        assert!(reader.interrupt(), "the read has ended before the answer");
    }
    let answer = answer(1);
    let (begin, end) = answer.split_at(12);
    reader.write(begin);
    assert!(reader.interrupt(), "the read has ended within the answer");
    reader.write(end);
    reader.assert_passes();
}

/// An interrupted read must not count as the end of the connection.
#[test]
fn a_connection_is_not_taken_for_closed_when_a_stop_interrupts_its_read() {
    if let Some(peer) = peer() {
        let mut web = WebConnection::connect(peer).unwrap();
        web.write(reading_thread().as_bytes()).unwrap();
        assert!(web.wait_closed(), "the connection ends");
        // An answer that follows would show that the connection had not ended.
        assert_eq!(web.answer().unwrap_err().kind(), ErrorKind::UnexpectedEof);
        return;
    }
    let mut reader = Reader::start("a_connection_is_not_taken_for_closed_when_a_stop_interrupts_its_read");
    assert!(reader.interrupt(), "the read has ended");
    reader.write(&answer(1));
    reader.stream.get_mut().shutdown(std::net::Shutdown::Write).unwrap();
    reader.assert_passes();
}

/// If each interruption began the timeout again, frequent signals would make a read wait for ever.
#[test]
fn interruptions_do_not_lengthen_the_timeout_of_a_read() {
    const TIMEOUT: Duration = Duration::from_millis(500);
    if let Some(peer) = peer() {
        let mut stream = TcpStream::connect(peer).unwrap();
        stream.write_all(reading_thread().as_bytes()).unwrap();
        let began = Instant::now();
        let error = read_with_timeout(&mut stream, &mut [0; 8], TIMEOUT).unwrap_err();
        assert_eq!(error.kind(), ErrorKind::WouldBlock);
        assert!(began.elapsed() >= TIMEOUT, "the read ended after {:?}", began.elapsed());
        return;
    }
    let mut reader = Reader::start("interruptions_do_not_lengthen_the_timeout_of_a_read");
    let end = Instant::now() + LONG;
    let mut interruptions = 0;
    while reader.interrupt() {
        interruptions += 1;
        assert!(Instant::now() < end, "the read has not ended after {interruptions} interruptions");
    }
    reader.assert_passes();
    assert!(interruptions > 0, "the read was never interrupted");
}

/// A stop can last beyond the timeout, and bytes can arrive during it.
#[test]
fn a_read_whose_timeout_has_passed_returns_bytes_that_have_arrived() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut sender = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (mut stream, _) = listener.accept().unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    sender.write_all(b"bytes").unwrap();
    let mut bytes = [0; 8];
    assert!(wait_until(|| stream.peek(&mut bytes).is_ok_and(|n| n == 5)), "the bytes have not arrived");
    let read = read_with_timeout(&mut stream, &mut bytes, Duration::ZERO).unwrap();
    assert_eq!(&bytes[..read], b"bytes");
    let error = read_with_timeout(&mut stream, &mut bytes, Duration::ZERO).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::WouldBlock);
}
