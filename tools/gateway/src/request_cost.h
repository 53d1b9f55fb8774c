#pragma once

#include <cost/cost.h>
#include <dispatch/dispatch.h>

namespace lacewing::gateway
{

/** What a request is expected to cost an endpoint, and what the estimate rests on. */
struct RequestCost {
    dispatch::Work work;
    cost::RequestClass requestClass;
    bool isGeneration = false; ///< the cost is that of the prompt
    double unreadTokens = 0; ///< prompt tokens that the engine has to read
    double sharedTokens = 0; ///< prompt tokens that it may hold because of other VMs' requests
};

} // namespace lacewing::gateway
