#include "fixture.h"
#include "peer_messages.h"

#include <peer/peer.h>

#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::gateway_test;

/** Messages of another VM that hold what no call to an endpoint can carry. */
namespace
{

struct OddHandleCase {
    char name[30];
    char handle[12];
};

OddHandleCase oddHandleCases[] = {
    { "Latin-1", "caf\xe9" },
    { "cut within a character", "caf\xc3" },
    { "not a first byte", "\x80" },
};

} // namespace

/** A result that a VM named in odd bytes kept the other results of its endpoint from being released (issue 45, 1). */
ParameterizedTestParameters(oddMessage, keepsNoOtherResultFromItsRelease)
{
    return cr_make_param_array(OddHandleCase, oddHandleCases, std::size(oddHandleCases));
}

ParameterizedTest(OddHandleCase *test, oddMessage, keepsNoOtherResultFromItsRelease)
{
    Fixture f(1);
    cr_assert_eq(f.send(0, "/staged/x").status, net::status::ok, "%s", test->name);
    f.harness.waitFor([&] { return f.endpoint("first1").results().empty() && f.endpoint("first2").results().empty(); },
                      "the release of all results");
    f.endpoint("first1").holdPieceCalls();
    f.endpoint("first2").holdPieceCalls();
    const auto unreleased = [&] {
        return f.endpoint("first1").results().size() + f.endpoint("first2").results().size();
    };
    const auto answer = f.harness.sendAsync(0, "POST", "/staged/x", stagedHeaders("held", { 1, 1 }), "body");
    f.harness.waitFor([&] { return unreleased() == 1; }, "a result");
    auto &holder = f.endpoint("first1").results().empty() ? f.endpoint("first2") : f.endpoint("first1");

    peer::PeerOptions options;
    options.identity({ VmId("other"), AvailabilityZoneId("a"), Incarnation(1) }).plain();
    peer::PeerNetwork network(f.harness.loop(), options, {});
    const gateway::ReleaseMessage message {
        "first", "", { holder.identity().id, holder.identity().id }, { test->handle, *holder.results().begin() }
    };
    network.send(f.harness.linkAddress(0), gateway::encodeMessage(gateway::MessageKind::Release, message));
    f.harness.waitFor([&] { return holder.results().empty(); }, "the release of the other result");
}
