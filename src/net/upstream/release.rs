//! Releases of the KV caches and slots that workers hold for a request.
//!
//! Any worker takes a release and passes it on to the holder. Workers are called one after the other until
//! one has acknowledged it; a second call does no harm, but a KV cache that is held too long does.

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

/// Before the first call, so that the worker has seen the attempt's connection close.
const RELEASE_DELAY: Duration = Duration::from_millis(5);
/// Before a further worker is called while a call is unanswered: well within [`RELEASE_PERIOD`].
const HEDGE_DELAY: Duration = Duration::from_millis(60);
/// New calls are made for this long: a KV cache has to be released about 0.4 s after the policy has decided
/// so.
const RELEASE_PERIOD: Duration = Duration::from_millis(350);
/// After a call that failed, and while no worker is known.
const RETRY_PAUSE: Duration = Duration::from_millis(10);
/// More workers than can be called within [`RELEASE_PERIOD`].
const MAX_CANDIDATES: usize = 64;
/// A single call is given up after this.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Releases what workers hold for a request, until a worker has acknowledged it or `progress` is stopped.
///
/// Dropping the future cancels all calls in flight: those not written yet are never sent.
pub(super) async fn release_cache(
    client: &UpstreamClient,
    request: &ForwardedRequest,
    progress: &ReleaseProgress,
) {
    let release = CacheRelease::new(client, request, progress);
    tokio::select! {
        // A stopped release must not write anything more, so the stop is looked at before each step of the
        // release.
        biased;
        () = progress.cancelled() => {}
        () = release.run() => {}
    }
}

/// Whether a worker has acknowledged a release.
enum Acknowledgement {
    Received,
    Outstanding,
}

/// A release in progress.
struct CacheRelease<'a> {
    client: &'a UpstreamClient,
    request: &'a ForwardedRequest,
    progress: &'a ReleaseProgress,
    /// Workers to be called next, the first one last.
    candidates: Vec<WorkerId>,
    /// Calls in flight. Dropping the set cancels them.
    calls: JoinSet<()>,
    acknowledge: mpsc::Sender<()>,
    acknowledged: mpsc::Receiver<()>,
}

impl<'a> CacheRelease<'a> {
    fn new(client: &'a UpstreamClient, request: &'a ForwardedRequest, progress: &'a ReleaseProgress) -> Self {
        let (acknowledge, acknowledged) = mpsc::channel(1);
        CacheRelease {
            client,
            request,
            progress,
            candidates: progress.holder().cloned().into_iter().collect(),
            calls: JoinSet::new(),
            acknowledge,
            acknowledged,
        }
    }

    async fn run(mut self) {
        tokio::time::sleep(RELEASE_DELAY).await;
        let path = reservation_path(self.request);
        let started = Instant::now();
        while started.elapsed() < RELEASE_PERIOD {
            let Some(worker) = self.next_candidate() else {
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            };
            let Ok(call) = UnaryCall::new(worker, Method::DELETE, &path) else { return };
            self.start(call);
            if let Acknowledgement::Received = self.wait_before_next_call().await {
                return self.progress.complete();
            }
        }
        self.finish().await;
    }

    /// The worker to call next: the known holder first, then all others.
    fn next_candidate(&mut self) -> Option<WorkerId> {
        if self.candidates.is_empty() {
            // All were called without success, or none is known yet: the endpoint list may have changed
            // since.
            self.candidates = self.client.directory.running(MAX_CANDIDATES);
            self.candidates.reverse();
        }
        self.candidates.pop()
    }

    fn start(&mut self, call: UnaryCall) {
        let (mut client, acknowledge) = (self.client.clone(), self.acknowledge.clone());
        let request = self.request.id.clone();
        self.calls.spawn_local(async move {
            match tokio::time::timeout(CALL_TIMEOUT, client.call(call)).await {
                Ok(Ok(_)) => _ = acknowledge.send(()).await,
                Ok(Err(error)) => log::debug!("request {request}: cache release: {error}"),
                Err(_) => {}
            }
        });
    }

    /// Waits for an acknowledgement, for the end of a call, or until it is time to call another worker as
    /// well.
    async fn wait_before_next_call(&mut self) -> Acknowledgement {
        // The order of the branches does not matter: a call that has ended is looked at for its
        // acknowledgement, too.
        tokio::select! {
            Some(()) = self.acknowledged.recv() => Acknowledgement::Received,
            Some(_) = self.calls.join_next() => {
                if self.acknowledged.try_recv().is_ok() {
                    return Acknowledgement::Received;
                }
                // A worker that can't be reached is not worth the longer wait: the next one is called soon.
                tokio::time::sleep(RETRY_PAUSE).await;
                Acknowledgement::Outstanding
            }
            () = tokio::time::sleep(HEDGE_DELAY) => Acknowledgement::Outstanding,
        }
    }

    /// Waits for the calls that are still in flight, without making new ones.
    async fn finish(mut self) {
        // With this sender gone, the channel closes when the last call has ended.
        drop(self.acknowledge);
        if self.acknowledged.recv().await.is_some() {
            self.progress.complete();
        } else {
            self.client.counters.cache_releases_failed.increment();
            log::warn!("request {}: no worker acknowledged the release of its cache", self.request.id);
        }
    }
}
