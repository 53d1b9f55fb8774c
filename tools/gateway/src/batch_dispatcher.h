#pragma once

#include "context.h"
#include "endpoint_connection_log.h"
#include "endpoint_reachability.h"
#include "fleet_links.h"
#include "fleet_state.h"
#include "poison_request_guard.h"

#include <stages/stages.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lacewing::gateway
{

/** Handle of a result, and the endpoint that holds the result. */
struct HeldResult {
    stages::ResultHandle handle;
    EndpointId endpoint;
};

/** Outcome of a piece. */
struct PieceOutcome {
    std::optional<HeldResult> result;
    userplatform::PieceFailure failure = userplatform::PieceFailure::Failed; ///< valid if there is no result
};

/** Services shared by the dispatchers of all services. */
struct BatchDispatcherContext {
    BatchDispatcherContext(Context &processContext,
                           FleetLinks &fleetLinks,
                           FleetState &fleetState,
                           EndpointNotices &endpointNotices,
                           EndpointReachability &endpointReachability,
                           PoisonRequestGuard &poisonRequestGuard);

    Context &context;
    FleetLinks &links;
    FleetState &state;
    EndpointNotices &notices;
    EndpointReachability &reachability;
    PoisonRequestGuard &poisonRequests;
    EndpointConnectionLog connectionLog;
    net::HttpClient client; ///< connects to endpoints of stages
    net::HttpClient releaseClient; ///< the same, as answers to releases can't be told from copies
    stages::AnswerHistory answers; ///< of these endpoints
    telemetry::Counter callCounter;
    telemetry::Counter pieceCounter;
    telemetry::Histogram fullnessHistogram;
};

/** Batches pieces into calls to the endpoints of one service in one cell; used on the VM that coordinates the cell. */
class BatchDispatcher
{
public:
    using Callback = std::function<void(const PieceOutcome &)>;

    BatchDispatcher(BatchDispatcherContext &shared, routing::ServiceId service, stages::CellId cell);
    BatchDispatcher(const BatchDispatcher &) = delete;
    BatchDispatcher &operator=(const BatchDispatcher &) = delete;

    /** Must be called when the desired state, the endpoints or the VMs have changed. */
    void refresh();
    /** Queues a piece. The callback is called once, after this function has returned, unless the piece is cancelled. */
    void add(stages::PieceTask task, Callback callback);
    void cancel(stages::PieceTicket ticket);
    void release(const HeldResult &result);
    /** Returns the number of pieces that are queued or in flight. */
    std::size_t pending() const noexcept
    {
        return callbacks_.size();
    }
    const stages::BatchScheduler &scheduler() const noexcept
    {
        return scheduler_;
    }

private:
    struct InFlightCall {
        stages::BatchCall call;
        routing::EndpointEntry entry; ///< the endpoint's registration when the call was sent
        net::HttpCallHandle handle;
        Time sentAt;
        std::vector<userplatform::PieceResponse> results; ///< of a complete response; empty if it holds none
    };

    void scheduleRun(Duration wait);
    void runScheduler();
    void send(stages::BatchCall call);
    void failWaiting();
    void rejectQuarantined(stages::BatchCall &call);
    bool readResults(InFlightCall &inFlight, const net::HttpResponse &response, net::ConnectionNumber connection);
    void handleCallEnd(const InFlightCall &inFlight, const net::HttpEnd &end, const net::HttpHead &head);
    void abortCalls(const EndpointId &endpoint);
    void handleResults(const stages::BatchCall &call, const std::vector<userplatform::PieceResponse> &pieceResponses);
    void handleCallFailure(const InFlightCall &inFlight, const net::HttpEnd &end, const net::HttpHead &head);
    void reportFailed(const stages::BatchCall &call);
    void requeue(const stages::BatchCall &call);
    bool notify(stages::PieceTicket ticket, const PieceOutcome &outcome);
    void sendReleases();
    void scheduleReleases(Time due);

    Time now() const noexcept
    {
        return shared_.context.now();
    }

    BatchDispatcherContext &shared_;
    routing::ServiceId service_;
    stages::CellId cell_;
    routing::BatchConfig traits_;
    stages::BatchScheduler scheduler_;
    std::map<std::uint64_t, InFlightCall> inFlightCalls_; ///< by call number
    std::uint64_t lastCallNumber_ = 0;
    std::unordered_map<stages::PieceTicket, Callback> callbacks_;
    std::map<EndpointId, std::vector<stages::ResultHandle>> pendingReleases_; ///< releases not yet sent, by endpoint
    std::optional<Time> releasesDueAt_; ///< next time at which releases are sent
    TimerHandle timer_;
    Time timerDueAt_;
    bool isConfirmationAwaited_ = false; ///< this process stood still, so calls wait until the view is confirmed
};

} // namespace lacewing::gateway
