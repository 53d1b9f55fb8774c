#pragma once

#include "daemon_context.h"

#include <config/config.h>
#include <net/net.h>

#include <map>

namespace lacewing::daemon
{

class ControlThread;

/** The operators' HTTP interface, on its own listener and with a token; docs/OPERATIONS.md describes it. */
class OperatorApi
{
public:
    OperatorApi(ControlThread &control, const DaemonContext &context);

    /** Answers one request, now or later. */
    void handle(const net::HttpRequest &request, net::ResponseWriter writer);
    /** The core's answer to a change. */
    void changeSettled(const core::ChangeSettled &settled);
    /** What an operator sees of this VM, as JSON. */
    std::string vmJson() const;

private:
    bool isAuthorized(const net::HttpRequest &request) const;
    void get(const net::HttpRequest &request, net::ResponseWriter writer);
    void post(const net::HttpRequest &request, net::ResponseWriter writer);
    void applyChange(const net::HttpRequest &request, net::ResponseWriter writer);
    void showChange(const std::string &id, net::ResponseWriter writer) const;
    void explainJob(const std::string &id, net::ResponseWriter writer);
    void showFleet(net::ResponseWriter writer);
    void readStream(const net::HttpRequest &request, const std::string &stream, net::ResponseWriter writer);
    void liftQuarantine(const std::string &fingerprint, const OperatorId &by, net::ResponseWriter writer);
    std::string endpointsJson() const;
    std::string configurationJson() const;
    std::string quarantineJson() const;
    void refreshMetrics() const;

    ControlThread &control_;
    const DaemonContext &context_;
    std::map<core::OperatorRequestId, net::ResponseWriter> waiting_;
    std::uint64_t lastRequest_ = 0;
};

} // namespace lacewing::daemon
