#include <routing/routing.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::routing;

namespace
{

const ServiceId engine("engine");
const Time start = Time(Duration(1000s));

EndpointEntry entry(const std::string &id, std::optional<SoftwareVersion> version, std::uint64_t incarnation = 1)
{
    EndpointEntry result;
    result.id = EndpointId(id);
    result.incarnation = Incarnation(incarnation);
    result.service = engine;
    result.address = "127.0.0.1:80";
    result.softwareVersion = std::move(version);
    return result;
}

const SoftwareVersion v1("v1");
const SoftwareVersion v2("v2");

} // namespace

Test(soleVersion, isTheVersionOfAllEndpoints)
{
    EndpointDirectory directory(2s);
    cr_assert_not(directory.soleVersion(engine), "without endpoints");
    directory.update(entry("a", v1), start);
    directory.update(entry("b", v1), start);
    cr_assert(directory.soleVersion(engine) == v1);
    directory.update(entry("c", v2), start);
    cr_assert_not(directory.soleVersion(engine));
    cr_assert_eq(directory.versions(engine).size(), 2U);
}

Test(soleVersion, isNoneWhileAVersionIsUnknown)
{
    EndpointDirectory directory(2s);
    directory.update(entry("a", v1), start);
    directory.update(entry("b", std::nullopt), start);
    cr_assert_not(directory.soleVersion(engine));
}

Test(soleVersion, leavingEndpointsCount)
{
    EndpointDirectory directory(2s);
    directory.update(entry("a", v1), start);
    directory.update(entry("b", v2), start);
    directory.markDraining(entry("a", v1).lifetime(), start);
    cr_assert_not(directory.soleVersion(engine));
}

namespace
{

enum class End : std::uint8_t { Removed, Restarted, Changed };

struct EndCase {
    char name[32];
    End end;
};

EndCase endCases[] = {
    { "removed", End::Removed },
    { "restarted with another version", End::Restarted },
    { "version changed", End::Changed },
};

} // namespace

ParameterizedTestParameters(soleVersion, versionThatHasEndedCountsForAWhile)
{
    return cr_make_param_array(EndCase, endCases, std::size(endCases));
}

ParameterizedTest(EndCase *test, soleVersion, versionThatHasEndedCountsForAWhile)
{
    EndpointDirectory directory(2s);
    directory.update(entry("a", v1), start);
    directory.update(entry("b", v2), start);
    const Time end = start + 10s;
    switch (test->end) {
    case End::Removed:
        directory.remove(EndpointId("a"), end);
        break;
    case End::Restarted:
        directory.update(entry("a", v2, 2), end);
        break;
    case End::Changed:
        directory.update(entry("a", v2), end);
        break;
    }
    directory.expire(end + EndpointDirectory::versionRetention - 1s);
    cr_assert_not(directory.soleVersion(engine), "%s: callers may still come back", test->name);
    directory.expire(end + EndpointDirectory::versionRetention);
    cr_assert(directory.soleVersion(engine) == v2, "%s", test->name);
}

Test(soleVersion, versionsOfBeforeTheStartCount)
{
    EndpointDirectory directory(2s);
    directory.update(entry("a", v2), start);
    directory.addEndedVersion(engine, v1, start);
    cr_assert_not(directory.soleVersion(engine));
}

Test(certainVersion, isInDoubtAfterALostConnection)
{
    EndpointDirectory directory(2s);
    const auto endpoint = entry("a", v1);
    directory.update(endpoint, start);
    cr_assert(directory.isCertain(endpoint, start));
    directory.markDoubtful(endpoint.lifetime(), start);
    cr_assert_not(directory.isCertain(endpoint, start + 5s), "it may have restarted");
    cr_assert(directory.isCertain(endpoint, start + 8s), "its registration would have ended");
    cr_assert(directory.isCertain(entry("a", v2, 2), start), "the next lifetime");
    directory.markDoubtful(endpoint.lifetime(), start + 10s);
    directory.clearDoubt(endpoint.lifetime());
    cr_assert(directory.isCertain(endpoint, start + 10s));
}

