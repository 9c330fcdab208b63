//! Servers on threads of their own.

use std::future::Future;
use std::sync::mpsc;
use std::thread::JoinHandle;

use tokio::sync::oneshot;

/// A thread with an actor system that ends when this is dropped.
#[derive(Debug)]
pub struct Thread {
    stop: Option<oneshot::Sender<()>>,
    handle: Option<JoinHandle<()>>,
}

impl Thread {
    /// Runs `start` on a new thread and waits for what it gives; what it
    /// spawned goes on until the handle is dropped. `end` runs last.
    ///
    /// # Panics
    ///
    /// When the thread cannot be started or `start` panics.
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
                    let (value, kept) = start().await;
                    if send.send(value).is_ok() {
                        let _ = stopped.await;
                    }
                    end(kept).await;
                });
            })
            .expect("the system starts threads");
        let value = receive.recv().expect("the thread starts its server");
        let thread = Self {
            stop: Some(stop),
            handle: Some(handle),
        };
        (thread, value)
    }

    /// Ends the thread and waits for it.
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        drop(self.stop.take());
        if let Some(handle) = self.handle.take() {
            // A panic on the thread was printed when it happened.
            let _ = handle.join();
        }
    }
}

impl Drop for Thread {
    fn drop(&mut self) {
        self.end();
    }
}

/// Runs a future on a new thread with an actor system and gives its value.
///
/// # Panics
///
/// When the future panics.
pub fn run<T, F>(make: impl FnOnce() -> F + Send + 'static) -> T
where
    T: Send + 'static,
    F: Future<Output = T>,
{
    std::thread::spawn(move || actix::System::new().block_on(make()))
        .join()
        .expect("the future does not panic")
}
