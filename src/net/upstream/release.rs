//! Releases the KV cache and the slot that workers hold for a request.
//!
//! Any worker accepts a release and forwards it to the holder. Workers are called in turn until one
//! acknowledges the release; calls are hedged, because a repeated release is harmless but a KV cache that is
//! held too long is not.

use crate::interface::WorkerId;
use crate::net::upstream::call::UnaryCall;
use crate::net::upstream::client::UpstreamClient;
use crate::net::upstream::slot::reservation_path;
use crate::runtime::ReleaseProgress;
use crate::runtime::exchange::ForwardedRequest;
use hyper::Method;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tower::Service;

/// The delay before the first call, so that the worker has seen the attempt's connection close.
const RELEASE_DELAY: Duration = Duration::from_millis(5);
/// The time after which another worker is called while a call awaits its response: well within
/// [`RELEASE_PERIOD`].
const HEDGE_DELAY: Duration = Duration::from_millis(60);
/// The period in which new calls are started: a KV cache must be released about 0.4 s after the policy's
/// decision.
const RELEASE_PERIOD: Duration = Duration::from_millis(350);
/// The delay after a failed call, and between searches for a worker while none is known.
const RETRY_DELAY: Duration = Duration::from_millis(10);
/// The limit on workers taken from the endpoint list at once: more than can be called within
/// [`RELEASE_PERIOD`].
const MAX_CANDIDATES: usize = 64;
/// The timeout of a single call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Releases the KV cache and the slot of a request, until a worker acknowledges the release or `progress` is
/// cancelled.
///
/// Dropping the future cancels all calls in flight. Those that are not written yet are never sent.
pub(super) async fn release_cache(
    client: &UpstreamClient,
    request: &ForwardedRequest,
    progress: &ReleaseProgress,
) {
    let release = CacheRelease::new(client, request, progress);
    tokio::select! {
        // A cancelled release must not write anything more, so the cancellation is checked before each poll
        // of the release.
        biased;
        () = progress.cancelled() => {}
        () = release.run() => {}
    }
}

/// Whether a worker has acknowledged a release.
enum Acknowledgement {
    Received,
    Pending,
}

struct CacheRelease<'a> {
    client: &'a UpstreamClient,
    request: &'a ForwardedRequest,
    progress: &'a ReleaseProgress,
    /// The workers to call next, in reverse order.
    candidates: Vec<WorkerId>,
    /// The calls in flight. Dropping the set cancels them.
    calls: JoinSet<()>,
    ack_sender: mpsc::Sender<()>,
    ack_receiver: mpsc::Receiver<()>,
}

impl<'a> CacheRelease<'a> {
    fn new(client: &'a UpstreamClient, request: &'a ForwardedRequest, progress: &'a ReleaseProgress) -> Self {
        let (ack_sender, ack_receiver) = mpsc::channel(1);
        CacheRelease {
            client,
            request,
            progress,
            candidates: progress.holder().cloned().into_iter().collect(),
            calls: JoinSet::new(),
            ack_sender,
            ack_receiver,
        }
    }

    async fn run(mut self) {
        tokio::time::sleep(RELEASE_DELAY).await;
        let path = reservation_path(self.request);
        let started = Instant::now();
        while started.elapsed() < RELEASE_PERIOD {
            let Some(worker) = self.next_candidate() else {
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            };
            let Ok(call) = UnaryCall::new(worker, Method::DELETE, &path) else { return };
            self.start_call(call);
            if let Acknowledgement::Received = self.wait_before_next_call().await {
                return self.progress.complete();
            }
        }
        self.await_calls_in_flight().await;
    }

    /// The worker to call next: first the known holder, then the workers of the endpoint list.
    fn next_candidate(&mut self) -> Option<WorkerId> {
        if self.candidates.is_empty() {
            // All candidates were called without success, or none was known: read the endpoint list again.
            self.candidates = self.client.directory.running_workers(MAX_CANDIDATES);
            self.candidates.reverse();
        }
        self.candidates.pop()
    }

    fn start_call(&mut self, call: UnaryCall) {
        let (mut client, ack_sender) = (self.client.clone(), self.ack_sender.clone());
        let request = self.request.id.clone();
        self.calls.spawn_local(async move {
            match tokio::time::timeout(CALL_TIMEOUT, client.call(call)).await {
                Ok(Ok(_)) => _ = ack_sender.send(()).await,
                Ok(Err(error)) => log::debug!("request {request}: cache release failed: {error}"),
                Err(_) => {}
            }
        });
    }

    /// Waits for an acknowledgement, the end of a call or [`HEDGE_DELAY`], whichever comes first.
    async fn wait_before_next_call(&mut self) -> Acknowledgement {
        // Needs no `biased`: the branch for an ended call also checks for an acknowledgement.
        tokio::select! {
            Some(()) = self.ack_receiver.recv() => Acknowledgement::Received,
            Some(_) = self.calls.join_next() => {
                if self.ack_receiver.try_recv().is_ok() {
                    return Acknowledgement::Received;
                }
                // The call has failed, so there is no reason to wait for the whole hedge delay.
                tokio::time::sleep(RETRY_DELAY).await;
                Acknowledgement::Pending
            }
            () = tokio::time::sleep(HEDGE_DELAY) => Acknowledgement::Pending,
        }
    }

    /// Waits for the calls in flight without starting new ones.
    async fn await_calls_in_flight(mut self) {
        // Without this sender the channel closes when the last call ends.
        drop(self.ack_sender);
        if self.ack_receiver.recv().await.is_some() {
            self.progress.complete();
        } else {
            self.client.counters.cache_releases_failed.increment();
            log::warn!("request {}: no worker acknowledged the cache release", self.request.id);
        }
    }
}
