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

Callers::Callers(gateway_test::Harness &harness, Promises &promises, std::size_t vms, std::uint64_t seed)
    : harness_(harness)
    , promises_(promises)
    , random_(seed)
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
    if (isStopped_) {
        return;
    }
    const Kind &kind = chooseKind(random_);
    const std::string id = "c" + std::to_string(caller.number) + "-" + std::to_string(++caller.requests);
    platform_standin::RequestSpec spec { .id = id, .apiKey = gateway_test::key, .callerTimeout = callerTimeout };
    if (kind.hasStages) {
        spec.pieceCounts = { std::uint32_t(1 + random_.below(3)) };
    }
    net::HttpCall call;
    call.address = harness_.callersAddress(caller.vm);
    call.method = "POST";
    call.target = kind.target;
    call.headers = platform_standin::requestHeaders(spec);
    call.body = "body of " + id;
    promises_.onSent(id, kind.repeatable, caller.vm, harness_.loop().clock().now());
    ++pending_;
    auto outcome = std::make_shared<Outcome>();
    net::HttpHandlers handlers;
    handlers.onHead = [outcome](const net::HttpHead &head) { outcome->status = head.status; };
    handlers.onBody = [outcome](std::string_view bytes) { outcome->body += bytes; };
    handlers.onDone = [this, outcome, id, &caller](const net::HttpEnd &end) {
        --pending_;
        outcome->isComplete = !end.error;
        const bool wasReached = outcome->status != 0;
        promises_.onOutcome(id, std::move(*outcome), harness_.loop().clock().now());
        const Duration pause = Duration(std::int64_t(random_.below(std::uint64_t(longestPause.count()))));
        sendLater(caller, wasReached ? pause : failurePause);
    };
    caller.client->start(std::move(call), { callerTimeout, callerTimeout, callerTimeout, 2 * callerTimeout }, handlers);
}

void Callers::sendLater(Caller &caller, Duration delay)
{
    harness_.loop().timers().once(harness_.loop().clock().now() + delay, [this, &caller](Time) { sendNext(caller); });
}

} // namespace lacewing::soak
