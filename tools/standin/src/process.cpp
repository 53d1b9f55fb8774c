#include "process.h"

#include <algorithm>
#include <cstdio>

namespace lacewing::standin
{

net::Headers answerHeaders(const Process &process, std::string_view callId)
{
    char incarnation[17] = {};
    std::snprintf(
        incarnation, sizeof incarnation, "%llx", static_cast<unsigned long long>(process.incarnation.value()));
    return { { "X-Call-Id", std::string(callId) }, { "X-Incarnation", incarnation } };
}

void declineCall(Process &process, const net::HttpRequest &request, net::ResponseWriter writer, std::string_view why)
{
    auto headers = answerHeaders(process, callIdOf(request));
    headers.push_back({ "X-Not-Started", "true" });
    process.gate.respond(
        request.remoteAddress, std::move(writer), net::status::unavailable, std::move(headers), std::string(why));
}

std::string callIdOf(const net::HttpRequest &request)
{
    return std::string(request.header("X-Call-Id").value_or(""));
}

double slowFactor(Process &process)
{
    constexpr double leastFactor = 0.001;
    const auto slow = process.gate.faults().find(FaultKind::Slow, process.gate.target());
    return slow ? std::max(slow->number(1), leastFactor) : 1;
}

void crashIfMarked(Process &process, std::string_view content)
{
    const bool marked = content.find(crashMarker) != std::string_view::npos;
    if (marked && process.gate.faults().has(FaultKind::CrashOnMarker, process.gate.target())) {
        process.crash();
    }
}

} // namespace lacewing::standin
