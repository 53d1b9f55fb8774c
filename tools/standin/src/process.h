#pragma once

#include "executions.h"
#include "gate.h"
#include "settings.h"

namespace lacewing::standin
{

/** Text whose presence in a call's content crashes its endpoint while crash_on_marker is on. */
constexpr std::string_view crashMarker = "POISON";

/** One run of an endpoint's process: what its parts share. Replaced when the endpoint crashes. */
struct Process {
    net::EventLoop &loop;
    const PoolSettings &settings;
    Gate &gate;
    Executions &executions;
    Random &random;
    Incarnation incarnation;
    std::function<void()> crash; ///< ends this process a little later
};

/** Headers of an answer to a call. */
net::Headers answerHeaders(const Process &process, std::string_view callId);
/** Answers that a call didn't start. */
void declineCall(Process &process, const net::HttpRequest &request, net::ResponseWriter writer, std::string_view why);
/** The id that a call carries; empty when it has none. */
std::string callIdOf(const net::HttpRequest &request);
/** The factor that a fault puts on service times, at least a thousandth. */
double slowFactor(Process &process);
/** Crashes the process when a content holds the marker and the fault is on. */
void crashIfMarked(Process &process, std::string_view content);

} // namespace lacewing::standin
