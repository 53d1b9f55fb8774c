#include "requests.h"

#include <algorithm>
#include <csignal>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway_test;
using namespace lacewing::platform_standin;
using Behaviour = Endpoint::Behaviour;

namespace
{

constexpr const char *resumableTarget = "/resumable/x";
constexpr std::size_t vmCount = 6;

/** When callers take up their streams at the VM that was out of step. */
enum class Arrival : std::uint8_t {
    WhileFrozen,
    AtEnd, ///< of the freeze
    AfterEnd, ///< 100 ms later
};

struct OutOfStepCase {
    char name[60];
    std::size_t frozenVms; ///< all but the last one, or one
    Arrival arrival;
    bool isStoreAway; ///< for the VMs that were frozen, from the end of the freeze
};

OutOfStepCase outOfStepCases[] = {
    { "one vm, taken up meanwhile", 1, Arrival::WhileFrozen, false },
    { "one vm, taken up at the end", 1, Arrival::AtEnd, false },
    { "one vm, taken up soon after", 1, Arrival::AfterEnd, false },
    { "one vm, the store stays away", 1, Arrival::AtEnd, true },
    { "all but one vm, taken up meanwhile", vmCount - 1, Arrival::WhileFrozen, false },
    { "all but one vm, taken up at the end", vmCount - 1, Arrival::AtEnd, false },
    { "all but one vm, the store stays away", vmCount - 1, Arrival::AtEnd, true },
};

std::size_t resumptions(const Endpoint &engine)
{
    const auto &received = engine.receivedRequests();
    return static_cast<std::size_t>(std::count_if(received.begin(), received.end(), [](const auto &request) {
        return request.wasExecuted && !request.lastEventId().empty();
    }));
}

/** VMs of one zone with two engines of version v1; engines of version v2 join while some VMs are frozen. */
struct Release {
    Release()
        : harness(vmCount)
    {
        for (const char *id : { "old1", "old2" }) {
            olds.push_back(&harness.addEndpoint(id, "engine", Behaviour::Stream, "v1"));
        }
        harness.store().publishDesiredState(makeState(1, allRoutes()));
        harness.start();
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            harness.waitForLogLines({ vm }, "\"endpoint joined\"", olds.size());
        }
        harness.waitForLinks();
    }

    /** Leaves open connections to all VMs, on which a VM that was frozen finds requests at once. */
    void openConnections(std::size_t perVm)
    {
        std::vector<std::shared_ptr<std::optional<Response>>> pending;
        for (std::size_t index = 0; index < perVm * vmCount; ++index) {
            const auto id = "open-" + std::to_string(++requests);
            pending.push_back(harness.sendAsync(index % vmCount, "POST", resumableTarget, headers(id), "b"));
        }
        harness.waitFor(
            [&] {
                return std::all_of(pending.begin(), pending.end(), [](const auto &item) { return item->has_value(); });
            },
            "responses");
    }

    void waitFor(Duration duration, const char *what)
    {
        const auto begin = harness.loop().clock().now();
        harness.waitFor([&] { return harness.loop().clock().now() - begin > duration; }, what);
    }

    void joinNewVersion(const std::vector<std::size_t> &witnesses)
    {
        for (const char *id : { "new1", "new2", "new3" }) {
            news.push_back(&harness.addEndpoint(id, "engine", Behaviour::TruncateStream, "v2"));
        }
        for (const auto vm : witnesses) {
            harness.waitForLogLines({ vm }, "\"endpoint joined\"", olds.size() + news.size());
        }
    }

    /** Begins streams at engines of version v2 that break off after two events. */
    void beginStreams(std::size_t vm, std::size_t count)
    {
        for (auto *old : olds) {
            old->setBehaviour(Behaviour::Reject);
        }
        harness.waitFor(
            [&] {
                const auto id = "begin-" + std::to_string(++requests);
                const auto before = executions();
                const auto response = harness.sendAndWait(vm, "POST", resumableTarget, headers(id), "b");
                if (executions() > before && !response.isComplete) {
                    begun.push_back(id);
                }
                return begun.size() == count;
            },
            "streams that break off");
        for (auto *engine : { olds[0], olds[1], news[0], news[1], news[2] }) {
            engine->setBehaviour(Behaviour::Stream);
        }
    }

