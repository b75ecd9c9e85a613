//! Server for other entry processes.

use std::sync::Arc;

use bramley_core::kernel::event::KernelEvent;
use bramley_core::names::HostName;
use bramley_wire::peer::peer_server::Peer;
use bramley_wire::peer::{
    BorrowReply, BorrowRequest, ConfigurationReply, ConfigurationRequest, ForwardReply,
    ForwardRequest, HeartbeatReply, HeartbeatRequest, ReturnReply, ReturnRequest,
};
use bytes::Bytes;
use tonic::{Request, Response, Status};

use crate::caller::routes::{self, TicketOperation};
use crate::dispatch::channel::LendRequest;
use crate::member_channel::MembershipHandle;
use crate::peers::convert::{
    heartbeat_from_wire, heartbeat_to_wire, slots_from_wire, slots_to_wire,
};
use crate::shared::SharedState;

/// Implements the gRPC service for other entry processes.
#[derive(Debug)]
pub struct PeerService {
    state: Arc<SharedState>,
    membership: MembershipHandle,
}

impl PeerService {
    /// Creates the service.
    #[must_use]
    pub const fn new(state: Arc<SharedState>, membership: MembershipHandle) -> Self {
        Self { state, membership }
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn heartbeat(
        &self,
        request: Request<HeartbeatRequest>,
    ) -> Result<Response<HeartbeatReply>, Status> {
        let message = request.into_inner();
        self.state.metrics.count_control_message(&message);
        let Some(heartbeat) = heartbeat_from_wire(message) else {
            return Err(Status::invalid_argument("the sender's record is malformed"));
        };
        let Some(reply) = self.membership.exchange_heartbeat(heartbeat).await else {
            return Err(Status::unavailable("the process is ending"));
        };
        let reply = HeartbeatReply {
            news: Some(heartbeat_to_wire(reply)),
        };
        self.state.metrics.count_control_message(&reply);
        Ok(Response::new(reply))
    }

    async fn forward(
        &self,
        request: Request<ForwardRequest>,
    ) -> Result<Response<ForwardReply>, Status> {
        let ForwardRequest {
            operation,
            body,
            hops,
            ..
        } = request.into_inner();
        let body = Bytes::from(body);
        let response = match TicketOperation::parse(&operation) {
            Some(TicketOperation::Submit) => routes::submit(&self.state, body, hops).await,
            Some(operation) => routes::query_or_cancel(&self.state, operation, body, hops).await,
            None => return Err(Status::invalid_argument("unknown operation")),
        };
        Ok(Response::new(ForwardReply {
            status: u32::from(response.status.as_u16()),
            retry_after_ms: u64::try_from(response.retry_after.as_millis()).unwrap_or(u64::MAX),
            body: response.body.to_vec(),
            incarnation: self.state.issuer.incarnation().to_string(),
        }))
    }

    async fn borrow_slots(
        &self,
        request: Request<BorrowRequest>,
    ) -> Result<Response<BorrowReply>, Status> {
        let request = request.into_inner();
        self.state.metrics.count_control_message(&request);
        let lend_request = LendRequest {
            borrower: HostName::from(request.host.as_str()),
            plain: request.count,
            accelerated: request.accelerator_count,
        };
        let granted = self
            .state
            .kernel
            .lend(lend_request)
            .await
            .map_err(|error| Status::unavailable(error.to_string()))?;
        let term = granted.until.since(self.state.clock.now());
        let reply = BorrowReply {
            slots: slots_to_wire(&granted.slots),
            term_ms: u32::try_from(term.as_millis()).unwrap_or(u32::MAX),
            idle_slots: granted.idle_slots,
        };
        self.state.metrics.count_control_message(&reply);
        Ok(Response::new(reply))
    }

    async fn return_slots(
        &self,
        request: Request<ReturnRequest>,
    ) -> Result<Response<ReturnReply>, Status> {
        let request = request.into_inner();
        self.state.metrics.count_control_message(&request);
        let borrower = HostName::from(request.host.as_str());
        let slots = slots_from_wire(&request.slots);
        self.state
            .kernel
            .report(KernelEvent::LoanReturned { borrower, slots })
            .await;
        Ok(Response::new(ReturnReply {}))
    }

    async fn fetch_configuration(
        &self,
        _request: Request<ConfigurationRequest>,
    ) -> Result<Response<ConfigurationReply>, Status> {
        let configuration = self.state.configuration.load_full();
        let reply = ConfigurationReply {
            generation: configuration.generation,
            document: configuration.stored.clone(),
            worker_list: self.state.encode_worker_list(),
        };
        self.state.metrics.count_control_message(&reply);
        Ok(Response::new(reply))
    }
}
