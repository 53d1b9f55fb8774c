#pragma once

#include <net/net.h>
#include <telemetry/telemetry.h>
#include <userplatform/userplatform.h>

namespace lacewing::gateway
{

/** Process-wide services shared by all parts of the gateway on one VM. */
struct Context {
    net::EventLoop &loop;
    const userplatform::VmSettings &settings;
    telemetry::Logger &logger;
    telemetry::Metrics &metrics;
    Incarnation incarnation;

    Time now() const noexcept
    {
        return loop.clock().now();
    }
};

} // namespace lacewing::gateway
