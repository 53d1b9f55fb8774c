#pragma once

#include "live_job.h"

#include <endpoint/endpoint.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lacewing::load
{

/** How a run is driven. */
struct LiveSettings {
    std::vector<std::string> daemons; ///< public addresses, used in turn
    std::string token; ///< callers' bearer token; empty: none
    bool stream = false; ///< ask for streamed answers
    double speed = 1; ///< the trace's times are divided by it; over 0
    Duration limit = std::chrono::minutes(5); ///< jobs not done by then fail
    /** Addresses of endpoints by pool; when given, every job is also run directly, stage by stage. */
    std::map<PoolId, std::vector<std::string>> direct;
};

/** Results of a run, in the order of the trace. */
struct LiveReport {
    std::vector<LiveResult> results; ///< through the daemons
    std::vector<LiveResult> direct; ///< the same jobs directly; empty without LiveSettings::direct
};

/** Sends the jobs at their times, over real sockets, and waits for all answers. Runs the loop. */
LiveReport runJobs(net::EventLoop &loop, const std::vector<LiveJob> &jobs, const LiveSettings &settings);

} // namespace lacewing::load
