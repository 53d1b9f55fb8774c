#pragma once

#include "context.h"
#include "fleet_links.h"
#include "fleet_state.h"

#include <stages/stages.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lacewing::gateway
{

/** A result and the endpoint that holds it. */
struct HeldResult {
    stages::ResultHandle handle;
    EndpointId endpoint;
};

/** What became of a piece. */
struct PieceOutcome {
    std::optional<HeldResult> result;
    userplatform::PieceFailure failure = userplatform::PieceFailure::Failed; ///< if there is no result
};

/** What the fillers of all services use. */
struct FillerShared {
    FillerShared(Context &processContext, FleetLinks &fleetLinks, FleetState &fleetState);

    Context &context;
    FleetLinks &links;
    FleetState &state;
    net::HttpClient client; ///< to the endpoints of stages
    telemetry::Counter calls;
    telemetry::Counter pieces;
    telemetry::Histogram fullness;
};

/** Fills the calls of one service's endpoints in one cell, and sends them; used on the VM that was chosen for it. */
class CallFiller
{
public:
    using Callback = std::function<void(const PieceOutcome &)>;

    CallFiller(FillerShared &shared, routing::ServiceId service, stages::CellId cell);
    CallFiller(const CallFiller &) = delete;
    CallFiller &operator=(const CallFiller &) = delete;

    /** The desired state, the endpoints or the VMs have changed. */
    void refresh();
    /** The callback comes later, once, unless the piece is cancelled. */
    void add(stages::PieceOrder order, Callback callback);
    void cancel(stages::PieceTicket ticket);
    void release(const HeldResult &result);
    /** Pieces that wait or are being made. */
    std::size_t pending() const noexcept
    {
        return callbacks_.size();
    }
    const stages::BatchScheduler &scheduler() const noexcept
    {
        return scheduler_;
    }

private:
    void startSoon(Duration wait);
    void start();
    void send(stages::BatchCall call);
    void ended(const stages::BatchCall &call, const net::HttpEnd &end, const net::HttpResponse &response);
    void closeCalls(const EndpointId &endpoint);
    void made(const stages::BatchCall &call, const std::vector<userplatform::PieceAnswer> &answers);
    void notMade(const stages::BatchCall &call, const net::HttpEnd &end, const net::HttpHead &head);
    void addAgain(const stages::BatchCall &call);
    bool tell(stages::PieceTicket ticket, const PieceOutcome &outcome);
    void sendReleases();

    Time now() const noexcept
    {
        return shared_.context.now();
    }

    FillerShared &shared_;
    routing::ServiceId service_;
    stages::CellId cell_;
    routing::BatchTraits traits_;
    stages::BatchScheduler scheduler_;
    struct OpenCall {
        stages::BatchCall call;
        net::HttpCallHandle handle;
    };
    std::map<std::uint64_t, OpenCall> openCalls_; ///< by a number of their own
    std::uint64_t lastCall_ = 0;
    std::unordered_map<stages::PieceTicket, Callback> callbacks_;
    std::map<EndpointId, std::vector<stages::ResultHandle>> releases_; ///< to be told to their endpoints
    TimerHandle timer_;
    Time timerDue_;
};

} // namespace lacewing::gateway
