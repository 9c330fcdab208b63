//! Clients that send or read what keeps memory or descriptors in use, against daemons
//! as processes of their own whose settings give them little of either.
//!
//! The tests check that the processes live, that their memory and descriptors stay
//! under the bound that the settings give, and that an ordinary request is answered
//! afterwards. They run one at a time, apart from the other tests.

mod site;

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use site::{MIB, Site, request};

/// Time for which a crowd is watched, and the interval of the checks.
const WATCHED: Duration = Duration::from_secs(10);
const INTERVAL: Duration = Duration::from_millis(50);

/// Connections that send requests ahead and read nothing, the requests on each, and
/// the length of each response in bytes.
const AHEAD: usize = 12;
const REQUESTS: usize = 32;
const AHEAD_LENGTH: usize = 8 * MIB;
/// Connections that read one response slowly, and its length in bytes.
const SLOW: usize = 40;
const SLOW_LENGTH: usize = 4 * MIB;
/// Bytes that a slow reader reads at once, and its pause after that.
const SLOW_PART: usize = 1024;
const SLOW_PAUSE: Duration = Duration::from_millis(100);
/// Connections with a head that does not end, with a body that trickles, and silent.
const HEADS: usize = 60;
const BODIES: usize = 60;
const SILENT: usize = 180;
/// Receive buffer of a client's socket, in bytes. With a larger one, the kernel would
/// take whole responses.
const RECEIVE_BUFFER: u32 = 16 * 1024;

/// Runs a test alone, with the clients that `gather` adds.
fn alone(name: &str, gather: impl AsyncFnOnce(&mut Crowd, SocketAddr)) {
    static RUNNING: Mutex<()> = Mutex::new(());
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    actix::System::new().block_on(async {
        let mut site = Site::start(name).await;
        site.check();
        let mut crowd = Crowd::default();
        gather(&mut crowd, site.callers()).await;
        let end = Instant::now() + WATCHED;
        while Instant::now() < end {
            site.check();
            sleep(INTERVAL).await;
        }
        site.await_ordinary().await;
        site.check();
        drop(crowd);
    });
}

/// Tasks of clients, which end when it is dropped.
#[derive(Default)]
struct Crowd(Vec<JoinHandle<()>>);

impl Crowd {
    /// Adds clients, each with a connection.
    async fn add(
        &mut self,
        count: usize,
        to: SocketAddr,
        client: impl AsyncFn(&mut TcpStream) -> std::io::Result<()> + Copy + 'static,
    ) {
        for _ in 0..count {
            let socket = TcpSocket::new_v4().expect("a socket");
            socket
                .set_recv_buffer_size(RECEIVE_BUFFER)
                .expect("a socket");
            let mut stream = socket.connect(to).await.expect("a connection");
            self.0.push(actix_rt::spawn(async move {
                // The daemon may close the connection.
                if client(&mut stream).await.is_ok() {
                    std::future::pending::<()>().await;
                }
            }));
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        for task in &self.0 {
            task.abort();
        }
    }
}

/// Sends requests ahead and reads nothing.
async fn send_ahead(stream: &mut TcpStream) -> std::io::Result<()> {
    for number in 0..REQUESTS {
        let request = request(AHEAD_LENGTH, number % 2 == 1);
        stream.write_all(&request).await?;
    }
    Ok(())
}

/// Sends a request and reads the response slowly.
async fn read_slowly(stream: &mut TcpStream) -> std::io::Result<()> {
    let chunked = rand::random();
    stream.write_all(&request(SLOW_LENGTH, chunked)).await?;
    let mut part = [0; SLOW_PART];
    while stream.read(&mut part).await? > 0 {
        sleep(SLOW_PAUSE).await;
    }
    Ok(())
}

/// Sends a head that does not end.
async fn send_endless_head(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(b"GET /a/whole/1 HTTP/1.1\r\n").await?;
    loop {
        stream.write_all(b"x-more: y\r\n").await?;
        sleep(SLOW_PAUSE).await;
    }
}

/// Sends a body of which a byte comes at a time.
async fn send_trickle(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut message = String::from_utf8_lossy(&request(1, false)).into_owned();
    message = message.replacen("GET", "POST", 1);
    message = message.replace("content-length: 0", "content-length: 1048576");
    stream.write_all(message.as_bytes()).await?;
    loop {
        stream.write_all(b"x").await?;
        sleep(SLOW_PAUSE).await;
    }
}

/// Case (a). Guards against responses that fill the memory because those of requests
/// sent ahead are held for clients that do not read them.
#[test]
fn requests_ahead() {
    alone("ahead", async |crowd, to| {
        crowd.add(AHEAD, to, send_ahead).await;
    });
}

/// Case (b). Guards against long responses that fill the memory while many clients
/// read them slowly.
#[test]
fn slow_readers() {
    alone("slow", async |crowd, to| {
        crowd.add(SLOW, to, read_slowly).await;
    });
}

/// Case (c). Guards against connections that use up the descriptors.
#[test]
fn unfinished_requests() {
    alone("unfinished", async |crowd, to| {
        crowd.add(HEADS, to, send_endless_head).await;
        crowd.add(BODIES, to, send_trickle).await;
        crowd.add(SILENT, to, async |_| Ok(())).await;
    });
}

/// Case (d): cases (a) and (b) together.
#[test]
fn ahead_and_slow() {
    alone("both", async |crowd, to| {
        crowd.add(AHEAD, to, send_ahead).await;
        crowd.add(SLOW, to, read_slowly).await;
    });
}
