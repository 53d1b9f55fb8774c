#pragma once

#include "context.h"
#include "decision_log.h"
#include "fleet_links.h"
#include "fleet_state.h"
#include "piece_service.h"
#include "request_handler.h"

#include <boost/asio/signal_set.hpp>

namespace lacewing::gateway
{

/** One VM's process: listeners, and the parts that serve them. */
class Gateway
{
public:
    Gateway(Context &context, std::uint64_t seed);

    Result<void> listen();
    /** Serves until told to stop. @return the exit code */
    int run();

private:
    void waitForSignal();
    void beginStop();
    void closeWhenQuiet();
    void answerReadiness(const net::HttpRequest &request, net::ResponseWriter writer);
    void viewChanged();
    FleetHandlers fleetHandlers();

    Context &context_;
    Random random_;
    boost::asio::signal_set signals_;
    FleetLinks links_;
    FleetState state_;
    PieceService pieces_;
    net::HttpClient client_;
    dispatch::EndpointChooser chooser_;
    dispatch::PrefixMemory prefixes_;
    dispatch::SuspectList suspects_;
    DecisionLog decisions_;
    RunShared shared_;
    net::HttpServer callers_;
    net::HttpServer readiness_;
    net::HttpServer metrics_;
    std::optional<Time> stopAt_; ///< when the signal to stop came
    bool closing_ = false;
    bool wasKnown_ = false;
};

} // namespace lacewing::gateway
