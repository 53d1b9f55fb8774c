#pragma once

#include "answer_sink.h"
#include "peer_calls.h"

#include <core/core.h>
#include <settings/settings.h>
#include <telemetry/telemetry.h>

#include <functional>
#include <memory>

namespace lacewing::daemon
{

/** What all threads of the daemon share and don't change after the start. */
struct DaemonContext {
    settings::Settings settings;
    Incarnation incarnation;
    std::uint64_t seed = 0;
    telemetry::Logger *logger = nullptr;
    telemetry::Metrics *metrics = nullptr;
    std::string operatorToken;
};

/** Receives the pieces of another VM's answer, on the control thread. */
struct ForwardHandlers {
    std::function<void(PeerPiece)> onPiece;
    std::function<void(const Error &error, bool sent)> onFailed;
};

} // namespace lacewing::daemon
