#include "connection_reuse.h"

#include <iterator>
#include <string>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing::net;

namespace
{

struct ReuseCase {
    char name[40];
    CompletedResponse response;
    int reason; ///< -1: the connection is used again
};

ReuseCase reuseCases[] = {
    { "whole and identified", {}, -1 },
    { "ends with its connection", { .endsWithConnection = true }, int(DiscardReason::EndsWithConnection) },
    { "closed by the server", { .isKeptByServer = false }, int(DiscardReason::ServerCloses) },
    { "bytes after the response", { .hasExtraBytes = true }, int(DiscardReason::ExtraBytes) },
    { "request not written in full", { .isRequestWritten = false }, int(DiscardReason::RequestUnfinished) },
    { "not identified", { .isIdentified = false }, int(DiscardReason::Unidentified) },
    { "too many calls", { .canCarryMore = false }, int(DiscardReason::TooManyCalls) },
    { "too old", { .isYoung = false }, int(DiscardReason::TooOld) },
    { "not identified, extra bytes", { .hasExtraBytes = true, .isIdentified = false }, int(DiscardReason::ExtraBytes) },
};

} // namespace

ParameterizedTestParameters(connectionReuse, onlyCertainlyUnusedConnections)
{
    return cr_make_param_array(ReuseCase, reuseCases, std::size(reuseCases));
}

ParameterizedTest(ReuseCase *test, connectionReuse, onlyCertainlyUnusedConnections)
{
    const auto reason = whyNotReusable(test->response);
    cr_assert_eq(reason ? int(*reason) : -1, test->reason, "%s: %d", test->name, reason ? int(*reason) : -1);
}

Test(carriedIds, knowsAllThatWereAdded)
{
    CarriedIds ids;
    for (std::size_t number = 0; number < CarriedIds::capacity; ++number) {
        cr_assert(!ids.isFull());
        cr_assert(!ids.contains("id-" + std::to_string(number)));
        ids.add("id-" + std::to_string(number));
    }
    cr_assert(ids.isFull());
    for (std::size_t number = 0; number < CarriedIds::capacity; ++number) {
        cr_assert(ids.contains("id-" + std::to_string(number)));
    }
    cr_assert(!ids.contains(""));
}
