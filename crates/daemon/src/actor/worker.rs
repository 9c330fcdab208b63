//! Actor that runs one future.

use std::future::Future;
use std::pin::Pin;

use actix::{
    Actor, ActorContext, ActorFutureExt, AsyncContext, Context, Handler, Message, WrapFuture,
};

/// A boxed future that is not `Send`.
pub(super) type LocalFuture = Pin<Box<dyn Future<Output = ()>>>;

/// An actor that runs one future and stops when the future ends or panics. The
/// supervisor detects both.
pub(super) struct Worker {
    task: Option<LocalFuture>,
}

impl Worker {
    /// Creates an actor that runs `task` once started.
    pub(super) const fn new(task: LocalFuture) -> Self {
        Self { task: Some(task) }
    }
}

impl Actor for Worker {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        if let Some(task) = self.task.take() {
            let ended = task
                .into_actor(self)
                .map(|(), _, context: &mut Context<Self>| context.stop());
            context.spawn(ended);
        }
    }
}

/// Message that stops an actor and drops its future or, for the supervisor, stops
/// its children too.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct Stop;

impl Handler<Stop> for Worker {
    type Result = ();

    fn handle(&mut self, _: Stop, context: &mut Self::Context) {
        context.stop();
    }
}
