#include <base/base.h>

#include <criterion/criterion.h>

using namespace lacewing;

namespace
{

/** A check whose outcomes the test gives. */
struct Check {
    std::vector<CoalescedCheck::Outcome> started;
    CoalescedCheck coalesced { [this](CoalescedCheck::Outcome onDone) { started.push_back(std::move(onDone)); } };
    std::vector<std::string> answers;

    void request(const std::string &name)
    {
        coalesced.request([this, name](bool passed) { answers.push_back(name + (passed ? " passed" : " failed")); });
    }
};

} // namespace

Test(coalescedCheck, requestDuringACheckIsAnsweredByTheNextOne)
{
    Check f;
    f.request("a");
    f.request("b");
    f.request("c");
    cr_assert_eq(f.started.size(), 1U, "checks run side by side");
    f.started[0](true);
    cr_assert_eq(f.answers, (std::vector<std::string> { "a passed" }));
    cr_assert_eq(f.started.size(), 2U);
    f.started[1](false);
    cr_assert_eq(f.answers, (std::vector<std::string> { "a passed", "b failed", "c failed" }));
    cr_assert_eq(f.started.size(), 2U, "a check without a request");
}

Test(coalescedCheck, requestMadeByAnAnswerStartsACheck)
{
    Check f;
    f.coalesced.request([&](bool) { f.request("again"); });
    f.started[0](true);
    cr_assert_eq(f.started.size(), 2U);
    f.started[1](true);
    cr_assert_eq(f.answers, (std::vector<std::string> { "again passed" }));
}

Test(coalescedCheck, checkMayEndAtOnce)
{
    int checks = 0;
    int answers = 0;
    CoalescedCheck coalesced([&](const CoalescedCheck::Outcome &onDone) {
        ++checks;
        onDone(true);
    });
    for (int request = 0; request < 3; ++request) {
        coalesced.request([&](bool passed) { answers += passed ? 1 : 0; });
    }
    cr_assert_eq(checks, 3);
    cr_assert_eq(answers, 3);
}
