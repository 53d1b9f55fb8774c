#include <dispatch/dispatch.h>

#include <criterion/criterion.h>

using namespace lacewing;
using namespace lacewing::dispatch;
using namespace lacewing::routing;

namespace
{

constexpr Time start { 100s };

EndpointEntry entry(const char *id, std::uint64_t incarnation = 1)
{
    EndpointEntry result;
    result.id = EndpointId(id);
    result.incarnation = Incarnation(incarnation);
    return result;
}

} // namespace

Test(quietPeriods, endAtTheirTimeAndWithTheLifetime)
{
    QuietPeriods periods;
    periods.record(entry("a").lifetime(), start + 2s);
    cr_assert(periods.until(entry("a").lifetime(), start + 1999ms) == start + 2s);
    cr_assert_not(periods.until(entry("a").lifetime(), start + 2s).has_value());
    cr_assert_not(periods.until(entry("a", 2).lifetime(), start).has_value(), "a later lifetime wants requests");
    cr_assert_not(periods.until(entry("b").lifetime(), start).has_value());
}

Test(quietPeriods, areNeverShortened)
{
    QuietPeriods periods;
    periods.record(entry("a").lifetime(), start + 5s);
    periods.record(entry("a").lifetime(), start + 1s);
    cr_assert(periods.until(entry("a").lifetime(), start) == start + 5s);
}

Test(quietPeriods, earliestEndIsKnownOnlyIfAllWantNone)
{
    const EndpointEntry a = entry("a");
    const EndpointEntry b = entry("b");
    const std::vector<const EndpointEntry *> both { &a, &b };
    QuietPeriods periods;
    cr_assert_not(periods.earliestEnd({}, start).has_value());
    periods.record(a.lifetime(), start + 3s);
    cr_assert_not(periods.earliestEnd(both, start).has_value());
    periods.record(b.lifetime(), start + 2s);
    cr_assert(periods.earliestEnd(both, start) == start + 2s);
    cr_assert_not(periods.earliestEnd(both, start + 2s).has_value());
}

Test(quietPeriods, expireWhenTheyEnd)
{
    QuietPeriods periods;
    periods.record(entry("a").lifetime(), start + 1s);
    periods.record(entry("b").lifetime(), start + 2s);
    periods.expire(start + 1s);
    cr_assert_eq(periods.size(), 1U);
}

/** All VMs' requests for a minute: no endpoint gets one within a period, and callers come back when one ends. */
Test(quietPeriods, replayOfABurstSendsNothingIntoAPeriod)
{
    constexpr int endpoints = 8;
    constexpr Duration step = 5ms;
    Random random(7);
    QuietPeriods periods;
    std::vector<EndpointEntry> entries;
    std::vector<const EndpointEntry *> pointers;
    for (int index = 0; index < endpoints; ++index) {
        entries.push_back(entry(("e" + std::to_string(index)).c_str()));
    }
    std::vector<Time> wantsNoneUntil(endpoints);
    for (const auto &item : entries) {
        pointers.push_back(&item);
    }
    int refused = 0;
    for (Time now = start; now < start + 60s; now += step) {
        std::optional<std::size_t> chosen;
        for (std::size_t index = 0; index < entries.size() && !chosen; ++index) {
            if (!periods.until(entries[index].lifetime(), now)) {
                chosen = index;
            }
        }
        if (!chosen) {
            ++refused;
            const auto end = periods.earliestEnd(pointers, now);
            cr_assert(end && *end == *std::min_element(wantsNoneUntil.begin(), wantsNoneUntil.end()));
            continue;
        }
        cr_assert_geq(now.time_since_epoch().count(), wantsNoneUntil[*chosen].time_since_epoch().count());
        if (random.unit() < 0.5) {
            const Time until = now + Duration(std::int64_t(double(Duration(2s).count()) * random.unit()));
            wantsNoneUntil[*chosen] = until;
            periods.record(entries[*chosen].lifetime(), until);
        }
    }
    cr_assert_gt(refused, 0);
}
