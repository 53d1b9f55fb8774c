#include <base/base.h>

#include <iterator>
#include <utility>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;

namespace
{

constexpr std::size_t mib = std::size_t(1) << 20U;
constexpr std::size_t limit = 8 * mib; // of which 1 MiB is kept for small buffers

struct BudgetCase {
    char name[48];
    std::size_t used; ///< by large buffers as far as they may, the rest by small ones
    std::size_t from;
    std::size_t to;
    bool fits;
};

BudgetCase budgetCases[] = {
    { "nothing held", 0, 0, mib, true },
    { "as much as large buffers may take", 0, 0, 7 * mib, true },
    { "a byte more", 0, 0, 7 * mib + 1, false },
    { "more than the budget", 0, 0, 9 * mib, false },
    { "fills what is left", 6 * mib, 0, mib, true },
    { "a byte more than what is left", 6 * mib, 0, mib + 1, false },
    { "large, no room", 7 * mib, 0, mib, false },
    { "small, no room for large ones", 7 * mib, 0, MemoryBudget::smallBytes, true },
    { "just not small, no room for large ones", 7 * mib, 0, MemoryBudget::smallBytes + 1, false },
    { "small, no room at all", 8 * mib, 0, 1, false },
    { "nothing asked for, no room at all", 8 * mib, 0, 0, true },
    { "small grows", 7 * mib, 1'000, 2'000, true },
    { "small grows large, no room", 7 * mib, 1'000, 2 * mib, false },
    { "large grows", 5 * mib, mib, 2 * mib, true },
    { "doesn't shrink", 8 * mib, mib, 1'000, true },
};

/** Takes bytes, the last ones as small buffers. */
void take(MemoryBudget &budget, std::size_t bytes)
{
    const std::size_t large = std::min(bytes, budget.largestBuffer());
    cr_assert(budget.tryGrow(0, large));
    while (budget.used() < bytes) {
        cr_assert(budget.tryGrow(0, std::min(bytes - budget.used(), MemoryBudget::smallBytes)));
    }
}

} // namespace

ParameterizedTestParameters(memoryBudget, keepsAPartForSmallBuffers)
{
    return cr_make_param_array(BudgetCase, budgetCases, std::size(budgetCases));
}

ParameterizedTest(BudgetCase *test, memoryBudget, keepsAPartForSmallBuffers)
{
    MemoryBudget budget(limit);
    take(budget, test->used);
    cr_assert_eq(budget.tryGrow(test->from, test->to), test->fits, "%s", test->name);
    const std::size_t added = test->fits ? test->to - std::min(test->from, test->to) : 0;
    cr_assert_eq(budget.used(), test->used + added, "%s: %zu", test->name, budget.used());
}

Test(memoryBudget, reservationGivesBackOnce)
{
    const auto budget = std::make_shared<MemoryBudget>(limit);
    MemoryReservation first(budget);
    cr_assert(first.tryGrowTo(mib));
    cr_assert(!first.tryGrowTo(limit));
    cr_assert(first.tryGrowTo(2 * mib));
    cr_assert_eq(budget->used(), 2 * mib);
    {
        MemoryReservation second(std::move(first));
        cr_assert_eq(budget->used(), 2 * mib);
        first = MemoryReservation(budget);
        cr_assert(first.tryGrowTo(mib));
        second = std::move(first);
        cr_assert_eq(budget->used(), mib);
    }
    cr_assert_eq(budget->used(), 0);
    MemoryReservation unbounded;
    cr_assert(unbounded.tryGrowTo(limit * 2));
}
