#include "fixture.h"

#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway_test;
using namespace lacewing::platform_standin;

/** Requests that no gateway can serve. */
namespace
{

struct OddRequestCase {
    char name[40];
    char id[8];
    char pieceKey[8];
    std::uint32_t pieces; ///< of the first stage
};

OddRequestCase oddRequestCases[] = {
    { "key in Latin-1", "1", "caf\xe9", 1 },
    { "key cut within a character", "1", "caf\xc3", 1 },
    { "id in Latin-1", "\xe9", "cafe", 1 },
    { "pieces out of bounds", "1", "cafe", UINT32_MAX },
};

} // namespace

/** One request with a piece key in Latin-1 ended the processes of all VMs, one after the other (issue 45, review/1). */
ParameterizedTestParameters(oddRequest, endsOnlyItself)
{
    return cr_make_param_array(OddRequestCase, oddRequestCases, std::size(oddRequestCases));
}

ParameterizedTest(OddRequestCase *test, oddRequest, endsOnlyItself)
{
    Fixture f(3);
    const auto odd = requestHeaders(
        { .id = test->id, .apiKey = key, .pieceCounts = { test->pieces, 1 }, .pieceKey = test->pieceKey });
    const auto response = f.harness.sendAndWait(0, "POST", "/staged/x", odd, "body");
    cr_assert_eq(response.status, net::status::badRequest, "%s: %d", test->name, response.status);
    for (std::size_t vm = 0; vm < f.vmCount; ++vm) {
        cr_assert_not(f.harness.hasEnded(vm), "%s", test->name);
        cr_assert_eq(f.send(vm, "/staged/x").status, net::status::ok, "%s", test->name);
    }
}