    std::size_t executions() const
    {
        std::size_t count = 0;
        for (const auto *engine : news) {
            count += engine->executionCount();
        }
        return count;
    }

    /** Takes a stream up after its second event at a VM. */
    void resume(std::size_t vm, const std::string &id)
    {
        responses.push_back(harness.sendAsync(
            vm,
            "POST",
            resumableTarget,
            requestHeaders({ .id = "again-" + id, .apiKey = key, .resumedRequest = id, .lastEventId = "2" }),
            "b"));
    }

    Harness harness;
    std::vector<Endpoint *> olds;
    std::vector<Endpoint *> news;
    std::vector<std::string> begun;
    std::vector<std::shared_ptr<std::optional<Response>>> responses;
    int requests = 0;
};

} // namespace

ParameterizedTestParameters(versionView, vmOutOfStepDoesNotResumeAtAnotherVersion)
{
    return cr_make_param_array(OutOfStepCase, outOfStepCases, std::size(outOfStepCases));
}

/** A VM that has missed the news of some seconds must not take what it knew before for the present. */
ParameterizedTest(OutOfStepCase *test, versionView, vmOutOfStepDoesNotResumeAtAnotherVersion)
{
    constexpr std::size_t streamCount = 12;
    Release f;
    const std::size_t witness = vmCount - 1;
    f.openConnections(streamCount);
    std::vector<std::size_t> frozen;
    for (std::size_t vm = 0; vm < test->frozenVms; ++vm) {
        frozen.push_back(vm);
        f.harness.signal(vm, SIGSTOP);
    }
    // The other VMs give up their links to it.
    f.waitFor(std::chrono::milliseconds(1500), "a freeze that the other VMs notice");
    f.joinNewVersion({ witness });
    f.beginStreams(witness, streamCount);
    if (test->isStoreAway) {
        std::set<std::string> addresses;
        for (const auto vm : frozen) {
            addresses.insert(f.harness.storeAddress(vm));
        }
        f.harness.store().setUnavailableAddresses(addresses);
    }
    const auto resumeAll = [&] {
        for (std::size_t index = 0; index < f.begun.size(); ++index) {
            f.resume(frozen[index % frozen.size()], f.begun[index]);
        }
    };
    const auto wake = [&] {
        for (const auto vm : frozen) {
            f.harness.signal(vm, SIGCONT);
        }
    };
    switch (test->arrival) {
    case Arrival::WhileFrozen:
        resumeAll();
        f.waitFor(std::chrono::milliseconds(100), "the requests to be on their way");
        wake();
        break;
    case Arrival::AtEnd:
        wake();
        resumeAll();
        break;
    case Arrival::AfterEnd:
        wake();
        f.waitFor(std::chrono::milliseconds(100), "a moment after the freeze");
        resumeAll();
        break;
    }
    f.harness.waitFor(
        [&] {
            return std::all_of(
                f.responses.begin(), f.responses.end(), [](const auto &item) { return item->has_value(); });
        },
        "responses to all streams that were taken up");
    cr_expect_eq(resumptions(*f.olds[0]) + resumptions(*f.olds[1]), 0U, "%s: went on at another version", test->name);
    std::size_t complete = 0;
    for (const auto &response : f.responses) {
        complete += (*response)->isComplete && (*response)->status == net::status::ok ? 1 : 0;
        const bool isRefused = (*response)->status == net::status::unavailable;
        cr_expect(!isRefused || findRetryAfter((*response)->headers).has_value(), "%s: no Retry-After", test->name);
    }
    // The users' bound for streams that are taken up: half of the share of those that begin, all of which do here.
    cr_expect_geq(2 * complete, streamCount, "%s: %zu of %zu went on", test->name, complete, streamCount);
}

/** While one version serves, a VM that was frozen goes on with streams that nobody knows. */
Test(versionView, soleVersionIsConfirmedAfterAFreeze)
{
    Release f;
    f.harness.signal(0, SIGSTOP);
    f.waitFor(std::chrono::milliseconds(1500), "a freeze that the other VMs notice");
    f.resume(0, "never-seen");
    f.harness.signal(0, SIGCONT);
    f.harness.waitFor([&] { return f.responses.front()->has_value(); }, "a response");
    cr_expect((*f.responses.front())->isComplete, "status %d", (*f.responses.front())->status);
}
