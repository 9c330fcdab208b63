//! An actor that runs one future and stops when it ends.

use std::future::Future;
use std::pin::Pin;

use actix::{
    Actor, ActorContext, ActorFutureExt, AsyncContext, Context, Handler, Message, WrapFuture,
};

/// A future that belongs to one thread.
pub(super) type LocalFuture = Pin<Box<dyn Future<Output = ()>>>;

/// An actor that runs one future. A panic in the future ends the actor,
/// which its supervisor sees.
pub(super) struct Worker {
    work: Option<LocalFuture>,
}

impl Worker {
    /// An actor that runs this future.
    pub(super) const fn new(work: LocalFuture) -> Self {
        Self { work: Some(work) }
    }
}

impl Actor for Worker {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        if let Some(work) = self.work.take() {
            let ended = work
                .into_actor(self)
                .map(|(), _, context: &mut Context<Self>| context.stop());
            context.spawn(ended);
        }
    }
}

/// Ends an actor and what it runs.
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
