#pragma once

#include "daemon_context.h"

#include <net/net.h>

#include <optional>

namespace lacewing::daemon
{

class TrafficThread;

/** The callers' HTTP interface of one traffic thread; docs/INTERFACE.md describes it. */
class PublicApi
{
public:
    PublicApi(TrafficThread &thread, const DaemonContext &context);

    /** Answers one request, now or later. */
    void handle(const net::HttpRequest &request, net::ResponseWriter writer);

private:
    void submit(const net::HttpRequest &request, net::ResponseWriter writer);
    void submitTicketed(core::CallerRequest job, bool stream, net::ResponseWriter writer);
    void handleJob(const net::HttpRequest &request, net::ResponseWriter writer);
    void attach(const JobId &job, ByteOffset from, bool stream, const net::ResponseWriter &writer);
    void mintTicket(const net::HttpRequest &request, net::ResponseWriter writer);
    void submitLocal(core::CallerRequest job, bool stream, const net::ResponseWriter &writer);
    bool isAuthorized(const WorkspaceId &workspace, const net::HttpRequest &request) const;
    std::vector<std::uint64_t> prefixesOf(const core::CallerRequest &job) const;

    TrafficThread &thread_;
    const DaemonContext &context_;
};

} // namespace lacewing::daemon
