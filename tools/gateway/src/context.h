#pragma once

#include <net/net.h>
#include <telemetry/telemetry.h>
#include <userplatform/userplatform.h>

namespace lacewing::gateway
{

/** What all parts of one VM's process share. */
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
