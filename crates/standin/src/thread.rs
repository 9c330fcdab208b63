//! Threads with their own actor system, and blocking execution of a future.

use std::future::Future;
use std::sync::mpsc;
use std::thread::JoinHandle;

use tokio::sync::oneshot;

/// Handle of a thread that runs an actor system. Dropping it stops the thread
/// and joins it.
#[derive(Debug)]
pub struct Thread {
    stop: Option<oneshot::Sender<()>>,
    handle: Option<JoinHandle<()>>,
}

impl Thread {
    /// Runs `start` on a new thread and blocks until it returns its value.
    ///
    /// Tasks that `start` spawns run until the handle is dropped. Then `end`
    /// runs with the second value of `start`, before the actor system ends.
    ///
    /// # Panics
    ///
    /// Panics if the thread cannot be created or `start` panics.
    pub fn start<T, S, E, F>(name: &str, start: S, end: E) -> (Self, T)
    where
        T: Send + 'static,
        S: AsyncFnOnce() -> (T, F) + Send + 'static,
        E: AsyncFnOnce(F) + Send + 'static,
    {
        let (stop, stopped) = oneshot::channel();
        let (send, receive) = mpsc::channel();
        let handle = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                actix::System::new().block_on(async move {
                    let (value, retained) = start().await;
                    if send.send(value).is_ok() {
                        let _ = stopped.await;
                    }
                    end(retained).await;
                });
            })
            .expect("the thread is created");
        let value = receive.recv().expect("`start` returns a value");
        let thread = Self {
            stop: Some(stop),
            handle: Some(handle),
        };
        (thread, value)
    }

    /// Stops the thread and joins it.
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        drop(self.stop.take());
        if let Some(handle) = self.handle.take() {
            // The panic hook has already printed a panic of the thread.
            let _ = handle.join();
        }
    }
}

impl Drop for Thread {
    fn drop(&mut self) {
        self.end();
    }
}

/// Runs a future to completion on a new thread with its own actor system and
/// returns its output. Blocks the calling thread.
///
/// # Panics
///
/// Panics if the future panics.
pub fn run<T, F>(make: impl FnOnce() -> F + Send + 'static) -> T
where
    T: Send + 'static,
    F: Future<Output = T>,
{
    std::thread::spawn(move || actix::System::new().block_on(make()))
        .join()
        .expect("the future does not panic")
}
