#include <overload/overload.h>

#include <algorithm>
#include <numeric>
#include <set>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::overload;

namespace
{

constexpr Time start { 100s };
const routing::EndpointLifetime endpoint { EndpointId("e"), Incarnation(1) };

routing::EndpointEntry entryWith(std::size_t slots)
{
    routing::EndpointEntry entry;
    entry.id = endpoint.endpoint;
    entry.incarnation = endpoint.incarnation;
    entry.slots = slots;
    return entry;
}

std::vector<VmId> someVms(std::size_t count)
{
    std::vector<VmId> vms;
    for (std::size_t vm = 0; vm < count; ++vm) {
        vms.emplace_back("vm-" + std::to_string(vm));
    }
    return vms;
}

struct ShareCase {
    std::size_t vms;
    std::size_t slots;
};
ShareCase shareCases[] = {
    { 1, 1 }, { 1, 128 }, { 8, 6 }, { 8, 128 }, { 73, 6 }, { 73, 24 }, { 370, 6 }, { 370, 128 }
};

} // namespace

/** All VMs together may send no more than the endpoint has room for, and use most of it. */
ParameterizedTestParameters(brittleEndpoints, sharesAddUpToTheSlots)
{
    return cr_make_param_array(ShareCase, shareCases, std::size(shareCases));
}

ParameterizedTest(ShareCase *test, brittleEndpoints, sharesAddUpToTheSlots)
{
    const auto vms = someVms(test->vms);
    const auto entry = entryWith(test->slots);
    const auto shares = divideSlots(entry, vms);
    const auto sum = std::accumulate(shares.begin(), shares.end(), std::size_t(0));
    cr_assert_leq(sum, test->slots);
    cr_assert_geq(2 * sum, test->slots, "%zu vms use %zu of %zu slots", test->vms, sum, test->slots);
}

namespace
{

struct FleetCase {
    char name[40];
    std::size_t vms;
    std::size_t slots;
    std::uint32_t maxRejections;
    double wrongViewShare; ///< VMs that know of half of the others only, as in a partition
    std::size_t maxFalls; ///< in 60 s
};

FleetCase fleetCases[] = {
    { "8 vms, 6 slots", 8, 6, 3, 0, 0 },
    { "8 vms, 128 slots", 8, 128, 10, 0, 0 },
    { "73 vms, 6 slots", 73, 6, 3, 0, 0 },
    { "370 vms, 24 slots", 370, 24, 5, 0, 0 },
    // The users allow 2 falls and a tenth of the number of endpoints.
    { "8 vms, views differ", 8, 6, 8, 0.5, 2 },
    { "73 vms, views differ", 73, 6, 20, 0.5, 2 },
};

} // namespace

/** Twice the load that an endpoint takes, from VMs that hear of each other's rejections 5 ms later. */
ParameterizedTestParameters(brittleEndpoints, fleetTurnsFewRequestsAway)
{
    return cr_make_param_array(FleetCase, fleetCases, std::size(fleetCases));
}

ParameterizedTest(FleetCase *test, brittleEndpoints, fleetTurnsFewRequestsAway)
{
    constexpr Duration step = 1ms;
    constexpr Duration workTime = 30ms;
    constexpr std::size_t messageSteps = 5;
    const auto all = someVms(test->vms);
    const std::vector<VmId> firstHalf(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(all.size() / 2));
    const std::vector<VmId> secondHalf(all.begin() + static_cast<std::ptrdiff_t>(all.size() / 2), all.end());
    const auto entry = entryWith(test->slots);
    struct Vm {
        BrittleEndpoints brittle;
        std::size_t share = 0;
        std::size_t inFlight = 0;
    };
    std::vector<Vm> vms(test->vms);
    const auto divided = static_cast<std::size_t>(double(test->vms) * test->wrongViewShare);
    const auto shares = divideSlots(entry, all);
    auto dividedShares = divideSlots(entry, firstHalf);
    const auto otherShares = divideSlots(entry, secondHalf);
    dividedShares.insert(dividedShares.end(), otherShares.begin(), otherShares.end());
    for (std::size_t index = 0; index < vms.size(); ++index) {
        vms[index].share = divided > 0 ? dividedShares[index] : shares[index];
        vms[index].brittle.recordAnswer(endpoint, test->maxRejections, start, start);
    }
    Random random(3);
    std::deque<std::pair<Time, std::size_t>> running; ///< end and VM
    std::deque<std::pair<Time, std::size_t>> messages; ///< arrival and the VM that tells
    std::deque<Time> rejections;
    std::size_t falls = 0;
    const double perStep = 2 * double(test->slots) * toSeconds(step) / toSeconds(workTime);
    double due = 0;
    for (Time now = start; now < start + 60s; now += step) {
        while (!running.empty() && running.front().first <= now) {
            --vms[running.front().second].inFlight;
            running.pop_front();
        }
        while (!messages.empty() && messages.front().first <= now) {
            for (std::size_t index = 0; index < vms.size(); ++index) {
                const bool isApart =
                    divided > 0 && (index < vms.size() / 2) != (messages.front().second < vms.size() / 2);
                if (index != messages.front().second && !isApart) {
                    vms[index].brittle.recordRejection(endpoint, false, now);
                }
            }
            messages.pop_front();
        }
        for (due += perStep; due >= 1; --due) {
            const auto index = random.below(vms.size());
            Vm &vm = vms[index];
            if (vm.inFlight >= vm.share || vm.brittle.blockedUntil(endpoint, now)) {
                continue;
            }
            if (running.size() < test->slots) {
                ++vm.inFlight;
                running.emplace_back(now + workTime, index);
                continue;
            }
            vm.brittle.recordRejection(endpoint, true, now);
            messages.emplace_back(now + messageSteps * step, index);
            rejections.push_back(now);
            while (now - rejections.front() > 1s) {
                rejections.pop_front();
            }
            if (rejections.size() > test->maxRejections) {
                ++falls;
                rejections.clear();
            }
        }
    }
    cr_assert_leq(falls, test->maxFalls, "%s: %zu falls", test->name, falls);
}

/** A rejection counts for a second; an endpoint stays brittle until a later answer no longer says so. */
Test(brittleEndpoints, rejectionsAndBrittlenessEnd)
{
    BrittleEndpoints brittle;
    cr_assert_not(brittle.recordRejection(endpoint, true, start));
    cr_assert(brittle.recordAnswer(endpoint, 4, start, start));
    cr_assert_not(brittle.recordAnswer(endpoint, 4, start, start));
    cr_assert(brittle.recordRejection(endpoint, false, start));
    cr_assert_not(brittle.blockedUntil(endpoint, start).has_value());
    brittle.recordRejection(endpoint, false, start + 100ms);
    cr_assert(brittle.blockedUntil(endpoint, start + 100ms) == start + 1s);
    brittle.recordRejection(endpoint, true, start + 200ms);
    cr_assert(brittle.blockedUntil(endpoint, start + 200ms) == start + 1200ms);
    cr_assert_not(brittle.blockedUntil(endpoint, start + 1200ms).has_value());
    cr_assert_not(brittle.recordAnswer(endpoint, std::nullopt, start - 50ms, start + 2s));
    cr_assert(brittle.isBrittle(endpoint), "an answer to an earlier request says nothing");
    cr_assert_not(brittle.recordAnswer(endpoint, std::nullopt, start + 1s, start + 2s));
    cr_assert_not(brittle.isBrittle(endpoint));
}
