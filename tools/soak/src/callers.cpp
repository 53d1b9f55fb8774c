#include "callers.h"

#include <requests.h>

namespace lacewing::soak
{
namespace
{

constexpr std::size_t callersPerVm = 8;
/** Shorter than the time for which a client trusts an unused connection. */
constexpr Duration longestPause = 40ms;
/** Pause after a request that failed to reach a VM. */
constexpr Duration failurePause = 100ms;
constexpr std::chrono::milliseconds callerTimeout { 6'000 };

struct Kind {
    const char *target;
    Repeatable repeatable;
    double share; ///< of the requests
    bool hasStages;
};

constexpr Kind kinds[] = {
    { "/unsafe/x", Repeatable::No, 0.5, false },  { "/safe/x", Repeatable::Yes, 0.1, false },
    { "/stream/x", Repeatable::No, 0.15, false }, { "/resumable/x", Repeatable::Yes, 0.1, false },
    { "/drawn/x", Repeatable::No, 0.15, true },
};

const Kind &chooseKind(Random &random)
{
    double remaining = random.unit();
    for (const auto &kind : kinds) {
        remaining -= kind.share;
        if (remaining < 0) {
            return kind;
        }
    }
    return kinds[0];
}

} // namespace

struct Callers::Request {
    const Kind *kind = nullptr;
    std::string id;
    std::size_t vm = 0;
    std::uint32_t pieces = 0;
    std::size_t returns = 0; ///< times that it was sent again
};

Callers::Callers(
    gateway_test::Harness &harness, Promises &promises, std::size_t vms, std::uint64_t seed, ReturnHabits returnHabits)
    : harness_(harness)
    , promises_(promises)
    , vms_(vms)
    , random_(seed)
    , returnHabits_(returnHabits)
{
    for (std::size_t vm = 0; vm < vms; ++vm) {
        for (std::size_t index = 0; index < callersPerVm; ++index) {
            auto client = std::make_unique<net::HttpClient>(harness.loop(), net::HttpClientOptions().maxPerAddress(1));
            callers_.push_back(std::make_unique<Caller>(Caller { vm, callers_.size(), 0, std::move(client) }));
        }
    }
}

Callers::~Callers() = default;

void Callers::start()
{
    for (const auto &caller : callers_) {
        sendNext(*caller);
    }
}

void Callers::sendNext(Caller &caller)
{
    const Kind &kind = chooseKind(random_);
    const std::string id = "c" + std::to_string(caller.number) + "-" + std::to_string(++caller.requests);
    send(caller, { &kind, id, caller.vm, std::uint32_t(kind.hasStages ? 1 + random_.below(3) : 0), 0 });
}

void Callers::send(Caller &caller, const Request &request)
{
    if (isStopped_) {
        return;
    }
    platform_standin::RequestSpec spec { .id = request.id,
                                         .apiKey = gateway_test::key,
                                         .callerTimeout = callerTimeout };
    if (request.kind->hasStages) {
        spec.pieceCounts = { request.pieces };
    }
    net::HttpCall call;
    call.address = harness_.callersAddress(request.vm);
    call.method = "POST";
    call.target = request.kind->target;
    call.headers = platform_standin::requestHeaders(spec);
    call.body = "body of " + request.id;
    promises_.onSent(request.id, request.kind->repeatable, request.vm, harness_.loop().clock().now());
    ++pending_;
    auto outcome = std::make_shared<Outcome>();
    net::HttpHandlers handlers;
    handlers.onHead = [outcome](const net::HttpHead &head) { outcome->status = head.status; };
    handlers.onBody = [outcome](std::string_view bytes) { outcome->body += bytes; };
    handlers.onDone = [this, outcome, request, &caller](const net::HttpEnd &end) {
        --pending_;
        outcome->isComplete = !end.error;
        const int status = outcome->status;
        promises_.onOutcome(request.id, std::move(*outcome), harness_.loop().clock().now());
        if (platform_standin::promisesNotRun(status) && sendAgainLater(caller, request)) {
            return;
        }
        sendLater(caller, status != 0 ? below(longestPause) : failurePause);
    };
    caller.client->start(std::move(call), { callerTimeout, callerTimeout, callerTimeout, 2 * callerTimeout }, handlers);
}

/** Lets a caller come back with a request that was rejected, or not. @return whether it does */
bool Callers::sendAgainLater(Caller &caller, Request request)
{
    if (request.returns == returnHabits_.most || !random_.chance(returnHabits_.share)) {
        return false;
    }
    ++request.returns;
    if (random_.chance(returnHabits_.elsewhereShare)) {
        request.vm = random_.below(vms_);
    }
    const Time due = harness_.loop().clock().now() + below(returnHabits_.longestPause);
    harness_.loop().timers().once(due, [this, &caller, request](Time) { send(caller, request); });
    return true;
}

Duration Callers::below(Duration most)
{
    return Duration(std::int64_t(random_.below(std::uint64_t(most.count()) + 1)));
}

void Callers::sendLater(Caller &caller, Duration delay)
{
    harness_.loop().timers().once(harness_.loop().clock().now() + delay, [this, &caller](Time) { sendNext(caller); });
}

} // namespace lacewing::soak
