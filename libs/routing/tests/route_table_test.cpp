#include <routing/routing.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>

using namespace lacewing;
using namespace lacewing::routing;

namespace
{

Route route(const char *id, const char *host, const char *prefix)
{
    Route result;
    result.id = RouteId(id);
    result.host = host;
    result.pathPrefix = prefix;
    result.services = { { ServiceId("s"), 1 } };
    return result;
}

DesiredState sampleState()
{
    DesiredState state;
    state.version = StateVersion(7);
    state.routes = { route("short", "a.example", "/x/"),
                     route("long", "a.example", "/x/y/"),
                     route("other", "b.example", "/") };
    state.services = { Service { ServiceId("s"), "/health" } };
    state.general.requiresKeys = true;
    state.keyHolders = { KeyHolder { WorkspaceId("w"), { "k1", "k2" }, std::nullopt } };
    return state;
}

struct FindCase {
    char host[24];
    char target[24];
    char expected[8]; ///< empty: no route
};

FindCase findCases[] = {
    { "a.example", "/x/y/z", "long" },
    { "a.example", "/x/y", "short" },
    { "a.example", "/x/z?q=/x/y/", "short" },
    { "A.Example", "/x/", "short" },
    { "a.example:80", "/x/", "short" },
    { "a.example", "/x", "" },
    { "a.example", "/", "" },
    { "c.example", "/x/", "" },
    { "b.example", "/anything", "other" },
    { "", "/x/", "" },
};

struct KeyCase {
    char key[8];
    bool isKnown;
};

KeyCase keyCases[] = { { "k1", true }, { "k2", true }, { "K1", false }, { "", false } };

struct RetryCase {
    RouteKind kind;
    bool isResumable;
    bool expected;
};

RetryCase retryCases[] = {
    { RouteKind::Idempotent, false, true },    { RouteKind::NonIdempotent, false, false },
    { RouteKind::NonIdempotent, true, false }, { RouteKind::Stream, false, false },
    { RouteKind::Stream, true, true },
};

} // namespace

ParameterizedTestParameters(routeTable, findsLongestPrefix)
{
    return cr_make_param_array(FindCase, findCases, std::size(findCases));
}

ParameterizedTest(FindCase *test, routeTable, findsLongestPrefix)
{
    const RouteTable table(sampleState());
    const auto *found = table.findRoute(test->host, test->target);
    const std::string id = found == nullptr ? "" : found->id.text();
    cr_assert_eq(id, std::string(test->expected), "%s%s gave %s", test->host, test->target, id.c_str());
}

ParameterizedTestParameters(routeTable, findsKeyHolders)
{
    return cr_make_param_array(KeyCase, keyCases, std::size(keyCases));
}

ParameterizedTest(KeyCase *test, routeTable, findsKeyHolders)
{
    const RouteTable table(sampleState());
    cr_assert_eq(table.findKeyHolder(test->key) != nullptr, test->isKnown);
}

ParameterizedTestParameters(routeTable, retryabilityDependsOnTheKind)
{
    return cr_make_param_array(RetryCase, retryCases, std::size(retryCases));
}

ParameterizedTest(RetryCase *test, routeTable, retryabilityDependsOnTheKind)
{
    Route sample = route("r", "h", "/");
    sample.kind = test->kind;
    sample.isResumable = test->isResumable;
    cr_assert_eq(sample.isRetryable(), test->expected);
}

Test(routeTable, findsServices)
{
    const RouteTable table(sampleState());
    cr_assert_not_null(table.findService(ServiceId("s")));
    cr_assert_null(table.findService(ServiceId("t")));
}