Test(certainVersion, staysInDoubtWhileTheRegistryIsAway)
{
    EndpointDirectory directory(2s);
    const auto endpoint = entry("a", v1);
    directory.update(endpoint, start);
    directory.onRegistryLost(start);
    directory.markDoubtful(endpoint.lifetime(), start + 1s);
    cr_assert_not(directory.isCertain(endpoint, start + 60s));
    directory.onRegistryRestored(start + 60s);
    cr_assert_not(directory.isCertain(endpoint, start + 62s));
    cr_assert(directory.isCertain(endpoint, start + 68s));
}

// ---------------------------------------------------------------------------------------------------------------------
// Origins of streams

Test(streamOriginTable, keepsTheFirstOriginUntilItExpires)
{
    StreamOriginTable table(100);
    const StreamOrigin first { engine, v1 };
    table.insert(StreamKey(1), first, start + 10s);
    table.insert(StreamKey(1), { engine, v2 }, start + 20s);
    cr_assert(*table.find(StreamKey(1), start) == first);
    cr_assert_null(table.find(StreamKey(2), start));
    cr_assert_null(table.find(StreamKey(1), start + 10s));
    table.expire(start + 10s);
    cr_assert_eq(table.size(), 0U);
}

/** A stream that broke off and went on lasts longer than was known when it began. */
Test(streamOriginTable, keepsAnOriginUntilTheLatestOfItsTimes)
{
    StreamOriginTable table(100);
    table.insert(StreamKey(1), { engine, v1 }, start + 10s);
    table.insert(StreamKey(1), { engine, v1 }, start + 20s);
    table.insert(StreamKey(1), { engine, v1 }, start + 15s);
    table.expire(start + 10s);
    cr_assert_not_null(table.find(StreamKey(1), start + 10s));
    cr_assert_null(table.find(StreamKey(1), start + 20s));
    table.expire(start + 20s);
    cr_assert_eq(table.size(), 0U);
}

Test(streamOriginTable, visitsWhatHasNotExpired)
{
    StreamOriginTable table(100);
    for (std::uint64_t stream = 1; stream <= 4; ++stream) {
        table.insert(StreamKey(stream), { engine, stream % 2 == 0 ? v1 : v2 }, start + stream * 1s);
    }
    std::size_t visited = 0;
    table.forEach(start + 2s, [&](StreamKey stream, const StreamOrigin &origin, Time expiresAt) {
        ++visited;
        cr_assert_geq(stream.value(), 3U);
        cr_assert(origin.version == (stream.value() % 2 == 0 ? v1 : v2));
        cr_assert(expiresAt == start + stream.value() * 1s);
    });
    cr_assert_eq(visited, 2U);
}

Test(streamOriginTable, isBoundedAndDropsWhatExpiresFirst)
{
    StreamOriginTable table(3);
    for (int stream = 1; stream <= 5; ++stream) {
        table.insert(StreamKey(static_cast<std::uint64_t>(stream)), { engine, v1 }, start + stream * 1s);
    }
    cr_assert_eq(table.size(), 3U);
    cr_assert_null(table.find(StreamKey(2), start));
    cr_assert_not_null(table.find(StreamKey(5), start));
}

struct MatchCase {
    char name[32];
    std::optional<SoftwareVersion> origin;
    std::optional<SoftwareVersion> endpoint;
    ServiceId service;
    bool matches;
};

Test(streamOrigin, matchesItsVersionAndServiceOnly)
{
    const MatchCase cases[] = {
        { "same", v1, v1, engine, true },
        { "other version", v1, v2, engine, false },
        { "unknown endpoint", v1, std::nullopt, engine, false },
        { "unknown origin", std::nullopt, v1, engine, false },
        { "both unknown", std::nullopt, std::nullopt, engine, false },
        { "other service", v1, v1, ServiceId("other"), false },
    };
    for (const auto &test : cases) {
        cr_assert_eq((StreamOrigin { test.service, test.origin }.matches(entry("a", test.endpoint))),
                     test.matches,
                     "%s",
                     test.name);
    }
}
